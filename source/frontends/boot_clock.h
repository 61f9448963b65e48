// The clock that all daemons use for durations and timeouts. It includes time
// during which the VM is suspended.
#pragma once

#include "common/time.h"

namespace boragepick {

TimePoint ReadBootClock();

}  // namespace boragepick
