// QuotaManager's changes of share pages: plans, writes, and the return of the
// store to an older copy.
#include <algorithm>
#include <utility>

#include "common/hashing.h"
#include "core/quota/quota_manager.h"

namespace boragepick {

namespace {

constexpr Duration kUnknownWriteRetryDelay = std::chrono::seconds(1);

}  // namespace

bool QuotaManager::PageHasTeams(std::uint32_t page) const {
  return std::ranges::any_of(
      m_teams, [&](const auto& team) { return team.second.page == page; });
}

std::optional<SharePage> QuotaManager::RetryWrite(TimePoint now) {
  if (now < m_write_retry_at)
    return std::nullopt;
  m_write_retry_at = kNever;
  return m_pending_write;
}

void QuotaManager::OnStoreReverted(TimePoint now, StoreEra era) {
  std::map<std::uint32_t, std::uint32_t> held;
  for (auto& [number, page] : m_pages) {
    held[number] = EffectiveUnits(number);
    // Any stored page replaces this one. If there is none, it is written again.
    page.revision = 0;
  }
  m_pending_write.reset();
  m_recovery.OnStoreReverted(now, era, std::move(held));
}

void QuotaManager::EndRecovery(TimePoint now) {
  if (!m_recovery.EndSettling(now))
    return;
  for (const auto& [number, page] : m_pages)
    ConfigureBucketsOfPage(now, number, TokenBucket::InitialLevel::kEmpty);
}

std::optional<SharePage> QuotaManager::PlanNext(TimePoint now,
                                                const SharePage& page,
                                                const Roster& roster,
                                                bool draining) {
  if (m_recovery.IsReclaiming()) {
    if (draining)
      m_recovery.GiveUp(page.page);
    return PlanReclaimedShare(now, m_self, page, roster,
                              m_recovery.HeldBefore(page.page));
  }
  if (m_recovery.IsUnsettled(page))
    return std::nullopt;
  std::optional<SharePage> next =
      PlanSharePage(now, m_self, page, roster, draining);
  const bool settles =
      page.settled_era < m_recovery.era() && UnitsOf(page, m_self) > 0;
  if (!next && settles)
    next = page;
  if (next)
    next->settled_era = m_recovery.era();
  return next;
}

std::optional<SharePage> QuotaManager::PlanPage(TimePoint now,
                                                const Roster& roster,
                                                bool draining) {
  // A router that isn't on the VM list yet must not hold a share: others could
  // treat it as gone and free the share.
  const bool listed = roster.Find(m_self.vm) != nullptr;
  if (!listed)
    return std::nullopt;
  if (m_pending_write)
    return RetryWrite(now);
  // Each router begins with a different page, so that routers that start
  // together don't contend for the same one.
  const auto first = static_cast<std::uint32_t>(StableHash(m_self.vm));
  for (std::uint32_t i = 0; i < kSharePageCount; ++i) {
    const std::uint32_t number = (first + i) % kSharePageCount;
    if (!PageHasTeams(number))
      continue;
    SharePage page{.page = number};
    if (const auto known = m_pages.find(number); known != m_pages.end())
      page = known->second;
    std::optional<SharePage> next = PlanNext(now, page, roster, draining);
    if (!next)
      continue;
    m_pending_write = next;
    m_write_retry_at = kNever;
    ConfigureBucketsOfPage(now, number, TokenBucket::InitialLevel::kEmpty);
    return next;
  }
  return std::nullopt;
}

void QuotaManager::HandlePageWritten(TimePoint now,
                                     WriteOutcome outcome,
                                     Revision revision) {
  if (!m_pending_write)
    return;
  const std::uint32_t page = m_pending_write->page;
  // A write without a reply may have taken effect, and after a conflict the
  // stored record differs from the known one. The lower share stays in effect
  // until the feed delivers the current record.
  if (outcome == WriteOutcome::kConflict)
    return;
  if (outcome == WriteOutcome::kUnknown) {
    m_write_retry_at = now + kUnknownWriteRetryDelay;
    return;
  }
  const bool first_ever = m_pending_write->revision == 0;
  SharePage written = *m_pending_write;
  written.revision = revision;
  m_pending_write.reset();
  const auto known = m_pages.find(page);
  if (known == m_pages.end() || known->second.revision < revision)
    m_pages[page] = written;
  // No loans can have been granted from a page that did not exist.
  ConfigureBucketsOfPage(now, page,
                         first_ever ? TokenBucket::InitialLevel::kFull
                                    : TokenBucket::InitialLevel::kEmpty);
}

}  // namespace boragepick
