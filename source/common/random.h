// The injected source of randomness: seeded, so that each history can be
// repeated.
#pragma once

#include <cstdint>

namespace boragepick {

// splitmix64; one owner, no locks.
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

  // Uniform in [0, bound); `bound` must not be 0.
  std::uint64_t Below(std::uint64_t bound) { return Next() % bound; }

 private:
  std::uint64_t m_state;
};

}  // namespace boragepick
