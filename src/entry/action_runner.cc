#include "entry/action_runner.h"

#include <algorithm>
#include <utility>

#include "entry/answer_json.h"
#include "runtime/log.h"

namespace quetzalvale {

ActionRunner::ActionRunner(Parts parts) : parts(std::move(parts)) {}

void ActionRunner::Run(Time posted, const EntryEvent& event, std::vector<EntryAction> actions) {
  this->Account(posted, event, actions);
  for (auto& action : actions) {
    std::visit([this](auto& typed) { this->On(typed); }, action);
  }
}

void ActionRunner::Account(Time posted, const EntryEvent& event,
                           const std::vector<EntryAction>& actions) {
  this->parts.metrics.Add("messages_useful_total", this->accounting.CountUseful(event, actions));
  const auto added = this->parts.clock.Now() - posted;
  const auto has = [&actions](auto is_wanted) {
    return std::any_of(actions.begin(), actions.end(), is_wanted);
  };
  if (has([](const EntryAction& action) { return std::holds_alternative<SendStart>(action); })) {
    this->parts.metrics.Observe("added_start_seconds", added);
  }
  if (has([](const EntryAction& action) { return std::holds_alternative<AnswerCaller>(action); })) {
    this->parts.metrics.Observe("added_answer_seconds", added);
  }
}

template <typename Reply, typename Message, typename Make>
void ActionRunner::Send(const std::string& address, const char* method, const Message& message,
                        Make make) {
  this->parts.senders.SendMessage<Reply>(address, method, message,
                                         [this, make = std::move(make)](Result<Reply> reply) {
                                           this->parts.core.PostResult(make(std::move(reply)));
                                         });
}

void ActionRunner::On(AnswerCaller& action) {
  this->parts.open.Respond(action.request, this->parts.render_answer(action.answer));
}

void ActionRunner::On(GrantTickets& action) {
  this->parts.open.Respond(action.request, RenderTickets(action.tickets));
}

void ActionRunner::On(AnswerQuery& action) {
  if (this->parts.open.Respond(action.request, RenderQuery(action.answer))) {
    return;
  }
  // A peer's cancellation: the answer goes to the job's own waiters.
  Acknowledgement reply;
  reply.accepted = IsOk(action.answer);
  this->parts.inner.Reply(action.request, reply);
}

void ActionRunner::On(ClaimKey& action) { this->parts.claim_key(action); }

void ActionRunner::On(SendStart& action) {
  this->Send<StartReply>(action.address, "start", action.message,
                         [agent = action.message.agent,
                          sequence = action.message.channel_sequence](Result<StartReply> reply) {
                           return StartReplied{agent, sequence, std::move(reply)};
                         });
}

void ActionRunner::On(SendWithdraw& action) {
  this->Send<WithdrawReply>(
      action.address, "withdraw", action.message,
      [agent = action.message.agent, items = action.message.items](Result<WithdrawReply> reply) {
        return WithdrawReplied{agent, items, std::move(reply)};
      });
}

void ActionRunner::On(SendSeal& action) {
  this->Send<SealReply>(
      action.address, "seal", action.message,
      [agent = action.agent, ticket = action.message.ticket](Result<SealReply> reply) {
        return SealReplied{agent, ticket, std::move(reply)};
      });
}

void ActionRunner::On(SendNotice& action) {
  this->Send<Heartbeat>(action.address, "notice", action.message,
                        [agent = action.agent, told = action.message,
                         arrivals = action.arrivals](Result<Heartbeat> reply) {
                          return NoticeReplied{agent, told, arrivals, std::move(reply)};
                        });
}

void ActionRunner::On(SendHello& action) {
  this->Send<Hello>(action.address, "hello", action.message,
                    [address = action.address](Result<Hello> reply) {
                      return HelloReplied{address, std::move(reply)};
                    });
}

void ActionRunner::On(SendForward& action) {
  this->Send<ForwardReply>(
      action.address, "forward", action.message,
      [request = action.message.request_id, to = action.to](Result<ForwardReply> reply) {
        return ForwardReplied{request, to, std::move(reply)};
      });
}

void ActionRunner::On(SendAnswer& action) {
  this->Send<Acknowledgement>(
      action.address, "answer", action.message,
      [to = action.message.to, request = action.message.request_id](Result<Acknowledgement> reply) {
        return AnswerReplied{to, request, std::move(reply)};
      });
}

void ActionRunner::On(SendHandOver& action) {
  this->Send<Acknowledgement>(
      action.address, "hand_over", action.message,
      [to = action.to, service = action.message.service](Result<Acknowledgement> reply) {
        return HandOverReplied{to, service, std::move(reply)};
      });
}

void ActionRunner::On(SendCancel& action) {
  this->parts.senders.SendMessage<Acknowledgement>(action.address, "cancel", action.message,
                                                   [](const Result<Acknowledgement>&) {});
}

void ActionRunner::On(SendCancellations& action) {
  this->Send<Acknowledgement>(action.address, "cancelled_jobs", action.message,
                              [to = action.to, last = action.last](Result<Acknowledgement> reply) {
                                return CancellationsReplied{to, last, std::move(reply)};
                              });
}

void ActionRunner::On(ReplyAnnounce& action) {
  this->parts.inner.Reply(action.request, action.reply);
}

void ActionRunner::On(ReplyOutcomes& action) {
  this->parts.inner.Reply(action.request, action.reply);
}

void ActionRunner::On(ReplyHello& action) { this->parts.inner.Reply(action.request, action.reply); }

void ActionRunner::On(ReplyForward& action) {
  this->parts.inner.Reply(action.request, action.reply);
}

void ActionRunner::On(ReplyAcknowledgement& action) {
  this->parts.inner.Reply(action.request, action.reply);
}

void ActionRunner::On(ReportJob& action) {
  const char* outcome = action.status == AnswerStatus::kComplete ? "complete" : "failed";
  Metrics& metrics = this->parts.metrics;
  metrics.Add("jobs_total", 1, {{"kind", action.kind}, {"outcome", outcome}});
  metrics.Observe("job_seconds", action.total, {{"outcome", outcome}});
  if (action.last_task) {
    metrics.Observe("job_wait_seconds", action.last_task->waited);
    metrics.Observe("job_away_seconds", action.last_task->at_agent);
    metrics.Observe("job_run_seconds", action.last_task->run);
  }
}

void ActionRunner::On(LogEvent& action) {
  Log(LogLevel::kInfo, action.number, action.name, action.details);
}

void ActionRunner::On(Departed& /*action*/) { this->parts.departed(); }

}  // namespace quetzalvale
