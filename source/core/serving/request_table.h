// Takes requests through a router: route and key checks, admission by quota,
// holding until a model is loaded, attempts, retries, resumption of broken
// streams and responses.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "common/latency_histogram.h"
#include "core/scheduling/retry_budget.h"
#include "core/serving/crash_suspects.h"
#include "core/serving/exchange.h"
#include "core/serving/load_planner.h"
#include "core/serving/quota_queue.h"
#include "core/serving/serving_state.h"
#include "core/serving/trial_slots.h"
#include "core/serving/waiting_requests.h"
#include "core/serving/worker_choice.h"

namespace boragepick {

struct TeamQuotaMetrics {
  std::uint64_t admitted_tokens = 0;
  // Requests that had to wait for tokens, and those refused for lack of them.
  std::uint64_t queued = 0;
  std::uint64_t refused = 0;
};

struct ServingMetrics {
  std::uint64_t requests = 0;
  std::uint64_t answered = 0;
  std::map<ServingRefusal, std::uint64_t> refused;
  std::uint64_t held = 0;
  std::uint64_t retried = 0;
  std::uint64_t resumed = 0;
  std::uint64_t cancelled = 0;
  std::uint64_t aborted = 0;
  // Runs that ended with the connection to their worker.
  std::uint64_t broken_runs = 0;
  // Requests that were convicted of crashing workers.
  std::uint64_t requests_convicted = 0;
  // Responses that were not read further because their callers didn't read.
  std::uint64_t paused = 0;
  // Parts of prompts that were convicted of crashing workers, were probed
  // again, or were cleared.
  std::uint64_t parts_convicted = 0;
  std::uint64_t part_probes = 0;
  std::uint64_t parts_cleared = 0;
  // From arrival until the response begins, and until it is complete.
  LatencyHistogram first_byte;
  LatencyHistogram whole_answer;
  // From arrival until admission by the team's quota.
  LatencyHistogram quota_wait;
  std::map<std::string, TeamQuotaMetrics> quota_by_team;
  // How long held requests waited for a usable worker with their model.
  LatencyHistogram hold;
};

class RequestTable {
 public:
  explicit RequestTable(ServingState& state);

  void OnRequest(TimePoint now, std::shared_ptr<const ServingRequest> request);
  void OnCallerDisconnected(TimePoint now,
                            RequestId id,
                            DisconnectReason reason);

  void OnResponseHead(TimePoint now,
                      AttemptNumber attempt,
                      UpstreamResponseHead head);
  void OnResponseBody(TimePoint now,
                      AttemptNumber attempt,
                      std::string_view bytes);
  // The caller has not read `bytes` of the response passed on to it, and all
  // callers together `total` bytes.
  void OnResponseUnsent(TimePoint now,
                        RequestId id,
                        std::size_t bytes,
                        std::size_t total);
  void OnAttemptCompleted(TimePoint now,
                          AttemptNumber attempt,
                          bool ended_by_close);
  void OnAttemptFailed(TimePoint now,
                       AttemptNumber attempt,
                       AttemptFailure failure);

  // A worker was listed, or its state or contents have changed.
  void OnWorkerChanged(const Worker& worker);
  // Dispatches the held requests that were woken by what happened before.
  void DispatchWoken(TimePoint now);
  // Evacuations have begun, taken effect or ended.
  void OnEvacuationsChanged() { m_waiting.OnConfigChanged(); }
  // Places at cold workers have arrived.
  void OnColdPlacesArrived() { m_waiting.OnColdPlacesArrived(); }
  // A new configuration was applied.
  void OnConfigChanged(TimePoint now);
  // Performs the checks of requests that are due.
  void Tick(TimePoint now);

  // Another router has reported a request that may crash workers.
  void OnCrashNotice(TimePoint now, const CrashNotice& notice);
  // Sends the convictions of prompt parts to a router that has started.
  void SendConvictions(TimePoint now, const RouterRecord& router);
  // The coordinator of a slot has answered a request for it.
  void OnTrialGrant(TimePoint now, const SlotGrant& grant);

