// A histogram of durations with fixed buckets, built on Boost.Histogram.
#pragma once

#include <boost/histogram.hpp>

#include <array>
#include <cstdint>

#include "common/time.h"

namespace boragepick {

class LatencyHistogram {
 public:
  // Upper bounds of the buckets in seconds: about two per decade, with the
  // latency objectives of interactive requests in between. An overflow bucket
  // holds longer durations.
  static constexpr std::array<double, 13> kBounds{
      0.01, 0.03, 0.1, 0.2, 0.4, 0.6, 1, 1.5, 2.5, 4, 6, 10, 20};

  LatencyHistogram()
      : m_counts(boost::histogram::make_histogram(
            Axis(kBounds.begin(), kBounds.end()))) {}

  void Add(Duration duration) {
    const double seconds = ToSeconds(duration);
    m_counts(seconds);
    m_sum += seconds;
    ++m_count;
  }

  // Calls `visit(bound, count)` for each bound with the cumulative number of
  // durations below it.
  template <typename Visit>
  void ForEachBound(Visit visit) const {
    // Bucket 0 of the axis lies between its first and second edge; durations
    // below the first edge are in the underflow bucket, index -1.
    std::uint64_t below = 0;
    for (std::size_t i = 0; i < kBounds.size(); ++i) {
      below += static_cast<std::uint64_t>(m_counts.at(static_cast<int>(i) - 1));
      visit(kBounds[i], below);
    }
  }

  std::uint64_t Count() const { return m_count; }
  double SumSeconds() const { return m_sum; }

 private:
  using Axis = boost::histogram::axis::variable<>;
  boost::histogram::histogram<std::tuple<Axis>> m_counts;
  std::uint64_t m_count = 0;
  double m_sum = 0;
};

}  // namespace boragepick
