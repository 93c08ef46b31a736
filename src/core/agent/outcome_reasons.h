/// Failure reasons set by the agent.
#pragma once

#include <string_view>

#include "core/messages.h"

namespace quetzalvale {

// Reasons that prove that the task did not run; the owner may place it elsewhere.
inline constexpr std::string_view kNotRun = "not_run";
inline constexpr std::string_view kExpired = "expired";
// Reasons of tasks that may have run.
inline constexpr std::string_view kEndpointLost = "endpoint_lost";
inline constexpr std::string_view kOutcomeUnknown = "outcome_unknown";
/// The run was stopped or its lease expired. It has ended, and neither the task nor the endpoint is
/// at fault.
inline constexpr std::string_view kInterrupted = "interrupted";

/// Whether the run ended for a reason that does not indicate a fault of the task.
inline bool IsInterruption(std::string_view reason) {
  return reason == kInterrupted || reason == kEndpointLost;
}

inline bool ProvesNotRun(std::string_view reason) {
  return reason == kNotRun || reason == kExpired;
}

inline Outcome FailedOutcome(const TaskKey& task, std::string_view reason) {
  Outcome outcome;
  outcome.task = task;
  outcome.reason = reason;
  return outcome;
}

}  // namespace quetzalvale
