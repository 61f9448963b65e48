// Carries callers' requests through a router: checks, tokens, idempotency
// claims, choice of an agent, attempts, retries, answers. It alone answers the
// requests it took.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "common/summary.h"
#include "core/router/agent_table.h"
#include "core/router/pending_request.h"
#include "core/router/router_state.h"
#include "core/scheduling/load_balancing.h"
#include "core/scheduling/quarantine.h"
#include "core/scheduling/retry_budget.h"

namespace boragepick {

// Counters and summaries of one router; seconds where a unit is needed.
struct SchedulerMetrics {
  std::uint64_t requests = 0;
  std::uint64_t answered = 0;
  std::map<RefusalCode, std::uint64_t> refused;
  std::uint64_t retries = 0;
  std::uint64_t tokens = 0;
  std::map<std::string, std::uint64_t> admitted_tokens_by_team;
  std::map<std::string, std::uint64_t> refused_by_team;
  Summary first_token_warm;
  Summary first_token_cold;
  Summary token_wait;
};

class RequestScheduler {
 public:
  // An agent says at least so often that an attempt is in its hands.
  static constexpr Duration kSilence = std::chrono::seconds(3);
  // An attempt that is not acknowledged is sent again over a new connection
  // after so long.
  static constexpr Duration kAckTimeout = std::chrono::milliseconds(700);
  // Wait before a request goes to another agent after one said that it did not
  // run it.
  static constexpr Duration kRedispatchDelay = std::chrono::milliseconds(20);
  static constexpr Duration kClaimResend = std::chrono::milliseconds(300);
  // The caller is answered after so long even if the outcome could not be
  // stored.
  static constexpr Duration kStorePatience = std::chrono::milliseconds(1500);
  static constexpr std::uint32_t kMaxAttempts = 8;
  // A whole answer that is not streamed may be so large, in bytes.
  static constexpr std::size_t kMaxBodyBytes = 8 << 20;

  RequestScheduler(RouterState& state, AgentTable& agents)
      : m_state(state), m_agents(agents) {}

  void Arrive(TimePoint now, CallerRequest request);
  void CallerLeft(TimePoint now, RequestId id);

  void Take(TimePoint now, const PeerSender& from, const RunProgress& message);
  void Take(TimePoint now, const PeerSender& from, RunHead message);
  void Take(TimePoint now, const PeerSender& from, RunChunk message);
  void Take(TimePoint now, const PeerSender& from, const RunEnded& message);
  void Take(TimePoint now, const IdempotencyVerdict& verdict);
  void Take(TimePoint now, const IdempotencyOutcomeStored& stored);
  void Take(TimePoint now, const SlotGrant& grant);
  void Take(TimePoint now, const CrashNotice& notice) {
    m_quarantine.Take(now, notice);
  }

  // Tokens may have come, or an agent may have become usable.
  void Pump(TimePoint now);
  // Keys or routes have changed: ends what is not allowed any more.
  void CheckKeys(TimePoint now);
  void Tick(TimePoint now);

  std::size_t OpenRequests() const { return m_pending.size(); }
  std::size_t WaitingOf(const std::string& team) const;
  // Whether tokens, claims or agents are waited for, so that the next tick
  // comes soon.
  bool Waiting() const {
    return m_waiting_tokens > 0 || !m_waiting_agent.empty();
  }
  const SchedulerMetrics& metrics() const { return m_metrics; }

 private:
  // Arrival.
  bool Identify(PendingRequest& pending, Refusal& refusal) const;
  bool ResolveTarget(TimePoint now, PendingRequest& pending, Refusal& refusal);
  bool CheckCost(const PendingRequest& pending, Refusal& refusal) const;
  void WaitForTokens(TimePoint now, PendingRequest& pending);
  void Admitted(TimePoint now, PendingRequest& pending);
  void PumpTeam(TimePoint now,
                const std::string& team,
                std::deque<RequestId>& queue);
  void ShowWaiting(const std::string& team);

  // Once-claims.
  void StartClaim(TimePoint now, PendingRequest& pending);
  void SendClaim(TimePoint now, PendingRequest& pending);
  void SendOutcome(TimePoint now,
                   PendingRequest& pending,
                   IdempotencyResult result);
  void SendOutcomeAgain(TimePoint now, PendingRequest& pending);
  void Granted(TimePoint now, PendingRequest& pending);
  void Redirected(TimePoint now,
                  PendingRequest& pending,
                  const std::string& owner);
  void AnswerKept(TimePoint now,
                  PendingRequest& pending,
                  const KeptAnswer& answer);
  std::string ClaimOwner(const PendingRequest& pending) const;

  // Attempts.
  void Dispatch(TimePoint now, PendingRequest& pending);
  void SendRun(TimePoint now, PendingRequest& pending);
  bool MayRunSuspect(TimePoint now, PendingRequest& pending);
  void AskForTrial(PendingRequest& pending, bool done);
  void AttemptNotRun(TimePoint now,
                     PendingRequest& pending,
                     const std::string& why);
  void AttemptLost(TimePoint now,
                   PendingRequest& pending,
                   const std::string& why);
  void AttemptWhole(TimePoint now, PendingRequest& pending);
  void TakeCrash(TimePoint now,
                 PendingRequest& pending,
                 const std::string& crash);
  void CancelAttempt(PendingRequest& pending);
  void WaitForAgent(TimePoint now, PendingRequest& pending, TimePoint until);
  void CheckSilence(TimePoint now, PendingRequest& pending);
  void CheckProgress(TimePoint now);

  // Endings.
  void Refuse(TimePoint now, PendingRequest& pending, Refusal refusal);
  void Finish(TimePoint now, PendingRequest& pending);
  void AnswerWhole(TimePoint now, PendingRequest& pending);
  void Forget(PendingRequest& pending);
  void Expire(TimePoint now, PendingRequest& pending);
  void Abandon(TimePoint now, PendingRequest& pending);
  ExecutionStatus ExecutionOf(const PendingRequest& pending) const;

  PendingRequest* FindAttempt(const PeerSender& from, const AttemptId& id);
  PendingRequest* Find(RequestId id);
  PendingRequest* FindClaim(std::uint64_t token);

  RouterState& m_state;
  AgentTable& m_agents;
  PrefixAffinityPolicy m_policy;
  Quarantine m_quarantine;
  RetryBudget m_retry_budget;
  SchedulerMetrics m_metrics;
  std::unordered_map<RequestId, PendingRequest> m_pending;
  std::map<std::uint64_t, RequestId> m_claims;
  std::uint64_t m_last_token = 0;
  std::map<std::uint64_t, RequestId> m_trials;
  std::uint64_t m_last_trial = 0;
  // Requests that wait for tokens, in order of arrival.
  std::map<std::string, std::deque<RequestId>> m_token_queues;
  std::size_t m_waiting_tokens = 0;
  // Requests that wait for an agent, and until when at least.
  std::map<RequestId, TimePoint> m_waiting_agent;
  std::set<std::pair<TimePoint, RequestId>> m_deadlines;
};

}  // namespace boragepick
