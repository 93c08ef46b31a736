#include "platform/entry_rows.h"

#include <gtest/gtest.h>

namespace quetzalvale::platform {
namespace {

using Scope = TableWatcher::Scope;

StoreRow Row(const std::string& key, const std::string& value, std::uint64_t version) {
  StoreRow row;
  row.key = key;
  row.value = value;
  row.version = version;
  return row;
}

std::vector<std::string> Addresses(const EntryRowTable& table) {
  std::vector<std::string> addresses;
  for (const EntryRow& entry : table.Entries()) {
    addresses.push_back(entry.address);
  }
  return addresses;
}

class EntryRowTableTest : public testing::Test {
 protected:
  EntryRowTableTest() {
    this->table.Apply(
        {Row("front-a", "10.0.0.1:7000 0.12", 1), Row("front-b", "10.0.0.2:7000 0.12", 2),
         Row("front-c", "10.0.0.3:7000 0.5", 3)},
        Scope::kWholeTable);
  }

  EntryRowTable table;
};

// Guards against an entry that hands its surplus jobs to a single peer: after the row of one entry
// had changed, that entry was taken for the only peer.
TEST_F(EntryRowTableTest, ChangeOfOneRowKeepsTheOtherEntries) {
  this->table.Apply({Row("front-b", "10.0.0.9:7000 0.12", 4)}, Scope::kChanges);
  EXPECT_EQ(Addresses(this->table),
            (std::vector<std::string>{"10.0.0.1:7000", "10.0.0.3:7000", "10.0.0.9:7000"}));
}

TEST_F(EntryRowTableTest, RemovedRowIsDropped) {
  StoreRow removed = Row("front-a", "", 5);
  removed.removed = true;
  this->table.Apply({removed}, Scope::kChanges);
  EXPECT_EQ(Addresses(this->table), (std::vector<std::string>{"10.0.0.2:7000", "10.0.0.3:7000"}));
}

// An unreadable value says nothing about the entry, whose last address stays in use.
TEST_F(EntryRowTableTest, UnreadableRowChangesNothing) {
  StoreRow unreadable = Row("front-a", "", 5);
  unreadable.unreadable = true;
  this->table.Apply({unreadable}, Scope::kChanges);
  EXPECT_EQ(Addresses(this->table).size(), 3U);
}

// Guards against the return of an entry that left while the store's history was lost: the removal
// of its row is then not among the changes.
TEST_F(EntryRowTableTest, ReadOfTheWholeTableDropsRowsThatAreGone) {
  this->table.Apply({Row("front-c", "10.0.0.3:7000 0.5", 3)}, Scope::kWholeTable);
  EXPECT_EQ(Addresses(this->table), (std::vector<std::string>{"10.0.0.3:7000"}));
}

// A machine's address may be given to a new machine, whose row has another key.
TEST_F(EntryRowTableTest, NewestRowOfAnAddressCounts) {
  this->table.Apply({Row("aaa", "10.0.0.3:7000 0.25", 9)}, Scope::kChanges);
  const auto entries = this->table.Entries();
  ASSERT_EQ(entries.size(), 3U);
  EXPECT_EQ(entries.back().cores, 0.25);
}

}  // namespace
}  // namespace quetzalvale::platform
