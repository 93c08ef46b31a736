/// Turns SIGTERM and SIGINT into a request for a graceful shutdown, and SIGHUP into one to reload.
#pragma once

#include <functional>

namespace quetzalvale {

/// Blocks SIGTERM, SIGINT and SIGHUP (and SIGPIPE) in the calling thread and in all threads that it
/// starts later. Call first thing in main.
void BlockStopSignals();

/// Waits until SIGTERM or SIGINT arrives, and calls `reload` at each SIGHUP. Precondition:
/// BlockStopSignals was called.
void WaitForStopSignal(const std::function<void()>& reload = [] {});

}  // namespace quetzalvale
