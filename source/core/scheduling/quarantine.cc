#include "core/scheduling/quarantine.h"

#include <algorithm>
#include <functional>
#include <iterator>

namespace boragepick {

QuarantineVerdict Quarantine::VerdictFor(TimePoint now,
                                         Fingerprint fingerprint) {
  if (m_entries.empty())
    return QuarantineVerdict::kClean;
  RemoveExpired(now);
  const auto found = m_entries.find(fingerprint);
  if (found == m_entries.end())
    return QuarantineVerdict::kClean;
  const std::size_t crashes = CountCrashes(found->second);
  if (crashes == 0)
    return QuarantineVerdict::kClean;
  return crashes >= m_crashes_to_convict ? QuarantineVerdict::kConvicted
                                         : QuarantineVerdict::kSuspect;
}

std::size_t Quarantine::CountCrashes(const Entry& entry) const {
  return static_cast<std::size_t>(
      std::ranges::count_if(entry.crashes, [this](const std::string& crash) {
        return !m_excluded.contains(crash);
      }));
}

std::set<std::string> Quarantine::CrashesOf(Fingerprint fingerprint) const {
  std::set<std::string> crashes;
  const auto found = m_entries.find(fingerprint);
  if (found != m_entries.end())
    std::ranges::set_difference(found->second.crashes, m_excluded,
                                std::inserter(crashes, crashes.end()));
  return crashes;
}

bool Quarantine::Apply(TimePoint now, const CrashNotice& notice) {
  if (notice.cleared) {
    const auto found = m_entries.find(notice.fingerprint);
    if (found == m_entries.end())
      return false;
    Entry& entry = found->second;
    // A delayed notice that clears the request must not undo a conviction.
    if (entry.crashes.empty() || CountCrashes(entry) >= m_crashes_to_convict)
      return false;
    entry.cleared.merge(entry.crashes);
    entry.crashes.clear();
    if (entry.cleared.size() < kCrashesToShare)
      m_entries.erase(found);
    return true;
  }
  Entry& entry = m_entries[notice.fingerprint];
  const bool is_new = !entry.cleared.contains(notice.crash) &&
                      entry.crashes.insert(notice.crash).second;
  if (is_new)
    entry.last_crash = std::max(
        entry.last_crash,
        now - std::clamp(notice.age, Duration::zero(), kEntryLifetime));
  return is_new;
}

std::vector<CrashNotice> Quarantine::EvidenceNotices(TimePoint now) const {
  std::vector<std::pair<TimePoint, Fingerprint>> latest;
  for (const auto& [fingerprint, entry] : m_entries) {
    if (now - entry.last_crash < kEntryLifetime &&
        CountCrashes(entry) >= kCrashesToShare)
      latest.emplace_back(entry.last_crash, fingerprint);
  }
  std::ranges::sort(latest, std::greater());
  latest.resize(std::min(latest.size(), kMaxSharedRequests));
  std::vector<CrashNotice> notices;
  for (const auto& [last_crash, fingerprint] : latest) {
    for (const std::string& crash : CrashesOf(fingerprint))
      notices.push_back({.fingerprint = fingerprint,
                         .crash = crash,
                         .age = now - last_crash});
  }
  return notices;
}

void Quarantine::RemoveExpired(TimePoint now) {
  std::erase_if(m_entries, [&](const auto& entry) {
    return now - entry.second.last_crash >= kEntryLifetime;
  });
}

}  // namespace boragepick
