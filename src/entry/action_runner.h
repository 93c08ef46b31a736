/// Carries out what an entry's decision logic decides.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "core/entry/entry_events.h"
#include "entry/core_thread.h"
#include "entry/inner_api.h"
#include "entry/message_accounting.h"
#include "entry/open_requests.h"
#include "protocol/peer_senders.h"
#include "runtime/clock.h"
#include "runtime/metrics.h"

namespace quetzalvale {

/// Runs actions on the core thread without waiting; results come back as events.
class ActionRunner {
 public:
  struct Parts {
    CoreThread& core;
    OpenRequests& open;
    InnerApi& inner;
    PeerSenders& senders;
    /// See EntryRuntime::Options.
    std::function<void(const ClaimKey&)> claim_key;
    std::function<HttpResponse(const Answer&)> render_answer;
    Metrics& metrics;
    const Clock& clock;
    std::function<void()> departed;
  };

  /// The parts must outlive the runner.
  explicit ActionRunner(Parts parts);

  /// `posted` is when the event was posted.
  void Run(Time posted, const EntryEvent& event, std::vector<EntryAction> actions);

 private:
  void On(AnswerCaller& action);
  void On(GrantTickets& action);
  void On(AnswerQuery& action);
  void On(ClaimKey& action);
  void On(SendStart& action);
  void On(SendWithdraw& action);
  void On(SendSeal& action);
  void On(SendNotice& action);
  void On(SendHello& action);
  void On(SendForward& action);
  void On(SendAnswer& action);
  void On(SendHandOver& action);
  void On(SendCancel& action);
  void On(SendCancellations& action);
  void On(ReplyAnnounce& action);
  void On(ReplyOutcomes& action);
  void On(ReplyHello& action);
  void On(ReplyForward& action);
  void On(ReplyAcknowledgement& action);
  void On(ReportJob& action);
  void On(LogEvent& action);
  void On(Departed& action);

  /// Sends the message; `make` turns the decoded reply into an event.
  template <typename Reply, typename Message, typename Make>
  void Send(const std::string& address, const char* method, const Message& message, Make make);

  /// Counts the messages that the event carries, and the time that the entry added.
  void Account(Time posted, const EntryEvent& event, const std::vector<EntryAction>& actions);

  Parts parts;
  MessageAccounting accounting;
};

}  // namespace quetzalvale
