// The workers as one router sees them: the list, newer news from the
// controllers, and what this router has sent to each and how it fared.
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

// The prompt parts that this router has sent to one worker lately: what its
// cache probably holds. A hint.
class PromptMemory {
 public:
  static constexpr std::size_t kMaxParts = 2'000;

  // Tokens of the longest beginning of `prompt` that is remembered for
  // `weights`.
  std::uint32_t KnownTokens(const std::string& weights,
                            const std::vector<PromptPart>& prompt) const;
  void Remember(const std::string& weights,
                const std::vector<PromptPart>& prompt);
  void Clear();

 private:
  std::unordered_set<std::uint64_t> m_known;
  std::deque<std::uint64_t> m_order;
};

struct Worker {
  WorkerEntry entry;
  // The newest known: the list's or a controller's.
  EngineContents contents;
  // Asks that its controller has not carried out, by its last news.
  std::size_t queued_loads = 0;
  TimePoint news_at = TimePoint{};
  // Requests of all routers that wait in the engine, by its last news.
  std::uint32_t engine_waiting = 0;
  PromptMemory prompts;

  // What this router has there now.
  std::uint32_t running = 0;
  // The same by "model" and by "model/adapter".
  std::map<std::string, std::uint32_t> running_by_weights;
  // Prompt tokens of requests that have not begun to answer.
  std::int64_t unread_tokens = 0;

  // The share of this router's latest requests that failed there, 0 to 1.
  double failure_share = 0;
  // How much longer than expected its answers take; 1 is as expected.
  double slowness = 1;
  // Not used before.
  TimePoint avoid_until = TimePoint{};
  std::uint32_t failures_in_a_row = 0;

  bool Usable(TimePoint now) const {
    return entry.state == WorkerState::kReady && now >= avoid_until;
  }
};

class WorkerTable {
 public:
  // Returns whether anything that a choice rests on has changed.
  bool List(TimePoint now, const WorkerEntry& entry);
  // Returns whether it was there.
  bool Unlist(const std::string& id);
  // Ids of the workers that are not among `ids`.
  std::vector<std::string> Missing(const std::vector<std::string>& ids) const;

  // News from the controller at `ip`; returns the worker that they are about,
  // if it is known.
  Worker* TakeNews(TimePoint now,
                   const std::string& ip,
                   const EngineNews& news);

  Worker* Find(const std::string& id);
  const Worker* Find(const std::string& id) const;
  // The workers of a service, in the order of their ids.
  std::vector<Worker*> OfService(const std::string& service);
  std::size_t size() const { return m_workers.size(); }
  const std::map<std::string, Worker>& workers() const { return m_workers; }

  // A request for the weights was sent there, or is there no more.
  static void CountRun(Worker& worker, const std::string& weights);
  static void EndRun(Worker& worker, const std::string& weights);

  // What became of a request that was sent there.
  void RecordSuccess(Worker& worker, Duration took, Duration expected);
  void RecordFailure(TimePoint now, Worker& worker);

 private:
  std::map<std::string, Worker> m_workers;
};

// The ip of "ip:port".
std::string IpOf(const std::string& address);

}  // namespace boragepick
