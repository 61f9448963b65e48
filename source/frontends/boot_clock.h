// The only clock of the daemons: it keeps counting while the VM is suspended.
#pragma once

#include "common/time.h"

namespace boragepick {

TimePoint ReadBootClock();

}  // namespace boragepick
