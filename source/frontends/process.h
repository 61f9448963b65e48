// Runs a daemon: the state machine of its role and the tasks that do its input
// and output.
#pragma once

#include "frontends/settings.h"

namespace boragepick {

// RunRouter() and RunAgent() run until SIGTERM or SIGINT and the drain that
// follows it; a second signal ends the process without waiting for the drain.
// SIGTERM, SIGINT and SIGUSR1 must be blocked in all threads. Both throw Error
// if the process can't start.
void RunRouter(const DaemonSettings& settings);
void RunAgent(const DaemonSettings& settings);

}  // namespace boragepick
