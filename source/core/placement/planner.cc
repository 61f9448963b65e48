#include "core/placement/planner.h"

#include <algorithm>
#include <tuple>

#include "common/hashing.h"

namespace boragepick {

namespace {

// Lower is better: VMs with enough unclaimed memory first, then the data centre
// with the fewest replicas, then the VM with the least claimed memory, then by
// hash.
struct Rank {
  bool overcommitted = false;
  std::size_t replicas_in_data_centre = 0;
  std::uint64_t claimed_mb = 0;
  std::uint64_t hash = 0;
  auto operator<=>(const Rank&) const = default;
};

bool Holds(const PermitRecord& record, const std::string& vm) {
  return std::ranges::any_of(record.permits,
                             [&](const Permit& p) { return p.vm == vm; });
}

std::size_t ReplicasIn(const PermitRecord& record,
                       const Roster& roster,
                       const std::string& data_centre) {
  std::size_t replicas = 0;
  for (const Permit& permit : record.permits) {
    const RosterEntry* entry = roster.Find(permit.vm);
    if (entry != nullptr && entry->data_centre == data_centre)
      ++replicas;
  }
  return replicas;
}

Rank RankOf(const PlannerInput& input,
            const PermitRecord& record,
            const Roster& roster,
            const RosterEntry& agent) {
  const auto claimed = input.claimed_mb.find(agent.vm);
  const std::uint64_t claimed_mb =
      claimed == input.claimed_mb.end() ? 0 : claimed->second;
  return {
      .overcommitted = claimed_mb + input.memory_mb > agent.memory_mb,
      .replicas_in_data_centre = ReplicasIn(record, roster, agent.data_centre),
      .claimed_mb = claimed_mb,
      .hash = StableHash(agent.vm, StableHash(input.model))};
}

const RosterEntry* BestNewHolder(const PlannerInput& input,
                                 const PermitRecord& record,
                                 const Roster& roster) {
  const RosterEntry* best = nullptr;
  Rank best_rank;
  for (const RosterEntry* agent : roster.LiveAgents(kModelPool)) {
    if (agent->memory_mb < input.memory_mb || Holds(record, agent->vm))
      continue;
    const Rank rank = RankOf(input, record, roster, *agent);
    if (best == nullptr || rank < best_rank) {
      best = agent;
      best_rank = rank;
    }
  }
  return best;
}

bool RemoveEnded(TimePoint now,
                 const PlannerInput& input,
                 const Roster& roster,
                 PermitRecord& record) {
  const auto ended = [&](const Permit& permit) {
    if (roster.IsVmProvenGone(now, permit.vm, permit.listed_version))
      return true;
    return permit.state == PermitState::kRevoked &&
           input.released.contains(permit.vm);
  };
  return std::erase_if(record.permits, ended) > 0;
}

// Revokes the permits of leaving VMs, so that other VMs can get them once the
// model is unloaded.
bool RevokeLeaving(const Roster& roster, PermitRecord& record) {
  bool changed = false;
  for (Permit& permit : record.permits) {
    const RosterEntry* entry = roster.Find(permit.vm);
    const bool leaving = entry != nullptr && entry->state == VmState::kLeaving;
    if (leaving && permit.state == PermitState::kActive) {
      permit.state = PermitState::kRevoked;
      changed = true;
    }
  }
  return changed;
}

bool RevokeSurplus(const PlannerInput& input, PermitRecord& record) {
  auto active = static_cast<std::size_t>(
      std::ranges::count(record.permits, PermitState::kActive, &Permit::state));
  bool changed = false;
  for (auto permit = record.permits.rbegin(); permit != record.permits.rend();
       ++permit) {
    if (active <= input.replicas)
      break;
    if (permit->state == PermitState::kRevoked)
      continue;
    permit->state = PermitState::kRevoked;
    --active;
    changed = true;
  }
  return changed;
}

bool AddMissing(const PlannerInput& input,
                const Roster& roster,
                PermitRecord& record) {
  bool changed = false;
  // Revoked permits count, since their models may still be in memory.
  while (record.permits.size() < input.replicas) {
    const RosterEntry* agent = BestNewHolder(input, record, roster);
    if (agent == nullptr)
      break;
    record.permits.push_back(
        {.vm = agent->vm, .listed_version = roster.version()});
    changed = true;
  }
  return changed;
}

}  // namespace

std::optional<PermitRecord> PlanPermits(TimePoint now,
                                        const PlannerInput& input,
                                        const Roster& roster) {
  PermitRecord next = input.record;
  bool changed = RemoveEnded(now, input, roster, next);
  changed |= RevokeLeaving(roster, next);
  changed |= RevokeSurplus(input, next);
  changed |= AddMissing(input, roster, next);
  if (!changed)
    return std::nullopt;
  return next;
}

}  // namespace boragepick
