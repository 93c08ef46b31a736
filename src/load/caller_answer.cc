#include "load/caller_answer.h"

#include <json/reader.h>
#include <json/value.h>

#include <memory>
#include <optional>

namespace quetzalvale {
namespace {

std::optional<Json::Value> ParseObject(std::string_view body) {
  Json::Value value;
  std::string errors;
  const std::unique_ptr<Json::CharReader> reader(Json::CharReaderBuilder().newCharReader());
  if (!reader->parse(body.data(), body.data() + body.size(), &value, &errors) ||
      !value.isObject()) {
    return std::nullopt;
  }
  return value;
}

std::string TextOf(const Json::Value& value) { return value.isString() ? value.asString() : ""; }

std::vector<std::string> TicketsOf(const Json::Value& answer) {
  std::vector<std::string> tickets;
  for (const Json::Value& ticket : answer["tickets"]) {
    if (ticket.isString()) tickets.push_back(ticket.asString());
  }
  return tickets;
}

std::string CheckEchoes(const Json::Value& outcomes, std::span<const std::string> echoes) {
  if (!outcomes.isArray() || outcomes.size() != echoes.size()) {
    return "complete answer without one outcome per task";
  }
  for (Json::ArrayIndex i = 0; i < outcomes.size(); ++i) {
    if (!outcomes[i].isObject() || outcomes[i]["result"] != Json::Value(echoes[i])) {
      return "outcome " + std::to_string(i) + " is not that of the caller's own task";
    }
  }
  return "";
}

}  // namespace

CallerAnswer ReadCallerAnswer(int http_status, std::string_view body,
                              std::span<const std::string> echoes) {
  CallerAnswer answer;
  if (http_status == 0) {
    answer.reason = "unreachable";
    return answer;
  }
  const auto value = ParseObject(body);
  if (!value) {
    answer.reason = "http_" + std::to_string(http_status);
    return answer;
  }
  const std::string status = TextOf((*value)["status"]);
  answer.not_run = (*value)["not_run"].isBool() && (*value)["not_run"].asBool();
  answer.tickets = TicketsOf(*value);
  if (status == "complete") {
    answer.status = CallerStatus::kComplete;
    answer.violation = CheckEchoes((*value)["outcomes"], echoes);
    return answer;
  }
  if (value->isMember("outcomes")) {
    answer.violation = "answer that is not complete carries outcomes";
  }
  if (status == "failed") {
    answer.status = CallerStatus::kFailed;
    answer.reason = TextOf((*value)["reason"]);
  } else if (status == "refused") {
    answer.status = CallerStatus::kRefused;
    answer.reason = TextOf((*value)["error"]);
  } else {
    answer.reason = "http_" + std::to_string(http_status);
  }
  return answer;
}

std::vector<std::string> ReadTickets(std::string_view body) {
  const auto value = ParseObject(body);
  return value ? TicketsOf(*value) : std::vector<std::string>{};
}

}  // namespace quetzalvale
