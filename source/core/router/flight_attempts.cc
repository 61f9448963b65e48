// The part of FlightDesk that deals with attempts: choice of an agent,
// progress, retries.

#include <algorithm>

#include "common/hashing.h"
#include "core/router/flight_desk.h"
#include "core/routing/slot_desk.h"

namespace boragepick {

namespace {

constexpr Duration kNoAgentDelay = std::chrono::milliseconds(50);
constexpr Duration kTrialDelay = std::chrono::milliseconds(200);

}  // namespace

void FlightDesk::Dispatch(TimePoint now, Flight& flight) {
  if (flight.abandoned)
    return;
  if (flight.attempt >= kMaxAttempts) {
    Refuse(now, flight,
           {.code = RefusalCode::kNoCapacity,
            .ran = RanOf(flight),
            .message = "no agent could take it in several attempts",
            .retry_after = std::chrono::seconds(1)});
    return;
  }
  if (!MayRunSuspect(now, flight))
    return;
  const AgentTable::Question question{
      .model = flight.served.model,
      .pool = flight.pool,
      .affinity = flight.request.affinity,
      .data_centre = m_state.options.data_centre,
      .avoid = &flight.avoid};
  const std::optional<AgentChoice> choice = m_agents.Choose(
      now, question, m_state.view, m_state.roster, m_policy, m_state.random);
  if (!choice) {
    // why: when each agent has failed it, the first may do better by now
    flight.avoid.clear();
    WaitForAgent(now, flight, now + kNoAgentDelay);
    return;
  }
  ++flight.attempt;
  flight.stage = FlightStage::kRunning;
  flight.agent_vm = choice->vm;
  flight.agent_endpoint = choice->endpoint;
  flight.attempt_started = now;
  flight.last_heard = now;
  flight.acknowledged = false;
  flight.resent = false;
  flight.next_chunk = 0;
  flight.cold =
      flight.cold || (!flight.served.model.empty() && !choice->chosen.resident);
  m_agents.Sent(choice->vm);
  m_state.Log(
      LogEvent::kRequestRouted,
      {{"request", std::to_string(flight.request.id)},
       {"attempt", std::to_string(flight.attempt)},
       {"team", flight.team},
       {"target", flight.pool.empty() ? flight.request.model : flight.pool},
       {"agent", choice->vm},
       {"candidates", std::to_string(choice->candidates)},
       {"resident", choice->chosen.resident ? "true" : "false"},
       {"load", std::to_string(choice->chosen.reported_load +
                               choice->chosen.sent_since)}});
  SendRun(now, flight);
}

void FlightDesk::SendRun(TimePoint now, Flight& flight) {
  const CallerRequest& request = flight.request;
  RunRequest run{
      .id = {.request = request.id, .attempt = flight.attempt},
      .method = request.method,
      .path = request.path,
      .content_type = request.content_type,
      .body = request.body,
      .model = flight.served.model,
      .adapter = flight.served.adapter,
      .stream = request.stream,
      .cache_salt = std::to_string(StableHash("cache-salt/" + flight.team)),
      .team = flight.team,
      .priority = request.priority,
      .cost = flight.cost,
      .patience = std::max(flight.deadline - now, Duration::zero()),
      .resume_after = flight.events.tokens(),
      .suspect = flight.trial != 0};
  m_state.Emit(SendToEndpoint{.endpoint = flight.agent_endpoint,
                              .message = std::move(run)});
}

void FlightDesk::WaitForAgent(TimePoint /*now*/,
                              Flight& flight,
                              TimePoint until) {
  flight.stage = FlightStage::kWaitingAgent;
  m_waiting_agent[flight.request.id] = until;
}

// --- Suspects
// -------------------------------------------------------------------------------------

bool FlightDesk::MayRunSuspect(TimePoint now, Flight& flight) {
  const PoisonVerdict verdict = m_poison.Judge(now, flight.fingerprint);
  if (verdict == PoisonVerdict::kClean ||
      (flight.trial_granted && flight.trial != 0 &&
       verdict == PoisonVerdict::kSuspect))
    return true;
  if (verdict == PoisonVerdict::kConvicted) {
    m_state.Log(LogEvent::kFingerprintConvicted,
                {{"request", std::to_string(flight.request.id)},
                 {"fingerprint", std::to_string(flight.fingerprint)}});
    Refuse(now, flight,
           {.code = RefusalCode::kPoisoned,
            .ran = RanOf(flight),
            .message =
                "this request has crashed two upstreams and is not run again"});
    return false;
  }
  if (flight.trial == 0) {
    flight.trial = ++m_last_trial;
    m_trials[flight.trial] = flight.request.id;
  }
  AskForTrial(flight, false);
  WaitForAgent(now, flight, now + kTrialDelay);
  return false;
}

void FlightDesk::AskForTrial(Flight& flight, bool done) {
  const std::string pool =
      kTrialSlotsPrefix + std::to_string(flight.fingerprint);
  const std::vector<std::string> order =
      RendezvousOrder("slots/" + pool, m_state.roster.LiveRouters());
  if (order.empty())
    return;
  m_state.SendToVm(order.front(), SlotAsk{.number = flight.trial,
                                          .pool = pool,
                                          .priority = flight.request.priority,
                                          .done = done});
}

void FlightDesk::Take(TimePoint now, const SlotGrant& grant) {
  const auto found = m_trials.find(grant.number);
  Flight* flight = found == m_trials.end() ? nullptr : Find(found->second);
  if (flight == nullptr || flight->trial_granted || !grant.granted)
    return;
  flight->trial_granted = true;
  if (m_waiting_agent.erase(flight->request.id) > 0)
    Dispatch(now, *flight);
}

void FlightDesk::TakeCrash(TimePoint now,
                           Flight& flight,
                           const std::string& crash) {
  const CrashNotice notice{.fingerprint = flight.fingerprint, .crash = crash};
  if (!m_poison.Take(now, notice))
    return;
  for (const std::string& router : m_state.roster.LiveRouters()) {
    if (router != m_state.options.vm)
      m_state.SendToVm(router, notice);
  }
}

// --- Messages of agents
// ---------------------------------------------------------------------------

Flight* FlightDesk::FindAttempt(const PeerSender& from, const AttemptId& id) {
  Flight* flight = Find(id.request);
  // why: an answer to another attempt, or from another agent, is late or
  // crossed
  const bool current =
      flight != nullptr && flight->stage == FlightStage::kRunning &&
      flight->attempt == id.attempt && flight->agent_vm == from.vm;
  return current ? flight : nullptr;
}

void FlightDesk::Take(TimePoint now,
                      const PeerSender& from,
                      const RunProgress& message) {
  Flight* flight = FindAttempt(from, message.id);
  if (flight == nullptr) {
    // why: the agent works on something that nobody waits for any more
    m_state.Emit(SendToEndpoint{.endpoint = from.endpoint,
                                .message = CancelRun{.id = message.id}});
    return;
  }
  flight->acknowledged = true;
  flight->last_heard = now;
}

void FlightDesk::Take(TimePoint now, const PeerSender& from, RunHead message) {
  Flight* flight = FindAttempt(from, message.id);
  if (flight == nullptr)
    return;
  flight->acknowledged = true;
  flight->may_have_run = true;
  flight->last_heard = now;
  flight->head = std::move(message.head);
}

void FlightDesk::Take(TimePoint now, const PeerSender& from, RunChunk message) {
  Flight* flight = FindAttempt(from, message.id);
  if (flight == nullptr)
    return;
  flight->last_heard = now;
  if (message.sequence != flight->next_chunk) {
    CancelAttempt(*flight);
    AttemptLost(now, *flight, "a part of the answer was lost");
    return;
  }
  ++flight->next_chunk;
  if (flight->first_byte == kNever)
    flight->first_byte = now;
  const bool streamed = flight->request.stream && flight->head.status == 200;
  if (!streamed) {
    flight->body += message.bytes;
    if (flight->body.size() > kMaxBodyBytes) {
      CancelAttempt(*flight);
      AttemptLost(now, *flight, "the answer is too large");
    }
    return;
  }
  std::string events = flight->events.Take(message.bytes);
  if (events.empty() || flight->abandoned)
    return;
  if (!flight->head_sent) {
    flight->head_sent = true;
    m_state.Emit(CallerHead{
        .id = flight->request.id, .head = flight->head, .stream = true});
  }
  m_state.Emit(
      CallerBytes{.id = flight->request.id, .bytes = std::move(events)});
}

void FlightDesk::Take(TimePoint now,
                      const PeerSender& from,
                      const RunEnded& message) {
  m_agents.TakeReport(now, from.vm, message.report);
  Flight* flight = FindAttempt(from, message.id);
  if (flight == nullptr)
    return;
  switch (message.end) {
    case RunEnd::kWhole:
      if (message.chunks != flight->next_chunk)
        AttemptLost(now, *flight, "a part of the answer was lost");
      else
        AttemptWhole(now, *flight);
      return;
    case RunEnd::kNotRun:
      AttemptNotRun(now, *flight, message.detail);
      return;
    case RunEnd::kCrashed:
      TakeCrash(now, *flight, message.crash);
      AttemptLost(now, *flight, message.detail);
      return;
    case RunEnd::kCut:
      AttemptLost(now, *flight, message.detail);
      return;
  }
}

void FlightDesk::AttemptWhole(TimePoint now, Flight& flight) {
  const bool cut_stream = flight.request.stream && flight.head.status == 200 &&
                          !flight.events.finished();
  if (cut_stream) {
    AttemptLost(now, flight, "the stream ended before its last event");
    return;
  }
  if (flight.trial != 0) {
    const CrashNotice cleared{.fingerprint = flight.fingerprint,
                              .cleared = true};
    m_poison.Take(now, cleared);
    for (const std::string& router : m_state.roster.LiveRouters()) {
      if (router != m_state.options.vm)
        m_state.SendToVm(router, cleared);
    }
  }
  if (flight.claim_token != 0)
    SendOutcome(now, flight, OnceResult::kWhole);
  else
    Finish(now, flight);
}

void FlightDesk::AttemptNotRun(TimePoint now,
                               Flight& flight,
                               const std::string& why) {
  flight.avoid.insert(flight.agent_vm);
  m_state.Log(LogEvent::kRequestRetried,
              {{"request", std::to_string(flight.request.id)},
               {"agent", flight.agent_vm},
               {"end", "not_run"},
               {"why", why}});
  WaitForAgent(now, flight, now + kRedispatchDelay);
}

void FlightDesk::AttemptLost(TimePoint now,
                             Flight& flight,
                             const std::string& why) {
  flight.may_have_run = true;
  flight.avoid.insert(flight.agent_vm);
  flight.events.DropPartial();
  flight.body.clear();
  if (!flight.repeatable) {
    // why: the refusal is true only together with the record that retries will
    // find
    if (!flight.abandoned) {
      flight.stage = FlightStage::kWaitingAgent;
      Refuse(now, flight,
             {.code = RefusalCode::kUpstreamFailed,
              .ran = Ran::kUnknown,
              .message = "the upstream failed while it ran: " + why});
    } else {
      SendOutcome(now, flight, OnceResult::kUnknown);
    }
    return;
  }
  if (flight.abandoned) {
    Forget(flight);
    return;
  }
  if (!m_retry_budget.TakeRetry()) {
    flight.stage = FlightStage::kWaitingAgent;
    Refuse(
        now, flight,
        {.code = RefusalCode::kUpstreamFailed,
         .ran = Ran::kUnknown,
         .message =
             "the upstream failed, and too many retries are under way: " + why,
         .retry_after = std::chrono::seconds(1)});
    return;
  }
  ++m_metrics.retries;
  m_state.Log(LogEvent::kRequestRetried,
              {{"request", std::to_string(flight.request.id)},
               {"agent", flight.agent_vm},
               {"end", "cut"},
               {"why", why},
               {"tokens", std::to_string(flight.events.tokens())}});
  flight.trial_granted = false;
  Dispatch(now, flight);
}

void FlightDesk::CancelAttempt(Flight& flight) {
  const AttemptId id{.request = flight.request.id, .attempt = flight.attempt};
  m_state.Emit(SendToEndpoint{.endpoint = flight.agent_endpoint,
                              .message = CancelRun{.id = id}});
}

// --- Silence
// --------------------------------------------------------------------------------------

void FlightDesk::CheckSilence(TimePoint now, Flight& flight) {
  const Duration silent = now - flight.last_heard;
  if (!flight.acknowledged && !flight.resent && silent >= kAckTimeout) {
    flight.resent = true;
    m_state.Emit(RenewPeer{.endpoint = flight.agent_endpoint});
    SendRun(now, flight);
    return;
  }
  if (silent < kSilence)
    return;
  m_state.Log(LogEvent::kUpstreamSilent,
              {{"request", std::to_string(flight.request.id)},
               {"agent", flight.agent_vm}});
  m_agents.Distrust(now, flight.agent_vm);
  m_state.Emit(RenewPeer{.endpoint = flight.agent_endpoint});
  CancelAttempt(flight);
  AttemptLost(now, flight, "the agent fell silent");
}

void FlightDesk::CheckProgress(TimePoint now) {
  std::vector<RequestId> running;
  std::vector<RequestId> claims;
  for (const auto& [id, flight] : m_flights) {
    if (flight.stage == FlightStage::kRunning &&
        now - flight.last_heard >= kAckTimeout)
      running.push_back(id);
    if (flight.next_claim_send <= now)
      claims.push_back(id);
  }
  for (const RequestId id : running)
    CheckSilence(now, *Find(id));
  for (const RequestId id : claims) {
    Flight* flight = Find(id);
    if (flight == nullptr)
      continue;
    if (flight->stage == FlightStage::kClaiming) {
      SendClaim(now, *flight);
      continue;
    }
    if (now >= flight->give_up_storing && !flight->abandoned) {
      AnswerWhole(now, *flight);
      flight->abandoned = true;
    }
    SendOutcomeAgain(now, *flight);
  }
}

}  // namespace boragepick
