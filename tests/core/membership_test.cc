#include <gtest/gtest.h>

#include <utility>

#include "core/entry/entry_core.h"
#include "tests/support/select_actions.h"

namespace quetzalvale {
namespace {

using std::chrono::seconds;

constexpr Incarnation kSelf{1, 1};
constexpr Incarnation kAgent{5, 1};

class MembershipTest : public testing::Test {
 protected:
  MembershipTest() { this->Configure(1); }

  void Configure(std::uint64_t version, std::uint32_t subset_size = 64) {
    auto configuration = std::make_shared<ServiceConfiguration>();
    configuration->service = "s";
    configuration->version = version;
    configuration->kinds = {{"k", 0, Milliseconds(90000), Milliseconds(50)}};
    configuration->subset_size = subset_size;
    this->Send(ConfigurationChanged{configuration});
  }

  void Send(const EntryEvent& event) { this->actions = this->core.Handle(this->now, event); }

  /// Advances time in steps short enough not to count as a pause of the process; collects the
  /// actions of all steps.
  void AdvanceTime(Time::duration time) {
    std::vector<EntryAction> all;
    for (const Time end = this->now + time; this->now < end;) {
      this->now = std::min<Time>(this->now + Milliseconds(250), end);
      this->Send(Tick{});
      all.insert(all.end(), this->actions.begin(), this->actions.end());
    }
    this->actions = std::move(all);
  }

  template <typename Action>
  std::vector<Action> Select() const {
    return quetzalvale::Select<Action>(this->actions);
  }

  AnnounceReply AddAgent(const Incarnation& agent, const std::string& name) {
    Announce announce;
    announce.agent = agent;
    announce.name = announce.address = name;
    announce.service = "s";
    announce.worker.slots = 8;
    announce.load.free_slots = 8;
    announce.load.configuration_version = 1;
    this->Send(AgentAnnounced{99, announce});
    return this->Select<ReplyAnnounce>().at(0).reply;
  }

  std::vector<SendStart> Submit(std::size_t tasks) {
    this->Send(TicketsRequested{97, "s", 1});
    Submission submission;
    submission.service = "s";
    submission.ticket = std::get<0>(this->Select<GrantTickets>().at(0).tickets).front();
    submission.kind = "k";
    submission.tasks.resize(tasks);
    this->Send(JobSubmitted{++this->request, submission});
    return this->Select<SendStart>();
  }

  static Heartbeat IdleHeartbeat(const Incarnation& agent) {
    AgentLoad load;
    load.free_slots = 8;
    load.configuration_version = 1;
    return {agent, load, 0};
  }

  /// Answers the notices among the actions, and replaces the actions by the ones that result.
  void AnswerNotices() {
    std::vector<EntryAction> all;
    for (const SendNotice& notice : this->Select<SendNotice>()) {
      this->Send(NoticeReplied{notice.agent, notice.message, notice.arrivals,
                               this->IdleHeartbeat(notice.agent)});
      all.insert(all.end(), this->actions.begin(), this->actions.end());
    }
    this->actions = std::move(all);
  }

  std::size_t KnownAgents() const {
    return this->core.Status(this->now).services.at(0).agents.size();
  }
  bool Lost() const { return this->core.Status(this->now).services.at(0).agents.at(0).lost; }

