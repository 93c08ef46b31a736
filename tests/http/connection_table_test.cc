#include "http/connection_table.h"

#include <gtest/gtest.h>

#include <memory>
#include <vector>

namespace quetzalvale {
namespace {

using Place = std::unique_ptr<ConnectionTable::Place>;

constexpr std::uint32_t kCrowd = 1;
constexpr std::uint32_t kOther = 2;
constexpr std::uint32_t kThird = 3;

class ConnectionTableTest : public testing::Test {
 protected:
  static HttpLimits Limits() {
    HttpLimits limits;
    limits.connections = 8;
    limits.total_bytes = 4000;
    return limits;
  }

  /// Adds a connection whose number is appended to `evicted` when it is evicted.
  Place Add(std::uint32_t address, ConnectionState state = ConnectionState::kIdle) {
    Place place = this->table->Add(address, [this, number = this->added](ConnectionEvent) {
      this->evicted.push_back(number);
    });
    ++this->added;
    if (place) place->Enter(state);
    return place;
  }

  std::uint64_t Count(ConnectionEvent event) const {
    return this->table->Reported()[static_cast<std::size_t>(event)];
  }

  std::shared_ptr<ConnectionTable> table = std::make_shared<ConnectionTable>(Limits());
  std::vector<int> evicted;
  int added = 0;
};

// One address must not keep the others out: its oldest idle connection gives way, then a slow one.
TEST_F(ConnectionTableTest, NewConnectionReplacesOneOfTheAddressWithTheMost) {
  std::vector<Place> places;
  for (int i = 0; i < 2; ++i) places.push_back(this->Add(kOther));
  for (int i = 0; i < 4; ++i) places.push_back(this->Add(kCrowd, ConnectionState::kReceiving));
  for (int i = 0; i < 2; ++i) places.push_back(this->Add(kCrowd));
  for (int i = 0; i < 3; ++i) places.push_back(this->Add(kThird + i));
  EXPECT_EQ(this->evicted, (std::vector<int>{6, 7, 2}));
  EXPECT_EQ(this->Count(ConnectionEvent::kReplaced), 3);
  EXPECT_FALSE(places[6]->Enter(ConnectionState::kReceiving)) << "an evicted one must not go on";
  EXPECT_TRUE(places[0]->Enter(ConnectionState::kReceiving));
}

// A request that is handled may have started tasks, and a response under way is to be delivered.
TEST_F(ConnectionTableTest, RequestsInProgressAreNotReplaced) {
  std::vector<Place> places;
  for (int i = 0; i < 4; ++i) places.push_back(this->Add(kCrowd, ConnectionState::kHandling));
  for (int i = 0; i < 4; ++i) places.push_back(this->Add(kOther, ConnectionState::kSending));
  EXPECT_EQ(this->Add(kThird), nullptr);
  EXPECT_FALSE(this->table->Replace());
  EXPECT_EQ(this->Count(ConnectionEvent::kRefused), 1);
  EXPECT_TRUE(this->evicted.empty());
  places[5]->Enter(ConnectionState::kSendingSlowly);
  EXPECT_NE(this->Add(kThird), nullptr);
  EXPECT_EQ(this->evicted, (std::vector<int>{5}));
}

// Handled requests cannot give way, so no address may take all places or all memory with them.
TEST_F(ConnectionTableTest, OneAddressHandlesAtMostHalf) {
  std::vector<Place> places;
  for (int i = 0; i < 5; ++i) places.push_back(this->Add(kCrowd));
  for (int i = 0; i < 4; ++i) EXPECT_TRUE(places[i]->Enter(ConnectionState::kHandling));
  EXPECT_FALSE(places[4]->Enter(ConnectionState::kHandling));
  EXPECT_TRUE(this->Add(kOther)->Enter(ConnectionState::kHandling));
  places.clear();
  // Three quarters of 4,000 bytes are for accepted connections.
  for (int i = 0; i < 3; ++i) places.push_back(this->Add(kCrowd));
  EXPECT_TRUE(places[0]->Resize(2900));
  EXPECT_TRUE(places[0]->Enter(ConnectionState::kHandling)) << "a single request is served";
  EXPECT_TRUE(places[1]->Resize(50));
  EXPECT_FALSE(places[1]->Enter(ConnectionState::kHandling));
}

TEST_F(ConnectionTableTest, MemoryIsTakenFromTheAddressThatHasTheMost) {
  const Place large = this->Add(kCrowd, ConnectionState::kReceiving);
  const Place small = this->Add(kCrowd, ConnectionState::kReceiving);
  const Place other = this->Add(kOther, ConnectionState::kReceiving);
  EXPECT_TRUE(large->Resize(1500));
  EXPECT_TRUE(small->Resize(500));
  EXPECT_TRUE(other->Resize(1400));
  EXPECT_EQ(this->evicted, (std::vector<int>{0}));
  EXPECT_FALSE(large->Resize(1600));
  // Now the other address has the most, and takes no more.
  EXPECT_FALSE(other->Resize(2600));
  EXPECT_EQ(this->Count(ConnectionEvent::kMemoryFull), 1);
}

// The process's own calls must go on while others take all places, but are bounded as well.
TEST_F(ConnectionTableTest, OwnConnectionsHaveTheirOwnShare) {
  std::vector<Place> places;
  for (int i = 0; i < 8; ++i) places.push_back(this->Add(kCrowd, ConnectionState::kHandling));
  for (int i = 0; i < 6; ++i) places.push_back(this->table->AddOwn());
  ASSERT_NE(places.back(), nullptr);
  EXPECT_EQ(this->table->AddOwn(), nullptr);
  EXPECT_TRUE(places.back()->Resize(1000));
  EXPECT_FALSE(places.back()->Resize(1001));
  places.pop_back();
  EXPECT_NE(this->table->AddOwn(), nullptr);
}

}  // namespace
}  // namespace quetzalvale
