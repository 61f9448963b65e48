// Places that are few in the whole fleet: loads that the weight store bears at
// once, adapters in flight, and the one trial of a suspect request. The router
// that rendezvous hashing names for a pool keeps its list. Places are for
// speed, not for safety: a holder that falls silent loses its place, and an
// agent that gets no answer goes on without one.
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
// Loads that engine controllers begin from the weight store: as many as it is
// found to bear.
inline constexpr const char* kStoreLoadPool = "store_loads";

// How many places `pool` has, where that is fixed.
std::size_t FixedPoolSize(const std::string& pool);

struct SlotSemaphoreOptions {
  // Loads that the weight store bears at once at full speed; 0: found out.
  std::size_t store_loads = 0;
};

class SlotSemaphore {
 public:
  // Asks are repeated every kRequestInterval; one not repeated for so long is
  // forgotten, with its place.
  static constexpr Duration kRequestInterval = std::chrono::seconds(1);
  static constexpr Duration kRequestExpiry = std::chrono::seconds(5);

  struct Grant {
    std::string vm;
    std::string endpoint;
    SlotGrant grant;
  };

  SlotSemaphore() = default;
  explicit SlotSemaphore(SlotSemaphoreOptions options) : m_options(options) {}

  // The grants to be sent. An ask that holds its place already is granted
  // again.
  std::vector<Grant> HandleRequest(TimePoint now,
                                   const PeerSender& from,
                                   const SlotRequest& ask);
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
  struct Ask {
    Priority priority = Priority::kInteractive;
    std::uint64_t order = 0;
    TimePoint first;
    TimePoint repeated;
    bool granted = false;
    std::string endpoint;
    std::string name;
    std::uint32_t waiting = 0;
    // Places that were taken when it was granted, with this one.
    std::size_t under_way = 0;
  };
  using Pool = std::map<Holder, Ask>;

  void Fill(TimePoint now,
            const std::string& name,
            Pool& pool,
            std::vector<Grant>& grants);
  // The ask that is granted next.
  static Pool::iterator Next(TimePoint now, Pool& pool);

  SlotSemaphoreOptions m_options;
  AdaptiveLimit m_store_loads;
  std::map<std::string, Pool> m_pools;
  std::uint64_t m_last_order = 0;
};

}  // namespace boragepick
