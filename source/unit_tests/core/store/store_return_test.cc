// KeyWatcher, LeasedRecord and StoreEraTracker with a store that comes back
// from an older copy at any moment, also between a call and its reply.

#include <gtest/gtest.h>

#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <variant>
#include <vector>

#include "common/random.h"
#include "core/store/key_watcher.h"
#include "core/store/leased_record.h"

namespace boragepick {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A store that keeps a copy of each of its states.
class RevertingStore {
 public:
  void Put(const std::string& key, LeaseId lease = 0) {
    BeginWrite();
    m_state.items[key] = {.key = key,
                          .value = std::to_string(++m_writes),
                          .revision = Revision()};
    m_state.lease_of[key] = lease;
    m_state.history.push_back({.item = m_state.items[key]});
  }
  void Remove(const std::string& key) {
    BeginWrite();
    m_state.items.erase(key);
    m_state.history.push_back(
        {.item = {.key = key, .revision = Revision()}, .removed = true});
  }
  LeaseId Grant() {
    BeginWrite();
    m_state.leases.insert(++m_state.last_lease);
    return m_state.last_lease;
  }
  void Expire(LeaseId lease) {
    BeginWrite();
    m_state.leases.erase(lease);
  }
  // Comes back from one of the latest states.
  void Revert(Random& random) {
    m_state =
        m_copies[m_copies.size() - 1 -
                 random.Below(std::min<std::size_t>(12, m_copies.size()))];
    m_copies.resize(1);
    ++m_era;
  }

  StorePage Read(const ReadStorePage& read) const {
    constexpr std::size_t kPageSize = 3;
    StorePage page{.revision = Revision()};
    for (auto item = m_state.items.upper_bound(read.after);
         item != m_state.items.end(); ++item) {
      page.more = page.items.size() == kPageSize;
      if (page.more)
        break;
      page.items.push_back(item->second);
      page.items.back().revision = WithEra(item->second.revision);
    }
    return page;
  }
  // Nothing if the store doesn't have that revision.
  std::optional<StoreChanges> Watch(const WatchStore& watch) const {
    if (BareRevisionOf(watch.after) > m_state.revision)
      return std::nullopt;
    StoreChanges changes{.revision = Revision()};
    for (StoreChange change : m_state.history) {
      change.item.revision = WithEra(change.item.revision);
      if (BareRevisionOf(change.item.revision) > BareRevisionOf(watch.after))
        changes.changes.push_back(std::move(change));
    }
    return changes;
  }
  bool HasLease(LeaseId lease) const { return m_state.leases.contains(lease); }
  std::optional<LeaseId> LeaseOf(const std::string& key) const {
    const auto found = m_state.lease_of.find(key);
    return found == m_state.lease_of.end() ? std::nullopt
                                           : std::optional(found->second);
  }
  StoreEra era() const { return m_era; }
  std::map<std::string, std::string> Values() const {
    std::map<std::string, std::string> values;
    for (const auto& [key, item] : m_state.items)
      values[key] = item.value;
    return values;
  }

 private:
  struct State {
    std::uint64_t revision = 10;
    std::map<std::string, StoreItem> items;
    std::vector<StoreChange> history;
    std::map<std::string, LeaseId> lease_of;
    std::set<LeaseId> leases;
    LeaseId last_lease = 0;
  };

  void BeginWrite() {
    m_copies.push_back(m_state);
    ++m_state.revision;
  }
  StoreRevision Revision() const { return WithEra(m_state.revision); }
  StoreRevision WithEra(StoreRevision revision) const {
    return *MakeStoreRevision(m_era, BareRevisionOf(revision));
  }

  StoreEra m_era = 1;
  State m_state;
  std::vector<State> m_copies{State()};
  int m_writes = 0;
};

// A watcher whose calls the store executes some time before it is told their
// outcome, and the copy that its effects build.
class WatcherFixture {
 public:
  explicit WatcherFixture(std::uint64_t seed)
      : m_watcher({.prefix = "", .random_seed = seed}) {}

  void Step(const RevertingStore& store) {
    m_now += seconds(1);
    if (m_reply) {
      const auto deliver = std::exchange(m_reply, std::nullopt);
      if (const auto* page = std::get_if<StorePage>(&*deliver))
        Apply(m_watcher.OnPageRead(m_now, *page));
      else if (const auto* changes = std::get_if<StoreChanges>(&*deliver))
        Apply(m_watcher.OnChanges(m_now, *changes));
      else
        Apply(m_watcher.OnWatchFailed(m_now, WatchFailure::kHistoryGone));
    } else if (!m_call) {
      Apply(m_watcher.Tick(m_now));
    } else {
      Execute(store, *std::exchange(m_call, std::nullopt));
    }
  }
  void ObserveEra(StoreEra era) { m_watcher.OnEra(m_now, era); }
  const std::map<std::string, std::string>& copy() const { return m_copy; }

 private:
  using Reply = std::variant<StorePage, StoreChanges, WatchFailure>;

  void Execute(const RevertingStore& store, const WatcherEffect& call) {
    if (const auto* read = std::get_if<ReadStorePage>(&call)) {
      m_reply = store.Read(*read);
      return;
    }
    const auto changes = store.Watch(std::get<WatchStore>(call));
    m_reply = changes ? Reply(*changes) : Reply(WatchFailure::kHistoryGone);
  }

