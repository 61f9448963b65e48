// Tests of the fair queue, load balancing, quarantine, retry budget, slot
// semaphore, adaptive limit and event stream parser.

#include <gtest/gtest.h>

#include <rapidcheck.h>
#include <rapidcheck/gtest.h>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "common/random.h"
#include "core/scheduling/event_stream_parser.h"
#include "core/scheduling/fair_queue.h"
#include "core/scheduling/load_balancing.h"
#include "core/scheduling/quarantine.h"
#include "core/scheduling/retry_budget.h"
#include "core/scheduling/slot_semaphore.h"

namespace boragepick {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kNow = TimePoint(seconds(100));

// Returns the tokens served for each team from a backlog in which one team has
// many more requests than the others.
template <RequestQueue Queue>
std::map<std::string, double> Serve(Queue& queue, std::size_t served) {
  std::map<TicketId, std::string> teams;
  TicketId id = 0;
  for (int round = 0; round < 200; ++round) {
    for (int i = 0; i < 20; ++i) {
      queue.Push({.id = ++id, .team = "flood", .cost = 10});
      teams[id] = "flood";
    }
    for (const char* team : {"a", "b", "c"}) {
      queue.Push({.id = ++id, .team = team, .cost = 10});
      teams[id] = team;
    }
  }
  std::map<std::string, double> tokens;
  for (std::size_t i = 0; i < served; ++i)
    tokens[teams.at(*queue.Pop())] += 10;
  return tokens;
}

double JainIndex(const std::map<std::string, double>& shares) {
  double sum = 0;
  double squares = 0;
  for (const auto& [team, share] : shares) {
    sum += share;
    squares += share * share;
  }
  return sum * sum / (static_cast<double>(shares.size()) * squares);
}

TEST(FairQueue, EquallyEntitledTeamsGetEqualTokens) {
  FairQueue fair;
  FifoQueue baseline;
  const auto shares = Serve(fair, 400);
  EXPECT_GT(JainIndex(shares), 0.99);
  EXPECT_LT(JainIndex(Serve(baseline, 400)), 0.5);
}

TEST(FairQueue, BatchGetsItsFixedShareBesideInteractive) {
  FairQueue queue;
  for (TicketId id = 1; id <= 100; ++id)
    queue.Push({.id = id, .team = "a", .priority = Priority::kInteractive});
  for (TicketId id = 101; id <= 200; ++id)
    queue.Push({.id = id, .team = "b", .priority = Priority::kBatch});
  int batch = 0;
  for (int i = 0; i < 80; ++i)
    batch += *queue.Pop() > 100 ? 1 : 0;
  EXPECT_EQ(batch, 80 / static_cast<int>(FairQueue::kBatchInterval));
}

RC_GTEST_PROP(FairQueue, ReturnsEachTicketExactlyOnce, ()) {
  FairQueue queue;
  std::set<TicketId> waiting;
  Random random(*rc::gen::arbitrary<std::uint64_t>());
  TicketId last = 0;
  for (int step = 0; step < 300; ++step) {
    const auto action = random.Below(5);
    if (action < 2) {
      waiting.insert(++last);
      queue.Push({.id = last,
                  .team = std::to_string(random.Below(4)),
                  .priority = random.Below(2) == 0 ? Priority::kBatch
                                                   : Priority::kInteractive,
                  .cost = static_cast<std::int64_t>(random.Below(50)),
                  .deadline = kNow + milliseconds(random.Below(1000))});
    } else if (action == 2) {
      const auto id = queue.Pop();
      RC_ASSERT(id.has_value() == !waiting.empty());
      if (id)
        RC_ASSERT(waiting.erase(*id) == 1U);
    } else if (action == 3 && last > 0) {
      const TicketId id = 1 + random.Below(last);
      queue.Remove(id);
      waiting.erase(id);
    } else {
      for (const TicketId id :
           queue.RemoveExpired(kNow + milliseconds(random.Below(300))))
        RC_ASSERT(waiting.erase(id) == 1U);
    }
    RC_ASSERT(queue.Size() == waiting.size());
  }
}

TEST(LoadBalancing, FirstRequestsOfManyRoutersGoToOneAgent) {
  std::vector<Candidate> cold(5);
  std::set<std::size_t> chosen;
  for (std::uint64_t router = 0; router < 50; ++router) {
    std::vector<Candidate> candidates = cold;
    for (std::size_t i = 0; i < candidates.size(); ++i)
      candidates[i].same_data_centre = i % 3 == router % 3;
    Random random(router);
    PrefixAffinityPolicy policy;
    chosen.insert(
        *policy.Choose({.candidates = candidates, .affinity = router}, random));
  }
  EXPECT_EQ(chosen.size(), 1U);
}

// Returns the longest queue over many selections with delayed load reports, on
// agents of different speeds.
template <LoadBalancingPolicy Policy>
std::uint32_t LongestQueue(std::uint64_t seed) {
  Policy policy;
  Random random(seed);
  std::vector<std::uint32_t> queues(20, 0);
  std::vector<Candidate> candidates(20);
  for (Candidate& candidate : candidates)
    candidate = {.slots = 8, .resident = true, .same_data_centre = true};
  std::uint32_t longest = 0;
  for (int step = 0; step < 4000; ++step) {
    const std::size_t index = *policy.Choose(
        {.candidates = candidates, .affinity = random.Next()}, random);
    ++queues[index];
    ++candidates[index].sent_since;
    for (std::size_t i = 0; i < queues.size(); ++i) {
      // Every other agent serves at half the speed.
      const std::uint64_t slowness = i % 2 == 0 ? 14 : 28;
      if (queues[i] > 0 && random.Below(slowness) == 0)
        --queues[i];
      longest = std::max(longest, queues[i]);
    }
    if (step % 20 == 0) {
      for (std::size_t i = 0; i < queues.size(); ++i) {
        candidates[i].reported_load = queues[i];
        candidates[i].sent_since = 0;
      }
    }
  }
  return longest;
}

TEST(LoadBalancing, KeepsQueuesShorterThanRoundRobin) {
  EXPECT_LT(2 * LongestQueue<PrefixAffinityPolicy>(3),
            LongestQueue<RoundRobinPolicy>(3));
}

TEST(Quarantine, ConvictsAfterTwoCrashesAndClearsOthersOfTheBatch) {
  Quarantine quarantine;
  quarantine.Apply(kNow, {.fingerprint = 1, .crash = "w1/1"});
  quarantine.Apply(kNow, {.fingerprint = 2, .crash = "w1/1"});
  EXPECT_EQ(quarantine.VerdictFor(kNow, 1), QuarantineVerdict::kSuspect);
  // A duplicate notice of the same crash, also from another router, counts
  // once.
  quarantine.Apply(kNow, {.fingerprint = 1, .crash = "w1/1"});
  EXPECT_EQ(quarantine.VerdictFor(kNow, 1), QuarantineVerdict::kSuspect);
  quarantine.Apply(kNow, {.fingerprint = 2, .cleared = true});
  EXPECT_EQ(quarantine.VerdictFor(kNow, 2), QuarantineVerdict::kClean);
  quarantine.Apply(kNow, {.fingerprint = 1, .crash = "w2/1"});
  quarantine.Apply(kNow, {.fingerprint = 1, .cleared = true});
  EXPECT_EQ(quarantine.VerdictFor(kNow, 1), QuarantineVerdict::kConvicted);
  EXPECT_EQ(quarantine.VerdictFor(kNow + Quarantine::kEntryLifetime, 1),
            QuarantineVerdict::kClean);
}

TEST(RetryBudget, RetriesStayWithinTheRatioOfRequests) {
  RetryBudget budget;
  int retries = 0;
  for (int i = 0; i < 10'000; ++i) {
    budget.RecordRequest();
    retries += budget.TryConsume() ? 1 : 0;
  }
  EXPECT_LE(retries,
            10'000 * RetryBudget::kRetryRatio + RetryBudget::kInitialBalance);
}

TEST(SlotSemaphore, GrantsInteractiveBeforeBatchRequests) {
  SlotSemaphore semaphore;
  const PeerSender agent{.vm = "w1", .incarnation = 1};
  for (std::uint64_t number = 1; number <= 6; ++number)
    semaphore.HandleRequest(kNow, agent,
                            {.number = number,
                             .pool = kWeightLoadPool,
                             .priority = Priority::kBatch});
  EXPECT_EQ(semaphore.HeldSlots(kWeightLoadPool), 4U);
  semaphore.HandleRequest(kNow, agent, {.number = 7, .pool = kWeightLoadPool});
  const auto grants = semaphore.HandleRequest(
      kNow, agent, {.number = 1, .pool = kWeightLoadPool, .release = true});
  ASSERT_EQ(grants.size(), 1U);
  EXPECT_EQ(grants[0].grant.number, 7U);
}

TEST(SlotSemaphore, ReleasesTheSlotOfASilentHolder) {
  SlotSemaphore semaphore;
  for (int i = 0; i < 5; ++i) {
    const PeerSender agent{.vm = "w" + std::to_string(i), .incarnation = 1};
    semaphore.HandleRequest(kNow, agent,
                            {.number = 1, .pool = kWeightLoadPool});
  }
  semaphore.HandleRequest(kNow + seconds(4), {.vm = "w4", .incarnation = 1},
                          {.number = 1, .pool = kWeightLoadPool});
  const auto grants = semaphore.Tick(kNow + SlotSemaphore::kRequestExpiry);
  ASSERT_EQ(grants.size(), 1U);
  EXPECT_EQ(grants[0].vm, "w4");
}

SlotRequest StoreLoadRequest(std::uint64_t number,
                             const std::string& name,
                             std::uint32_t waiting = 1) {
  return {.number = number,
          .pool = kStoreLoadPool,
          .name = name,
          .waiting_requests = waiting};
}

TEST(SlotSemaphore, GrantsTheUnitWithMostWaitingRequestsFirst) {
  SlotSemaphore semaphore({.max_store_loads = 1});
  const PeerSender one{.vm = "w1", .incarnation = 1, .endpoint = "e1"};
  semaphore.HandleRequest(kNow, one, StoreLoadRequest(1, "a"));
  semaphore.HandleRequest(kNow, one, StoreLoadRequest(2, "a", 50));
  semaphore.HandleRequest(kNow, one, StoreLoadRequest(3, "b", 2));
  semaphore.HandleRequest(kNow, one, StoreLoadRequest(4, "c", 5));
  EXPECT_EQ(semaphore.HeldSlots(kStoreLoadPool), 1U);
  SlotRequest ended = StoreLoadRequest(1, "a");
  ended.release = true;
  const auto next = semaphore.HandleRequest(kNow, one, ended);
  ASSERT_EQ(next.size(), 1U);
  EXPECT_EQ(next[0].grant.number, 2U);
  EXPECT_EQ(next[0].endpoint, "e1");
  semaphore.HandleRequest(kNow, one, StoreLoadRequest(5, "a", 90));
  ended.number = 2;
  EXPECT_EQ(semaphore.HandleRequest(kNow, one, ended)[0].grant.number, 5U);
}

// A second copy waits until every unit that is not being loaded has a slot.
TEST(SlotSemaphore, ASecondCopyComesAfterOtherUnits) {
  SlotSemaphore semaphore({.max_store_loads = 2});
  const PeerSender one{.vm = "w1", .incarnation = 1};
  semaphore.HandleRequest(kNow, one, StoreLoadRequest(1, "a"));
  semaphore.HandleRequest(kNow, one, StoreLoadRequest(2, "x"));
  semaphore.HandleRequest(kNow, one, StoreLoadRequest(3, "a", 50));
  semaphore.HandleRequest(kNow, one, StoreLoadRequest(4, "b"));
  SlotRequest ended = StoreLoadRequest(2, "x");
  ended.release = true;
  const auto next = semaphore.HandleRequest(kNow, one, ended);
  ASSERT_EQ(next.size(), 1U);
  EXPECT_EQ(next[0].grant.number, 4U);
}

// Starvation: every eight seconds a slot becomes free, and each time more
// requests wait for a newer unit.
TEST(SlotSemaphore, AUnitWithFewWaitingRequestsDoesNotStarve) {
  SlotSemaphore semaphore({.max_store_loads = 1});
  const PeerSender one{.vm = "w1", .incarnation = 1};
  TimePoint now = kNow;
  std::uint64_t holder = 1;
  semaphore.HandleRequest(now, one, StoreLoadRequest(holder, "first"));
  semaphore.HandleRequest(now, one, StoreLoadRequest(2, "rare", 1));
  for (std::uint64_t number = 3; number < 20 && holder != 2; ++number) {
    semaphore.HandleRequest(
        now, one, StoreLoadRequest(number, "n" + std::to_string(number), 3));
    for (int i = 0; i < 8; ++i) {
      now += seconds(1);
      for (const std::uint64_t renewed : {std::uint64_t{2}, holder, number})
        semaphore.HandleRequest(
            now, one, StoreLoadRequest(renewed, "", renewed == 2 ? 1 : 3));
    }
    SlotRequest ended = StoreLoadRequest(holder, "");
    ended.release = true;
    holder = semaphore.HandleRequest(now, one, ended).front().grant.number;
  }
  EXPECT_EQ(holder, 2U);
}

// A router that becomes the slot coordinator counts slots that are already
// held.
TEST(SlotSemaphore, ANewCoordinatorCountsHeldSlots) {
  SlotSemaphore semaphore({.max_store_loads = 1});
  SlotRequest held = StoreLoadRequest(9, "a");
  held.already_held = true;
  semaphore.HandleRequest(kNow, {.vm = "w1", .incarnation = 1}, held);
  const auto replies = semaphore.HandleRequest(
      kNow, {.vm = "w2", .incarnation = 1}, StoreLoadRequest(1, "b"));
  ASSERT_EQ(replies.size(), 1U);
  EXPECT_FALSE(replies[0].grant.granted);
}

// Returns the limit found for a store that serves `knee` loads at full speed.
std::size_t LimitFoundFor(std::size_t knee) {
  AdaptiveLimit limit;
  for (int i = 0; i < 60; ++i) {
    const std::size_t concurrent_loads = limit.limit();
    const double slowdown = std::max(
        1.0, static_cast<double>(concurrent_loads) / static_cast<double>(knee));
    const double load_time_ms = 6'000 * slowdown + 80;
    limit.Record(kNow + seconds(i), concurrent_loads,
                 milliseconds(static_cast<int>(load_time_ms)), seconds(6));
  }
  return limit.limit();
}

RC_GTEST_PROP(AdaptiveLimit, FindsTheCapacityOfTheStore, ()) {
  const auto knee = *rc::gen::inRange<std::size_t>(1, 17);
  const std::size_t found = LimitFoundFor(knee);
  // A load counts as slow only from a quarter above its expected time.
  RC_ASSERT(found >= knee);
  RC_ASSERT(found <= knee + knee / 4 + 1);
}

// A load for an engine that has left the fleet still uses the store for a while
// and slows down others.
TEST(AdaptiveLimit, RecoversFromOneSlowLoad) {
  AdaptiveLimit limit;
  limit.Record(kNow, 2, seconds(12), seconds(8));
  EXPECT_EQ(limit.limit(), 1U);
  limit.Record(kNow + seconds(10), 1, seconds(8), seconds(8));
  EXPECT_EQ(limit.limit(), 1U);
  limit.Record(kNow + seconds(25), 1, seconds(8), seconds(8));
  EXPECT_EQ(limit.limit(), 2U);
}

RC_GTEST_PROP(EventStreamParser,
              ReturnsCompleteEventsForAnySplitOfTheBytes,
              ()) {
  const auto tokens = *rc::gen::inRange(0, 30);
  std::string text;
  for (int i = 0; i < tokens; ++i)
    text += "data: {\"t\":" + std::to_string(i) + "}\n\n";
  text += "data: [DONE]\n\n";
  Random random(*rc::gen::arbitrary<std::uint64_t>());
  EventStreamParser stream;
  std::string passed;
  for (std::size_t at = 0; at < text.size();) {
    const std::size_t size =
        std::min<std::size_t>(1 + random.Below(40), text.size() - at);
    const std::string events = stream.Append(text.substr(at, size));
    RC_ASSERT(events.empty() || events.ends_with("\n\n"));
    passed += events;
    at += size;
  }
  RC_ASSERT(passed == text);
  RC_ASSERT(stream.finished());
  RC_ASSERT(stream.tokens() == static_cast<std::uint64_t>(tokens));
}

}  // namespace
}  // namespace boragepick
