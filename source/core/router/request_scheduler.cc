#include "core/router/request_scheduler.h"

#include <algorithm>

#include "common/hashing.h"

namespace boragepick {

namespace {

constexpr Tokens kServiceCallTokens = 1;
// Time to produce the refusal, so that the caller gets it before its deadline.
constexpr Duration kDeadlineMargin = std::chrono::milliseconds(20);

bool IsReadOnly(Method method) {
  return method == Method::kGet || method == Method::kHead;
}

double SecondsBetween(TimePoint from, TimePoint to) {
  return ToSeconds(to - from);
}

}  // namespace

// --- Arrival ---

void RequestScheduler::HandleCallerRequest(TimePoint now,
                                           CallerRequest request) {
  ++m_metrics.requests;
  m_retry_budget.RecordRequest();
  const RequestId id = request.id;
  PendingRequest& pending = m_pending[id];
  pending.request = std::move(request);
  pending.arrived = now;
  pending.deadline = now + pending.request.timeout;
  m_deadlines.emplace(pending.deadline, id);
  Refusal refusal;
  const bool valid = Authorize(pending, refusal) &&
                     ResolveTarget(now, pending, refusal) &&
                     CheckBurst(pending, refusal);
  if (!valid) {
    Refuse(now, pending, std::move(refusal));
    return;
  }
  EnqueueForTokens(now, pending);
}

bool RequestScheduler::Authorize(PendingRequest& pending,
                                 Refusal& refusal) const {
  const CallerRequest& request = pending.request;
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
                 .message = "the key is unknown or revoked"};
      return false;
    }
    pending.team = team.value_or("");
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
      std::ranges::find(route->teams, pending.team) != route->teams.end();
  if (!allowed) {
    refusal = {.code = RefusalCode::kRouteForbidden,
               .message = "the route is not open to the key's team"};
  }
  return allowed;
}

bool RequestScheduler::ResolveTarget(TimePoint now,
                                     PendingRequest& pending,
                                     Refusal& refusal) {
  const CallerRequest& request = pending.request;
  const RouteSpec& route = *m_state.view.RouteFor(request.path);
  pending.fingerprint =
      StableHash(request.body, StableHash(pending.team + '\n' + request.path));
  if (m_quarantine.VerdictFor(now, pending.fingerprint) ==
      QuarantineVerdict::kConvicted) {
    refusal = {
        .code = RefusalCode::kPoisoned,
        .message =
            "this request has crashed two upstreams and is not run again"};
    return false;
  }
  if (route.target == RouteTarget::kService) {
    pending.pool = route.pool;
    pending.cost = kServiceCallTokens;
    pending.repeatable = route.idempotent || IsReadOnly(request.method);
    if (pending.repeatable || !request.idempotency_key.empty())
      return true;
    refusal = {
        .code = RefusalCode::kIdempotencyKeyMissing,
        .message =
            "requests to this route must not be repeated: expected the header "
            "'Idempotency-Key'"};
    return false;
  }
  pending.repeatable = true;
  pending.cost =
      std::max<Tokens>(request.prompt_tokens + request.max_tokens, 1);
  const std::optional<ServedModel> served = m_state.view.Resolve(request.model);
  if (!served) {
    refusal = {.code = RefusalCode::kModelUnknown,
               .message = "there is no model or adapter of this name"};
    return false;
  }
  pending.served = *served;
  return true;
}

bool RequestScheduler::CheckBurst(const PendingRequest& pending,
                                  Refusal& refusal) const {
  if (pending.team.empty())
    return true;
  const auto* team =
      m_state.view.FindSpec<TeamSpec>(ResourceKind::kTeam, pending.team);
  if (team == nullptr) {
    refusal = {.code = RefusalCode::kKeyUnknown,
               .message = "the key's team does not exist"};
    return false;
  }
  if (pending.cost <= team->burst_tokens)
    return true;
  refusal = {.code = RefusalCode::kOverBurst,
             .message = "the request may need " + std::to_string(pending.cost) +
                        " tokens; the team's burst is " +
                        std::to_string(team->burst_tokens)};
  return false;
}

// --- Admission ---

void RequestScheduler::EnqueueForTokens(TimePoint now,
                                        PendingRequest& pending) {
  if (pending.team.empty()) {
    StartAdmitted(now, pending);
    return;
  }
  std::deque<RequestId>& queue = m_token_queues[pending.team];
  const std::string team = pending.team;
  queue.push_back(pending.request.id);
  ++m_waiting_tokens;
  AdmitTeam(now, team, queue);
}

