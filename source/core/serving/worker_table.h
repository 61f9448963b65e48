// A router's view of the workers: their entries in the list of workers, the
// engine updates sent by controllers, and this router's own load on each worker
// with its recent latency and failures.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "common/time.h"
#include "core/engine/engine_messages.h"
#include "core/serving/serving_request.h"
#include "core/serving/worker_entry.h"

namespace boragepick {

// Estimates the content of a worker's prefix cache from the prompt parts that
// this router recently sent to it. Used only as a hint.
class PrefixCacheEstimate {
 public:
  static constexpr std::size_t kMaxParts = 2'000;

  // Returns the number of tokens in the longest recorded prefix of `prompt` for
  // `weights`.
  std::uint32_t CachedTokens(const std::string& weights,
                             const std::vector<PromptPart>& prompt) const;
  void RecordPrompt(const std::string& weights,
                    const std::vector<PromptPart>& prompt);
  void Clear();

 private:
  std::unordered_set<std::uint64_t> m_prefixes;
  std::deque<std::uint64_t> m_insertion_order;
};

struct Worker {
  WorkerEntry entry;
  // The most recent contents, from the list of workers or from an engine
  // update.
  EngineContents contents;
  // Load requests that its controller has not completed, by its last engine
  // update.
  std::size_t queued_loads = 0;
  TimePoint last_engine_update = TimePoint{};
  // Requests from all routers that wait in the engine, by its last engine
  // update.
  std::uint32_t engine_waiting = 0;
  PrefixCacheEstimate prefix_cache;

  // Requests from this router that are running there.
  std::uint32_t running = 0;
  // The same by "model" and by "model/adapter".
  std::map<std::string, std::uint32_t> running_by_weights;
  // Prompt tokens of this router's requests without a response yet.
  std::int64_t pending_prefill_tokens = 0;

  // Moving average of the failures of this router's requests, 0 to 1.
  double failure_rate = 0;
  // Moving average of actual to expected response time; 1 is as expected.
  double latency_ratio = 1;
  // The worker gets no requests before this time.
  TimePoint backoff_until = TimePoint{};
  std::uint32_t consecutive_failures = 0;
  // The worker process has said in a response that it is leaving.
  bool is_leaving = false;
  // The worker has asked for no requests from this router before this time.
  TimePoint paused_until = TimePoint{};

  // Whether the worker is to be given new work at all.
  bool IsReady() const {
    return entry.state == WorkerState::kReady && !is_leaving;
  }
  bool IsUsable(TimePoint now) const {
    return IsReady() && now >= backoff_until && now >= paused_until;
  }
};

class WorkerTable {
 public:
  // Adds or updates a worker. Returns whether anything has changed that the
  // selection of workers depends on.
  bool AddOrUpdate(TimePoint now, const WorkerEntry& entry);
  // Returns whether the worker was in the table.
  bool Remove(const std::string& id);
  // Returns the ids of workers that are in the table but not among `ids`.
  std::vector<std::string> FindUnlisted(
      const std::vector<std::string>& ids) const;

  // Applies an update from the controller at `ip`. Returns its worker, or
  // nullptr if the worker, or the process that the update is about, is unknown.
  Worker* ApplyEngineUpdate(TimePoint now,
                            const std::string& ip,
                            const EngineUpdate& update);

  Worker* Find(const std::string& id);
  const Worker* Find(const std::string& id) const;
  // Returns the workers of a service, ordered by id.
  std::vector<Worker*> FindByService(const std::string& service);
  std::size_t size() const { return m_workers.size(); }
  const std::map<std::string, Worker>& workers() const { return m_workers; }

  // Update the count of requests for `weights` that are running on the worker.
  static void RecordRunStart(Worker& worker, const std::string& weights);
  static void RecordRunEnd(Worker& worker, const std::string& weights);

  // Applies what a response says of the worker process that started at `born`:
  // that it is leaving, or that it wants no request for `pause`. A statement by
  // an earlier process is ignored. Returns whether the process is known to be
  // leaving since this call.
  bool RecordLeaving(TimePoint now, const std::string& id, std::int64_t born);
  void RecordPause(TimePoint now,
                   const std::string& id,
                   std::int64_t born,
                   Duration pause);

  // Update the worker's averages and its backoff after an attempt.
  void RecordSuccess(Worker& worker, Duration took, Duration expected);
  void RecordFailure(TimePoint now, Worker& worker);

 private:
  struct LeavingProcess {
    std::int64_t born = 0;
    TimePoint said_at;
  };

  // Whether the process that the entry describes has said that it is leaving.
  bool IsLeaving(const WorkerEntry& entry) const;

  std::map<std::string, Worker> m_workers;
  // Processes that have said that they are leaving, by worker id. Kept beyond
  // their entries, which may expire and come back during an outage of the list.
  std::map<std::string, LeavingProcess> m_leaving;
};

// Returns the IP of "ip:port".
std::string IpFromAddress(const std::string& address);

}  // namespace boragepick
