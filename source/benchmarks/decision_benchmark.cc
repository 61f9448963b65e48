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

}  // namespace
}  // namespace boragepick

BENCHMARK_MAIN();
