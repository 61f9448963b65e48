// A seeded source of randomness, passed in as a dependency so that simulations
// and tests can be reproduced.
#pragma once

#include <cstdint>

namespace boragepick {

// The splitmix64 generator. Not thread-safe.
class Random {
 public:
  explicit Random(std::uint64_t seed) : m_state(seed) {}

  std::uint64_t Next() {
    m_state += 0x9e3779b97f4a7c15ULL;
    std::uint64_t value = m_state;
    value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31);
  }

  // Returns a uniformly distributed number in [0, bound); `bound` must not be
  // 0.
  std::uint64_t Below(std::uint64_t bound) { return Next() % bound; }

 private:
  std::uint64_t m_state;
};

}  // namespace boragepick
