// Load balancing policies: select one of the agents that may serve a request.
#pragma once

#include <concepts>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

#include "common/enum_table.h"
#include "common/random.h"

namespace boragepick {

// An agent's state as last seen by a router; any of it may be out of date.
struct Candidate {
  // Running and waiting requests in the agent's last report.
  std::uint32_t reported_load = 0;
  // Requests sent since that report.
  std::uint32_t sent_since = 0;
  // Requests that the agent runs concurrently.
  std::uint32_t slots = 1;
  bool resident = false;
  bool loading = false;
  bool same_data_centre = false;
};

struct LoadBalancingInput {
  std::span<const Candidate> candidates;
  // Hash of the prompt's prefix. Requests with the same prefix go to the same
  // agent while its load permits, since its engine may have the prefix cached.
  std::uint64_t affinity = 0;
};

template <typename P>
concept LoadBalancingPolicy = requires(P policy,
                                       const LoadBalancingInput& input,
                                       Random& random) {
  { policy.Choose(input, random) } -> std::same_as<std::optional<std::size_t>>;
};

// Prefers agents on which the model is resident, comparing the agent of the
// prompt's prefix with a few random others. If none is found, selects the
// cheapest of all agents; an agent that is loading the model costs less than
// one without it.
class PrefixAffinityPolicy {
 public:
  std::optional<std::size_t> Choose(const LoadBalancingInput& input,
                                    Random& random) const;
};

// Baseline for comparisons: each agent in turn, regardless of its load.
class RoundRobinPolicy {
 public:
  std::optional<std::size_t> Choose(const LoadBalancingInput& input,
                                    Random& random);

 private:
  std::size_t m_next = 0;
};

static_assert(LoadBalancingPolicy<PrefixAffinityPolicy>);
static_assert(LoadBalancingPolicy<RoundRobinPolicy>);

}  // namespace boragepick
