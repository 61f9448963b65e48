#include "frontends/boot_clock.h"

#include <ctime>

namespace boragepick {

TimePoint ReadBootClock() {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  const auto since_boot =
      std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec);
  return TimePoint(std::chrono::duration_cast<Duration>(since_boot));
}

}  // namespace boragepick
