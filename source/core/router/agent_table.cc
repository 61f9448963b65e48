#include "core/router/agent_table.h"

#include <algorithm>

namespace boragepick {

void AgentTable::TakeReport(TimePoint /*now*/,
                            const std::string& vm,
                            const AgentReport& report) {
  Known& known = m_known[vm];
  known.report = report;
  known.sent_since = 0;
}

void AgentTable::Sent(const std::string& vm) {
  ++m_known[vm].sent_since;
}

void AgentTable::Distrust(TimePoint now, const std::string& vm) {
  m_known[vm].distrusted_until = now + kDistrust;
}

const AgentReport* AgentTable::ReportOf(const std::string& vm) const {
  const auto found = m_known.find(vm);
  return found == m_known.end() ? nullptr : &found->second.report;
}

std::vector<std::string> AgentTable::ResidentAt(const std::string& unit) const {
  std::vector<std::string> vms;
  for (const auto& [vm, known] : m_known) {
    const bool resident =
        std::ranges::any_of(known.report.units, [&](const ResidentUnit& u) {
          return u.name == unit && u.residency == Residency::kResident;
        });
    if (resident)
      vms.push_back(vm);
  }
  return vms;
}

void AgentTable::Collect(TimePoint now,
                         const Question& question,
                         const ConfigView& view,
                         const Roster& roster) {
  m_entries.clear();
  m_candidates.clear();
  if (question.model.empty()) {
    for (const RosterEntry* entry : roster.LiveAgents(question.pool))
      Add(now, question, *entry);
    return;
  }
  const PermitRecord* record = view.PermitsOf(question.model);
  if (record == nullptr)
    return;
  for (const Permit& permit : record->permits) {
    const RosterEntry* entry = roster.Find(permit.vm);
    const bool usable = entry != nullptr && entry->state == VmState::kLive;
    if (usable && permit.state == PermitState::kActive)
      Add(now, question, *entry);
  }
}

void AgentTable::Add(TimePoint now,
                     const Question& question,
                     const RosterEntry& entry) {
  if (question.avoid != nullptr && question.avoid->contains(entry.vm))
    return;
  Candidate candidate{.same_data_centre =
                          entry.data_centre == question.data_centre};
  const auto found = m_known.find(entry.vm);
  if (found == m_known.end()) {
    candidate.resident = question.model.empty();
  } else {
    const Known& known = found->second;
    if (known.report.leaving || known.distrusted_until > now)
      return;
    candidate.reported_load = known.report.running + known.report.waiting;
    candidate.sent_since = known.sent_since;
    candidate.slots = std::max<std::uint32_t>(known.report.slots, 1);
    candidate.resident = question.model.empty();
    for (const ResidentUnit& unit : known.report.units) {
      if (unit.name != question.model)
        continue;
      candidate.resident = unit.residency == Residency::kResident;
      candidate.loading = unit.residency == Residency::kLoading;
    }
    // why: what was sent to it has started a load that its report doesn't show
    // yet
    candidate.loading = candidate.loading || known.sent_since > 0;
  }
  m_entries.push_back(&entry);
  m_candidates.push_back(candidate);
}

}  // namespace boragepick
