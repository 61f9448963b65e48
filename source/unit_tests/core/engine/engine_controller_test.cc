// EngineController with a simulated engine that may lose answers and execute
// orders late.

#include <gtest/gtest.h>

#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <deque>
#include <map>

#include "common/random.h"
#include "core/engine/engine_controller.h"
#include "core/serving/load_planner.h"

namespace boragepick {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double kMemoryMb = 100;
constexpr std::size_t kAdapterSlots = 3;

EngineSpec SmallEngine() {
  EngineSpec spec{.memory_mb = kMemoryMb, .adapter_slots = kAdapterSlots};
  for (const char* name : {"m1", "m2", "m3", "m4", "m5"})
    spec.models[name] = {.name = name, .memory_mb = 40, .adapter_mb = 1};
  spec.models["m5"].memory_mb = 60;
  spec.models["m6"] = {.name = "m6", .memory_mb = 90, .adapter_mb = 1};
  return spec;
}

// Executes one order at a time, counts accepted orders, and checks
// preconditions when an order arrives, including late ones.
class FakeEngine {
 public:
  explicit FakeEngine(std::uint64_t seed) : m_random(seed) {}

  // The outcome as the sender sees it; kUnknown if the answer is lost.
  std::optional<OrderOutcome> Order(TimePoint now, const EngineOrder& order) {
    const std::uint64_t fault = m_reliable ? 9 : m_random.Below(10);
    if (fault == 0) {
      // Arrives later, and is accepted if its precondition still holds.
      m_late.push_back({now + milliseconds(m_random.Below(5'000)), order});
      return OrderOutcome::kUnknown;
    }
    const OrderOutcome outcome = Accept(now, order);
    return fault == 1 ? OrderOutcome::kUnknown : outcome;
  }

  void Advance(TimePoint now) {
    if (m_busy && now >= m_busy->first)
      Complete();
    for (auto late = m_late.begin(); late != m_late.end();) {
      if (now < late->first) {
        ++late;
        continue;
      }
      Accept(now, late->second);
      late = m_late.erase(late);
    }
  }

  EngineReport Report() const {
    EngineReport report{.contents = {.born = m_born},
                        .accepted_orders = m_orders,
                        .busy = m_busy.has_value()};
    for (const auto& [name, adapters] : m_models)
      report.contents.models.push_back(
          {.name = name, .version = 1, .adapters = adapters});
    return report;
  }

  void Restart() {
    ++m_born;
    m_orders = 0;
    m_busy.reset();
    m_models.clear();
  }

  // Disables lost answers and late orders.
  void DisableFaults() { m_reliable = true; }

  bool overcommitted() const { return m_overcommitted; }
  bool Holds(const std::string& model) const {
    return m_models.contains(model);
  }
  bool Holds(const std::string& model, const std::string& adapter) const {
    const auto found = m_models.find(model);
    return found != m_models.end() &&
           std::ranges::find(found->second, adapter) != found->second.end();
  }

 private:
  OrderOutcome Accept(TimePoint now, const EngineOrder& order) {
    if (m_busy || order.precondition != m_orders)
      return OrderOutcome::kRefused;
    ++m_orders;
    m_busy = {now + milliseconds(order.adapter.empty() ? 1'000 : 10), order};
    return OrderOutcome::kAccepted;
  }

  void Complete() {
    const EngineOrder order = m_busy->second;
    m_busy.reset();
    if (order.adapter.empty()) {
      if (order.kind == EngineOrderKind::kLoad)
        m_models.try_emplace(order.model);
      else
        m_models.erase(order.model);
    } else if (const auto model = m_models.find(order.model);
               model != m_models.end()) {
      std::erase(model->second, order.adapter);
      if (order.kind == EngineOrderKind::kLoad)
        model->second.push_back(order.adapter);
    }
    double used = 0;
    std::size_t adapters = 0;
    for (const auto& [name, held] : m_models) {
      used += SmallEngine().models.at(name).memory_mb +
              static_cast<double>(held.size());
      adapters += held.size();
    }
    m_overcommitted |= used > kMemoryMb || adapters > kAdapterSlots;
  }

  Random m_random;
  std::int64_t m_born = 1;
  std::uint64_t m_orders = 0;
  std::optional<std::pair<TimePoint, EngineOrder>> m_busy;
  std::deque<std::pair<TimePoint, EngineOrder>> m_late;
  std::map<std::string, std::vector<std::string>> m_models;
  bool m_overcommitted = false;
  bool m_reliable = false;
};

// A controller and an engine in virtual time.
class EngineFixture {
 public:
  explicit EngineFixture(std::uint64_t seed)
      : m_engine(seed), m_controller("vm") {
    Handle(EngineSpecReceived{.spec = SmallEngine()});
    Handle(FenceReceived{.fence = 7});
  }

  void Advance(Duration duration) {
    const TimePoint until = m_now + duration;
    while (m_now < until) {
      m_now += milliseconds(10);
      m_engine.Advance(m_now);
      if (m_controller.NextTick(m_now) <= m_now)
        Handle(ControllerTicked{});
    }
  }

  void RequestLoad(const std::string& model,
                   const std::string& adapter = "",
                   std::vector<ModelDemand> demands = {},
                   std::uint32_t waiting = 1) {
    Handle(PeerMessageReceived{
        .from = {.vm = "r", .endpoint = "10.0.0.1:7"},
        .message = LoadRequest{.model = model,
                               .adapter = adapter,
                               .waiting = waiting,
                               .demands = std::move(demands)}});
  }

  // Applies a configuration without the model.
  void RemoveFromConfig(const std::string& model) {
    EngineSpec spec = SmallEngine();
    spec.models.erase(model);
    Handle(EngineSpecReceived{.spec = std::move(spec)});
  }

  // Sends a load request that names a slot coordinator.
  void RequestLoadWithCoordinator(const std::string& model,
                                  const std::string& adapter = "",
                                  std::uint32_t waiting = 1) {
    Handle(PeerMessageReceived{
        .from = {.vm = "r", .endpoint = "10.0.0.1:7"},
        .message = LoadRequest{.model = model,
                               .adapter = adapter,
                               .waiting = waiting,
                               .slot_coordinators = {"10.0.0.1:7"}}});
  }
  void GrantSlot() {
    Handle(PeerMessageReceived{
        .from = {.vm = "r", .endpoint = "10.0.0.1:7"},
        .message = SlotGrant{.number = m_slot_requests.back().number,
                             .pool = m_slot_requests.back().pool}});
  }
  void Drain() { Handle(ControllerDrainRequested{}); }
  const std::vector<SlotRequest>& slot_requests() const {
    return m_slot_requests;
  }

  // Repeats the load request, as routers do, until the model is loaded; false
  // if that takes longer than `timeout`.
  bool Load(const std::string& model, Duration timeout) {
    const TimePoint until = m_now + timeout;
    while (m_now < until && !m_engine.Holds(model)) {
      RequestLoad(model);
      Advance(milliseconds(500));
    }
    return m_engine.Holds(model);
  }

  FakeEngine& engine() { return m_engine; }
  const EngineUpdate& last_update() const { return m_update; }
  // The value of `field` in the latest record of `event`; empty if there is
  // none.
  std::string Logged(LogEvent event, const std::string& field) const {
    const auto line = m_logged.find(event);
    if (line == m_logged.end())
      return "";
    const auto found = std::ranges::find(line->second, field, &LogField::name);
    return found == line->second.end() ? "" : found->value;
  }
  std::uint64_t fence() const { return m_fence; }

 private:
  void Handle(ControllerEvent event) {
    std::deque<ControllerEvent> events{std::move(event)};
    while (!events.empty()) {
      ControllerEvent next = std::move(events.front());
      events.pop_front();
      for (ControllerEffect& effect :
           m_controller.Handle(m_now, std::move(next))) {
        if (std::holds_alternative<ReadReport>(effect)) {
          events.push_back(ReportRead{.report = m_engine.Report()});
        } else if (const auto* order = std::get_if<SendEngineOrder>(&effect)) {
          m_fence = order->order.fence;
          if (const auto outcome = m_engine.Order(m_now, order->order))
            events.push_back(EngineOrderAnswered{.outcome = *outcome});
        } else if (const auto* sent = std::get_if<SendToEndpoint>(&effect)) {
          if (const auto* update = std::get_if<EngineUpdate>(&sent->message))
            m_update = *update;
          if (const auto* request = std::get_if<SlotRequest>(&sent->message))
            m_slot_requests.push_back(*request);
        } else if (auto* line = std::get_if<LogEffect>(&effect)) {
          m_logged[line->record.event] = std::move(line->record.fields);
        }
      }
    }
  }

  TimePoint m_now = TimePoint(seconds(100));
  FakeEngine m_engine;
  EngineController m_controller;
  EngineUpdate m_update;
  std::map<LogEvent, std::vector<LogField>> m_logged;
  std::uint64_t m_fence = 0;
  std::vector<SlotRequest> m_slot_requests;
};

TEST(EngineController, LoadsARequestedModelAndSendsAnUpdate) {
  EngineFixture fixture(3);
  EXPECT_TRUE(fixture.Load("m1", seconds(20)));
  fixture.Advance(milliseconds(300));
  EXPECT_NE(fixture.last_update().contents.Find("m1"), nullptr);
  EXPECT_EQ(fixture.fence(), 7U);
}

TEST(EngineController, EvictsTheModelWithTheLeastDemand) {
  EngineFixture fixture(3);
  ASSERT_TRUE(fixture.Load("m1", seconds(20)));
  ASSERT_TRUE(fixture.Load("m2", seconds(20)));
  fixture.Advance(seconds(2));
  for (int i = 0; i < 60 && !fixture.engine().Holds("m3"); ++i) {
    fixture.RequestLoad("m3", "",
                        {{.model = "m1", .milli_requests = 5'000},
                         {.model = "m2", .milli_requests = 0}});
    fixture.Advance(milliseconds(500));
  }
  EXPECT_TRUE(fixture.engine().Holds("m3"));
  EXPECT_TRUE(fixture.engine().Holds("m1"));
  EXPECT_FALSE(fixture.engine().Holds("m2"));
}

// Two models are evicted for a large one. A small model with more waiting
// requests must not take the memory freed in between.
TEST(EngineController, ReservesFreedMemoryForALargeModel) {
  EngineFixture fixture(3);
  ASSERT_TRUE(fixture.Load("m1", seconds(20)));
  ASSERT_TRUE(fixture.Load("m2", seconds(20)));
  fixture.Advance(seconds(2));
  fixture.engine().DisableFaults();
  fixture.RequestLoad("m6");
  for (int i = 0; i < 8 && !fixture.engine().Holds("m6"); ++i) {
    fixture.Advance(milliseconds(500));
    fixture.RequestLoad("m6");
    fixture.RequestLoad("m3", "", {}, /*waiting=*/3);
  }
  EXPECT_TRUE(fixture.engine().Holds("m6"));
}

// The adapter in use is the one whose latest load request is the oldest.
TEST(EngineController, KeepsAnAdapterInUse) {
  EngineFixture fixture(3);
  fixture.engine().DisableFaults();
  ASSERT_TRUE(fixture.Load("m1", seconds(20)));
  for (const char* adapter : {"a1", "a2", "a3"}) {
    fixture.RequestLoad("m1", adapter);
    fixture.Advance(milliseconds(500));
  }
  ASSERT_TRUE(fixture.engine().Holds("m1", "a3"));
  fixture.RequestLoad("m1", "a4",
                      {{.model = "m1/a1", .milli_requests = 2'000},
                       {.model = "m1/a2", .milli_requests = 10},
                       {.model = "m1/a3", .milli_requests = 500}});
  fixture.Advance(seconds(1));
  EXPECT_TRUE(fixture.engine().Holds("m1", "a4"));
  EXPECT_TRUE(fixture.engine().Holds("m1", "a1"));
  EXPECT_FALSE(fixture.engine().Holds("m1", "a2"));
}

// Six adapters are requested at once with three adapter slots: each stays
// loaded long enough for its waiting request to arrive.
TEST(EngineController, KeepsANewAdapterUntilItsRequestCanArrive) {
  EngineFixture fixture(3);
  fixture.engine().DisableFaults();
  ASSERT_TRUE(fixture.Load("m1", seconds(5)));
  std::map<std::string, int> seen;
  for (int step = 0; step < 300; ++step) {
    if (step % 50 == 0) {
      for (const char* adapter : {"a1", "a2", "a3", "a4", "a5", "a6"}) {
        if (!seen.contains(adapter))
          fixture.RequestLoad("m1", adapter);
      }
    }
    fixture.Advance(milliseconds(10));
    for (const char* adapter : {"a1", "a2", "a3", "a4", "a5", "a6"}) {
      if (fixture.engine().Holds("m1", adapter))
        ++seen[adapter];
    }
  }
  EXPECT_EQ(seen.size(), 6U);
  for (const auto& [adapter, steps] : seen)
    EXPECT_GE(steps, 20) << adapter << " was evicted within 200 ms";
}

// An unload waits for running requests and blocks every other order.
TEST(EngineController, EvictsAnIdleModelBeforeOneWithRunningRequests) {
  EngineFixture fixture(3);
  fixture.engine().DisableFaults();
  ASSERT_TRUE(fixture.Load("m1", seconds(5)));
  ASSERT_TRUE(fixture.Load("m2", seconds(5)));
  fixture.Advance(seconds(4));
  fixture.RequestLoad("m3", "",
                      {{.model = "m1", .milli_requests = 50, .running = 1},
                       {.model = "m2", .milli_requests = 250}});
  fixture.Advance(seconds(3));
  EXPECT_TRUE(fixture.engine().Holds("m1"));
  EXPECT_FALSE(fixture.engine().Holds("m2"));
}

TEST(EngineController, KeepsAnAdapterWithRunningRequests) {
  EngineFixture fixture(3);
  fixture.engine().DisableFaults();
  ASSERT_TRUE(fixture.Load("m1", seconds(5)));
  for (const char* adapter : {"a1", "a2", "a3"}) {
    fixture.RequestLoad("m1", adapter);
    fixture.Advance(milliseconds(500));
  }
  fixture.RequestLoad("m1", "a4",
                      {{.model = "m1/a1", .running = 1},
                       {.model = "m1/a2", .milli_requests = 900},
                       {.model = "m1/a3", .running = 2}});
  fixture.Advance(milliseconds(500));
  EXPECT_TRUE(fixture.engine().Holds("m1", "a1"));
  EXPECT_FALSE(fixture.engine().Holds("m1", "a2"));
}

// Adapter slots with permanently running requests must not starve other
// adapters.
TEST(EngineController, EvictsAnActiveAdapterAfterADelay) {
  EngineFixture fixture(3);
  fixture.engine().DisableFaults();
  ASSERT_TRUE(fixture.Load("m1", seconds(5)));
  for (const char* adapter : {"a1", "a2", "a3"}) {
    fixture.RequestLoad("m1", adapter);
    fixture.Advance(milliseconds(500));
  }
  for (int i = 0; i < 6; ++i) {
    fixture.RequestLoad("m1", "a4",
                        {{.model = "m1/a1", .running = 1},
                         {.model = "m1/a2", .running = 1},
                         {.model = "m1/a3", .running = 1}});
    fixture.Advance(milliseconds(500));
  }
  EXPECT_TRUE(fixture.engine().Holds("m1", "a4"));
}

// A constant stream of requests for new adapters must not starve a model.
TEST(EngineController, LoadsAModelDespiteConstantAdapterLoads) {
  EngineFixture fixture(3);
  fixture.engine().DisableFaults();
  ASSERT_TRUE(fixture.Load("m1", seconds(5)));
  for (int step = 0; step < 100 && !fixture.engine().Holds("m2"); ++step) {
    if (step % 10 == 0)
      fixture.RequestLoad("m2");
    for (int i = 0; i < 3; ++i)
      fixture.RequestLoad("m1", "a" + std::to_string(step * 3 + i));
    fixture.Advance(milliseconds(50));
  }
  EXPECT_TRUE(fixture.engine().Holds("m2"));
}

TEST(EngineController, LogsTheSourceAndDurationOfALoad) {
  EngineFixture fixture(3);
  fixture.engine().DisableFaults();
  ASSERT_TRUE(fixture.Load("m1", seconds(5)));
  fixture.Advance(milliseconds(300));
  EXPECT_EQ(fixture.Logged(LogEvent::kOrderSent, "from"), "store");
  EXPECT_EQ(fixture.Logged(LogEvent::kWeightsLoaded, "weights"), "m1");
  EXPECT_EQ(fixture.Logged(LogEvent::kWeightsLoaded, "from"), "store");
  EXPECT_GE(std::stoi(fixture.Logged(LogEvent::kWeightsLoaded, "after_ms")),
            1'000);
}

TEST(EngineController, LogsWhyALoadIsDelayed) {
  EngineFixture fixture(3);
  fixture.engine().DisableFaults();
  ASSERT_TRUE(fixture.Load("m1", seconds(5)));
  ASSERT_TRUE(fixture.Load("m2", seconds(5)));
  fixture.Advance(seconds(2));
  for (int i = 0; i < 6; ++i) {
    fixture.RequestLoad("m3", "",
                        {{.model = "m1", .milli_requests = 9'000},
                         {.model = "m2", .milli_requests = 9'000}});
    fixture.Advance(milliseconds(500));
  }
  EXPECT_EQ(fixture.Logged(LogEvent::kLoadDelayed, "weights"), "m3");
  EXPECT_EQ(fixture.Logged(LogEvent::kLoadDelayed, "why"), "nothing_gives_way");
}

TEST(EngineController, LoadsFromTheStoreOnlyWithASlot) {
  EngineFixture fixture(3);
  fixture.engine().DisableFaults();
  fixture.RequestLoadWithCoordinator("m1");
  fixture.Advance(milliseconds(1'500));
  ASSERT_FALSE(fixture.slot_requests().empty());
  EXPECT_EQ(fixture.slot_requests().back().name, "m1");
  EXPECT_FALSE(fixture.engine().Holds("m1"));
  fixture.RequestLoadWithCoordinator("m1");
  fixture.GrantSlot();
  fixture.Advance(milliseconds(1'500));
  EXPECT_TRUE(fixture.engine().Holds("m1"));
  EXPECT_TRUE(fixture.slot_requests().back().release);
  EXPECT_GT(fixture.slot_requests().back().load_time, Duration::zero());
}

TEST(EngineController, CompletesALoadAfterItsModelLeftTheConfiguration) {
  EngineFixture fixture(3);
  fixture.engine().DisableFaults();
  fixture.RequestLoadWithCoordinator("m1");
  fixture.Advance(milliseconds(100));
  fixture.GrantSlot();
  fixture.Advance(milliseconds(300));
  fixture.RemoveFromConfig("m1");
  fixture.Advance(milliseconds(1'500));
  EXPECT_TRUE(fixture.engine().Holds("m1"));
  EXPECT_TRUE(fixture.slot_requests().back().release);
}

// The slot must not be released for an adapter of the same model or for a model
// with more waiting requests.
TEST(EngineController, KeepsItsSlotWhileOtherWeightsAreRequested) {
  EngineFixture fixture(3);
  fixture.engine().DisableFaults();
  for (int i = 0; i < 4; ++i) {
    fixture.RequestLoadWithCoordinator("m1", "a1");
    fixture.RequestLoadWithCoordinator("m1");
    fixture.Advance(milliseconds(500));
    fixture.RequestLoadWithCoordinator("m2", "", /*waiting=*/5);
  }
  for (const SlotRequest& request : fixture.slot_requests())
    EXPECT_EQ(request.number, fixture.slot_requests().front().number);
}

TEST(EngineController, ReleasesItsSlotOnDrain) {
  EngineFixture fixture(3);
  fixture.RequestLoadWithCoordinator("m1");
  fixture.Advance(milliseconds(200));
  fixture.Drain();
  ASSERT_FALSE(fixture.slot_requests().empty());
  EXPECT_TRUE(fixture.slot_requests().back().release);
}

TEST(EngineController, ReloadsAfterAnEngineRestart) {
  EngineFixture fixture(3);
  ASSERT_TRUE(fixture.Load("m1", seconds(20)));
  fixture.engine().Restart();
  EXPECT_TRUE(fixture.Load("m1", seconds(20)));
}

// Runs load requests with lost and late orders and engine restarts; returns
// whether the engine ever held more than its memory or adapter slots.
bool Overcommits(std::uint64_t seed) {
  EngineFixture fixture(seed);
  Random random(seed ^ 1U);
  const char* models[] = {"m1", "m2", "m3", "m4", "m5"};
  for (int step = 0; step < 120; ++step) {
    const std::string model = models[random.Below(5)];
    const std::string adapter =
        random.Below(3) == 0 ? "a" + std::to_string(random.Below(6)) : "";
    fixture.RequestLoad(model, adapter);
    fixture.Advance(milliseconds(50 + random.Below(800)));
    if (random.Below(40) == 0)
      fixture.engine().Restart();
    if (fixture.engine().overcommitted())
      return true;
  }
  return false;
}

// Guards against counting an unanswered order as not accepted.
RC_GTEST_PROP(EngineController, NeverOvercommitsWithLostAndLateOrders, ()) {
  RC_ASSERT(!Overcommits(*rc::gen::arbitrary<std::uint64_t>()));
}

// Seeds that failed before.
TEST(EngineController, NeverOvercommitsOnSeedsThatFailed) {
  // A load without an answer was sent again and accepted; after an engine
  // restart the first one arrived with its precondition met.
  EXPECT_FALSE(Overcommits(480'720'916'663));
}

}  // namespace
}  // namespace boragepick