  void Apply(std::vector<WatcherEffect> effects) {
    for (WatcherEffect& effect : effects) {
      if (const auto* changed = std::get_if<KeyChanged>(&effect)) {
        StoreRevision& seen = m_revisions[changed->item.key];
        RC_ASSERT(changed->item.revision > seen);
        seen = changed->item.revision;
        m_copy[changed->item.key] = changed->item.value;
      } else if (const auto* removed = std::get_if<KeyRemoved>(&effect)) {
        m_copy.erase(removed->key);
      } else if (const auto* synced = std::get_if<KeysSynced>(&effect)) {
        // All keys are of one history.
        for (const std::string& key : synced->keys)
          RC_ASSERT(EraOf(m_revisions[key]) == EraOf(synced->revision));
        std::erase_if(m_copy, [&](const auto& entry) {
          return std::ranges::find(synced->keys, entry.first) ==
                 synced->keys.end();
        });
      } else if (std::holds_alternative<ReadStorePage>(effect) ||
                 std::holds_alternative<WatchStore>(effect)) {
        m_call = std::move(effect);
      }
    }
  }

  KeyWatcher m_watcher;
  TimePoint m_now = TimePoint(seconds(1));
  std::optional<WatcherEffect> m_call;
  std::optional<Reply> m_reply;
  std::map<std::string, std::string> m_copy;
  std::map<std::string, StoreRevision> m_revisions;
};

RC_GTEST_PROP(StoreReturn, TheWatchersCopyConverges, ()) {
  const auto seed = *rc::gen::arbitrary<std::uint64_t>();
  Random random(seed);
  RevertingStore store;
  WatcherFixture fixture(seed);
  for (int step = 0; step < 400; ++step) {
    const std::string key = "k" + std::to_string(random.Below(12));
    switch (random.Below(12)) {
      case 0:
      case 1:
      case 2:
        store.Put(key);
        break;
      case 3:
        store.Remove(key);
        break;
      case 4:
        if (random.Below(4) == 0)
          store.Revert(random);
        break;
      case 5:
        fixture.ObserveEra(store.era());
        break;
      default:
        fixture.Step(store);
    }
  }
  for (int step = 0; step < 30; ++step)
    fixture.Step(store);
  RC_ASSERT(fixture.copy() == store.Values());
}

RC_GTEST_PROP(StoreReturn, ARecordIsWrittenAgainUnderALeaseOfItsOwn, ()) {
  Random random(*rc::gen::arbitrary<std::uint64_t>());
  RevertingStore store;
  LeasedRecord record("r", "v");
  TimePoint now = TimePoint(seconds(1));
  // Leases granted to this record in the present era.
  std::set<LeaseId> own;
  StoreEra known_era = store.era();
  const auto observe = [&] {
    if (known_era == store.era())
      return;
    known_era = store.era();
    record.OnStoreReverted(now);
  };
  const auto maybe_revert = [&](bool calm) {
    if (calm || random.Below(8) != 0)
      return;
    store.Revert(random);
    own.clear();
  };
  for (int step = 0; step < 400; ++step) {
    const bool calm = step >= 360;
    now += milliseconds(500);
    // Others use leases too, so that numbers are given out again to them.
    if (!calm && random.Below(2) == 0)
      store.Grant();
    if (!calm && random.Below(10) == 0 && !own.empty())
      store.Expire(*own.begin());
    const auto effect = record.Tick(now);
    if (!effect)
      continue;
    maybe_revert(calm);
    if (std::holds_alternative<GrantLease>(*effect)) {
      const LeaseId lease = store.Grant();
      own.insert(lease);
      maybe_revert(calm);
      observe();
      record.OnLeaseGranted(now, lease);
      continue;
    }
    const auto* write = std::get_if<WriteLeased>(&*effect);
    const LeaseId lease =
        write != nullptr ? write->lease : std::get<RenewLease>(*effect).lease;
    // Only a call that crosses the return may name a lease of the old era.
    RC_ASSERT(own.contains(lease) || known_era != store.era());
    const bool exists = store.HasLease(lease);
    if (write != nullptr && exists)
      store.Put("r", lease);
    maybe_revert(calm);
    observe();
    const LeaseOutcome outcome =
        exists ? LeaseOutcome::kDone : LeaseOutcome::kLeaseExpired;
    if (write != nullptr)
      record.OnWritten(now, outcome);
    else
      record.OnRenewed(now, outcome);
  }
  const std::optional<LeaseId> lease = store.LeaseOf("r");
  RC_ASSERT(lease.has_value());
  RC_ASSERT(own.contains(*lease));
  RC_ASSERT(store.HasLease(*lease));
}

TEST(StoreRevision, GrowsWithTheEraAndRejectsWhatDoesNotFit) {
  EXPECT_EQ(MakeStoreRevision(0, 7), 7U);
  EXPECT_LT(*MakeStoreRevision(2, kMaxBareRevision), *MakeStoreRevision(3, 1));
  EXPECT_EQ(EraOf(*MakeStoreRevision(kMaxStoreEra, 5)), kMaxStoreEra);
  EXPECT_EQ(BareRevisionOf(*MakeStoreRevision(kMaxStoreEra, 5)), 5U);
  EXPECT_FALSE(MakeStoreRevision(0, kMaxBareRevision + 1));
  EXPECT_FALSE(MakeStoreRevision(kMaxStoreEra + 1, 1));
}

TEST(StoreEraTracker, ReportsEachReturnOnce) {
  StoreEraTracker tracker;
  TimePoint now = TimePoint(seconds(10));
  EXPECT_EQ(tracker.Observe(now, 4), StoreEraTracker::Change::kFirst);
  now += seconds(3);
  EXPECT_EQ(tracker.Observe(now, 5), StoreEraTracker::Change::kReverted);
  EXPECT_EQ(tracker.last_revert().silence, seconds(3));
  EXPECT_EQ(tracker.Observe(now, 5), StoreEraTracker::Change::kNone);
  // A reply that arrives late.
  EXPECT_EQ(tracker.Observe(now, 4), StoreEraTracker::Change::kNone);
  EXPECT_EQ(tracker.era(), 5U);
}

}  // namespace
}  // namespace boragepick
