// The part of RequestScheduler that deals with attempts: choice of an agent,
// progress, retries.

#include <algorithm>

#include "common/hashing.h"
#include "core/router/request_scheduler.h"
#include "core/scheduling/slot_semaphore.h"

namespace boragepick {

namespace {

constexpr Duration kNoAgentDelay = std::chrono::milliseconds(50);
constexpr Duration kTrialDelay = std::chrono::milliseconds(200);

}  // namespace

void RequestScheduler::Dispatch(TimePoint now, PendingRequest& pending) {
  if (pending.abandoned)
    return;
  if (pending.attempt >= kMaxAttempts) {
    Refuse(now, pending,
           {.code = RefusalCode::kNoCapacity,
            .execution = ExecutionOf(pending),
            .message = "no agent could take it in several attempts",
            .retry_after = std::chrono::seconds(1)});
    return;
  }
  if (!MayRunSuspect(now, pending))
    return;
  const AgentTable::Question question{
      .model = pending.served.model,
      .pool = pending.pool,
      .affinity = pending.request.affinity,
      .data_centre = m_state.options.data_centre,
      .avoid = &pending.avoid};
  const std::optional<AgentChoice> choice = m_agents.Choose(
      now, question, m_state.view, m_state.roster, m_policy, m_state.random);
  if (!choice) {
    // why: when each agent has failed it, the first may do better by now
    pending.avoid.clear();
    WaitForAgent(now, pending, now + kNoAgentDelay);
    return;
  }
  ++pending.attempt;
  pending.stage = RequestStage::kRunning;
  pending.agent_vm = choice->vm;
  pending.agent_endpoint = choice->endpoint;
  pending.attempt_started = now;
  pending.last_heard = now;
  pending.acknowledged = false;
  pending.resent = false;
  pending.next_chunk = 0;
  pending.cold = pending.cold ||
                 (!pending.served.model.empty() && !choice->chosen.resident);
  m_agents.Sent(choice->vm);
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
  SendRun(now, pending);
}

void RequestScheduler::SendRun(TimePoint now, PendingRequest& pending) {
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
      .resume_after = pending.events.tokens(),
      .suspect = pending.trial != 0};
  m_state.Emit(SendToEndpoint{.endpoint = pending.agent_endpoint,
                              .message = std::move(run)});
}

void RequestScheduler::WaitForAgent(TimePoint /*now*/,
                                    PendingRequest& pending,
                                    TimePoint until) {
  pending.stage = RequestStage::kWaitingAgent;
  m_waiting_agent[pending.request.id] = until;
}

// --- Suspects
// -------------------------------------------------------------------------------------

