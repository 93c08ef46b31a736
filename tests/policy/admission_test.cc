#include "core/policy/admission.h"

#include <gtest/gtest.h>

#include <limits>

namespace quetzalvale {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class AdmissionTest : public ::testing::Test {
 protected:
  AdmissionTest() {
    this->configuration.service = "zarqa";
    this->configuration.kinds = {{"quote", 1, milliseconds(5000), milliseconds(100)},
                                 {"new_kind", 1, milliseconds(5000), milliseconds(100)}};
    this->configuration.teams = {{"desk", 0}};
    for (int i = 0; i < 100; ++i) {
      this->model.Observe("quote", "w1", Microseconds{0}, milliseconds(100));
    }
    this->load.has_agents = true;
    this->load.effective_slots = 10;
    this->job.team = "desk";
    this->job.kind = "quote";
    this->job.tasks.resize(4);
  }

  std::optional<ErrorKind> Check() {
    const auto error = CheckAdmission(this->configuration, this->model, this->load, this->job);
    if (!error) return std::nullopt;
    EXPECT_FALSE(error->message.empty());
    return error->kind;
  }

  ServiceConfiguration configuration;
  RunTimeModel model;
  LoadView load;
  Submission job;
};

TEST_F(AdmissionTest, AcceptsAnOrdinaryJob) { EXPECT_EQ(this->Check(), std::nullopt); }

TEST_F(AdmissionTest, RejectsUnknownNames) {
  this->job.kind = "other";
  EXPECT_EQ(this->Check(), ErrorKind::kUnknownKind);
  this->job.kind = "quote";
  this->job.team = "other";
  EXPECT_EQ(this->Check(), ErrorKind::kUnknownTeam);
  this->configuration.teams.clear();
  EXPECT_EQ(this->Check(), std::nullopt);
}

// Guards against a task that fits on no worker and would wait until its deadline.
TEST_F(AdmissionTest, RejectsTasksThatNeverFit) {
  this->job.tasks[3].cores = 17;
  EXPECT_EQ(this->Check(), ErrorKind::kNeverFits);
  this->job.tasks[3] = {};
  this->job.tasks[2].memory_mb = 32769;
  EXPECT_EQ(this->Check(), ErrorKind::kNeverFits);
  this->job.tasks[2].memory_mb = 32768;
  EXPECT_EQ(this->Check(), std::nullopt);
  this->job.tasks[1].accelerators = 1;
  EXPECT_EQ(this->Check(), ErrorKind::kNeverFits);
}

TEST_F(AdmissionTest, RejectsMalformedAmounts) {
  this->job.tasks[0].cores = std::numeric_limits<double>::quiet_NaN();
  EXPECT_EQ(this->Check(), ErrorKind::kMalformed);
  this->job.tasks[0].cores = -1;
  EXPECT_EQ(this->Check(), ErrorKind::kMalformed);
  this->job.tasks.clear();
  EXPECT_EQ(this->Check(), ErrorKind::kMalformed);
}

TEST_F(AdmissionTest, RejectsAboveTheLimits) {
  this->job.tasks.resize(441);
  EXPECT_EQ(this->Check(), ErrorKind::kTooManyTasks);
  this->job.tasks.resize(4);
  this->load.queued_tasks = this->configuration.limits.queued_tasks - 3;
  EXPECT_EQ(this->Check(), ErrorKind::kOverloaded);
  this->load.queued_tasks -= 1;
  EXPECT_EQ(this->Check(), std::nullopt);
}

TEST_F(AdmissionTest, RejectsWithoutAgents) {
  this->load.has_agents = false;
  EXPECT_EQ(this->Check(), ErrorKind::kNotReady);
}

// Guards against accepting a job that cannot meet its deadline because of the queue ahead.
TEST_F(AdmissionTest, RejectsAnUnreachableDeadlineBehindTheQueue) {
  this->load.queued_work = seconds(60);
  EXPECT_EQ(this->Check(), ErrorKind::kDeadlineUnreachable);
  this->job.deadline = seconds(20);
  EXPECT_EQ(this->Check(), std::nullopt);
}

// Guards against ignoring arrivals of higher urgency: they overtake the queue, and jobs accepted at
// its end fail at their deadlines.
TEST_F(AdmissionTest, CountsMoreUrgentArrivals) {
  this->load.queued_work = seconds(20);
  EXPECT_EQ(this->Check(), std::nullopt);
  this->load.urgent_slots = 6;
  EXPECT_EQ(this->Check(), ErrorKind::kDeadlineUnreachable);
  // A burst of them does not make the expected wait unbounded.
  this->load.queued_work = seconds(5);
  this->load.urgent_slots = 1000;
  EXPECT_EQ(this->Check(), std::nullopt);
}

// Guards against rejecting a job because of urgent arrivals that it will overtake.
TEST_F(AdmissionTest, CountsUrgentArrivalsOnlyUntilTheJobOvertakes) {
  this->load.queued_work = seconds(20);
  this->load.urgent_slots = 6;
  EXPECT_EQ(this->Check(), ErrorKind::kDeadlineUnreachable);
  this->load.overtakes_after = seconds(1);
  EXPECT_EQ(this->Check(), std::nullopt);
}

// Guards against rejecting a job on a rough estimate: for a kind that has never run, the amount of
// queued work is not known.
TEST_F(AdmissionTest, DoesNotRejectOnARoughEstimate) {
  this->load.queued_work = seconds(60);
  this->job.kind = "new_kind";
  EXPECT_EQ(this->Check(), std::nullopt);
  this->load.queued_work = seconds(600);
  EXPECT_EQ(this->Check(), ErrorKind::kDeadlineUnreachable);
}

// The run time of a single task varies, and a faster endpoint may run it.
TEST_F(AdmissionTest, DoesNotRejectBecauseOfOwnRunTimeNearTheDeadline) {
  this->job.deadline = milliseconds(90);
  EXPECT_EQ(this->Check(), std::nullopt);
  this->job.deadline = milliseconds(30);
  EXPECT_EQ(this->Check(), ErrorKind::kDeadlineUnreachable);
}

}  // namespace
}  // namespace quetzalvale
