#include "core/store/key_watcher.h"

#include <algorithm>

namespace boragepick {

namespace {

// A store that is away may end a new connection at once. A watch that waited
// for longer than this was accepted.
constexpr Duration kMinAcceptedWait = std::chrono::milliseconds(100);
constexpr std::string_view kOldEra = "answer of an older era";

}  // namespace

std::vector<WatcherEffect> KeyWatcher::Tick(TimePoint now) {
  if (now < m_next_tick)
    return {};
  return {MakeCall(now)};
}

WatcherEffect KeyWatcher::MakeCall(TimePoint now) {
  m_next_tick = kNever;
  m_call_started = now;
  m_last_contact = std::min(m_last_contact, now);
  if (m_phase == Phase::kWatching)
    return WatchStore{.prefix = m_options.prefix,
                      .after = m_revision,
                      .wait = m_options.watch_timeout};
  if (m_last_key.empty()) {
    m_read_started = now;
    m_read_revision.reset();
    m_read_keys.clear();
  }
  return ReadStorePage{.prefix = m_options.prefix, .after = m_last_key};
}

void KeyWatcher::RestartRead() {
  m_phase = Phase::kReading;
  m_last_key.clear();
}

void KeyWatcher::OnEra(TimePoint now, StoreEra era) {
  if (era <= m_era)
    return;
  m_era = era;
  // No call is pending between two watches.
  if (m_phase != Phase::kWatching || m_next_tick == kNever)
    return;
  RestartRead();
  m_next_tick = now;
}

void KeyWatcher::ScheduleRetry(TimePoint now) {
  m_retry_delay = std::clamp(m_retry_delay * 2, m_options.retry_delay,
                             m_options.max_retry_delay);
  const auto extra = static_cast<Duration::rep>(
      m_random.Below(static_cast<std::uint64_t>(m_retry_delay.count())));
  m_next_tick = now + m_retry_delay + Duration(extra);
}

void KeyWatcher::HandleReachable(TimePoint now,
                                 std::vector<WatcherEffect>& effects) {
  if (m_unreachable)
    effects.emplace_back(StoreReachable{.outage = now - m_last_contact});
  m_unreachable = false;
  m_last_contact = now;
  m_retry_delay = Duration::zero();
}

void KeyWatcher::HandleFailure(TimePoint now,
                               std::vector<WatcherEffect>& effects,
                               std::string_view why) {
  if (!m_unreachable)
    effects.emplace_back(StoreUnreachable{.why = std::string(why)});
  m_unreachable = true;
  ScheduleRetry(now);
}

std::vector<WatcherEffect> KeyWatcher::OnPageRead(
    TimePoint now,
    const std::optional<StorePage>& page) {
  std::vector<WatcherEffect> effects;
  if (!page) {
    RestartRead();
    HandleFailure(now, effects, "read failed");
    return effects;
  }
  const StoreEra era = EraOf(page->revision);
  if (era < m_era) {
    RestartRead();
    HandleFailure(now, effects, kOldEra);
    return effects;
  }
  HandleReachable(now, effects);
  m_era = era;
  // The pages of one read must be of one history.
  if (m_read_revision && EraOf(*m_read_revision) != era) {
    RestartRead();
    effects.push_back(MakeCall(now));
    return effects;
  }
  if (!m_read_revision)
    m_read_revision = page->revision;
  for (const StoreItem& item : page->items) {
    m_read_keys.push_back(item.key);
    m_last_key = item.key;
    StoreRevision& seen = m_delivered[item.key];
    if (item.revision <= seen)
      continue;
    seen = item.revision;
    effects.emplace_back(KeyChanged{.item = item});
  }
  if (page->more && !page->items.empty()) {
    effects.push_back(MakeCall(now));
    return effects;
  }
  std::erase_if(m_delivered, [this](const auto& entry) {
    return std::ranges::find(m_read_keys, entry.first) == m_read_keys.end();
  });
  effects.emplace_back(
      KeysSynced{.keys = m_read_keys, .revision = *m_read_revision});
  effects.emplace_back(KeysVerified{.at = m_read_started});
  m_last_key.clear();
  m_phase = Phase::kWatching;
  // Pages are not a snapshot; the watch from the first page's revision delivers
  // the changes made during the read.
  m_revision = *m_read_revision;
  effects.push_back(MakeCall(now));
  return effects;
}

std::vector<WatcherEffect> KeyWatcher::OnChanges(TimePoint now,
                                                 const StoreChanges& changes) {
  std::vector<WatcherEffect> effects;
  const StoreEra era = EraOf(changes.revision);
  if (era < m_era) {
    RestartRead();
    HandleFailure(now, effects, kOldEra);
    return effects;
  }
  HandleReachable(now, effects);
  m_era = era;
  // The changes follow a revision of another history.
  if (EraOf(m_revision) != era) {
    RestartRead();
    effects.push_back(MakeCall(now));
    return effects;
  }
  for (const StoreChange& change : changes.changes) {
    StoreRevision& seen = m_delivered[change.item.key];
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
  effects.emplace_back(KeysVerified{.at = m_call_started});
  const Duration delay = BatchDelay(changes);
  if (delay > Duration::zero())
    m_next_tick = now + delay;
  else
    effects.push_back(MakeCall(now));
  return effects;
}

Duration KeyWatcher::BatchDelay(const StoreChanges& changes) const {
  if (changes.changes.empty())
    return Duration::zero();
  Duration shortest = Duration::max();
  for (const StoreChange& change : changes.changes) {
    const auto batched =
        std::ranges::find_if(m_options.batched, [&](const BatchedKeys& keys) {
          return change.item.key.starts_with(keys.prefix);
        });
    if (batched == m_options.batched.end())
      return Duration::zero();
    shortest = std::min(shortest, batched->delay);
  }
  return shortest;
}

std::vector<WatcherEffect> KeyWatcher::OnWatchFailed(TimePoint now,
                                                     WatchFailure failure) {
  std::vector<WatcherEffect> effects;
  // Only a complete read finds missed changes. This also applies to a watch
  // that was cut off, which may have lost changes before that.
  RestartRead();
  switch (failure) {
    case WatchFailure::kHistoryGone:
      effects.push_back(MakeCall(now));
      break;
    case WatchFailure::kCut:
      HandleCut(now, effects);
      break;
    case WatchFailure::kUnreachable:
      HandleFailure(now, effects, kWatchFailureNames.Name(failure));
      break;
  }
  return effects;
}

// Whether the store is away is left to the read that follows.
void KeyWatcher::HandleCut(TimePoint now, std::vector<WatcherEffect>& effects) {
  if (now - m_call_started >= kMinAcceptedWait)
    m_last_contact = now;
  effects.emplace_back(StoreWatchCut{});
  // All watches may be cut at the same time.
  ScheduleRetry(now);
}

}  // namespace boragepick
