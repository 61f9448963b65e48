// KeyWatcher, LeasedRecord and RejectedKeys.

#include <gtest/gtest.h>

#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>

#include "common/random.h"
#include "core/store/key_watcher.h"
#include "core/store/leased_record.h"
#include "core/store/rejected_keys.h"

namespace boragepick {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A key-value store with a truncatable history, and the copy that the
// watcher's effects build.
class StoreFixture {
 public:
  explicit StoreFixture(std::uint64_t seed)
      : m_random(seed), m_watcher({.prefix = "p/", .random_seed = seed}) {}

  void Put(const std::string& key, const std::string& value) {
    m_items[key] = {.key = key, .value = value, .revision = ++m_revision};
    m_history.push_back({.item = m_items[key]});
  }
  void Remove(const std::string& key) {
    if (m_items.erase(key) == 0)
      return;
    m_history.push_back(
        {.item = {.key = key, .revision = ++m_revision}, .removed = true});
  }
  void TruncateHistory() {
    m_history.clear();
    m_oldest = m_revision;
  }

  // Executes one call of the watcher, which fails if `call_fails`.
  void Step(bool call_fails) {
    m_now += seconds(1);
    if (!m_call) {
      Apply(m_watcher.Tick(m_now));
      return;
    }
    const WatcherEffect call = *std::exchange(m_call, std::nullopt);
    if (const auto* read = std::get_if<ReadStorePage>(&call))
      Apply(m_watcher.OnPageRead(
          m_now, call_fails ? std::nullopt : std::optional(Page(*read))));
    else
      AnswerWatch(std::get<WatchStore>(call), call_fails);
  }

  std::map<std::string, std::string> Expected() const {
    std::map<std::string, std::string> expected;
    for (const auto& [key, item] : m_items)
      expected[key] = item.value;
    return expected;
  }
  const std::map<std::string, std::string>& copy() const { return m_copy; }
  Random& random() { return m_random; }

 private:
  StorePage Page(const ReadStorePage& read) const {
    constexpr std::size_t kPageSize = 3;
    StorePage page{.revision = m_revision};
    for (auto item = m_items.upper_bound(read.after); item != m_items.end();
         ++item) {
      if (page.items.size() == kPageSize) {
        page.more = true;
        break;
      }
      page.items.push_back(item->second);
    }
    return page;
  }

  void AnswerWatch(const WatchStore& watch, bool call_fails) {
    if (call_fails) {
      Apply(m_watcher.OnWatchFailed(m_now, WatchFailure::kUnreachable));
    } else if (watch.after < m_oldest) {
      Apply(m_watcher.OnWatchFailed(m_now, WatchFailure::kHistoryGone));
    } else {
      StoreChanges changes{.revision = m_revision};
      for (const StoreChange& change : m_history) {
        if (change.item.revision > watch.after)
          changes.changes.push_back(change);
      }
      Apply(m_watcher.OnChanges(m_now, changes));
    }
  }

  void Apply(std::vector<WatcherEffect> effects) {
    for (WatcherEffect& effect : effects) {
      if (const auto* changed = std::get_if<KeyChanged>(&effect))
        m_copy[changed->item.key] = changed->item.value;
      else if (const auto* removed = std::get_if<KeyRemoved>(&effect))
        m_copy.erase(removed->key);
      else if (const auto* synced = std::get_if<KeysSynced>(&effect))
        RemoveOthers(synced->keys);
      else if (std::holds_alternative<ReadStorePage>(effect) ||
               std::holds_alternative<WatchStore>(effect))
        m_call = std::move(effect);
    }
  }

  void RemoveOthers(const std::vector<std::string>& keys) {
    std::erase_if(m_copy, [&keys](const auto& entry) {
      return std::ranges::find(keys, entry.first) == keys.end();
    });
  }

