// The requests that wait to be sent to a worker: what each one waits for, what
// wakes it, and the order in which the woken ones are tried.
#pragma once

#include <compare>
#include <concepts>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

#include "common/enum_table.h"
#include "common/time.h"
#include "core/scheduling/request.h"
#include "core/serving/worker_table.h"

namespace boragepick {

enum class WaitReason {
  kWeights,      // no usable worker holds the model and adapter
  kWorker,       // no worker of the service is usable
  kRetryBudget,  // the service's retry budget is spent
  kTurn,         // another copy of the request runs
  kColdPlace,    // the workers are cold, and this router has no place there
};

inline constexpr EnumTable kWaitReasonNames{std::array{
    EnumName<WaitReason>{WaitReason::kWeights, "model_not_loaded"},
    EnumName<WaitReason>{WaitReason::kWorker, "no_worker"},
    EnumName<WaitReason>{WaitReason::kRetryBudget, "no_retry_budget"},
    EnumName<WaitReason>{WaitReason::kTurn, "other_copy_runs"},
    EnumName<WaitReason>{WaitReason::kColdPlace, "cold_worker"},
}};

struct WaitingRequest {
  RequestId id = 0;
  WaitReason reason = WaitReason::kWorker;
  std::string service;
  std::string model;
  // "model" or "model/adapter"; empty for a plain service.
  std::string weights;
  std::string route;
  std::string team;
  // 0 is the most urgent.
  int urgency = 5;
  // When it began to wait, and when it is refused if it still waits.
  TimePoint since;
  TimePoint until = kNever;
  // Workers have failed or rejected it, so that it has fewer to choose from
  // than others of its kind.
  bool has_tried_workers = false;
};

struct WaitCount {
  std::size_t requests = 0;
  // Of the request that has waited longest.
  TimePoint since = kNever;
};

class WaitingRequests {
 public:
  // What is waited for is tried again at least this often.
  static constexpr Duration kCheckPeriod = std::chrono::milliseconds(100);

  // Adds the request, or replaces what is known of it.
  void Put(TimePoint now, WaitingRequest request);
  // The request was sent.
  void RecordSent(RequestId id);
  void Remove(RequestId id);

  // What wakes requests. They are tried with the next call of TryWoken().
  void OnWorkerChanged(const Worker& worker);
  // The worker can be used again at `when`.
  void OnWorkerAvoided(const std::string& worker, TimePoint when);
  void OnRetriesEarned(const std::string& service);
  void OnTurnsChanged();
  void OnColdPlacesArrived();
  void OnConfigChanged();

  // Calls `attempt` with the id of each woken request, in their order. It sends
  // the request, removes it or leaves it waiting.
  template <std::invocable<RequestId> Attempt>
  void TryWoken(TimePoint now, WorkerTable& workers, const Attempt& attempt);

  // When TryWoken() must be called at the latest.
  TimePoint NextCheck() const;

  bool Contains(RequestId id) const { return m_requests.contains(id); }
  std::size_t size() const { return m_requests.size(); }
  std::uint32_t CountOf(const std::string& weights) const;
  std::map<WaitReason, WaitCount> CountByReason() const;

 private:
  struct WaitKey {
    WaitReason reason;
    std::string service;
    std::string model;
    auto operator<=>(const WaitKey&) const = default;
  };
  struct WaitEntry {
    std::set<RequestId> requests;
    TimePoint next_check;
  };
  // Requests of one kind have the same choice of workers, apart from those that
  // they have tried.
  using Kind = std::tuple<WaitReason,
                          const std::string&,
                          const std::string&,
                          const std::string&,
                          const std::string&>;
  struct Team {
    std::uint32_t waiting = 0;
    // The number of its requests that were sent, counted from the number of the
    // team that was served when it began to wait.
    std::uint64_t sent = 0;
  };

  static WaitKey KeyOf(const WaitingRequest& request);
  static Kind KindOf(const WaitingRequest& request);
  void Mark(const WaitKey& key);
  void MarkDue(TimePoint now, WorkerTable& workers);
  void SetCheck(const WaitKey& key, WaitEntry& entry, TimePoint when);
  // Returns the requests in the order in which they are to be tried.
  std::vector<RequestId> Sort(TimePoint now,
                              const std::set<RequestId>& ids) const;
  // Removes and returns the ids that are marked.
  std::set<RequestId> TakeMarked(TimePoint now);

  std::unordered_map<RequestId, WaitingRequest> m_requests;
  std::map<WaitKey, WaitEntry> m_by_key;
  std::map<std::string, std::uint32_t> m_by_weights;
  std::map<std::string, Team> m_teams;
  // Team::sent of the team that was served last.
  std::uint64_t m_sent = 0;
  std::set<std::pair<TimePoint, WaitKey>> m_checks;
  // Workers that can be used again, in order of time.
  std::set<std::pair<TimePoint, std::string>> m_avoided;
  std::set<WaitKey> m_marked;
  bool m_all_marked = false;
};

template <std::invocable<RequestId> Attempt>
void WaitingRequests::TryWoken(TimePoint now,
                               WorkerTable& workers,
                               const Attempt& attempt) {
  MarkDue(now, workers);
  while (!m_marked.empty() || m_all_marked) {
    // Under a new configuration, a kind may no longer be one.
    const bool tries_all = m_all_marked;
    std::set<std::tuple<WaitReason, std::string, std::string, std::string,
                        std::string>,
             std::less<>>
        failed;
    for (const RequestId id : Sort(now, TakeMarked(now))) {
      auto found = m_requests.find(id);
      if (found == m_requests.end() ||
          (!tries_all && failed.contains(KindOf(found->second))))
        continue;
      const WaitKey key = KeyOf(found->second);
      attempt(id);
      found = m_requests.find(id);
      const bool tells_of_others =
          found != m_requests.end() && !found->second.has_tried_workers &&
          KeyOf(found->second) == key && key.reason != WaitReason::kTurn &&
          key.reason != WaitReason::kColdPlace;
      if (tells_of_others)
        failed.insert(KindOf(found->second));
    }
  }
}

}  // namespace boragepick
