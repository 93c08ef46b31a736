#include "load/message_counts.h"

#include <sstream>

namespace quetzalvale {

MessageCounts MessageCounts::Parse(std::string_view metrics) {
  MessageCounts counts;
  std::istringstream lines{std::string(metrics)};
  std::string line;
  while (std::getline(lines, line)) {
    std::istringstream parts(line);
    std::string name;
    double value = 0;
    // Lines with `#` tell about the metric that follows.
    if (!(parts >> name >> value)) continue;
    if (name == "quetzalvale_messages_sent_total") counts.sent = value;
    if (name == "quetzalvale_messages_useful_total") counts.useful = value;
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
