// An adaptive limit of concurrent loads from a shared store: the number that
// the store serves at full speed, estimated from the duration of each load. The
// limit grows by one when a load at the limit takes no longer than expected; a
// slower load lowers it by the ratio of the slowdown.
#pragma once

#include <algorithm>
#include <cstddef>

#include "common/time.h"

namespace boragepick {

class AdaptiveLimit {
 public:
  // Low, since too many concurrent loads slow down all of them.
  static constexpr std::size_t kInitialLimit = 2;
  static constexpr std::size_t kMaxLimit = 32;
  // A load counts as slow above this ratio of its duration to the expected one.
  static constexpr double kSlowRatio = 1.25;
  // Time after which a number of loads that was too high may be tried again.
  static constexpr Duration kOverloadMemory = std::chrono::seconds(20);

  std::size_t limit() const { return m_limit; }

  // Records a load that started as one of `concurrent_loads` and took
  // `load_time`.
  void Record(TimePoint now,
              std::size_t concurrent_loads,
              Duration load_time,
              Duration expected_load_time) {
    if (expected_load_time <= Duration::zero() || concurrent_loads == 0)
      return;
    if (now >= m_overload_valid_until)
      m_overload = kMaxLimit + 1;
    const double ratio = ToSeconds(load_time) / ToSeconds(expected_load_time);
    if (ratio > kSlowRatio) {
      const auto sustainable = static_cast<std::size_t>(
          static_cast<double>(concurrent_loads) / ratio + kRounding);
      m_overload = std::min(m_overload, concurrent_loads);
      m_overload_valid_until = now + kOverloadMemory;
      m_limit = std::clamp<std::size_t>(sustainable, 1, m_limit);
    } else if (concurrent_loads >= m_limit) {
      m_limit = std::min({m_limit + 1, m_overload - 1, kMaxLimit});
    }
    m_limit = std::max<std::size_t>(m_limit, 1);
  }

 private:
  // Offsets the overhead in measured load times, which are a little longer than
  // the load itself.
  static constexpr double kRounding = 0.3;

  std::size_t m_limit = kInitialLimit;
  // The lowest number of concurrent loads known to slow the store down.
  std::size_t m_overload = kMaxLimit + 1;
  TimePoint m_overload_valid_until = TimePoint{};
};

}  // namespace boragepick
