// Unit tests of the serving router's parts.

#include <gtest/gtest.h>

#include <ctime>
#include <string>

#include "core/serving/event_splitter.h"
#include "core/serving/load_planner.h"
#include "core/serving/worker_choice.h"
#include "unit_tests/core/serving/serving_fixture.h"

namespace boragepick {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kNow = TimePoint(seconds(100));

// The search for the end of each event went through all that followed it.
TEST(EventSplitter, SplitsManySmallEventsInLinearTime) {
  std::string text;
  for (int i = 1; text.size() < (4 << 20); ++i)
    text += "id: " + std::to_string(i) + "\n\n";
  const std::clock_t begin = std::clock();
  EventSplitter splitter;
  const auto events = splitter.Append(text);
  EXPECT_EQ(events.back().id, events.size());
  EXPECT_FALSE(splitter.HasPartial());
  // An event of 4 MiB in small parts.
  for (std::size_t at = 0; at < text.size(); at += 256)
    splitter.Append(std::string(256, 'x'));
  EXPECT_EQ(splitter.Append("\n\n").size(), 1U);
  EXPECT_LT(std::clock() - begin, 5 * CLOCKS_PER_SEC);
}

TEST(EventSplitter, SplitsAtBlankLinesForAnyChunkSize) {
  const std::string stream =
      "id: 1\ndata: a\n\nversion: 2\nid: 2\ndata: b\n\nid: 3\r\ndata: "
      "c\r\n\r\n";
  for (std::size_t step = 1; step < stream.size(); ++step) {
    EventSplitter splitter;
    std::vector<StreamEvent> events;
    for (std::size_t at = 0; at < stream.size(); at += step) {
      for (StreamEvent& event : splitter.Append(stream.substr(at, step)))
        events.push_back(std::move(event));
    }
    ASSERT_EQ(events.size(), 3U) << step;
    EXPECT_EQ(events[0].id, 1U);
    EXPECT_EQ(events[1].id, 2U);
    EXPECT_EQ(events[2].id, 3U);
    EXPECT_EQ(events[0].bytes + events[1].bytes + events[2].bytes, stream);
    EXPECT_FALSE(splitter.HasPartial());
  }
}

TEST(ConfigIndex, TheLongestPrefixOfTheHostWins) {
  ServingConfig config;
  config.routes = {{.name = "short", .host = "A.example", .prefix = "/x/"},
                   {.name = "long", .host = "a.example", .prefix = "/x/y/"},
                   {.name = "other", .host = "b.example", .prefix = "/"}};
  const ConfigIndex index(std::move(config));
  EXPECT_EQ(index.FindRoute("a.example:80", "/x/y/1?q=/")->name, "long");
  EXPECT_EQ(index.FindRoute("a.example", "/x/z")->name, "short");
  EXPECT_EQ(index.FindRoute("a.example", "/x"), nullptr);
  EXPECT_EQ(index.FindRoute("c.example", "/x/"), nullptr);
}

TEST(WorkerTable, PrefersNewerEngineUpdatesToTheList) {
  WorkerTable table;
  const WorkerEntry entry = EngineWorker("w1", {"m1"});
  EXPECT_TRUE(table.AddOrUpdate(kNow, entry));
  EngineUpdate update{.contents = {.born = 1}};
  update.contents.models.push_back({.name = "m2", .adapters = {"a"}});
  EXPECT_NE(table.ApplyEngineUpdate(kNow, "10.0.0.1", update), nullptr);
  // A list entry written before the update is ignored.
  table.AddOrUpdate(kNow + milliseconds(500), entry);
  EXPECT_NE(table.Find("w1")->contents.Find("m2"), nullptr);
  // An entry received much later replaces the update, except for its adapters.
  table.AddOrUpdate(kNow + seconds(5), EngineWorker("w1", {"m1", "m2"}));
  EXPECT_TRUE(table.Find("w1")->contents.Holds("m1", ""));
  EXPECT_TRUE(table.Find("w1")->contents.Holds("m2", "a"));
  // An update of another run of the engine is ignored.
  update.contents.born = 2;
  EXPECT_EQ(table.ApplyEngineUpdate(kNow, "10.0.0.1", update), nullptr);
}

TEST(WorkerTable, ARestartedWorkerHasNothingLoaded) {
  WorkerTable table;
  table.AddOrUpdate(kNow, EngineWorker("w1", {"m1"}));
  WorkerEntry again = EngineWorker("w1", {});
  again.contents.born = 2;
  EXPECT_TRUE(table.AddOrUpdate(kNow + milliseconds(1), again));
  EXPECT_EQ(table.Find("w1")->contents.Find("m1"), nullptr);
}

TEST(WorkerChoice, PrefersTheWorkerWithACachedPrompt) {
  ServingRequest request{
      .prompt_tokens = 5'000,
      .prompt = {{.id = 1, .tokens = 4'000}, {.id = 2, .tokens = 1'000}}};
  Worker fresh{.entry = EngineWorker("w1", {"m1"})};
  Worker warm{.entry = EngineWorker("w2", {"m1"})};
  warm.prefix_cache.RecordPrompt("m1", {{.id = 1, .tokens = 4'000}});
  Worker* candidates[] = {&fresh, &warm};
  const WorkerChoiceInput input{
      .request = request, .weights = "m1", .data_centre = "a"};
  EXPECT_EQ(ChooseWorker(LeastExpectedDelay{}, input,
                         std::span<Worker* const>(candidates))
                .worker,
            &warm);
  // The baseline policy ignores the prefix cache.
  EXPECT_EQ(
      ChooseWorker(LeastRequests{}, input, std::span<Worker* const>(candidates))
          .worker,
      &fresh);
  // A long prefill queue outweighs the cached prompt.
  warm.pending_prefill_tokens = 20'000;
  EXPECT_EQ(ChooseWorker(LeastExpectedDelay{}, input,
                         std::span<Worker* const>(candidates))
                .worker,
            &fresh);
}

// Guards against a controller that only knew the models of the last engine
// service.
TEST(ServingConfig, ModelsOfEveryEngineServiceMayBeLoaded) {
  ServingConfig config = SmallConfig();
  EngineSpec other{.slots = 4, .memory_mb = 60, .adapter_slots = 9};
  other.models["z1"] = {.name = "z1", .memory_mb = 50};
  config.services["other"] = {.name = "other", .engine = other};
  const auto spec = CommonEngineSpec(config);
  ASSERT_TRUE(spec);
  for (const char* model : {"m1", "m3", "z1"})
    EXPECT_TRUE(spec->models.contains(model)) << model;
  EXPECT_EQ(spec->memory_mb, 60);
  EXPECT_EQ(spec->adapter_slots, 2U);
  config.services = {};
  EXPECT_FALSE(CommonEngineSpec(config));
}

class LoadPlannerTest : public testing::Test {
 protected:
  LoadPlannerTest() {
    for (const char* id : {"w1", "w2", "w3"})
      m_table.AddOrUpdate(kNow, EngineWorker(id, {}));
    m_workers = m_table.FindByService("engines");
  }
  std::optional<PlannedLoad> Plan(LoadPlanner& planner,
                                  TimePoint now,
                                  const std::string& model) {
    return planner.Plan(now, m_engine, std::span<Worker* const>(m_workers),
                        {.model = model, .waiting = 1});
  }

  EngineSpec m_engine = *SmallConfig().services["engines"].engine;
  WorkerTable m_table;
  std::vector<Worker*> m_workers;
};

TEST_F(LoadPlannerTest, RoutersChooseTheSameWorkerIndependently) {
  LoadPlanner one;
  LoadPlanner other;
  EXPECT_EQ(Plan(one, kNow, "m1")->worker, Plan(other, kNow, "m1")->worker);
}

TEST_F(LoadPlannerTest, PrefersALocalCopyToTheStore) {
  for (Worker* worker : m_workers)
    worker->contents.on_disk.clear();
  m_workers[2]->contents.on_disk = {"m1"};
  m_workers[2]->queued_loads = 3;
  LoadPlanner planner;
  EXPECT_EQ(Plan(planner, kNow, "m1")->worker, "w3");
  EXPECT_EQ(LoadPlanner::ModelsWithoutLocalCopy(
                m_engine, std::span<Worker* const>(m_workers)),
            (std::vector<std::string>{"m2", "m3"}));
}

// A failed request at the only worker with a local copy must not cause a load
// from the weight store.
TEST_F(LoadPlannerTest, PrefersALocalCopyAtAWorkerInBackoffToTheStore) {
  for (Worker* worker : m_workers)
    worker->contents.on_disk.clear();
  m_workers[2]->contents.on_disk = {"m1"};
  m_table.RecordFailure(kNow, *m_workers[2]);
  ASSERT_FALSE(m_workers[2]->IsUsable(kNow));
  LoadPlanner planner;
  EXPECT_EQ(Plan(planner, kNow, "m1")->worker, "w3");
}

// Routers have different states of the controllers' queues, but must choose the
// same worker.
TEST_F(LoadPlannerTest, RoutersChooseOneWorkerForALoadFromTheStore) {
  for (Worker* worker : m_workers)
    worker->contents.on_disk.clear();
  for (const char* model : {"m1", "m2", "m3"}) {
    LoadPlanner one;
    LoadPlanner other;
    for (Worker* worker : m_workers)
      worker->queued_loads = 0;
    const std::string first = Plan(one, kNow, model)->worker;
    m_table.Find(first)->queued_loads = 2;
    EXPECT_EQ(Plan(other, kNow, model)->worker, first);
  }
}

// The only worker with a local copy never loads it, so another worker has to
// load it from the slower store.
TEST_F(LoadPlannerTest, FallsBackToTheStoreWhenALocalLoadIsLate) {
  for (Worker* worker : m_workers)
    worker->contents.on_disk.clear();
  m_workers[2]->contents.on_disk = {"m1"};
  LoadPlanner planner;
  TimePoint now = kNow;
  ASSERT_EQ(Plan(planner, now, "m1")->worker, "w3");
  std::string chosen;
  for (int i = 0; i < 15; ++i) {
    now += milliseconds(700);
    m_workers[2]->last_engine_update = now;
    if (const auto planned = Plan(planner, now, "m1"))
      chosen = planned->worker;
  }
  EXPECT_NE(chosen, "w3");
}

// Without any local copy, another worker is chosen after a long delay.
TEST_F(LoadPlannerTest, TriesAnotherWorkerWhenAStoreLoadIsLate) {
  for (Worker* worker : m_workers)
    worker->contents.on_disk.clear();
  LoadPlanner planner;
  TimePoint now = kNow;
  const std::string first = Plan(planner, now, "m1")->worker;
  std::string chosen = first;
  for (int i = 0; i < 60 && chosen == first; ++i) {
    now += milliseconds(700);
    m_table.Find(first)->last_engine_update = now;
    if (const auto planned = Plan(planner, now, "m1"))
      chosen = planned->worker;
  }
  EXPECT_NE(chosen, first);
}

TEST_F(LoadPlannerTest, RepeatsALoadRequestThenTriesAnotherWorker) {
  LoadPlanner planner;
  const std::string first = Plan(planner, kNow, "m1")->worker;
  EXPECT_FALSE(Plan(planner, kNow + milliseconds(100), "m1"));
  EXPECT_EQ(Plan(planner, kNow + milliseconds(700), "m1")->worker, first);
  // Its controller has sent no update for too long.
  EXPECT_NE(Plan(planner, kNow + milliseconds(1'400), "m1")->worker, first);
}

TEST_F(LoadPlannerTest, RequestsAnAdapterWhereNoModelIsQueued) {
  for (Worker* worker : m_workers)
    worker->contents.models = {{.name = "m1"}};
  LoadPlanner planner;
  const LoadTarget target{.model = "m1", .adapter = "a1", .waiting = 1};
  const std::span<Worker* const> workers(m_workers);
  const std::string first =
      planner.Plan(kNow, m_engine, workers, target)->worker;
  // The others run many requests, which delays an adapter less than the load of
  // a model.
  for (Worker* worker : m_workers) {
    worker->queued_loads = worker->entry.id == first ? 1 : 0;
    worker->running = worker->entry.id == first ? 0 : 200;
  }
  LoadPlanner other;
  EXPECT_NE(other.Plan(kNow, m_engine, workers, target)->worker, first);
}

TEST_F(LoadPlannerTest, ReportsWhetherALoadRequestIsRepeated) {
  LoadPlanner planner;
  EXPECT_FALSE(Plan(planner, kNow, "m1")->is_resend);
  EXPECT_TRUE(Plan(planner, kNow + milliseconds(700), "m1")->is_resend);
}

TEST_F(LoadPlannerTest, DoesNotEvictAModelInDemandForARareOne) {
  for (Worker* worker : m_workers)
    worker->contents.models = {{.name = "m1"}, {.name = "m2"}};
  m_workers[0]->contents.models = {{.name = "m1"}};
  LoadPlanner planner;
  for (int i = 0; i < 100; ++i)
    planner.RecordRequest(kNow, "m2", "");
  const auto planned = Plan(planner, kNow, "m3");
  EXPECT_EQ(planned->worker, "w1");
}

}  // namespace
}  // namespace boragepick
