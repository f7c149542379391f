#pragma once

#include <functional>

namespace foxtail {

/// Prepares the process for its signals: SIGPIPE is ignored, and SIGINT,
/// SIGTERM and SIGHUP stay pending until `WaitForStopSignal`. Must be called
/// before the process starts a thread.
void DeferStopSignals();

/// Suspends the calling fiber until the process receives SIGINT or SIGTERM.
/// From the call to the end of the process, each SIGHUP calls `on_reload`, and
/// none of these signals ends the process. Must be called once.
void WaitForStopSignal(std::function<void()> on_reload);

}  // namespace foxtail