void RequestScheduler::AdmitTeam(TimePoint now,
                                 const std::string& team,
                                 std::deque<RequestId>& queue) {
  while (!queue.empty()) {
    PendingRequest* pending = Find(queue.front());
    const bool is_waiting =
        pending != nullptr && pending->stage == RequestStage::kWaitingTokens;
    if (is_waiting && !m_state.quota.Admit(now, team, pending->cost))
      break;
    queue.pop_front();
    --m_waiting_tokens;
    if (!is_waiting)
      continue;
    pending->cost_charged = true;
    m_metrics.admitted_tokens_by_team[team] +=
        static_cast<std::uint64_t>(pending->cost);
    m_metrics.token_wait.Add(SecondsBetween(pending->arrived, now));
    StartAdmitted(now, *pending);
  }
  UpdateQueuedCost(team);
}

void RequestScheduler::UpdateQueuedCost(const std::string& team) {
  Tokens first = 0;
  Tokens all = 0;
  for (const RequestId id : m_token_queues[team]) {
    const PendingRequest* pending = Find(id);
    if (pending == nullptr || pending->stage != RequestStage::kWaitingTokens)
      continue;
    if (first == 0)
      first = pending->cost;
    all += pending->cost;
  }
  m_state.quota.SetWaiting(team, {.next_cost = first, .total_cost = all});
}

std::size_t RequestScheduler::WaitingRequests(const std::string& team) const {
  const auto queue = m_token_queues.find(team);
  return queue == m_token_queues.end() ? 0 : queue->second.size();
}

void RequestScheduler::StartAdmitted(TimePoint now, PendingRequest& pending) {
  if (pending.repeatable)
    Dispatch(now, pending);
  else
    StartClaim(now, pending);
}

void RequestScheduler::AdmitAndDispatch(TimePoint now) {
  for (auto& [team, queue] : m_token_queues) {
    if (!queue.empty())
      AdmitTeam(now, team, queue);
  }
  std::vector<RequestId> ready;
  for (const auto& [id, not_before] : m_waiting_agent) {
    if (not_before <= now)
      ready.push_back(id);
  }
  for (const RequestId id : ready) {
    m_waiting_agent.erase(id);
    if (PendingRequest* pending = Find(id))
      Dispatch(now, *pending);
  }
}

// --- Completion ---

ExecutionStatus RequestScheduler::ExecutionOf(
    const PendingRequest& pending) const {
  return pending.may_have_run ? ExecutionStatus::kUnknown
                              : ExecutionStatus::kNotRun;
}

void RequestScheduler::Refuse(TimePoint now,
                              PendingRequest& pending,
                              Refusal refusal) {
  ++m_metrics.refused[refusal.code];
  if (!pending.team.empty())
    ++m_metrics.refused_by_team[pending.team];
  m_state.Log(
      LogEvent::kRequestRefused,
      {{"request", std::to_string(pending.request.id)},
       {"team", pending.team},
       {"code", std::string(RefusalInfo(refusal.code).name)},
       {"ran", std::string(kExecutionStatusNames.Name(refusal.execution))},
       {"stage", std::string(kRequestStageNames.Name(pending.stage))}});
  if (pending.cost_charged && !pending.may_have_run)
    m_state.quota.Refund(pending.team, pending.cost);
  m_state.Emit(CallerRefused{.id = pending.request.id,
                             .refusal = std::move(refusal),
                             .midway = pending.head_sent});
  Abandon(now, pending);
}

void RequestScheduler::Abandon(TimePoint now, PendingRequest& pending) {
  pending.abandoned = true;
  const bool running = pending.stage == RequestStage::kRunning;
  const bool claimed = !pending.repeatable && pending.claim_token != 0;
  if (running && !claimed)
    CancelAttempt(pending);
  // A granted claim whose request has started is followed to its end, so that a
  // retry by the caller gets the response.
  if (claimed && pending.claim_granted &&
      (running || pending.stage == RequestStage::kStoringOutcome))
    return;
  if (claimed) {
    StartStoringOutcome(now, pending,
                        pending.may_have_run ? IdempotencyResult::kUnknown
                                             : IdempotencyResult::kNotRun);
    return;
  }
  Erase(pending);
}

void RequestScheduler::HandleCallerDisconnect(TimePoint now, RequestId id) {
  PendingRequest* pending = Find(id);
  if (pending == nullptr || pending->abandoned)
    return;
  if (pending->cost_charged && !pending->may_have_run &&
      pending->stage != RequestStage::kRunning)
    m_state.quota.Refund(pending->team, pending->cost);
  Abandon(now, *pending);
}

