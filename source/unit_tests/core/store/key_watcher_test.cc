// The watched copy of a prefix, and the record that is kept under a lease.

#include <gtest/gtest.h>

#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>

#include "common/random.h"
#include "core/store/key_watcher.h"
#include "core/store/record_keeper.h"

namespace boragepick {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A service with a short history, and the copy that a watcher's effects build.
class Bench {
 public:
  explicit Bench(std::uint64_t seed)
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
  void ForgetHistory() {
    m_history.clear();
    m_oldest = m_revision;
  }

  // Lets the watcher make one call, which fails if `fails`.
  void Step(bool fails) {
    m_now += seconds(1);
    if (!m_call) {
      Carry(m_watcher.Tick(m_now));
      return;
    }
    const WatcherEffect call = *std::exchange(m_call, std::nullopt);
    if (const auto* read = std::get_if<ReadStorePage>(&call))
      Carry(m_watcher.PageRead(
          m_now, fails ? std::nullopt : std::optional(Page(*read))));
    else
      AnswerWatch(std::get<WatchStore>(call), fails);
  }

  std::map<std::string, std::string> Wanted() const {
    std::map<std::string, std::string> wanted;
    for (const auto& [key, item] : m_items)
      wanted[key] = item.value;
    return wanted;
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

  void AnswerWatch(const WatchStore& watch, bool fails) {
    if (fails) {
      Carry(m_watcher.WatchFailed(m_now, WatchFailure::kUnreachable));
    } else if (watch.after < m_oldest) {
      Carry(m_watcher.WatchFailed(m_now, WatchFailure::kHistoryGone));
    } else {
      StoreChanges changes{.revision = m_revision};
      for (const StoreChange& change : m_history) {
        if (change.item.revision > watch.after)
          changes.changes.push_back(change);
      }
      Carry(m_watcher.Watched(m_now, changes));
    }
  }

  void Carry(std::vector<WatcherEffect> effects) {
    for (WatcherEffect& effect : effects) {
      if (const auto* changed = std::get_if<KeyChanged>(&effect))
        m_copy[changed->item.key] = changed->item.value;
      else if (const auto* removed = std::get_if<KeyRemoved>(&effect))
        m_copy.erase(removed->key);
      else if (const auto* synced = std::get_if<KeysSynced>(&effect))
        Keep(synced->keys);
      else if (std::holds_alternative<ReadStorePage>(effect) ||
               std::holds_alternative<WatchStore>(effect))
        m_call = std::move(effect);
    }
  }

  void Keep(const std::vector<std::string>& keys) {
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

RC_GTEST_PROP(KeyWatcher, TheCopyBecomesWhatIsStored, ()) {
  Bench bench(*rc::gen::arbitrary<std::uint64_t>());
  Random& random = bench.random();
  for (int step = 0; step < 300; ++step) {
    const std::string key = "p/" + std::to_string(random.Below(12));
    switch (random.Below(8)) {
      case 0:
      case 1:
        bench.Put(key, std::to_string(step));
        break;
      case 2:
        bench.Remove(key);
        break;
      case 3:
        if (random.Below(5) == 0)
          bench.ForgetHistory();
        break;
      default:
        bench.Step(/*fails=*/random.Below(6) == 0);
    }
  }
  for (int step = 0; step < 12; ++step)
    bench.Step(/*fails=*/false);
  RC_ASSERT(bench.copy() == bench.Wanted());
}

TEST(KeyWatcher, AsksLessOftenTheLongerTheServiceIsAway) {
  KeyWatcher watcher({.prefix = "p/",
                      .retry_pause = milliseconds(100),
                      .longest_retry_pause = milliseconds(800)});
  TimePoint now = TimePoint(seconds(10));
  watcher.Tick(now);
  int calls = 0;
  for (const TimePoint end = now + seconds(20); now < end; ++calls) {
    watcher.PageRead(now, std::nullopt);
    now = watcher.NextTick();
    ASSERT_FALSE(watcher.Tick(now).empty());
  }
  EXPECT_LE(calls, 30);
  // Once it is back, the next failure is retried soon.
  watcher.PageRead(now, StorePage{.revision = 1});
  watcher.WatchFailed(now, WatchFailure::kUnreachable);
  EXPECT_LE(watcher.NextTick() - now, milliseconds(200));
}

TEST(KeyWatcher, ProofIsAsOldAsTheCall) {
  KeyWatcher watcher({.prefix = "p/"});
  const TimePoint start = TimePoint(seconds(10));
  watcher.Tick(start);
  TimePoint proven;
  const auto note = [&proven](const std::vector<WatcherEffect>& effects) {
    for (const WatcherEffect& effect : effects) {
      if (const auto* proof = std::get_if<KeysProven>(&effect))
        proven = proof->at;
    }
  };
  note(watcher.PageRead(start + seconds(3), StorePage{.revision = 5}));
  EXPECT_EQ(proven, start);
  note(watcher.Watched(start + seconds(9), {.revision = 5}));
  EXPECT_EQ(proven, start + seconds(3));
}

TEST(RecordKeeper, WritesAnewWhenTheLeaseHasEnded) {
  TimePoint now = TimePoint(seconds(10));
  RecordKeeper keeper("k", "v");
  EXPECT_TRUE(std::holds_alternative<GrantLease>(*keeper.Tick(now)));
  EXPECT_FALSE(keeper.Tick(now));
  keeper.LeaseGranted(now, 4);
  EXPECT_EQ(std::get<WriteLeased>(*keeper.Tick(now)).lease, 4U);
  keeper.Written(now, KeeperOutcome::kDone);
  EXPECT_FALSE(keeper.Tick(now + milliseconds(100)));
  now += RecordKeeper::kRenewPeriod;
  EXPECT_EQ(std::get<RenewLease>(*keeper.Tick(now)).lease, 4U);
  keeper.Renewed(now, KeeperOutcome::kFailed);
  now += RecordKeeper::kRetryPause;
  EXPECT_TRUE(std::holds_alternative<RenewLease>(*keeper.Tick(now)));
  keeper.Renewed(now, KeeperOutcome::kLeaseEnded);
  EXPECT_TRUE(std::holds_alternative<GrantLease>(*keeper.Tick(now)));
}

}  // namespace
}  // namespace boragepick
