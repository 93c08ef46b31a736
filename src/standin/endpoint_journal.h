/// Record of every task start that the endpoint stand-in accepted.
#pragma once

#include <json/value.h>

#include <chrono>
#include <cstddef>
#include <fstream>
#include <string>
#include <vector>

#include "core/types.h"

namespace quetzalvale {

/// The tests' source of truth about what ran. Not thread-safe.
class EndpointJournal {
 public:
  /// `now` and `wall_now` are the same moment; times are shown in milliseconds since the epoch.
  EndpointJournal(Time now, std::chrono::system_clock::time_point wall_now);

  /// Also writes every record to the file as it happens. Returns false when it cannot be opened.
  bool WriteTo(const std::string& path);

  /// Records an accepted start before its work begins. Returns the number of the record.
  std::size_t RecordStart(const std::string& task, Time at);

  /// `end` is ok, failed, stopped or lease_lapsed.
  void RecordEnd(std::size_t record, const std::string& end, Time at);

  /// {"starts": [{"task", "at_ms", "end", "ended_ms"}]}; `end` is null while the task runs.
  Json::Value ToJson() const;

  std::size_t Size() const { return this->records.size(); }

 private:
  struct Record {
    std::string task;
    std::int64_t at_ms = 0;
    std::string end;
    std::int64_t ended_ms = 0;
  };

  std::int64_t WallMs(Time time) const;
  void WriteLine(const char* what, const Record& record);

  Time base;
  std::chrono::system_clock::time_point wall_base;
  std::vector<Record> records;
  std::ofstream file;
};

}  // namespace quetzalvale
