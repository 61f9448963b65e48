#include "core/engine/load_slot_client.h"

#include <algorithm>
#include <utility>

#include "core/scheduling/slot_semaphore.h"

namespace boragepick {

const std::string& LoadSlotClient::PreferredCoordinator(TimePoint now) const {
  const auto found = std::ranges::find_if(
      m_coordinators, [this, now](const std::string& coordinator) {
        return coordinator != m_skipped || now >= m_skipped_until;
      });
  return found == m_coordinators.end() ? m_coordinators.front() : *found;
}

void LoadSlotClient::Request(TimePoint now,
                             const std::string& model,
                             std::uint32_t waiting) {
  m_waiting = waiting;
  if (model == m_model || m_coordinators.empty())
    return;
  Release();
  m_model = model;
  m_coordinator = PreferredCoordinator(now);
  ++m_number;
  m_last_reply = now;
  SendRequest(now);
}

void LoadSlotClient::Complete(Duration took, Duration expected) {
  if (m_model.empty())
    return;
  SlotRequest end = BuildRequest();
  end.release = true;
  end.load_time = took;
  end.expected_load_time = expected;
  m_messages.push_back({.endpoint = m_coordinator, .message = std::move(end)});
  m_model.clear();
  m_granted_at = kNever;
}

bool LoadSlotClient::CanLoad(const std::string& model) const {
  return m_coordinators.empty() || (m_model == model && m_granted_at != kNever);
}

void LoadSlotClient::HandleGrant(TimePoint now,
                                 const std::string& from,
                                 const SlotGrant& grant) {
  const bool is_expected = grant.pool == kStoreLoadPool &&
                           from == m_coordinator && grant.number == m_number &&
                           !m_model.empty();
  if (!is_expected)
    return;
  m_last_reply = now;
  if (grant.granted && m_granted_at == kNever)
    m_granted_at = now;
}

void LoadSlotClient::Tick(TimePoint now) {
  if (m_model.empty() || m_coordinators.empty())
    return;
  if (now - m_last_reply > kCoordinatorTimeout) {
    m_skipped = m_coordinator;
    m_skipped_until = now + kSkipDuration;
    m_coordinator = PreferredCoordinator(now);
    m_last_reply = now;
    m_next_request = now;
  }
  if (now >= m_next_request)
    SendRequest(now);
}

void LoadSlotClient::SendRequest(TimePoint now) {
  m_next_request = now + SlotSemaphore::kRequestInterval;
  m_messages.push_back({.endpoint = m_coordinator, .message = BuildRequest()});
}

SlotRequest LoadSlotClient::BuildRequest() const {
  return {.number = m_number,
          .pool = kStoreLoadPool,
          .already_held = m_granted_at != kNever,
          .name = m_model,
          .waiting_requests = m_waiting};
}

}  // namespace boragepick
