/// The parts of an entry that do not depend on who its callers are and where its configuration
/// lies.
#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <future>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "entry/action_runner.h"
#include "entry/configuration_book.h"
#include "entry/core_thread.h"
#include "entry/inner_api.h"
#include "entry/open_requests.h"
#include "protocol/peer_senders.h"
#include "protocol/rpc_server.h"
#include "runtime/clock.h"
#include "runtime/metrics.h"

namespace quetzalvale {

/// The decision logic with its thread, its calls to and from agents and peers, the configuration
/// book and the open requests of callers. Start, Leave and Stop belong to one thread; the accessors
/// are thread-safe after Start.
class EntryRuntime {
 public:
  struct Options {
    EntryInfo self;
    std::string inner_address;
    std::string shared_key;
    /// Services known from the settings. Others are added by the book's first document of them.
    std::vector<std::string> services;
    EntryGuards guards;
    /// Claims a caller's key without blocking; the result is posted as KeyClaimed.
    std::function<void(const ClaimKey&)> claim_key;
    /// Renders the answer to a caller's job.
    std::function<HttpResponse(const Answer&)> render_answer;
    /// Memory of the jobs that wait for the decision logic.
    std::size_t max_waiting_bytes = std::size_t{256} << 20U;
    EntryLimits limits{};
  };

  explicit EntryRuntime(Options options);
  ~EntryRuntime();
  EntryRuntime(const EntryRuntime&) = delete;
  EntryRuntime& operator=(const EntryRuntime&) = delete;

  /// `seeds` are inner addresses of other entries. Returns an empty text, or why the entry cannot
  /// serve.
  std::string Start(std::vector<std::string> seeds);

  /// Departs: returns when the decision logic has finished its jobs and handed over.
  void Leave();

  /// Closes everything at once. May be called twice.
  void Stop();

  /// Returns nothing when the entry is overloaded.
  std::optional<EntryStatus> Status();

  CoreThread& Core() { return *this->core; }
  OpenRequests& Open() { return this->open; }
  ConfigurationBook& Book() { return this->book; }
  const ConfigurationBook& Book() const { return this->book; }
  PeerSenders& Senders() { return this->senders; }
  Metrics& Counters() { return this->metrics; }
  const Clock& Time() const { return this->clock; }
  std::atomic<std::uint64_t>& RequestIds() { return this->ids; }

 private:
  Options options;
  SystemClock clock;
  std::atomic<std::uint64_t> ids{0};
  std::promise<void> departed;
  std::atomic<bool> departed_set{false};
  Metrics metrics;
  PeerSenders senders;
  OpenRequests open;
  ConfigurationBook book;
  std::unique_ptr<ActionRunner> runner;
  std::unique_ptr<CoreThread> core;
  std::unique_ptr<InnerApi> inner;
  std::unique_ptr<RpcServer> rpc;
};

}  // namespace quetzalvale
