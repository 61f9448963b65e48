// RequestTable's responses: heads, bodies and events of the current attempt and
// the end of a complete response.
#include "core/serving/request_table.h"

namespace boragepick {

namespace {

// Response bodies up to this size are buffered and sent whole, so that a failed
// attempt can still be retried.
constexpr std::size_t kMaxBufferedBytes = 1 << 20;
// A plain service is expected to respond within its latency objective divided
// by this.
constexpr int kPlainLatencyDivisor = 4;

// Callers take these statuses for a guarantee that the request has not run, so
// they are forwarded only if the upstream states that.
constexpr bool GuaranteesNoRun(unsigned status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

// Whether the response of the current attempt is a stream of events.
bool IsStream(const Exchange& exchange) {
  if (exchange.head_sent)
    return exchange.is_stream;
  return exchange.route->kind == RequestKind::kStream &&
         IsSuccess(exchange.attempt->head->status);
}

// Returns why the event can't follow those that the caller has, or an empty
// text.
std::string_view FindStreamFault(const Exchange& exchange,
                                 const StreamEvent& event) {
  if (!event.id)
    return event.is_comment ? "" : "event without an id";
  const auto& last = exchange.last_delivered_event;
  return last && *event.id > *last + 1 ? "gap in the stream" : "";
}

// Returns why the stream is not complete at the end of the current attempt, or
// an empty text.
std::string_view FindTruncation(const Exchange& exchange, bool ended_by_close) {
  const Attempt& attempt = *exchange.attempt;
  if (attempt.events.HasPartial())
    return "stream ended inside an event";
  // Nothing may be left only if the caller itself resumes the stream and the
  // upstream marks the end.
  if (!attempt.last_event) {
    const bool may_be_empty =
        exchange.last_delivered_event && !exchange.head_sent && !ended_by_close;
    return may_be_empty ? "" : "stream without events";
  }
  return *attempt.last_event < *exchange.last_delivered_event
             ? "stream ended before its last event"
             : "";
}

}  // namespace

void RequestTable::OnResponseHead(TimePoint now,
                                  AttemptNumber number,
                                  UpstreamResponseHead head) {
  Exchange* exchange = FindAttempt(now, number);
  if (exchange == nullptr)
    return;
  Attempt& attempt = *exchange->attempt;
  RecordWorkerStatements(now, *exchange, head);
  if (head.not_executed) {
    RecordRejection(now, *exchange, head);
    CancelCurrentAttempt(*exchange);
    return RetryRejected(now, *exchange);
  }
  const bool failed = !IsSuccess(head.status) || !head.is_signed;
  if (IsSuccess(head.status) && !head.is_signed)
    return HandleAttemptFailure(now, *exchange, "unsigned success");
  const bool is_retryable = failed && head.status >= 500 &&
                            exchange->route->IsRepeatable() &&
                            CanRetry(now, *exchange, /*has_run=*/true);
  if (is_retryable || GuaranteesNoRun(head.status) ||
      (failed && exchange->head_sent))
    return HandleAttemptFailure(now, *exchange,
                                "status " + std::to_string(head.status));
  CancelSilentAttempt(*exchange);
  attempt.head = std::move(head);
  // Only its events show that a stream makes progress.
  if (!IsStream(*exchange))
    RecordProgress(now, *exchange);
}

void RequestTable::OnResponseBody(TimePoint now,
                                  AttemptNumber number,
                                  std::string_view bytes) {
  Exchange* exchange = FindAttempt(now, number);
  if (exchange == nullptr || !exchange->attempt->head)
    return;
  RecordAnswerProgress(now, *exchange);
  Attempt& attempt = *exchange->attempt;
  if (IsStream(*exchange))
    return ForwardEvents(now, *exchange, bytes);
  attempt.body_started = true;
  RecordProgress(now, *exchange);
  if (exchange->head_sent) {
    m_state.Emit(SendResponseBody{.id = exchange->request->id,
                                  .bytes = std::string(bytes)});
    return;
  }
  attempt.buffered += bytes;
  RecordHeldBytes(attempt, attempt.buffered.size());
  if (HoldsTooMuch(attempt, kMaxBufferedBytes))
    ForwardBuffered(now, *exchange);
}

void RequestTable::ForwardBuffered(TimePoint now, Exchange& exchange) {
  Attempt& attempt = *exchange.attempt;
  exchange.head_sent = true;
  m_metrics.first_byte.Add(now - exchange.arrived);
  m_state.Emit(
      SendResponseHead{.id = exchange.request->id, .head = *attempt.head});
  m_state.Emit(SendResponseBody{.id = exchange.request->id,
                                .bytes = std::exchange(attempt.buffered, {})});
  RecordHeldBytes(attempt, 0);
}

bool RequestTable::HoldsTooMuch(const Attempt& attempt,
                                std::size_t limit) const {
  return attempt.held_bytes > limit ||
         (m_flow.IsMemoryShort() && m_flow.MustPause(attempt.held_bytes));
}

void RequestTable::RecordHeldBytes(Attempt& attempt, std::size_t bytes) {
  m_flow.RecordBuffered(attempt.held_bytes, bytes);
  attempt.held_bytes = bytes;
}

void RequestTable::OnResponseUnsent(TimePoint now,
                                    RequestId id,
                                    std::size_t bytes,
                                    std::size_t total) {
  const bool was_short = m_flow.IsMemoryShort();
  m_flow.RecordUnsent(total);
  if (Exchange* exchange = Find(id)) {
    exchange->unsent_bytes = bytes;
    PauseOrResume(now, *exchange);
  }
  if (!was_short || m_flow.IsMemoryShort())
    return;
  const std::vector<RequestId> paused(m_paused.begin(), m_paused.end());
  for (const RequestId other : paused) {
    if (Exchange* exchange = Find(other))
      PauseOrResume(now, *exchange);
  }
}

void RequestTable::PauseOrResume(TimePoint now, Exchange& exchange) {
  if (!exchange.attempt)
    return;
  Attempt& attempt = *exchange.attempt;
  if (!attempt.is_paused && m_flow.MustPause(exchange.unsent_bytes)) {
    attempt.is_paused = true;
    ++m_metrics.paused;
    m_paused.insert(exchange.request->id);
    m_state.Emit(PauseAttempt{.attempt = attempt.number});
  } else if (attempt.is_paused && m_flow.MayResume(exchange.unsent_bytes)) {
    attempt.is_paused = false;
    m_paused.erase(exchange.request->id);
    m_state.Emit(ResumeAttempt{.attempt = attempt.number});
    RecordProgress(now, exchange);
  }
}

void RequestTable::ForwardEvents(TimePoint now,
                                 Exchange& exchange,
                                 std::string_view bytes) {
  Attempt& attempt = *exchange.attempt;
  std::string forwarded;
  bool has_event = false;
  std::string_view fault;
  for (StreamEvent& event : attempt.events.Append(bytes)) {
    fault = FindStreamFault(exchange, event);
    if (!fault.empty())
      break;
    if (event.id) {
      attempt.last_event = event.id;
      // A resumed run may begin with events that the caller already has.
      if (exchange.last_delivered_event &&
          *event.id <= *exchange.last_delivered_event)
        continue;
      exchange.last_delivered_event = event.id;
      has_event = true;
    }
    forwarded += event.bytes;
  }
  RecordHeldBytes(attempt, attempt.events.partial_bytes());
  if (fault.empty() && HoldsTooMuch(attempt, EventSplitter::kMaxEventSize))
    fault = "event too large";
  if (!forwarded.empty()) {
    if (!attempt.body_started) {
      attempt.body_started = true;
      Worker* worker = m_state.workers.Find(attempt.worker);
      if (worker != nullptr) {
        m_state.workers.RecordSuccess(*worker, now - attempt.sent_at,
                                      std::chrono::milliseconds(60) +
                                          PrefillTime(attempt.prefill_tokens));
        worker->pending_prefill_tokens -= attempt.prefill_tokens;
      }
      attempt.prefill_tokens = 0;
    }
    if (!exchange.head_sent) {
      exchange.head_sent = true;
      exchange.is_stream = true;
      m_metrics.first_byte.Add(now - exchange.arrived);
      m_state.Emit(
          SendResponseHead{.id = exchange.request->id, .head = *attempt.head});
    }
    m_state.Emit(SendResponseBody{.id = exchange.request->id,
                                  .bytes = std::move(forwarded)});
  }
  // A stalled worker may still send comments.
  if (has_event)
    RecordProgress(now, exchange);
  if (!fault.empty())
    HandleAttemptFailure(now, exchange, std::string(fault));
}

void RequestTable::OnAttemptCompleted(TimePoint now,
                                      AttemptNumber number,
                                      bool ended_by_close) {
  Exchange* exchange = FindAttempt(now, number);
  if (exchange == nullptr || !exchange->attempt->head)
    return;
  const std::string_view truncation =
      IsStream(*exchange) ? FindTruncation(*exchange, ended_by_close) : "";
  if (!truncation.empty()) {
    if (ended_by_close)
      RecordSuspectedCrash(now, *exchange, *exchange->attempt);
    return HandleAttemptFailure(now, *exchange, std::string(truncation));
  }
  CompleteResponse(now, *exchange);
}

void RequestTable::CompleteResponse(TimePoint now, Exchange& exchange) {
  ++m_metrics.answered;
  m_metrics.whole_answer.Add(now - exchange.arrived);
  RecordCompletedRun(now, exchange);
  Attempt& attempt = *exchange.attempt;
  Worker* worker = m_state.workers.Find(attempt.worker);
  const bool is_plain = exchange.weights.empty();
  if (worker != nullptr && is_plain && IsSuccess(attempt.head->status)) {
    m_state.workers.RecordSuccess(
        *worker, now - attempt.sent_at,
        exchange.route->target_latency / kPlainLatencyDivisor);
  }
  m_state.Log(LogEvent::kRequestFinished,
              {{"request", exchange.request->trace_id},
               {"status", std::to_string(attempt.head->status)},
               {"worker", attempt.worker},
               {"sends", std::to_string(exchange.attempts_sent)},
               {"after_ms", FormatMilliseconds(now - exchange.arrived)}});
  if (exchange.head_sent) {
    m_state.Emit(EndResponse{.id = exchange.request->id});
  } else {
    m_metrics.first_byte.Add(now - exchange.arrived);
    m_state.Emit(SendResponse{.id = exchange.request->id,
                              .head = std::move(*attempt.head),
                              .body = std::move(attempt.buffered)});
  }
  Remove(exchange);
}

}  // namespace boragepick
