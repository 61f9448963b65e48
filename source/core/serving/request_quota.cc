// Admission of requests by their teams' quotas.
#include <algorithm>

#include "core/serving/request_table.h"

namespace boragepick {

namespace {

// A request waits for its team's quota for half of its latency objective within
// these bounds.
constexpr Duration kMaxQuotaWait = std::chrono::milliseconds(1'500);
constexpr Duration kMinQuotaWait = std::chrono::milliseconds(100);
// Bounds the work of ordering the queue.
constexpr std::size_t kMaxQueuedPerTeam = 400;

struct TeamTokens {
  ServingFleet& fleet;
  const std::string& team;

  bool Admit(TimePoint now, Tokens cost) {
    return fleet.Admit(now, team, cost);
  }
  Tokens Available(TimePoint now) { return fleet.Available(now, team); }
};

}  // namespace

void RequestTable::AdmitOrQueue(TimePoint now, Exchange& exchange) {
  const std::string team = exchange.team;
  const auto urgency = static_cast<std::uint32_t>(exchange.urgency);
  QuotaQueue& queue = m_quota_queues[team];
  queue.RecordArrival(now, exchange.cost);
  if (!queue.GoesBefore(now, urgency) &&
      m_state.fleet.Admit(now, team, exchange.cost)) {
    queue.RecordAdmitted(now, exchange.cost);
    return OnAdmitted(now, exchange);
  }
  const Duration patience = std::clamp(exchange.route->target_latency / 2,
                                       kMinQuotaWait, kMaxQuotaWait);
  const TimePoint admit_by = std::min(now + patience, exchange.deadline);
  ++m_metrics.quota_by_team[team].queued;
  queue.Add(now, {.id = exchange.request->id,
                  .cost = exchange.cost,
                  .urgency = urgency,
                  .arrived = exchange.arrived,
                  .admit_by = admit_by,
                  .deadline = exchange.deadline});
  ScheduleCheck(exchange, admit_by);
  const RequestId id = exchange.request->id;
  RefuseLate(now, team);
  Exchange* queued = Find(id);
  if (queued == nullptr)
    return;
  if (queue.size() > kMaxQueuedPerTeam)
    return Refuse(now, *queued, ServingRefusal::kOverQuota);
  m_state.fleet.RequestForQueue(now, team);
}

void RequestTable::AdmitQueued(TimePoint now) {
  for (auto& [team, queue] : m_quota_queues) {
    if (!queue.empty())
      AdmitQueuedOfTeam(now, team);
  }
}

void RequestTable::AdmitQueuedOfTeam(TimePoint now, const std::string& team) {
  QuotaQueue& queue = m_quota_queues[team];
  TeamTokens tokens{.fleet = m_state.fleet, .team = team};
  const std::vector<QueuedRequest> admitted = queue.Admit(now, tokens);
  m_state.fleet.SetWaiting(team, queue.Waiting(now));
  if (!admitted.empty())
    m_state.fleet.RequestForQueue(now, team);
  for (const QueuedRequest& request : admitted) {
    if (Exchange* exchange = Find(request.id))
      OnAdmitted(now, *exchange);
    else
      m_state.fleet.Refund(team, request.cost);
  }
}

void RequestTable::RefuseLate(TimePoint now, const std::string& team) {
  QuotaQueue& queue = m_quota_queues[team];
  const Tokens rate = m_state.fleet.RateOf(team);
  const auto routers = static_cast<Tokens>(
      std::max<std::size_t>(1, m_state.fleet.RouterCount()));
  for (const QuotaRefusal& refusal : queue.RefuseLate(
           now, {.least = rate / routers, .most = rate}, m_state.random)) {
    Exchange* exchange = Find(refusal.id);
    if (exchange == nullptr)
      continue;
    exchange->quota_refusal = refusal;
    ++m_metrics.quota_by_team[team].refused;
    Refuse(now, *exchange, ServingRefusal::kOverQuota, refusal.retry_after);
  }
  m_state.fleet.SetWaiting(team, queue.Waiting(now));
}

void RequestTable::CheckQueued(TimePoint now, const Exchange& exchange) {
  const RequestId id = exchange.request->id;
  RefuseLate(now, std::string(exchange.team));
  if (Exchange* queued = Find(id))
    ScheduleCheck(*queued, now + ServingFleet::kPollInterval);
}

void RequestTable::LeaveQuotaQueue(const Exchange& exchange) {
  const auto queue = m_quota_queues.find(exchange.team);
  if (exchange.stage != ExchangeStage::kWaitingTokens ||
      queue == m_quota_queues.end())
    return;
  queue->second.Remove(exchange.request->id);
  if (queue->second.empty())
    m_state.fleet.SetWaiting(exchange.team, {});
}

std::size_t RequestTable::WaitingForQuota(const std::string& team) const {
  const auto queue = m_quota_queues.find(team);
  return queue == m_quota_queues.end() ? 0 : queue->second.size();
}

void RequestTable::OnAdmitted(TimePoint now, Exchange& exchange) {
  TeamQuotaMetrics& metrics = m_metrics.quota_by_team[exchange.team];
  metrics.admitted_tokens += static_cast<std::uint64_t>(exchange.cost);
  m_metrics.quota_wait.Add(now - exchange.arrived);
  exchange.quota_charged = true;
  exchange.stage = ExchangeStage::kHeld;
  if (!HasRoomAfterEvacuation(exchange))
    return Refuse(now, exchange, ServingRefusal::kEvacuated);
  Dispatch(now, exchange);
}

}  // namespace boragepick
