#include "entry/job_request.h"

#include <xxhash.h>

#include <array>
#include <cmath>
#include <limits>
#include <optional>
#include <span>
#include <utility>

#include "entry/json_text.h"
#include "protocol/codec.h"

namespace quetzalvale {
namespace {

constexpr std::size_t kMaxKeyBytes = 200;
constexpr double kMaxCores = 1e6;
constexpr std::int64_t kMaxMilliseconds = 86400000;
constexpr std::int64_t kMaxMemoryMb = 1000000000;
constexpr std::int64_t kMaxAccelerators = 10000;
constexpr std::int64_t kMaxTickets = 10000;

/// Reads the members of one object; keeps the first error.
class MemberReader {
 public:
  MemberReader(const Json::Value& object, std::string path)
      : object(object), path(std::move(path)) {}

  std::string Text(const char* name, bool required) {
    const Json::Value* value = this->Find(name);
    if (value == nullptr && required) {
      this->Fail(name, "is missing; add it");
    }
    if (value != nullptr && !value->isString()) {
      this->Fail(name, "must be a string");
    }
    return value != nullptr && value->isString() ? value->asString() : std::string();
  }

  std::int64_t Integer(const char* name, std::int64_t highest) {
    const Json::Value* value = this->Find(name);
    if (value == nullptr) {
      return 0;
    }
    if (!value->isInt64() || value->asInt64() < 0 || value->asInt64() > highest) {
      this->Fail(name, "must be an integer from 0 to " + std::to_string(highest));
      return 0;
    }
    return value->asInt64();
  }

  double Number(const char* name, double highest) {
    const Json::Value* value = this->Find(name);
    if (value == nullptr) {
      return 0;
    }
    const bool valid = value->isNumeric() && value->asDouble() >= 0 && value->asDouble() <= highest;
    if (!valid) {
      this->Fail(name, "must be a number from 0 to " + std::to_string(std::llround(highest)));
      return 0;
    }
    return value->asDouble();
  }

  void RefuseUnknown(std::span<const std::string_view> known) {
    for (const auto& name : this->object.getMemberNames()) {
      if (std::find(known.begin(), known.end(), name) == known.end()) {
        this->Fail(name, "is not a known member; remove it or correct its name");
      }
    }
  }

  void Fail(const std::string& name, const std::string& problem) {
    if (!this->error) {
      this->error = Error{ErrorKind::kMalformed, this->path + name + " " + problem};
    }
  }

  const std::optional<Error>& FirstError() const { return this->error; }

 private:
  /// Returns nullptr when the member is absent.
  const Json::Value* Find(const char* name) const {
    return this->object.isMember(name) ? &this->object[name] : nullptr;
  }

