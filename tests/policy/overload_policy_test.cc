#include "core/policy/overload_policy.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "core/policy/start_rate.h"

namespace quetzalvale {
namespace {

using std::chrono::milliseconds;
using testing::ElementsAre;
using testing::IsEmpty;

const Time kNow{std::chrono::seconds(1000)};

class OverloadPolicyTest : public testing::Test {
 protected:
  /// A job of one task that may wait for `slack`.
  OverloadJob Job(std::uint64_t id, milliseconds work, milliseconds slack, int urgency = 0,
                  const std::string& kind = "k") {
    OverloadJob job;
    job.id = id;
    job.urgency = urgency;
    job.job_class = this->Classify(kind, work);
    job.latest_on_time = kNow + slack;
    job.latest_useful = kNow + slack + std::chrono::seconds(1);
    job.work = work;
    return job;
  }

  OverloadClass Classify(const std::string& kind, milliseconds work) {
    this->policy.RecordSize(kind, work);
    return this->policy.Classify(kind, "t", "d", work);
  }

  std::vector<std::uint64_t> TurnedAway(const std::vector<OverloadJob>& jobs,
                                        const OverloadCapacity& capacity) {
    std::vector<std::uint64_t> ids;
    for (const auto& turned_away : this->policy.Decide(jobs, capacity, kNow).turned_away) {
      ids.push_back(turned_away.id);
    }
    return ids;
  }

  /// Makes the policy's counts so high that no group of kind `k` or `j` is short of its share.
  /// `work` is the size of the jobs of kind `j`.
  void ServeMany(milliseconds work = milliseconds(100)) {
    for (int i = 0; i < 400; ++i) {
      const bool other = i % 2 != 0;
      this->policy.RecordServed(this->Classify(other ? "j" : "k", other ? work : milliseconds(100)),
                                kNow);
    }
  }

  OverloadPolicy policy;
};

// Load that fits: two slots, four jobs that can each wait for two runs.
TEST_F(OverloadPolicyTest, KeepsAllWhileTheyCanStartInTime) {
  EXPECT_THAT(this->TurnedAway({Job(1, milliseconds(100), milliseconds(100)),
                                Job(2, milliseconds(100), milliseconds(100)),
                                Job(3, milliseconds(100), milliseconds(200)),
                                Job(4, milliseconds(100), milliseconds(200))},
                               {0, 2}),
              IsEmpty());
}

// A burst of urgent jobs behind a less urgent one: the latter was accepted first and kept its
// place.
TEST_F(OverloadPolicyTest, JobOfLessValueGivesWayToLaterArrivals) {
  this->ServeMany();
  EXPECT_THAT(this->TurnedAway({Job(1, milliseconds(100), milliseconds(40), 2, "j"),
                                Job(2, milliseconds(100), milliseconds(50)),
                                Job(3, milliseconds(100), milliseconds(50))},
                               {0, 2}),
              ElementsAre(1));
}

// A burst with one large job: it would cost several small ones their answers.
TEST_F(OverloadPolicyTest, LargeJobGivesWayToSmallOnes) {
  this->ServeMany(milliseconds(1000));
  EXPECT_THAT(this->TurnedAway({Job(1, milliseconds(1000), milliseconds(90), 0, "j"),
                                Job(2, milliseconds(100), milliseconds(100)),
                                Job(3, milliseconds(100), milliseconds(200))},
                               {0, 1}),
              ElementsAre(1));
}

// An overload after which accepted jobs waited until they were late, and kept others from being on
// time.
TEST_F(OverloadPolicyTest, LateJobIsTurnedAwayWhileOthersWait) {
  const OverloadJob late = Job(1, milliseconds(100), milliseconds(-1));
  EXPECT_THAT(this->TurnedAway({late, Job(2, milliseconds(100), milliseconds(500))}, {0, 1}),
              ElementsAre(1));
  EXPECT_THAT(this->TurnedAway({late}, {0, 1}), IsEmpty()) << "its late answer costs nobody";
}

// A burst in which jobs with running tasks lost these to new arrivals.
TEST_F(OverloadPolicyTest, JobThatHasStartedIsLeftAlone) {
  this->ServeMany();
  OverloadJob started = Job(1, milliseconds(1000), milliseconds(-1), 2, "j");
  started.started = true;
  EXPECT_THAT(this->TurnedAway({started, Job(2, milliseconds(100), milliseconds(500))}, {0, 1}),
              IsEmpty());
}

// The first tasks after a silence wait for the agents' replies: nothing is known of the capacity.
TEST_F(OverloadPolicyTest, UnknownCapacityTurnsNobodyAway) {
  EXPECT_THAT(this->TurnedAway({Job(1, milliseconds(1000), milliseconds(1)),
                                Job(2, milliseconds(1000), milliseconds(1))},
                               {0, 0}),
              IsEmpty());
}

// Guards against the starvation of a kind in a lasting overload by cheaper jobs.
TEST_F(OverloadPolicyTest, GroupThatIsServedTooLittleIsKept) {
  for (int i = 0; i < 400; ++i) {
    this->policy.RecordServed(this->Classify("k", milliseconds(100)), kNow);
  }
  // These cannot be on time, and the policy records that they were not served.
  std::vector<OverloadJob> refused;
  for (std::uint64_t id = 1; id <= 100; ++id) {
    refused.push_back(Job(id, milliseconds(1000), milliseconds(-1), 2, "j"));
  }
  refused.push_back(Job(101, milliseconds(1), milliseconds(500)));
  this->policy.Decide(refused, {0, 1}, kNow);
  EXPECT_THAT(this->TurnedAway({Job(201, milliseconds(100), milliseconds(50)),
                                Job(202, milliseconds(1000), milliseconds(60), 2, "j")},
                               {0, 1}),
              ElementsAre(201));
}

// Starts that use free capacity do not show how fast capacity becomes free.
TEST(StartRateTest, CountsOnlyStartsOfABacklog) {
  StartRate rate;
  rate.RecordRound(std::chrono::seconds(100), true, kNow);
  EXPECT_DOUBLE_EQ(rate.Slots(8), 8);
  for (int i = 1; i <= 3000; ++i) {
    rate.RecordRound(milliseconds(4), true, kNow + milliseconds(i));
  }
  EXPECT_NEAR(rate.Slots(8), 4.8, 0.05);  // 8 counts for 250 ms, 4 for the time constant of 1 s.
}

}  // namespace
}  // namespace quetzalvale
