// One controller's place among the loads that the weight store bears at once.
// A router keeps the list of places; the controller names itself again every
// second, and turns to the next router when this one is silent.
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
  // A router that has not answered for so long is passed over.
  static constexpr Duration kKeeperPatience = std::chrono::milliseconds(2'500);
  // And not asked first for so long.
  static constexpr Duration kPassedOverFor = std::chrono::seconds(10);

  // The routers that keep places, the one to ask first.
  void SetKeepers(const std::vector<std::string>& endpoints) {
    m_keepers = endpoints;
  }

  // Asks for a place to load `model`; an ask for another model is withdrawn.
  void Want(TimePoint now, const std::string& model, std::uint32_t waiting);
  // The load has ended; `expected` is its time at full speed.
  void Finish(Duration took, Duration expected);
  // The place, or the ask for one, is given back.
  void GiveBack() { Finish(Duration::zero(), Duration::zero()); }

  // The model that the place is for; empty without one.
  const std::string& model() const { return m_model; }
  // Whether `model` may be loaded now: without any router known to keep places
  // it always may.
  bool Allows(const std::string& model) const;
  // Since when the place is there; kNever while it is not.
  TimePoint granted_at() const { return m_granted_at; }

  void Take(TimePoint now, const std::string& from, const SlotGrant& grant);
  // Repeats the ask when that is due.
  void Tick(TimePoint now);
  std::vector<SendToEndpoint> TakeMessages() {
    return std::exchange(m_messages, {});
  }

 private:
  // The first keeper that is not passed over.
  const std::string& KeeperToAsk(TimePoint now) const;
  void Ask(TimePoint now);
  SlotAsk Message() const;

  std::vector<std::string> m_keepers;
  std::string m_keeper;
  // The latest one that was silent.
  std::string m_passed_over;
  TimePoint m_passed_over_until = TimePoint{};
  std::uint64_t m_number = 0;
  std::string m_model;
  std::uint32_t m_waiting = 0;
  TimePoint m_granted_at = kNever;
  TimePoint m_next_ask = kNever;
  TimePoint m_heard = TimePoint{};
  std::vector<SendToEndpoint> m_messages;
};

}  // namespace boragepick
