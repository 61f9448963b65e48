#include "core/router/agent_table.h"

#include <algorithm>

namespace boragepick {

void AgentTable::ApplyReport(TimePoint /*now*/,
                             const std::string& vm,
                             const AgentReport& report) {
  AgentState& agent = m_agents[vm];
  agent.report = report;
  agent.sent_since = 0;
}

void AgentTable::RecordSent(const std::string& vm) {
  ++m_agents[vm].sent_since;
}

void AgentTable::MarkUnresponsive(TimePoint now, const std::string& vm) {
  m_agents[vm].unresponsive_until = now + kUnresponsiveBackoff;
}

const AgentReport* AgentTable::FindReport(const std::string& vm) const {
  const auto found = m_agents.find(vm);
  return found == m_agents.end() ? nullptr : &found->second.report;
}

std::vector<std::string> AgentTable::VmsWithResident(
    const std::string& unit) const {
  std::vector<std::string> vms;
  for (const auto& [vm, agent] : m_agents) {
    const bool resident =
        std::ranges::any_of(agent.report.units, [&](const ResidentUnit& u) {
          return u.name == unit && u.residency == Residency::kResident;
        });
    if (resident)
      vms.push_back(vm);
  }
  return vms;
}

void AgentTable::CollectCandidates(TimePoint now,
                                   const Query& query,
                                   const ConfigView& view,
                                   const Roster& roster) {
  m_entries.clear();
  m_candidates.clear();
  if (query.model.empty()) {
    for (const RosterEntry* entry : roster.LiveAgents(query.pool))
      AddCandidate(now, query, *entry);
    return;
  }
  const PermitRecord* record = view.PermitsOf(query.model);
  if (record == nullptr)
    return;
  for (const Permit& permit : record->permits) {
    const RosterEntry* entry = roster.Find(permit.vm);
    const bool usable = entry != nullptr && entry->state == VmState::kLive;
    if (usable && permit.state == PermitState::kActive)
      AddCandidate(now, query, *entry);
  }
}

void AgentTable::AddCandidate(TimePoint now,
                              const Query& query,
                              const RosterEntry& entry) {
  if (query.excluded != nullptr && query.excluded->contains(entry.vm))
    return;
  Candidate candidate{.same_data_centre =
                          entry.data_centre == query.data_centre};
  const auto found = m_agents.find(entry.vm);
  if (found == m_agents.end()) {
    candidate.resident = query.model.empty();
  } else {
    const AgentState& agent = found->second;
    if (agent.report.leaving || agent.unresponsive_until > now)
      return;
    candidate.reported_load = agent.report.running + agent.report.waiting;
    candidate.sent_since = agent.sent_since;
    candidate.slots = std::max<std::uint32_t>(agent.report.slots, 1);
    candidate.resident = query.model.empty();
    for (const ResidentUnit& unit : agent.report.units) {
      if (unit.name != query.model)
        continue;
      candidate.resident = unit.residency == Residency::kResident;
      candidate.loading = unit.residency == Residency::kLoading;
    }
    // A request sent since the last report has started a load that the report
    // does not show yet.
    candidate.loading = candidate.loading || agent.sent_since > 0;
  }
  m_entries.push_back(&entry);
  m_candidates.push_back(candidate);
}

}  // namespace boragepick
