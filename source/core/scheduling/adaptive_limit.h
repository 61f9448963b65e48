// How many loads a shared store bears at once at full speed, found by how long
// each takes: one more is tried while loads at the limit take no longer than
// expected, and a load that takes longer tells how many would have been enough.
#pragma once

#include <algorithm>
#include <cstddef>

#include "common/time.h"

namespace boragepick {

class AdaptiveLimit {
 public:
  // Until a load was measured: few, since too many slow down all.
  static constexpr std::size_t kFirst = 2;
  static constexpr std::size_t kMost = 32;
  // A load that takes more than this times its expected time was slowed down.
  static constexpr double kSlow = 1.25;
  // A number that was too many is tried again after so long.
  static constexpr Duration kSlowLife = std::chrono::seconds(20);

  std::size_t value() const { return m_value; }

  // A load that began as one of `under_way` took so long.
  void Record(TimePoint now,
              std::size_t under_way,
              Duration took,
              Duration expected) {
    if (expected <= Duration::zero() || under_way == 0)
      return;
    if (now >= m_slow_until)
      m_too_many = kMost + 1;
    const double ratio = ToSeconds(took) / ToSeconds(expected);
    if (ratio > kSlow) {
      const auto enough = static_cast<std::size_t>(
          static_cast<double>(under_way) / ratio + kRounding);
      m_too_many = std::min(m_too_many, under_way);
      m_slow_until = now + kSlowLife;
      m_value = std::clamp<std::size_t>(enough, 1, m_value);
    } else if (under_way >= m_value) {
      m_value = std::min({m_value + 1, m_too_many - 1, kMost});
    }
    m_value = std::max<std::size_t>(m_value, 1);
  }

 private:
  // Measured times are a little longer than the load itself.
  static constexpr double kRounding = 0.3;

  std::size_t m_value = kFirst;
  // The least number under way that is known to slow loads down.
  std::size_t m_too_many = kMost + 1;
  TimePoint m_slow_until = TimePoint{};
};

}  // namespace boragepick
