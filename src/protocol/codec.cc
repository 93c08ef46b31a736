#include "protocol/codec.h"

#include <json/reader.h>
#include <json/writer.h>

#include <memory>
#include <sstream>
#include <stdexcept>
#include <utility>

#include "protocol/json_nesting.h"
#include "protocol/utf8.h"

namespace quetzalvale {
namespace {

/// A value takes about 100 bytes once it is read, so a text of 4 MiB could take 200 MB. Bodies of
/// up to 262,144 bytes, and all that are read from well-behaved peers, have fewer.
constexpr std::size_t kMaxValues = 1U << 18U;
/// The shortest value and its comma.
constexpr std::size_t kMinValueBytes = 2;

std::unique_ptr<Json::StreamWriter> MakeWriter() {
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return std::unique_ptr<Json::StreamWriter>(builder.newStreamWriter());
}

std::unique_ptr<Json::CharReader> MakeReader() {
  Json::CharReaderBuilder builder;
  Json::CharReaderBuilder::strictMode(&builder.settings_);
  // Strict mode allows only arrays and objects at the top; payloads may be any JSON value.
  builder["strictRoot"] = false;
  return std::unique_ptr<Json::CharReader>(builder.newCharReader());
}

}  // namespace

std::string FieldPath::Text() const {
  if (this->parent == nullptr) {
    return std::string(this->name);
  }
  std::string text = this->parent->Text();
  if (this->name.empty()) {
    text += '[';
    text += std::to_string(this->index);
    text += ']';
    return text;
  }
  text += '.';
  text += this->name;
  return text;
}

namespace codec_detail {

void ThrowMalformed(const FieldPath& path, const char* expected) {
  throw std::invalid_argument(path.Text() + " must be " + expected);
}

std::int64_t ReadInteger(const Json::Value& json, const FieldPath& path, std::int64_t lowest,
                         std::int64_t highest) {
  if (!json.isInt64()) {
    ThrowMalformed(path, "an integer");
  }
  const std::int64_t value = json.asInt64();
  if (value < lowest || value > highest) {
    ThrowMalformed(path, "an integer within its range");
  }
  return value;
}

std::uint64_t ReadUnsigned(const Json::Value& json, const FieldPath& path) {
  if (!json.isUInt64()) {
    ThrowMalformed(path, "a non-negative integer");
  }
  return json.asUInt64();
}

double ReadDouble(const Json::Value& json, const FieldPath& path) {
  if (!json.isNumeric()) {
    ThrowMalformed(path, "a number");
  }
  return json.asDouble();
}

bool ReadBool(const Json::Value& json, const FieldPath& path) {
  if (!json.isBool()) {
    ThrowMalformed(path, "true or false");
  }
  return json.asBool();
}

std::string ReadString(const Json::Value& json, const FieldPath& path) {
  if (!json.isString()) {
    ThrowMalformed(path, "a string");
  }
  std::string text = json.asString();
  if (!IsUtf8(text)) {
    ThrowMalformed(path, "a string in UTF-8");
  }
  return text;
}

std::vector<std::string> ReadNames(const Json::Value& json, const FieldPath& path) {
  if (!json.isObject()) {
    ThrowMalformed(path, "an object");
  }
  std::vector<std::string> names = json.getMemberNames();
  for (const std::string& name : names) {
    if (!IsUtf8(name)) {
      ThrowMalformed(path, "an object whose names are in UTF-8");
    }
  }
  return names;
}

}  // namespace codec_detail

std::string WriteJson(const Json::Value& json) {
  // Making a writer costs more than writing a short message.
  thread_local const std::unique_ptr<Json::StreamWriter> writer = MakeWriter();
  std::ostringstream text;
  writer->write(json, &text);
  return std::move(text).str();
}

Result<Json::Value> ReadJson(std::string_view text) {
  thread_local const std::unique_ptr<Json::CharReader> reader = MakeReader();
  if (text.size() > kMinValueBytes * kMaxValues &&
      JsonValues(text.data(), text.size()) > kMaxValues) {
    return Error{ErrorKind::kMalformed,
                 "the JSON text has more than " + std::to_string(kMaxValues) + " values; split it"};
  }
  Json::Value json;
  std::string errors;
  try {
    if (reader->parse(text.data(), text.data() + text.size(), &json, &errors)) {
      return json;
    }
  } catch (const Json::Exception& too_deep) {
    errors = too_deep.what();
  }
  return Error{ErrorKind::kMalformed, "not valid JSON, correct the text: " + errors};
}

}  // namespace quetzalvale
