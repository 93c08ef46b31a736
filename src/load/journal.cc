#include "load/journal.h"

#include <json/reader.h>
#include <json/value.h>

#include <memory>

namespace quetzalvale {

Status Journal::Add(std::string_view body) {
  Json::Value value;
  std::string errors;
  const std::unique_ptr<Json::CharReader> reader(Json::CharReaderBuilder().newCharReader());
  if (!reader->parse(body.data(), body.data() + body.size(), &value, &errors) ||
      !value.isObject() || !value["starts"].isArray()) {
    return Error{ErrorKind::kMalformed,
                 "the journal is not an object with \"starts\"; give the address of an endpoint "
                 "stand-in"};
  }
  for (const Json::Value& start : value["starts"]) {
    if (!start.isObject() || !start["task"].isString()) {
      return Error{ErrorKind::kMalformed, "a start in the journal has no \"task\""};
    }
    ++this->starts[start["task"].asString()];
  }
  return std::monostate{};
}

std::uint64_t Journal::DoubleStarts() const {
  std::uint64_t repeated = 0;
  for (const auto& [task, count] : this->starts) repeated += count - 1;
  return repeated;
}

std::uint64_t Journal::RanThoughNotRun(const std::set<std::string>& not_run_tickets) const {
  std::uint64_t ran = 0;
  for (const auto& [task, count] : this->starts) {
    // A task's key is `ticket/index`.
    if (not_run_tickets.contains(task.substr(0, task.rfind('/')))) ++ran;
  }
  return ran;
}

}  // namespace quetzalvale
