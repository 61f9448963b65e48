// Permits and memory accounting together, with concurrent planners on stale
// views, agent and engine restarts, removed VMs, and orders that are lost, late
// or refused. The loaded replicas never exceed the configured number, and
// memory is never overcommitted.

#include <gtest/gtest.h>

#include <rapidcheck.h>
#include <rapidcheck/gtest.h>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "common/random.h"
#include "core/agent/agent.h"
#include "core/placement/planner.h"

namespace boragepick {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t kVmMb = 100;
constexpr Duration kStep = milliseconds(50);

// An engine that executes orders late, loses answers and restarts.
struct FakeEngine {
  std::map<std::string, std::uint64_t> loaded;
  int run = 1;

  std::uint64_t AllocatedMb() const {
    std::uint64_t allocated = 0;
    for (const auto& [name, memory_mb] : loaded)
      allocated += memory_mb;
    return allocated;
  }
};

struct PendingOrder {
  // When the engine's inventory starts to show the order.
  TimePoint received;
  TimePoint at;
  SendOrder order;
  bool lose_answer = false;
  bool refuse = false;
};

struct Worker {
  std::string vm;
  Incarnation incarnation = 1;
  std::unique_ptr<Agent> agent;
  FakeEngine engine;
  std::vector<PendingOrder> orders;
  bool alive = true;
  TimePoint next_feed = TimePoint{};
};

// A planner with its own view, as old as its last refresh.
struct Planner {
  Roster roster;
  std::map<std::string, PermitRecord> view;
  TimePoint next_refresh = TimePoint{};
};

class Fleet {
 public:
  Fleet(std::size_t workers, std::size_t models, std::uint64_t seed)
      : m_random(seed), m_planners(2) {
    m_list.version = 1;
    m_list.entries.push_back({.vm = "r0", .peer_endpoint = "e-r0"});
    for (std::size_t i = 0; i < workers; ++i)
      AddWorker("w" + std::to_string(i));
    for (std::size_t i = 0; i < models; ++i)
      SetReplicas("m" + std::to_string(i),
                  1 + static_cast<std::uint32_t>(i % 2));
  }

  void AddWorker(const std::string& vm) {
    m_list.entries.push_back({.vm = vm,
                              .role = NodeRole::kAgent,
                              .peer_endpoint = "e-" + vm,
                              .pool = kModelPool,
                              .memory_mb = kVmMb});
    ++m_list.version;
    Worker& worker = m_workers[vm];
    worker.vm = vm;
    StartAgent(worker);
  }

  void SetReplicas(const std::string& model, std::uint32_t replicas) {
    m_replicas[model] = replicas;
    Put(model + "-version",
        VersionSpec{.model = model, .weights = "w", .memory_mb = 40});
    Put(model, ModelSpec{.version = model + "-version",
                         .replicas = replicas,
                         .idle_unload_seconds = 5});
  }

  void RestartAgent(const std::string& vm) { StartAgent(m_workers.at(vm)); }
  void RestartEngine(const std::string& vm) {
    FakeEngine& engine = m_workers.at(vm).engine;
    engine.loaded.clear();
    ++engine.run;
    m_workers.at(vm).orders.clear();
  }
  void Kill(const std::string& vm) {
    Worker& worker = m_workers.at(vm);
    worker.alive = false;
    worker.engine.loaded.clear();
    std::erase_if(m_list.entries,
                  [&](const RosterEntry& e) { return e.vm == vm; });
    ++m_list.version;
  }

  void Request(const std::string& vm, const std::string& model) {
    Worker& worker = m_workers.at(vm);
    if (!worker.alive)
      return;
    RunRequest request{.id = {.request = ++m_last_request},
                       .body = "{}",
                       .model = model,
                       .team = "t",
                       .remaining_time = seconds(20)};
    Apply(worker, worker.agent->Handle(
                      m_now, PeerMessageReceived{
                                 .from = {.vm = "r0", .endpoint = "e-r0"},
                                 .message = request}));
  }

  void Advance(Duration duration) {
    for (const TimePoint end = m_now + duration; m_now < end; m_now += kStep) {
      for (auto& planner : m_planners)
        Plan(planner);
      for (auto& [vm, worker] : m_workers) {
        if (worker.alive)
          Run(worker);
      }
      Check();
    }
  }

  bool IsLoadedSomewhere(const std::string& model) const {
    for (const auto& [vm, worker] : m_workers) {
      if (worker.engine.loaded.contains(model))
        return true;
    }
    return false;
  }
  std::size_t PermitsOf(const std::string& model) const {
    const auto found = m_records.find(model);
    return found == m_records.end() ? 0 : found->second.permits.size();
  }

 private:
  void Put(const std::string& name, ResourceSpec spec) {
    Resource resource{
        .name = name, .spec = spec, .resource_version = ++m_revision};
    const std::string key = std::to_string(spec.index()) + "/" + name;
    m_items[key] = {.key = key, .revision = m_revision, .value = resource};
  }

