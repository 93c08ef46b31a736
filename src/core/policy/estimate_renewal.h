/// Decides when a job is accepted although the estimates say that its answer would come too late.
#pragma once

#include <map>
#include <string>
#include <string_view>

#include "core/types.h"

namespace quetzalvale {

/// Estimates of run times and speeds change only when runs end. An entry that refuses all jobs of a
/// kind because of them would never learn that they have become wrong. This class lets one job of
/// the kind through when no run has confirmed the estimates for kMaxAge, and further ones, one at a
/// time, for as long as each is answered on time. Not thread-safe.
class EstimateRenewal {
 public:
  /// Long enough that estimates are left alone while work goes on: deadlines are 8 s at most, most
  /// runs take less than a second.
  static constexpr Milliseconds kMaxAge{3000};

  /// Records that a run of the kind ended without failing.
  void RunEnded(std::string_view kind, Time now);

  /// Whether a job of the kind that the estimates refuse may be accepted now. Precondition: the
  /// kind is configured, which bounds the number of records.
  bool MayAccept(const std::string& kind, Time now);

  /// Records that such a job was accepted.
  void Accepted(const std::string& kind, Time now);

  /// Records that such a job was answered, and whether its answer was complete and on time.
  void Answered(const std::string& kind, bool on_time);

 private:
  struct Kind {
    /// End of the last run, or the first refusal.
    Time confirmed{};
    bool in_progress = false;
    /// The last accepted job was answered on time, so the estimates are wrong.
    bool disproved = false;
  };

  std::map<std::string, Kind, std::less<>> kinds;
};

}  // namespace quetzalvale