  Time now{seconds(1000)};
  RequestId request = 0;
  EntryCore core{{kSelf, "self", "dc"}, {"s"}, {}, 1};
  std::vector<EntryAction> actions;
};

// With the thresholds of active agents, every idle agent would be declared dead between two of its
// heartbeats.
TEST_F(MembershipTest, LossThresholdsDependOnTheHeartbeatInterval) {
  EXPECT_TRUE(this->AddAgent(kAgent, "a").member);
  this->AdvanceTime(Milliseconds(59750));
  EXPECT_FALSE(this->Lost());
  this->AdvanceTime(Milliseconds(250));
  EXPECT_TRUE(this->Lost());
  this->AdvanceTime(Milliseconds(139750));
  EXPECT_EQ(this->KnownAgents(), 1U);
  this->AdvanceTime(Milliseconds(250));
  EXPECT_EQ(this->KnownAgents(), 0U);
}

TEST_F(MembershipTest, ActiveAgentIsDeclaredDeadSoonAfterItsFirstStart) {
  this->AddAgent(kAgent, "a");
  this->AdvanceTime(seconds(19));
  EXPECT_TRUE(this->Submit(1).empty());
  this->AnswerNotices();
  ASSERT_EQ(this->Select<SendStart>().size(), 1U);
  this->AdvanceTime(Milliseconds(9750));
  EXPECT_EQ(this->KnownAgents(), 1U);
  this->AdvanceTime(Milliseconds(250));
  EXPECT_EQ(this->KnownAgents(), 0U);
}

// If a start were sent to an agent that died while idle, the outcome of its tasks would be unknown.
TEST_F(MembershipTest, QuietAgentMustAnswerANoticeBeforeItGetsTasks) {
  this->AddAgent(kAgent, "a");
  this->AdvanceTime(seconds(4));
  EXPECT_TRUE(this->Submit(3).empty());
  ASSERT_EQ(this->Select<SendNotice>().size(), 1U);
  const SendNotice notice = this->Select<SendNotice>()[0];
  this->AdvanceTime(seconds(1));
  EXPECT_TRUE(this->Select<SendStart>().empty());
  EXPECT_TRUE(this->Select<SendNotice>().empty()) << "one is in flight";
  this->Send(NoticeReplied{kAgent, notice.message, 0, Error{ErrorKind::kTimeout, "lost"}});
  this->AdvanceTime(Milliseconds(1250));
  EXPECT_TRUE(this->Select<SendStart>().empty());
  EXPECT_EQ(this->Select<SendNotice>().size(), 1U) << "repeated";
  this->AnswerNotices();
  std::size_t items = 0;
  for (const auto& start : this->Select<SendStart>()) items += start.message.items.size();
  EXPECT_EQ(items, 3U);
}

// Jobs must not wait for a silent agent while another one that answers has free slots.
TEST_F(MembershipTest, TasksGoToTheAgentThatAnswers) {
  this->AddAgent(kAgent, "a");
  this->AddAgent({5, 2}, "b");
  this->AdvanceTime(seconds(4));
  EXPECT_TRUE(this->Submit(2).empty());
  ASSERT_EQ(this->Select<SendNotice>().size(), 2U);
  for (const SendNotice& notice : this->Select<SendNotice>()) {
    if (notice.agent == kAgent) {
      continue;
    }
    this->Send(NoticeReplied{notice.agent, notice.message, 0, this->IdleHeartbeat(notice.agent)});
  }
  ASSERT_EQ(this->Select<SendStart>().size(), 1U);
  EXPECT_EQ(this->Select<SendStart>()[0].address, "b");
  EXPECT_EQ(this->Select<SendStart>()[0].message.items.size(), 2U);
}

// An agent behind a network partition that held no task of the entry stayed usable for 100 s, the
// limit for idle heartbeats, and admission counted its slots (scenario data_centre_split).
TEST_F(MembershipTest, AgentThatDoesNotAnswerANoticeIsLostSoon) {
  this->AddAgent(kAgent, "a");
  this->AdvanceTime(seconds(4));
  EXPECT_TRUE(this->Submit(1).empty());
  this->AdvanceTime(Milliseconds(2750));
  EXPECT_FALSE(this->Lost());
  this->AdvanceTime(Milliseconds(250));
  EXPECT_TRUE(this->Lost());
  const SendNotice unanswered = {"a", kAgent, {}, 0};
  this->Send(NoticeReplied{kAgent, unanswered.message, 0, Error{ErrorKind::kTimeout, "lost"}});
  this->AdvanceTime(Milliseconds(1250));
  ASSERT_EQ(this->Select<SendNotice>().size(), 1U) << "notices are repeated until it answers";
  this->AnswerNotices();
  EXPECT_FALSE(this->Lost());
  EXPECT_EQ(this->Select<SendStart>().size(), 1U);
}

// If a leaving entry sent no notices, its waiting tasks would stay queued until their deadline.
TEST_F(MembershipTest, LeavingEntrySendsNoticesForItsWaitingTasks) {
  this->AddAgent(kAgent, "a");
  this->AdvanceTime(seconds(4));
  EXPECT_TRUE(this->Submit(1).empty());
  const SendNotice notice = this->Select<SendNotice>().at(0);
  this->Send(NoticeReplied{kAgent, notice.message, 0, Error{ErrorKind::kTimeout, "lost"}});
  this->Send(LeaveRequested{});
  this->AdvanceTime(Milliseconds(1250));
  ASSERT_EQ(this->Select<SendNotice>().size(), 1U);
  this->AnswerNotices();
  EXPECT_EQ(this->Select<SendStart>().size(), 1U);
}

TEST_F(MembershipTest, AsksUnknownAgentsForAnAnnouncement) {
  this->Send(HeartbeatReceived{1, {kAgent, {}, 0}});
  EXPECT_FALSE(this->Select<ReplyAnnounce>().at(0).reply.known);
  const AnnounceReply first = this->AddAgent(kAgent, "a");
  this->Send(HeartbeatReceived{2, {kAgent, {}, first.entries_digest}});
  EXPECT_TRUE(this->Select<ReplyAnnounce>().at(0).reply.known);
}

// After all processes had restarted at once, the reply to an announcement that was not recorded
// stopped the agent from announcing itself again: no job was served for 300 s (review/7).
TEST(MembershipWithoutConfigurationTest, ReplyToAnUnrecordedAnnouncementSaysSo) {
  EntryCore core({kSelf, "self", "dc"}, {}, {}, 1);
  Announce announce;
  announce.agent = kAgent;
  announce.name = announce.address = "a";
  announce.service = "s";
  const auto actions = core.Handle(Time{seconds(1000)}, AgentAnnounced{99, announce});
  ASSERT_EQ(actions.size(), 2U);
  const auto* line = std::get_if<LogEvent>(&actions[0]);
  ASSERT_NE(line, nullptr);
  EXPECT_EQ(line->number, 1007);
  EXPECT_NE(line->details.find("reason=no_configuration"), std::string::npos);
  const auto* reply = std::get_if<ReplyAnnounce>(&actions[1]);
  ASSERT_NE(reply, nullptr);
  EXPECT_FALSE(reply->reply.known);
  EXPECT_FALSE(reply->reply.member);
}

// A configuration change has to take effect long before the next heartbeat of an idle agent.
TEST_F(MembershipTest, NotifiesIdleAgentsOfTheConfigurationVersion) {
  this->AddAgent(kAgent, "a");
  this->AdvanceTime(seconds(5));
  EXPECT_TRUE(this->Select<SendNotice>().empty());
  this->Configure(2);
  this->AdvanceTime(Milliseconds(500));
  ASSERT_EQ(this->Select<SendNotice>().size(), 1U);
  SendNotice notice = this->Select<SendNotice>()[0];
  EXPECT_EQ(notice.message.configuration_version, 2U);
  this->Send(NoticeReplied{kAgent, notice.message, 0, Error{ErrorKind::kTimeout, "lost"}});
  this->AdvanceTime(Milliseconds(1250));
  ASSERT_EQ(this->Select<SendNotice>().size(), 1U) << "repeated";
  this->Send(NoticeReplied{kAgent, notice.message, 0, Heartbeat{kAgent, {}, 0}});
  this->AdvanceTime(seconds(5));
  EXPECT_TRUE(this->Select<SendNotice>().empty());
}

// A new entry knows no agents, and without a notice none of them would send it a heartbeat.
TEST_F(MembershipTest, NotifiesAgentsOfANewEntry) {
  this->AddAgent(kAgent, "a");
  this->AdvanceTime(seconds(50));
  Hello hello;
  hello.entry = {{1, 2}, "peer", "dc"};
  this->Send(HelloReceived{98, hello});
  this->AdvanceTime(Milliseconds(250));
  ASSERT_EQ(this->Select<SendNotice>().size(), 1U);
  EXPECT_EQ(this->Select<SendNotice>()[0].message.entries.at(0), hello.entry);
}

// A new member that keeps the heartbeat interval of non-members would be declared dead.
TEST_F(MembershipTest, NotifiesANewMember) {
  this->Configure(2, 1);
  const bool first_member = this->AddAgent({5, 1}, "a").member;
  EXPECT_TRUE(first_member);
  const bool second_member = this->AddAgent({5, 2}, "b").member;
  Announce leaving;
  leaving.agent = second_member ? Incarnation{5, 2} : Incarnation{5, 1};
  leaving.name = leaving.address = second_member ? "b" : "a";
  leaving.service = "s";
  leaving.load.leaving = true;
  this->Send(AgentAnnounced{99, leaving});
  this->AdvanceTime(Milliseconds(500));
  bool notified = false;
  for (const auto& notice : this->Select<SendNotice>()) {
    notified = notified || (notice.agent != leaving.agent && notice.message.member);
  }
  EXPECT_EQ(notified, !second_member) << "the first agent knows already that it is a member";
}

// Two entries that send hellos at the same time must not keep sending each other their full state.
TEST_F(MembershipTest, HelloCarriesOnlyWhatThePeerLacks) {
  this->AddAgent(kAgent, "a");
  Hello hello;
  hello.entry = {{1, 2}, "peer", "dc"};
  this->Send(HelloReceived{98, hello});
  const Hello full = this->Select<ReplyHello>().at(0).reply;
  EXPECT_EQ(full.roster.size(), 1U);
  EXPECT_EQ(full.entries.size(), 1U);
  hello.seen_roster = full.roster_number;
  hello.seen_digest = full.digest;
  this->AddAgent({5, 2}, "b");
  this->Send(HelloReceived{98, hello});
  const Hello changes = this->Select<ReplyHello>().at(0).reply;
  EXPECT_EQ(changes.roster_base, full.roster_number);
  ASSERT_EQ(changes.roster.size(), 1U);
  EXPECT_EQ(changes.roster[0].address, "b");
  EXPECT_TRUE(changes.entries.empty());
  hello.seen_roster = changes.roster_number + 5;
  this->Send(HelloReceived{98, hello});
  EXPECT_EQ(this->Select<ReplyHello>().at(0).reply.roster_base, 0U)
      << "a roster number that this process never reached acknowledges nothing";
}

}  // namespace
}  // namespace quetzalvale
