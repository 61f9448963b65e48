// A network for histories in virtual time: messages are lost, doubled and
// delayed, and wait while their receiver is paused.
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
  unsigned double_percent = 0;
  std::chrono::milliseconds max_delay{5};
};

// Whether a receiver takes a message now, later, or never.
enum class Reception { kNow, kLater, kNever };

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

  bool Loses() { return m_random.Below(100) < m_faults.loss_percent; }

  void Send(TimePoint now,
            const std::string& from,
            Incarnation from_run,
            const std::string& to,
            const Payload& payload) {
    const bool doubled = m_random.Below(100) < m_faults.double_percent;
    for (int copy = 0; copy < (doubled ? 2 : 1); ++copy) {
      if (Loses())
        continue;
      const auto bound = static_cast<std::uint64_t>(m_faults.max_delay.count());
      const auto delay = std::chrono::milliseconds(m_random.Below(bound + 1));
      m_messages.push_back({now + delay, from, from_run, to, payload});
    }
  }

  // `reception` tells of each receiver whether it takes messages.
  template <typename ReceptionOf>
  std::vector<Message> TakeDue(TimePoint now, ReceptionOf reception) {
    std::vector<Message> due;
    std::erase_if(m_messages, [&](Message& message) {
      if (message.arrives > now)
        return false;
      const Reception taken = reception(message.to);
      if (taken == Reception::kNow)
        due.push_back(std::move(message));
      return taken != Reception::kLater;
    });
    return due;
  }

 private:
  NetworkFaults m_faults;
  Random& m_random;
  std::vector<Message> m_messages;
};

}  // namespace boragepick
