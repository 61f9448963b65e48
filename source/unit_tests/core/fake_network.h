// A simulated network in virtual time, for history tests: it loses, duplicates
// and delays messages and holds them while their receiver is paused.
#pragma once

#include <chrono>
#include <string>
#include <utility>
#include <vector>

#include "common/random.h"
#include "common/time.h"
#include "core/roster/roster_entry.h"

namespace boragepick {

struct NetworkFaults {
  unsigned loss_percent = 0;
  unsigned duplicate_percent = 0;
  std::chrono::milliseconds max_delay{5};
};

// What happens to a message that is due at a receiver.
enum class Delivery { kNow, kLater, kNever };

template <typename Payload>
class FakeNetwork {
 public:
  struct Message {
    TimePoint arrives;
    std::string from;
    Incarnation from_run = 0;
    std::string to;
    Payload payload;
  };

  FakeNetwork(NetworkFaults faults, Random& random)
      : m_faults(faults), m_random(random) {}

  bool DropsMessage() { return m_random.Below(100) < m_faults.loss_percent; }

  void Send(TimePoint now,
            const std::string& from,
            Incarnation from_run,
            const std::string& to,
            const Payload& payload) {
    const bool duplicated = m_random.Below(100) < m_faults.duplicate_percent;
    for (int copy = 0; copy < (duplicated ? 2 : 1); ++copy) {
      if (DropsMessage())
        continue;
      const auto bound = static_cast<std::uint64_t>(m_faults.max_delay.count());
      const auto delay = std::chrono::milliseconds(m_random.Below(bound + 1));
      m_messages.push_back({now + delay, from, from_run, to, payload});
    }
  }

  // Returns the messages that are due now; `delivery_of(receiver)` decides on
  // each.
  template <typename DeliveryOf>
  std::vector<Message> RemoveDue(TimePoint now, DeliveryOf delivery_of) {
    std::vector<Message> due;
    std::erase_if(m_messages, [&](Message& message) {
      if (message.arrives > now)
        return false;
      const Delivery delivery = delivery_of(message.to);
      if (delivery == Delivery::kNow)
        due.push_back(std::move(message));
      return delivery != Delivery::kLater;
    });
    return due;
  }

 private:
  NetworkFaults m_faults;
  Random& m_random;
  std::vector<Message> m_messages;
};

}  // namespace boragepick