  Random m_random;
  KeyWatcher m_watcher;
  TimePoint m_now = TimePoint(seconds(1));
  StoreRevision m_revision = 0;
  StoreRevision m_oldest = 0;
  std::map<std::string, StoreItem> m_items;
  std::vector<StoreChange> m_history;
  std::map<std::string, std::string> m_copy;
  std::optional<WatcherEffect> m_call;
};

RC_GTEST_PROP(KeyWatcher, CopyConvergesToTheStore, ()) {
  StoreFixture fixture(*rc::gen::arbitrary<std::uint64_t>());
  Random& random = fixture.random();
  for (int step = 0; step < 300; ++step) {
    const std::string key = "p/" + std::to_string(random.Below(12));
    switch (random.Below(8)) {
      case 0:
      case 1:
        fixture.Put(key, std::to_string(step));
        break;
      case 2:
        fixture.Remove(key);
        break;
      case 3:
        if (random.Below(5) == 0)
          fixture.TruncateHistory();
        break;
      default:
        fixture.Step(/*call_fails=*/random.Below(6) == 0);
    }
  }
  for (int step = 0; step < 12; ++step)
    fixture.Step(/*call_fails=*/false);
  RC_ASSERT(fixture.copy() == fixture.Expected());
}

TEST(KeyWatcher, BacksOffWhileTheStoreIsUnreachable) {
  KeyWatcher watcher({.prefix = "p/",
                      .retry_delay = milliseconds(100),
                      .max_retry_delay = milliseconds(800)});
  TimePoint now = TimePoint(seconds(10));
  watcher.Tick(now);
  int calls = 0;
  for (const TimePoint end = now + seconds(20); now < end; ++calls) {
    watcher.OnPageRead(now, std::nullopt);
    now = watcher.NextTick();
    ASSERT_FALSE(watcher.Tick(now).empty());
  }
  EXPECT_LE(calls, 30);
  // After a success, the delay starts over.
  watcher.OnPageRead(now, StorePage{.revision = 1});
  watcher.OnWatchFailed(now, WatchFailure::kUnreachable);
  EXPECT_LE(watcher.NextTick() - now, milliseconds(200));
}

TEST(KeyWatcher, VerificationTimeIsTheStartOfTheCall) {
  KeyWatcher watcher({.prefix = "p/"});
  const TimePoint start = TimePoint(seconds(10));
  watcher.Tick(start);
  TimePoint proven;
  const auto record = [&proven](const std::vector<WatcherEffect>& effects) {
    for (const WatcherEffect& effect : effects) {
      if (const auto* proof = std::get_if<KeysVerified>(&effect))
        proven = proof->at;
    }
  };
  record(watcher.OnPageRead(start + seconds(3), StorePage{.revision = 5}));
  EXPECT_EQ(proven, start);
  record(watcher.OnChanges(start + seconds(9), {.revision = 5}));
  EXPECT_EQ(proven, start + seconds(3));
}

template <typename Effect>
const Effect* FindEffect(const std::vector<WatcherEffect>& effects) {
  for (const WatcherEffect& effect : effects) {
    if (const auto* found = std::get_if<Effect>(&effect))
      return found;
  }
  return nullptr;
}

// A watch that had waited for a second was cut. This was reported as an outage
// of the store, after which workers that had left were used for too long.
TEST(KeyWatcher, ACutWatchIsNoOutage) {
  KeyWatcher watcher({.prefix = "p/"});
  TimePoint now = TimePoint(seconds(10));
  watcher.Tick(now);
  watcher.OnPageRead(now, StorePage{.revision = 5});
  now += seconds(1);
  const auto cut = watcher.OnWatchFailed(now, WatchFailure::kCut);
  EXPECT_NE(FindEffect<StoreWatchCut>(cut), nullptr);
  EXPECT_EQ(FindEffect<StoreUnreachable>(cut), nullptr);
  now = watcher.NextTick();
  EXPECT_NE(FindEffect<ReadStorePage>(watcher.Tick(now)), nullptr);
  const auto read = watcher.OnPageRead(now, StorePage{.revision = 6});
  EXPECT_EQ(FindEffect<StoreReachable>(read), nullptr);
  EXPECT_NE(FindEffect<KeysSynced>(read), nullptr);
}

// The end of a watch in waiting shows that the store was there until then. One
// that ends at once, or isn't answered, shows nothing.
TEST(KeyWatcher, AnOutageCountsFromTheLastContact) {
  struct Case {
    Duration waited;
    WatchFailure failure;
    // From the last contact to the failure.
    Duration silent;
  };
  for (const Case& c :
       {Case{seconds(1), WatchFailure::kCut, seconds(0)},
        Case{milliseconds(1), WatchFailure::kCut, milliseconds(3'001)},
        Case{seconds(1), WatchFailure::kUnreachable, seconds(4)}}) {
    KeyWatcher watcher(
        {.prefix = "p/", .batched = {{.prefix = "p/w", .delay = seconds(3)}}});
    TimePoint now = TimePoint(seconds(10));
    watcher.Tick(now);
    watcher.OnPageRead(now, StorePage{.revision = 5});
    watcher.OnChanges(
        now,
        {.changes = {{.item = {.key = "p/w", .revision = 6}}}, .revision = 6});
    now += seconds(3);
    watcher.Tick(now);
    now += c.waited;
    const TimePoint failed_at = now;
    watcher.OnWatchFailed(now, c.failure);
    now = watcher.NextTick();
    watcher.Tick(now);
    watcher.OnPageRead(now, std::nullopt);
    now = watcher.NextTick();
    watcher.Tick(now);
    const auto read = watcher.OnPageRead(now, StorePage{.revision = 6});
    const auto* reachable = FindEffect<StoreReachable>(read);
    ASSERT_NE(reachable, nullptr);
    EXPECT_EQ(reachable->outage, now - failed_at + c.silent);
  }
}

TEST(LeasedRecord, RequestsANewLeaseWhenTheOldOneHasExpired) {
  TimePoint now = TimePoint(seconds(10));
  LeasedRecord record("k", "v");
  EXPECT_TRUE(std::holds_alternative<GrantLease>(*record.Tick(now)));
  EXPECT_FALSE(record.Tick(now));
  record.OnLeaseGranted(now, 4);
  EXPECT_EQ(std::get<WriteLeased>(*record.Tick(now)).lease, 4U);
  record.OnWritten(now, LeaseOutcome::kDone);
  EXPECT_FALSE(record.Tick(now + milliseconds(100)));
  now += LeasedRecord::kRenewPeriod;
  EXPECT_EQ(std::get<RenewLease>(*record.Tick(now)).lease, 4U);
  record.OnRenewed(now, LeaseOutcome::kFailed);
  now += LeasedRecord::kRetryDelay;
  EXPECT_TRUE(std::holds_alternative<RenewLease>(*record.Tick(now)));
  record.OnRenewed(now, LeaseOutcome::kLeaseExpired);
  EXPECT_TRUE(std::holds_alternative<GrantLease>(*record.Tick(now)));
}

TEST(RejectedKeys, AnItemWrittenAgainAndAgainIsReportedOnce) {
  RejectedKeys keys;
  EXPECT_TRUE(keys.Add("a"));
  EXPECT_FALSE(keys.Add("a"));
  EXPECT_TRUE(keys.Add("b"));
  keys.Remove("a");
  EXPECT_TRUE(keys.Add("a"));
  keys.Retain({"a"});
  EXPECT_FALSE(keys.Add("a"));
  EXPECT_TRUE(keys.Add("b"));
}

// Returns how many watches the watcher starts if each change arrives at once.
std::size_t CountWatches(const std::vector<BatchedKeys>& batched,
                         const std::string& key,
                         Duration between,
                         int changes) {
  KeyWatcher watcher({.prefix = "", .batched = batched});
  TimePoint now(seconds(100));
  std::size_t watches = 0;
  bool is_watching = false;
  const auto apply = [&](const std::vector<WatcherEffect>& effects) {
    for (const WatcherEffect& effect : effects) {
      const bool starts = std::holds_alternative<WatchStore>(effect);
      watches += starts ? 1 : 0;
      is_watching = is_watching || starts;
    }
  };
  watcher.Tick(now);
  apply(watcher.OnPageRead(now, StorePage{.revision = 1}));
  StoreChanges pending{.revision = 1};
  for (int i = 0; i < changes; ++i) {
    now += between;
    apply(watcher.Tick(now));
    pending.changes.push_back(
        {.item = {.key = key, .revision = ++pending.revision}});
    if (!std::exchange(is_watching, false))
      continue;
    apply(watcher.OnChanges(now, pending));
    pending.changes.clear();
  }
  return watches;
}

TEST(KeyWatcher, BatchesChangesThatNeedNotBeKnownAtOnce) {
  const std::vector<BatchedKeys> batched{
      {.prefix = "w/", .delay = seconds(2)},
      {.prefix = "r/", .delay = milliseconds(500)}};
  // Two seconds in which 200 routers start and write their records.
  EXPECT_LE(CountWatches(batched, "r/x", milliseconds(10), 200), 6U);
  EXPECT_LE(CountWatches(batched, "w/x", milliseconds(10), 200), 2U);
  // The configuration is always read at once.
  EXPECT_EQ(CountWatches(batched, "settings", milliseconds(10), 200), 201U);
}

TEST(KeyWatcher, TheShortestDelayOfABatchCounts) {
  KeyWatcher watcher({.prefix = "",
                      .batched = {{.prefix = "w/", .delay = seconds(2)},
                                  {.prefix = "r/", .delay = seconds(1)}}});
  const TimePoint now(seconds(100));
  watcher.Tick(now);
  watcher.OnPageRead(now, StorePage{.revision = 1});
  watcher.OnChanges(now, {.changes = {{.item = {.key = "w/a", .revision = 2}},
                                      {.item = {.key = "r/a", .revision = 3}}},
                          .revision = 3});
  EXPECT_EQ(watcher.NextTick(), now + seconds(1));
}

}  // namespace
}  // namespace boragepick
