#include "core/router/planner_duty.h"

#include <set>

#include "common/hashing.h"

namespace boragepick {

namespace {

// Calls of the planner are numbered in a range of their own.
constexpr std::uint64_t kFirstCall = 1ULL << 40;
constexpr Duration kWriteTimeout = std::chrono::seconds(3);
constexpr Duration kAfterConflict = std::chrono::milliseconds(500);

std::string JoinVms(const PermitRecord& record, PermitState state) {
  std::string joined;
  for (const Permit& permit : record.permits) {
    if (permit.state == state)
      joined += (joined.empty() ? "" : ",") + permit.vm;
  }
  return joined;
}

}  // namespace

bool PlannerDuty::IsMine(const std::string& model) const {
  const std::vector<std::string> order =
      RendezvousOrder("planner/" + model, m_state.roster.LiveRouters());
  return !order.empty() && order.front() == m_state.options.vm;
}

std::map<std::string, std::uint64_t> PlannerDuty::ClaimedMb() const {
  std::map<std::string, std::uint64_t> claimed;
  for (const auto& [model, record] : m_state.view.permits()) {
    const std::optional<ServedModel> served = m_state.view.Resolve(model);
    for (const Permit& permit : record.permits)
      claimed[permit.vm] += served ? served->memory_mb : 0;
  }
  return claimed;
}

std::set<std::string> PlannerDuty::ReleasedBy(
    const PermitRecord& record) const {
  std::set<std::string> released;
  for (const Permit& permit : record.permits) {
    const auto report = m_reports.find(permit.vm);
    if (permit.state != PermitState::kRevoked || report == m_reports.end())
      continue;
    // why: a report made before the agent saw the revocation proves nothing, it
    // may load yet
    const bool knows = report->second.feed_revision >= record.revision;
    if (knows && !report->second.units.contains(record.model))
      released.insert(permit.vm);
  }
  return released;
}

void PlannerDuty::TakeReport(const std::string& vm, const AgentReport& report) {
  SeenReport& seen = m_reports[vm];
  if (report.feed_revision < seen.feed_revision)
    return;
  seen.feed_revision = report.feed_revision;
  seen.units.clear();
  for (const ResidentUnit& unit : report.units)
    seen.units.insert(unit.name);
}

void PlannerDuty::Tick(TimePoint now) {
  if (now < m_next || m_state.draining || m_state.roster.version() == 0)
    return;
  m_next = now + kPeriod;
  const std::map<std::string, std::uint64_t> claimed = ClaimedMb();
  for (const auto& [model, resource] : m_state.view.All(ResourceKind::kModel))
    PlanModel(now, model, claimed);
  for (const auto& [model, record] : m_state.view.permits()) {
    const bool deleted =
        m_state.view.Find(ResourceKind::kModel, model) == nullptr;
    if (deleted && !record.permits.empty())
      PlanModel(now, model, claimed);
  }
}

void PlannerDuty::PlanModel(
    TimePoint now,
    const std::string& model,
    const std::map<std::string, std::uint64_t>& claimed) {
  const auto wait = m_wait_until.find(model);
  if (wait != m_wait_until.end() && now < wait->second)
    return;
  if (!IsMine(model))
    return;
  PlannerInput input{.model = model, .claimed_mb = claimed};
  const auto* spec =
      m_state.view.FindSpec<ModelSpec>(ResourceKind::kModel, model);
  if (const std::optional<ServedModel> served = m_state.view.Resolve(model);
      served && spec) {
    input.replicas = spec->replicas;
    input.memory_mb = served->memory_mb;
  }
  if (const PermitRecord* record = m_state.view.PermitsOf(model))
    input.record = *record;
  input.record.model = model;
  input.released = ReleasedBy(input.record);
  const std::optional<PermitRecord> next =
      PlanPermits(now, input, m_state.roster);
  if (!next)
    return;
  const std::uint64_t call = kFirstCall + m_state.NextCall();
  m_writes[call] = {.model = model, .base = next->revision};
  m_wait_until[model] = now + kWriteTimeout;
  m_state.Log(LogEvent::kPermitsPlanned,
              {{"model", model},
               {"replicas", std::to_string(input.replicas)},
               {"active", JoinVms(*next, PermitState::kActive)},
               {"revoked", JoinVms(*next, PermitState::kRevoked)},
               {"base", std::to_string(next->revision)}});
  m_state.Emit(
      WriteRecord{.call = call, .base = next->revision, .record = *next});
}

bool PlannerDuty::Written(TimePoint now, const RecordWritten& written) {
  const auto found = m_writes.find(written.call);
  if (found == m_writes.end())
    return false;
  const std::string model = found->second.model;
  m_writes.erase(found);
  // why: planned again only from a record that the feed has brought; until then
  // a second plan would only meet the first one
  m_wait_until[model] = now + kAfterConflict;
  if (written.outcome == WriteOutcome::kConflict)
    m_state.Log(LogEvent::kPermitsConflict, {{"model", model}});
  return true;
}

}  // namespace boragepick
