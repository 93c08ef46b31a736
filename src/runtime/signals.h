/// Turns SIGTERM and SIGINT into a request for a graceful shutdown.
#pragma once

namespace quetzalvale {

/// Blocks SIGTERM and SIGINT (and SIGPIPE) in the calling thread and in all threads that it starts
/// later. Call first thing in main.
void BlockStopSignals();

/// Waits until SIGTERM or SIGINT arrives. Precondition: BlockStopSignals was called.
void WaitForStopSignal();

}  // namespace quetzalvale
