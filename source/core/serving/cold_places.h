// The places of one cold worker at the router that owns them: a token bucket
// and the routers that wait for places. See docs/design/cold-workers.md.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "common/time.h"
#include "core/peer_messages.h"

namespace boragepick {

// The rate and size of a bucket of places.
struct ColdLimit {
  double places_per_second = 0;
  double burst = 0;
  bool operator==(const ColdLimit&) const = default;
};

// Returns the largest limit with which a worker gets `rate` x `overage` +
// `slack` requests at most in any one second, and `rate` in the long run.
ColdLimit MakeColdLimit(double rate, double overage, double slack);

class ColdPlaces {
 public:
  struct Grant {
    std::string vm;
    ColdPlaceGrant grant;
  };

  // The bucket is empty at `since`.
  explicit ColdPlaces(TimePoint since) : m_updated_at(since) {}

  // The bucket is empty at `when`, unless it has changed since.
  void Restart(TimePoint when);
  // Replaces the earlier request of the same router. One that was received
  // before is ignored.
  void Add(TimePoint now, const PeerSender& from, ColdPlaceRequest request);
  // Grants the free places to the waiting routers. Each request is granted
  // once, with fewer places than it wants if no more are free.
  std::vector<Grant> GrantFree(TimePoint now, const ColdLimit& limit);
  // When the next place is free for a waiting router; kNever if none waits.
  TimePoint NextGrant(TimePoint now, const ColdLimit& limit) const;

 private:
  struct Waiting {
    Incarnation incarnation = 0;
    // kNever once the request was granted.
    TimePoint received = kNever;
    ColdPlaceRequest request;
  };

  void Accrue(TimePoint now, const ColdLimit& limit);

  double m_level = 0;
  TimePoint m_updated_at;
  // The latest request of each router.
  std::map<std::string, Waiting> m_waiting;
};

}  // namespace boragepick