  const Json::Value& object;
  std::string path;
  std::optional<Error> error;
};

constexpr std::array<std::string_view, 6> kJobMembers{"ticket", "key",         "team",
                                                      "kind",   "deadline_ms", "tasks"};
constexpr std::array<std::string_view, 5> kTaskMembers{"payload", "declared_ms", "cores",
                                                       "memory_mb", "accelerators"};

Result<TaskSpec> ParseTask(const Json::Value& json, std::string_view body, std::size_t index) {
  const std::string path = "tasks[" + std::to_string(index) + "]";
  if (!json.isObject()) {
    return Error{ErrorKind::kMalformed, path + " must be an object"};
  }
  MemberReader reader(json, path + ".");
  TaskSpec task;
  reader.RefuseUnknown(kTaskMembers);
  task.declared_run_time = Milliseconds(reader.Integer("declared_ms", kMaxMilliseconds));
  task.cores = reader.Number("cores", kMaxCores);
  task.memory_mb = reader.Integer("memory_mb", kMaxMemoryMb);
  task.accelerators = static_cast<int>(reader.Integer("accelerators", kMaxAccelerators));
  if (!json.isMember("payload")) {
    reader.Fail("payload", "is missing; add it, null if there is none");
  } else {
    const Json::Value& payload = json["payload"];
    const auto start = static_cast<std::size_t>(payload.getOffsetStart());
    const auto limit = static_cast<std::size_t>(payload.getOffsetLimit());
    task.payload = std::string(body.substr(start, limit - start));
  }
  if (reader.FirstError()) {
    return *reader.FirstError();
  }
  return task;
}

std::optional<Error> ParseTasks(const Json::Value& json, std::string_view body,
                                std::vector<TaskSpec>& tasks) {
  if (!json.isArray() || json.empty()) {
    return Error{ErrorKind::kMalformed, "tasks must be a list with at least one task"};
  }
  tasks.reserve(json.size());
  for (const auto& element : json) {
    auto task = ParseTask(element, body, tasks.size());
    if (!IsOk(task)) {
      return GetError(task);
    }
    tasks.push_back(std::get<TaskSpec>(std::move(task)));
  }
  return std::nullopt;
}

std::uint64_t BodyHash(std::string_view service, Json::Value json) {
  json.removeMember("ticket");
  Json::Value covered(Json::arrayValue);
  covered.append(std::string(service));
  covered.append(std::move(json));
  const std::string canonical = WriteJson(covered);
  return XXH64(canonical.data(), canonical.size(), 0);
}

std::optional<Error> CheckIdentity(const Submission& submission, const Json::Value& json) {
  if (json.isMember("ticket") && json.isMember("key")) {
    return Error{ErrorKind::kMalformed, "ticket and key are both given; send one of them"};
  }
  if (!json.isMember("ticket") && submission.key.empty()) {
    return Error{ErrorKind::kNoIdentity,
                 "neither ticket nor key is given; add a ticket, or a key of your own, so that a "
                 "resubmission does not run the job again"};
  }
  if (submission.key.size() > kMaxKeyBytes) {
    return Error{ErrorKind::kMalformed,
                 "key is longer than " + std::to_string(kMaxKeyBytes) + " bytes; shorten it"};
  }
  return std::nullopt;
}

Result<std::optional<Ticket>> ParseTicket(std::string_view service, const std::string& text) {
  if (text.empty()) {
    return std::optional<Ticket>();
  }
  auto ticket = Ticket::Parse(text);
  if (!ticket) {
    return Error{
        ErrorKind::kMalformed,
        "ticket is not in the form service~owner~sequence~roster; send it as it was given"};
  }
  if (ticket->service != service) {
    return Error{ErrorKind::kUnknownTicket, "the ticket belongs to service " + ticket->service +
                                                "; use a ticket of " + std::string(service)};
  }
  return ticket;
}

}  // namespace

Result<Submission> ParseJobRequest(std::string_view service, std::string_view body,
                                   std::uint64_t max_body_bytes) {
  if (body.size() > max_body_bytes) {
    return Error{ErrorKind::kTooLarge,
                 "the body exceeds " + std::to_string(max_body_bytes) + " bytes; split the job"};
  }
  const auto parsed = ParseOutsideObject(body);
  if (!IsOk(parsed)) {
    return GetError(parsed);
  }
  const auto& json = std::get<Json::Value>(parsed);
  MemberReader reader(json, "");
  Submission submission;
  submission.service = service;
  reader.RefuseUnknown(kJobMembers);
  const std::string ticket_text = reader.Text("ticket", false);
  submission.key = reader.Text("key", false);
  submission.team = reader.Text("team", true);
  submission.kind = reader.Text("kind", true);
  submission.deadline = Milliseconds(reader.Integer("deadline_ms", kMaxMilliseconds));
  if (json.isMember("ticket") && ticket_text.empty()) {
    reader.Fail("ticket", "must be a ticket as it was given");
  }
  if (reader.FirstError()) {
    return *reader.FirstError();
  }
  if (auto error = CheckIdentity(submission, json)) {
    return *std::move(error);
  }
  auto ticket = ParseTicket(service, ticket_text);
  if (!IsOk(ticket)) {
    return GetError(ticket);
  }
  submission.ticket = std::get<0>(std::move(ticket));
  if (auto error = ParseTasks(json["tasks"], body, submission.tasks)) {
    return *std::move(error);
  }
  submission.body_hash = BodyHash(service, json);
  return submission;
}

bool NamesNoJob(std::string_view body) {
  const auto parsed = ParseOutsideObject(body);
  if (!IsOk(parsed)) {
    return false;
  }
  const auto& json = std::get<Json::Value>(parsed);
  // Text that was never a ticket cannot name a job.
  const Json::Value& ticket = json["ticket"];
  const bool has_ticket = ticket.isString() && Ticket::Parse(ticket.asString()).has_value();
  return !has_ticket && !json.isMember("key");
}

Result<std::uint32_t> ParseTicketsRequest(std::string_view body) {
  constexpr std::array<std::string_view, 1> kMembers{"count"};
  const auto parsed = ParseOutsideObject(body);
  if (!IsOk(parsed)) {
    return GetError(parsed);
  }
  MemberReader reader(std::get<Json::Value>(parsed), "");
  reader.RefuseUnknown(kMembers);
  const std::int64_t count = reader.Integer("count", kMaxTickets);
  if (count == 0) {
    reader.Fail("count", "must be an integer from 1 to " + std::to_string(kMaxTickets));
  }
  if (reader.FirstError()) {
    return *reader.FirstError();
  }
  return static_cast<std::uint32_t>(count);
}

}  // namespace quetzalvale
