// Information for agents: in replies to their announcements and heartbeats, and in notices that do
// not wait for the next heartbeat.
#include <algorithm>
#include <utility>

#include "core/entry/entries_digest.h"
#include "core/entry/entry_core.h"

namespace quetzalvale {
namespace {

/// Interval at which the entry checks which agents need a notice.
constexpr Milliseconds kNoticeInterval{200};

/// Delay before an unanswered notice is repeated.
constexpr Milliseconds kNoticeRetryDelay{1000};

/// An entry is included in the division of agents among entries only after this time, because it
/// learns of the agents only through the notices of the other entries.
constexpr std::chrono::seconds kMinNotifierAge{30};

}  // namespace

AnnounceReply EntryCore::MakeNotice(const ServiceState* service, const Agent* agent) const {
  AnnounceReply notice;
  notice.entry = this->self;
  notice.entries = this->peers.LivePeers(this->Health().agent_dead, this->now);
  notice.entries_digest = DigestOf(notice.entries, {});
  notice.configuration_version = service == nullptr ? 0 : service->configuration->version;
  if (agent != nullptr) {
    notice.member = agent->member;
    this->AddEvacuation(agent->announce.data_centre, notice);
  }
  return notice;
}

AnnounceReply EntryCore::MakeAnnounceReply(const ServiceState* service, Agent* agent,
                                           std::uint64_t held_digest) {
  AnnounceReply reply = this->MakeNotice(service, agent);
  if (held_digest == reply.entries_digest) {
    reply.entries.clear();
  }
  if (agent != nullptr) {
    // If this reply is lost, the agent asks again within a few heartbeats.
    agent->notified_member = reply.member;
    agent->notified_version = reply.configuration_version;
    agent->notified_peers_seen = this->peers.TotalPeersSeen();
    reply.withdrawn = this->WithdrawItems(agent->withdrawals.UnansweredStops());
  }
  return reply;
}

std::vector<Incarnation> EntryCore::NotifyingEntries() const {
  const bool all_are_new = this->now - this->started_at < kMinNotifierAge;
  std::vector<Incarnation> notifying_entries{this->self.incarnation};
  for (const EntryInfo& entry : this->peers.LivePeers(this->Health().agent_dead, this->now)) {
    const Peer& peer = *this->peers.Find(entry.incarnation);
    if (!peer.leaving && (all_are_new || this->now - peer.first_heard >= kMinNotifierAge)) {
      notifying_entries.push_back(entry.incarnation);
    }
  }
  return notifying_entries;
}

bool EntryCore::NeedsNotice(const Agent& agent,
                            const std::vector<Incarnation>& notifying_entries) const {
  if (agent.reply_awaited_since) {
    return true;
  }
  // Every entry tells the agent: the one that would be chosen to may be cut off from the store.
  if (this->evacuations.IsNewsFor(agent.announce.data_centre, agent.announce.load)) {
    return true;
  }
  // A leaving entry accepts no jobs. It only needs liveness checks, for tasks that still wait.
  if (this->IsLeaving()) {
    return false;
  }
  if (agent.member && !agent.notified_member) {
    return true;
  }
  const ServiceState* service = this->FindService(agent.announce.service);
  const std::uint64_t version = service->configuration->version;
  const bool version_unknown =
      std::max(agent.announce.load.configuration_version, agent.notified_version) < version;
  if (!version_unknown && agent.notified_peers_seen >= this->peers.TotalPeersSeen()) {
    return false;
  }
  return AgentDirectory::HighestScoring(agent.announce.name, notifying_entries) ==
         this->self.incarnation;
}

void EntryCore::SendNotices() {
  if (this->now < this->next_notices) {
    return;
  }
  this->next_notices = this->now + kNoticeInterval;
  const std::vector<Incarnation> notifying_entries = this->NotifyingEntries();
  for (auto& [incarnation, agent] : this->directory.Agents()) {
    if (agent.notice_in_flight || agent.leaving || this->now < agent.next_notice ||
        (this->IsLost(agent) && !agent.reply_awaited_since) ||
        !this->NeedsNotice(agent, notifying_entries)) {
      continue;
    }
    agent.notice_in_flight = true;
    SendNotice notice;
    notice.address = agent.announce.address;
    notice.agent = incarnation;
    notice.arrivals = this->peers.TotalPeersSeen();
    notice.message = this->MakeNotice(this->FindService(agent.announce.service), &agent);
    ++this->counters.notices_sent;
    this->Emit(std::move(notice));
  }
}

void EntryCore::On(const NoticeReplied& event) {
  Agent* agent = this->directory.Find(event.agent);
  if (agent == nullptr) {
    return;
  }
  agent->notice_in_flight = false;
  const auto* reply = std::get_if<Heartbeat>(&event.reply);
  if (reply == nullptr || reply->agent != event.agent) {
    agent->next_notice = this->now + kNoticeRetryDelay;
    return;
  }
  this->directory.RecordReport(event.agent, &reply->load, this->now);
  this->evacuations.Learn(agent->announce.data_centre, reply->load);
  agent->reply_awaited_since.reset();
  agent->notified_member = event.sent_notice.member;
  agent->notified_version =
      std::max(agent->notified_version, event.sent_notice.configuration_version);
  agent->notified_peers_seen = std::max(agent->notified_peers_seen, event.arrivals);
  if (event.sent_notice.evacuation_version >=
          this->evacuations.StateOf(agent->announce.data_centre).version &&
      this->evacuations.IsNewsFor(agent->announce.data_centre, agent->announce.load)) {
    // The agent is of a release that does not report its evacuation.
    agent->next_notice = this->now + kNoticeRetryDelay;
  }
}

}  // namespace quetzalvale
