// The attempts of RequestTable: choice, sending, what comes back, retries.
#include <algorithm>

#include "core/serving/request_table.h"

namespace boragepick {

namespace {

// Callers spread unevenly over routers: one may have so many times its part of
// a worker's connections.
constexpr double kUnevenLoad = 1.5;
// Sendings of one request, rejected ones included.
constexpr std::uint32_t kMaxSends = 5;
// A held request looks again for a worker after so long at the latest.
constexpr Duration kHoldCheck = std::chrono::milliseconds(100);
// A broken stream waits so long for a worker that can go on: its caller gives
// it up after a gap of two seconds or more.
constexpr Duration kResumeHold = std::chrono::milliseconds(1'800);
// A silent run that nobody else could take over is looked at again after so
// long.
constexpr Duration kSilenceCheck = std::chrono::milliseconds(200);
// A request that may be repeated is sent elsewhere when nothing has come for
// this many times its objective.
constexpr int kSilentObjectives = 2;
constexpr Duration kShortestSilence = std::chrono::milliseconds(250);
// Answers are collected up to this size before they are passed on, in bytes.
constexpr std::size_t kMaxBuffered = 1 << 20;
// Less time than this is not worth a sending.
constexpr Duration kLeastTimeLeft = std::chrono::milliseconds(10);
// An address at which another worker answers is left alone until the list of
// workers has caught up.
constexpr Duration kGoneWorkerRest = std::chrono::seconds(3);
// The expected time of a plain service's answer, as a share of its objective.
constexpr int kPlainShareOfObjective = 4;

constexpr bool IsSuccess(unsigned status) {
  return status >= 200 && status < 300;
}

}  // namespace

WorkerChoiceInput RequestTable::ChoiceInput(const Exchange& exchange) const {
  return {.request = *exchange.request,
          .weights = exchange.weights,
          .data_centre = m_state.options.data_centre};
}

void RequestTable::Dispatch(TimePoint now, Exchange& exchange) {
  if (exchange.config != m_state.config) {
    const std::string service = exchange.service;
    const auto refusal = Route(now, exchange);
    if (refusal && exchange.committed)
      return Abort(now, exchange, "not allowed any more");
    if (refusal)
      return Refuse(now, exchange, *refusal);
    exchange.deadline =
        std::min(exchange.deadline, exchange.arrived + exchange.route->timeout);
  }
  if (!exchange.route->open_to_all && !m_state.AreKeysCurrent(now) &&
      !exchange.committed)
    return Refuse(now, exchange, ServingRefusal::kKeysStale);
  if (m_suspects.IsRefused(now, exchange)) {
    if (exchange.committed)
      return Abort(now, exchange, "breaks workers");
    return Refuse(now, exchange, ServingRefusal::kBreaksWorkers);
  }
  const ServingService* service = m_state.config->FindService(exchange.service);
  std::vector<Worker*> workers = UsableWorkers(now, exchange.service);
  if (service == nullptr || workers.empty())
    return Hold(now, exchange, "no_worker");
  if (service->engine && !exchange.weights.empty())
    return DispatchToEngine(now, exchange, *service->engine,
                            std::move(workers));
  std::vector<Worker*> fresh = workers;
  std::erase_if(fresh, [&exchange](const Worker* worker) {
    return exchange.tried.contains(worker->entry.id);
  });
  Send(now, exchange,
       ChooseWorker(m_policy, ChoiceInput(exchange),
                    std::span<Worker* const>(fresh.empty() ? workers : fresh)));
}

std::vector<Worker*> RequestTable::UsableWorkers(TimePoint now,
                                                 const std::string& service) {
  std::vector<Worker*> workers = m_state.workers.OfService(service);
  const std::uint32_t limit = ConnectionLimit(service);
  std::erase_if(workers, [now, limit](const Worker* worker) {
    return !worker->Usable(now) || worker->running >= limit;
  });
  return workers;
}

std::vector<Worker*> RequestTable::ReadyWorkers(const std::string& service) {
  std::vector<Worker*> workers = m_state.workers.OfService(service);
  std::erase_if(workers, [](const Worker* worker) {
    return worker->entry.state != WorkerState::kReady;
  });
  return workers;
}

std::uint32_t RequestTable::ConnectionLimit(const std::string& service) const {
  const ServingService* spec = m_state.config->FindService(service);
  if (spec == nullptr)
    return 0;
  const auto routers = static_cast<double>(
      std::max<std::size_t>(1, m_state.fleet.RouterCount()));
  const double part = spec->max_connections / routers * kUnevenLoad;
  return std::clamp<std::uint32_t>(static_cast<std::uint32_t>(part), 1,
                                   std::max(1U, spec->max_connections));
}

std::uint32_t RequestTable::WaitingFor(const std::string& weights) const {
  const auto found = m_waiting.find(weights);
  return found == m_waiting.end() ? 1 : found->second;
}

void RequestTable::Unhold(const Exchange& exchange) {
  if (m_held.erase(exchange.request->id) == 0)
    return;
  const auto waiting = m_waiting.find(exchange.weights);
  if (--waiting->second == 0)
    m_waiting.erase(waiting);
}

void RequestTable::Hold(TimePoint now,
                        Exchange& exchange,
                        const std::string& why) {
  if (exchange.held_since == kNever || exchange.stage != ExchangeStage::kHeld ||
      !m_held.contains(exchange.request->id)) {
    exchange.held_since = now;
    ++m_metrics.held;
    m_state.Log(LogEvent::kRequestHeld,
                {{"request", exchange.request->trace_id},
                 {"why", why},
                 {"weights", exchange.weights},
                 {"service", exchange.service},
                 {"runs", std::to_string(exchange.runs)}});
  }
  exchange.stage = ExchangeStage::kHeld;
  if (m_held.insert(exchange.request->id).second)
    ++m_waiting[exchange.weights];
  const TimePoint limit = exchange.committed
                              ? exchange.held_since + kResumeHold
                              : exchange.arrived + HoldLimit(exchange);
  if (now >= limit) {
    if (exchange.committed)
      return Abort(now, exchange, why);
    return Refuse(now, exchange,
                  exchange.runs > 0    ? ServingRefusal::kWorkerFailed
                  : why == "no_worker" ? ServingRefusal::kNoWorker
                                       : ServingRefusal::kModelNotLoaded);
  }
  CheckAt(exchange, std::min(now + kHoldCheck, limit));
}

void RequestTable::Send(TimePoint now,
                        Exchange& exchange,
                        const WorkerChoice& choice) {
  const Duration left = exchange.deadline - now;
  if (left < kLeastTimeLeft)
    return TimeOut(now, exchange);
  const ServingRequest& request = *exchange.request;
  Worker& worker = *choice.worker;
  Attempt& attempt = exchange.attempt.emplace();
  attempt.number = ++m_last_attempt;
  attempt.worker = worker.entry.id;
  attempt.sent = now;
  attempt.last_progress = now;
  const std::int64_t known =
      worker.prompts.KnownTokens(exchange.weights, request.prompt);
  attempt.unread_tokens =
      std::max<std::int64_t>(0, request.prompt_tokens.value_or(0) - known);
  worker.unread_tokens += attempt.unread_tokens;
  WorkerTable::CountRun(worker, exchange.weights);
  worker.prompts.Remember(exchange.weights, request.prompt);
  ++exchange.sends;
  exchange.stage = ExchangeStage::kRunning;
  if (m_held.contains(request.id))
    m_metrics.hold.Add(now - exchange.held_since);
  Unhold(exchange);
  m_attempts.emplace(attempt.number, request.id);
  m_state.Log(LogEvent::kRequestRouted,
              {{"request", request.trace_id},
               {"route", exchange.route->name},
               {"team", exchange.team},
               {"config", std::to_string(exchange.config->config().version)},
               {"weights", exchange.weights},
               {"worker", worker.entry.id},
               {"tokens", std::to_string(exchange.cost)},
               {"cost_ms", MillisecondsText(choice.cost)},
               {"running", std::to_string(worker.running)},
               {"send", std::to_string(exchange.sends)},
               {"after_ms", MillisecondsText(now - exchange.arrived)}});
  const bool repeatable = exchange.route->Repeatable();
  m_state.Emit(SendAttempt{.attempt = attempt.number,
                           .request = exchange.request,
                           .worker = worker.entry.id,
                           .address = worker.entry.address,
                           .team = exchange.team,
                           .time_left = left,
                           .urgency = exchange.urgency,
                           .resume_after = exchange.last_event,
                           .repeatable = repeatable});
  MarkProgress(now, exchange);
}

void RequestTable::MarkProgress(TimePoint now, Exchange& exchange) {
  exchange.attempt->last_progress = now;
  if (!exchange.route->Repeatable())
    return CheckAt(exchange, exchange.deadline);
  const Duration objective = exchange.attempt->began
                                 ? exchange.route->target_gap
                                 : exchange.route->target_latency;
  CheckAt(exchange,
          now + std::max(kShortestSilence, objective * kSilentObjectives));
}

void RequestTable::CloseAttempt(Exchange& exchange) {
  if (!exchange.attempt)
    return;
  Worker* worker = m_state.workers.Find(exchange.attempt->worker);
  if (worker != nullptr) {
    worker->unread_tokens -= exchange.attempt->unread_tokens;
    WorkerTable::EndRun(*worker, exchange.weights);
  }
  m_attempts.erase(exchange.attempt->number);
  exchange.attempt.reset();
}

void RequestTable::CancelRunning(Exchange& exchange) {
  if (!exchange.attempt)
    return;
  m_state.Emit(CancelAttempt{.attempt = exchange.attempt->number});
  CloseAttempt(exchange);
}

void RequestTable::Answered(TimePoint now,
                            AttemptNumber number,
                            UpstreamHead head) {
  Exchange* exchange = FindAttempt(number);
  if (exchange == nullptr)
    return;
  Attempt& attempt = *exchange->attempt;
  if (head.not_executed) {
    LearnFromRejection(now, *exchange, head);
    CancelRunning(*exchange);
    return NotExecuted(now, *exchange);
  }
  const bool failed = !IsSuccess(head.status) || !head.is_signed;
  if (IsSuccess(head.status) && !head.is_signed)
    return HandleAttemptFailure(now, *exchange, "unsigned success");
  const bool worth_a_retry = failed && head.status >= 500 &&
                             exchange->route->Repeatable() &&
                             MayRetry(now, *exchange, /*has_run=*/true);
  if (worth_a_retry || (failed && exchange->committed))
    return HandleAttemptFailure(now, *exchange,
                                "status " + std::to_string(head.status));
  attempt.head = std::move(head);
}

void RequestTable::Bytes(TimePoint now,
                         AttemptNumber number,
                         std::string_view bytes) {
  Exchange* exchange = FindAttempt(number);
  if (exchange == nullptr || !exchange->attempt->head)
    return;
  Attempt& attempt = *exchange->attempt;
  const bool stream = exchange->route->kind == RequestKind::kStream &&
                      IsSuccess(attempt.head->status);
  if (stream)
    return TakeEvents(now, *exchange, bytes);
  attempt.began = true;
  if (exchange->committed) {
    m_state.Emit(SendResponseBody{.id = exchange->request->id,
                                  .bytes = std::string(bytes)});
    return;
  }
  attempt.buffered += bytes;
  if (attempt.buffered.size() <= kMaxBuffered)
    return;
  exchange->committed = true;
  m_metrics.first_byte.Add(now - exchange->arrived);
  m_state.Emit(
      SendResponseHead{.id = exchange->request->id, .head = *attempt.head});
  m_state.Emit(SendResponseBody{.id = exchange->request->id,
                                .bytes = std::exchange(attempt.buffered, {})});
}

void RequestTable::TakeEvents(TimePoint now,
                              Exchange& exchange,
                              std::string_view bytes) {
  Attempt& attempt = *exchange.attempt;
  std::string forwarded;
  bool gap = false;
  for (StreamEvent& event : attempt.events.Take(bytes)) {
    if (event.id && exchange.last_event) {
      // why: a resumed run may begin with what the caller has already
      if (*event.id <= *exchange.last_event)
        continue;
      gap = *event.id != *exchange.last_event + 1;
    }
    if (gap)
      break;
    if (event.id)
      exchange.last_event = event.id;
    forwarded += event.bytes;
  }
  if (!forwarded.empty()) {
    if (!attempt.began) {
      attempt.began = true;
      Worker* worker = m_state.workers.Find(attempt.worker);
      if (worker != nullptr) {
        m_state.workers.RecordSuccess(
            *worker, now - attempt.sent,
            std::chrono::milliseconds(60) + ReadingTime(attempt.unread_tokens));
        worker->unread_tokens -= attempt.unread_tokens;
      }
      attempt.unread_tokens = 0;
    }
    if (!exchange.committed) {
      exchange.committed = true;
      m_metrics.first_byte.Add(now - exchange.arrived);
      m_state.Emit(
          SendResponseHead{.id = exchange.request->id, .head = *attempt.head});
    }
    m_state.Emit(SendResponseBody{.id = exchange.request->id,
                                  .bytes = std::move(forwarded)});
    MarkProgress(now, exchange);
  }
  if (gap || attempt.events.Overflowed())
    HandleAttemptFailure(now, exchange,
                         gap ? "gap in the stream" : "event too large");
}

void RequestTable::Ended(TimePoint now, AttemptNumber number) {
  Exchange* exchange = FindAttempt(number);
  if (exchange == nullptr || !exchange->attempt->head)
    return;
  const Attempt& attempt = *exchange->attempt;
  if (attempt.events.HasPartial())
    return HandleAttemptFailure(now, *exchange, "cut inside an event");
  AnswerFrom(now, *exchange);
}

void RequestTable::SuspectCrash(TimePoint now, const Exchange& exchange) {
  const Worker* worker = m_state.workers.Find(exchange.attempt->worker);
  if (worker == nullptr)
    return;
  const auto notice = m_suspects.RunBroke(now, exchange, worker->entry.id,
                                          worker->entry.contents.born);
  if (!notice)
    return;
  if (m_suspects.IsRefused(now, exchange))
    m_state.Log(LogEvent::kFingerprintConvicted,
                {{"request", exchange.request->trace_id},
                 {"team", exchange.team},
                 {"crash", notice->crash}});
  m_state.fleet.Broadcast(*notice);
}

void RequestTable::TakeCrash(TimePoint now, const CrashNotice& notice) {
  m_suspects.Take(now, notice);
}

void RequestTable::AnswerFrom(TimePoint now, Exchange& exchange) {
  ++m_metrics.answered;
  m_metrics.whole_answer.Add(now - exchange.arrived);
  if (const auto cleared = m_suspects.RanWhole(now, exchange))
    m_state.fleet.Broadcast(*cleared);
  Attempt& attempt = *exchange.attempt;
  Worker* worker = m_state.workers.Find(attempt.worker);
  const bool plain = exchange.weights.empty();
  if (worker != nullptr && plain && IsSuccess(attempt.head->status)) {
    m_state.workers.RecordSuccess(
        *worker, now - attempt.sent,
        exchange.route->target_latency / kPlainShareOfObjective);
  }
  m_state.Log(LogEvent::kRequestFinished,
              {{"request", exchange.request->trace_id},
               {"status", std::to_string(attempt.head->status)},
               {"worker", attempt.worker},
               {"sends", std::to_string(exchange.sends)},
               {"after_ms", MillisecondsText(now - exchange.arrived)}});
  if (exchange.committed) {
    m_state.Emit(EndResponse{.id = exchange.request->id});
  } else {
    m_metrics.first_byte.Add(now - exchange.arrived);
    m_state.Emit(SendResponse{.id = exchange.request->id,
                              .head = std::move(*attempt.head),
                              .body = std::move(attempt.buffered)});
  }
  Forget(exchange);
}

void RequestTable::Broken(TimePoint now,
                          AttemptNumber number,
                          AttemptFailure failure) {
  Exchange* exchange = FindAttempt(number);
  if (exchange == nullptr)
    return;
  const std::string why(kAttemptFailureNames.Name(failure));
  if (failure == AttemptFailure::kReset)
    SuspectCrash(now, *exchange);
  if (failure != AttemptFailure::kNotSent)
    return HandleAttemptFailure(now, *exchange, why);
  Worker* worker = m_state.workers.Find(exchange->attempt->worker);
  if (worker != nullptr)
    m_state.workers.RecordFailure(now, *worker);
  exchange->tried.insert(exchange->attempt->worker);
  CloseAttempt(*exchange);
  if (exchange->sends >= kMaxSends)
    return exchange->committed
               ? Abort(now, *exchange, why)
               : Refuse(now, *exchange,
                        exchange->runs > 0 ? ServingRefusal::kWorkerFailed
                                           : ServingRefusal::kNoWorker);
  Dispatch(now, *exchange);
}

void RequestTable::LearnFromRejection(TimePoint now,
                                      Exchange& exchange,
                                      const UpstreamHead& head) {
  Worker* worker = m_state.workers.Find(exchange.attempt->worker);
  if (worker == nullptr)
    return;
  if (head.other_worker) {
    worker->avoid_until = now + kGoneWorkerRest;
    return;
  }
  constexpr unsigned kMisdirected = 421;
  const ServingRequest& request = *exchange.request;
  if (head.status == kMisdirected && !request.model.empty()) {
    worker->contents.Drop(request.model, request.adapter);
    return;
  }
  exchange.tried.insert(worker->entry.id);
}

void RequestTable::NotExecuted(TimePoint now, Exchange& exchange) {
  // `attempt` is closed already; what remains is where to send it next.
  const bool may =
      exchange.sends < kMaxSends && BudgetFor(exchange.service).TakeRetry();
  if (!may) {
    if (exchange.committed)
      return Abort(now, exchange, "workers full");
    return Refuse(now, exchange,
                  exchange.runs > 0 ? ServingRefusal::kWorkerFailed
                                    : ServingRefusal::kWorkersFull);
  }
  ++m_metrics.retried;
  m_state.Log(LogEvent::kRequestRetried,
              {{"request", exchange.request->trace_id},
               {"why", "not executed"},
               {"send", std::to_string(exchange.sends)}});
  Dispatch(now, exchange);
}

bool RequestTable::MayRetry(TimePoint now,
                            const Exchange& exchange,
                            bool has_run) const {
  const std::uint32_t runs = exchange.runs + (has_run ? 1 : 0);
  return exchange.sends < kMaxSends && runs < exchange.route->max_attempts &&
         exchange.deadline - now > kLeastTimeLeft;
}

void RequestTable::HandleAttemptFailure(TimePoint now,
                                        Exchange& exchange,
                                        const std::string& why) {
  Worker* worker = m_state.workers.Find(exchange.attempt->worker);
  if (worker != nullptr) {
    m_state.workers.RecordFailure(now, *worker);
    m_state.Log(LogEvent::kWorkerSuspected,
                {{"worker", worker->entry.id},
                 {"request", exchange.request->trace_id},
                 {"why", why},
                 {"in_a_row", std::to_string(worker->failures_in_a_row)}});
  }
  exchange.tried.insert(exchange.attempt->worker);
  CancelRunning(exchange);
  const bool may = exchange.route->Repeatable() &&
                   MayRetry(now, exchange, /*has_run=*/true) &&
                   BudgetFor(exchange.service).TakeRetry();
  ++exchange.runs;
  if (may)
    return Retry(now, exchange, why);
  if (exchange.committed)
    return Abort(now, exchange, why);
  Refuse(now, exchange, ServingRefusal::kWorkerFailed);
}

void RequestTable::Retry(TimePoint now,
                         Exchange& exchange,
                         const std::string& why) {
  if (exchange.committed) {
    ++m_metrics.resumed;
    m_state.Log(
        LogEvent::kRequestResumed,
        {{"request", exchange.request->trace_id},
         {"why", why},
         {"after_event", std::to_string(exchange.last_event.value_or(0))}});
  } else {
    ++m_metrics.retried;
    m_state.Log(LogEvent::kRequestRetried,
                {{"request", exchange.request->trace_id},
                 {"why", why},
                 {"send", std::to_string(exchange.sends)}});
  }
  Dispatch(now, exchange);
}

bool RequestTable::HasOtherWorker(TimePoint now, const Exchange& exchange) {
  const ServingRequest& request = *exchange.request;
  const std::vector<Worker*> workers = UsableWorkers(now, exchange.service);
  return std::ranges::any_of(workers, [&](const Worker* worker) {
    return worker->entry.id != exchange.attempt->worker &&
           !exchange.tried.contains(worker->entry.id) &&
           (request.model.empty() ||
            worker->contents.Holds(request.model, request.adapter));
  });
}

void RequestTable::CheckProgress(TimePoint now, Exchange& exchange) {
  if (!exchange.route->Repeatable())
    return CheckAt(exchange, exchange.deadline);
  const Attempt& attempt = *exchange.attempt;
  const Duration objective = attempt.began ? exchange.route->target_gap
                                           : exchange.route->target_latency;
  const TimePoint silent_at =
      attempt.last_progress +
      std::max(kShortestSilence, objective * kSilentObjectives);
  if (now < silent_at)
    return CheckAt(exchange, silent_at);
  // why: a worker's silence is no reason to end an answer that nobody else can
  // give
  if (!MayRetry(now, exchange, /*has_run=*/true))
    return CheckAt(exchange, exchange.deadline);
  if (!HasOtherWorker(now, exchange))
    return CheckAt(exchange, now + kSilenceCheck);
  HandleAttemptFailure(now, exchange, "silent");
}

}  // namespace boragepick
