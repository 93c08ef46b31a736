#include <gtest/gtest.h>

#include <thread>

#include "store/configuration_store.h"
#include "store/entry_registry.h"
#include "store/key_registry.h"
#include "tests/store/faulty_table.h"

namespace quetzalvale {
namespace {

using Fault = FaultyTable::Fault;
constexpr std::chrono::milliseconds kPatience{60000};
constexpr std::chrono::milliseconds kNoPatience{0};

class ConfigurationStoreTest : public testing::Test {
 protected:
  static ConfigurationChange Change(std::uint64_t base, const std::string& id, int content) {
    ConfigurationChange change{
        .service = "shop", .base_version = base, .change_id = id, .holder = "ana", .summary = ""};
    change.document["content"] = content;
    return change;
  }

  ErrorKind ErrorOf(const ConfigurationChange& change) {
    const auto result = this->store.Apply(change);
    return IsOk(result) ? ErrorKind::kInternal : GetError(result).kind;
  }

  /// Zero when the change is refused.
  std::uint64_t VersionOf(const ConfigurationChange& change) {
    const auto result = this->store.Apply(change);
    return IsOk(result) ? std::get<std::uint64_t>(result) : 0;
  }

  SystemClock clock;
  FaultyTable table;
  ConfigurationStore store{table, clock, kPatience};
};

// A change reported as failed although it was applied would be made a second time.
TEST_F(ConfigurationStoreTest, LostAnswerIsResolvedByTheAuditRow) {
  this->table.commit_faults = {Fault::kUnknownApplied};
  EXPECT_EQ(this->VersionOf(Change(0, "c1", 1)), 1U);
  EXPECT_EQ(this->table.commits, 1);
}

TEST_F(ConfigurationStoreTest, LostRequestIsRepeated) {
  this->table.commit_faults = {Fault::kUnknownNotApplied, Fault::kUnknownApplied};
  EXPECT_EQ(this->VersionOf(Change(0, "c1", 1)), 1U);
  EXPECT_EQ(this->table.commits, 2);
}

// The repeated write conflicts with the first one, which took effect while the audit row could not
// be read; taking that conflict for a stale base would report an applied change as refused.
TEST_F(ConfigurationStoreTest, ConflictWithItselfIsSuccess) {
  this->table.commit_faults = {Fault::kUnknownApplied};
  this->table.failing_reads = 1;
  EXPECT_EQ(this->VersionOf(Change(0, "c1", 1)), 1U);
  EXPECT_EQ(this->table.store.Read("configuration", "shop")->version, 1U);
}

TEST_F(ConfigurationStoreTest, SameChangeIdGivesTheFirstResult) {
  EXPECT_EQ(this->VersionOf(Change(0, "c1", 1)), 1U);
  // Against its own result, as after reading the configuration again.
  EXPECT_EQ(this->VersionOf(Change(1, "c1", 1)), 1U);
  EXPECT_EQ(this->VersionOf(Change(1, "c2", 2)), 2U);
  EXPECT_EQ(this->VersionOf(Change(0, "c1", 1)), 1U);
  EXPECT_EQ(this->table.store.Read("configuration", "shop")->version, 2U);
}

TEST_F(ConfigurationStoreTest, ChangeIdOfAnotherDocumentIsAConflict) {
  EXPECT_EQ(this->VersionOf(Change(0, "c1", 1)), 1U);
  EXPECT_EQ(this->ErrorOf(Change(0, "c1", 2)), ErrorKind::kConflict);
  EXPECT_EQ(this->ErrorOf(Change(1, "c1", 2)), ErrorKind::kConflict);
}

TEST_F(ConfigurationStoreTest, StaleBaseIsNotApplied) {
  EXPECT_EQ(this->VersionOf(Change(0, "c1", 1)), 1U);
  EXPECT_EQ(this->ErrorOf(Change(0, "c2", 2)), ErrorKind::kStaleBase);
  EXPECT_EQ(this->ErrorOf(Change(7, "c2", 2)), ErrorKind::kStaleBase);
  EXPECT_EQ(this->table.store.Read("configuration", "shop")->value["content"], 1);
}

TEST_F(ConfigurationStoreTest, RefusalIsNotApplied) {
  this->table.commit_faults = {Fault::kRefused};
  EXPECT_EQ(this->ErrorOf(Change(0, "c1", 1)), ErrorKind::kPlatformUnavailable);
}

// A refusal after a lost answer proves nothing about the first attempt.
TEST_F(ConfigurationStoreTest, UnknownIsNeverReportedAsNotApplied) {
  ConfigurationStore impatient(this->table, this->clock, kNoPatience);
  this->table.commit_faults = {Fault::kUnknownApplied};
  this->table.failing_reads = 1;
  const auto result = impatient.Apply(Change(0, "c1", 1));
  ASSERT_FALSE(IsOk(result));
  EXPECT_EQ(GetError(result).kind, ErrorKind::kTimeout);
  EXPECT_EQ(this->VersionOf(Change(0, "c1", 1)), 1U);
}

TEST_F(ConfigurationStoreTest, AuditIsNewestFirst) {
  for (int i = 0; i < 12; ++i) {
    EXPECT_EQ(this->VersionOf(Change(i, "c" + std::to_string(i), i)), i + 1U);
  }
  const auto rows = std::get<0>(this->store.Audit("shop", 3));
  ASSERT_EQ(rows.size(), 3U);
  EXPECT_EQ(rows[0]["version"].asUInt64(), 12U);
  EXPECT_EQ(rows[2]["change_id"], "c9");
}

class KeyRegistryTest : public testing::Test {
 protected:
  static Ticket TicketOf(std::uint64_t owner) { return {"shop", {owner, owner}, 5, 1}; }

