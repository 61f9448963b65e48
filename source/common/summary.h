// A running summary of samples in constant memory, built on Boost.Accumulators.
#pragma once

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <array>
#include <cstddef>

namespace boragepick {

class Summary {
 public:
  static constexpr std::array<double, 3> kQuantiles{0.5, 0.95, 0.99};

  Summary()
      : m_accumulator(boost::accumulators::extended_p_square_probabilities =
                          kQuantiles) {}

  void Add(double value) { m_accumulator(value); }

  std::size_t Count() const {
    return boost::accumulators::count(m_accumulator);
  }
  double Sum() const { return boost::accumulators::sum(m_accumulator); }
  double Max() const {
    return Count() == 0 ? 0 : boost::accumulators::max(m_accumulator);
  }
  // Returns the estimate for kQuantiles[index], or 0 without samples.
  double Quantile(std::size_t index) const {
    // The P-square estimator has no valid estimate before its markers are
    // initialised; the maximum is used until then.
    constexpr std::size_t kMinSamples = 9;
    if (Count() < kMinSamples)
      return Max();
    return boost::accumulators::extended_p_square(m_accumulator)[index];
  }

 private:
  using Statistics =
      boost::accumulators::stats<boost::accumulators::tag::count,
                                 boost::accumulators::tag::sum,
                                 boost::accumulators::tag::max,
                                 boost::accumulators::tag::extended_p_square>;
  boost::accumulators::accumulator_set<double, Statistics> m_accumulator;
};

}  // namespace boragepick
