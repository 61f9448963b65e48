// RequestTable's attempts: choice of a worker, sending, failures and retries.
#include <algorithm>

#include "core/serving/request_table.h"

namespace boragepick {

namespace {

// A router may use this many times its equal share of a worker's connections,
// because callers are distributed unevenly over the routers.
constexpr double kConnectionShareFactor = 1.5;
// Attempts of one request, including rejected ones. A stream that is held after
// its worker fell silent may exceed this.
constexpr std::uint32_t kMaxAttempts = 5;
// How long a broken stream is held for a worker that can resume it. Callers
// give up a stream after a gap of two seconds or more.
constexpr Duration kMaxResumeHold = std::chrono::milliseconds(1'800);
// No attempt is sent with less time than this until the deadline.
constexpr Duration kMinAttemptTime = std::chrono::milliseconds(10);
// Backoff of a worker after another worker responded at its address, so that
// the worker list can catch up.
constexpr Duration kReplacedWorkerBackoff = std::chrono::seconds(3);

}  // namespace

WorkerChoiceInput RequestTable::MakeChoiceInput(
    const Exchange& exchange) const {
  return {.request = *exchange.request,
          .weights = exchange.weights,
          .data_centre = m_state.options.data_centre};
}

void RequestTable::Dispatch(TimePoint now, Exchange& exchange) {
  // A response that has begun is completed under its own configuration.
  if (exchange.config != m_state.config && !exchange.head_sent) {
    if (const auto refusal = ResolveRoute(now, exchange))
      return Refuse(now, exchange, *refusal);
    if (exchange.possible_runs > 0 && !exchange.route->IsRepeatable())
      return Refuse(now, exchange, ServingRefusal::kWorkerFailed);
    exchange.deadline =
        std::min(exchange.deadline, exchange.arrived + exchange.route->timeout);
  }
  if (!exchange.route->is_public && !m_state.AreKeysCurrent(now) &&
      !exchange.head_sent)
    return Refuse(now, exchange, ServingRefusal::kKeysStale);
  if (RefuseConvicted(now, exchange))
    return;
  if (exchange.awaits_retry_budget) {
    exchange.awaits_retry_budget =
        !RetryBudgetFor(exchange.service).TryConsume();
    if (exchange.awaits_retry_budget)
      return Hold(now, exchange, WaitReason::kRetryBudget);
  }
  const ServingService* service =
      exchange.config->FindService(exchange.service);
  std::vector<Worker*> workers = UsableWorkers(now, exchange);
  if (workers.empty() && AwaitColdPlace(now, exchange))
    return;
  if (service == nullptr || workers.empty())
    return HoldOrReject(now, exchange);
  if (service->engine && !exchange.weights.empty())
    return DispatchToEngine(now, exchange, *service->engine,
                            std::move(workers));
  std::vector<Worker*> untried = workers;
  std::erase_if(untried, [&exchange](const Worker* worker) {
    return exchange.tried_workers.contains(worker->entry.id);
  });
  SendTo(now, exchange,
         ChooseWorker(
             m_policy, MakeChoiceInput(exchange),
             std::span<Worker* const>(untried.empty() ? workers : untried)));
}

std::vector<Worker*> RequestTable::UsableWorkers(TimePoint now,
                                                 const Exchange& exchange) {
  std::vector<Worker*> workers =
      m_state.workers.FindByService(exchange.service);
  const std::uint32_t limit = ConnectionLimit(exchange);
  std::erase_if(workers, [this, now, limit](const Worker* worker) {
    return !worker->IsUsable(now) || worker->running >= limit ||
           !m_state.cold_workers.MaySend(now, worker->entry.id);
  });
  KeepPermitted(now, exchange, workers);
  return workers;
}

std::vector<Worker*> RequestTable::ReadyWorkers(const std::string& service) {
  std::vector<Worker*> workers = m_state.workers.FindByService(service);
  std::erase_if(workers, [this](const Worker* worker) {
    return !worker->IsReady() || IsEvacuated(*worker);
  });
  return workers;
}

std::optional<Duration> RequestTable::CommonPause(TimePoint now,
                                                  const Exchange& exchange) {
  const std::vector<Worker*> workers = ReadyWorkers(exchange);
  if (workers.empty())
    return std::nullopt;
  const Worker* first =
      *std::ranges::min_element(workers, {}, &Worker::paused_until);
  if (first->paused_until <= now)
    return std::nullopt;
  return first->paused_until - now;
}

void RequestTable::HoldOrReject(TimePoint now, Exchange& exchange) {
  const bool may_have_run = exchange.head_sent || exchange.possible_runs > 0;
  const auto refusal = RefusalOfPlaces(now, exchange);
  if (refusal && !may_have_run)
    return Refuse(now, exchange, *refusal);
  const std::optional<Duration> pause = CommonPause(now, exchange);
  const bool is_late =
      pause && now + *pause > exchange.arrived + exchange.route->target_latency;
  if (!is_late || may_have_run)
    return Hold(now, exchange, WaitReason::kWorker);
  // Callers that all return when the pause ends would fill the workers again.
  const auto spread = static_cast<Duration::rep>(
      m_state.random.Below(static_cast<std::uint64_t>(pause->count())));
  Refuse(now, exchange, ServingRefusal::kWorkersFull,
         *pause + Duration(spread));
}

std::uint32_t RequestTable::ConnectionLimit(const Exchange& exchange) const {
  const ServingService* spec = exchange.config->FindService(exchange.service);
  if (spec == nullptr)
    return 0;
  const auto routers = static_cast<double>(
      std::max<std::size_t>(1, m_state.fleet.RouterCount()));
  const double share = spec->max_connections / routers * kConnectionShareFactor;
  return std::clamp<std::uint32_t>(static_cast<std::uint32_t>(share), 1,
                                   std::max(1U, spec->max_connections));
}

std::uint32_t RequestTable::HeldRequestCount(const std::string& weights) const {
  return std::max(1U, m_waiting.CountOf(weights));
}

void RequestTable::Hold(TimePoint now, Exchange& exchange, WaitReason reason) {
  if (exchange.silent_attempt)
    return ContinueSilentAttempt(now, exchange);
  const ServingRequest& request = *exchange.request;
  if (!m_waiting.Contains(request.id)) {
    exchange.held_since = now;
    ++m_metrics.held;
    m_state.Log(LogEvent::kRequestHeld,
                {{"request", request.trace_id},
                 {"why", std::string(kWaitReasonNames.Name(reason))},
                 {"weights", exchange.weights},
                 {"service", exchange.service},
                 {"runs", std::to_string(exchange.possible_runs)}});
  }
  exchange.stage = ExchangeStage::kHeld;
  const TimePoint end = HoldEnd(exchange);
  if (now >= end)
    return EndHold(now, exchange, reason);
  m_waiting.Put(now, {.id = request.id,
                      .reason = reason,
                      .service = exchange.service,
                      .model = request.model,
                      .weights = exchange.weights,
                      .route = exchange.route->name,
                      .team = exchange.team,
                      .urgency = exchange.urgency,
                      .since = exchange.held_since,
                      .until = end,
                      .has_tried_workers = !exchange.tried_workers.empty()});
  ScheduleCheck(exchange, end);
}

TimePoint RequestTable::HoldEnd(const Exchange& exchange) const {
  if (!exchange.head_sent)
    return exchange.arrived + HoldLimit(exchange);
  // A stream whose worker fell silent is held until its deadline, since its
  // caller may wait longer than kMaxResumeHold.
  return exchange.last_run_was_silent ? exchange.deadline
                                      : exchange.held_since + kMaxResumeHold;
}

void RequestTable::EndHold(TimePoint now,
                           Exchange& exchange,
                           WaitReason reason) {
  if (exchange.head_sent)
    return Abort(now, exchange, std::string(kWaitReasonNames.Name(reason)));
  ServingRefusal refusal = ServingRefusal::kModelNotLoaded;
  if (exchange.possible_runs > 0)
    refusal = ServingRefusal::kWorkerFailed;
  else if (reason == WaitReason::kWorker)
    refusal = ServingRefusal::kNoWorker;
  else if (reason == WaitReason::kTurn || reason == WaitReason::kColdPlace)
    refusal = ServingRefusal::kWorkersFull;
  Refuse(now, exchange, refusal);
}

void RequestTable::SendTo(TimePoint now,
                          Exchange& exchange,
                          const WorkerChoice& choice) {
  // A worker must not be at work when a stopping process ends the request.
  const Duration left = std::min(exchange.deadline, m_end_at) - now;
  if (left < kMinAttemptTime)
    return TimeOut(now, exchange);
  if (!HasTurn(now, exchange))
    return Hold(now, exchange, WaitReason::kTurn);
  if (!m_state.cold_workers.TakePlace(now, choice.worker->entry.id))
    return Hold(now, exchange, WaitReason::kColdPlace);
  const ServingRequest& request = *exchange.request;
  Worker& worker = *choice.worker;
  Attempt& attempt = exchange.attempt.emplace();
  attempt.number = ++m_last_attempt;
  attempt.worker = worker.entry.id;
  attempt.worker_born = worker.entry.contents.born;
  attempt.sent_at = now;
  attempt.last_progress = now;
  const std::int64_t cached =
      worker.prefix_cache.CachedTokens(exchange.weights, request.prompt);
  attempt.prefill_tokens =
      std::max<std::int64_t>(0, request.prompt_tokens.value_or(0) - cached);
  worker.pending_prefill_tokens += attempt.prefill_tokens;
  WorkerTable::RecordRunStart(worker, exchange.weights);
  worker.prefix_cache.RecordPrompt(exchange.weights, request.prompt);
  ++exchange.attempts_sent;
  exchange.stage = ExchangeStage::kRunning;
  if (m_waiting.Contains(request.id))
    m_metrics.hold.Add(now - exchange.held_since);
  m_waiting.RecordSent(request.id);
  m_state.cold_workers.Forget(request.id);
  m_attempts.emplace(attempt.number, request.id);
  m_state.Log(LogEvent::kRequestRouted,
              {{"request", request.trace_id},
               {"route", exchange.route->name},
               {"team", exchange.team},
               {"config", std::to_string(exchange.config->config().version)},
               {"weights", exchange.weights},
               {"worker", worker.entry.id},
               {"tokens", std::to_string(exchange.cost)},
               {"cost_ms", FormatMilliseconds(choice.cost)},
               {"running", std::to_string(worker.running)},
               {"send", std::to_string(exchange.attempts_sent)},
               {"after_ms", FormatMilliseconds(now - exchange.arrived)}});
  const bool repeatable = exchange.route->IsRepeatable();
  const bool first_contact =
      exchange.contacted_workers.insert(worker.entry.id).second;
  m_state.Emit(SendAttempt{.attempt = attempt.number,
                           .request = exchange.request,
                           .worker = worker.entry.id,
                           .address = worker.entry.address,
                           .team = exchange.team,
                           .time_left = left,
                           .urgency = exchange.urgency,
                           .resume_after = exchange.last_delivered_event,
                           .repeatable = repeatable,
                           .new_connection = !first_contact});
  RecordProgress(now, exchange);
  if (!exchange.silent_attempt)
    return;
  exchange.replaced_at = now + kAcceptanceTime;
  ScheduleCheck(exchange, exchange.replaced_at);
}

void RequestTable::ReleaseWorker(const Exchange& exchange, Attempt& attempt) {
  RecordHeldBytes(attempt, 0);
  Worker* worker = m_state.workers.Find(attempt.worker);
  if (worker != nullptr) {
    worker->pending_prefill_tokens -= attempt.prefill_tokens;
    WorkerTable::RecordRunEnd(*worker, exchange.weights);
    m_waiting.OnWorkerChanged(*worker);
  }
  m_attempts.erase(attempt.number);
}

void RequestTable::CloseAttempt(Exchange& exchange) {
  if (!exchange.attempt)
    return;
  ReleaseWorker(exchange, *exchange.attempt);
  m_paused.erase(exchange.request->id);
  exchange.attempt.reset();
  ReleaseTrial(exchange);
}

void RequestTable::CancelCurrentAttempt(Exchange& exchange) {
  if (!exchange.attempt)
    return;
  m_state.Emit(CancelAttempt{.attempt = exchange.attempt->number});
  CloseAttempt(exchange);
}

void RequestTable::OnAttemptFailed(TimePoint now,
                                   AttemptNumber number,
                                   AttemptFailure failure) {
  // A silent attempt is already counted as one that may have run.
  if (Exchange* silent = FindSilentAttempt(number)) {
    if (failure == AttemptFailure::kReset)
      RecordSuspectedCrash(now, *silent, *silent->silent_attempt);
    return CancelSilentAttempt(*silent);
  }
  Exchange* exchange = FindAttempt(now, number);
  if (exchange == nullptr)
    return;
  const std::string reason(kAttemptFailureNames.Name(failure));
  if (failure == AttemptFailure::kReset)
    RecordSuspectedCrash(now, *exchange, *exchange->attempt);
  if (failure != AttemptFailure::kNotSent)
    return HandleAttemptFailure(now, *exchange, reason);
  Worker* worker = m_state.workers.Find(exchange->attempt->worker);
  if (worker != nullptr)
    RecordWorkerFailure(now, *worker);
  exchange->tried_workers.insert(exchange->attempt->worker);
  CloseAttempt(*exchange);
  const bool is_last = exchange->attempts_sent >= kMaxAttempts;
  if (is_last && exchange->silent_attempt)
    return ContinueSilentAttempt(now, *exchange);
  if (is_last && exchange->head_sent && exchange->last_run_was_silent) {
    exchange->awaits_retry_budget = true;
    return Hold(now, *exchange, WaitReason::kRetryBudget);
  }
  if (is_last)
    return exchange->head_sent ? Abort(now, *exchange, reason)
                               : Refuse(now, *exchange,
                                        exchange->possible_runs > 0
                                            ? ServingRefusal::kWorkerFailed
                                            : ServingRefusal::kNoWorker);
  Dispatch(now, *exchange);
}

void RequestTable::RecordWorkerFailure(TimePoint now, Worker& worker) {
  m_state.workers.RecordFailure(now, worker);
  m_waiting.OnWorkerAvoided(worker.entry.id, worker.backoff_until);
}

void RequestTable::RecordWorkerStatements(TimePoint now,
                                          const Exchange& exchange,
                                          const UpstreamResponseHead& head) {
  if (head.other_worker)
    return;
  const Attempt& attempt = *exchange.attempt;
  if (head.leaving &&
      m_state.workers.RecordLeaving(now, attempt.worker, attempt.worker_born))
    m_state.Log(
        LogEvent::kWorkerLeaving,
        {{"worker", attempt.worker}, {"request", exchange.request->trace_id}});
  if (!head.retry_after)
    return;
  m_state.workers.RecordPause(now, attempt.worker, attempt.worker_born,
                              *head.retry_after);
  if (const Worker* worker = m_state.workers.Find(attempt.worker))
    m_waiting.OnWorkerAvoided(attempt.worker, worker->paused_until);
  m_state.Log(LogEvent::kWorkerPaused,
              {{"worker", attempt.worker},
               {"request", exchange.request->trace_id},
               {"pause_ms", FormatMilliseconds(*head.retry_after)}});
}

void RequestTable::RecordRejection(TimePoint now,
                                   Exchange& exchange,
                                   const UpstreamResponseHead& head) {
  Worker* worker = m_state.workers.Find(exchange.attempt->worker);
  if (worker == nullptr)
    return;
  if (head.other_worker) {
    worker->backoff_until = now + kReplacedWorkerBackoff;
    m_waiting.OnWorkerAvoided(worker->entry.id, worker->backoff_until);
    return;
  }
  constexpr unsigned kMisdirected = 421;
  const ServingRequest& request = *exchange.request;
  if (head.status == kMisdirected && !request.model.empty()) {
    worker->contents.Drop(request.model, request.adapter);
    return;
  }
  exchange.tried_workers.insert(worker->entry.id);
}

void RequestTable::RetryRejected(TimePoint now, Exchange& exchange) {
  // The rejected attempt is closed already.
  const bool can_retry = exchange.attempts_sent < kMaxAttempts &&
                         RetryBudgetFor(exchange.service).TryConsume();
  if (!can_retry && exchange.silent_attempt)
    return ContinueSilentAttempt(now, exchange);
  if (!can_retry && exchange.head_sent && exchange.last_run_was_silent) {
    exchange.awaits_retry_budget = true;
    return Hold(now, exchange, WaitReason::kRetryBudget);
  }
  if (!can_retry) {
    if (exchange.head_sent)
      return Abort(now, exchange, "workers full");
    return Refuse(now, exchange,
                  exchange.possible_runs > 0 ? ServingRefusal::kWorkerFailed
                                             : ServingRefusal::kWorkersFull);
  }
  ++m_metrics.retried;
  m_state.Log(LogEvent::kRequestRetried,
              {{"request", exchange.request->trace_id},
               {"why", "not executed"},
               {"send", std::to_string(exchange.attempts_sent)}});
  Dispatch(now, exchange);
}

bool RequestTable::CanRetry(TimePoint now,
                            const Exchange& exchange,
                            bool has_run) const {
  return exchange.attempts_sent < kMaxAttempts &&
         CanRunAgain(now, exchange, has_run);
}

bool RequestTable::CanRunAgain(TimePoint now,
                               const Exchange& exchange,
                               bool has_run) const {
  // Only a stream can be continued by another run.
  if (exchange.head_sent && !exchange.is_stream)
    return false;
  const std::uint32_t runs = exchange.possible_runs + (has_run ? 1 : 0);
  return runs < exchange.route->max_attempts &&
         exchange.deadline - now > kMinAttemptTime;
}

void RequestTable::GiveUpAttempt(Exchange& exchange) {
  exchange.tried_workers.insert(exchange.attempt->worker);
  CancelCurrentAttempt(exchange);
}

void RequestTable::HandleAttemptFailure(TimePoint now,
                                        Exchange& exchange,
                                        const std::string& reason) {
  SuspectWorker(now, exchange, reason);
  GiveUpAttempt(exchange);
  if (exchange.silent_attempt) {
    // The failed attempt may have run in addition to the silent one.
    ++exchange.possible_runs;
    return ContinueSilentAttempt(now, exchange);
  }
  exchange.last_run_was_silent = false;
  const bool can_retry = exchange.route->IsRepeatable() &&
                         CanRetry(now, exchange, /*has_run=*/true) &&
                         RetryBudgetFor(exchange.service).TryConsume();
  ++exchange.possible_runs;
  if (can_retry)
    return Retry(now, exchange, reason);
  if (exchange.head_sent)
    return Abort(now, exchange, reason);
  Refuse(now, exchange, ServingRefusal::kWorkerFailed);
}

void RequestTable::Retry(TimePoint now,
                         Exchange& exchange,
                         const std::string& reason) {
  if (exchange.head_sent) {
    ++m_metrics.resumed;
    m_state.Log(LogEvent::kRequestResumed,
                {{"request", exchange.request->trace_id},
                 {"why", reason},
                 {"after_event",
                  std::to_string(exchange.last_delivered_event.value_or(0))}});
  } else {
    ++m_metrics.retried;
    m_state.Log(LogEvent::kRequestRetried,
                {{"request", exchange.request->trace_id},
                 {"why", reason},
                 {"send", std::to_string(exchange.attempts_sent)}});
  }
  Dispatch(now, exchange);
}

}  // namespace boragepick
