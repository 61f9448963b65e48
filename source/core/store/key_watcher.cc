#include "core/store/key_watcher.h"

#include <algorithm>

namespace boragepick {

std::vector<WatcherEffect> KeyWatcher::Tick(TimePoint now) {
  if (now < m_next_call)
    return {};
  return {NextCall(now)};
}

WatcherEffect KeyWatcher::NextCall(TimePoint now) {
  m_next_call = kNever;
  m_called = now;
  if (m_phase == Phase::kWatching)
    return WatchStore{.prefix = m_options.prefix,
                      .after = m_revision,
                      .wait = m_options.wait};
  if (m_after.empty()) {
    m_read_began = now;
    m_read_revision.reset();
    m_keys.clear();
  }
  return ReadStorePage{.prefix = m_options.prefix, .after = m_after};
}

void KeyWatcher::Pause(TimePoint now) {
  m_pause = std::clamp(m_pause * 2, m_options.retry_pause,
                       m_options.longest_retry_pause);
  const auto extra = static_cast<Duration::rep>(
      m_random.Below(static_cast<std::uint64_t>(m_pause.count())));
  m_next_call = now + m_pause + Duration(extra);
}

void KeyWatcher::Reached(std::vector<WatcherEffect>& effects) {
  if (m_lost)
    effects.emplace_back(StoreRegained{});
  m_lost = false;
  m_pause = Duration::zero();
}

void KeyWatcher::Failed(TimePoint now,
                        std::vector<WatcherEffect>& effects,
                        std::string_view why) {
  if (!m_lost)
    effects.emplace_back(StoreLost{.why = std::string(why)});
  m_lost = true;
  Pause(now);
}

std::vector<WatcherEffect> KeyWatcher::PageRead(
    TimePoint now,
    const std::optional<StorePage>& page) {
  std::vector<WatcherEffect> effects;
  if (!page) {
    m_after.clear();
    Failed(now, effects, "read failed");
    return effects;
  }
  Reached(effects);
  if (!m_read_revision)
    m_read_revision = page->revision;
  for (const StoreItem& item : page->items) {
    m_keys.push_back(item.key);
    m_after = item.key;
    StoreRevision& seen = m_seen[item.key];
    if (item.revision <= seen)
      continue;
    seen = item.revision;
    effects.emplace_back(KeyChanged{.item = item});
  }
  if (page->more && !page->items.empty()) {
    effects.push_back(NextCall(now));
    return effects;
  }
  std::erase_if(m_seen, [this](const auto& entry) {
    return std::ranges::find(m_keys, entry.first) == m_keys.end();
  });
  effects.emplace_back(
      KeysSynced{.keys = m_keys, .revision = *m_read_revision});
  effects.emplace_back(KeysProven{.at = m_read_began});
  m_after.clear();
  m_phase = Phase::kWatching;
  // why: pages are no snapshot; the watch repeats what changed meanwhile
  m_revision = *m_read_revision;
  effects.push_back(NextCall(now));
  return effects;
}

std::vector<WatcherEffect> KeyWatcher::Watched(TimePoint now,
                                               const StoreChanges& changes) {
  std::vector<WatcherEffect> effects;
  Reached(effects);
  for (const StoreChange& change : changes.changes) {
    StoreRevision& seen = m_seen[change.item.key];
    if (change.item.revision <= seen)
      continue;
    seen = change.item.revision;
    if (change.removed)
      effects.emplace_back(
          KeyRemoved{.key = change.item.key, .revision = change.item.revision});
    else
      effects.emplace_back(KeyChanged{.item = change.item});
  }
  m_revision = std::max(m_revision, changes.revision);
  effects.emplace_back(KeysProven{.at = m_called});
  if (MayPause(changes))
    m_next_call = now + m_options.change_pause;
  else
    effects.push_back(NextCall(now));
  return effects;
}

bool KeyWatcher::MayPause(const StoreChanges& changes) const {
  return m_options.change_pause > Duration::zero() &&
         !changes.changes.empty() &&
         std::ranges::all_of(
             changes.changes, [this](const StoreChange& change) {
               return change.item.key.starts_with(m_options.patient_prefix);
             });
}

std::vector<WatcherEffect> KeyWatcher::WatchFailed(TimePoint now,
                                                   WatchFailure failure) {
  std::vector<WatcherEffect> effects;
  // why: what was missed is only found by reading all; after a cut watch, too,
  // since changes may have been passed over before it was cut
  m_phase = Phase::kReading;
  m_after.clear();
  if (failure == WatchFailure::kHistoryGone)
    effects.push_back(NextCall(now));
  else
    Failed(now, effects, kWatchFailureNames.Name(failure));
  return effects;
}

}  // namespace boragepick
