#include "standin/platform_faults.h"

#include <algorithm>
#include <set>
#include <string>

namespace quetzalvale {
namespace {

// The platform sustains several hundred writes/s and about 2,000 reads/s.
constexpr double kWritesPerSecond = 400;
constexpr double kReadsPerSecond = 2000;
constexpr double kMaxSetting = 1e9;

bool IsValid(const std::string& name, const Json::Value& value) {
  static const std::set<std::string> numbers{"read_latency_ms", "write_latency_ms",
                                             "writes_per_second", "reads_per_second",
                                             "lose_answers"};
  if (name == "outage") {
    return value.isBool();
  }
  return numbers.contains(name) && value.isNumeric() && value.asDouble() >= 0 &&
         value.asDouble() <= kMaxSetting;
}

}  // namespace

RateLimit::RateLimit(double per_second)
    : per_second(per_second), tokens(std::max(1.0, per_second)) {}

void RateLimit::SetRate(double new_per_second) {
  this->per_second = new_per_second;
  this->tokens = new_per_second;
}

bool RateLimit::TryTake(std::chrono::steady_clock::time_point now) {
  const double seconds = std::chrono::duration<double>(now - this->filled).count();
  this->filled = now;
  const double added = seconds * this->per_second;
  this->tokens = std::min(std::max(1.0, this->per_second), this->tokens + added);
  if (this->per_second <= 0 || this->tokens < 1) {
    return false;
  }
  this->tokens -= 1;
  return true;
}

PlatformFaults::PlatformFaults() : writes(kWritesPerSecond), reads(kReadsPerSecond) {}

Treatment PlatformFaults::Treat(RateLimit& limit, std::chrono::milliseconds latency) {
  constexpr int kUnavailable = 503;
  constexpr int kTooMany = 429;
  Treatment treatment;
  treatment.latency = latency;
  if (this->outage) {
    treatment.refusal = kUnavailable;
  } else if (!limit.TryTake(std::chrono::steady_clock::now())) {
    treatment.refusal = kTooMany;
  }
  return treatment;
}

Treatment PlatformFaults::TreatRead() {
  const std::lock_guard lock(this->mutex);
  return this->Treat(this->reads, this->read_latency);
}

Treatment PlatformFaults::TreatWrite() {
  const std::lock_guard lock(this->mutex);
  Treatment treatment = this->Treat(this->writes, this->write_latency);
  if (treatment.refusal == 0 && this->lose_answers > 0) {
    --this->lose_answers;
    treatment.lose_answer = true;
  }
  return treatment;
}

Json::Value PlatformFaults::Describe() const {
  const std::lock_guard lock(this->mutex);
  Json::Value settings;
  settings["outage"] = this->outage;
  settings["read_latency_ms"] = static_cast<Json::Int64>(this->read_latency.count());
  settings["write_latency_ms"] = static_cast<Json::Int64>(this->write_latency.count());
  settings["writes_per_second"] = this->writes.Rate();
  settings["reads_per_second"] = this->reads.Rate();
  settings["lose_answers"] = static_cast<Json::UInt64>(this->lose_answers);
  return settings;
}

Status PlatformFaults::Change(const Json::Value& settings) {
  if (!settings.isObject()) {
    return Error{ErrorKind::kMalformed, "the body is not an object; send the settings to change"};
  }
  for (const auto& name : settings.getMemberNames()) {
    if (!IsValid(name, settings[name])) {
      return Error{ErrorKind::kMalformed,
                   name + " is unknown or has a bad value; GET /control shows the settings"};
    }
  }
  const std::lock_guard lock(this->mutex);
  this->outage = settings.get("outage", this->outage).asBool();
  this->read_latency = std::chrono::milliseconds(
      settings.get("read_latency_ms", static_cast<Json::Int64>(this->read_latency.count()))
          .asInt64());
  this->write_latency = std::chrono::milliseconds(
      settings.get("write_latency_ms", static_cast<Json::Int64>(this->write_latency.count()))
          .asInt64());
  this->lose_answers =
      settings.get("lose_answers", static_cast<Json::UInt64>(this->lose_answers)).asUInt64();
  if (settings.isMember("writes_per_second")) {
    this->writes.SetRate(settings["writes_per_second"].asDouble());
  }
  if (settings.isMember("reads_per_second")) {
    this->reads.SetRate(settings["reads_per_second"].asDouble());
  }
  return {};
}

}  // namespace quetzalvale
