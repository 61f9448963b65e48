// Google Benchmark measurements of single decisions of the core.

#include <benchmark/benchmark.h>

#include <string>
#include <vector>

#include "common/random.h"
#include "core/config/config_view.h"
#include "core/feed/feed_store.h"
#include "core/idempotency/idempotency_store.h"
#include "core/quota/quota_manager.h"
#include "core/scheduling/fair_queue.h"
#include "core/scheduling/load_balancing.h"
#include "core/serving/serving_router.h"
#include "wire/peer_codec.h"

namespace boragepick {
namespace {

constexpr TimePoint kStart = TimePoint(std::chrono::seconds(1000));

void QuotaAdmit(benchmark::State& state) {
  const ProcessId self{.vm = "r0", .incarnation = 1, .listed_version = 1};
  Roster roster;
  roster.Apply(kStart, {.version = 1, .entries = {{.vm = "r0"}}});
  QuotaManager manager(self);
  manager.SetTeam(kStart, "team",
                  {.rate_tokens_per_second = 4'000'000'000U,
                   .burst_tokens = 4'000'000'000U},
                  QuotaManager::TeamOrigin::kCreated);
  manager.PlanPage(kStart, roster, false);
  manager.HandlePageWritten(kStart, WriteOutcome::kWritten, 2);
  TimePoint now = kStart;
  for (auto _ : state) {
    now += std::chrono::microseconds(1);
    benchmark::DoNotOptimize(manager.Admit(now, "team", 100));
  }
}
BENCHMARK(QuotaAdmit);

void ChooseUpstream(benchmark::State& state) {
  std::vector<Candidate> candidates(static_cast<std::size_t>(state.range(0)));
  Random random(1);
  for (Candidate& candidate : candidates)
    candidate = {.reported_load = static_cast<std::uint32_t>(random.Below(16)),
                 .slots = 16,
                 .resident = random.Below(4) != 0,
                 .same_data_centre = random.Below(2) == 0};
  PrefixAffinityPolicy policy;
  for (auto _ : state) {
    benchmark::DoNotOptimize(policy.Choose(
        {.candidates = candidates, .affinity = random.Next()}, random));
  }
}
BENCHMARK(ChooseUpstream)->Arg(16)->Arg(260)->Arg(1000);

void FairQueueOperation(benchmark::State& state) {
  FairQueue queue;
  Random random(1);
  TicketId id = 0;
  const auto push = [&] {
    queue.Push({.id = ++id,
                .team = std::to_string(random.Below(5)),
                .cost = 100,
                .deadline = kStart + std::chrono::microseconds(id)});
  };
  for (int i = 0; i < 1000; ++i)
    push();
  // An iteration is one push and one pop.
  for (auto _ : state) {
    push();
    benchmark::DoNotOptimize(queue.Pop());
  }
}
BENCHMARK(FairQueueOperation);

FeedItem AdapterItem(int number, Revision revision) {
  const std::string name = "adapter-" + std::to_string(number);
  return {.key = name,
          .revision = revision,
          .value = Resource{.name = name,
                            .spec = AdapterSpec{.model = "m",
                                                .weights = "store/" + name,
                                                .memory_mb = 64},
                            .resource_version = revision}};
}

void FeedDelta(benchmark::State& state) {
  FeedStore store;
  ConfigView view;
  FeedUpdate snapshot{.snapshot = true, .revision = 10'000};
  for (int i = 0; i < state.range(0); ++i)
    snapshot.items.push_back(AdapterItem(i, i + 1));
  std::vector<FeedItem> changed;
  store.Apply(snapshot, changed);
  for (const FeedItem& item : changed)
    view.Apply(item);
  Revision revision = 10'000;
  Random random(1);
  for (auto _ : state) {
    ++revision;
    const int number = static_cast<int>(
        random.Below(static_cast<std::uint64_t>(state.range(0))));
    changed.clear();
    store.Apply({.base = revision - 1,
                 .revision = revision,
                 .items = {AdapterItem(number, revision)}},
                changed);
    for (const FeedItem& item : changed)
      view.Apply(item);
  }
}
BENCHMARK(FeedDelta)->Arg(100)->Arg(8400);

void RouteLookup(benchmark::State& state) {
  ConfigView view;
  for (int i = 0; i < 8400; ++i)
    view.Apply(AdapterItem(i, i + 1));
  view.Apply(
      {.key = "m",
       .revision = 1,
       .value = Resource{.name = "m", .spec = ModelSpec{.version = "v"}}});
  view.Apply(
      {.key = "v",
       .revision = 1,
       .value = Resource{.name = "v",
                         .spec = VersionSpec{.model = "m", .memory_mb = 1}}});
  Random random(1);
  for (auto _ : state)
    benchmark::DoNotOptimize(
        view.Resolve("adapter-" + std::to_string(random.Below(8400))));
}
BENCHMARK(RouteLookup);

void PeerChunkCodec(benchmark::State& state) {
  const PeerSender self{
      .vm = "w1", .incarnation = 7, .endpoint = "127.0.0.1:1"};
  const PeerMessage chunk = RunChunk{.id = {.request = 5, .attempt = 1},
                                     .bytes = std::string(64, 'x')};
  for (auto _ : state)
    benchmark::DoNotOptimize(
        DecodePeerFrame(EncodePeerFrame(self, chunk), "peer"));
}
BENCHMARK(PeerChunkCodec);

// Requests that wait for models while workers change which hold none of them.
class WaitingBenchmark {
 public:
  static constexpr std::size_t kWaiting = 1'000;
  static constexpr std::size_t kModels = 50;

  explicit WaitingBenchmark(std::size_t workers)
      : m_router({.vm = "r1", .endpoint = "10.1.0.1:7"}) {
    EngineSpec engine{.slots = 8, .memory_mb = 100, .adapter_slots = 2};
    for (std::size_t i = 0; i < kModels; ++i) {
      const std::string name = "m" + std::to_string(i);
      engine.models[name] = {.name = name, .memory_mb = 40};
    }
    m_config.routes = {{.name = "ask",
                        .host = "h",
                        .prefix = "/",
                        .timeout = std::chrono::hours(1),
                        .target_latency = std::chrono::hours(1),
                        .splits = {{.service = "engines"}},
                        .is_public = true}};
    m_config.services["engines"] = {.name = "engines", .engine = engine};
    ReceiveConfig();
    for (std::size_t i = 0; i < workers; ++i)
      m_router.Handle(kStart, WorkerListed{.entry = Entry(i, /*born=*/1)});
    // The service has workers, but none with the models.
    for (RequestId id = 1; id <= kWaiting; ++id) {
      auto request = std::make_shared<ServingRequest>();
      request->id = id;
      request->target = "/x";
      request->host = "h";
      request->model = "m" + std::to_string(id % kModels);
      m_router.Handle(kStart, RequestArrived{.request = std::move(request)});
    }
  }

  void ReceiveConfig() {
    ++m_config.version;
    m_router.Handle(
        kStart, ConfigReceived{
                    .config = std::make_shared<const ConfigIndex>(m_config)});
  }
  void ChangeWorker() {
    ++m_changes;
    m_router.Handle(kStart, WorkerListed{.entry = Entry(0, m_changes + 1)});
  }
  std::size_t waiting() const { return m_router.requests().waiting().size(); }

 private:
  static WorkerEntry Entry(std::size_t number, std::int64_t born) {
    return {.id = "w" + std::to_string(number),
            .service = "engines",
            .address = "10.0." + std::to_string(number / 250) + "." +
                       std::to_string(number % 250) + ":80",
            .contents = {.born = born,
                         .models = {{.name = "other", .version = 1}}}};
  }

  ServingRouter m_router;
  ServingConfig m_config;
  std::int64_t m_changes = 0;
};

// The argument is the number of workers.
void WorkerChangeWithWaitingRequests(benchmark::State& state) {
  WaitingBenchmark fleet(static_cast<std::size_t>(state.range(0)));
  for (auto _ : state)
    fleet.ChangeWorker();
  state.counters["waiting"] = static_cast<double>(fleet.waiting());
}
BENCHMARK(WorkerChangeWithWaitingRequests)
    ->Arg(180)
    ->Arg(1'800)
    ->Arg(10'000)
    ->Unit(benchmark::kMicrosecond);

// A new configuration, which tries all waiting requests.
void ConfigChangeWithWaitingRequests(benchmark::State& state) {
  WaitingBenchmark fleet(static_cast<std::size_t>(state.range(0)));
  for (auto _ : state)
    fleet.ReceiveConfig();
  state.counters["waiting"] = static_cast<double>(fleet.waiting());
}
BENCHMARK(ConfigChangeWithWaitingRequests)
    ->Arg(180)
    ->Arg(1'800)
    ->Arg(10'000)
    ->Unit(benchmark::kMillisecond);

}  // namespace
}  // namespace boragepick

BENCHMARK_MAIN();
