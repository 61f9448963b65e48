// Schedules callers' requests on a router, from arrival to response:
// authorization, quota, idempotency claims, agent selection, attempts and
// retries.
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

// Counters and summaries of one router; durations are in seconds.
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
  // An attempt without any message from the agent for this time has failed.
  static constexpr Duration kSilenceTimeout = std::chrono::seconds(3);
  // An attempt without an acknowledgement for this time is sent again over a
  // new connection.
  static constexpr Duration kAckTimeout = std::chrono::milliseconds(700);
  // Delay before a request that an agent did not run goes to another agent.
  static constexpr Duration kRedispatchDelay = std::chrono::milliseconds(20);
  static constexpr Duration kClaimResendInterval =
      std::chrono::milliseconds(300);
  // The caller gets the response after this time even if the outcome could not
  // be stored.
  static constexpr Duration kStoreOutcomeTimeout =
      std::chrono::milliseconds(1500);
  static constexpr std::uint32_t kMaxAttempts = 8;
  // Limit of a response that is not streamed.
  static constexpr std::size_t kMaxBodyBytes = 8 << 20;

  RequestScheduler(RouterState& state, AgentTable& agents)
      : m_state(state), m_agents(agents), m_flow(state.options.response_flow) {}

  void HandleCallerRequest(TimePoint now, CallerRequest request);
  void HandleCallerDisconnect(TimePoint now, RequestId id);

  void Handle(TimePoint now,
              const PeerSender& from,
              const RunProgress& message);
  void Handle(TimePoint now, const PeerSender& from, RunHead message);
  void Handle(TimePoint now, const PeerSender& from, RunChunk message);
  void Handle(TimePoint now, const PeerSender& from, const RunEnded& message);
  void Handle(const CallerResponseWritten& event);
  void Handle(TimePoint now, const IdempotencyVerdict& verdict);
  void Handle(TimePoint now, const IdempotencyOutcomeStored& stored);
  void Handle(TimePoint now, const SlotGrant& grant);
  void Handle(TimePoint now, const CrashNotice& notice) {
    m_quarantine.Apply(now, notice);
  }

  // Admits requests that wait for tokens and dispatches those that wait for an
  // agent. Called when tokens or agents may have become available.
  void AdmitAndDispatch(TimePoint now);
  // Refuses open requests whose key no longer belongs to their team. Called
  // after a configuration change.
  void RefuseRevokedKeys(TimePoint now);
  void Tick(TimePoint now);

  std::size_t OpenRequests() const { return m_pending.size(); }
  std::size_t WaitingRequests(const std::string& team) const;
  // Whether requests wait for tokens or agents, so that the next tick is due
  // soon.
  bool HasWaitingRequests() const {
    return m_waiting_tokens > 0 || !m_waiting_agent.empty();
  }
  const SchedulerMetrics& metrics() const { return m_metrics; }

 private:
  // Arrival and admission.
  bool Authorize(PendingRequest& pending, Refusal& refusal) const;
  bool ResolveTarget(TimePoint now, PendingRequest& pending, Refusal& refusal);
  bool CheckBurst(const PendingRequest& pending, Refusal& refusal) const;
  void EnqueueForTokens(TimePoint now, PendingRequest& pending);
  void StartAdmitted(TimePoint now, PendingRequest& pending);
  void AdmitTeam(TimePoint now,
                 const std::string& team,
                 std::deque<RequestId>& queue);
  void UpdateQueuedCost(const std::string& team);

  // Idempotency claims.
  void StartClaim(TimePoint now, PendingRequest& pending);
  void SendClaim(TimePoint now, PendingRequest& pending);
  void StartStoringOutcome(TimePoint now,
                           PendingRequest& pending,
                           IdempotencyResult result);
  void SendOutcome(TimePoint now, PendingRequest& pending);
  void HandleClaimGranted(TimePoint now, PendingRequest& pending);
  void HandleRedirect(TimePoint now,
                      PendingRequest& pending,
                      const std::string& owner);
  void ReplayStoredResponse(TimePoint now,
                            PendingRequest& pending,
                            const KeptAnswer& answer);
  std::string ClaimOwner(const PendingRequest& pending) const;

  // Attempts.
  void Dispatch(TimePoint now, PendingRequest& pending);
  void SendRunRequest(TimePoint now, PendingRequest& pending);
  // Sends the evidence against requests that crash engines to a random router
  // from time to time, because routers may have missed the first notices.
  void ShareCrashEvidence(TimePoint now);
  bool CheckQuarantine(TimePoint now, PendingRequest& pending);
  void SendTrialSlotRequest(PendingRequest& pending, bool release);
  void HandleNotRun(TimePoint now,
                    PendingRequest& pending,
                    const std::string& reason);
  void HandleAttemptFailure(TimePoint now,
                            PendingRequest& pending,
                            const std::string& reason);
  void HandleAttemptComplete(TimePoint now, PendingRequest& pending);
  void RecordCrash(TimePoint now,
                   PendingRequest& pending,
                   const std::string& crash);
  void CancelAttempt(PendingRequest& pending);
  void RecordHeldBytes(PendingRequest& pending, std::size_t bytes);
  // Whether more is held of a response without passing it on than `limit`, or
  // than permitted while memory is short.
  bool HoldsTooMuch(const PendingRequest& pending, std::size_t limit) const;
  // Permits the agent to send more, as far as the caller has read.
  void ExtendCredit(PendingRequest& pending);
  void SendCredit(const PendingRequest& pending);
  void WaitForAgent(TimePoint now, PendingRequest& pending, TimePoint until);
  void CheckSilence(TimePoint now, PendingRequest& pending);
  void CheckTimeouts(TimePoint now);

  // Completion.
  void Refuse(TimePoint now, PendingRequest& pending, Refusal refusal);
  void Complete(TimePoint now, PendingRequest& pending);
  void CompleteResponse(TimePoint now, PendingRequest& pending);
  void Erase(PendingRequest& pending);
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
  TimePoint m_next_evidence_share = TimePoint{};
  RetryBudget m_retry_budget;
  SchedulerMetrics m_metrics;
  ResponseFlow m_flow;
  std::unordered_map<RequestId, PendingRequest> m_pending;
  std::map<std::uint64_t, RequestId> m_claims;
  std::uint64_t m_last_token = 0;
  std::map<std::uint64_t, RequestId> m_trials;
  std::uint64_t m_last_trial = 0;
  // Requests that wait for tokens, by team, in order of arrival.
  std::map<std::string, std::deque<RequestId>> m_token_queues;
  std::size_t m_waiting_tokens = 0;
  // Requests that wait for an agent, with the earliest time to try again.
  std::map<RequestId, TimePoint> m_waiting_agent;
  std::set<std::pair<TimePoint, RequestId>> m_deadlines;
};

}  // namespace boragepick
