// The requests that an agent has in its hands: waiting for their model, queued
// for a place at the upstream, or running. It is the authority for what has
// been started.
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
  std::uint64_t taken = 0;
  std::uint64_t started = 0;
  std::map<RunOutcome, std::uint64_t> ended;
  std::uint64_t crashes = 0;
  Summary queue_seconds;
};

class RunScheduler {
 public:
  // A router is told so often that an attempt is in hand, unless other messages
  // tell it.
  static constexpr Duration kProgressPeriod = std::chrono::seconds(1);
  // Ended attempts are remembered for so long, so that a late doubled request
  // is not run again.
  static constexpr Duration kEndedLife = std::chrono::seconds(60);
  // Changes of the load alone are reported so often; they also travel with the
  // end of each run.
  static constexpr Duration kLoadReportPeriod = std::chrono::seconds(5);
  // Other changes at most so often.
  static constexpr Duration kReportPeriod = std::chrono::milliseconds(100);
  // Routers that sent nothing for so long get no reports.
  static constexpr Duration kRouterLife = std::chrono::seconds(10);

  RunScheduler(AgentState& state, LoadScheduler& units)
      : m_state(state), m_units(units) {}

  void Take(TimePoint now, const PeerSender& from, RunRequest request);
  void Take(TimePoint now, const PeerSender& from, const CancelRun& cancel);
  void Take(TimePoint now, const UpstreamHead& head);
  void Take(TimePoint now, UpstreamBytes bytes);
  void Take(TimePoint now, const UpstreamEnded& ended);
  // Decides what became of the runs that a broken connection ended.
  void Take(TimePoint now, const InventoryReceived& inventory);

  // Moves waiting requests on.
  void Pump(TimePoint now);
  void Tick(TimePoint now);

  // From here on new requests are refused.
  void Close() { m_closed = true; }
  std::size_t OpenRuns() const { return m_runs.size(); }
  AgentReport Report() const;
  const RunMetrics& metrics() const { return m_metrics; }

 private:
  enum class RunStage { kWaitingUnit, kQueued, kRunning, kBroken };

  // Names an attempt over all routers and their restarts.
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
    TimePoint last_told;
    TimePoint last_progress;
    std::uint64_t chunks = 0;
    bool in_use = false;
    std::string detail;
  };

  std::string ReasonToRefuse(TimePoint now, const RunRequest& request) const;
  void WaitAgain(TimePoint now, RunNumber number, Run& run);
  void EndUnstarted(TimePoint now);
  void RememberEnded(TimePoint now, const RunKey& key);
  void ForgetEnded(TimePoint now);
  void StartNext(TimePoint now);
  void Start(TimePoint now, RunNumber number, Run& run);
  void End(TimePoint now,
           RunNumber number,
           RunOutcome end,
           const std::string& detail,
           const std::string& crash = "");
  void Tell(TimePoint now, Run& run, PeerMessage message);
  void MoveWaiting(TimePoint now);
  void EndRefused(TimePoint now);
  void CheckTimes(TimePoint now);
  void SendReports(TimePoint now);
  void ReportReleases(TimePoint now, const AgentReport& report);
  Run* Find(RunNumber number);

  AgentState& m_state;
  LoadScheduler& m_units;
  FairQueue m_queue;
  std::map<RunNumber, Run> m_runs;
  std::map<RunKey, RunNumber> m_numbers;
  std::set<RunKey> m_ended;
  // The same in the order in which they are forgotten.
  std::deque<std::pair<TimePoint, RunKey>> m_ended_order;
  std::set<RunNumber> m_waiting;
  RunNumber m_last_number = 0;
  std::uint32_t m_running = 0;
  // A suspect runs alone.
  bool m_suspect_running = false;
  // The suspect that waits until nothing else runs.
  std::optional<RunNumber> m_suspect_next;
  std::string m_engine_run;
  std::uint64_t m_crash_count = 0;
  struct Router {
    std::string endpoint;
    TimePoint used;
  };
  std::map<std::string, Router> m_routers;
  bool m_closed = false;
  AgentReport m_reported;
  TimePoint m_next_report = TimePoint{};
  TimePoint m_next_load_report = TimePoint{};
  TimePoint m_next_release_report = TimePoint{};
  RunMetrics m_metrics;
};

}  // namespace boragepick