  void StartAgent(Worker& worker) {
    worker.agent = std::make_unique<Agent>(
        AgentOptions{.vm = worker.vm,
                     .incarnation = ++m_last_incarnation,
                     .pool = kModelPool,
                     .memory_mb = kVmMb,
                     .slots = 4});
    worker.next_feed = m_now;
  }

  void Plan(Planner& planner) {
    if (m_now >= planner.next_refresh) {
      planner.next_refresh = m_now + milliseconds(m_random.Below(1500));
      planner.roster.Apply(m_now, m_list);
      planner.view = m_records;
    }
    if (m_random.Below(6) != 0)
      return;
    for (const auto& [model, replicas] : m_replicas) {
      PlannerInput input{.model = model, .replicas = replicas, .memory_mb = 40};
      if (const auto known = planner.view.find(model);
          known != planner.view.end())
        input.record = known->second;
      input.record.model = model;
      for (const Permit& permit : input.record.permits) {
        const auto report = m_reports.find(permit.vm);
        const bool knows =
            report != m_reports.end() &&
            report->second.feed_revision >= input.record.revision;
        if (knows && !HasModel(report->second, model))
          input.released.insert(permit.vm);
      }
      const auto next = PlanPermits(m_now, input, planner.roster);
      if (next)
        Write(*next);
    }
  }

  static bool HasModel(const AgentReport& report, const std::string& model) {
    for (const ResidentUnit& unit : report.units) {
      if (unit.name == model)
        return true;
    }
    return false;
  }

  void Write(const PermitRecord& record) {
    const auto stored = m_records.find(record.model);
    const Revision base =
        stored == m_records.end() ? 0 : stored->second.revision;
    if (base != record.revision)
      return;
    PermitRecord written = record;
    written.revision = ++m_revision;
    m_records[record.model] = written;
    const std::string key = "permit/" + record.model;
    m_items[key] = {.key = key, .revision = m_revision, .value = written};
  }

  void Run(Worker& worker) {
    if (m_now >= worker.next_feed) {
      worker.next_feed = m_now + milliseconds(m_random.Below(2000));
      FeedUpdate update{.snapshot = true, .revision = m_revision};
      for (const auto& [key, item] : m_items)
        update.items.push_back(item);
      Handle(worker,
             PeerMessageReceived{.from = {.vm = "r0"}, .message = update});
      Handle(worker,
             PeerMessageReceived{.from = {.vm = "r0"}, .message = m_list});
    }
    std::vector<PendingOrder> due;
    std::erase_if(worker.orders, [&](const PendingOrder& order) {
      if (order.at <= m_now)
        due.push_back(order);
      return order.at <= m_now;
    });
    for (const PendingOrder& order : due)
      Execute(worker, order);
    Handle(worker, Ticked{});
    // Agent reports about released permits reach the planners late.
    if (m_random.Below(4) == 0)
      m_reports[worker.vm] = worker.agent->runs().Report();
  }

  // The engine ignores fencing numbers and executes every order.
  void Execute(Worker& worker, const PendingOrder& pending) {
    const SendOrder& order = pending.order;
    const bool load = order.kind == OrderKind::kLoadModel;
    if (load && !pending.refuse)
      worker.engine.loaded[order.name] = order.memory_mb;
    else if (!load)
      worker.engine.loaded.erase(order.name);
    OrderAnswered answer{.fence = order.fence, .result = OrderResult::kDone};
    if (pending.refuse && load)
      answer.result = OrderResult::kRefused;
    if (pending.lose_answer)
      answer.result = OrderResult::kUnknown;
    Handle(worker, answer);
  }

  void Handle(Worker& worker, AgentEvent event) {
    Apply(worker, worker.agent->Handle(m_now, std::move(event)));
  }

  void Apply(Worker& worker, std::vector<AgentEffect> effects) {
    for (AgentEffect& effect : effects) {
      if (auto* order = std::get_if<SendOrder>(&effect)) {
        const TimePoint received = m_now + milliseconds(m_random.Below(400));
        worker.orders.push_back(
            {.received = received,
             .at = received + milliseconds(50 + m_random.Below(900)),
             .order = std::move(*order),
             .lose_answer = m_random.Below(8) == 0,
             .refuse = m_random.Below(10) == 0});
      } else if (const auto* request = std::get_if<RequestInventory>(&effect)) {
        InventoryReceived inventory{
            .fence_at_request = request->fence,
            .answered = m_random.Below(10) != 0,
            .engine_run = std::to_string(worker.engine.run)};
        for (const auto& [name, memory_mb] : worker.engine.loaded)
          inventory.items.push_back(
              {.name = name, .memory_mb = memory_mb, .loaded = true});
        for (const PendingOrder& pending : worker.orders) {
          const bool loading =
              pending.received <= m_now &&
              pending.order.kind == OrderKind::kLoadModel &&
              !worker.engine.loaded.contains(pending.order.name);
          if (loading)
            inventory.items.push_back({.name = pending.order.name,
                                       .memory_mb = pending.order.memory_mb});
        }
        Handle(worker, inventory);
      } else if (const auto* start = std::get_if<StartRun>(&effect)) {
        Handle(worker, UpstreamEnded{.run = start->run});
      }
    }
  }

