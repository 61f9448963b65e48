#include "core/serving/serving_fleet.h"

#include <algorithm>

#include "common/hashing.h"
#include "core/scheduling/slot_semaphore.h"
#include "core/store/leased_record.h"

namespace boragepick {

namespace {

// Interval between plans for the share pages.
constexpr Duration kPlanInterval = std::chrono::milliseconds(100);
// Part of the quota slack that the initial tokens of all routers use together.
// At least kMinAssumedRouters routers are assumed.
constexpr double kSlackForInitialTokens = 0.2;
// Part of the quota slack that is added to the burst: divided between many
// routers, the burst alone would be smaller than one large request.
constexpr double kSlackForBurst = 0.6;
constexpr std::size_t kMinAssumedRouters = 8;
// Part of a share's burst that its new holder may use before the loans of the
// previous holder have expired. Most of those loans were spent or lost with
// their borrower, and the quota slack covers the rest.
constexpr double kEarlyShareFraction = 0.25;
constexpr std::size_t kMaxSlotCoordinators = 3;

TeamSpec SpecOf(const ServingTeam& team, std::int64_t quota_slack) {
  const double slack = team.unit == QuotaUnit::kTokens
                           ? static_cast<double>(quota_slack) * kSlackForBurst
                           : 0;
  return {.rate_tokens_per_second =
              static_cast<std::uint32_t>(team.rate_per_second),
          .burst_tokens = static_cast<std::uint32_t>(
              static_cast<double>(team.burst) + slack)};
}

}  // namespace

void ServingFleet::Handle(TimePoint now, const IncarnationReceived& event) {
  if (m_quota)
    return;
  m_quota.emplace(
      ProcessId{.vm = m_options.vm, .incarnation = event.incarnation},
      kEarlyShareFraction);
  m_quota->OnStoreEraObserved(now, m_store_era);
  Emit(PublishRouterRecord{.record = {.vm = m_options.vm,
                                      .data_centre = m_options.data_centre,
                                      .endpoint = m_options.endpoint,
                                      .incarnation = event.incarnation}});
  SetTeams(now);
  for (const auto& [number, page] : std::exchange(m_early_pages, {}))
    m_quota->ApplyPage(now, page);
}

bool ServingFleet::Handle(TimePoint now, const RouterRecordReceived& event) {
  RouterRecord& record = m_records[event.record.vm];
  m_lost_records.erase(event.record.vm);
  // An older copy of the store may have the record of an earlier run.
  const bool outdated = event.record.incarnation < record.incarnation;
  if (record == event.record || outdated)
    return false;
  record = event.record;
  m_roster.RecordRun(record.vm, record.incarnation);
  ApplyRoster(now, event.revision);
  return true;
}

void ServingFleet::Handle(TimePoint now, const RouterRecordRemoved& event) {
  m_lost_records.erase(event.vm);
  if (m_records.erase(event.vm) > 0)
    ApplyRoster(now, event.revision);
}

void ServingFleet::Handle(TimePoint now, const RouterRecordsSynced& event) {
  m_synced = true;
  const bool may_be_rewritten = now < m_rewrite_deadline;
  const std::size_t removed = std::erase_if(m_records, [&](const auto& entry) {
    const bool missing =
        std::ranges::find(event.vms, entry.first) == event.vms.end();
    if (missing && may_be_rewritten)
      m_lost_records.insert(entry.first);
    return missing && !may_be_rewritten;
  });
  if (removed > 0)
    ApplyRoster(now, event.revision);
}

void ServingFleet::ApplyRoster(TimePoint now, Revision revision) {
  m_records_revision = std::max(m_records_revision + 1, revision);
  RosterList list{.version = static_cast<std::uint64_t>(m_records_revision)};
  for (const auto& [vm, record] : m_records) {
    list.entries.push_back({.vm = vm,
                            .data_centre = record.data_centre,
                            .role = NodeRole::kRouter,
                            .peer_endpoint = record.endpoint});
  }
  m_roster.Apply(now, list);
  if (m_quota)
    m_quota->SetSelfListedVersion(list.version);
  Emit(LogEffect{{.event = LogEvent::kRosterChanged,
                  .fields = {{"version", std::to_string(list.version)},
                             {"vms", std::to_string(list.entries.size())}}}});
}

void ServingFleet::RemoveLostRecords(TimePoint now) {
  if (m_lost_records.empty() || now < m_rewrite_deadline)
    return;
  for (const std::string& vm : std::exchange(m_lost_records, {}))
    m_records.erase(vm);
  ApplyRoster(now, m_records_revision);
}

void ServingFleet::Handle(TimePoint now, const StoreEraObserved& event) {
  m_store_era = event.era;
  if (m_quota)
    m_quota->OnStoreEraObserved(now, event.era);
}

void ServingFleet::Handle(TimePoint now, const StoreReverted& event) {
  m_store_era = event.era;
  m_rewrite_deadline = now + LeasedRecord::kLeaseTtl;
  // Shares are planned after the next complete read.
  m_synced = false;
  m_early_pages.clear();
  if (m_quota)
    m_quota->OnStoreReverted(now, event.era);
}

void ServingFleet::Handle(TimePoint now, const SharePageReceived& event) {
  if (m_quota)
    return m_quota->ApplyPage(now, event.page);
  // Share pages can arrive before the incarnation.
  m_early_pages[event.page.page] = event.page;
}

void ServingFleet::Handle(TimePoint now, const SharePageWritten& event) {
  if (!m_quota)
    return;
  m_quota->HandlePageWritten(now, event.outcome, event.revision);
  if (event.outcome == WriteOutcome::kWritten)
    m_next_plan = now;
}

void ServingFleet::Handle(TimePoint now,
                          const std::string& from,
                          const QuotaLoanRequest& request) {
  const auto record = m_records.find(from);
  if (!m_quota || record == m_records.end())
    return;
  const ProcessId borrower{.vm = from,
                           .incarnation = record->second.incarnation};
  Send(m_quota->HandleLoanRequest(now, borrower, request));
}

void ServingFleet::Handle(TimePoint now,
                          const std::string& from,
                          const QuotaLoan& loan) {
  if (m_quota)
    m_quota->HandleLoan(now, from, loan);
}

void ServingFleet::Configure(TimePoint now,
                             const std::map<std::string, ServingTeam>& teams) {
  std::erase_if(m_teams, [&](const auto& entry) {
    const bool gone = !teams.contains(entry.first);
    if (gone && m_quota)
      m_quota->RemoveTeam(entry.first);
    return gone;
  });
  for (const auto& [name, spec] : teams) {
    const auto [entry, is_new] = m_teams.try_emplace(name);
    entry->second.spec = spec;
    if (is_new)
      entry->second.initial_tokens = InitialTokens();
  }
  SetTeams(now);
}

std::int64_t ServingFleet::InitialTokens() const {
  return static_cast<std::int64_t>(
      static_cast<double>(m_options.quota_slack) * kSlackForInitialTokens /
      static_cast<double>(std::max(RouterCount(), kMinAssumedRouters)));
}

void ServingFleet::SetTeams(TimePoint now) {
  if (!m_quota)
    return;
  for (const auto& [name, team] : m_teams) {
    if (IsLimited(name))
      m_quota->SetTeam(now, name, SpecOf(team.spec, m_options.quota_slack),
                       QuotaManager::TeamOrigin::kFound);
  }
}

bool ServingFleet::IsLimited(const std::string& team) const {
  const auto found = m_teams.find(team);
  return found != m_teams.end() && found->second.spec.rate_per_second > 0;
}

Tokens ServingFleet::RateOf(const std::string& team) const {
  const auto found = m_teams.find(team);
  return found == m_teams.end() ? 0 : found->second.spec.rate_per_second;
}

Tokens ServingFleet::Available(TimePoint now, const std::string& team) {
  return m_quota ? m_quota->AvailableOf(now, team) : 0;
}

bool ServingFleet::Admit(TimePoint now,
                         const std::string& team,
                         std::int64_t cost) {
  if (!IsLimited(team))
    return true;
  if (m_quota && m_quota->Admit(now, team, cost))
    return true;
  std::int64_t& initial_tokens = m_teams.at(team).initial_tokens;
  if (initial_tokens < cost)
    return false;
  initial_tokens -= cost;
  return true;
}

void ServingFleet::Refund(const std::string& team, std::int64_t cost) {
  if (m_quota && IsLimited(team))
    m_quota->Refund(team, cost);
}

void ServingFleet::SetWaiting(const std::string& team,
                              const WaitingDemand& waiting) {
  if (m_quota)
    m_quota->SetWaiting(team, waiting);
}

void ServingFleet::RequestForQueue(TimePoint now, const std::string& team) {
  if (m_quota)
    Send(m_quota->RequestForQueue(now, team));
}

void ServingFleet::Send(std::vector<OutgoingQuotaMessage> messages) {
  for (OutgoingQuotaMessage& outgoing : messages) {
    std::visit(
        [&](auto& message) { SendToVm(outgoing.vm, std::move(message)); },
        outgoing.message);
  }
}

void ServingFleet::Tick(TimePoint now) {
  RemoveLostRecords(now);
  if (!m_quota)
    return;
  if (now >= m_next_poll) {
    m_next_poll = now + kPollInterval;
    Send(m_quota->Poll(now));
  }
  // Until all share pages have been read, a stored page that has not been read
  // yet would be taken for a new one.
  if (now < m_next_plan || !m_synced)
    return;
  m_next_plan = now + kPlanInterval;
  std::optional<SharePage> page = m_quota->PlanPage(now, m_roster, m_draining);
  if (!page)
    return;
  Emit(LogEffect{{.event = LogEvent::kSharePlanned,
                  .fields = {{"page", std::to_string(page->page)},
                             {"holders", std::to_string(page->holders.size())},
                             {"base", std::to_string(page->revision)}}}});
  Emit(WriteSharePage{.page = *std::move(page)});
}

std::vector<std::string> ServingFleet::SlotCoordinators() const {
  std::vector<std::string> coordinators;
  for (const std::string& vm :
       RendezvousOrder(kStoreLoadPool, m_roster.LiveRouters())) {
    const auto record = m_records.find(vm);
    if (record != m_records.end())
      coordinators.push_back(record->second.endpoint);
    if (coordinators.size() == kMaxSlotCoordinators)
      break;
  }
  // While the other routers are unknown, this router grants the load slots.
  if (coordinators.empty())
    coordinators.push_back(m_options.endpoint);
  return coordinators;
}

void ServingFleet::Broadcast(const PeerMessage& message) {
  for (const auto& [vm, record] : m_records) {
    if (vm != m_options.vm)
      SendToVm(vm, message);
  }
}

void ServingFleet::SendToVm(const std::string& vm, PeerMessage message) {
  const auto record = m_records.find(vm);
  if (record != m_records.end())
    Emit(SendToEndpoint{.endpoint = record->second.endpoint,
                        .message = std::move(message)});
}

}  // namespace boragepick
