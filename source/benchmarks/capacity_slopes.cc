// Measures how memory, message sizes and CPU time grow with the size of a
// deployment, for docs/CAPACITY.md. Each quantity is measured at three or more
// sizes, and a line is fitted. With the argument `daemons`, also measures real
// daemons.

#include <glib.h>

#include <malloc.h>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <cstring>
#include <functional>
#include <string>
#include <thread>
#include <vector>

#include "common/random.h"
#include "core/config/config_view.h"
#include "core/feed/feed_node.h"
#include "core/idempotency/idempotency_page.h"
#include "core/placement/planner.h"
#include "core/quota/quota_manager.h"
#include "core/scheduling/quarantine.h"
#include "unit_tests/end_to_end/deployment.h"
#include "wire/peer_codec.h"
#include "wire/record_codec.h"

namespace boragepick {
namespace {

constexpr TimePoint kStart = TimePoint(std::chrono::seconds(1000));

struct Sample {
  double size = 0;
  double value = 0;
};

// Fits a line by least squares; prints slope, intercept and R squared.
void PrintSlope(const std::string& title,
                const std::string& unit,
                const std::vector<Sample>& samples) {
  double n = 0, sx = 0, sy = 0, sxx = 0, sxy = 0, syy = 0;
  for (const Sample& sample : samples) {
    n += 1;
    sx += sample.size;
    sy += sample.value;
    sxx += sample.size * sample.size;
    sxy += sample.size * sample.value;
    syy += sample.value * sample.value;
  }
  const double slope = (n * sxy - sx * sy) / (n * sxx - sx * sx);
  const double intercept = (sy - slope * sx) / n;
  const double spread = (n * sxx - sx * sx) * (n * syy - sy * sy);
  const double fit = spread > 0 ? std::pow(n * sxy - sx * sy, 2) / spread : 1;
  std::printf("%-44s", title.c_str());
  for (const Sample& sample : samples)
    std::printf(" %g:%.4g", sample.size, sample.value);
  std::printf("\n%44s slope %.4g + %.4g %s, R2 %.4f\n", "", slope, intercept,
              unit.c_str(), fit);
}

// Bytes of heap still allocated after `build` returns.
double HeapBytes(const std::function<void()>& build) {
  const auto before = mallinfo2();
  build();
  const auto after = mallinfo2();
  return static_cast<double>(after.uordblks) -
         static_cast<double>(before.uordblks);
}

// The mean duration of `work`.
double MeanMicroseconds(const std::function<void()>& work, int repeats) {
  const auto begin = std::chrono::steady_clock::now();
  for (int i = 0; i < repeats; ++i)
    work();
  const std::chrono::duration<double, std::micro> spent =
      std::chrono::steady_clock::now() - begin;
  return spent.count() / repeats;
}

FeedItem AdapterItem(int number, Revision revision) {
  const std::string name = "adapter-" + std::to_string(number);
  return {.key = ResourceKey(ResourceKind::kAdapter, name),
          .revision = revision,
          .value = Resource{.name = name,
                            .spec = AdapterSpec{.model = "model-12",
                                                .weights = "store/team/" + name,
                                                .memory_mb = 64},
                            .resource_version = revision,
                            .writer_token = "r12/1796370000000/55"}};
}

// A list in which every tenth VM is a router.
RosterList MakeRosterList(int vms) {
  RosterList list{.version = 1};
  for (int i = 0; i < vms; ++i) {
    const bool router = i % 10 == 0;
    list.entries.push_back(
        {.vm = (router ? "router-" : "worker-") + std::to_string(i),
         .data_centre = "dc-" + std::to_string(i % 38),
         .role = router ? NodeRole::kRouter : NodeRole::kAgent,
         .peer_endpoint = "10.0.0.1:7000",
         .pool = router ? "" : kModelPool,
         .memory_mb = 640'000});
  }
  return list;
}

void MeasureFeed() {
  std::vector<Sample> memory;
  std::vector<Sample> snapshot_bytes;
  std::vector<Sample> delta_time;
  for (const int items : {100, 1000, 8400}) {
    FeedStore store;
    ConfigView view;
    memory.push_back({static_cast<double>(items), HeapBytes([&] {
                        FeedUpdate snapshot{.snapshot = true,
                                            .revision = 100'000};
                        for (int i = 0; i < items; ++i)
                          snapshot.items.push_back(AdapterItem(i, i + 1));
                        std::vector<FeedItem> changed;
                        store.Apply(snapshot, changed);
                        for (const FeedItem& item : changed)
                          view.Apply(item);
                      })});
    const PeerSender self{
        .vm = "router-1", .incarnation = 1, .endpoint = "10.0.0.1:7000"};
    snapshot_bytes.push_back(
        {static_cast<double>(items),
         static_cast<double>(EncodePeerFrame(self, store.Since(0)).size())});
    Revision revision = 100'000;
    delta_time.push_back(
        {static_cast<double>(items),
         MeanMicroseconds(
             [&] {
               ++revision;
               std::vector<FeedItem> changed;
               store.Apply({.base = revision - 1,
                            .revision = revision,
                            .items = {AdapterItem(
                                static_cast<int>(revision) % items, revision)}},
                           changed);
               for (const FeedItem& item : changed)
                 view.Apply(item);
             },
             20'000)});
  }
  PrintSlope("heap of feed and config view, by items", "B", memory);
  PrintSlope("snapshot frame, by items", "B", snapshot_bytes);
  PrintSlope("apply one change, by stored items", "us", delta_time);
  const PeerSender self{
      .vm = "router-1", .incarnation = 1, .endpoint = "10.0.0.1:7000"};
  std::vector<Sample> changes;
  for (const int count : {1, 10, 100, 1000}) {
    FeedUpdate update{.base = 1, .revision = 2};
    for (int i = 0; i < count; ++i)
      update.items.push_back(AdapterItem(i, 2));
    changes.push_back(
        {static_cast<double>(count),
         static_cast<double>(EncodePeerFrame(self, update).size())});
  }
  PrintSlope("delta frame, by changes", "B", changes);
  std::printf(
      "%-44s %zu B and %zu B\n", "subscribe request and response",
      EncodePeerFrame(self, FeedSubscribe{.revision = 1'000'000,
                                          .roster_version = 5000,
                                          .data_centre = "dc-12"})
          .size(),
      EncodePeerFrame(self, FeedFreshness{.revision = 1'000'000,
                                          .roster_version = 5000,
                                          .age = std::chrono::seconds(1),
                                          .nodes = 30})
          .size());
}

void MeasureRoster() {
  std::vector<Sample> memory;
  std::vector<Sample> bytes;
  std::vector<Sample> apply;
  for (const int vms : {110, 1100, 11'100}) {
    Roster roster;
    memory.push_back({static_cast<double>(vms), HeapBytes([&] {
                        roster.Apply(kStart, MakeRosterList(vms));
                      })});
    const PeerSender self{
        .vm = "router-1", .incarnation = 1, .endpoint = "10.0.0.1:7000"};
    bytes.push_back({static_cast<double>(vms),
                     static_cast<double>(
                         EncodePeerFrame(self, MakeRosterList(vms)).size())});
    std::uint64_t version = 1;
    RosterList list = MakeRosterList(vms);
    apply.push_back({static_cast<double>(vms), MeanMicroseconds(
                                                   [&] {
                                                     list.version = ++version;
                                                     roster.Apply(kStart, list);
                                                   },
                                                   20)});
  }
  std::vector<Sample> changes;
  for (const int changed : {1, 10, 100}) {
    Roster roster;
    RosterList list = MakeRosterList(11'100);
    roster.Apply(kStart, list);
    list.version = 2;
    for (int i = 0; i < changed; ++i)
      list.entries[static_cast<std::size_t>(i) * 10].state = VmState::kLeaving;
    roster.Apply(kStart, list);
    const PeerSender self{
        .vm = "router-1", .incarnation = 1, .endpoint = "10.0.0.1:7000"};
    changes.push_back(
        {static_cast<double>(changed),
         static_cast<double>(EncodePeerFrame(self, roster.Since(1)).size())});
  }
  PrintSlope("roster delta frame, by changed VMs", "B", changes);
  PrintSlope("heap of the roster, by VMs", "B", memory);
  PrintSlope("roster list frame, by VMs", "B", bytes);
  PrintSlope("apply a roster list, by VMs", "us", apply);
}

void MeasureQuota() {
  std::vector<Sample> loans;
  std::vector<Sample> poll;
  for (const int borrowers : {10, 100, 1000}) {
    TokenBucket bucket(
        kStart,
        {.rate_tokens_per_second = 1'000'000, .burst_tokens = 4'000'000},
        kShareUnits, TokenBucket::InitialLevel::kFull);
    std::uint64_t number = 0;
    TimePoint now = kStart;
    loans.push_back({static_cast<double>(borrowers),
                     MeanMicroseconds(
                         [&] {
                           now += std::chrono::milliseconds(1);
                           for (int i = 0; i < borrowers; ++i)
                             bucket.Lend(
                                 now,
                                 {.borrower = "router-" + std::to_string(i),
                                  .number = ++number},
                                 10);
                         },
                         50)});
  }
  PrintSlope("loans granted by a holder, by loan requests", "us", loans);
  for (const int teams : {10, 100, 1000}) {
    QuotaManager manager({.vm = "r0", .incarnation = 1});
    for (int i = 0; i < teams; ++i)
      manager.SetTeam(kStart, "team-" + std::to_string(i),
                      {.rate_tokens_per_second = 1000, .burst_tokens = 2000},
                      QuotaManager::TeamOrigin::kFound);
    TimePoint now = kStart;
    poll.push_back(
        {static_cast<double>(teams),
         MeanMicroseconds(
             [&] { manager.Poll(now += QuotaManager::kPollInterval); }, 200)});
  }
  PrintSlope("poll all teams, by teams", "us", poll);
  const PeerSender self{.vm = "router-1100",
                        .incarnation = 1796371699257,
                        .endpoint = "10.12.0.1:7000"};
  std::printf(
      "%-44s %zu B and %zu B\n", "loan request and loan",
      EncodePeerFrame(
          self, QuotaLoanRequest{.team = "team-name",
                                 .number = 100'000,
                                 .wanted = 5000,
                                 .closed = {{.number = 99'999, .unspent = 10}}})
          .size(),
      EncodePeerFrame(
          self,
          QuotaLoan{.team = "team-name", .number = 100'000, .tokens = 5000})
          .size());
}

void MeasureIdempotency() {
  std::vector<Sample> bytes;
  std::vector<Sample> time;
  for (const int claims : {100, 500, 1500}) {
    IdempotencyPage page{
        .page = 1, .owner = {.vm = "router-1", .incarnation = 1796371699257}};
    for (int i = 0; i < claims; ++i)
      page.entries[ClaimIdOf("team", std::to_string(i))] = {
          .state = ClaimState::kDone,
          .request_hash = ClaimIdOf("x", "y"),
          .runner = page.owner,
          .token = 5,
          .answer_kept = true,
          .answer = {.status = 200,
                     .content_type = "application/json",
                     .body = "{\"receipt\":\"123456\"}"},
          .order = static_cast<std::uint64_t>(i)};
    std::string encoded;
    time.push_back(
        {static_cast<double>(claims),
         MeanMicroseconds([&] { encoded = EncodeValue(page); }, 50)});
    bytes.push_back(
        {static_cast<double>(claims), static_cast<double>(encoded.size())});
  }
  PrintSlope("encoded idempotency page, by claims", "B", bytes);
  PrintSlope("encode an idempotency page, by claims", "us", time);
}

void MeasurePlanner() {
  std::vector<Sample> time;
  for (const int vms : {110, 1100, 11'100}) {
    Roster roster;
    roster.Apply(kStart, MakeRosterList(vms));
    PlannerInput input{.model = "m", .replicas = 3, .memory_mb = 80'000};
    time.push_back(
        {static_cast<double>(vms),
         MeanMicroseconds([&] { PlanPermits(kStart, input, roster); }, 10)});
  }
  PrintSlope("plan a model with 3 replicas, by VMs", "us", time);
}

void MeasureReports() {
  const PeerSender self{.vm = "worker-10000",
                        .incarnation = 1796371699257,
                        .endpoint = "10.12.0.1:7000"};
  std::vector<Sample> samples;
  for (const int units : {1, 4, 16}) {
    AgentReport report{.running = 200,
                       .waiting = 10,
                       .slots = 256,
                       .feed_revision = 1'000'000};
    for (int i = 0; i < units; ++i)
      report.units.push_back({.name = "model-name-" + std::to_string(i)});
    samples.push_back(
        {static_cast<double>(units),
         static_cast<double>(EncodePeerFrame(self, report).size())});
  }
  PrintSlope("agent report, by loaded models", "B", samples);
  std::printf("%-44s %zu B\n", "run progress",
              EncodePeerFrame(
                  self, RunProgress{.id = {.request = 1'000'000, .attempt = 1}})
                  .size());
  std::printf("%-44s %zu B\n", "crash notice",
              EncodePeerFrame(
                  self, CrashNotice{.fingerprint = ~0ULL,
                                    .crash = "worker-10000/1796371699257/3"})
                  .size());
}

// CPU time and memory of a real router and agent at several sizes.
void MeasureDaemons() {
  std::vector<Sample> router_cpu;
  std::vector<Sample> router_memory;
  for (const int agents : {1, 4, 16}) {
    Deployment deployment({.routers = 1, .engines = agents, .services = 0});
    // Waits until the router has adopted the idempotency pages.
    std::this_thread::sleep_for(std::chrono::seconds(16));
    router_cpu.push_back(
        {static_cast<double>(agents), deployment.IdleCpuPercent("r0")});
    router_memory.push_back({static_cast<double>(agents),
                             static_cast<double>(deployment.MemoryKb("r0"))});
    std::printf(
        "with %d agents: an idle agent uses %.2f%% of a core, %lld KB\n",
        agents, deployment.IdleCpuPercent("w0"),
        static_cast<long long>(deployment.MemoryKb("w0")));
  }
  PrintSlope("CPU of an idle router, by agents", "% of a core", router_cpu);
  PrintSlope("memory of an idle router, by agents", "KB", router_memory);
  std::vector<Sample> change_cpu;
  std::vector<Sample> memory;
  Deployment deployment({.routers = 1, .engines = 1, .services = 0});
  int applied = 0;
  for (const int adapters : {100, 400, 1200}) {
    const double before = deployment.CpuSeconds("r0");
    const int begin = applied;
    for (; applied < adapters; ++applied) {
      const std::string name = "adapter-" + std::to_string(applied);
      deployment.CallOperatorApi(
          "r0", "PUT", "resources/adapter/" + name,
          R"({"kind":"adapter","name":")" + name +
              R"(","adapter":{"model":"m","weights":"store/x","memory_mb":64}})");
    }
    change_cpu.push_back(
        {static_cast<double>(adapters),
         1e6 * (deployment.CpuSeconds("r0") - before) / (applied - begin)});
    memory.push_back({static_cast<double>(adapters),
                      static_cast<double>(deployment.MemoryKb("r0"))});
  }
  PrintSlope("change applied by a real router, by adapters", "us of CPU time",
             change_cpu);
  PrintSlope("memory of a real router, by adapters", "KB", memory);
}

}  // namespace
}  // namespace boragepick

int main(int argc, char** argv) {
  using namespace boragepick;
  MeasureFeed();
  MeasureRoster();
  MeasureQuota();
  MeasureIdempotency();
  MeasurePlanner();
  MeasureReports();
  if (argc > 1 && std::strcmp(argv[1], "daemons") == 0)
    MeasureDaemons();
}
