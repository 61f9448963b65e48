// Limits the requests to workers that are cold: which workers are, the places
// that this router holds at them, and the places that it grants as their owner.
// See docs/design/cold-workers.md.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "common/log_event.h"
#include "common/time.h"
#include "core/peer_messages.h"
#include "core/serving/cold_owners.h"
#include "core/serving/cold_places.h"
#include "core/serving/serving_config.h"
#include "core/serving/worker_entry.h"

namespace boragepick {

struct ColdWorkersOptions {
  std::string vm;
  std::uint64_t random_seed = 1;
  // A cold worker gets at most `overage` x its rate + `slack` requests in any
  // one second; with 0 for `overage` no worker is limited.
  double overage = 0;
  double slack = 0;
  // A worker that turns cold has written so in its entry within twice this.
  Duration heartbeat = std::chrono::milliseconds(1'200);
  // All limited workers count as cold once nothing newer is known of them.
  Duration knowledge_lifetime = std::chrono::milliseconds(4'500);
};

// A request that waits for a place.
struct ColdRequest {
  RequestId id = 0;
  // 0 is the most urgent.
  std::uint32_t urgency = 0;
  std::uint32_t prompt_tokens = 0;
};

struct ColdMetrics {
  // Workers that were seen to turn cold.
  std::uint64_t turned_cold = 0;
  std::uint64_t places_asked = 0;
  std::uint64_t places_received = 0;
  std::uint64_t places_used = 0;
  // Places that this router granted as an owner.
  std::uint64_t places_granted = 0;
};

class ColdWorkers {
 public:
  struct Outgoing {
    std::string vm;
    PeerMessage message;
  };

  explicit ColdWorkers(ColdWorkersOptions options);

  void Configure(const std::map<std::string, ServingService>& services);
  void OnWorkerListed(TimePoint now, const WorkerEntry& entry);
  void OnWorkerRemoved(const std::string& id);
  // The workers of a data centre may have turned cold without an entry yet.
  void SuspectCold(TimePoint now, const std::string& data_centre);

  ColdOwners& owners() { return m_owners; }

  // Whether any worker can be limited.
  bool IsActive() const { return !m_limits.empty(); }

  bool IsCold(TimePoint now, const std::string& worker) const;
  // Whether a request may be sent to the worker now.
  bool MaySend(TimePoint now, const std::string& worker) const;
  // Uses a place if the worker is cold. Returns whether the request may be
  // sent.
  bool TakePlace(TimePoint now, const std::string& worker);

  // The request waits for a place at this worker, and no longer at another. To
  // be repeated while it does.
  void Await(TimePoint now,
             const std::string& worker,
             const ColdRequest& request);
  bool IsWaiting(const std::string& worker, RequestId id) const;
  // The request no longer waits.
  void Forget(RequestId id);
  // Returns how long a further request would wait at least, as far as this
  // router can tell: as long as its first request has waited, and until its
  // waiting requests would have places if no other router asked for any.
  Duration ExpectedWait(TimePoint now, const std::string& worker) const;
  // How long the worker is cold by what is known.
  Duration RemainingTime(TimePoint now, const std::string& worker) const;
  // Whether the worker's owner has left requests for places unanswered for
  // longer than it should take.
  bool IsOwnerSilent(TimePoint now, const std::string& worker) const;

  void Handle(TimePoint now,
              const PeerSender& from,
              const ColdPlaceRequest& request);
  void Handle(TimePoint now, const ColdPlaceGrant& grant);
  void Tick(TimePoint now);
  TimePoint NextTick(TimePoint now) const;

  std::vector<Outgoing> TakeOutgoing() { return std::exchange(m_outgoing, {}); }
  std::vector<LogRecord> TakeLog() { return std::exchange(m_log, {}); }
  // Whether places have arrived since the last call.
  bool TakeArrived() { return std::exchange(m_arrived, false); }
  const ColdMetrics& metrics() const { return m_metrics; }
  std::size_t CountCold(TimePoint now) const;

 private:
  struct Known {
    std::string service;
    std::string data_centre;
    TimePoint cold_until = TimePoint{};
    TimePoint suspected_until = TimePoint{};
  };
  struct Waiting {
    ColdRequest request;
    TimePoint since;
    TimePoint repeated_at;
  };
  // What this router has asked of the owner of one worker.
  struct Asked {
    std::map<RequestId, Waiting> waiting;
    // The unanswered requests, with the times at which they were sent.
    std::map<std::uint64_t, TimePoint> open;
    TimePoint sent_at = TimePoint{};
    std::uint32_t wanted = 0;
    // Since when no grant was received for open requests.
    TimePoint unanswered_since = kNever;
    // The ends of the places that this router holds.
    std::multiset<TimePoint> places;
  };

  bool IsLimited(const std::string& service) const {
    return m_limits.contains(service);
  }
  const ColdLimit* FindLimit(const std::string& worker) const;
  bool IsAskDue(TimePoint now, const Asked& asked) const;
  void AskIfDue(TimePoint now, const std::string& worker, Asked& asked);
  static std::uint32_t Wanted(const Asked& asked);
  void Grant(TimePoint now, const std::string& worker);
  void LogShortage(TimePoint now);

  ColdWorkersOptions m_options;
  ColdOwners m_owners;
  // By service.
  std::map<std::string, ColdLimit> m_limits;
  // By worker.
  std::map<std::string, Known> m_known;
  std::map<std::string, Asked> m_asked;
  std::map<std::string, ColdPlaces> m_places;
  // The worker at which each request waits.
  std::unordered_map<RequestId, std::string> m_waits_at;
  std::uint64_t m_last_number;
  ColdMetrics m_metrics;
  ColdMetrics m_logged;
  TimePoint m_next_log = TimePoint{};
  std::vector<Outgoing> m_outgoing;
  std::vector<LogRecord> m_log;
  bool m_arrived = false;
};

}  // namespace boragepick
