// Carries requests through a router: routing, keys, quota, the hold for a model
// that is being loaded, attempts, retries, resumed streams, answers.
#pragma once

#include <cstdint>
#include <deque>
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
#include "core/serving/serving_state.h"
#include "core/serving/worker_choice.h"

namespace boragepick {

struct ServingMetrics {
  std::uint64_t requests = 0;
  std::uint64_t answered = 0;
  std::map<ServingRefusal, std::uint64_t> refused;
  std::uint64_t held = 0;
  std::uint64_t retried = 0;
  std::uint64_t resumed = 0;
  std::uint64_t cancelled = 0;
  std::uint64_t aborted = 0;
  // From arrival until the answer begins, and until it is whole.
  LatencyHistogram first_byte;
  LatencyHistogram whole_answer;
  // From arrival until a team's tokens were there.
  LatencyHistogram quota_wait;
  // The time that held requests waited for a worker with their model.
  LatencyHistogram hold;
};

class RequestTable {
 public:
  explicit RequestTable(ServingState& state);

  void OnRequest(TimePoint now, std::shared_ptr<const ServingRequest> request);
  void OnCallerDisconnected(TimePoint now, RequestId id);

  void OnResponseHead(TimePoint now, AttemptNumber attempt, UpstreamHead head);
  void OnResponseBody(TimePoint now,
                      AttemptNumber attempt,
                      std::string_view bytes);
  void OnAttemptCompleted(TimePoint now, AttemptNumber attempt);
  void OnAttemptFailed(TimePoint now,
                       AttemptNumber attempt,
                       AttemptFailure failure);

  // The configuration or the workers have changed: looks at what is held.
  void DispatchHeld(TimePoint now);
  // Teams or their limits have changed.
  void OnConfigChanged(TimePoint now);
  // The worker has left: nothing new goes there, what runs there goes on.
  void Tick(TimePoint now);

  // Another router tells of a request that breaks workers.
  void OnCrashNotice(TimePoint now, const CrashNotice& notice);

  // The process ends: answers what is open as truly as can be.
  void EndAll(TimePoint now);
  // The number of routers that share the fleet's limits has changed.
  void OnRouterCountChanged();
  // Tokens may have come.
  void AdmitQueued(TimePoint now);

  // Has models that are at hand nowhere loaded before they are asked for, a few
  // at a time.
  void PreloadModels(TimePoint now);

  TimePoint NextCheck() const;
  std::size_t open() const { return m_exchanges.size(); }
  std::size_t held() const { return m_held.size(); }
  const ServingMetrics& metrics() const { return m_metrics; }

 private:
  RetryBudget& RetryBudgetFor(const std::string& service);

  // Arrival.
  std::optional<ServingRefusal> ResolveRoute(TimePoint now, Exchange& exchange);
  void SelectService(Exchange& exchange);
  void AdmitOrQueue(TimePoint now, Exchange& exchange);
  void AdmitQueuedOf(TimePoint now, const std::string& team);
  void ReportQueuedCost(const std::string& team);
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
  void RequestLoad(TimePoint now,
                   const EngineSpec& engine,
                   const std::vector<Worker*>& workers,
                   const WeightsNeed& need,
                   const std::string& reason);
  // Connections that this router may have to one worker of the service: a
  // worker resets those beyond its limit.
  std::uint32_t ConnectionLimit(const std::string& service) const;
  std::vector<Worker*> UsableWorkers(TimePoint now, const std::string& service);
  // Those that are not leaving, also while they rest: they can load.
  std::vector<Worker*> ReadyWorkers(const std::string& service);
  void LogLoadRequest(const WeightsNeed& need,
                      const PlannedLoad& planned,
                      const std::string& reason);
  std::uint32_t HeldRequestCount(const std::string& weights) const;
  void ReleaseHold(const Exchange& exchange);
  void Hold(TimePoint now, Exchange& exchange, const std::string& why);
  void SendTo(TimePoint now, Exchange& exchange, const WorkerChoice& choice);
  void CloseAttempt(Exchange& exchange);
  void CancelCurrentAttempt(Exchange& exchange);
  WorkerChoiceInput MakeChoiceInput(const Exchange& exchange) const;

  // What an attempt brought.
  void ForwardEvents(TimePoint now, Exchange& exchange, std::string_view bytes);
  void RecordRejection(TimePoint now,
                       Exchange& exchange,
                       const UpstreamHead& head);
  void RetryRejected(TimePoint now, Exchange& exchange);
  void HandleAttemptFailure(TimePoint now,
                            Exchange& exchange,
                            const std::string& why);
  void RecordSuspectedCrash(TimePoint now, const Exchange& exchange);
  void RecordProgress(TimePoint now, Exchange& exchange);
  bool CanRetry(TimePoint now, const Exchange& exchange, bool has_run) const;
  void Retry(TimePoint now, Exchange& exchange, const std::string& why);
  void CheckProgress(TimePoint now, Exchange& exchange);
  // Whether another worker could take the running request over.
  bool HasOtherWorker(TimePoint now, const Exchange& exchange);

  // Endings.
  void Refuse(TimePoint now, Exchange& exchange, ServingRefusal refusal);
  void CompleteResponse(TimePoint now, Exchange& exchange);
  void Abort(TimePoint now, Exchange& exchange, const std::string& why);
  void TimeOut(TimePoint now, Exchange& exchange);
  void Remove(Exchange& exchange);

  void ScheduleCheck(Exchange& exchange, TimePoint when);
  Duration HoldLimit(const Exchange& exchange) const;
  Exchange* Find(RequestId id);
  Exchange* FindAttempt(AttemptNumber attempt);

  ServingState& m_state;
  LeastExpectedDelay m_policy;
  LoadPlanner m_load_planner;
  CrashSuspects m_crash_suspects;
  // By service.
  std::map<std::string, RetryBudget> m_budgets;
  ServingMetrics m_metrics;
  std::unordered_map<RequestId, Exchange> m_exchanges;
  std::unordered_map<AttemptNumber, RequestId> m_attempts;
  // Requests that wait for tokens, by team and in order of arrival.
  std::map<std::string, std::deque<RequestId>> m_quota_queues;
  // In order of arrival.
  std::set<RequestId> m_held;
  // Held requests by their weights.
  std::map<std::string, std::uint32_t> m_held_by_weights;
  std::set<std::pair<TimePoint, RequestId>> m_checks;
  AttemptNumber m_last_attempt = 0;
};

}  // namespace boragepick
