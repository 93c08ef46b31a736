#include "core/types.h"

#include <gtest/gtest.h>

namespace quetzalvale {
namespace {

TEST(TicketTest, ParsesItsOwnText) {
  const Ticket ticket{"zarqa-order-desk", {1, 0xabcdef}, 42, 7};
  EXPECT_EQ(Ticket::Parse(ticket.Text()), ticket);
}

// If a ticket had a second text form, that would pass as another ticket and start the tasks again.
TEST(TicketTest, RejectsOtherTextForms) {
  const std::string owner = Incarnation{1, 2}.Text();
  EXPECT_FALSE(Ticket::Parse("s~" + owner + "~042~7"));
  EXPECT_FALSE(Ticket::Parse("s~" + owner + "~+42~7"));
  EXPECT_FALSE(Ticket::Parse("s~" + owner + "~42~7 "));
  EXPECT_FALSE(Ticket::Parse("~" + owner + "~42~7"));
  std::string upper = Incarnation{0xabcdef, 2}.Text();
  upper[15] = 'F';
  EXPECT_FALSE(Ticket::Parse("s~" + upper + "~42~7"));
  EXPECT_FALSE(Ticket::Parse(""));
  EXPECT_FALSE(Ticket::Parse("~~~"));
}

TEST(TaskKeyTest, ParsesItsOwnText) {
  const TaskKey key{{"s", {1, 2}, 3, 4}, 439};
  EXPECT_EQ(TaskKey::Parse(key.Text()), key);
  EXPECT_FALSE(TaskKey::Parse(key.ticket.Text() + "/4294967296"));
}

}  // namespace
}  // namespace quetzalvale
