#include "entry/job_request.h"

#include <gtest/gtest.h>

#include <random>

namespace quetzalvale {
namespace {

constexpr std::uint64_t kLimit = 4096;
constexpr char kTicket[] = "shop~000000000000000000000000000000aa~7~2";
constexpr char kOtherTicket[] = "shop~000000000000000000000000000000aa~8~2";

std::string Body(const std::string& ticket, const std::string& tasks) {
  return R"({"ticket": ")" + ticket + R"(", "team": "web", "kind": "quote", "tasks": )" + tasks +
         "}";
}

Result<Submission> Parse(const std::string& body) { return ParseJobRequest("shop", body, kLimit); }

std::uint64_t HashOf(const std::string& body) {
  const auto result = Parse(body);
  EXPECT_TRUE(IsOk(result)) << body;
  return IsOk(result) ? std::get<Submission>(result).body_hash : 0;
}

ErrorKind KindOf(const std::string& body) {
  const auto result = Parse(body);
  EXPECT_FALSE(IsOk(result)) << body;
  return IsOk(result) ? ErrorKind::kInternal : GetError(result).kind;
}

TEST(JobRequestTest, MembersReachTheSubmission) {
  const auto result = Parse(
      R"({"key": "order-7", "team": "web", "kind": "quote", "deadline_ms": 900, "tasks": [
          {"payload": {"sku": [1, 2]}, "declared_ms": 50, "cores": 0.5, "memory_mb": 64,
           "accelerators": 1}, {"payload": null}]})");
  ASSERT_TRUE(IsOk(result)) << GetError(result).message;
  const auto& submission = std::get<Submission>(result);
  EXPECT_EQ(submission.key, "order-7");
  EXPECT_FALSE(submission.ticket);
  EXPECT_EQ(submission.deadline, Milliseconds(900));
  ASSERT_EQ(submission.tasks.size(), 2U);
  EXPECT_EQ(submission.tasks[0].declared_run_time, Milliseconds(50));
  EXPECT_EQ(submission.tasks[0].cores, 0.5);
  EXPECT_EQ(submission.tasks[0].accelerators, 1);
  EXPECT_EQ(submission.tasks[1].payload, "null");
}

// Parsing and printing would change numbers that a double cannot hold.
TEST(JobRequestTest, PayloadKeepsItsText) {
  const std::string payload = R"({"n": 12345678901234567890123, "x": 1.50, "s": "\u00e9"})";
  const auto result = Parse(Body(kTicket, R"([{"payload": )" + payload + "}]"));
  ASSERT_TRUE(IsOk(result));
  EXPECT_EQ(std::get<Submission>(result).tasks[0].payload, payload);
}

// A resubmission with a fresh ticket or other white space is the same job.
TEST(JobRequestTest, HashIgnoresTicketAndLayoutOnly) {
  const std::uint64_t hash = HashOf(Body(kTicket, R"([{"payload": {"a": 1, "b": 2}}])"));
  EXPECT_EQ(HashOf(Body(kOtherTicket, R"([{"payload":{"b":2,"a":1}}])")), hash);
  EXPECT_NE(HashOf(Body(kTicket, R"([{"payload": {"a": 1, "b": 3}}])")), hash);
  EXPECT_NE(HashOf(Body(kTicket, R"([{"payload": {"a": 1, "b": 2}, "cores": 1}])")), hash);
}

