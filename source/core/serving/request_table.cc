#include "core/serving/request_table.h"

#include <algorithm>

namespace boragepick {

namespace {

// The urgency sent to engines ranges from 0, the most urgent, to 9.
constexpr int kUrgencyPerPriority = 2;
constexpr int kMaxUrgency = 9;
// Callers give up a stream that has not begun after this many times its latency
// objective, but not before kMinCallerTimeout. A held request is refused
// shortly before that.
constexpr int kCallerTimeoutInObjectives = 4;
constexpr Duration kMinCallerTimeout = std::chrono::milliseconds(2'000);
// Margin between a refusal and the caller's own timeout.
constexpr Duration kRefusalMargin = std::chrono::milliseconds(40);
// The retry reserve is divided by at least this number, since the other routers
// may not be known yet.
constexpr std::size_t kMinAssumedRouters = 5;
// The parts of the fleet's retry limits that are used. The rest is a margin for
// periods in which the number of routers changes.
constexpr double kRetryShareFraction = 0.6;
constexpr double kRetryReserveFraction = 0.7;
// Values of the Retry-After header of refusals.
constexpr Duration kRetryAfterQuota = std::chrono::milliseconds(800);
constexpr Duration kRetryAfterUnavailable = std::chrono::milliseconds(500);
constexpr Duration kRetryAfterWorkersFull = std::chrono::milliseconds(200);

// This router's part of the fleet's retry limits: the share counts its own
// first attempts, the reserve is divided by the number of routers.
RetryBudgetOptions MakeRetryBudget(const ServingOptions& options,
                                   std::size_t routers) {
  const double reserve_share =
      options.retry_reserve /
      static_cast<double>(std::max(routers, kMinAssumedRouters));
  // A restarted router doesn't know how much it used before, so it begins with
  // half of its reserve.
  return {.retry_ratio = options.retry_share * kRetryShareFraction,
          .max_balance = reserve_share * kRetryReserveFraction,
          .initial_balance = reserve_share * kRetryReserveFraction / 2};
}

Duration RetryAfter(ServingRefusal refusal) {
  if (refusal == ServingRefusal::kOverQuota)
    return kRetryAfterQuota;
  if (refusal == ServingRefusal::kWorkersFull)
    return kRetryAfterWorkersFull;
  return ServingRefusalInfo(refusal).status == 503 ? kRetryAfterUnavailable
                                                   : Duration::zero();
}

}  // namespace

RequestTable::RequestTable(ServingState& state)
    : m_state(state), m_flow(state.options.response_flow) {}

RetryBudget& RequestTable::RetryBudgetFor(const std::string& service) {
  return m_retry_budgets
      .try_emplace(service, MakeRetryBudget(m_state.options,
                                            m_state.fleet.RouterCount()))
      .first->second;
}

void RequestTable::OnRouterCountChanged() {
  for (auto& [service, budget] : m_retry_budgets)
    budget.Configure(
        MakeRetryBudget(m_state.options, m_state.fleet.RouterCount()));
}

Exchange* RequestTable::Find(RequestId id) {
  const auto found = m_exchanges.find(id);
  return found == m_exchanges.end() ? nullptr : &found->second;
}

Exchange* RequestTable::FindAttempt(TimePoint now, AttemptNumber attempt) {
  if (Exchange* exchange = FindSilentAttempt(attempt))
    ContinueSilentAttempt(now, *exchange);
  const auto found = m_attempts.find(attempt);
  return found == m_attempts.end() ? nullptr : Find(found->second);
}

Exchange* RequestTable::FindSilentAttempt(AttemptNumber attempt) {
  const auto found = m_attempts.find(attempt);
  Exchange* exchange =
      found == m_attempts.end() ? nullptr : Find(found->second);
  const bool is_silent = exchange != nullptr && exchange->silent_attempt &&
                         exchange->silent_attempt->number == attempt;
  return is_silent ? exchange : nullptr;
}

void RequestTable::OnRequest(TimePoint now,
                             std::shared_ptr<const ServingRequest> request) {
  ++m_metrics.requests;
  const RequestId id = request->id;
  Exchange& exchange = m_exchanges[id];
  exchange.request = std::move(request);
  exchange.arrived = now;
  exchange.last_delivered_event = exchange.request->resume_after;
  if (const auto refusal = ResolveRoute(now, exchange))
    return Refuse(now, exchange, *refusal);
  exchange.deadline =
      now + std::min(exchange.route->timeout,
                     exchange.request->timeout.value_or(Duration::max() / 4));
  RetryBudget& budget = RetryBudgetFor(exchange.service);
  budget.RecordRequest();
  if (budget.Allows(1))
    m_waiting.OnRetriesEarned(exchange.service);
  if (!exchange.request->model.empty())
    m_load_planner.RecordRequest(now, exchange.request->model,
                                 exchange.request->adapter);
  if (now >= m_notice_end && exchange.deadline > m_end_at)
    return Refuse(now, exchange, ServingRefusal::kStopping);
  ScheduleCheck(exchange, exchange.deadline);
  AdmitOrQueue(now, exchange);
}

std::optional<ServingRefusal> RequestTable::ResolveRoute(TimePoint now,
                                                         Exchange& exchange) {
  if (!m_state.config)
    return ServingRefusal::kNoConfiguration;
  const ServingRequest& request = *exchange.request;
  const ConfigIndex& config = *m_state.config;
  const ServingRoute* route = config.FindRoute(request.host, request.target);
  if (route == nullptr)
    return ServingRefusal::kRouteUnknown;
  const ServingTeam* team = config.FindTeam(request.key_sha256);
  if (!route->is_public) {
    if (!m_state.AreKeysCurrent(now))
      return ServingRefusal::kKeysStale;
    if (request.key_sha256.empty())
      return ServingRefusal::kKeyMissing;
    if (team == nullptr)
      return ServingRefusal::kKeyUnknown;
  }
  exchange.config = m_state.config;
  exchange.route = route;
  exchange.team = team == nullptr ? "" : team->name;
  exchange.fingerprint.reset();
  const int priority =
      (team == nullptr ? 0 : team->priority * kUrgencyPerPriority) +
      route->priority;
  exchange.urgency = std::min(priority, kMaxUrgency);
  exchange.allowed_regions = AllowedRegions(*route, team);
  exchange.weights = WeightsName(request.model, request.adapter);
  exchange.cost = 1;
  if (team != nullptr && team->unit == QuotaUnit::kTokens) {
    exchange.cost = request.prompt_tokens ? *request.prompt_tokens +
                                                request.max_tokens.value_or(0)
                                          : team->default_cost;
  }
  SelectService(exchange);
  return std::nullopt;
}

void RequestTable::SelectService(Exchange& exchange) {
  std::uint64_t total = 0;
  for (const TrafficSplit& split : exchange.route->splits)
    total += split.weight;
  if (total == 0)
    return;
  std::uint64_t drawn = m_state.random.Below(total);
  for (const TrafficSplit& split : exchange.route->splits) {
    if (drawn < split.weight) {
      exchange.service = split.service;
      return;
    }
    drawn -= split.weight;
  }
}

void RequestTable::OnCallerDisconnected(TimePoint now,
                                        RequestId id,
                                        DisconnectReason reason) {
  Exchange* exchange = Find(id);
  if (exchange == nullptr)
    return;
  ++m_metrics.cancelled;
  m_state.Log(
      LogEvent::kRequestCancelled,
      {{"request", exchange->request->trace_id},
       {"why", std::string(kDisconnectReasonNames.Name(reason))},
       {"stage", std::string(kExchangeStageNames.Name(exchange->stage))},
       {"after_ms", FormatMilliseconds(now - exchange->arrived)}});
  CancelCurrentAttempt(*exchange);
  Remove(*exchange);
}

void RequestTable::OnWorkerChanged(const Worker& worker) {
  m_waiting.OnWorkerChanged(worker);
}

void RequestTable::DispatchWoken(TimePoint now) {
  m_waiting.TryWoken(now, m_state.workers, [this, now](RequestId id) {
    if (Exchange* exchange = Find(id))
      Dispatch(now, *exchange);
  });
}

void RequestTable::OnConfigChanged(TimePoint now) {
  m_state.fleet.Configure(now, m_state.config->config().teams);
  m_state.cold_workers.Configure(m_state.config->config().services);
  m_waiting.OnConfigChanged();
}

TimePoint RequestTable::NextCheck() const {
  const TimePoint next = m_checks.empty() ? kNever : m_checks.begin()->first;
  return std::min(next, m_waiting.NextCheck());
}

void RequestTable::Tick(TimePoint now) {
  ShareConvictions(now);
  m_trials.Tick(now, m_state.fleet.LiveRouters());
  SendTrialRequests();
  while (!m_checks.empty() && m_checks.begin()->first <= now) {
    const RequestId id = m_checks.begin()->second;
    m_checks.erase(m_checks.begin());
    Exchange* exchange = Find(id);
    if (exchange == nullptr)
      continue;
    exchange->next_check = kNever;
    if (exchange->stage == ExchangeStage::kWaitingTokens)
      CheckQueued(now, *exchange);
    else if (now >= exchange->deadline)
      TimeOut(now, *exchange);
    else if (exchange->stage == ExchangeStage::kHeld)
      Dispatch(now, *exchange);
    else
      CheckRunning(now, *exchange);
  }
}

void RequestTable::CheckRunning(TimePoint now, Exchange& exchange) {
  if (now >= exchange.replaced_at)
    CancelSilentAttempt(exchange);
  if (!CancelConvicted(now, exchange))
    CheckProgress(now, exchange);
}

void RequestTable::ScheduleCheck(Exchange& exchange, TimePoint when) {
  const TimePoint check_at = std::min(when, exchange.deadline);
  if (exchange.next_check <= check_at)
    return;
  m_checks.erase({exchange.next_check, exchange.request->id});
  exchange.next_check = check_at;
  m_checks.emplace(check_at, exchange.request->id);
}

Duration RequestTable::HoldLimit(const Exchange& exchange) const {
  const Duration caller_limit =
      std::max(kMinCallerTimeout,
               exchange.route->target_latency * kCallerTimeoutInObjectives);
  return caller_limit * 9 / 10;
}

void RequestTable::TimeOut(TimePoint now, Exchange& exchange) {
  m_state.Log(LogEvent::kRequestTimedOut,
              {{"request", exchange.request->trace_id},
               {"stage", std::string(kExchangeStageNames.Name(exchange.stage))},
               {"runs", std::to_string(exchange.possible_runs)}});
  if (exchange.head_sent)
    return Abort(now, exchange, "timed out");
  // The current attempt may have run.
  if (exchange.attempt)
    ++exchange.possible_runs;
  CancelCurrentAttempt(exchange);
  Refuse(now, exchange,
         exchange.possible_runs == 0 ? ServingRefusal::kTimedOutBeforeRun
                                     : ServingRefusal::kTimedOut);
}

void RequestTable::Drain(TimePoint notice_end, TimePoint end) {
  m_notice_end = notice_end;
  m_end_at = end;
}

void RequestTable::EndAll(TimePoint now) {
  std::vector<RequestId> open;
  for (const auto& [id, exchange] : m_exchanges)
    open.push_back(id);
  for (const RequestId id : open) {
    Exchange& exchange = *Find(id);
    if (exchange.head_sent) {
      Abort(now, exchange, "stopping");
      continue;
    }
    // The current attempt may have run.
    if (exchange.attempt)
      ++exchange.possible_runs;
    CancelCurrentAttempt(exchange);
    Refuse(now, exchange,
           exchange.possible_runs > 0 ? ServingRefusal::kWorkerFailed
                                      : ServingRefusal::kStopping);
  }
}

void RequestTable::Refuse(TimePoint now,
                          Exchange& exchange,
                          ServingRefusal refusal,
                          std::optional<Duration> retry_after) {
  ++m_metrics.refused[refusal];
  const ServingRefusalRow& row = ServingRefusalInfo(refusal);
  // Only requests that may have run count against the quota.
  if (exchange.possible_runs == 0 && exchange.quota_charged)
    m_state.fleet.Refund(exchange.team, exchange.cost);
  std::vector<LogField> fields = {
      {"request", exchange.request->trace_id},
      {"code", std::string(row.name)},
      {"status", std::to_string(row.status)},
      {"team", exchange.team},
      {"weights", exchange.weights},
      {"tokens", std::to_string(exchange.cost)},
      {"runs", std::to_string(exchange.possible_runs)},
      {"config",
       std::to_string(exchange.config ? exchange.config->config().version : 0)},
      {"part",
       exchange.convicted_part ? PromptPartName(*exchange.convicted_part) : ""},
      {"after_ms", FormatMilliseconds(now - exchange.arrived)}};
  if (const auto& quota = exchange.quota_refusal) {
    fields.push_back({"backlog_tokens", std::to_string(quota->backlog)});
    fields.push_back({"tokens_per_second", std::to_string(quota->rate)});
    fields.push_back({"wait_ms", FormatMilliseconds(quota->expected_wait)});
    fields.push_back({"retry_ms", FormatMilliseconds(quota->retry_after)});
  }
  m_state.Log(LogEvent::kRequestRefused, std::move(fields));
  m_state.Emit(
      RefuseRequest{.id = exchange.request->id,
                    .status = row.status,
                    .code = std::string(row.name),
                    .trace_id = exchange.request->trace_id,
                    .retry_after = retry_after.value_or(RetryAfter(refusal))});
  Remove(exchange);
}

void RequestTable::Abort(TimePoint now,
                         Exchange& exchange,
                         const std::string& reason) {
  ++m_metrics.aborted;
  m_state.Log(LogEvent::kRequestBroken,
              {{"request", exchange.request->trace_id},
               {"why", reason},
               {"last_event",
                std::to_string(exchange.last_delivered_event.value_or(0))},
               {"after_ms", FormatMilliseconds(now - exchange.arrived)}});
  CancelCurrentAttempt(exchange);
  m_state.Emit(AbortResponse{.id = exchange.request->id});
  Remove(exchange);
}

void RequestTable::Remove(Exchange& exchange) {
  const RequestId id = exchange.request->id;
  LeaveQuotaQueue(exchange);
  CancelSilentAttempt(exchange);
  CloseAttempt(exchange);
  ReleaseTrial(exchange);
  m_waiting.Remove(id);
  m_state.cold_workers.Forget(id);
  m_checks.erase({exchange.next_check, id});
  m_exchanges.erase(id);
}

}  // namespace boragepick
