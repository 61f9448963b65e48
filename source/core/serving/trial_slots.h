// Acquires the slots of requests that may crash workers. Each such request has
// one slot over all routers, so that its copies run one after the other and a
// crash breaks only one of them. The router selected by rendezvous hashing
// coordinates the slot.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "common/time.h"
#include "core/peer_messages.h"
#include "core/scheduling/quarantine.h"
#include "core/scheduling/request.h"

namespace boragepick {

class TrialSlots {
 public:
  // A coordinator answers each request within this time; otherwise the copy is
  // sent without a slot. Routers answer each other within a few milliseconds.
  static constexpr Duration kAnswerTimeout = std::chrono::milliseconds(100);

  struct Outgoing {
    // The coordinator.
    std::string vm;
    SlotRequest request;
  };

  // Returns whether the copy may be sent; otherwise it waits for a grant.
  // `routers` are all routers.
  bool Acquire(TimePoint now,
               RequestId id,
               Fingerprint fingerprint,
               std::span<const std::string> routers);
  // Releases the slot of the copy, or withdraws the request for it.
  void Release(RequestId id);
  // Returns the copy that was granted its slot.
  std::optional<RequestId> HandleGrant(TimePoint now, const SlotGrant& grant);
  // Repeats the requests that are due.
  void Tick(TimePoint now, std::span<const std::string> routers);

  std::vector<Outgoing> TakeRequests() { return std::exchange(m_outgoing, {}); }

 private:
  struct Trial {
    std::uint64_t number = 0;
    std::string pool;
    std::string coordinator;
    bool is_granted = false;
    // Until when the coordinator must have answered.
    TimePoint answer_due;
    TimePoint next_request;
  };

  void SendRequest(TimePoint now,
                   Trial& trial,
                   std::span<const std::string> routers);

  std::map<RequestId, Trial> m_trials;
  std::map<std::uint64_t, RequestId> m_by_number;
  std::uint64_t m_last_number = 0;
  std::vector<Outgoing> m_outgoing;
};

}  // namespace boragepick
