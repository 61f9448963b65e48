// A whole daemon: the machine of its role and the tasks round it.
#pragma once

#include "frontends/settings.h"

namespace boragepick {

// Runs until it was asked to stop by SIGTERM or SIGINT and nothing is left to
// do; a second signal ends it at once. SIGTERM, SIGINT and SIGUSR1 must be
// blocked in all threads. Throws Error when it can't start.
void RunRouter(const DaemonSettings& settings);
void RunAgent(const DaemonSettings& settings);

}  // namespace boragepick
