/// Mutations of valid JSON for fuzzing, drawn by rapidcheck, and properties with a fixed seed.
#pragma once

#include <gtest/gtest.h>
#include <json/value.h>
#include <rapidcheck.h>

#include <iostream>
#include <string>
#include <utility>
#include <vector>

#include "protocol/codec.h"

namespace quetzalvale {

/// Runs the property `runs` times with a fixed seed and reports a counterexample, reduced, as a
/// failure of the test.
template <typename Property>
void CheckWithFixedSeed(const std::string& name, int runs, const Property& property) {
  constexpr std::uint64_t kSeed = 20261204;
  constexpr int kSize = 100;
  const rc::detail::TestMetadata metadata{name, ""};
  const rc::detail::TestParams parameters{kSeed, runs, kSize, 10, false};
  const auto result = rc::detail::checkTestable(property, metadata, parameters);
  if (!result.template is<rc::detail::SuccessResult>()) {
    rc::detail::printResultMessage(result, std::cerr);
    ADD_FAILURE() << name << " does not hold; the counterexample is printed above";
  }
}

/// Values that decoders commonly get wrong: bounds of integers, other types, texts that are not
/// UTF-8, and long or deep values.
inline std::vector<Json::Value> AwkwardValues() {
  std::vector<Json::Value> values{Json::Value(),
                                  Json::Value(true),
                                  Json::Value(0),
                                  Json::Value(-1),
                                  Json::Value(Json::Int64{INT64_MAX}),
                                  Json::Value(Json::Int64{INT64_MIN}),
                                  Json::Value(Json::UInt64{UINT64_MAX}),
                                  Json::Value(0.5),
                                  Json::Value(1e300),
                                  Json::Value(-0.0),
                                  Json::Value(1e19),
                                  Json::Value(""),
                                  Json::Value("~~~"),
                                  Json::Value("\xff\xc3"),
                                  Json::Value(std::string("a\0b\n", 4)),
                                  Json::Value(std::string(200000, 'x')),
                                  Json::Value("http://" + std::string(200000, 'x')),
                                  Json::Value(Json::arrayValue),
                                  Json::Value(Json::objectValue)};
  Json::Value deep(7);
  for (int level = 0; level < 300; ++level) {
    Json::Value outer(Json::arrayValue);
    outer.append(deep);
    deep = outer;
  }
  values.push_back(deep);
  return values;
}

/// Appends the value and everything in it.
inline void CollectNodes(Json::Value& value, std::vector<Json::Value*>& nodes) {
  nodes.push_back(&value);
  if (value.isArray() || value.isObject()) {
    for (auto& member : value) {
      CollectNodes(member, nodes);
    }
  }
}

/// Replaces, removes, adds or repeats one to three members. To be called inside a property.
inline Json::Value MutateValue(Json::Value json) {
  static const std::vector<Json::Value> kAwkward = AwkwardValues();
  static const std::vector<std::string> kNames{"", "x", "a\nb", "it's", "a]['b", "\xff", "name"};
  const int changes = *rc::gen::inRange(1, 4);
  for (int change = 0; change < changes; ++change) {
    std::vector<Json::Value*> nodes;
    CollectNodes(json, nodes);
    Json::Value& node = *nodes.at(*rc::gen::inRange<std::size_t>(0, nodes.size()));
    const Json::Value& awkward = kAwkward.at(*rc::gen::inRange<std::size_t>(0, kAwkward.size()));
    const int kind = *rc::gen::inRange(0, 4);
    if (kind == 1 && node.isObject() && !node.empty()) {
      const auto names = node.getMemberNames();
      node.removeMember(names.at(*rc::gen::inRange<std::size_t>(0, names.size())));
    } else if (kind == 2 && node.isObject()) {
      node[kNames.at(*rc::gen::inRange<std::size_t>(0, kNames.size()))] = awkward;
    } else if (kind == 3 && node.isArray() && !node.empty()) {
      node.append(Json::Value(node[0]));
    } else {
      node = awkward;
    }
  }
  return json;
}

/// Changes, inserts, removes or repeats some bytes. To be called inside a property.
inline std::string MutateText(std::string text) {
  static const std::string kBytes("{}[]\",:\\0123456789.eE-+ntfu~/ \n\0\xff\xc3\x80", 38);
  const int changes = *rc::gen::inRange(1, 5);
  for (int change = 0; change < changes && !text.empty(); ++change) {
    const std::size_t at = *rc::gen::inRange<std::size_t>(0, text.size());
    const char byte = kBytes.at(*rc::gen::inRange<std::size_t>(0, kBytes.size()));
    const std::size_t length = *rc::gen::inRange<std::size_t>(1, 20);
    switch (*rc::gen::inRange(0, 4)) {
      case 0:
        text[at] = byte;
        break;
      case 1:
        text.insert(at, 1, byte);
        break;
      case 2:
        text.erase(at, length);
        break;
      default:
        text.insert(at, text.substr(at, length));
        break;
    }
  }
  return text;
}

}  // namespace quetzalvale
