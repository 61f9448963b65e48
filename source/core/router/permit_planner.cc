#include "core/router/permit_planner.h"

#include <set>

#include "common/hashing.h"

namespace boragepick {

namespace {

// The planner's calls have a number range of their own.
constexpr std::uint64_t kFirstCall = 1ULL << 40;
constexpr Duration kWriteTimeout = std::chrono::seconds(3);
constexpr Duration kReplanDelay = std::chrono::milliseconds(500);

std::string JoinVms(const PermitRecord& record, PermitState state) {
  std::string joined;
  for (const Permit& permit : record.permits) {
    if (permit.state == state)
      joined += (joined.empty() ? "" : ",") + permit.vm;
  }
  return joined;
}

}  // namespace

bool PermitPlanner::IsResponsibleFor(const std::string& model) const {
  const std::vector<std::string> order =
      RendezvousOrder("planner/" + model, m_state.roster.LiveRouters());
  return !order.empty() && order.front() == m_state.options.vm;
}

std::map<std::string, std::uint64_t> PermitPlanner::PermittedMbByVm() const {
  std::map<std::string, std::uint64_t> permitted_mb;
  for (const auto& [model, record] : m_state.view.permits()) {
    const std::optional<ServedModel> served = m_state.view.Resolve(model);
    for (const Permit& permit : record.permits)
      permitted_mb[permit.vm] += served ? served->memory_mb : 0;
  }
  return permitted_mb;
}

std::set<std::string> PermitPlanner::VmsThatUnloaded(
    const PermitRecord& record) const {
  std::set<std::string> released;
  for (const Permit& permit : record.permits) {
    const auto report = m_reports.find(permit.vm);
    if (permit.state != PermitState::kRevoked || report == m_reports.end())
      continue;
    // An agent that had not seen the revocation when it sent the report may
    // still load the model.
    const bool has_seen_revocation =
        report->second.feed_revision >= record.revision;
    if (has_seen_revocation && !report->second.units.contains(record.model))
      released.insert(permit.vm);
  }
  return released;
}

void PermitPlanner::ApplyReport(const std::string& vm,
                                const AgentReport& report) {
  LastReport& last = m_reports[vm];
  if (report.feed_revision < last.feed_revision)
    return;
  last.feed_revision = report.feed_revision;
  last.units.clear();
  for (const ResidentUnit& unit : report.units)
    last.units.insert(unit.name);
}

void PermitPlanner::Tick(TimePoint now) {
  if (now < m_next_pass || m_state.draining || m_state.roster.version() == 0)
    return;
  m_next_pass = now + kPeriod;
  const std::map<std::string, std::uint64_t> permitted_mb = PermittedMbByVm();
  for (const auto& [model, resource] : m_state.view.All(ResourceKind::kModel))
    PlanModel(now, model, permitted_mb);
  for (const auto& [model, record] : m_state.view.permits()) {
    const bool deleted =
        m_state.view.Find(ResourceKind::kModel, model) == nullptr;
    if (deleted && !record.permits.empty())
      PlanModel(now, model, permitted_mb);
  }
}

void PermitPlanner::PlanModel(
    TimePoint now,
    const std::string& model,
    const std::map<std::string, std::uint64_t>& permitted_mb) {
  const auto not_before = m_not_before.find(model);
  if (not_before != m_not_before.end() && now < not_before->second)
    return;
  if (!IsResponsibleFor(model))
    return;
  PlannerInput input{.model = model, .claimed_mb = permitted_mb};
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
  input.released = VmsThatUnloaded(input.record);
  const std::optional<PermitRecord> next =
      PlanPermits(now, input, m_state.roster);
  if (!next)
    return;
  const std::uint64_t call = kFirstCall + m_state.NextCall();
  m_writes[call] = {.model = model, .base = next->revision};
  m_not_before[model] = now + kWriteTimeout;
  m_state.Log(LogEvent::kPermitsPlanned,
              {{"model", model},
               {"replicas", std::to_string(input.replicas)},
               {"active", JoinVms(*next, PermitState::kActive)},
               {"revoked", JoinVms(*next, PermitState::kRevoked)},
               {"base", std::to_string(next->revision)}});
  m_state.Emit(
      WriteRecord{.call = call, .base = next->revision, .record = *next});
}

bool PermitPlanner::HandleWritten(TimePoint now, const RecordWritten& written) {
  const auto found = m_writes.find(written.call);
  if (found == m_writes.end())
    return false;
  const std::string model = found->second.model;
  m_writes.erase(found);
  // The next plan must start from a record that the feed has delivered; an
  // earlier one would conflict with this write.
  m_not_before[model] = now + kReplanDelay;
  if (written.outcome == WriteOutcome::kConflict)
    m_state.Log(LogEvent::kPermitsConflict, {{"model", model}});
  return true;
}

}  // namespace boragepick
