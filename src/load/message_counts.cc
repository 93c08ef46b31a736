#include "load/message_counts.h"

#include <sstream>

namespace quetzalvale {

MessageCounts MessageCounts::Parse(std::string_view metrics) {
  MessageCounts counts;
  std::istringstream lines{std::string(metrics)};
  std::string name;
  double value = 0;
  while (lines >> name >> value) {
    if (name == "messages_sent_total") counts.sent = value;
    if (name == "messages_useful_total") counts.useful = value;
  }
  return counts;
}

MessageCounts MessageTally::Total() const {
  MessageCounts total;
  for (const auto& [url, counts] : this->after) {
    const auto found = this->before.find(url);
    const bool continued = found != this->before.end() && found->second.sent <= counts.sent;
    total.sent += counts.sent - (continued ? found->second.sent : 0);
    total.useful += counts.useful - (continued ? found->second.useful : 0);
  }
  return total;
}

}  // namespace quetzalvale
