#include "core/policy/run_time_model.h"

#include <gtest/gtest.h>

#include <array>
#include <cmath>
#include <string>

namespace quetzalvale {
namespace {

Microseconds Ms(double milliseconds) { return Microseconds(std::llround(milliseconds * 1000)); }

double ExpectedMs(const RunTimeModel& model, std::string_view kind, double declared_ms = 0) {
  return static_cast<double>(model.Expected(kind, Ms(declared_ms)).count()) / 1000;
}

TEST(RunTimeModelTest, UsesThePriorUntilRunsAreSeen) {
  RunTimeModel model;
  model.SetPrior("quote", Ms(250));
  EXPECT_EQ(ExpectedMs(model, "quote"), 250);
  EXPECT_EQ(model.Speed("w1"), 1);
  EXPECT_FALSE(model.IsLearned("quote"));
  // A declaration must not replace the prior before any run has confirmed it.
  EXPECT_EQ(ExpectedMs(model, "quote", 2500), 250);
}

// Guards against slow endpoints that inflate the size of the kind that mostly runs there, and
// against a long kind that makes its endpoint look slow. Each kind runs mostly on its own half of
// the fleet.
TEST(RunTimeModelTest, SeparatesKindsFromEndpoints) {
  RunTimeModel model;
  model.SetPrior("short", Ms(1000));
  model.SetPrior("long", Ms(10));
  const std::array<double, 4> speeds{0.5, 1, 2, 4};
  Random random(7);
  std::lognormal_distribution<double> noise(0, 0.5);
  std::uniform_int_distribution<int> percent(0, 99);
  for (int i = 0; i < 6000; ++i) {
    const bool fast = percent(random) < 50;
    const bool is_short = percent(random) < (fast ? 90 : 10);
    const std::size_t endpoint = (fast ? 2 : 0) + i % 2;
    const double size = (is_short ? 60 : 600) * noise(random);
    model.Observe(is_short ? "short" : "long", std::to_string(endpoint), Microseconds{0},
                  Ms(size / speeds[endpoint]));
  }
  EXPECT_NEAR(model.Speed("1") / model.Speed("0"), 2, 0.6);
  EXPECT_NEAR(model.Speed("2") / model.Speed("1"), 2, 0.6);
  EXPECT_NEAR(model.Speed("3") / model.Speed("2"), 2, 0.6);
  EXPECT_NEAR(ExpectedMs(model, "long") / ExpectedMs(model, "short"), 10, 2.5);
}

// A wrong prior of a kind must not be mistaken for a difference in speed.
TEST(RunTimeModelTest, FirstRunOfAKindDoesNotChangeTheEndpointSpeed) {
  RunTimeModel model;
  model.SetPrior("quote", Ms(10));
  model.Observe("check", "w1", Microseconds{0}, Ms(100));
  model.Observe("check", "w2", Microseconds{0}, Ms(100));
  model.Observe("quote", "w1", Microseconds{0}, Ms(1000));
  EXPECT_NEAR(model.Speed("w1"), model.Speed("w2"), 0.01);
}

TEST(RunTimeModelTest, OneStragglerMovesNeitherMeanNorSpeedFar) {
  RunTimeModel model;
  for (int i = 0; i < 200; ++i) {
    model.Observe("check", i % 2 ? "w1" : "w2", Microseconds{0}, Ms(100));
  }
  model.Observe("check", "w1", Microseconds{0}, Ms(60000));
  EXPECT_LT(ExpectedMs(model, "check"), 125);
  EXPECT_GT(model.Speed("w1"), 0.85);
}

TEST(RunTimeModelTest, FollowsAnEndpointThatSlowsDown) {
  RunTimeModel model;
  for (int i = 0; i < 400; ++i) {
    model.Observe("check", "w1", Microseconds{0}, Ms(100));
    model.Observe("check", "w2", Microseconds{0}, Ms(100));
  }
  for (int i = 0; i < 150; ++i) {
    model.Observe("check", "w1", Microseconds{0}, Ms(800));
    model.Observe("check", "w2", Microseconds{0}, Ms(100));
  }
  EXPECT_NEAR(model.Speed("w2") / model.Speed("w1"), 8, 1);
}

// Declarations that are wrong by a factor of ten in either direction predict worse than the mean
// and are ignored.
TEST(RunTimeModelTest, IgnoresDeclarationsThatPredictBadly) {
  RunTimeModel model;
  Random random(3);
  std::lognormal_distribution<double> size(std::log(100), 0.3);
  for (int i = 0; i < 300; ++i) {
    const double run = size(random);
    model.Observe("check", "w1", Ms(i % 2 ? run * 10 : run / 10), Ms(run));
  }
  EXPECT_NEAR(ExpectedMs(model, "check", 1000), ExpectedMs(model, "check"), 0.01);
}

// Declarations that are all too small by a factor of ten still order the tasks; the factor is
// learned.
TEST(RunTimeModelTest, UsesDeclarationsThatPredictWellAfterScaling) {
  RunTimeModel model;
  Random random(3);
  std::lognormal_distribution<double> size(std::log(100), 1);
  for (int i = 0; i < 300; ++i) {
    const double run = size(random);
    model.Observe("check", "w1", Ms(run / 10), Ms(run));
  }
  EXPECT_NEAR(ExpectedMs(model, "check", 40), 400, 20);
  EXPECT_NEAR(ExpectedMs(model, "check", 4), 40, 2);
}

// The scale is relative, so removing an endpoint changes speeds and sizes together.
TEST(RunTimeModelTest, ForgettingAnEndpointKeepsThePredictionForOthers) {
  RunTimeModel model;
  for (int i = 0; i < 200; ++i) {
    model.Observe("check", "slow", Microseconds{0}, Ms(800));
    model.Observe("check", "fast", Microseconds{0}, Ms(100));
  }
  const double before = ExpectedMs(model, "check") / model.Speed("fast");
  model.Forget("slow");
  EXPECT_NEAR(ExpectedMs(model, "check") / model.Speed("fast"), before, 0.1);
  EXPECT_NEAR(model.Speed("fast"), 1, 1e-6);
}

}  // namespace
}  // namespace quetzalvale
