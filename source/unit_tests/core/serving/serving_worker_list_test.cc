// Workers that leave the list, or whose entries expire, while the list's store
// interrupts its service.

#include <gtest/gtest.h>

#include "core/store/key_watcher.h"
#include "unit_tests/core/serving/serving_fixture.h"

namespace boragepick {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A router that gets its worker list from a watcher.
class ServingWorkerList : public testing::Test {
 protected:
  void SetUp() override {
    fixture.Start();
    Tick();
    Read({"p1", "p2"});
    fixture.effects.clear();
  }

  void Tick() { Apply(watcher.Tick(fixture.now)); }
  void Read(const std::vector<std::string>& workers) {
    StorePage page{.revision = ++revision};
    for (const std::string& worker : workers)
      page.items.push_back({.key = worker, .revision = revision});
    Apply(watcher.OnPageRead(fixture.now, page));
  }
  void FailRead() { Apply(watcher.OnPageRead(fixture.now, std::nullopt)); }
  void FailWatch(WatchFailure failure) {
    Apply(watcher.OnWatchFailed(fixture.now, failure));
  }
  // Advances to the watcher's next call and starts it.
  void AwaitCall() {
    fixture.Advance(watcher.NextTick() - fixture.now);
    Tick();
  }
  // Lets calls fail until the store has been away for `outage`.
  void AwaitReturn(Duration outage) {
    const TimePoint end = fixture.now + outage;
    while (true) {
      AwaitCall();
      if (fixture.now >= end)
        return;
      FailRead();
    }
  }
  bool IsUsed(const std::string& worker) {
    bool used = false;
    for (int i = 0; i < 20; ++i)
      fixture.ReceiveRequest("/book/1");
    for (const SendAttempt& sent : fixture.TakeEffects<SendAttempt>()) {
      used = used || sent.worker == worker;
      fixture.RespondHead(sent.attempt);
      fixture.Handle(AttemptCompleted{.attempt = sent.attempt});
    }
    return used;
  }

  ServingFixture fixture;
  KeyWatcher watcher{{.prefix = ""}};
  StoreRevision revision = 0;

