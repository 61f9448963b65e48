// Schedules the requests that routers have sent to this agent: they wait for
// their model, queue for a slot of the upstream, and run. The scheduler is the
// authority for which requests have been started.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "common/summary.h"
#include "common/time.h"
#include "core/agent/agent_state.h"
#include "core/agent/load_scheduler.h"
#include "core/scheduling/fair_queue.h"

namespace boragepick {

struct RunMetrics {
  std::uint64_t received = 0;
  std::uint64_t started = 0;
  std::map<RunOutcome, std::uint64_t> ended;
  std::uint64_t crashes = 0;
  Summary queue_seconds;
};

class RunScheduler {
 public:
  // Interval of progress messages to the router of an attempt, unless other
  // messages about the attempt are sent.
  static constexpr Duration kProgressPeriod = std::chrono::seconds(1);
  // The ids of ended attempts are kept for this long, so that a late duplicate
  // of a request is not run again.
  static constexpr Duration kEndedRetention = std::chrono::seconds(60);
  // Shortest interval between reports if only the load has changed. RunEnded
  // messages also carry the load.
  static constexpr Duration kLoadReportPeriod = std::chrono::seconds(5);
  // Shortest interval between reports of other changes.
  static constexpr Duration kReportPeriod = std::chrono::milliseconds(100);
  // Routers that sent no request for this long get no reports.
  static constexpr Duration kRouterExpiry = std::chrono::seconds(10);

  RunScheduler(AgentState& state, LoadScheduler& units)
      : m_state(state), m_units(units) {}

  void Handle(TimePoint now, const PeerSender& from, RunRequest request);
  void Handle(TimePoint now, const PeerSender& from, const CancelRun& cancel);
  void Handle(TimePoint now, const PeerSender& from, const RunCredit& credit);
  void Handle(TimePoint now, const UpstreamHead& head);
  void Handle(TimePoint now, UpstreamBytes bytes);
  void Handle(TimePoint now, const UpstreamEnded& ended);
  // Ends the runs whose connection broke, as crashed if the engine has
  // restarted or does not answer.
  void Handle(TimePoint now, const InventoryReceived& inventory);

  // Starts the waiting and queued requests that can run now.
  void Dispatch(TimePoint now);
  void Tick(TimePoint now);

  // Refuses all new requests from now on.
  void StopAdmission() { m_admission_stopped = true; }
  std::size_t OpenRuns() const { return m_runs.size(); }
  AgentReport Report() const;
  const RunMetrics& metrics() const { return m_metrics; }

 private:
  enum class RunStage { kWaitingUnit, kQueued, kRunning, kBroken };

  // Identifies an attempt across all routers and their restarts.
  struct RunKey {
    std::string router;
    Incarnation incarnation = 0;
    AttemptId id;
    auto operator<=>(const RunKey&) const = default;
  };
  struct Run {
    RunKey key;
    PeerSender from;
    RunRequest request;
    RunStage stage = RunStage::kWaitingUnit;
    TimePoint arrived;
    TimePoint deadline;
    TimePoint last_sent;
    TimePoint last_progress;
    std::uint64_t chunks = 0;
    std::uint64_t sent_bytes = 0;
    bool in_use = false;
    std::string detail;

    // The router must permit more before the response is read further.
    bool AwaitsCredit() const {
      return request.response_limit > 0 && sent_bytes >= request.response_limit;
    }
  };

  // Returns an empty string if the request is accepted.
  std::string RefusalReason(TimePoint now, const RunRequest& request) const;
  void ReturnToWaiting(TimePoint now, RunNumber number, Run& run);
  void EndUnstarted(TimePoint now);
  void RecordEnded(TimePoint now, const RunKey& key);
  void RemoveExpiredEnded(TimePoint now);
  void StartNext(TimePoint now);
  void Start(TimePoint now, RunNumber number, Run& run);
  void End(TimePoint now,
           RunNumber number,
           RunOutcome end,
           const std::string& detail,
           const std::string& crash = "");
  void SendToRouter(TimePoint now, Run& run, PeerMessage message);
  void EnqueueReady(TimePoint now);
  void EndRefused(TimePoint now);
  void CheckTimeouts(TimePoint now);
  void SendReports(TimePoint now);
  void ReportReleases(TimePoint now, const AgentReport& report);
  Run* Find(RunNumber number);

  AgentState& m_state;
  LoadScheduler& m_units;
  FairQueue m_queue;
  std::map<RunNumber, Run> m_runs;
  std::map<RunKey, RunNumber> m_numbers;
  std::set<RunKey> m_ended;
  // The same attempts in the order of their expiry.
  std::deque<std::pair<TimePoint, RunKey>> m_ended_order;
  std::set<RunNumber> m_waiting;
  RunNumber m_last_number = 0;
  std::uint32_t m_running = 0;
  // Bytes of the bodies of all requests.
  std::size_t m_request_bytes = 0;
  // A suspect is a request that may crash the engine. It runs alone.
  bool m_suspect_running = false;
  // The suspect that waits until no other request runs.
  std::optional<RunNumber> m_suspect_next;
  std::string m_engine_run;
  std::uint64_t m_crash_count = 0;
  struct Router {
    std::string endpoint;
    TimePoint last_request;
  };
  std::map<std::string, Router> m_routers;
  bool m_admission_stopped = false;
  AgentReport m_reported;
  TimePoint m_next_report = TimePoint{};
  TimePoint m_next_load_report = TimePoint{};
  TimePoint m_next_release_report = TimePoint{};
  RunMetrics m_metrics;
};

}  // namespace boragepick
