#include "core/router/flight_desk.h"

#include <algorithm>

#include "common/hashing.h"

namespace boragepick {

namespace {

constexpr Tokens kServiceCallTokens = 1;
// Enough to work out an answer, so that a request is refused before its
// deadline, not after.
constexpr Duration kDeadlineMargin = std::chrono::milliseconds(20);

bool IsReadOnly(Method method) {
  return method == Method::kGet || method == Method::kHead;
}

double Seconds(TimePoint from, TimePoint to) {
  return ToSeconds(to - from);
}

}  // namespace

// --- Arrival
// --------------------------------------------------------------------------------------

void FlightDesk::Arrive(TimePoint now, CallerRequest request) {
  ++m_metrics.requests;
  m_retry_budget.FirstRequest();
  const RequestId id = request.id;
  Flight& flight = m_flights[id];
  flight.request = std::move(request);
  flight.arrived = now;
  flight.deadline = now + flight.request.patience;
  m_deadlines.emplace(flight.deadline, id);
  Refusal refusal;
  const bool accepted = Identify(flight, refusal) &&
                        ResolveTarget(now, flight, refusal) &&
                        CheckCost(flight, refusal);
  if (!accepted) {
    Refuse(now, flight, std::move(refusal));
    return;
  }
  WaitForTokens(now, flight);
}

bool FlightDesk::Identify(Flight& flight, Refusal& refusal) const {
  const CallerRequest& request = flight.request;
  if (!m_state.feed.HasView()) {
    refusal = {.code = RefusalCode::kConfigurationMissing,
               .message = "this router has no configuration yet",
               .retry_after = std::chrono::seconds(1)};
    return false;
  }
  const RouteSpec* route = m_state.view.RouteFor(request.path);
  if (route == nullptr) {
    refusal = {.code = RefusalCode::kRouteUnknown,
               .message = "no route has this path"};
    return false;
  }
  if (!request.key_sha256.empty()) {
    const std::optional<std::string> team =
        m_state.view.TeamOfKey(request.key_sha256);
    if (!team && !route->open) {
      refusal = {.code = RefusalCode::kKeyUnknown,
                 .message = "the key is unknown or withdrawn"};
      return false;
    }
    flight.team = team.value_or("");
  }
  if (route->open)
    return true;
  if (request.key_sha256.empty()) {
    refusal = {.code = RefusalCode::kKeyMissing,
               .message = "expected the header 'Authorization: Bearer KEY'"};
    return false;
  }
  const bool allowed =
      route->teams.empty() ||
      std::ranges::find(route->teams, flight.team) != route->teams.end();
  if (!allowed) {
    refusal = {.code = RefusalCode::kRouteForbidden,
               .message = "the route is not open to the key's team"};
  }
  return allowed;
}

bool FlightDesk::ResolveTarget(TimePoint now,
                               Flight& flight,
                               Refusal& refusal) {
  const CallerRequest& request = flight.request;
  const RouteSpec& route = *m_state.view.RouteFor(request.path);
  flight.fingerprint =
      StableHash(request.body, StableHash(flight.team + '\n' + request.path));
  if (m_poison.Judge(now, flight.fingerprint) == PoisonVerdict::kConvicted) {
    refusal = {
        .code = RefusalCode::kPoisoned,
        .message =
            "this request has crashed two upstreams and is not run again"};
    return false;
  }
  if (route.target == RouteTarget::kService) {
    flight.pool = route.pool;
    flight.cost = kServiceCallTokens;
    flight.repeatable = route.idempotent || IsReadOnly(request.method);
    if (flight.repeatable || !request.idempotency_key.empty())
      return true;
    refusal = {
        .code = RefusalCode::kIdempotencyKeyMissing,
        .message =
            "calls of this route must not be repeated: expected the header "
            "'Idempotency-Key'"};
    return false;
  }
  flight.repeatable = true;
  flight.cost = std::max<Tokens>(request.prompt_tokens + request.max_tokens, 1);
  const std::optional<ServedModel> served = m_state.view.Resolve(request.model);
  if (!served) {
    refusal = {.code = RefusalCode::kModelUnknown,
               .message = "there is no model or adapter of that name"};
    return false;
  }
  flight.served = *served;
  return true;
}

bool FlightDesk::CheckCost(const Flight& flight, Refusal& refusal) const {
  if (flight.team.empty())
    return true;
  const auto* team =
      m_state.view.FindSpec<TeamSpec>(ResourceKind::kTeam, flight.team);
  if (team == nullptr) {
    refusal = {.code = RefusalCode::kKeyUnknown,
               .message = "the key's team does not exist"};
    return false;
  }
  if (flight.cost <= team->burst_tokens)
    return true;
  refusal = {.code = RefusalCode::kOverBurst,
             .message = "the request may need " + std::to_string(flight.cost) +
                        " tokens; the team's burst is " +
                        std::to_string(team->burst_tokens)};
  return false;
}

// --- Tokens
// ---------------------------------------------------------------------------------------

void FlightDesk::WaitForTokens(TimePoint now, Flight& flight) {
  if (flight.team.empty()) {
    Admitted(now, flight);
    return;
  }
  std::deque<RequestId>& queue = m_token_queues[flight.team];
  const std::string team = flight.team;
  queue.push_back(flight.request.id);
  ++m_waiting_tokens;
  PumpTeam(now, team, queue);
}

void FlightDesk::PumpTeam(TimePoint now,
                          const std::string& team,
                          std::deque<RequestId>& queue) {
  while (!queue.empty()) {
    Flight* flight = Find(queue.front());
    const bool waits =
        flight != nullptr && flight->stage == FlightStage::kWaitingTokens;
    if (waits && !m_state.quota.Admit(now, team, flight->cost))
      break;
    queue.pop_front();
    --m_waiting_tokens;
    if (!waits)
      continue;
    flight->cost_taken = true;
    m_metrics.admitted_tokens_by_team[team] +=
        static_cast<std::uint64_t>(flight->cost);
    m_metrics.token_wait.Add(Seconds(flight->arrived, now));
    Admitted(now, *flight);
  }
  ShowWaiting(team);
}

void FlightDesk::ShowWaiting(const std::string& team) {
  Tokens first = 0;
  Tokens all = 0;
  for (const RequestId id : m_token_queues[team]) {
    const Flight* flight = Find(id);
    if (flight == nullptr || flight->stage != FlightStage::kWaitingTokens)
      continue;
    if (first == 0)
      first = flight->cost;
    all += flight->cost;
  }
  m_state.quota.SetWaiting(team, first, all);
}

std::size_t FlightDesk::WaitingOf(const std::string& team) const {
  const auto queue = m_token_queues.find(team);
  return queue == m_token_queues.end() ? 0 : queue->second.size();
}

void FlightDesk::Admitted(TimePoint now, Flight& flight) {
  if (flight.repeatable)
    Dispatch(now, flight);
  else
    StartClaim(now, flight);
}

void FlightDesk::Pump(TimePoint now) {
  for (auto& [team, queue] : m_token_queues) {
    if (!queue.empty())
      PumpTeam(now, team, queue);
  }
  std::vector<RequestId> ready;
  for (const auto& [id, not_before] : m_waiting_agent) {
    if (not_before <= now)
      ready.push_back(id);
  }
  for (const RequestId id : ready) {
    m_waiting_agent.erase(id);
    if (Flight* flight = Find(id))
      Dispatch(now, *flight);
  }
}

// --- Endings
// --------------------------------------------------------------------------------------

Ran FlightDesk::RanOf(const Flight& flight) const {
  return flight.may_have_run ? Ran::kUnknown : Ran::kNotRun;
}

void FlightDesk::Refuse(TimePoint now, Flight& flight, Refusal refusal) {
  ++m_metrics.refused[refusal.code];
  if (!flight.team.empty())
    ++m_metrics.refused_by_team[flight.team];
  m_state.Log(LogEvent::kRequestRefused,
              {{"request", std::to_string(flight.request.id)},
               {"team", flight.team},
               {"code", std::string(RefusalInfo(refusal.code).name)},
               {"ran", std::string(kRanNames.Name(refusal.ran))},
               {"stage", std::string(kFlightStageNames.Name(flight.stage))}});
  if (flight.cost_taken && !flight.may_have_run)
    m_state.quota.Settle(flight.team, flight.cost);
  m_state.Emit(CallerRefused{.id = flight.request.id,
                             .refusal = std::move(refusal),
                             .midway = flight.head_sent});
  Abandon(now, flight);
}

void FlightDesk::Abandon(TimePoint now, Flight& flight) {
  flight.abandoned = true;
  const bool dispatched = flight.stage == FlightStage::kRunning;
  const bool once = !flight.repeatable && flight.claim_token != 0;
  if (dispatched && !once)
    CancelAttempt(flight);
  // why: what was granted and started is followed to its end, so that a retry
  // gets its answer
  if (once && flight.granted &&
      (dispatched || flight.stage == FlightStage::kStoringOutcome))
    return;
  if (once) {
    SendOutcome(
        now, flight,
        flight.may_have_run ? OnceResult::kUnknown : OnceResult::kNotRun);
    return;
  }
  Forget(flight);
}

void FlightDesk::CallerLeft(TimePoint now, RequestId id) {
  Flight* flight = Find(id);
  if (flight == nullptr || flight->abandoned)
    return;
  if (flight->cost_taken && !flight->may_have_run &&
      flight->stage != FlightStage::kRunning)
    m_state.quota.Settle(flight->team, flight->cost);
  Abandon(now, *flight);
}

void FlightDesk::AnswerWhole(TimePoint now, Flight& flight) {
  if (flight.abandoned)
    return;
  if (!flight.head_sent) {
    m_state.Emit(CallerHead{
        .id = flight.request.id, .head = flight.head, .stream = false});
    m_state.Emit(
        CallerBytes{.id = flight.request.id, .bytes = std::move(flight.body)});
  }
  m_state.Emit(CallerEnd{.id = flight.request.id});
  ++m_metrics.answered;
  const TimePoint first = flight.first_byte == kNever ? now : flight.first_byte;
  Summary& summary =
      flight.cold ? m_metrics.first_token_cold : m_metrics.first_token_warm;
  summary.Add(Seconds(flight.arrived, first));
  m_state.Log(LogEvent::kRequestFinished,
              {{"request", std::to_string(flight.request.id)},
               {"agent", flight.agent_vm},
               {"attempts", std::to_string(flight.attempt)},
               {"tokens", std::to_string(flight.events.tokens())},
               {"cold", flight.cold ? "true" : "false"},
               {"seconds", std::to_string(Seconds(flight.arrived, now))}});
}

void FlightDesk::Finish(TimePoint now, Flight& flight) {
  m_metrics.tokens += flight.events.tokens();
  if (flight.cost_taken && flight.request.stream) {
    const Tokens used = flight.request.prompt_tokens +
                        static_cast<Tokens>(flight.events.tokens());
    m_state.quota.Settle(flight.team, std::max<Tokens>(flight.cost - used, 0));
  }
  AnswerWhole(now, flight);
  Forget(flight);
}

void FlightDesk::Forget(Flight& flight) {
  if (flight.trial != 0) {
    AskForTrial(flight, true);
    m_trials.erase(flight.trial);
  }
  m_waiting_agent.erase(flight.request.id);
  m_claims.erase(flight.claim_token);
  m_deadlines.erase({flight.deadline, flight.request.id});
  m_flights.erase(flight.request.id);
}

void FlightDesk::CheckKeys(TimePoint now) {
  std::vector<RequestId> withdrawn;
  for (const auto& [id, flight] : m_flights) {
    if (flight.team.empty() || flight.abandoned)
      continue;
    if (m_state.view.TeamOfKey(flight.request.key_sha256) != flight.team)
      withdrawn.push_back(id);
  }
  for (const RequestId id : withdrawn) {
    Flight& flight = *Find(id);
    const bool started = flight.stage == FlightStage::kRunning;
    Refuse(now, flight,
           {.code = RefusalCode::kKeyWithdrawn,
            .ran = started ? Ran::kUnknown : RanOf(flight),
            .message = "the key was withdrawn"});
  }
}

void FlightDesk::Expire(TimePoint now, Flight& flight) {
  if (flight.abandoned) {
    Forget(flight);
    return;
  }
  switch (flight.stage) {
    case FlightStage::kWaitingTokens:
      Refuse(now, flight,
             {.code = RefusalCode::kRateLimited,
              .message = "the team's rate did not allow it before its deadline",
              .retry_after = std::chrono::seconds(1)});
      return;
    case FlightStage::kClaiming:
      Refuse(now, flight,
             {.code = RefusalCode::kOnceOutcomeUnknown,
              .ran = Ran::kUnknown,
              .message =
                  "it is not known whether a request with this key has run"});
      return;
    case FlightStage::kWaitingAgent:
      Refuse(now, flight,
             {.code = RefusalCode::kNoCapacity,
              .ran = RanOf(flight),
              .message = "no agent could take it before its deadline",
              .retry_after = std::chrono::seconds(1)});
      return;
    case FlightStage::kRunning:
    case FlightStage::kStoringOutcome:
      Refuse(now, flight,
             {.code = RefusalCode::kDeadline,
              .ran = Ran::kUnknown,
              .message = "the answer was not whole by the deadline"});
      return;
  }
}

void FlightDesk::Tick(TimePoint now) {
  const TimePoint horizon = now + kDeadlineMargin;
  while (!m_deadlines.empty() && m_deadlines.begin()->first <= horizon) {
    const RequestId id = m_deadlines.begin()->second;
    m_deadlines.erase(m_deadlines.begin());
    Flight* flight = Find(id);
    if (flight == nullptr)
      continue;
    // why: an outcome may still have to be stored; it is given up some time
    // after the deadline
    flight->deadline = now + std::chrono::seconds(30);
    m_deadlines.emplace(flight->deadline, id);
    Expire(now, *flight);
  }
  CheckProgress(now);
  Pump(now);
}

Flight* FlightDesk::Find(RequestId id) {
  const auto found = m_flights.find(id);
  return found == m_flights.end() ? nullptr : &found->second;
}

}  // namespace boragepick