  // The process stops: open requests are ended at `end`. From `notice_end` on,
  // when callers should have gone elsewhere, only requests that are answered by
  // then are accepted.
  void Drain(TimePoint notice_end, TimePoint end);
  // Ends all open requests because the process stops.
  void EndAll(TimePoint now);
  // The number of routers that divide the fleet's limits has changed.
  void OnRouterCountChanged();
  // Admits queued requests as far as their teams' quota permits.
  void AdmitQueued(TimePoint now);

  // Requests loads of models before a request needs them, a few at a time: of
  // models without a local copy at any worker, and of models that fit into free
  // memory.
  void PreloadModels(TimePoint now);
  // Requests loads of the models that only evacuated workers have loaded.
  void LoadDisplacedModels(TimePoint now);

  TimePoint NextCheck() const;
  std::size_t open() const { return m_exchanges.size(); }
  // Number of the team's requests that wait for tokens.
  std::size_t WaitingForQuota(const std::string& team) const;
  const WaitingRequests& waiting() const { return m_waiting; }
  const ServingMetrics& metrics() const { return m_metrics; }
  const ResponseFlow& response_flow() const { return m_flow; }

 private:
  // A worker that accepts no request rejects it within milliseconds. Two
  // workers must not run one stream for longer than 400 ms, of which a part
  // passes until the cancelled worker notices.
  static constexpr Duration kAcceptanceTime = std::chrono::milliseconds(200);

  RetryBudget& RetryBudgetFor(const std::string& service);

  // Arrival and admission.
  std::optional<ServingRefusal> ResolveRoute(TimePoint now, Exchange& exchange);
  void SelectService(Exchange& exchange);
  void AdmitOrQueue(TimePoint now, Exchange& exchange);
  void AdmitQueuedOfTeam(TimePoint now, const std::string& team);
  // Refuses the team's requests that won't get tokens in time.
  void RefuseLate(TimePoint now, const std::string& team);
  void CheckQueued(TimePoint now, const Exchange& exchange);
  void LeaveQuotaQueue(const Exchange& exchange);
  void OnAdmitted(TimePoint now, Exchange& exchange);

  // Attempts.
  void Dispatch(TimePoint now, Exchange& exchange);
  void DispatchToEngine(TimePoint now,
                        Exchange& exchange,
                        const EngineSpec& engine,
                        std::vector<Worker*> workers);
  void RequestWeights(TimePoint now,
                      const Exchange& exchange,
                      const EngineSpec& engine);
  // Whether the request's weights are loaded nowhere and no controller could
  // load them.
  bool CanNeverLoad(TimePoint now, const Exchange& exchange);
  // Requests the load that the planner chooses, if any. `requester` is the
  // trace id of the request that needs it, for the log.
  void RequestLoad(TimePoint now,
                   const EngineSpec& engine,
                   const std::vector<Worker*>& workers,
                   const LoadTarget& target,
                   const std::string& requester);
  // How many connections this router may have to one worker of the request's
  // service. A worker resets connections beyond its limit for all routers.
  std::uint32_t ConnectionLimit(const Exchange& exchange) const;
  std::vector<Worker*> UsableWorkers(TimePoint now, const Exchange& exchange);
  // Removes the workers to which the request must not be sent, because their
  // data centre is evacuated or in a region where it may not run, or should not
  // be, because it is about to be evacuated and another worker can run it.
  void KeepPermitted(TimePoint now,
                     const Exchange& exchange,
                     std::vector<Worker*>& workers) const;
  bool IsAllowed(const Exchange& exchange, const Worker& worker) const;
  bool IsEvacuated(const Worker& worker) const;
  // Returns why no ready worker may run the request, if that is so.
  std::optional<ServingRefusal> RefusalOfPlaces(TimePoint now,
                                                const Exchange& exchange);
  // Whether the workers that are not evacuated can take one more request of
  // this urgency, as far as this router knows.
  bool HasRoomAfterEvacuation(const Exchange& exchange);
  // Returns the models that only evacuated workers have loaded and that are
  // requested, the most urgent first.
  std::vector<std::string> DisplacedModels(
      TimePoint now,
      const std::string& service,
      const std::vector<Worker*>& remaining);
  // Returns the time until the first worker that may run the request wants
  // requests again, if all of them have asked for a pause.
  std::optional<Duration> CommonPause(TimePoint now, const Exchange& exchange);
  // Holds the request until it gets a place at a cold worker that could run it,
  // or refuses it if that would take too long. Returns false if there is no
  // such worker.
  bool AwaitColdPlace(TimePoint now, Exchange& exchange);
  // Holds the request until a worker is usable, or rejects it if it is known
  // that none will be in time.
  void HoldOrReject(TimePoint now, Exchange& exchange);
  // Workers that are neither draining nor evacuated. Workers in backoff are
  // included, since they can still load weights.
  std::vector<Worker*> ReadyWorkers(const std::string& service);
  // Those in regions where the request may run.
  std::vector<Worker*> ReadyWorkers(const Exchange& exchange);
  void LogLoadRequest(const LoadTarget& target,
                      const PlannedLoad& planned,
                      const std::string& requester);
  // At least 1, since the request being dispatched may not be held yet.
  std::uint32_t HeldRequestCount(const std::string& weights) const;
  void Hold(TimePoint now, Exchange& exchange, WaitReason reason);
  // When a request that waits is refused or its stream aborted.
  TimePoint HoldEnd(const Exchange& exchange) const;
  // The request is held no longer.
  void EndHold(TimePoint now, Exchange& exchange, WaitReason reason);
  void SendTo(TimePoint now, Exchange& exchange, const WorkerChoice& choice);
  // Updates the load of the attempt's worker after the attempt has ended.
  void ReleaseWorker(const Exchange& exchange, Attempt& attempt);
  void CloseAttempt(Exchange& exchange);
  void CancelCurrentAttempt(Exchange& exchange);
  WorkerChoiceInput MakeChoiceInput(const Exchange& exchange) const;

