// Keeps a copy of all keys under a prefix of the platform's key-value service
// up to date: reads them page by page, then watches from there, and begins
// anew when history is lost. Sans input and output.
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

namespace boragepick {

using StoreRevision = std::uint64_t;

struct StoreItem {
  std::string key;
  std::string value;
  StoreRevision revision = 0;
};

// One page of a read.
struct StorePage {
  std::vector<StoreItem> items;
  bool more = false;
  // The service's revision when the page was read.
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

// How a watch ended without changes.
enum class WatchFailure { kHistoryGone, kUnreachable };

inline constexpr EnumTable kWatchFailureNames{std::array{
    EnumName<WatchFailure>{WatchFailure::kHistoryGone, "history_gone"},
    EnumName<WatchFailure>{WatchFailure::kUnreachable, "unreachable"},
}};

// --- Effects
struct ReadStorePage {
  std::string prefix;
  // The page begins after this key; empty for the first.
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
// All keys were read: others do not exist.
struct KeysSynced {
  std::vector<std::string> keys;
  // At which they were all there was, at the earliest.
  StoreRevision revision = 0;
};
// What was handed on was all there was at `at`.
struct KeysProven {
  TimePoint at;
};
struct StoreLost {
  std::string why;
};
struct StoreRegained {};

using WatcherEffect = std::variant<ReadStorePage,
                                   WatchStore,
                                   KeyChanged,
                                   KeyRemoved,
                                   KeysSynced,
                                   KeysProven,
                                   StoreLost,
                                   StoreRegained>;

struct WatcherOptions {
  std::string prefix;
  // A watch without changes ends after so long: the age that the proof of
  // being current may reach.
  Duration wait = std::chrono::seconds(1);
  // The pause after a call that failed, with up to as much again at random;
  // doubled with each further failure up to the longest.
  Duration retry_pause = std::chrono::milliseconds(120);
  Duration longest_retry_pause = std::chrono::milliseconds(480);
  // After changes that are all below `patient_prefix` the next watch begins so
  // much later, so that many changes cost few calls.
  Duration change_pause = Duration::zero();
  std::string patient_prefix;
  std::uint64_t random_seed = 1;
};

class KeyWatcher {
 public:
  explicit KeyWatcher(WatcherOptions options)
      : m_options(std::move(options)), m_random(m_options.random_seed) {}

  // Begins, and goes on after a pause.
  std::vector<WatcherEffect> Tick(TimePoint now);
  // The answer to the one call that is open; nothing when it failed.
  std::vector<WatcherEffect> PageRead(TimePoint now,
                                      const std::optional<StorePage>& page);
  std::vector<WatcherEffect> Watched(TimePoint now,
                                     const StoreChanges& changes);
  std::vector<WatcherEffect> WatchFailed(TimePoint now, WatchFailure failure);

  // When Tick() is wanted; kNever while a call is open.
  TimePoint NextTick() const { return m_next_call; }
  const std::string& prefix() const { return m_options.prefix; }

 private:
  enum class Phase { kReading, kWatching };

  WatcherEffect NextCall(TimePoint now);
  bool MayPause(const StoreChanges& changes) const;
  void Pause(TimePoint now);
  void Reached(std::vector<WatcherEffect>& effects);
  void Failed(TimePoint now,
              std::vector<WatcherEffect>& effects,
              std::string_view why);

  WatcherOptions m_options;
  Random m_random;
  Phase m_phase = Phase::kReading;
  TimePoint m_next_call = TimePoint{};
  // When the open call was sent, and the first page of the open read.
  TimePoint m_called;
  TimePoint m_read_began;
  std::string m_after;
  std::vector<std::string> m_keys;
  // The revision up to which changes are known; of the first page while
  // reading.
  std::optional<StoreRevision> m_read_revision;
  StoreRevision m_revision = 0;
  // The latest change of each key that was handed on, so that a page read late
  // never brings an older value back.
  std::map<std::string, StoreRevision> m_seen;
  bool m_lost = false;
  // The next pause after a failure; zero for the first one.
  Duration m_pause = Duration::zero();
};

}  // namespace boragepick
