#include "settings/schema_check.h"

#include <algorithm>
#include <cctype>
#include <limits>
#include <utility>
#include <valijson/adapters/jsoncpp_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

#include "protocol/codec.h"

namespace quetzalvale {
namespace {

using Adapter = valijson::adapters::JsonCppAdapter;

/// Longest text that is checked as it is. std::regex recurses once per character, so that a long
/// text would exhaust the stack. All schemas' bounds are lower.
constexpr std::size_t kLongestText = 4000;

/// Clamps integers to 32 bits, because valijson's adapter throws on larger ones, and texts to
/// kLongestText. The schemas' bounds are narrower, so that a clamped value is still reported.
Json::Value ClampValues(const Json::Value& value) {
  if (value.isArray() || value.isObject()) {
    Json::Value copy = value;
    for (auto& member : copy) {
      member = ClampValues(member);
    }
    return copy;
  }
  if (value.isString() && value.asString().size() > kLongestText) {
    return value.asString().substr(0, kLongestText);
  }
  if (value.isBool() || !value.isIntegral() || value.isInt()) {
    return value;
  }
  const bool negative = value.asDouble() < 0;
  return negative ? std::numeric_limits<int>::min() : std::numeric_limits<int>::max();
}

/// The place of an error: its JSON path and the part of the schema that applies there.
struct Place {
  std::string path = "$";
  Json::Value schema;
};

Place Locate(const Json::Value& schema, const std::vector<std::string>& context) {
  Place place{"$", schema};
  for (std::size_t i = 1; i < context.size(); ++i) {
    const std::string name = context[i].substr(1, context[i].size() - 2);
    if (place.schema.isMember("items")) {
      place.path += context[i];
      place.schema = Json::Value(place.schema["items"]);
    } else {
      place.path += "." + name;
      place.schema = Json::Value(place.schema["properties"][name]);
    }
  }
  return place;
}

/// Returns the member name that ends the description, between `opening` and a quotation mark.
std::string NameAfter(const std::string& description, std::string_view opening) {
  const std::size_t first = description.find(opening);
  const std::size_t last = description.rfind('\'');
  if (first == std::string::npos || last < first + opening.size()) {
    return "";
  }
  return description.substr(first + opening.size(), last - first - opening.size());
}

/// Returns what is wrong in the words of an operator rather than of the JSON schema.
std::string Problem(const std::string& description) {
  if (description.starts_with("Value type not permitted")) return "has the wrong type";
  if (description.starts_with("Failed to match against any enum")) return "is not a known value";
  if (description.starts_with("Failed to match regex")) return "has a form that is not allowed";
  return description.ends_with('.') ? description.substr(0, description.size() - 1) : description;
}

std::string KnownNames(const Json::Value& schema) {
  std::string names;
  for (const auto& name : schema["properties"].getMemberNames()) {
    names += (names.empty() ? "" : ", ") + name;
  }
  return names;
}

std::string Remedy(const Json::Value& schema) {
  return schema.isMember("description") ? "set it to " + schema["description"].asString()
                                        : "correct the value";
}

void AddError(const Json::Value& schema, const valijson::ValidationResults::Error& error,
              ValidationErrors& errors) {
  const Place place = Locate(schema, error.context);
  const std::string& description = error.description;
  if (description.starts_with("Failed to validate")) {
    return;  // Repeats, at the parent, an error that a child has.
  }
  if (description.starts_with("Missing required property")) {
    const std::string name = NameAfter(description, "property '");
    errors.Add(place.path + "." + name, "is missing", Remedy(place.schema["properties"][name]));
  } else if (description.starts_with("Object contains a property")) {
    const std::string name = NameAfter(description, "constraints: '");
    errors.Add(place.path + "." + name, "is not a known member",
               "remove it or correct its name; known are " + KnownNames(place.schema));
  } else {
    errors.Add(place.path, Problem(description), Remedy(place.schema));
  }
}

}  // namespace

ValidationErrors::ValidationErrors(std::string source) : source(std::move(source)) {}

void ValidationErrors::Add(std::string_view path, std::string_view problem,
                           std::string_view remedy) {
  std::string line = this->source;
  line.append(": ").append(path).append(": ").append(problem).append("; ").append(remedy);
  // Names of members may hold line breaks, which would look like further errors.
  std::replace_if(
      line.begin(), line.end(), [](unsigned char byte) { return std::iscntrl(byte) != 0; }, '?');
  this->lines.push_back(std::move(line));
}

std::string ValidationErrors::Text() const {
  std::string text;
  for (const auto& line : this->lines) {
    text += (text.empty() ? "" : "\n") + line;
  }
  return text;
}

void CheckSchema(std::string_view schema_text, const Json::Value& document,
                 ValidationErrors& errors) {
  const Json::Value schema_json = std::get<Json::Value>(ReadJson(schema_text));
  valijson::Schema schema;
  valijson::SchemaParser parser(valijson::SchemaParser::kDraft7);
  parser.populateSchema(Adapter(schema_json), schema);
  const Json::Value clamped = ClampValues(document);
  valijson::Validator validator(valijson::Validator::kStrongTypes);
  valijson::ValidationResults results;
  if (validator.validate(schema, Adapter(clamped), &results)) {
    return;
  }
  valijson::ValidationResults::Error error;
  while (results.popError(error)) {
    AddError(schema_json, error, errors);
  }
}

}  // namespace quetzalvale
