// Acquires a slot to load from the weight store, which sustains a limited
// number of loads at once. A router coordinates the slots; the controller
// repeats its request every second, and uses the next router if this one does
// not answer.
#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "common/time.h"
#include "core/peer_messages.h"

namespace boragepick {

class LoadSlotClient {
 public:
  // A coordinator that has not answered for this time is skipped.
  static constexpr Duration kCoordinatorTimeout =
      std::chrono::milliseconds(2'500);
  // How long a silent coordinator is skipped.
  static constexpr Duration kSkipDuration = std::chrono::seconds(10);

  // The routers that coordinate slots, the preferred one first.
  void SetCoordinators(const std::vector<std::string>& endpoints) {
    m_coordinators = endpoints;
  }

  // Requests a slot to load `model`; a request or slot for another model is
  // released.
  void Request(TimePoint now, const std::string& model, std::uint32_t waiting);
  // Reports the end of the load; `expected` is its duration at full speed.
  void Complete(Duration took, Duration expected);
  // Releases the slot, or withdraws the request for one.
  void Release() { Complete(Duration::zero(), Duration::zero()); }

  // The model for which a slot is held or requested; empty if none.
  const std::string& model() const { return m_model; }
  // Whether `model` may be loaded now. True if no coordinator is known.
  bool CanLoad(const std::string& model) const;
  // When the slot was granted; kNever without one.
  TimePoint granted_at() const { return m_granted_at; }

  void HandleGrant(TimePoint now,
                   const std::string& from,
                   const SlotGrant& grant);
  // Repeats the request when due.
  void Tick(TimePoint now);
  std::vector<SendToEndpoint> TakeMessages() {
    return std::exchange(m_messages, {});
  }

 private:
  // The first coordinator that is not skipped.
  const std::string& PreferredCoordinator(TimePoint now) const;
  void SendRequest(TimePoint now);
  SlotRequest BuildRequest() const;

  std::vector<std::string> m_coordinators;
  std::string m_coordinator;
  // The latest coordinator that did not answer.
  std::string m_skipped;
  TimePoint m_skipped_until = TimePoint{};
  std::uint64_t m_number = 0;
  std::string m_model;
  std::uint32_t m_waiting = 0;
  TimePoint m_granted_at = kNever;
  TimePoint m_next_request = kNever;
  TimePoint m_last_reply = TimePoint{};
  std::vector<SendToEndpoint> m_messages;
};

}  // namespace boragepick
