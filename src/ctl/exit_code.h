/// Exit codes of quetzalvale-ctl, as documented in its help.
#pragma once

namespace quetzalvale {

enum class ExitCode {
  kDone = 0,
  /// The entry refused the operation; nothing was changed and no task ran.
  kRefused = 1,
  /// Wrong arguments, an unreadable file or an invalid document.
  kInvalid = 2,
  /// Another change came first.
  kStaleBase = 3,
  /// No entry answered; the operation may have taken effect.
  kNoAnswer = 4,
  /// The job failed.
  kJobFailed = 5,
  /// Applied, but not confirmed by all processes in time.
  kNotConfirmed = 6,
};

}  // namespace quetzalvale
