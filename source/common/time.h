// The time types of the core. The core never reads a clock: the current time is
// passed to each function that needs it, so that tests run in virtual time.
#pragma once

#include <chrono>
#include <string>

namespace boragepick {

// Tag type of the boot clock (CLOCK_BOOTTIME), which keeps counting while a VM
// is suspended.
struct BootClock {
  using duration = std::chrono::microseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock, duration>;
  // NOLINTNEXTLINE(readability-identifier-naming): named by the standard
  static constexpr bool is_steady = true;
};

using Duration = BootClock::duration;
using TimePoint = BootClock::time_point;

inline constexpr TimePoint kNever = TimePoint::max();

// Converts to seconds as a floating-point number.
constexpr double ToSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

// Formats a duration in whole milliseconds, for fields of log lines.
inline std::string FormatMilliseconds(Duration duration) {
  return std::to_string(
      std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

}  // namespace boragepick