void RequestScheduler::CompleteResponse(TimePoint now,
                                        PendingRequest& pending) {
  if (pending.abandoned)
    return;
  if (!pending.head_sent) {
    m_state.Emit(CallerResponseHead{
        .id = pending.request.id, .head = pending.head, .stream = false});
    m_state.Emit(CallerResponseBytes{.id = pending.request.id,
                                     .bytes = std::move(pending.body)});
  }
  m_state.Emit(CallerResponseEnd{.id = pending.request.id});
  ++m_metrics.answered;
  const TimePoint first =
      pending.first_byte == kNever ? now : pending.first_byte;
  Summary& summary = pending.cold_start ? m_metrics.first_token_cold
                                        : m_metrics.first_token_warm;
  summary.Add(SecondsBetween(pending.arrived, first));
  m_state.Log(
      LogEvent::kRequestFinished,
      {{"request", std::to_string(pending.request.id)},
       {"agent", pending.agent_vm},
       {"attempts", std::to_string(pending.attempt)},
       {"tokens", std::to_string(pending.event_parser.tokens())},
       {"cold", pending.cold_start ? "true" : "false"},
       {"seconds", std::to_string(SecondsBetween(pending.arrived, now))}});
}

void RequestScheduler::Complete(TimePoint now, PendingRequest& pending) {
  m_metrics.tokens += pending.event_parser.tokens();
  if (pending.cost_charged && pending.request.stream) {
    const Tokens used = pending.request.prompt_tokens +
                        static_cast<Tokens>(pending.event_parser.tokens());
    m_state.quota.Refund(pending.team,
                         std::max<Tokens>(pending.cost - used, 0));
  }
  CompleteResponse(now, pending);
  Erase(pending);
}

void RequestScheduler::Erase(PendingRequest& pending) {
  RecordHeldBytes(pending, 0);
  if (pending.trial_number != 0) {
    SendTrialSlotRequest(pending, true);
    m_trials.erase(pending.trial_number);
  }
  m_waiting_agent.erase(pending.request.id);
  m_claims.erase(pending.claim_token);
  m_deadlines.erase({pending.deadline, pending.request.id});
  m_pending.erase(pending.request.id);
}

void RequestScheduler::RefuseRevokedKeys(TimePoint now) {
  std::vector<RequestId> revoked;
  for (const auto& [id, pending] : m_pending) {
    if (pending.team.empty() || pending.abandoned)
      continue;
    if (m_state.view.TeamOfKey(pending.request.key_sha256) != pending.team)
      revoked.push_back(id);
  }
  for (const RequestId id : revoked) {
    PendingRequest& pending = *Find(id);
    const bool running = pending.stage == RequestStage::kRunning;
    Refuse(now, pending,
           {.code = RefusalCode::kKeyRevoked,
            .execution =
                running ? ExecutionStatus::kUnknown : ExecutionOf(pending),
            .message = "the key was revoked"});
  }
}

void RequestScheduler::Expire(TimePoint now, PendingRequest& pending) {
  if (pending.abandoned) {
    Erase(pending);
    return;
  }
  switch (pending.stage) {
    case RequestStage::kWaitingTokens:
      Refuse(
          now, pending,
          {.code = RefusalCode::kRateLimited,
           .message =
               "the team's rate did not admit the request before its deadline",
           .retry_after = std::chrono::seconds(1)});
      return;
    case RequestStage::kClaiming:
      Refuse(now, pending,
             {.code = RefusalCode::kIdempotencyOutcomeUnknown,
              .execution = ExecutionStatus::kUnknown,
              .message =
                  "it is not known whether a request with this key has run"});
      return;
    case RequestStage::kWaitingAgent:
      Refuse(now, pending,
             {.code = RefusalCode::kNoCapacity,
              .execution = ExecutionOf(pending),
              .message = "no agent could run the request before its deadline",
              .retry_after = std::chrono::seconds(1)});
      return;
    case RequestStage::kRunning:
    case RequestStage::kStoringOutcome:
      Refuse(now, pending,
             {.code = RefusalCode::kDeadline,
              .execution = ExecutionStatus::kUnknown,
              .message = "the response was not complete by the deadline"});
      return;
  }
}

void RequestScheduler::Tick(TimePoint now) {
  const TimePoint horizon = now + kDeadlineMargin;
  while (!m_deadlines.empty() && m_deadlines.begin()->first <= horizon) {
    const RequestId id = m_deadlines.begin()->second;
    m_deadlines.erase(m_deadlines.begin());
    PendingRequest* pending = Find(id);
    if (pending == nullptr)
      continue;
    // The outcome may still have to be stored; the request is erased when this
    // second deadline passes.
    pending->deadline = now + std::chrono::seconds(30);
    m_deadlines.emplace(pending->deadline, id);
    Expire(now, *pending);
  }
  CheckTimeouts(now);
  AdmitAndDispatch(now);
  ShareCrashEvidence(now);
}

PendingRequest* RequestScheduler::Find(RequestId id) {
  const auto found = m_pending.find(id);
  return found == m_pending.end() ? nullptr : &found->second;
}

}  // namespace boragepick
