// The state of one caller's request at its router, from arrival to response.
#pragma once

#include <cstdint>
#include <set>
#include <string>

#include "common/enum_table.h"
#include "common/time.h"
#include "core/config/config_view.h"
#include "core/idempotency/idempotency_messages.h"
#include "core/peer_messages.h"
#include "core/scheduling/event_stream_parser.h"
#include "core/scheduling/request.h"

namespace boragepick {

enum class RequestStage {
  kWaitingTokens,   // waits for tokens of the team's quota
  kClaiming,        // waits for the idempotency claim
  kWaitingAgent,    // waits for an agent that can serve it
  kRunning,         // runs on an agent
  kStoringOutcome,  // has run; the outcome is stored before the response ends
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
  // Empty if the route is open and the caller sent no key.
  std::string team;
  // Empty for a plain service.
  ServedModel served;
  std::string pool;
  // Whether the request may run more than once.
  bool repeatable = false;
  Tokens cost = 1;
  bool cost_charged = false;
  Fingerprint fingerprint = 0;
  // Number of the slot request for the trial run of a suspect; 0 if there is
  // none. A suspect runs only while it holds the single trial slot of its
  // fingerprint.
  std::uint64_t trial_number = 0;
  bool trial_granted = false;

  // The current attempt.
  std::uint32_t attempt = 0;
  std::string agent_vm;
  std::string agent_endpoint;
  TimePoint attempt_started;
  TimePoint last_message;
  bool acknowledged = false;
  bool resent = false;
  std::uint64_t next_chunk = 0;
  // Bytes of the response that were received, and those that the agent may
  // send in all.
  std::uint64_t received_bytes = 0;
  std::uint64_t response_limit = 0;
  bool cold_start = false;
  // Agents that have failed the request.
  std::set<std::string> failed_agents;
  // Whether any attempt may have run; refusals state this.
  bool may_have_run = false;

  // The response received so far.
  ResponseHead head;
  bool head_sent = false;
  TimePoint first_byte = kNever;
  std::string body;
  EventStreamParser event_parser;
  // What is held of `body` or of an incomplete event.
  std::size_t held_bytes = 0;
  // Bytes of a streamed response that were passed on, and those of them that
  // the caller's connection has accepted.
  std::uint64_t passed_bytes = 0;
  std::uint64_t written_bytes = 0;

  // Idempotency claim; only for requests that are not repeatable.
  std::uint64_t claim_token = 0;
  std::string claim_id;
  std::string claim_owner;
  bool claim_granted = false;
  bool in_progress = false;
  TimePoint next_claim_message = kNever;
  IdempotencyOutcome outcome;
  TimePoint store_outcome_deadline = kNever;
  // The caller has disconnected or was refused; only the outcome remains to be
  // stored.
  bool abandoned = false;
};

}  // namespace boragepick
