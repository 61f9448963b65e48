#include "core/serving/waiting_requests.h"

#include <gtest/gtest.h>

#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "common/random.h"
#include "unit_tests/core/serving/serving_fixture.h"

namespace boragepick {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kNow = TimePoint(seconds(1'000));

WaitingRequest ForWorker(RequestId id, const std::string& team, int urgency) {
  return {.id = id,
          .reason = WaitReason::kWorker,
          .service = "plain",
          .team = team,
          .urgency = urgency,
          .since = kNow,
          .until = kNow + seconds(2) + milliseconds(id)};
}

// Wakes all and sends the first `places` of them.
std::vector<RequestId> Send(WaitingRequests& waiting,
                            TimePoint now,
                            std::size_t places) {
  WorkerTable workers;
  std::vector<RequestId> sent;
  waiting.OnConfigChanged();
  waiting.TryWoken(now, workers, [&](RequestId id) {
    if (sent.size() == places)
      return;
    sent.push_back(id);
    waiting.RecordSent(id);
  });
  return sent;
}

TEST(WaitingRequests, TheMostUrgentIsTriedFirstThenTheEarliestToEnd) {
  WaitingRequests waiting;
  waiting.Put(kNow, ForWorker(1, "a", 4));
  waiting.Put(kNow, ForWorker(3, "a", 2));
  waiting.Put(kNow, ForWorker(2, "a", 2));
  EXPECT_EQ(Send(waiting, kNow, 9), (std::vector<RequestId>{2, 3, 1}));
  EXPECT_EQ(waiting.size(), 0U);
}

TEST(WaitingRequests, TeamsOfOneUrgencyTakeTurns) {
  WaitingRequests waiting;
  for (RequestId id = 1; id <= 6; ++id)
    waiting.Put(kNow, ForWorker(id, "many", 2));
  waiting.Put(kNow, ForWorker(8, "few", 2));
  waiting.Put(kNow, ForWorker(9, "few", 2));
  EXPECT_EQ(Send(waiting, kNow, 1), (std::vector<RequestId>{1}));
  // One place at a time comes to the same.
  EXPECT_EQ(Send(waiting, kNow, 1), (std::vector<RequestId>{8}));
  EXPECT_EQ(Send(waiting, kNow, 3), (std::vector<RequestId>{2, 9, 3}));
}

TEST(WaitingRequests, LessUrgentWorkIsNotStarved) {
  WaitingRequests waiting;
  waiting.Put(kNow, ForWorker(1, "a", 4));
  std::vector<RequestId> sent;
  TimePoint now = kNow;
  for (RequestId id = 10; sent != std::vector<RequestId>{1}; ++id) {
    WaitingRequest urgent = ForWorker(id, "a", 0);
    urgent.since = now;
    urgent.until = now + seconds(2);
    waiting.Put(now, urgent);
    sent = Send(waiting, now, 1);
    now += milliseconds(100);
    ASSERT_LT(now, kNow + seconds(2));
  }
  EXPECT_GT(now, kNow + seconds(1));
}

TEST(WaitingRequests, OnlyWhatWaitsForTheChangeIsTried) {
  WaitingRequests waiting;
  WorkerTable workers;
  workers.AddOrUpdate(kNow, EngineWorker("w1", {"m1"}));
  const char* models[] = {"m1", "m2"};
  for (RequestId id = 1; id <= 6; ++id) {
    const std::string model = models[id % 2];
    waiting.Put(kNow, {.id = id,
                       .reason = WaitReason::kWeights,
                       .service = "engines",
                       .model = model,
                       .weights = model,
                       .since = kNow,
                       .until = kNow + seconds(1)});
  }
  std::vector<RequestId> tried;
  const auto attempt = [&tried](RequestId id) { tried.push_back(id); };
  waiting.TryWoken(kNow, workers, attempt);
  EXPECT_TRUE(tried.empty());
  waiting.OnWorkerChanged(*workers.Find("w1"));
  waiting.TryWoken(kNow, workers, attempt);
  // The others of the same kind would fail as well.
  EXPECT_EQ(tried, (std::vector<RequestId>{2}));
  tried.clear();
  EXPECT_EQ(waiting.NextCheck(), kNow + WaitingRequests::kCheckPeriod);
  waiting.TryWoken(kNow + WaitingRequests::kCheckPeriod, workers, attempt);
  EXPECT_EQ(tried.size(), 2U);
  EXPECT_EQ(waiting.CountOf("m1"), 3U);
  EXPECT_EQ(waiting.CountByReason()[WaitReason::kWeights].requests, 6U);
}

TEST(WaitingRequests, AnAvoidedWorkerWakesWhenItCanBeUsedAgain) {
  WaitingRequests waiting;
  WorkerTable workers;
  workers.AddOrUpdate(kNow, PlainWorker("p1"));
  waiting.Put(kNow, ForWorker(1, "a", 2));
  waiting.OnWorkerAvoided("p1", kNow + milliseconds(30));
  EXPECT_EQ(waiting.NextCheck(), kNow + milliseconds(30));
  std::vector<RequestId> tried;
  waiting.TryWoken(kNow + milliseconds(30), workers,
                   [&tried](RequestId id) { tried.push_back(id); });
  EXPECT_EQ(tried, (std::vector<RequestId>{1}));
}

// Two routers with the same history. The second one gets the configuration
// anew after each event, which tries all of its waiting requests.
class TwinHistory {
 public:
  explicit TwinHistory(std::uint64_t seed) : m_random(seed) {
    for (ServingFixture* router : {&m_woken, &m_all})
      router->Start(Config());
  }

  void Run(int steps) {
    for (int i = 0; i < steps; ++i) {
      Step();
      RC_ASSERT(m_woken_sent == m_all_sent);
    }
  }
  std::size_t sent() const { return m_woken_sent.size(); }

 private:
  static constexpr const char* kModels[] = {"m1", "m2", "m3"};

  ServingConfig Config() {
    ServingConfig config = SmallConfig();
    config.version = ++m_version;
    // A worker has room for two requests.
    for (auto& [name, service] : config.services)
      service.max_connections = 2;
    return config;
  }
  std::string RandomModel() { return kModels[m_random.Below(3)]; }

  void Handle(const ServingEvent& event) {
    m_woken.Handle(event);
    m_all.Handle(event);
    CollectSent();
    m_all.Handle(ConfigReceived{
        .config = std::make_shared<const ConfigIndex>(Config())});
    CollectSent();
  }

  void CollectSent() {
    for (const SendAttempt& sent : m_woken.TakeEffects<SendAttempt>())
      Record(sent, m_woken_sent, m_woken_runs);
    for (const SendAttempt& sent : m_all.TakeEffects<SendAttempt>())
      Record(sent, m_all_sent, m_all_runs);
    m_woken.effects.clear();
    m_all.effects.clear();
  }
  static void Record(const SendAttempt& sent,
                     std::multiset<RequestId>& all,
                     std::map<RequestId, SendAttempt>& runs) {
    all.insert(sent.request->id);
    runs.insert_or_assign(sent.request->id, sent);
  }

  void Step() {
    switch (m_random.Below(8)) {
      case 0:
        return Handle(WorkerListed{.entry = RandomWorker()});
      case 1:
        return Handle(WorkerUnlisted{.id = "w2"});
      case 2:
      case 3:
        return Arrive(/*plain=*/true);
      case 4:
      case 5:
        return Arrive(/*plain=*/false);
      case 6:
        return EndRun();
      default:
        return Advance(milliseconds(m_random.Below(30)));
    }
  }

  WorkerEntry RandomWorker() {
    const auto number = m_random.Below(5);
    WorkerEntry entry = number < 3
                            ? EngineWorker("w" + std::to_string(number + 1),
                                           {RandomModel(), RandomModel()})
                            : PlainWorker("p" + std::to_string(number - 2));
    // A restart, which replaces what engine updates have told.
    entry.contents.born = static_cast<std::int64_t>(2 + m_random.Below(1'000));
    if (m_random.Below(4) == 0)
      entry.state = WorkerState::kDraining;
    return entry;
  }

  void Arrive(bool plain) {
    const std::string path = plain ? "/book/x" : "/ask/x";
    const std::string model = plain ? "" : RandomModel();
    m_woken.ReceiveRequest(path, model);
    m_all.ReceiveRequest(path, model);
    Handle(ServingTicked{});
  }

  // The worker of a random request fails or answers.
  void EndRun() {
    if (m_woken_runs.empty())
      return;
    auto run = m_woken_runs.begin();
    std::advance(run, m_random.Below(m_woken_runs.size()));
    const RequestId id = run->first;
    const bool fails = m_random.Below(3) == 0;
    for (auto [router, runs] :
         {std::pair(&m_woken, &m_woken_runs), std::pair(&m_all, &m_all_runs)}) {
      const AttemptNumber attempt = runs->at(id).attempt;
      runs->erase(id);
      if (fails) {
        router->Handle(AttemptFailed{.attempt = attempt,
                                     .failure = AttemptFailure::kNotSent});
        continue;
      }
      router->RespondHead(attempt);
      router->RespondEvent(attempt, 1);
      router->Handle(AttemptCompleted{.attempt = attempt});
    }
    Handle(ServingTicked{});
  }

  void Advance(Duration duration) {
    for (Duration passed{}; passed < duration; passed += milliseconds(1)) {
      m_woken.now += milliseconds(1);
      m_all.now = m_woken.now;
      m_woken.ConfirmConfig();
      m_all.ConfirmConfig();
      Handle(ServingTicked{});
    }
  }

  Random m_random;
  std::uint64_t m_version = 0;
  ServingFixture m_woken;
  ServingFixture m_all;
  std::multiset<RequestId> m_woken_sent;
  std::multiset<RequestId> m_all_sent;
  std::map<RequestId, SendAttempt> m_woken_runs;
  std::map<RequestId, SendAttempt> m_all_runs;
};

RC_GTEST_PROP(WaitingRequests,
              TheSameRequestsAreSentAsIfAllHadBeenTried,
              (std::uint64_t seed)) {
  TwinHistory history(seed);
  history.Run(150);
  RC_CLASSIFY(history.sent() > 20U);
}

}  // namespace
}  // namespace boragepick
