// Pools of slots that are limited over the whole fleet: concurrent loads of
// weights and adapters from the weight store, and the trial run of a suspect
// request. The router selected by rendezvous hashing coordinates a pool. Slots
// serve performance, not safety: a holder that stops renewing its slot loses
// it, and an agent that gets no reply goes on without one.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "common/time.h"
#include "core/peer_messages.h"
#include "core/scheduling/adaptive_limit.h"

namespace boragepick {

inline constexpr const char* kWeightLoadPool = "weights";
inline constexpr const char* kAdapterLoadPool = "adapters";
inline constexpr const char* kTrialPoolPrefix = "trial/";
// Loads from the weight store by engine controllers; the limit is adaptive
// unless it is configured.
inline constexpr const char* kStoreLoadPool = "store_loads";

// The number of slots in a pool of fixed size.
std::size_t FixedPoolSize(const std::string& pool);

struct SlotSemaphoreOptions {
  // Concurrent loads that the weight store serves at full speed; 0 selects the
  // adaptive limit.
  std::size_t max_store_loads = 0;
};

class SlotSemaphore {
 public:
  // Requesters and holders repeat their request at this interval.
  static constexpr Duration kRequestInterval = std::chrono::seconds(1);
  // A request that is not repeated for this time is dropped, and its slot is
  // released.
  static constexpr Duration kRequestExpiry = std::chrono::seconds(5);

  struct Grant {
    std::string vm;
    std::string endpoint;
    SlotGrant grant;
  };

  SlotSemaphore() = default;
  explicit SlotSemaphore(SlotSemaphoreOptions options) : m_options(options) {}

  // Returns the replies to send. A request that holds its slot already is
  // granted again.
  std::vector<Grant> HandleRequest(TimePoint now,
                                   const PeerSender& from,
                                   const SlotRequest& request);
  std::vector<Grant> Tick(TimePoint now);

  std::size_t HeldSlots(const std::string& pool) const;
  std::size_t Limit(const std::string& pool) const;

 private:
  struct Holder {
    std::string vm;
    Incarnation incarnation = 0;
    std::uint64_t number = 0;
    auto operator<=>(const Holder&) const = default;
  };
  struct Request {
    Priority priority = Priority::kInteractive;
    std::uint64_t order = 0;
    TimePoint first_received;
    TimePoint last_received;
    bool granted = false;
    std::string endpoint;
    std::string name;
    std::uint32_t waiting_requests = 0;
    // Slots held at the time of the grant, this one included.
    std::size_t held_at_grant = 0;
  };
  using Pool = std::map<Holder, Request>;

  void GrantFreeSlots(TimePoint now,
                      const std::string& name,
                      Pool& pool,
                      std::vector<Grant>& grants);
  // The request to grant next.
  static Pool::iterator NextToGrant(TimePoint now, Pool& pool);

  SlotSemaphoreOptions m_options;
  AdaptiveLimit m_store_load_limit;
  std::map<std::string, Pool> m_pools;
  std::uint64_t m_last_order = 0;
};

}  // namespace boragepick
