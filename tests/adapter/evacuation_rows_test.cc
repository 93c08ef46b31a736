#include "platform/evacuation_rows.h"

#include <gtest/gtest.h>

namespace quetzalvale::platform {
namespace {

using Scope = TableWatcher::Scope;
using Names = std::vector<std::string>;

StoreRow Row(const std::string& key, bool removed = false) {
  StoreRow row;
  row.key = key;
  row.removed = removed;
  return row;
}

TEST(EvacuationRowsTest, KeyNamesTheDataCentre) {
  EXPECT_EQ(EvacuatedDataCentre("evacuate/Zarqa East"), "Zarqa East");
  EXPECT_EQ(EvacuatedDataCentre("evacuate/a/b"), "a/b");
  EXPECT_EQ(EvacuatedDataCentre("evacuate/"), std::nullopt);
  EXPECT_EQ(EvacuatedDataCentre("config"), std::nullopt);
  EXPECT_EQ(EvacuatedDataCentre("Evacuate/north"), std::nullopt);
}

TEST(EvacuationRowsTest, ChangesAddAndRevoke) {
  EvacuationRows rows;
  const auto read = rows.Apply({Row("config"), Row("evacuate/north")}, Scope::kWholeTable, 4);
  ASSERT_TRUE(read);
  EXPECT_EQ(read->version, 4U);
  EXPECT_EQ(read->data_centres, (Names{"north"}));
  EXPECT_FALSE(rows.Apply({Row("config")}, Scope::kChanges, 5));
  EXPECT_EQ(rows.Apply({Row("evacuate/south")}, Scope::kChanges, 6)->data_centres,
            (Names{"north", "south"}));
  const auto revoked = rows.Apply({Row("evacuate/north", true)}, Scope::kChanges, 7);
  EXPECT_EQ(revoked->version, 7U);
  EXPECT_EQ(revoked->data_centres, (Names{"south"}));
}

// The removal of a row is not among the changes if the store has lost its history meanwhile.
TEST(EvacuationRowsTest, RowThatIsMissingInAFullReadIsRevoked) {
  EvacuationRows rows;
  rows.Apply({Row("evacuate/north")}, Scope::kWholeTable, 4);
  const auto read = rows.Apply({}, Scope::kWholeTable, 9);
  ASSERT_TRUE(read) << "an empty table states that nothing is evacuated";
  EXPECT_TRUE(read->data_centres.empty());
}

// An operator's slip in the value must not keep tasks in a data centre that is switched off.
TEST(EvacuationRowsTest, RowWithAnUnreadableValueCounts) {
  int unreadable = 0;
  const auto decoded = DecodeStoreRows(
      R"({"ver":9,"rows":[{"key":"evacuate/north","value":"*","ver":4},
          {"key":"evacuate/south","value":7,"ver":5},{"key":"evacuate/west","ver":6},
          {"key":"evacuate/east","part":"other","value":"","ver":7}]})",
      &unreadable);
  ASSERT_TRUE(IsOk(decoded));
  EvacuationRows rows;
  const auto read = rows.Apply(std::get<StoreRows>(decoded).rows, Scope::kChanges, 9);
  ASSERT_TRUE(read);
  EXPECT_EQ(read->data_centres, (Names{"north", "south", "west"})) << "and no row of another part";
}

}  // namespace
}  // namespace quetzalvale::platform
