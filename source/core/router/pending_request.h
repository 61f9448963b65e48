// One caller's request at its router, from arrival to answer.
#pragma once

#include <cstdint>
#include <set>
#include <string>

#include "common/enum_table.h"
#include "common/time.h"
#include "core/config/config_view.h"
#include "core/idempotency/idempotency_messages.h"
#include "core/peer_messages.h"
#include "core/scheduling/event_stream.h"
#include "core/scheduling/request.h"

namespace boragepick {

enum class RequestStage {
  kWaitingTokens,   // for the team's rate
  kClaiming,        // for the right to run a request that may not be repeated
  kWaitingAgent,    // for an agent that may serve it
  kRunning,         // at an agent
  kStoringOutcome,  // ran; its outcome is being stored before the caller is
                    // told
};

inline constexpr EnumTable kRequestStageNames{std::array{
    EnumName<RequestStage>{RequestStage::kWaitingTokens, "waiting_tokens"},
    EnumName<RequestStage>{RequestStage::kClaiming, "claiming"},
    EnumName<RequestStage>{RequestStage::kWaitingAgent, "waiting_agent"},
    EnumName<RequestStage>{RequestStage::kRunning, "running"},
    EnumName<RequestStage>{RequestStage::kStoringOutcome, "storing_outcome"},
}};

struct PendingRequest {
  CallerRequest request;
  RequestStage stage = RequestStage::kWaitingTokens;
  TimePoint arrived;
  TimePoint deadline;
  // Empty on an open route without a key.
  std::string team;
  // Empty for a plain service.
  ServedModel served;
  std::string pool;
  // Whether it may run more than once.
  bool repeatable = false;
  Tokens cost = 1;
  bool cost_taken = false;
  Fingerprint fingerprint = 0;
  // A suspect runs only with the one place for its fingerprint; the number of
  // the ask for it.
  std::uint64_t trial = 0;
  bool trial_granted = false;

  // The present attempt.
  std::uint32_t attempt = 0;
  std::string agent_vm;
  std::string agent_endpoint;
  TimePoint attempt_started;
  TimePoint last_heard;
  bool acknowledged = false;
  bool resent = false;
  std::uint64_t next_chunk = 0;
  bool cold = false;
  // Agents that failed it.
  std::set<std::string> avoid;
  // Whether some attempt may have run, for the truth of refusals.
  bool may_have_run = false;

  // The answer so far.
  ResponseHead head;
  bool head_sent = false;
  TimePoint first_byte = kNever;
  std::string body;
  EventStream events;

  // Requests that may not be repeated.
  std::uint64_t claim_token = 0;
  std::string claim_id;
  std::string claim_owner;
  bool granted = false;
  bool in_progress = false;
  TimePoint next_claim_send = kNever;
  IdempotencyOutcome outcome;
  TimePoint give_up_storing = kNever;
  // The caller is gone or refused; only the outcome is still awaited.
  bool abandoned = false;
};

}  // namespace boragepick
