// RequestScheduler: idempotency claims of requests that must not be repeated.

#include <algorithm>

#include "common/hashing.h"
#include "core/router/request_scheduler.h"

namespace boragepick {

namespace {

const std::string kClaimRefusedMessage =
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
  const std::string page =
      "idempotency-page/" + std::to_string(IdempotencyPageOf(pending.claim_id));
  const std::vector<std::string> order =
      RendezvousOrder(page, m_state.roster.LiveRouters());
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
  pending.next_claim_message = now + kClaimResendInterval;
  const IdempotencyClaim claim{.claim_id = pending.claim_id,
                               .request_hash = RequestHash(pending.request),
                               .token = pending.claim_token};
  const std::string owner = ClaimOwner(pending);
  if (owner == m_state.options.vm)
    m_state.idempotency.HandleClaim(now, m_state.self(), claim, m_state.roster);
  else
    m_state.SendToVm(owner, claim);
}

PendingRequest* RequestScheduler::FindClaim(std::uint64_t token) {
  const auto found = m_claims.find(token);
  return found == m_claims.end() ? nullptr : Find(found->second);
}

void RequestScheduler::Handle(TimePoint now,
                              const IdempotencyVerdict& verdict) {
  PendingRequest* pending = FindClaim(verdict.token);
  if (pending == nullptr)
    return;
  if (verdict.kind == IdempotencyVerdictKind::kRedirect) {
    HandleRedirect(now, *pending, verdict.owner_vm);
    return;
  }
  if (pending->stage != RequestStage::kClaiming || pending->claim_granted ||
      pending->abandoned)
    return;
  switch (verdict.kind) {
    case IdempotencyVerdictKind::kGranted:
      HandleClaimGranted(now, *pending);
      return;
    case IdempotencyVerdictKind::kReplay:
      ReplayStoredResponse(now, *pending, verdict.answer);
      return;
    case IdempotencyVerdictKind::kInProgress:
      pending->in_progress = true;
      return;
    case IdempotencyVerdictKind::kRan:
      Refuse(
          now, *pending,
          {.code = RefusalCode::kIdempotencyAnswerNotKept,
           .execution = ExecutionStatus::kRan,
           .message = "a request with this key has run; its response was too "
                      "large to be stored"});
      return;
    case IdempotencyVerdictKind::kMismatch:
      Refuse(now, *pending,
             {.code = RefusalCode::kIdempotencyKeyReused,
              .message = "this key was used for another request"});
      return;
    case IdempotencyVerdictKind::kNotRun:
      Refuse(now, *pending,
             {.code = RefusalCode::kIdempotencyUnavailable,
              .message = kClaimRefusedMessage,
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

void RequestScheduler::HandleRedirect(TimePoint now,
                                      PendingRequest& pending,
                                      const std::string& owner) {
  // A page without an owner goes to the router that rendezvous hashing selects
  // at the next send. That case and a redirect to the same owner wait until
  // then.
  const bool usable = !owner.empty() && owner != pending.claim_owner;
  pending.claim_owner = owner;
  if (!usable)
    return;
  if (pending.stage == RequestStage::kClaiming && !pending.abandoned)
    SendClaim(now, pending);
  else
    SendOutcome(now, pending);
}

void RequestScheduler::HandleClaimGranted(TimePoint now,
                                          PendingRequest& pending) {
  pending.claim_granted = true;
  pending.next_claim_message = kNever;
  Dispatch(now, pending);
}

void RequestScheduler::ReplayStoredResponse(TimePoint now,
                                            PendingRequest& pending,
                                            const KeptAnswer& answer) {
  pending.head = {.status = answer.status, .content_type = answer.content_type};
  pending.body = answer.body;
  if (pending.cost_charged)
    m_state.quota.Refund(pending.team, pending.cost);
  CompleteResponse(now, pending);
  Erase(pending);
}

void RequestScheduler::StartStoringOutcome(TimePoint now,
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
    // A body of this size marks the response as not stored.
    pending.outcome.answer.body.assign(kMaxKeptAnswerBytes + 1, ' ');
  }
  pending.store_outcome_deadline = now + kStoreOutcomeTimeout;
  SendOutcome(now, pending);
}

void RequestScheduler::SendOutcome(TimePoint now, PendingRequest& pending) {
  pending.next_claim_message = now + kClaimResendInterval;
  const std::string owner = ClaimOwner(pending);
  const IdempotencyOutcome outcome = pending.outcome;
  if (owner == m_state.options.vm)
    m_state.idempotency.HandleOutcome(now, m_state.self(), outcome);
  else
    m_state.SendToVm(owner, outcome);
}

void RequestScheduler::Handle(TimePoint now,
                              const IdempotencyOutcomeStored& stored) {
  PendingRequest* pending = FindClaim(stored.token);
  if (pending == nullptr || pending->stage != RequestStage::kStoringOutcome)
    return;
  if (!pending->abandoned)
    Complete(now, *pending);
  else
    Erase(*pending);
}

}  // namespace boragepick
