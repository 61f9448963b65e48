// RequestTable's reaction to silent workers.
#include <algorithm>
#include <utility>

#include "core/serving/request_table.h"

namespace boragepick {

namespace {

// Interval of checks of a silent attempt while no other worker could run the
// request, or the retry budget is spent.
constexpr Duration kSilenceCheckPeriod = std::chrono::milliseconds(200);
// The worker of a repeatable request is suspected when nothing was received for
// this many times the objective of its route, but at least for
// kMinSilenceTimeout. A request other than a stream is then sent to another
// worker.
constexpr int kSilenceTimeoutInObjectives = 2;
constexpr Duration kMinSilenceTimeout = std::chrono::milliseconds(250);
// A stream is sent to another worker after this many times its objective,
// before its first event and between events. A sound worker may pause a stream
// for about a second. Callers give up a stream after a gap of two seconds, four
// times its latency objective or eight times its longest permitted gap,
// whichever is longest.
constexpr int kStreamSilenceInLatencies = 2;
constexpr int kStreamSilenceInGaps = 4;
constexpr Duration kMinStreamSilence = std::chrono::milliseconds(1'500);
// Retries that the budget must allow for a silent attempt to be given up: one,
// and one more in case the next worker rejects the request.
constexpr double kSilenceRetries = 2;

// How long a worker may send nothing before it is suspected.
Duration SuspicionTimeout(const ServingRoute& route, bool body_started) {
  const Duration objective =
      body_started ? route.target_gap : route.target_latency;
  return std::max(kMinSilenceTimeout, objective * kSilenceTimeoutInObjectives);
}

// How long a worker may send nothing before another one is tried.
Duration SilenceTimeout(const ServingRoute& route, bool body_started) {
  if (route.kind != RequestKind::kStream)
    return SuspicionTimeout(route, body_started);
  return std::max(kMinStreamSilence,
                  body_started
                      ? route.target_gap * kStreamSilenceInGaps
                      : route.target_latency * kStreamSilenceInLatencies);
}

}  // namespace

void RequestTable::RecordProgress(TimePoint now, Exchange& exchange) {
  exchange.attempt->last_progress = now;
  exchange.attempt->is_suspected = false;
  if (!exchange.route->IsRepeatable())
    return ScheduleCheck(exchange, exchange.deadline);
  ScheduleCheck(
      exchange,
      now + SuspicionTimeout(*exchange.route, exchange.attempt->body_started));
}

void RequestTable::SuspectWorker(TimePoint now,
                                 const Exchange& exchange,
                                 const std::string& reason) {
  Worker* worker = m_state.workers.Find(exchange.attempt->worker);
  if (worker == nullptr)
    return;
  RecordWorkerFailure(now, *worker);
  m_state.Log(LogEvent::kWorkerSuspected,
              {{"worker", worker->entry.id},
               {"request", exchange.request->trace_id},
               {"why", reason},
               {"in_a_row", std::to_string(worker->consecutive_failures)}});
}

bool RequestTable::HasOtherWorker(TimePoint now, const Exchange& exchange) {
  const ServingRequest& request = *exchange.request;
  const std::vector<Worker*> workers = UsableWorkers(now, exchange);
  return std::ranges::any_of(workers, [&](const Worker* worker) {
    return worker->entry.id != exchange.attempt->worker &&
           !exchange.tried_workers.contains(worker->entry.id) &&
           (request.model.empty() ||
            worker->contents.Holds(request.model, request.adapter));
  });
}

void RequestTable::CheckProgress(TimePoint now, Exchange& exchange) {
  Attempt& attempt = *exchange.attempt;
  // A worker whose response isn't read can't make progress.
  if (!exchange.route->IsRepeatable() || attempt.is_paused)
    return ScheduleCheck(exchange, exchange.deadline);
  const TimePoint suspect_at =
      attempt.last_progress +
      SuspicionTimeout(*exchange.route, attempt.body_started);
  if (now < suspect_at)
    return ScheduleCheck(exchange, suspect_at);
  if (!std::exchange(attempt.is_suspected, true))
    SuspectWorker(now, exchange, "silent");
  const TimePoint silent_at =
      attempt.last_progress +
      SilenceTimeout(*exchange.route, attempt.body_started);
  if (now < silent_at)
    return ScheduleCheck(exchange, silent_at);
  // Without a possible retry, a slow response is better than none, so the
  // attempt continues.
  const bool can_retry = attempt.was_set_aside
                             ? CanRunAgain(now, exchange, /*has_run=*/true)
                             : CanRetry(now, exchange, /*has_run=*/true);
  if (!can_retry)
    return ScheduleCheck(exchange, exchange.deadline);
  RetryBudget& budget = RetryBudgetFor(exchange.service);
  if (!budget.Allows(kSilenceRetries) || !HasOtherWorker(now, exchange))
    return ScheduleCheck(exchange, now + kSilenceCheckPeriod);
  budget.TryConsume();
  SetSilentAttemptAside(exchange);
  Retry(now, exchange, "silent");
}

void RequestTable::SetSilentAttemptAside(Exchange& exchange) {
  exchange.tried_workers.insert(exchange.attempt->worker);
  exchange.silent_attempt = std::exchange(exchange.attempt, std::nullopt);
  exchange.silent_attempt->was_set_aside = true;
  exchange.last_run_was_silent = true;
  ++exchange.possible_runs;
}

void RequestTable::ContinueSilentAttempt(TimePoint now, Exchange& exchange) {
  // The silent attempt was counted when it was set aside. Another one that was
  // sent meanwhile may have run.
  if (!exchange.attempt)
    --exchange.possible_runs;
  CancelCurrentAttempt(exchange);
  exchange.attempt = std::exchange(exchange.silent_attempt, std::nullopt);
  exchange.replaced_at = kNever;
  exchange.last_run_was_silent = false;
  exchange.stage = ExchangeStage::kRunning;
  ScheduleCheck(exchange, now + kSilenceCheckPeriod);
}

void RequestTable::CancelSilentAttempt(Exchange& exchange) {
  exchange.replaced_at = kNever;
  if (!exchange.silent_attempt)
    return;
  m_state.Emit(CancelAttempt{.attempt = exchange.silent_attempt->number});
  ReleaseWorker(exchange, *exchange.silent_attempt);
  exchange.silent_attempt.reset();
}

}  // namespace boragepick