  void Check() {
    std::map<std::string, std::uint32_t> replicas;
    for (const auto& [vm, worker] : m_workers) {
      RC_ASSERT(worker.engine.AllocatedMb() <= kVmMb);
      for (const auto& [model, memory_mb] : worker.engine.loaded)
        ++replicas[model];
    }
    for (const auto& [model, count] : replicas)
      RC_ASSERT(count <= m_replicas.at(model));
  }

  TimePoint m_now = TimePoint(seconds(1000));
  Random m_random;
  RosterList m_list;
  std::map<std::string, Worker> m_workers;
  std::vector<Planner> m_planners;
  std::map<std::string, std::uint32_t> m_replicas;
  std::map<std::string, PermitRecord> m_records;
  std::map<std::string, FeedItem> m_items;
  std::map<std::string, AgentReport> m_reports;
  Revision m_revision = 0;
  RequestId m_last_request = 0;
  Incarnation m_last_incarnation = 0;
};

RC_GTEST_PROP(PlacementHistory, NeverExceedsReplicasOrMemory, ()) {
  const auto seed = *rc::gen::arbitrary<std::uint64_t>();
  const auto workers = *rc::gen::inRange<std::size_t>(1, 5);
  const auto models = *rc::gen::inRange<std::size_t>(1, 6);
  Fleet fleet(workers, models, seed);
  Random random(seed + 1);
  std::size_t added = workers;
  for (int step = 0; step < 80; ++step) {
    const std::string vm = "w" + std::to_string(random.Below(added));
    const std::string model = "m" + std::to_string(random.Below(models));
    switch (random.Below(20)) {
      case 0:
        fleet.RestartAgent(vm);
        break;
      case 1:
        fleet.RestartEngine(vm);
        break;
      case 2:
        fleet.Kill(vm);
        fleet.AddWorker("w" + std::to_string(added++));
        break;
      default:
        fleet.Request(vm, model);
        fleet.Advance(milliseconds(random.Below(800)));
    }
  }
}

TEST(PlacementHistory, PlacesAndLoadsAModelOnFirstRequest) {
  Fleet fleet(2, 1, 3);
  fleet.Advance(seconds(5));
  EXPECT_EQ(fleet.PermitsOf("m0"), 1U);
  EXPECT_FALSE(fleet.IsLoadedSomewhere("m0"));
  for (int i = 0; i < 10; ++i) {
    fleet.Request("w0", "m0");
    fleet.Request("w1", "m0");
    fleet.Advance(milliseconds(300));
  }
  EXPECT_TRUE(fleet.IsLoadedSomewhere("m0"));
}

TEST(PlacementHistory, UnloadsAnIdleModel) {
  Fleet fleet(1, 1, 4);
  fleet.Advance(seconds(5));
  for (int i = 0; i < 10; ++i) {
    fleet.Request("w0", "m0");
    fleet.Advance(milliseconds(300));
  }
  ASSERT_TRUE(fleet.IsLoadedSomewhere("m0"));
  fleet.Advance(seconds(20));
  EXPECT_FALSE(fleet.IsLoadedSomewhere("m0"));
}

TEST(MemoryAccounting, CountsAnOrderOfUnknownOutcomeUntilUnloaded) {
  const TimePoint now = TimePoint(seconds(10));
  MemoryAccounting memory(100);
  ASSERT_TRUE(memory.StartLoad(now, "a", 60, 1));
  memory.MarkUnknown("a", 1);
  EXPECT_FALSE(memory.StartLoad(now, "b", 60, 2));
  memory.ApplyInventory(now, {}, 1);
  EXPECT_EQ(memory.FreeMb(), 40U);
  memory.StartUnload("a", 3);
  memory.CompleteUnload("a", 3);
  EXPECT_EQ(memory.FreeMb(), 100U);
}

TEST(MemoryAccounting, IgnoresALateAnswerToAnOlderOrder) {
  const TimePoint now = TimePoint(seconds(10));
  MemoryAccounting memory(100);
  memory.StartLoad(now, "a", 60, 1);
  memory.CompleteLoad(now, "a", 1);
  memory.StartUnload("a", 2);
  memory.CompleteLoad(now, "a", 1);
  EXPECT_EQ(memory.Find("a")->residency, Residency::kUnloading);
}

TEST(MemoryAccounting, DoesNotThrashBetweenModelsThatDoNotFitTogether) {
  const TimePoint now = TimePoint(seconds(10));
  MemoryAccounting memory(100);
  memory.StartLoad(now, "a", 60, 1);
  memory.CompleteLoad(now, "a", 1);
  EXPECT_FALSE(memory.PlanEviction(now, 60).has_value());
  const auto victims = memory.PlanEviction(now + kMinResidency, 60);
  ASSERT_TRUE(victims);
  EXPECT_EQ(*victims, std::vector<std::string>{"a"});
}

}  // namespace
}  // namespace boragepick
