// The part of FlightDesk that deals with requests that may not be repeated.

#include <algorithm>

#include "common/hashing.h"
#include "core/router/flight_desk.h"

namespace boragepick {

namespace {

const std::string kOnceRefusedMessage =
    "the request was not run: its key can't be recorded now, and it must not "
    "run unrecorded";

std::string RequestHash(const CallerRequest& request) {
  const std::string method(kMethodNames.Name(request.method));
  return Sha256Hex(method + '\n' + request.path + '\n' + request.body);
}

}  // namespace

std::string FlightDesk::ClaimOwner(const Flight& flight) const {
  if (!flight.claim_owner.empty())
    return flight.claim_owner;
  const std::string duty =
      "once-page/" + std::to_string(OncePageOf(flight.claim_id));
  const std::vector<std::string> order =
      RendezvousOrder(duty, m_state.roster.LiveRouters());
  return order.empty() ? m_state.options.vm : order.front();
}

void FlightDesk::StartClaim(TimePoint now, Flight& flight) {
  flight.stage = FlightStage::kClaiming;
  flight.claim_id = ClaimIdOf(flight.team, flight.request.idempotency_key);
  flight.claim_token = ++m_last_token;
  m_claims[flight.claim_token] = flight.request.id;
  SendClaim(now, flight);
}

void FlightDesk::SendClaim(TimePoint now, Flight& flight) {
  flight.next_claim_send = now + kClaimResend;
  const OnceClaim claim{.claim_id = flight.claim_id,
                        .request_hash = RequestHash(flight.request),
                        .token = flight.claim_token};
  const std::string owner = ClaimOwner(flight);
  if (owner == m_state.options.vm)
    m_state.once.HandleClaim(now, m_state.self(), claim, m_state.roster);
  else
    m_state.SendToVm(owner, claim);
}

Flight* FlightDesk::FindClaim(std::uint64_t token) {
  const auto found = m_claims.find(token);
  return found == m_claims.end() ? nullptr : Find(found->second);
}

void FlightDesk::Take(TimePoint now, const OnceVerdict& verdict) {
  Flight* flight = FindClaim(verdict.token);
  if (flight == nullptr)
    return;
  if (verdict.kind == OnceVerdictKind::kRedirect) {
    Redirected(now, *flight, verdict.owner_vm);
    return;
  }
  if (flight->stage != FlightStage::kClaiming || flight->granted ||
      flight->abandoned)
    return;
  switch (verdict.kind) {
    case OnceVerdictKind::kGranted:
      Granted(now, *flight);
      return;
    case OnceVerdictKind::kReplay:
      AnswerKept(now, *flight, verdict.answer);
      return;
    case OnceVerdictKind::kInProgress:
      flight->in_progress = true;
      return;
    case OnceVerdictKind::kRan:
      Refuse(now, *flight,
             {.code = RefusalCode::kOnceAnswerNotKept,
              .ran = Ran::kRan,
              .message = "a request with this key has run; its answer was too "
                         "large to be kept"});
      return;
    case OnceVerdictKind::kMismatch:
      Refuse(now, *flight,
             {.code = RefusalCode::kIdempotencyKeyReused,
              .message = "this key was used for another request"});
      return;
    case OnceVerdictKind::kNotRun:
      Refuse(now, *flight,
             {.code = RefusalCode::kOnceUnavailable,
              .message = kOnceRefusedMessage,
              .retry_after = std::chrono::seconds(1)});
      return;
    case OnceVerdictKind::kUnknown:
      Refuse(now, *flight,
             {.code = RefusalCode::kOnceOutcomeUnknown,
              .ran = Ran::kUnknown,
              .message =
                  "it is not known whether a request with this key has run"});
      return;
    case OnceVerdictKind::kRedirect:
      return;
  }
}

void FlightDesk::Redirected(TimePoint now,
                            Flight& flight,
                            const std::string& owner) {
  // why: a page without an owner goes to whoever hashing names by then; both
  // wait for the next send
  const bool usable = !owner.empty() && owner != flight.claim_owner;
  flight.claim_owner = owner;
  if (!usable)
    return;
  if (flight.stage == FlightStage::kClaiming && !flight.abandoned)
    SendClaim(now, flight);
  else
    SendOutcomeAgain(now, flight);
}

void FlightDesk::Granted(TimePoint now, Flight& flight) {
  flight.granted = true;
  flight.next_claim_send = kNever;
  Dispatch(now, flight);
}

void FlightDesk::AnswerKept(TimePoint now,
                            Flight& flight,
                            const KeptAnswer& answer) {
  flight.head = {.status = answer.status, .content_type = answer.content_type};
  flight.body = answer.body;
  if (flight.cost_taken)
    m_state.quota.Settle(flight.team, flight.cost);
  AnswerWhole(now, flight);
  Forget(flight);
}

void FlightDesk::SendOutcome(TimePoint now, Flight& flight, OnceResult result) {
  flight.stage = FlightStage::kStoringOutcome;
  flight.outcome = {.claim_id = flight.claim_id,
                    .token = flight.claim_token,
                    .result = result};
  if (result == OnceResult::kWhole &&
      flight.body.size() <= kMaxKeptAnswerBytes) {
    flight.outcome.answer = {.status = flight.head.status,
                             .content_type = flight.head.content_type,
                             .body = flight.body};
  } else if (result == OnceResult::kWhole) {
    // why: a body of this size marks the answer as not kept
    flight.outcome.answer.body.assign(kMaxKeptAnswerBytes + 1, ' ');
  }
  flight.give_up_storing = now + kStorePatience;
  SendOutcomeAgain(now, flight);
}

void FlightDesk::SendOutcomeAgain(TimePoint now, Flight& flight) {
  flight.next_claim_send = now + kClaimResend;
  const std::string owner = ClaimOwner(flight);
  const OnceOutcome outcome = flight.outcome;
  if (owner == m_state.options.vm)
    m_state.once.HandleOutcome(now, m_state.self(), outcome);
  else
    m_state.SendToVm(owner, outcome);
}

void FlightDesk::Take(TimePoint now, const OnceOutcomeStored& stored) {
  Flight* flight = FindClaim(stored.token);
  if (flight == nullptr || flight->stage != FlightStage::kStoringOutcome)
    return;
  if (!flight->abandoned)
    Finish(now, *flight);
  else
    Forget(*flight);
}

}  // namespace boragepick
