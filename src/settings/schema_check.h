/// Validation of a JSON document against a JSON schema, with errors that an operator can act on.
#pragma once

#include <json/value.h>

#include <string>
#include <string_view>
#include <vector>

namespace quetzalvale {

/// Collects the errors of one document. Not thread-safe.
class ValidationErrors {
 public:
  /// `source` is the file, or the place in the platform, that the document comes from.
  explicit ValidationErrors(std::string source);

  /// Adds an error. `path` is a JSON path such as `$.kinds[0].name`.
  void Add(std::string_view path, std::string_view problem, std::string_view remedy);

  bool IsEmpty() const { return this->lines.empty(); }

  /// Returns one line per error: `source: path: problem; remedy`.
  std::string Text() const;

 private:
  std::string source;
  std::vector<std::string> lines;
};

/// Adds every violation of the schema to `errors`. Remedies are the descriptions in the schema.
/// Precondition: `schema_text` is a valid schema whose numbers all have bounds within 32 bits and
/// whose texts with a pattern have a bound below 4,000 characters.
void CheckSchema(std::string_view schema_text, const Json::Value& document,
                 ValidationErrors& errors);

}  // namespace quetzalvale
