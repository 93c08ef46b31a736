#include "http/connection_report.h"

#include <array>
#include <string>

#include "runtime/log.h"
#include "runtime/metrics.h"

namespace quetzalvale {
namespace {

struct Kind {
  int event;
  const char* name;
};

/// In the order of ConnectionEvent.
constexpr std::array<Kind, static_cast<std::size_t>(ConnectionEvent::kCount)> kKinds{{
    {9100, "connection_refused"},
    {9101, "connection_replaced"},
    {9102, "descriptors_short"},
    {9103, "header_late"},
    {9104, "transfer_late"},
    {9105, "connection_idle"},
    {9106, "request_malformed"},
    {9107, "header_too_large"},
    {9108, "body_too_large"},
    {9109, "connection_memory_full"},
    {9110, "answer_too_large"},
}};

std::string AddressText(std::uint32_t address) {
  constexpr unsigned int kByte = 255;
  constexpr unsigned int kBits = 8;
  std::string text;
  for (int shift = 3; shift >= 0; --shift) {
    text += std::to_string((address >> (static_cast<unsigned int>(shift) * kBits)) & kByte);
    text += shift > 0 ? "." : "";
  }
  return text;
}

}  // namespace

void ApplyConnectionLimits(const HttpLimits& limits) {
  ConnectionTable& table = *ConnectionTable::OfProcess();
  table.SetLimits(limits);
  table.SetObserver([](ConnectionEvent event, std::uint32_t address) {
    const Kind& kind = kKinds.at(static_cast<std::size_t>(event));
    // That a peer leaves its connection unused is usual.
    const auto level = event == ConnectionEvent::kIdle ? LogLevel::kDebug : LogLevel::kWarning;
    Log(level, kind.event, kind.name, "peer=" + AddressText(address));
  });
}

void ReportConnections(const ConnectionTable& table, Metrics& metrics) {
  const auto counts = table.Reported();
  for (std::size_t i = 0; i < counts.size(); ++i) {
    metrics.SetTotal("connection_events_total", static_cast<double>(counts.at(i)),
                     {{"kind", kKinds.at(i).name}});
  }
}

}  // namespace quetzalvale