  KeyRegistry RegistryOf(std::uint64_t owner, std::chrono::milliseconds patience = kPatience) {
    return {this->table, Incarnation{owner, owner}, [this] { return ++this->nonces; }, patience};
  }

  FaultyTable table;
  std::uint64_t nonces = 0;
};

// Two owners of one key would run the job twice.
TEST_F(KeyRegistryTest, TheFirstClaimOwnsTheKey) {
  EXPECT_EQ(std::get<Ticket>(RegistryOf(1).Claim("shop", "k", 9, TicketOf(1))), TicketOf(1));
  EXPECT_EQ(std::get<Ticket>(RegistryOf(2).Claim("shop", "k", 9, TicketOf(2))), TicketOf(1));
}

TEST_F(KeyRegistryTest, LostAnswerIsResolvedByTheRow) {
  this->table.commit_faults = {Fault::kUnknownApplied};
  EXPECT_EQ(std::get<Ticket>(RegistryOf(1).Claim("shop", "k", 9, TicketOf(1))), TicketOf(1));
  this->table.commit_faults = {Fault::kUnknownNotApplied};
  EXPECT_EQ(std::get<Ticket>(RegistryOf(2).Claim("shop", "k2", 9, TicketOf(2))), TicketOf(2));
}

TEST_F(KeyRegistryTest, OutageIsRefusedAndNamesTheTicketAsRemedy) {
  this->table.commit_faults = {Fault::kRefused};
  const auto result = RegistryOf(1).Claim("shop", "k", 9, TicketOf(1));
  ASSERT_FALSE(IsOk(result));
  EXPECT_EQ(GetError(result).kind, ErrorKind::kPlatformUnavailable);
  EXPECT_NE(GetError(result).message.find("ticket"), std::string::npos);
}

TEST_F(KeyRegistryTest, MalformedRowIsAnError) {
  this->table.store.Commit({{"keys", "shop/k", Json::Value("x"), {}}});
  EXPECT_FALSE(IsOk(RegistryOf(1).Claim("shop", "k", 9, TicketOf(1))));
}

// Removing the row of a process that took over the address would hide it from the others.
TEST(EntryRegistryTest, DepartureLeavesTheRowOfASuccessorAtTheSameAddress) {
  FaultyTable table;
  EntryRegistry first(table, {{1, 1}, "127.0.0.1:1", "Marka"}, "e1");
  EntryRegistry second(table, {{2, 2}, "127.0.0.1:1", "Marka"}, "e2");
  EntryRegistry other(table, {{3, 3}, "127.0.0.1:3", "Marka"}, "e3");
  EXPECT_TRUE(first.Add());
  EXPECT_TRUE(second.Add());
  EXPECT_TRUE(first.Remove());
  const auto seen = std::get<0>(other.Others());
  ASSERT_EQ(seen.size(), 1U);
  EXPECT_EQ(seen[0], (EntryInfo{{2, 2}, "127.0.0.1:1", "Marka"}));
  EXPECT_TRUE(second.Remove());
  EXPECT_TRUE(std::get<0>(other.Others()).empty());
}

}  // namespace
}  // namespace quetzalvale