bool RequestScheduler::MayRunSuspect(TimePoint now, PendingRequest& pending) {
  const QuarantineVerdict verdict =
      m_quarantine.Judge(now, pending.fingerprint);
  if (verdict == QuarantineVerdict::kClean ||
      (pending.trial_granted && pending.trial != 0 &&
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
  if (pending.trial == 0) {
    pending.trial = ++m_last_trial;
    m_trials[pending.trial] = pending.request.id;
  }
  AskForTrial(pending, false);
  WaitForAgent(now, pending, now + kTrialDelay);
  return false;
}

void RequestScheduler::AskForTrial(PendingRequest& pending, bool done) {
  const std::string pool =
      kTrialPoolPrefix + std::to_string(pending.fingerprint);
  const std::vector<std::string> order =
      RendezvousOrder("slots/" + pool, m_state.roster.LiveRouters());
  if (order.empty())
    return;
  m_state.SendToVm(order.front(),
                   SlotRequest{.number = pending.trial,
                               .pool = pool,
                               .priority = pending.request.priority,
                               .release = done});
}

void RequestScheduler::Take(TimePoint now, const SlotGrant& grant) {
  const auto found = m_trials.find(grant.number);
  PendingRequest* pending =
      found == m_trials.end() ? nullptr : Find(found->second);
  if (pending == nullptr || pending->trial_granted || !grant.granted)
    return;
  pending->trial_granted = true;
  if (m_waiting_agent.erase(pending->request.id) > 0)
    Dispatch(now, *pending);
}

void RequestScheduler::TakeCrash(TimePoint now,
                                 PendingRequest& pending,
                                 const std::string& crash) {
  const CrashNotice notice{.fingerprint = pending.fingerprint, .crash = crash};
  if (!m_quarantine.Take(now, notice))
    return;
  for (const std::string& router : m_state.roster.LiveRouters()) {
    if (router != m_state.options.vm)
      m_state.SendToVm(router, notice);
  }
}

// --- Messages of agents
// ---------------------------------------------------------------------------

PendingRequest* RequestScheduler::FindAttempt(const PeerSender& from,
                                              const AttemptId& id) {
  PendingRequest* pending = Find(id.request);
  // why: an answer to another attempt, or from another agent, is late or
  // crossed
  const bool current =
      pending != nullptr && pending->stage == RequestStage::kRunning &&
      pending->attempt == id.attempt && pending->agent_vm == from.vm;
  return current ? pending : nullptr;
}

void RequestScheduler::Take(TimePoint now,
                            const PeerSender& from,
                            const RunProgress& message) {
  PendingRequest* pending = FindAttempt(from, message.id);
  if (pending == nullptr) {
    // why: the agent works on something that nobody waits for any more
    m_state.Emit(SendToEndpoint{.endpoint = from.endpoint,
                                .message = CancelRun{.id = message.id}});
    return;
  }
  pending->acknowledged = true;
  pending->last_heard = now;
}

void RequestScheduler::Take(TimePoint now,
                            const PeerSender& from,
                            RunHead message) {
  PendingRequest* pending = FindAttempt(from, message.id);
  if (pending == nullptr)
    return;
  pending->acknowledged = true;
  pending->may_have_run = true;
  pending->last_heard = now;
  pending->head = std::move(message.head);
}

void RequestScheduler::Take(TimePoint now,
                            const PeerSender& from,
                            RunChunk message) {
  PendingRequest* pending = FindAttempt(from, message.id);
  if (pending == nullptr)
    return;
  pending->last_heard = now;
  if (message.sequence != pending->next_chunk) {
    CancelAttempt(*pending);
    AttemptLost(now, *pending, "a part of the answer was lost");
    return;
  }
  ++pending->next_chunk;
  if (pending->first_byte == kNever)
    pending->first_byte = now;
  const bool streamed = pending->request.stream && pending->head.status == 200;
  if (!streamed) {
    pending->body += message.bytes;
    if (pending->body.size() > kMaxBodyBytes) {
      CancelAttempt(*pending);
      AttemptLost(now, *pending, "the answer is too large");
    }
    return;
  }
  std::string events = pending->events.Take(message.bytes);
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

void RequestScheduler::Take(TimePoint now,
                            const PeerSender& from,
                            const RunEnded& message) {
  m_agents.TakeReport(now, from.vm, message.report);
  PendingRequest* pending = FindAttempt(from, message.id);
  if (pending == nullptr)
    return;
  switch (message.outcome) {
    case RunOutcome::kComplete:
      if (message.chunks != pending->next_chunk)
        AttemptLost(now, *pending, "a part of the answer was lost");
      else
        AttemptWhole(now, *pending);
      return;
    case RunOutcome::kNotRun:
      AttemptNotRun(now, *pending, message.detail);
      return;
    case RunOutcome::kCrashed:
      TakeCrash(now, *pending, message.crash);
      AttemptLost(now, *pending, message.detail);
      return;
    case RunOutcome::kInterrupted:
      AttemptLost(now, *pending, message.detail);
      return;
  }
}

void RequestScheduler::AttemptWhole(TimePoint now, PendingRequest& pending) {
  const bool cut_stream = pending.request.stream &&
                          pending.head.status == 200 &&
                          !pending.events.finished();
  if (cut_stream) {
    AttemptLost(now, pending, "the stream ended before its last event");
    return;
  }
  if (pending.trial != 0) {
    const CrashNotice cleared{.fingerprint = pending.fingerprint,
                              .cleared = true};
    m_quarantine.Take(now, cleared);
    for (const std::string& router : m_state.roster.LiveRouters()) {
      if (router != m_state.options.vm)
        m_state.SendToVm(router, cleared);
    }
  }
  if (pending.claim_token != 0)
    SendOutcome(now, pending, IdempotencyResult::kWhole);
  else
    Finish(now, pending);
}

void RequestScheduler::AttemptNotRun(TimePoint now,
                                     PendingRequest& pending,
                                     const std::string& why) {
  pending.avoid.insert(pending.agent_vm);
  m_state.Log(LogEvent::kRequestRetried,
              {{"request", std::to_string(pending.request.id)},
               {"agent", pending.agent_vm},
               {"end", "not_run"},
               {"why", why}});
  WaitForAgent(now, pending, now + kRedispatchDelay);
}

void RequestScheduler::AttemptLost(TimePoint now,
                                   PendingRequest& pending,
                                   const std::string& why) {
  pending.may_have_run = true;
  pending.avoid.insert(pending.agent_vm);
  pending.events.DropPartial();
  pending.body.clear();
  if (!pending.repeatable) {
    // why: the refusal is true only together with the record that retries will
    // find
    if (!pending.abandoned) {
      pending.stage = RequestStage::kWaitingAgent;
      Refuse(now, pending,
             {.code = RefusalCode::kUpstreamFailed,
              .execution = ExecutionStatus::kUnknown,
              .message = "the upstream failed while it ran: " + why});
    } else {
      SendOutcome(now, pending, IdempotencyResult::kUnknown);
    }
    return;
  }
  if (pending.abandoned) {
    Forget(pending);
    return;
  }
  if (!m_retry_budget.TryConsume()) {
    pending.stage = RequestStage::kWaitingAgent;
    Refuse(
        now, pending,
        {.code = RefusalCode::kUpstreamFailed,
         .execution = ExecutionStatus::kUnknown,
         .message =
             "the upstream failed, and too many retries are under way: " + why,
         .retry_after = std::chrono::seconds(1)});
    return;
  }
  ++m_metrics.retries;
  m_state.Log(LogEvent::kRequestRetried,
              {{"request", std::to_string(pending.request.id)},
               {"agent", pending.agent_vm},
               {"end", "cut"},
               {"why", why},
               {"tokens", std::to_string(pending.events.tokens())}});
  pending.trial_granted = false;
  Dispatch(now, pending);
}

void RequestScheduler::CancelAttempt(PendingRequest& pending) {
  const AttemptId id{.request = pending.request.id, .attempt = pending.attempt};
  m_state.Emit(SendToEndpoint{.endpoint = pending.agent_endpoint,
                              .message = CancelRun{.id = id}});
}

// --- Silence
// --------------------------------------------------------------------------------------

void RequestScheduler::CheckSilence(TimePoint now, PendingRequest& pending) {
  const Duration silent = now - pending.last_heard;
  if (!pending.acknowledged && !pending.resent && silent >= kAckTimeout) {
    pending.resent = true;
    m_state.Emit(ReconnectPeer{.endpoint = pending.agent_endpoint});
    SendRun(now, pending);
    return;
  }
  if (silent < kSilence)
    return;
  m_state.Log(LogEvent::kUpstreamSilent,
              {{"request", std::to_string(pending.request.id)},
               {"agent", pending.agent_vm}});
  m_agents.Distrust(now, pending.agent_vm);
  m_state.Emit(ReconnectPeer{.endpoint = pending.agent_endpoint});
  CancelAttempt(pending);
  AttemptLost(now, pending, "the agent fell silent");
}

void RequestScheduler::CheckProgress(TimePoint now) {
  std::vector<RequestId> running;
  std::vector<RequestId> claims;
  for (const auto& [id, pending] : m_pending) {
    if (pending.stage == RequestStage::kRunning &&
        now - pending.last_heard >= kAckTimeout)
      running.push_back(id);
    if (pending.next_claim_send <= now)
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
    if (now >= pending->give_up_storing && !pending->abandoned) {
      AnswerWhole(now, *pending);
      pending->abandoned = true;
    }
    SendOutcomeAgain(now, *pending);
  }
}

}  // namespace boragepick
