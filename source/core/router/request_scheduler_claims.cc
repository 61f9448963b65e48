// The part of RequestScheduler that deals with requests that may not be
// repeated.

#include <algorithm>

#include "common/hashing.h"
#include "core/router/request_scheduler.h"

namespace boragepick {

namespace {

const std::string kIdempotencyRefusedMessage =
    "the request was not run: its key can't be recorded now, and it must not "
    "run unrecorded";

std::string RequestHash(const CallerRequest& request) {
  const std::string method(kMethodNames.Name(request.method));
  return Sha256Hex(method + '\n' + request.path + '\n' + request.body);
}

}  // namespace

std::string RequestScheduler::ClaimOwner(const PendingRequest& pending) const {
  if (!pending.claim_owner.empty())
    return pending.claim_owner;
  const std::string duty =
      "idempotency-page/" + std::to_string(IdempotencyPageOf(pending.claim_id));
  const std::vector<std::string> order =
      RendezvousOrder(duty, m_state.roster.LiveRouters());
  return order.empty() ? m_state.options.vm : order.front();
}

void RequestScheduler::StartClaim(TimePoint now, PendingRequest& pending) {
  pending.stage = RequestStage::kClaiming;
  pending.claim_id = ClaimIdOf(pending.team, pending.request.idempotency_key);
  pending.claim_token = ++m_last_token;
  m_claims[pending.claim_token] = pending.request.id;
  SendClaim(now, pending);
}

void RequestScheduler::SendClaim(TimePoint now, PendingRequest& pending) {
  pending.next_claim_send = now + kClaimResend;
  const IdempotencyClaim claim{.claim_id = pending.claim_id,
                               .request_hash = RequestHash(pending.request),
                               .token = pending.claim_token};
  const std::string owner = ClaimOwner(pending);
  if (owner == m_state.options.vm)
    m_state.once.HandleClaim(now, m_state.self(), claim, m_state.roster);
  else
    m_state.SendToVm(owner, claim);
}

PendingRequest* RequestScheduler::FindClaim(std::uint64_t token) {
  const auto found = m_claims.find(token);
  return found == m_claims.end() ? nullptr : Find(found->second);
}

void RequestScheduler::Take(TimePoint now, const IdempotencyVerdict& verdict) {
  PendingRequest* pending = FindClaim(verdict.token);
  if (pending == nullptr)
    return;
  if (verdict.kind == IdempotencyVerdictKind::kRedirect) {
    Redirected(now, *pending, verdict.owner_vm);
    return;
  }
  if (pending->stage != RequestStage::kClaiming || pending->granted ||
      pending->abandoned)
    return;
  switch (verdict.kind) {
    case IdempotencyVerdictKind::kGranted:
      Granted(now, *pending);
      return;
    case IdempotencyVerdictKind::kReplay:
      AnswerKept(now, *pending, verdict.answer);
      return;
    case IdempotencyVerdictKind::kInProgress:
      pending->in_progress = true;
      return;
    case IdempotencyVerdictKind::kRan:
      Refuse(now, *pending,
             {.code = RefusalCode::kIdempotencyAnswerNotKept,
              .execution = ExecutionStatus::kRan,
              .message = "a request with this key has run; its answer was too "
                         "large to be kept"});
      return;
    case IdempotencyVerdictKind::kMismatch:
      Refuse(now, *pending,
             {.code = RefusalCode::kIdempotencyKeyReused,
              .message = "this key was used for another request"});
      return;
    case IdempotencyVerdictKind::kNotRun:
      Refuse(now, *pending,
             {.code = RefusalCode::kIdempotencyUnavailable,
              .message = kIdempotencyRefusedMessage,
              .retry_after = std::chrono::seconds(1)});
      return;
    case IdempotencyVerdictKind::kUnknown:
      Refuse(now, *pending,
             {.code = RefusalCode::kIdempotencyOutcomeUnknown,
              .execution = ExecutionStatus::kUnknown,
              .message =
                  "it is not known whether a request with this key has run"});
      return;
    case IdempotencyVerdictKind::kRedirect:
      return;
  }
}

void RequestScheduler::Redirected(TimePoint now,
                                  PendingRequest& pending,
                                  const std::string& owner) {
  // why: a page without an owner goes to whoever hashing names by then; both
  // wait for the next send
  const bool usable = !owner.empty() && owner != pending.claim_owner;
  pending.claim_owner = owner;
  if (!usable)
    return;
  if (pending.stage == RequestStage::kClaiming && !pending.abandoned)
    SendClaim(now, pending);
  else
    SendOutcomeAgain(now, pending);
}

void RequestScheduler::Granted(TimePoint now, PendingRequest& pending) {
  pending.granted = true;
  pending.next_claim_send = kNever;
  Dispatch(now, pending);
}

void RequestScheduler::AnswerKept(TimePoint now,
                                  PendingRequest& pending,
                                  const KeptAnswer& answer) {
  pending.head = {.status = answer.status, .content_type = answer.content_type};
  pending.body = answer.body;
  if (pending.cost_taken)
    m_state.quota.Settle(pending.team, pending.cost);
  AnswerWhole(now, pending);
  Forget(pending);
}

void RequestScheduler::SendOutcome(TimePoint now,
                                   PendingRequest& pending,
                                   IdempotencyResult result) {
  pending.stage = RequestStage::kStoringOutcome;
  pending.outcome = {.claim_id = pending.claim_id,
                     .token = pending.claim_token,
                     .result = result};
  if (result == IdempotencyResult::kWhole &&
      pending.body.size() <= kMaxKeptAnswerBytes) {
    pending.outcome.answer = {.status = pending.head.status,
                              .content_type = pending.head.content_type,
                              .body = pending.body};
  } else if (result == IdempotencyResult::kWhole) {
    // why: a body of this size marks the answer as not kept
    pending.outcome.answer.body.assign(kMaxKeptAnswerBytes + 1, ' ');
  }
  pending.give_up_storing = now + kStorePatience;
  SendOutcomeAgain(now, pending);
}

void RequestScheduler::SendOutcomeAgain(TimePoint now,
                                        PendingRequest& pending) {
  pending.next_claim_send = now + kClaimResend;
  const std::string owner = ClaimOwner(pending);
  const IdempotencyOutcome outcome = pending.outcome;
  if (owner == m_state.options.vm)
    m_state.once.HandleOutcome(now, m_state.self(), outcome);
  else
    m_state.SendToVm(owner, outcome);
}

void RequestScheduler::Take(TimePoint now,
                            const IdempotencyOutcomeStored& stored) {
  PendingRequest* pending = FindClaim(stored.token);
  if (pending == nullptr || pending->stage != RequestStage::kStoringOutcome)
    return;
  if (!pending->abandoned)
    Finish(now, *pending);
  else
    Forget(*pending);
}

}  // namespace boragepick
