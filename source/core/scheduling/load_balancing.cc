#include "core/scheduling/load_balancing.h"

namespace boragepick {

namespace {

// All in units of one full turn of an agent's slots.
constexpr double kColdPenalty = 20;
constexpr double kLoadingPenalty = 8;
constexpr double kOtherDataCentrePenalty = 0.5;
// So much more load is accepted for the sake of a cached prefix.
constexpr double kAffinityBonus = 0.5;
// Candidates looked at besides the preferred one, at a bounded cost.
constexpr std::size_t kProbes = 4;

double LoadOf(const Candidate& candidate) {
  return static_cast<double>(candidate.reported_load + candidate.sent_since) /
         candidate.slots;
}

double WarmCost(const Candidate& candidate) {
  return LoadOf(candidate) +
         (candidate.same_data_centre ? 0 : kOtherDataCentrePenalty);
}

// why: the data centre doesn't count here, so that first requests at many
// routers meet at one agent and cause one load
double ColdCost(const Candidate& candidate) {
  if (candidate.resident)
    return LoadOf(candidate);
  return LoadOf(candidate) +
         (candidate.loading ? kLoadingPenalty : kColdPenalty);
}

std::optional<std::size_t> BestResidentProbe(const ChoiceInput& input,
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
  const bool all = count <= kProbes;
  for (std::size_t probe = 0; probe < (all ? count : kProbes); ++probe)
    consider(all ? probe : random.Below(count), 0);
  return best;
}

std::size_t CheapestOfAll(const ChoiceInput& input) {
  std::size_t best = 0;
  for (std::size_t index = 1; index < input.candidates.size(); ++index) {
    if (ColdCost(input.candidates[index]) < ColdCost(input.candidates[best]))
      best = index;
  }
  return best;
}

}  // namespace

std::optional<std::size_t> PrefixAffinityPolicy::Choose(
    const ChoiceInput& input,
    Random& random) const {
  if (input.candidates.empty())
    return std::nullopt;
  const std::optional<std::size_t> resident = BestResidentProbe(input, random);
  if (resident)
    return resident;
  // why: a cold start costs far more than a walk over the list, so it is chosen
  // only when no agent has the model
  return CheapestOfAll(input);
}

std::optional<std::size_t> RoundRobinPolicy::Choose(const ChoiceInput& input,
                                                    Random& /*random*/) {
  if (input.candidates.empty())
    return std::nullopt;
  return m_next++ % input.candidates.size();
}

}  // namespace boragepick
