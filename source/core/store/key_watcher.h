// Maintains an up-to-date copy of all keys under a prefix of the platform's
// key-value store: reads them page by page, then watches for changes, and
// reads everything again when the change history is lost or the store has come
// back from an older copy. A state machine without input or output.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "common/enum_table.h"
#include "common/random.h"
#include "common/time.h"
#include "core/store/store_revision.h"

namespace boragepick {

struct StoreItem {
  std::string key;
  std::string value;
  StoreRevision revision = 0;
};

// One page of a read.
struct StorePage {
  std::vector<StoreItem> items;
  bool more = false;
  // Revision of the store when the page was read.
  StoreRevision revision = 0;
};

struct StoreChange {
  StoreItem item;
  bool removed = false;
};

struct StoreChanges {
  std::vector<StoreChange> changes;
  StoreRevision revision = 0;
};

// Why a watch failed.
enum class WatchFailure {
  kHistoryGone,
  kCut,  // the store ended its connection instead of answering
  kUnreachable,
};

inline constexpr EnumTable kWatchFailureNames{std::array{
    EnumName<WatchFailure>{WatchFailure::kHistoryGone, "history_gone"},
    EnumName<WatchFailure>{WatchFailure::kCut, "cut"},
    EnumName<WatchFailure>{WatchFailure::kUnreachable, "unreachable"},
}};

// --- Effects
struct ReadStorePage {
  std::string prefix;
  // The page starts after this key; empty for the first page.
  std::string after;
};
struct WatchStore {
  std::string prefix;
  StoreRevision after = 0;
  Duration wait = Duration::zero();
};
struct KeyChanged {
  StoreItem item;
};
struct KeyRemoved {
  std::string key;
  StoreRevision revision = 0;
};
// A complete read has ended: keys not listed do not exist.
struct KeysSynced {
  std::vector<std::string> keys;
  // Revision of the first page: the earliest at which the list is complete.
  StoreRevision revision = 0;
};
// The effects so far include every change made up to `at`.
struct KeysVerified {
  TimePoint at;
};
struct StoreUnreachable {
  std::string why;
};
struct StoreReachable {
  // How long the store may have been away at most: the time since it was last
  // known to be there, or since the first call.
  Duration outage = Duration::zero();
};
// The store cut a watch, which is no outage. All keys are read again.
struct StoreWatchCut {};

using WatcherEffect = std::variant<ReadStorePage,
                                   WatchStore,
                                   KeyChanged,
                                   KeyRemoved,
                                   KeysSynced,
                                   KeysVerified,
                                   StoreUnreachable,
                                   StoreReachable,
                                   StoreWatchCut>;

// Keys whose changes need not be known at once.
struct BatchedKeys {
  std::string prefix;
  // The next watch starts this much after a change.
  Duration delay = Duration::zero();
};

struct WatcherOptions {
  std::string prefix;
  // A watch without changes ends after this time, which bounds the age of the
  // latest KeysVerified.
  Duration watch_timeout = std::chrono::seconds(1);
  // Delay after a failed call, plus a random extra of up to the same length;
  // doubled with each further failure up to the maximum.
  Duration retry_delay = std::chrono::milliseconds(120);
  Duration max_retry_delay = std::chrono::milliseconds(480);
  // After changes of these keys alone, the next watch starts later, so that
  // frequent changes need fewer calls.
  std::vector<BatchedKeys> batched = {};
  std::uint64_t random_seed = 1;
};

class KeyWatcher {
 public:
  explicit KeyWatcher(WatcherOptions options)
      : m_options(std::move(options)), m_random(m_options.random_seed) {}

  // Starts the first call, and the next one after a delay.
  std::vector<WatcherEffect> Tick(TimePoint now);
  // The result of the pending read; empty if it failed.
  std::vector<WatcherEffect> OnPageRead(TimePoint now,
                                        const std::optional<StorePage>& page);
  std::vector<WatcherEffect> OnChanges(TimePoint now,
                                       const StoreChanges& changes);
  std::vector<WatcherEffect> OnWatchFailed(TimePoint now, WatchFailure failure);
  // The answer to another call has shown that the store is in `era`. A pending
  // call is left to its end.
  void OnEra(TimePoint now, StoreEra era);

  // When Tick() is due; kNever while a call is pending.
  TimePoint NextTick() const { return m_next_tick; }
  const std::string& prefix() const { return m_options.prefix; }

 private:
  enum class Phase { kReading, kWatching };

  WatcherEffect MakeCall(TimePoint now);
  // Returns the shortest delay among the changes.
  Duration BatchDelay(const StoreChanges& changes) const;
  void ScheduleRetry(TimePoint now);
  // Starts a new read of all keys with the next call.
  void RestartRead();
  void HandleReachable(TimePoint now, std::vector<WatcherEffect>& effects);
  void HandleCut(TimePoint now, std::vector<WatcherEffect>& effects);
  void HandleFailure(TimePoint now,
                     std::vector<WatcherEffect>& effects,
                     std::string_view why);

  WatcherOptions m_options;
  Random m_random;
  Phase m_phase = Phase::kReading;
  TimePoint m_next_tick = TimePoint{};
  // When the pending call, and the first page of the current read, were sent.
  TimePoint m_call_started;
  TimePoint m_read_started;
  std::string m_last_key;
  std::vector<std::string> m_read_keys;
  // The revision of the first page of the current read, and the revision up to
  // which changes were delivered.
  std::optional<StoreRevision> m_read_revision;
  StoreRevision m_revision = 0;
  // The newest era that an answer has shown.
  StoreEra m_era = 0;
  // The latest delivered revision of each key, so that a page read late never
  // restores an older value.
  std::map<std::string, StoreRevision> m_delivered;
  bool m_unreachable = false;
  // When the store was last known to be there.
  TimePoint m_last_contact = kNever;
  // The latest retry delay; zero after a success.
  Duration m_retry_delay = Duration::zero();
};

}  // namespace boragepick
