// The choice of an upstream among the agents that may serve a request.
#pragma once

#include <concepts>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

#include "common/enum_table.h"
#include "common/random.h"

namespace boragepick {

// What a router knows of one agent; everything is a hint.
struct Candidate {
  // Running and waiting requests by the agent's last report.
  std::uint32_t reported_load = 0;
  // Requests sent since that report was made.
  std::uint32_t sent_since = 0;
  // Requests that it runs at once.
  std::uint32_t slots = 1;
  bool resident = false;
  bool loading = false;
  bool same_data_centre = false;
};

struct ChoiceInput {
  std::span<const Candidate> candidates;
  // Hash of the beginning of the prompt: equal beginnings go to the same agent
  // while its load allows, since its engine may have the prefix cached.
  std::uint64_t affinity = 0;
};

template <typename P>
concept LoadBalancingPolicy = requires(P policy,
                                       const ChoiceInput& input,
                                       Random& random) {
  { policy.Choose(input, random) } -> std::same_as<std::optional<std::size_t>>;
};

// Resident before loading before permitted; then the better of the agent that
// the affinity names and a random other one.
class PrefixAffinityPolicy {
 public:
  std::optional<std::size_t> Choose(const ChoiceInput& input,
                                    Random& random) const;
};

// The naive policy: each in turn, whatever its load.
class RoundRobinPolicy {
 public:
  std::optional<std::size_t> Choose(const ChoiceInput& input, Random& random);

 private:
  std::size_t m_next = 0;
};

static_assert(LoadBalancingPolicy<PrefixAffinityPolicy>);
static_assert(LoadBalancingPolicy<RoundRobinPolicy>);

}  // namespace boragepick
