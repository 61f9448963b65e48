#include "core/engine/load_slot_client.h"

#include <algorithm>
#include <utility>

#include "core/scheduling/slot_semaphore.h"

namespace boragepick {

const std::string& LoadSlotClient::KeeperToAsk(TimePoint now) const {
  const auto found =
      std::ranges::find_if(m_keepers, [this, now](const std::string& keeper) {
        return keeper != m_passed_over || now >= m_passed_over_until;
      });
  return found == m_keepers.end() ? m_keepers.front() : *found;
}

void LoadSlotClient::Want(TimePoint now,
                          const std::string& model,
                          std::uint32_t waiting) {
  m_waiting = waiting;
  if (model == m_model || m_keepers.empty())
    return;
  GiveBack();
  m_model = model;
  m_keeper = KeeperToAsk(now);
  ++m_number;
  m_heard = now;
  Ask(now);
}

void LoadSlotClient::Finish(Duration took, Duration expected) {
  if (m_model.empty())
    return;
  SlotAsk end = Message();
  end.done = true;
  end.took = took;
  end.expected = expected;
  m_messages.push_back({.endpoint = m_keeper, .message = std::move(end)});
  m_model.clear();
  m_granted_at = kNever;
}

bool LoadSlotClient::Allows(const std::string& model) const {
  return m_keepers.empty() || (m_model == model && m_granted_at != kNever);
}

void LoadSlotClient::Take(TimePoint now,
                          const std::string& from,
                          const SlotGrant& grant) {
  const bool mine = grant.pool == kStoreLoadSlots && from == m_keeper &&
                    grant.number == m_number && !m_model.empty();
  if (!mine)
    return;
  m_heard = now;
  if (grant.granted && m_granted_at == kNever)
    m_granted_at = now;
}

void LoadSlotClient::Tick(TimePoint now) {
  if (m_model.empty() || m_keepers.empty())
    return;
  if (now - m_heard > kKeeperPatience) {
    m_passed_over = m_keeper;
    m_passed_over_until = now + kPassedOverFor;
    m_keeper = KeeperToAsk(now);
    m_heard = now;
    m_next_ask = now;
  }
  if (now >= m_next_ask)
    Ask(now);
}

void LoadSlotClient::Ask(TimePoint now) {
  m_next_ask = now + SlotSemaphore::kAskPeriod;
  m_messages.push_back({.endpoint = m_keeper, .message = Message()});
}

SlotAsk LoadSlotClient::Message() const {
  return {.number = m_number,
          .pool = kStoreLoadSlots,
          .held = m_granted_at != kNever,
          .name = m_model,
          .waiting = m_waiting};
}

}  // namespace boragepick
