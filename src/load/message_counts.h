/// Message counters of entries and agents, as served at /metrics.
#pragma once

#include <map>
#include <string>
#include <string_view>

namespace quetzalvale {

/// Counters messages_sent_total and messages_useful_total of one or more processes.
struct MessageCounts {
  double sent = 0;
  double useful = 0;

  /// Reads the text of one process's GET /metrics.
  static MessageCounts Parse(std::string_view metrics);
};

/// Message counters before and after a run, by the URL they came from. Not thread-safe.
class MessageTally {
 public:
  void Before(const std::string& url, const MessageCounts& counts) { this->before[url] = counts; }
  void After(const std::string& url, const MessageCounts& counts) { this->after[url] = counts; }

  /// Messages of the run. A counter that fell belongs to a process that started anew.
  MessageCounts Total() const;

 private:
  std::map<std::string, MessageCounts> before;
  std::map<std::string, MessageCounts> after;
};

}  // namespace quetzalvale
