#include "core/scheduling/load_balancing.h"

namespace boragepick {

namespace {

// Costs and bonuses are in units of an agent's load when all its slots are
// busy.
constexpr double kColdPenalty = 20;
constexpr double kLoadingPenalty = 8;
constexpr double kOtherDataCentrePenalty = 0.5;
// Extra load that is accepted on the agent that may have the prefix cached.
constexpr double kAffinityBonus = 0.5;
// Candidates compared with the preferred one; bounds the cost of a selection.
constexpr std::size_t kMaxProbes = 4;

double LoadOf(const Candidate& candidate) {
  return static_cast<double>(candidate.reported_load + candidate.sent_since) /
         candidate.slots;
}

double WarmCost(const Candidate& candidate) {
  return LoadOf(candidate) +
         (candidate.same_data_centre ? 0 : kOtherDataCentrePenalty);
}

// Ignores the data centre, so that many routers send their first requests for a
// model to the same agent and cause only one load.
double ColdCost(const Candidate& candidate) {
  if (candidate.resident)
    return LoadOf(candidate);
  return LoadOf(candidate) +
         (candidate.loading ? kLoadingPenalty : kColdPenalty);
}

std::optional<std::size_t> BestResidentCandidate(
    const LoadBalancingInput& input,
    Random& random) {
  const std::size_t count = input.candidates.size();
  std::optional<std::size_t> best;
  double best_cost = 0;
  const auto consider = [&](std::size_t index, double bonus) {
    if (!input.candidates[index].resident)
      return;
    const double cost = WarmCost(input.candidates[index]) - bonus;
    if (!best || cost < best_cost) {
      best = index;
      best_cost = cost;
    }
  };
  consider(input.affinity % count, kAffinityBonus);
  const bool all = count <= kMaxProbes;
  for (std::size_t probe = 0; probe < (all ? count : kMaxProbes); ++probe)
    consider(all ? probe : random.Below(count), 0);
  return best;
}

std::size_t CheapestCandidate(const LoadBalancingInput& input) {
  std::size_t best = 0;
  for (std::size_t index = 1; index < input.candidates.size(); ++index) {
    if (ColdCost(input.candidates[index]) < ColdCost(input.candidates[best]))
      best = index;
  }
  return best;
}

}  // namespace

std::optional<std::size_t> PrefixAffinityPolicy::Choose(
    const LoadBalancingInput& input,
    Random& random) const {
  if (input.candidates.empty())
    return std::nullopt;
  const std::optional<std::size_t> resident =
      BestResidentCandidate(input, random);
  if (resident)
    return resident;
  // The random probes may miss a resident agent. A cold start costs far more
  // than scanning all candidates.
  return CheapestCandidate(input);
}

std::optional<std::size_t> RoundRobinPolicy::Choose(
    const LoadBalancingInput& input,
    Random& /*random*/) {
  if (input.candidates.empty())
    return std::nullopt;
  return m_next++ % input.candidates.size();
}

}  // namespace boragepick
