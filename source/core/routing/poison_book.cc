#include "core/routing/poison_book.h"

namespace boragepick {

PoisonVerdict PoisonBook::Judge(TimePoint now, Fingerprint fingerprint) {
  if (m_entries.empty())
    return PoisonVerdict::kClean;
  Forget(now);
  const auto found = m_entries.find(fingerprint);
  if (found == m_entries.end())
    return PoisonVerdict::kClean;
  const bool convicted = found->second.crashes.size() >= m_crashes_to_convict;
  return convicted ? PoisonVerdict::kConvicted : PoisonVerdict::kSuspect;
}

bool PoisonBook::Take(TimePoint now, const CrashNotice& notice) {
  if (notice.cleared) {
    const auto found = m_entries.find(notice.fingerprint);
    // why: a late all-clear doesn't undo a conviction
    const bool suspect = found != m_entries.end() &&
                         found->second.crashes.size() < m_crashes_to_convict;
    if (suspect)
      m_entries.erase(found);
    return suspect;
  }
  Entry& entry = m_entries[notice.fingerprint];
  const bool fresh = entry.crashes.insert(notice.crash).second;
  if (fresh)
    entry.last_crash = now;
  return fresh;
}

void PoisonBook::Forget(TimePoint now) {
  std::erase_if(m_entries, [&](const auto& entry) {
    return now - entry.second.last_crash >= kSuspicionLife;
  });
}

}  // namespace boragepick
