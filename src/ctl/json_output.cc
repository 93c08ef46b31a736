#include "ctl/json_output.h"

#include <json/writer.h>

namespace quetzalvale {

void PrintJson(std::ostream& out, const Json::Value& value) {
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "  ";
  builder["enableYAMLCompatibility"] = true;
  out << Json::writeString(builder, value) << "\n";
}

}  // namespace quetzalvale