TEST(JobRequestTest, MalformedBodiesAreRefused) {
  const std::string task = R"([{"payload": 1}])";
  const std::vector<std::string> bodies{
      "",
      "x",
      "[]",
      "null",
      Body(kTicket, task) + "x",
      Body(kTicket, "[]"),
      Body(kTicket, "{}"),
      Body(kTicket, "[7]"),
      Body(kTicket, "[{}]"),
      Body(kTicket, R"([{"payload": 1, "colour": 2}])"),
      Body(kTicket, R"([{"payload": 1, "payload": 2}])"),
      Body(kTicket, R"([{"payload": 1, "declared_ms": -1}])"),
      Body(kTicket, R"([{"payload": 1, "declared_ms": 1.5}])"),
      Body(kTicket, R"([{"payload": 1, "declared_ms": 1e300}])"),
      Body(kTicket, R"([{"payload": 1, "memory_mb": "64"}])"),
      Body(kTicket, R"([{"payload": 1, "cores": -0.5}])"),
      Body(kTicket, R"([{"payload": 1, "accelerators": 4294967296}])"),
      Body(kTicket, R"([{"payload": ")" + std::string("\xff\xfe") + R"("}])"),
      Body(kTicket, R"([{"payload": )" + std::string(100, '[') + std::string(100, ']') + "}]"),
      Body("nonsense", task),
      Body("", task),
      R"({"ticket": 7, "team": "web", "kind": "quote", "tasks": [{"payload": 1}]})",
      R"({"key": "k", "kind": "quote", "tasks": [{"payload": 1}]})",
      R"({"key": "k", "team": null, "kind": "quote", "tasks": [{"payload": 1}]})",
      R"({"key": "k", "team": "web", "kind": "quote", "deadline_ms": -5, "tasks": [{"payload": 1}]})",
  };
  for (const auto& body : bodies) {
    EXPECT_EQ(KindOf(body), ErrorKind::kMalformed) << body;
  }
}

TEST(JobRequestTest, IdentityIsRequiredAndMustFitTheService) {
  EXPECT_EQ(KindOf(R"({"team": "web", "kind": "quote", "tasks": [{"payload": 1}]})"),
            ErrorKind::kNoIdentity);
  EXPECT_EQ(KindOf(Body("other~000000000000000000000000000000aa~7~2", R"([{"payload": 1}])")),
            ErrorKind::kUnknownTicket);
}

// Parsing a body of any size first would let one caller take all memory.
TEST(JobRequestTest, SizeIsCheckedBeforeParsing) {
  EXPECT_EQ(KindOf(std::string(kLimit + 1, '[')), ErrorKind::kTooLarge);
}

TEST(JobRequestTest, TicketRequestsAreChecked) {
  EXPECT_EQ(std::get<std::uint32_t>(ParseTicketsRequest(R"({"count": 3})")), 3U);
  for (const char* body : {"", "{}", R"({"count": 0})", R"({"count": -1})", R"({"count": 10001})",
                           R"({"count": 1, "x": 1})", R"({"count": "1"})"}) {
    EXPECT_FALSE(IsOk(ParseTicketsRequest(body))) << body;
  }
}

/// Changes, inserts, removes or repeats some bytes.
std::string Mutate(std::string body, std::mt19937_64& random) {
  static constexpr char kBytes[] = "{}[]\",:\\0123456789.eE-+ntf \n\xff\xc3\x80u";
  for (std::uint64_t changes = 1 + random() % 4; changes > 0 && !body.empty(); --changes) {
    const std::size_t at = random() % body.size();
    const char byte = kBytes[random() % (sizeof(kBytes) - 1)];
    switch (random() % 4) {
      case 0:
        body[at] = byte;
        break;
      case 1:
        body.insert(at, 1, byte);
        break;
      case 2:
        body.erase(at, 1 + random() % 5);
        break;
      default:
        body.insert(at, body.substr(at, random() % 20));
        break;
    }
  }
  return body;
}

// Any bytes from outside give a submission or an error with a message, and the same one each time.
TEST(JobRequestTest, MutatedBodiesNeverCrash) {
  std::mt19937_64 random(20250611);
  const std::string valid = Body(
      kTicket,
      R"([{"payload": {"a": [1, -2.5e3, "\u00e9\n"]}, "declared_ms": 50, "cores": 0.5}, {"payload": null}])");
  int accepted = 0;
  for (int i = 0; i < 20000; ++i) {
    const std::string body = Mutate(valid, random);
    const auto result = Parse(body);
    if (!IsOk(result)) {
      ASSERT_FALSE(GetError(result).message.empty()) << body;
      continue;
    }
    ++accepted;
    ASSERT_EQ(HashOf(body), std::get<Submission>(result).body_hash);
  }
  EXPECT_GT(accepted, 0);
}

}  // namespace
}  // namespace quetzalvale