  // Results of attempts.
  // The worker is avoided for a while.
  void RecordWorkerFailure(TimePoint now, Worker& worker);
  // Applies what the response says of its worker: that it is leaving, or wants
  // no requests for a while.
  void RecordWorkerStatements(TimePoint now,
                              const Exchange& exchange,
                              const UpstreamResponseHead& head);
  void ForwardEvents(TimePoint now, Exchange& exchange, std::string_view bytes);
  // Passes the part of a plain response on that was held back until its end.
  void ForwardBuffered(TimePoint now, Exchange& exchange);
  // Whether the router holds more of the response without passing it on than
  // it may.
  bool HoldsTooMuch(const Attempt& attempt, std::size_t limit) const;
  void RecordHeldBytes(Attempt& attempt, std::size_t bytes);
  void PauseOrResume(TimePoint now, Exchange& exchange);
  void RecordRejection(TimePoint now,
                       Exchange& exchange,
                       const UpstreamResponseHead& head);
  void RetryRejected(TimePoint now, Exchange& exchange);
  void HandleAttemptFailure(TimePoint now,
                            Exchange& exchange,
                            const std::string& reason);
  // Avoids the worker of the current attempt for a while.
  void SuspectWorker(TimePoint now,
                     const Exchange& exchange,
                     const std::string& reason);
  // Cancels the current attempt; its worker is not tried again.
  void GiveUpAttempt(Exchange& exchange);
  void RecordProgress(TimePoint now, Exchange& exchange);
  bool CanRetry(TimePoint now, const Exchange& exchange, bool has_run) const;
  // The same without the limit of attempts, which rejections use up.
  bool CanRunAgain(TimePoint now, const Exchange& exchange, bool has_run) const;
  void Retry(TimePoint now, Exchange& exchange, const std::string& reason);
  void CheckRunning(TimePoint now, Exchange& exchange);
  void CheckProgress(TimePoint now, Exchange& exchange);
  // Keeps the current attempt, whose worker is silent, while another worker is
  // tried.
  void SetSilentAttemptAside(Exchange& exchange);
  // Makes the silent attempt the current one again.
  void ContinueSilentAttempt(TimePoint now, Exchange& exchange);
  void CancelSilentAttempt(Exchange& exchange);
  // Whether a worker other than the current one could run the request.
  bool HasOtherWorker(TimePoint now, const Exchange& exchange);

