#include "entry/answer_json.h"

#include <json/value.h>

#include <string>

#include "protocol/codec.h"

namespace quetzalvale {
namespace {

Json::Value TicketTexts(const std::vector<Ticket>& tickets) {
  Json::Value texts(Json::arrayValue);
  for (const auto& ticket : tickets) {
    texts.append(ticket.Text());
  }
  return texts;
}

/// Returns the result's own text if it is JSON, so that numbers keep their digits.
std::string ResultText(const std::string& result) {
  return IsOk(ReadJson(result)) ? result : WriteJson(Json::Value(result));
}

/// Adds the outcomes to the members already in `json`.
std::string WithOutcomes(const Json::Value& json, const std::vector<std::string>& results) {
  std::string text = WriteJson(json);
  text.pop_back();
  text += ",\"outcomes\":[";
  const char* separator = "";
  for (const auto& result : results) {
    text.append(separator).append("{\"result\":").append(ResultText(result)).append("}");
    separator = ",";
  }
  return text + "]}";
}

Json::Value RefusalJson(const Error& error) {
  Json::Value json;
  json["status"] = "refused";
  json["error"] = ErrorKindText(error.kind);
  json["message"] = error.message;
  return json;
}

}  // namespace

HttpResponse RenderRefusal(const Error& error) {
  return {HttpStatus(error.kind), WriteJson(RefusalJson(error))};
}

HttpResponse RenderJobRefusal(const Error& error, bool not_run) {
  Json::Value json = RefusalJson(error);
  json["not_run"] = not_run;
  return {HttpStatus(error.kind), WriteJson(json)};
}

HttpResponse RenderAnswer(const Answer& answer) {
  Json::Value json;
  if (answer.status == AnswerStatus::kRefused) {
    json = RefusalJson({answer.error, answer.message});
    json["not_run"] = answer.not_run;
  }
  if (answer.ticket) {
    json["ticket"] = answer.ticket->Text();
  }
  json["tickets"] = TicketTexts(answer.fresh_tickets);
  if (answer.status == AnswerStatus::kRefused) {
    return {HttpStatus(answer.error), WriteJson(json)};
  }
  if (answer.status == AnswerStatus::kComplete) {
    json["status"] = "complete";
    return {200, WithOutcomes(json, answer.results)};
  }
  json["status"] = "failed";
  json["reason"] = answer.reason;
  json["message"] = answer.message;
  json["not_run"] = answer.not_run;
  return {200, WriteJson(json)};
}

HttpResponse RenderQuery(const Result<std::optional<Answer>>& answer) {
  if (!IsOk(answer)) {
    // A query is no submission: it proves nothing about whether the job ran.
    Json::Value json;
    json["status"] = "error";
    json["error"] = ErrorKindText(GetError(answer).kind);
    json["message"] = GetError(answer).message;
    return {HttpStatus(GetError(answer).kind), WriteJson(json)};
  }
  const auto& found = std::get<0>(answer);
  if (!found) {
    return {202, R"({"status":"in_progress"})"};
  }
  return RenderAnswer(*found);
}

HttpResponse RenderTickets(const Result<std::vector<Ticket>>& tickets) {
  if (!IsOk(tickets)) {
    return RenderRefusal(GetError(tickets));
  }
  Json::Value json;
  json["tickets"] = TicketTexts(std::get<0>(tickets));
  return {200, WriteJson(json)};
}

HttpResponse RenderAdminError(const Error& error, std::optional<bool> applied) {
  Json::Value json;
  json["error"] = ErrorKindText(error.kind);
  json["message"] = error.message;
  json["applied"] = applied ? Json::Value(*applied) : Json::Value("unknown");
  return {HttpStatus(error.kind), WriteJson(json)};
}

}  // namespace quetzalvale