 private:
  void Apply(const std::vector<WatcherEffect>& effects) {
    for (const WatcherEffect& effect : effects) {
      if (const auto* changed = std::get_if<KeyChanged>(&effect))
        fixture.Handle(WorkerListed{.entry = PlainWorker(changed->item.key)});
      else if (const auto* synced = std::get_if<KeysSynced>(&effect))
        fixture.Handle(WorkersSynced{.ids = synced->keys});
      else if (std::holds_alternative<StoreUnreachable>(effect))
        fixture.Handle(WorkerListUnavailable{});
      else if (const auto* reachable = std::get_if<StoreReachable>(&effect))
        fixture.Handle(WorkerListRestored{.outage = reachable->outage});
    }
  }
};

// The worker's entry was removed when a watch was cut. The worker got requests
// for 2.3 s more, longer than it serves after it has left.
TEST_F(ServingWorkerList, AWorkerThatLeavesWhenAWatchIsCutIsRemovedAtOnce) {
  fixture.Advance(seconds(1));
  FailWatch(WatchFailure::kCut);
  AwaitCall();
  Read({"p2"});
  EXPECT_FALSE(IsUsed("p1"));
  EXPECT_TRUE(IsUsed("p2"));
}

TEST_F(ServingWorkerList, AWorkerThatLeavesAtOneRejectedCallIsRemovedAtOnce) {
  fixture.Advance(milliseconds(100));
  FailWatch(WatchFailure::kUnreachable);
  AwaitCall();
  Read({"p2"});
  EXPECT_FALSE(IsUsed("p1"));
}

// Its entry expired in the outage and comes back within two seconds.
TEST_F(ServingWorkerList, AWorkerWhoseEntryExpiredInAnOutageIsKept) {
  for (const WatchFailure failure :
       {WatchFailure::kCut, WatchFailure::kUnreachable}) {
    fixture.Advance(seconds(1));
    FailWatch(failure);
    AwaitReturn(milliseconds(2'500));
    Read({"p2"});
    EXPECT_TRUE(IsUsed("p1"));
    fixture.Advance(milliseconds(1'900));
    EXPECT_TRUE(IsUsed("p1"));
    FailWatch(WatchFailure::kCut);
    AwaitCall();
    Read({"p1", "p2"});
    EXPECT_TRUE(fixture.TakeEffects<CloseWorkerConnections>().empty());
    fixture.Advance(seconds(3));
    EXPECT_TRUE(IsUsed("p1"));
  }
}

// Neither outage is long enough, but no heartbeat of the worker may have fallen
// between them.
TEST_F(ServingWorkerList, OutagesInCloseSuccessionCountAsOne) {
  for (int i = 0; i < 2; ++i) {
    fixture.Advance(milliseconds(300));
    FailWatch(WatchFailure::kUnreachable);
    AwaitReturn(milliseconds(800));
    if (i == 0)
      Read({"p1", "p2"});
  }
  Read({"p2"});
  EXPECT_TRUE(IsUsed("p1"));
  // They don't if the store was there for longer than a heartbeat.
  fixture.Advance(seconds(5));
  Read({"p1", "p2"});
  FailWatch(WatchFailure::kUnreachable);
  AwaitReturn(milliseconds(500));
  Read({"p2"});
  EXPECT_FALSE(IsUsed("p1"));
}

TEST_F(ServingWorkerList, AWorkerMissingForLongAfterAnOutageIsRemoved) {
  FailWatch(WatchFailure::kUnreachable);
  AwaitReturn(seconds(4));
  Read({"p2"});
  fixture.Advance(milliseconds(2'400));
  EXPECT_FALSE(IsUsed("p1"));
  EXPECT_EQ(fixture.TakeEffects<CloseWorkerConnections>().size(), 1U);
}

// A cut watch during the grace neither ends nor extends it.
TEST_F(ServingWorkerList, ACutWatchDoesNotExtendTheGraceAfterAnOutage) {
  FailWatch(WatchFailure::kUnreachable);
  AwaitReturn(seconds(4));
  Read({"p2"});
  for (int i = 0; i < 2; ++i) {
    EXPECT_TRUE(IsUsed("p1"));
    fixture.Advance(milliseconds(700));
    FailWatch(WatchFailure::kCut);
    AwaitCall();
    Read({"p2"});
  }
  fixture.Advance(milliseconds(900));
  EXPECT_FALSE(IsUsed("p1"));
}

// Workers of this deployment renew their entries ten times as often.
TEST(ServingWorkerListOptions, TheHeartbeatDecidesWhichOutageIsLong) {
  ServingFixture fixture({.vm = "r1",
                          .data_centre = "a",
                          .endpoint = "10.1.0.1:7",
                          .worker_heartbeat = milliseconds(120)});
  fixture.Start();
  fixture.Handle(WorkerListUnavailable{});
  fixture.Handle(WorkerListRestored{.outage = milliseconds(300)});
  fixture.Handle(WorkersSynced{.ids = {"p2", "w1", "w2", "w3"}});
  EXPECT_NE(fixture.router().state().workers.Find("p1"), nullptr);
  fixture.Advance(seconds(3));
  EXPECT_EQ(fixture.router().state().workers.Find("p1"), nullptr);
}

// The copy lacks a worker, and has one from before it drained.
TEST_F(ServingWorkerList, AStoreThatComesBackFromACopyRemovesNoWorkerAtOnce) {
  WorkerEntry draining = PlainWorker("p1");
  draining.state = WorkerState::kDraining;
  fixture.Handle(WorkerListed{.entry = draining});
  fixture.Handle(StoreReverted{.old_era = 1, .era = 2});
  fixture.Handle(WorkersSynced{.ids = {"p1"}});
  fixture.Handle(WorkerListed{.entry = PlainWorker("p1")});
  EXPECT_TRUE(IsUsed("p2"));
  EXPECT_FALSE(IsUsed("p1"));
  fixture.Advance(seconds(3));
  EXPECT_FALSE(IsUsed("p2"));
}

}  // namespace
}  // namespace boragepick
