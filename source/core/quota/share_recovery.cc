#include "core/quota/share_recovery.h"

#include <algorithm>
#include <utility>

namespace boragepick {

void ShareRecovery::OnEraObserved(TimePoint now, StoreEra era) {
  m_era = era;
  if (era > 0)
    m_settled_at = now + kSettlingTime;
}

void ShareRecovery::OnStoreReverted(
    TimePoint now,
    StoreEra era,
    std::map<std::uint32_t, std::uint32_t> held) {
  m_era = era;
  m_settled_at = now + kSettlingTime;
  m_reclaiming = true;
  m_held = std::move(held);
}

bool ShareRecovery::EndSettling(TimePoint now) {
  if (now < m_settled_at)
    return false;
  m_settled_at = kNever;
  m_reclaiming = false;
  m_held.clear();
  return true;
}

std::uint32_t ShareRecovery::HeldBefore(std::uint32_t page) const {
  const auto held = m_held.find(page);
  return held == m_held.end() ? 0 : held->second;
}

bool ShareRecovery::IsUnsettled(const SharePage& page) const {
  if (m_settled_at == kNever)
    return false;
  // A process that has seen no return takes a missing page for a new one.
  if (page.revision == 0)
    return m_reclaiming;
  return page.settled_era < m_era;
}

std::uint32_t ShareRecovery::UsableUnits(const SharePage& page,
                                         std::uint32_t units) const {
  if (!m_reclaiming)
    return units;
  const std::uint32_t held = HeldBefore(page.page);
  return IsUnsettled(page) ? held : std::min(held, units);
}

}  // namespace boragepick