  // Whether the request may be sent. Copies of a request that may crash workers
  // run one at a time over all routers.
  bool HasTurn(TimePoint now, const Exchange& exchange);
  // Releases the slot that the request holds or waits for.
  void ReleaseTrial(const Exchange& exchange);
  void SendTrialRequests();

  // Detection of requests that crash workers.
  void RecordSuspectedCrash(TimePoint now,
                            const Exchange& exchange,
                            const Attempt& attempt);
  void OnRequestConvicted(TimePoint now, Fingerprint fingerprint);
  // Schedules checks of requests that wait here or at workers, which they would
  // still crash.
  void CheckOpenRequests(TimePoint now);
  void RecordAnswerProgress(TimePoint now, Exchange& exchange);
  void RecordCompletedRun(TimePoint now, const Exchange& exchange);
  void OnPartsCleared(const Exchange& exchange, const CrashNotice& notice);
  // Returns whether a prompt part was convicted.
  bool OnConvictions(TimePoint now);
  void BroadcastConvictions(TimePoint now);
  // Sends the convictions to a random router from time to time, because notices
  // may have been lost.
  void ShareConvictions(TimePoint now);
  std::optional<PromptPartId> FindConvictedPart(TimePoint now,
                                                const Exchange& exchange);
  // Refuse a request that would crash a worker, before it is sent or while it
  // waits at a worker. They return whether they did, which destroys the
  // exchange.
  bool RefuseConvicted(TimePoint now, Exchange& exchange);
  bool CancelConvicted(TimePoint now, Exchange& exchange);

  // Ends of requests. These destroy the exchange.
  // `retry_after` replaces the usual time after which the caller may return.
  void Refuse(TimePoint now,
              Exchange& exchange,
              ServingRefusal refusal,
              std::optional<Duration> retry_after = std::nullopt);
  void CompleteResponse(TimePoint now, Exchange& exchange);
  void Abort(TimePoint now, Exchange& exchange, const std::string& reason);
  void TimeOut(TimePoint now, Exchange& exchange);
  void Remove(Exchange& exchange);

  // Schedules a check of the request at `when` unless an earlier one is due.
  void ScheduleCheck(Exchange& exchange, TimePoint when);
  // How long a request without a response may be held, from its arrival.
  Duration HoldLimit(const Exchange& exchange) const;
  Exchange* Find(RequestId id);
  // Returns the request whose current attempt has this number. A silent attempt
  // that has received something becomes the current one.
  Exchange* FindAttempt(TimePoint now, AttemptNumber attempt);
  Exchange* FindSilentAttempt(AttemptNumber attempt);
  // Whether this router is the one that requests the model's load in advance.
  // The routers take turns until the model is there.
  bool IsTurnToPreload(TimePoint now, const std::string& model);
  // Requests the loads of the first `limit` of `models` that are this router's
  // turn.
  void PreloadModels(TimePoint now,
                     const EngineSpec& engine,
                     const std::vector<Worker*>& workers,
                     std::vector<std::string> models,
                     std::size_t limit,
                     std::uint32_t waiting);

  ServingState& m_state;
  LeastExpectedDelay m_policy;
  LoadPlanner m_load_planner;
  CrashSuspects m_crash_suspects;
  TrialSlots m_trials;
  // By service.
  std::map<std::string, RetryBudget> m_retry_budgets;
  ServingMetrics m_metrics;
  ResponseFlow m_flow;
  // Requests whose current attempt is paused.
  std::set<RequestId> m_paused;
  std::unordered_map<RequestId, Exchange> m_exchanges;
  std::unordered_map<AttemptNumber, RequestId> m_attempts;
  // Requests that wait for their team's quota, by team.
  std::map<std::string, QuotaQueue> m_quota_queues;
  // The held requests.
  WaitingRequests m_waiting;
  // The next check of each request, in order of time.
  std::set<std::pair<TimePoint, RequestId>> m_checks;
  AttemptNumber m_last_attempt = 0;
  TimePoint m_next_conviction_share = TimePoint{};
  // Since when a model is known to need a load in advance.
  std::map<std::string, TimePoint> m_preload_since;
  // See Drain().
  TimePoint m_notice_end = kNever;
  TimePoint m_end_at = kNever;
};

}  // namespace boragepick
