// RequestScheduler: attempts, that is agent selection, progress and retries.

#include <algorithm>

#include "common/hashing.h"
#include "core/router/request_scheduler.h"
#include "core/scheduling/slot_semaphore.h"

namespace boragepick {

namespace {

constexpr Duration kNoAgentRetryDelay = std::chrono::milliseconds(50);
constexpr Duration kTrialRetryDelay = std::chrono::milliseconds(200);
// A router that was cut off from the others receives the evidence against
// requests about once in this time.
constexpr Duration kEvidenceSharePeriod = std::chrono::milliseconds(500);

}  // namespace

void RequestScheduler::Dispatch(TimePoint now, PendingRequest& pending) {
  if (pending.abandoned)
    return;
  if (pending.attempt >= kMaxAttempts) {
    Refuse(now, pending,
           {.code = RefusalCode::kNoCapacity,
            .execution = ExecutionOf(pending),
            .message = "no agent could run the request in several attempts",
            .retry_after = std::chrono::seconds(1)});
    return;
  }
  if (!CheckQuarantine(now, pending))
    return;
  const AgentTable::Query query{.model = pending.served.model,
                                .pool = pending.pool,
                                .affinity = pending.request.affinity,
                                .data_centre = m_state.options.data_centre,
                                .excluded = &pending.failed_agents};
  const std::optional<AgentChoice> choice = m_agents.Choose(
      now, query, m_state.view, m_state.roster, m_policy, m_state.random);
  if (!choice) {
    // Once every agent has failed the request, all become eligible again, since
    // the first may have recovered.
    pending.failed_agents.clear();
    WaitForAgent(now, pending, now + kNoAgentRetryDelay);
    return;
  }
  ++pending.attempt;
  pending.stage = RequestStage::kRunning;
  pending.agent_vm = choice->vm;
  pending.agent_endpoint = choice->endpoint;
  pending.attempt_started = now;
  pending.last_message = now;
  pending.acknowledged = false;
  pending.resent = false;
  pending.next_chunk = 0;
  pending.received_bytes = 0;
  pending.response_limit = m_flow.Window();
  pending.cold_start = pending.cold_start || (!pending.served.model.empty() &&
                                              !choice->chosen.resident);
  m_agents.RecordSent(choice->vm);
  m_state.Log(
      LogEvent::kRequestRouted,
      {{"request", std::to_string(pending.request.id)},
       {"attempt", std::to_string(pending.attempt)},
       {"team", pending.team},
       {"target", pending.pool.empty() ? pending.request.model : pending.pool},
       {"agent", choice->vm},
       {"candidates", std::to_string(choice->candidates)},
       {"resident", choice->chosen.resident ? "true" : "false"},
       {"load", std::to_string(choice->chosen.reported_load +
                               choice->chosen.sent_since)}});
  SendRunRequest(now, pending);
}

void RequestScheduler::SendRunRequest(TimePoint now, PendingRequest& pending) {
  const CallerRequest& request = pending.request;
  RunRequest run{
      .id = {.request = request.id, .attempt = pending.attempt},
      .method = request.method,
      .path = request.path,
      .content_type = request.content_type,
      .body = request.body,
      .model = pending.served.model,
      .adapter = pending.served.adapter,
      .stream = request.stream,
      .cache_salt = std::to_string(StableHash("cache-salt/" + pending.team)),
      .team = pending.team,
      .priority = request.priority,
      .cost = pending.cost,
      .remaining_time = std::max(pending.deadline - now, Duration::zero()),
      .resume_after = pending.event_parser.tokens(),
      .suspect = pending.trial_number != 0,
      .response_limit = pending.response_limit};
  m_state.Emit(SendToEndpoint{.endpoint = pending.agent_endpoint,
                              .message = std::move(run)});
}

void RequestScheduler::WaitForAgent(TimePoint /*now*/,
                                    PendingRequest& pending,
                                    TimePoint until) {
  pending.stage = RequestStage::kWaitingAgent;
  m_waiting_agent[pending.request.id] = until;
}

// --- Quarantine ---

bool RequestScheduler::CheckQuarantine(TimePoint now, PendingRequest& pending) {
  const QuarantineVerdict verdict =
      m_quarantine.VerdictFor(now, pending.fingerprint);
  if (verdict == QuarantineVerdict::kClean ||
      (pending.trial_granted && pending.trial_number != 0 &&
       verdict == QuarantineVerdict::kSuspect))
    return true;
  if (verdict == QuarantineVerdict::kConvicted) {
    m_state.Log(LogEvent::kFingerprintConvicted,
                {{"request", std::to_string(pending.request.id)},
                 {"fingerprint", std::to_string(pending.fingerprint)}});
    Refuse(now, pending,
           {.code = RefusalCode::kPoisoned,
            .execution = ExecutionOf(pending),
            .message =
                "this request has crashed two upstreams and is not run again"});
    return false;
  }
  if (pending.trial_number == 0) {
    pending.trial_number = ++m_last_trial;
    m_trials[pending.trial_number] = pending.request.id;
  }
  SendTrialSlotRequest(pending, false);
  WaitForAgent(now, pending, now + kTrialRetryDelay);
  return false;
}

void RequestScheduler::SendTrialSlotRequest(PendingRequest& pending,
                                            bool release) {
  const std::string pool =
      kTrialPoolPrefix + std::to_string(pending.fingerprint);
  const std::vector<std::string> order =
      RendezvousOrder("slots/" + pool, m_state.roster.LiveRouters());
  if (order.empty())
    return;
  m_state.SendToVm(order.front(),
                   SlotRequest{.number = pending.trial_number,
                               .pool = pool,
                               .priority = pending.request.priority,
                               .release = release});
}

void RequestScheduler::Handle(TimePoint now, const SlotGrant& grant) {
  const auto found = m_trials.find(grant.number);
  PendingRequest* pending =
      found == m_trials.end() ? nullptr : Find(found->second);
  if (pending == nullptr || pending->trial_granted || !grant.granted)
    return;
  pending->trial_granted = true;
  if (m_waiting_agent.erase(pending->request.id) > 0)
    Dispatch(now, *pending);
}

void RequestScheduler::RecordCrash(TimePoint now,
                                   PendingRequest& pending,
                                   const std::string& crash) {
  const CrashNotice notice{.fingerprint = pending.fingerprint, .crash = crash};
  if (!m_quarantine.Apply(now, notice))
    return;
  for (const std::string& router : m_state.roster.LiveRouters()) {
    if (router != m_state.options.vm)
      m_state.SendToVm(router, notice);
  }
}

void RequestScheduler::ShareCrashEvidence(TimePoint now) {
  if (now < m_next_evidence_share)
    return;
  m_next_evidence_share = now + kEvidenceSharePeriod;
  const std::vector<CrashNotice> notices = m_quarantine.EvidenceNotices(now);
  const std::vector<std::string>& routers = m_state.roster.LiveRouters();
  if (notices.empty() || routers.empty())
    return;
  const std::string& vm = routers[m_state.random.Below(routers.size())];
  if (vm == m_state.options.vm)
    return;
  for (const CrashNotice& notice : notices)
    m_state.SendToVm(vm, notice);
}

// --- Messages from agents ---

PendingRequest* RequestScheduler::FindAttempt(const PeerSender& from,
                                              const AttemptId& id) {
  PendingRequest* pending = Find(id.request);
  // Replies to an earlier attempt, or from another agent, are stale.
  const bool current =
      pending != nullptr && pending->stage == RequestStage::kRunning &&
      pending->attempt == id.attempt && pending->agent_vm == from.vm;
  return current ? pending : nullptr;
}

void RequestScheduler::Handle(TimePoint now,
                              const PeerSender& from,
                              const RunProgress& message) {
  PendingRequest* pending = FindAttempt(from, message.id);
  if (pending == nullptr) {
    // The agent runs an attempt that is no longer current.
    m_state.Emit(SendToEndpoint{.endpoint = from.endpoint,
                                .message = CancelRun{.id = message.id}});
    return;
  }
  pending->acknowledged = true;
  pending->last_message = now;
  // The last credit may have been lost.
  if (pending->received_bytes > 0)
    SendCredit(*pending);
}

void RequestScheduler::Handle(TimePoint now,
                              const PeerSender& from,
                              RunHead message) {
  PendingRequest* pending = FindAttempt(from, message.id);
  if (pending == nullptr)
    return;
  pending->acknowledged = true;
  pending->may_have_run = true;
  pending->last_message = now;
  pending->head = std::move(message.head);
}

void RequestScheduler::Handle(TimePoint now,
                              const PeerSender& from,
                              RunChunk message) {
  PendingRequest* pending = FindAttempt(from, message.id);
  if (pending == nullptr)
    return;
  pending->last_message = now;
  if (message.sequence != pending->next_chunk) {
    CancelAttempt(*pending);
    HandleAttemptFailure(now, *pending, "a chunk of the response was lost");
    return;
  }
  ++pending->next_chunk;
  if (pending->first_byte == kNever)
    pending->first_byte = now;
  const bool streamed = pending->request.stream && pending->head.status == 200;
  pending->received_bytes += message.bytes.size();
  if (!streamed) {
    pending->body += message.bytes;
    RecordHeldBytes(*pending, pending->body.size());
    if (HoldsTooMuch(*pending, kMaxBodyBytes)) {
      CancelAttempt(*pending);
      HandleAttemptFailure(now, *pending, "the response is too large");
      return;
    }
    ExtendCredit(*pending);
    return;
  }
  std::string events = pending->event_parser.Append(message.bytes);
  RecordHeldBytes(*pending, pending->event_parser.partial_bytes());
  if (HoldsTooMuch(*pending, EventStreamParser::kMaxEventSize)) {
    CancelAttempt(*pending);
    HandleAttemptFailure(now, *pending, "an event is too large");
    return;
  }
  if (!pending->abandoned)
    pending->passed_bytes += events.size();
  ExtendCredit(*pending);
  if (events.empty() || pending->abandoned)
    return;
  if (!pending->head_sent) {
    pending->head_sent = true;
    m_state.Emit(CallerResponseHead{
        .id = pending->request.id, .head = pending->head, .stream = true});
  }
  m_state.Emit(CallerResponseBytes{.id = pending->request.id,
                                   .bytes = std::move(events)});
}

void RequestScheduler::Handle(TimePoint now,
                              const PeerSender& from,
                              const RunEnded& message) {
  m_agents.ApplyReport(now, from.vm, message.report);
  PendingRequest* pending = FindAttempt(from, message.id);
  if (pending == nullptr)
    return;
  switch (message.outcome) {
    case RunOutcome::kComplete:
      if (message.chunks != pending->next_chunk)
        HandleAttemptFailure(now, *pending, "a chunk of the response was lost");
      else
        HandleAttemptComplete(now, *pending);
      return;
    case RunOutcome::kNotRun:
      HandleNotRun(now, *pending, message.detail);
      return;
    case RunOutcome::kCrashed:
      RecordCrash(now, *pending, message.crash);
      HandleAttemptFailure(now, *pending, message.detail);
      return;
    case RunOutcome::kInterrupted:
      HandleAttemptFailure(now, *pending, message.detail);
      return;
  }
}

void RequestScheduler::HandleAttemptComplete(TimePoint now,
                                             PendingRequest& pending) {
  const bool truncated = pending.request.stream && pending.head.status == 200 &&
                         !pending.event_parser.finished();
  if (truncated) {
    HandleAttemptFailure(now, pending,
                         "the stream ended before its last event");
    return;
  }
  if (pending.trial_number != 0) {
    const CrashNotice cleared{.fingerprint = pending.fingerprint,
                              .cleared = true};
    m_quarantine.Apply(now, cleared);
    for (const std::string& router : m_state.roster.LiveRouters()) {
      if (router != m_state.options.vm)
        m_state.SendToVm(router, cleared);
    }
  }
  if (pending.claim_token != 0)
    StartStoringOutcome(now, pending, IdempotencyResult::kWhole);
  else
    Complete(now, pending);
}

void RequestScheduler::HandleNotRun(TimePoint now,
                                    PendingRequest& pending,
                                    const std::string& reason) {
  pending.failed_agents.insert(pending.agent_vm);
  m_state.Log(LogEvent::kRequestRetried,
              {{"request", std::to_string(pending.request.id)},
               {"agent", pending.agent_vm},
               {"end", "not_run"},
               {"why", reason}});
  WaitForAgent(now, pending, now + kRedispatchDelay);
}

void RequestScheduler::HandleAttemptFailure(TimePoint now,
                                            PendingRequest& pending,
                                            const std::string& reason) {
  pending.may_have_run = true;
  pending.failed_agents.insert(pending.agent_vm);
  pending.event_parser.DiscardPartialEvent();
  pending.body.clear();
  RecordHeldBytes(pending, 0);
  if (!pending.repeatable) {
    // The refusal must agree with the outcome that retries will find. Leaving
    // kRunning makes Refuse store the outcome, too.
    if (!pending.abandoned) {
      pending.stage = RequestStage::kWaitingAgent;
      Refuse(now, pending,
             {.code = RefusalCode::kUpstreamFailed,
              .execution = ExecutionStatus::kUnknown,
              .message =
                  "the upstream failed while it ran the request: " + reason});
    } else {
      StartStoringOutcome(now, pending, IdempotencyResult::kUnknown);
    }
    return;
  }
  if (pending.abandoned) {
    Erase(pending);
    return;
  }
  if (!m_retry_budget.TryConsume()) {
    pending.stage = RequestStage::kWaitingAgent;
    Refuse(
        now, pending,
        {.code = RefusalCode::kUpstreamFailed,
         .execution = ExecutionStatus::kUnknown,
         .message =
             "the upstream failed, and the retry budget is used up: " + reason,
         .retry_after = std::chrono::seconds(1)});
    return;
  }
  ++m_metrics.retries;
  m_state.Log(LogEvent::kRequestRetried,
              {{"request", std::to_string(pending.request.id)},
               {"agent", pending.agent_vm},
               {"end", "cut"},
               {"why", reason},
               {"tokens", std::to_string(pending.event_parser.tokens())}});
  pending.trial_granted = false;
  Dispatch(now, pending);
}

// --- Flow control ---

void RequestScheduler::RecordHeldBytes(PendingRequest& pending,
                                       std::size_t bytes) {
  m_flow.RecordBuffered(pending.held_bytes, bytes);
  pending.held_bytes = bytes;
}

bool RequestScheduler::HoldsTooMuch(const PendingRequest& pending,
                                    std::size_t limit) const {
  return pending.held_bytes > limit ||
         (m_flow.IsMemoryShort() && m_flow.MustPause(pending.held_bytes));
}

void RequestScheduler::Handle(const CallerResponseWritten& event) {
  m_flow.RecordUnsent(event.total_unsent);
  PendingRequest* pending = Find(event.id);
  if (pending == nullptr)
    return;
  pending->written_bytes = std::max(pending->written_bytes, event.written);
  if (pending->stage == RequestStage::kRunning)
    ExtendCredit(*pending);
}

void RequestScheduler::ExtendCredit(PendingRequest& pending) {
  const std::uint64_t unsent =
      pending.passed_bytes -
      std::min(pending.passed_bytes, pending.written_bytes);
  const std::uint64_t window = m_flow.Window();
  if (unsent >= window)
    return;
  const std::uint64_t limit = pending.received_bytes + window - unsent;
  // Few messages are enough for a caller that reads.
  if (limit < pending.response_limit + window / 2)
    return;
  pending.response_limit = limit;
  SendCredit(pending);
}

void RequestScheduler::SendCredit(const PendingRequest& pending) {
  const AttemptId id{.request = pending.request.id, .attempt = pending.attempt};
  m_state.Emit(SendToEndpoint{
      .endpoint = pending.agent_endpoint,
      .message =
          RunCredit{.id = id, .response_limit = pending.response_limit}});
}

void RequestScheduler::CancelAttempt(PendingRequest& pending) {
  const AttemptId id{.request = pending.request.id, .attempt = pending.attempt};
  m_state.Emit(SendToEndpoint{.endpoint = pending.agent_endpoint,
                              .message = CancelRun{.id = id}});
}

// --- Timeouts ---

void RequestScheduler::CheckSilence(TimePoint now, PendingRequest& pending) {
  const Duration silence = now - pending.last_message;
  if (!pending.acknowledged && !pending.resent && silence >= kAckTimeout) {
    pending.resent = true;
    m_state.Emit(ReconnectPeer{.endpoint = pending.agent_endpoint});
    SendRunRequest(now, pending);
    return;
  }
  if (silence < kSilenceTimeout)
    return;
  m_state.Log(LogEvent::kUpstreamSilent,
              {{"request", std::to_string(pending.request.id)},
               {"agent", pending.agent_vm}});
  m_agents.MarkUnresponsive(now, pending.agent_vm);
  m_state.Emit(ReconnectPeer{.endpoint = pending.agent_endpoint});
  CancelAttempt(pending);
  HandleAttemptFailure(now, pending, "the agent stopped responding");
}

void RequestScheduler::CheckTimeouts(TimePoint now) {
  std::vector<RequestId> running;
  std::vector<RequestId> claims;
  for (const auto& [id, pending] : m_pending) {
    if (pending.stage == RequestStage::kRunning &&
        now - pending.last_message >= kAckTimeout)
      running.push_back(id);
    if (pending.next_claim_message <= now)
      claims.push_back(id);
  }
  for (const RequestId id : running)
    CheckSilence(now, *Find(id));
  for (const RequestId id : claims) {
    PendingRequest* pending = Find(id);
    if (pending == nullptr)
      continue;
    if (pending->stage == RequestStage::kClaiming) {
      SendClaim(now, *pending);
      continue;
    }
    if (now >= pending->store_outcome_deadline && !pending->abandoned) {
      CompleteResponse(now, *pending);
      pending->abandoned = true;
    }
    SendOutcome(now, *pending);
  }
}

}  // namespace boragepick
