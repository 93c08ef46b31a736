#include "settings/connection_limits.h"

#include <chrono>

namespace quetzalvale {

HttpLimits DecodeConnectionLimits(const Json::Value& document) {
  HttpLimits limits;
  const auto read_size = [&document](const char* name, std::size_t& size) {
    if (document.isMember(name)) size = document[name].asUInt();
  };
  const auto read_time = [&document](const char* name, std::chrono::milliseconds& time) {
    if (document.isMember(name)) time = std::chrono::milliseconds(document[name].asInt64());
  };
  read_size("connections", limits.connections);
  read_size("connection_bytes", limits.connection_bytes);
  read_size("total_bytes", limits.total_bytes);
  read_time("header_ms", limits.header);
  read_time("transfer_ms", limits.transfer);
  read_time("idle_ms", limits.idle);
  return limits;
}

}  // namespace quetzalvale
