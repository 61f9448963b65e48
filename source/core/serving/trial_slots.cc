#include "core/serving/trial_slots.h"

#include "common/hashing.h"
#include "core/scheduling/slot_semaphore.h"

namespace boragepick {

bool TrialSlots::Acquire(TimePoint now,
                         RequestId id,
                         Fingerprint fingerprint,
                         std::span<const std::string> routers) {
  const auto [entry, is_new] = m_trials.try_emplace(id);
  Trial& trial = entry->second;
  if (is_new) {
    trial.number = ++m_last_number;
    trial.pool = kTrialPoolPrefix + std::to_string(fingerprint);
    m_by_number.emplace(trial.number, id);
    SendRequest(now, trial, routers);
    trial.answer_due = now + kAnswerTimeout;
  }
  if (now >= trial.answer_due)
    trial.is_granted = true;
  return trial.is_granted;
}

void TrialSlots::SendRequest(TimePoint now,
                             Trial& trial,
                             std::span<const std::string> routers) {
  trial.next_request = now + SlotSemaphore::kRequestInterval;
  if (routers.empty()) {
    trial.is_granted = true;
    return;
  }
  trial.coordinator = RendezvousOrder("slots/" + trial.pool, routers).front();
  m_outgoing.push_back({.vm = trial.coordinator,
                        .request = {.number = trial.number,
                                    .pool = trial.pool,
                                    .already_held = trial.is_granted}});
}

void TrialSlots::Release(RequestId id) {
  const auto found = m_trials.find(id);
  if (found == m_trials.end())
    return;
  const Trial& trial = found->second;
  if (!trial.coordinator.empty())
    m_outgoing.push_back(
        {.vm = trial.coordinator,
         .request = {
             .number = trial.number, .pool = trial.pool, .release = true}});
  m_by_number.erase(trial.number);
  m_trials.erase(found);
}

std::optional<RequestId> TrialSlots::HandleGrant(TimePoint now,
                                                 const SlotGrant& grant) {
  const auto found = m_by_number.find(grant.number);
  if (found == m_by_number.end())
    return std::nullopt;
  Trial& trial = m_trials.at(found->second);
  // An earlier process of this router may have used the number too.
  if (grant.pool != trial.pool)
    return std::nullopt;
  // Without a grant the request is repeated, and answered again.
  trial.answer_due = now + SlotSemaphore::kRequestInterval + 2 * kAnswerTimeout;
  if (!grant.granted || std::exchange(trial.is_granted, true))
    return std::nullopt;
  return found->second;
}

void TrialSlots::Tick(TimePoint now, std::span<const std::string> routers) {
  for (auto& [id, trial] : m_trials) {
    if (now >= trial.next_request)
      SendRequest(now, trial, routers);
  }
}

}  // namespace boragepick
