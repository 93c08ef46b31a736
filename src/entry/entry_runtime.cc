#include "entry/entry_runtime.h"

#include <utility>

#include "runtime/entropy.h"

namespace quetzalvale {
namespace {

constexpr std::chrono::milliseconds kCallTimeout{2000};
constexpr std::chrono::milliseconds kStatusPatience{1000};
constexpr std::size_t kCallsPerPeer = 4096;

}  // namespace

EntryRuntime::EntryRuntime(Options given)
    : options(std::move(given)),
      senders(this->options.shared_key, kCallsPerPeer, kCallTimeout),
      book(this->options.services, [this](std::shared_ptr<const ServiceConfiguration> changed) {
        this->core->PostResult(ConfigurationChanged{std::move(changed)});
      }) {}

EntryRuntime::~EntryRuntime() { this->Stop(); }

std::string EntryRuntime::Start(std::vector<std::string> seeds) {
  this->core = std::make_unique<CoreThread>(
      EntryCore(this->options.self, this->options.services, std::move(seeds), DrawSeed(),
                this->options.guards, this->options.limits),
      this->clock,
      [this](quetzalvale::Time posted, const EntryEvent& event, std::vector<EntryAction> actions) {
        this->runner->Run(posted, event, std::move(actions));
      },
      this->options.max_waiting_bytes);
  this->inner = std::make_unique<InnerApi>(*this->core, this->book, this->ids);
  this->runner = std::make_unique<ActionRunner>(ActionRunner::Parts{
      *this->core, this->open, *this->inner, this->senders, this->options.claim_key,
      this->options.render_answer, this->metrics, this->clock, [this] {
        if (!this->departed_set.exchange(true)) {
          this->departed.set_value();
        }
      }});
  this->rpc = std::make_unique<RpcServer>(this->options.inner_address, this->options.shared_key);
  this->inner->RegisterWith(*this->rpc);
  this->core->Start();
  if (!this->rpc->Start()) {
    return "cannot listen on inner_address " + this->options.inner_address +
           "; free the address or change the settings";
  }
  return "";
}

void EntryRuntime::Leave() {
  this->core->PostResult(LeaveRequested{});
  this->departed.get_future().wait();
}

void EntryRuntime::Stop() {
  if (this->rpc) {
    this->rpc->Stop();
  }
  this->senders.Stop();
  if (this->core) {
    this->core->Stop();
  }
}

std::optional<EntryStatus> EntryRuntime::Status() {
  auto promise = std::make_shared<std::promise<EntryStatus>>();
  auto future = promise->get_future();
  const bool posted = this->core->PostStatusRequest(
      [promise](const EntryStatus& status) { promise->set_value(status); });
  if (!posted || future.wait_for(kStatusPatience) != std::future_status::ready) {
    return std::nullopt;
  }
  return future.get();
}

}  // namespace quetzalvale
