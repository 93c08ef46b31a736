/// Fuzzing of callers' bodies with a fixed corpus and seed.
#include <gtest/gtest.h>

#include "entry/job_request.h"
#include "tests/support/json_mutation.h"

namespace quetzalvale {
namespace {

constexpr int kRuns = 4000;
constexpr std::uint64_t kMaxBody = 1U << 20U;

Json::Value ValidJob() {
  return std::get<Json::Value>(ReadJson(R"({"ticket":
      "shop~000000000000000000000000000000aa~7~2", "team": "web", "kind": "quote",
      "deadline_ms": 900, "tasks": [{"payload": {"a": [1, -2.5e3, "\u00e9\n"]}, "declared_ms": 50,
      "cores": 0.5, "memory_mb": 64, "accelerators": 1}, {"payload": null}]})"));
}

/// A body is refused with a message, or every part of the submission can be sent on unchanged.
void CheckBody(const std::string& body) {
  const auto result = ParseJobRequest("shop", body, kMaxBody);
  if (!IsOk(result)) {
    RC_ASSERT(!GetError(result).message.empty());
    RC_ASSERT(GetError(result).kind != ErrorKind::kInternal);
    return;
  }
  const auto& submission = std::get<Submission>(result);
  RC_ASSERT(!submission.tasks.empty());
  for (const TaskSpec& task : submission.tasks) {
    RC_ASSERT(IsOk(ReadJson(task.payload)));
  }
  // The owner of the ticket gets the submission in a forward message.
  const auto sent = ReadJson(WriteJson(Encode(submission)));
  RC_ASSERT(IsOk(sent));
  const auto arrived = Decode<Submission>(std::get<Json::Value>(sent));
  RC_ASSERT(WriteJson(Encode(arrived)) == WriteJson(Encode(submission)));
  RC_ASSERT(arrived.key == submission.key);
  RC_ASSERT(arrived.team == submission.team);
  for (std::size_t i = 0; i < arrived.tasks.size(); ++i) {
    RC_ASSERT(arrived.tasks[i].payload == submission.tasks[i].payload);
  }
}

/// Guards against bodies that end the entry, and against jobs that change on their way to the
/// owner.
TEST(JobRequestFuzzTest, MutatedMembersAreRefusedOrArriveUnchanged) {
  const Json::Value valid = ValidJob();
  CheckWithFixedSeed("members", kRuns, [&valid] { CheckBody(WriteJson(MutateValue(valid))); });
}

/// The same for faults in the text.
TEST(JobRequestFuzzTest, MutatedTextIsRefusedOrArrivesUnchanged) {
  const std::string valid = WriteJson(ValidJob());
  CheckWithFixedSeed("text", kRuns, [&valid] { CheckBody(MutateText(valid)); });
}

/// Guards against a request for tickets that ends the entry or is granted without a valid count.
TEST(JobRequestFuzzTest, MutatedTicketRequestsAreBounded) {
  CheckWithFixedSeed("tickets", kRuns, [] {
    const auto result = ParseTicketsRequest(MutateText(R"({"count": 30})"));
    const auto* count = std::get_if<std::uint32_t>(&result);
    const bool bounded = count == nullptr || (*count >= 1 && *count <= 10000);
    RC_ASSERT(bounded);
  });
}

}  // namespace
}  // namespace quetzalvale
