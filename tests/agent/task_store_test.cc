#include "core/agent/task_store.h"

#include <gtest/gtest.h>

#include "tests/agent/agent_fixture.h"

namespace quetzalvale {
namespace {

constexpr Time kStart{std::chrono::seconds(100)};

class TaskStoreTest : public testing::Test {
 protected:
  TaskKey AddFinished(std::uint64_t sequence, bool ran, std::size_t result_bytes = 10) {
    const TaskKey task = MakeTask(sequence);
    EXPECT_TRUE(this->store.MakeRoom(0));
    this->store.Add(task, TaskRecord());
    if (ran) {
      this->store.Dispatch(task);
    }
    Outcome outcome;
    outcome.result = std::string(result_bytes, 'x');
    this->store.Finish(task, outcome);
    return task;
  }

  TaskStore store{TaskStore::Limits{3, 1000, Milliseconds(500)}};
};

// Discarding an outcome before its owner has received it fails the job needlessly.
TEST_F(TaskStoreTest, FullStoreKeepsUnreleasedRecords) {
  const TaskKey first = this->AddFinished(1, true);
  this->AddFinished(2, true);
  this->AddFinished(3, true);
  EXPECT_FALSE(this->store.MakeRoom(0));
  this->store.Release(first, kStart);
  EXPECT_TRUE(this->store.MakeRoom(0));
  EXPECT_EQ(this->store.Find(first), nullptr);
}

TEST_F(TaskStoreTest, BytesAreBounded) {
  this->AddFinished(1, true, 990);
  EXPECT_FALSE(this->store.MakeRoom(20));
  EXPECT_TRUE(this->store.MakeRoom(5));
}

// Salvage queries the records after the owner has died, possibly after the owner acknowledged the
// outcome.
TEST_F(TaskStoreTest, ReleasedRecordStaysForTheRetentionTime) {
  const TaskKey task = this->AddFinished(1, true);
  this->store.Release(task, kStart);
  this->store.DiscardExpired(kStart + Milliseconds(499));
  EXPECT_EQ(this->store.TasksOf(task.ticket).size(), 1U);
  this->store.DiscardExpired(kStart + Milliseconds(500));
  EXPECT_EQ(this->store.Find(task), nullptr);
  EXPECT_EQ(this->store.Bytes(), 0U);
}

// While a delayed "not run" may still arrive, the task must not be started here again.
TEST_F(TaskStoreTest, NotRunRecordIsNotDroppedEarly) {
  for (std::uint64_t sequence = 1; sequence <= 3; ++sequence) {
    this->store.Release(this->AddFinished(sequence, false), kStart);
  }
  EXPECT_FALSE(this->store.MakeRoom(0));
  this->store.DiscardExpired(kStart + Milliseconds(500));
  EXPECT_TRUE(this->store.MakeRoom(0));
}

}  // namespace
}  // namespace quetzalvale
