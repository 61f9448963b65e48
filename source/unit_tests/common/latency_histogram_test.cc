#include "common/latency_histogram.h"

#include <gtest/gtest.h>

#include <map>

namespace boragepick {
namespace {

using std::chrono::milliseconds;

TEST(LatencyHistogram, CountsDurationsBelowEachBound) {
  LatencyHistogram histogram;
  for (const int ms : {1, 9, 50, 599, 601, 30'000})
    histogram.Add(milliseconds(ms));
  std::map<double, std::uint64_t> below;
  histogram.ForEachBound(
      [&](double bound, std::uint64_t count) { below[bound] = count; });
  EXPECT_EQ(below[0.01], 2U);
  EXPECT_EQ(below[0.1], 3U);
  EXPECT_EQ(below[0.6], 4U);
  EXPECT_EQ(below[1], 5U);
  EXPECT_EQ(below[20], 5U);
  EXPECT_EQ(histogram.Count(), 6U);
  EXPECT_NEAR(histogram.SumSeconds(), 31.26, 0.01);
}

}  // namespace
}  // namespace boragepick
