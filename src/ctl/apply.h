/// `quetzalvale-ctl apply`: changes the configuration of a service.
#pragma once

#include <json/value.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

#include "ctl/exit_code.h"
#include "ctl/session.h"

namespace quetzalvale {

/// A change is one compare-and-set on the base version. A lost answer is settled by looking for the
/// change id in the audit rows, so the same change is never applied twice.
class Apply {
 public:
  struct Options {
    std::string file;
    /// Empty: the service that the document names.
    std::string service;
    std::uint64_t base_version = 0;
    std::string change_id;
    /// Wait until all processes have confirmed the version.
    bool wait = false;
    std::chrono::milliseconds timeout{60000};
  };

  Apply(Session& session, Options options);

  ExitCode Run();

 private:
  /// Fills in and checks the service's name. Returns nothing after printing the error.
  std::optional<Json::Value> LoadDocument();
  ExitCode Put(const Json::Value& document);
  /// Decides between another operator's change and this one, applied although its answer was lost.
  ExitCode SettleStaleBase(const EntryReply& reply);
  ExitCode Finish(std::uint64_t version);
  ExitCode WaitForConfirmation(std::uint64_t version);

  Session& session;
  Options options;
};

}  // namespace quetzalvale
