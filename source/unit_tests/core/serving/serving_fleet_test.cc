// Tests the routers' records and the division of quotas between routers.

#include <gtest/gtest.h>

#include <map>

#include "core/serving/serving_fleet.h"

namespace boragepick {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart = TimePoint(seconds(100));

// Simulates routers, the key-value store with their share pages, and the
// messages between routers.
class Bench {
 public:
  explicit Bench(std::vector<std::string> vms) {
    for (const std::string& vm : vms)
      StartRouter(vm);
  }

  void StartRouter(const std::string& vm) {
    m_routers.insert_or_assign(
        vm, ServingFleet({.vm = vm, .data_centre = "a", .endpoint = vm}));
    ServingFleet& fleet = m_routers.at(vm);
    fleet.Configure(m_now, Teams());
    // Stored pages and records are read before the incarnation is received.
    for (const auto& [page, stored] : m_pages)
      fleet.Handle(m_now, SharePageReceived{.page = stored});
    for (const auto& [other, seen] : m_records)
      fleet.Handle(m_now, seen);
    fleet.Handle(m_now, RouterRecordsSynced{.revision = m_revision});
    fleet.Handle(
        m_now, IncarnationReceived{.incarnation =
                                       static_cast<Incarnation>(++m_revision)});
  }

  void Pass(Duration duration) {
    const TimePoint until = m_now + duration;
    while (m_now < until) {
      m_now += milliseconds(50);
      for (auto& [vm, fleet] : m_routers) {
        fleet.Tick(m_now);
        Carry(vm, fleet.TakeEffects());
      }
    }
  }

  // Returns the tokens that all routers together admit if each admits requests
  // of `cost` as fast as it can.
  std::int64_t AdmitFor(Duration duration, std::int64_t cost) {
    std::int64_t admitted = 0;
    const TimePoint until = m_now + duration;
    while (m_now < until) {
      Pass(milliseconds(50));
      for (auto& [vm, fleet] : m_routers) {
        fleet.SetWaiting("team", {.next_cost = cost, .total_cost = cost});
        while (fleet.Admit(m_now, "team", cost))
          admitted += cost;
      }
    }
    return admitted;
  }

  // Queues a request at the router and delivers messages between routers, but
  // lets no time pass. Returns whether the request is admitted.
  bool AdmitWithoutTick(const std::string& vm, std::int64_t cost) {
    ServingFleet& fleet = m_routers.at(vm);
    if (fleet.Admit(m_now, "team", cost))
      return true;
    fleet.SetWaiting("team", {.next_cost = cost, .total_cost = cost});
    fleet.RequestForQueue(m_now, "team");
    Carry(vm, fleet.TakeEffects());
    fleet.SetWaiting("team", {});
    return fleet.Admit(m_now, "team", cost);
  }

  ServingFleet& router(const std::string& vm) { return m_routers.at(vm); }

  static constexpr std::int64_t kRate = 1'000;
  static constexpr std::int64_t kBurst = 2'000;

 private:
  static std::map<std::string, ServingTeam> Teams() {
    std::map<std::string, ServingTeam> teams;
    // Further teams, so that other share pages are written too.
    for (const char* name : {"team", "t1", "t2", "t3", "t4", "t5"})
      teams[name] = {.name = name,
                     .unit = QuotaUnit::kTokens,
                     .rate_per_second = kRate,
                     .burst = kBurst};
    return teams;
  }

  void Carry(const std::string& vm, std::vector<FleetEffect> effects) {
    for (FleetEffect& effect : effects) {
      if (auto* keep = std::get_if<PublishRouterRecord>(&effect))
        Keep(keep->record);
      else if (auto* write = std::get_if<WriteSharePage>(&effect))
        Write(vm, std::move(write->page));
      else if (auto* sent = std::get_if<SendToEndpoint>(&effect))
        Deliver(vm, *sent);
    }
  }

  void Keep(const RouterRecord& record) {
    const RouterRecordReceived seen{.record = record, .revision = ++m_revision};
    m_records[record.vm] = seen;
    for (auto& [vm, fleet] : m_routers)
      fleet.Handle(m_now, seen);
  }

  void Write(const std::string& vm, SharePage page) {
    const Revision stored =
        m_pages.contains(page.page) ? m_pages[page.page].revision : 0;
    if (stored != page.revision) {
      m_routers.at(vm).Handle(
          m_now, SharePageWritten{.outcome = WriteOutcome::kConflict});
      return;
    }
    page.revision = ++m_revision;
    m_pages[page.page] = page;
    m_routers.at(vm).Handle(m_now,
                            SharePageWritten{.outcome = WriteOutcome::kWritten,
                                             .revision = page.revision});
    for (auto& [other, fleet] : m_routers)
      fleet.Handle(m_now, SharePageReceived{.page = page});
  }

  void Deliver(const std::string& from, const SendToEndpoint& sent) {
    const auto to = m_routers.find(sent.endpoint);
    if (to == m_routers.end())
      return;
    if (const auto* request = std::get_if<QuotaLoanRequest>(&sent.message))
      to->second.Handle(m_now, from, *request);
    else if (const auto* loan = std::get_if<QuotaLoan>(&sent.message))
      to->second.Handle(m_now, from, *loan);
    Carry(to->first, to->second.TakeEffects());
  }

  TimePoint m_now = kStart;
  Revision m_revision = 1;
  std::map<std::string, ServingFleet> m_routers;
  std::map<std::string, RouterRecordReceived> m_records;
  std::map<std::uint32_t, SharePage> m_pages;
};

TEST(ServingFleet, RoutersTogetherAdmitTheTeamsRate) {
  Bench bench({"r1", "r2", "r3"});
  bench.Pass(seconds(5));
  constexpr std::int64_t kSeconds = 20;
  const std::int64_t admitted = bench.AdmitFor(seconds(kSeconds), 100);
  EXPECT_LE(admitted, Bench::kBurst + Bench::kRate * kSeconds);
  EXPECT_GE(admitted, Bench::kRate * kSeconds * 8 / 10);
}

TEST(ServingFleet, ARestartedRouterFindsItsShareAgain) {
  Bench bench({"r1", "r2", "r3"});
  bench.Pass(seconds(5));
  for (const char* vm : {"r1", "r2", "r3"})
    bench.StartRouter(vm);
  bench.Pass(seconds(5));
  constexpr std::int64_t kSeconds = 20;
  const std::int64_t admitted = bench.AdmitFor(seconds(kSeconds), 100);
  EXPECT_GE(admitted, Bench::kRate * kSeconds * 8 / 10);
  EXPECT_LE(admitted, Bench::kBurst + Bench::kRate * kSeconds);
}

// In a fleet with more routers than share holders, requests of up to the whole
// burst are admitted after one exchange with the holders.
TEST(ServingFleet, AdmitsALargeRequestWithoutWaitingForPolls) {
  const std::vector<std::string> vms{"r1", "r2", "r3", "r4",  "r5",  "r6",
                                     "r7", "r8", "r9", "r10", "r11", "r12"};
  for (const std::string& vm : vms) {
    Bench bench(vms);
    bench.Pass(seconds(20));
    EXPECT_TRUE(bench.AdmitWithoutTick(vm, Bench::kBurst * 9 / 10)) << vm;
  }
}

// All routers restart at once while callers wait. The loans of the old
// processes are lost and must not delay the new ones.
TEST(ServingFleet, ServesWithinASecondAfterAllRoutersRestarted) {
  Bench bench({"r1", "r2", "r3", "r4", "r5"});
  bench.Pass(seconds(5));
  bench.AdmitFor(seconds(10), 100);
  for (const char* vm : {"r1", "r2", "r3", "r4", "r5"})
    bench.StartRouter(vm);
  bench.AdmitFor(seconds(1), 100);
  const std::int64_t admitted = bench.AdmitFor(seconds(1), 100);
  EXPECT_GE(admitted, Bench::kRate * 8 / 10);
  EXPECT_LE(admitted, Bench::kBurst + Bench::kRate);
}

// Two of three routers restart while the third may hold loans of theirs. In no
// time window may the admitted tokens exceed burst and rate by more than the
// part of the burst that a new share holder may use early.
TEST(ServingFleet, KeepsTheRateWhenSomeRoutersRestart) {
  Bench bench({"r1", "r2", "r3"});
  bench.Pass(seconds(5));
  bench.AdmitFor(seconds(5), 100);
  std::vector<std::int64_t> admitted;
  for (int tenth = 0; tenth < 120; ++tenth) {
    if (tenth == 20 || tenth == 60) {
      bench.StartRouter("r1");
      bench.StartRouter("r2");
    }
    admitted.push_back(bench.AdmitFor(milliseconds(100), 100));
  }
  constexpr std::size_t kWindowTenths = 40;
  for (std::size_t i = 0; i + kWindowTenths <= admitted.size(); ++i) {
    std::int64_t sum = 0;
    for (std::size_t j = i; j < i + kWindowTenths; ++j)
      sum += admitted[j];
    EXPECT_LE(sum, Bench::kBurst * 5 / 4 + Bench::kRate * 4) << "from " << i;
  }
}

TEST(ServingFleet, ATeamWithoutLimitIsNeverRefused) {
  ServingFleet fleet({.vm = "r1"});
  fleet.Configure(kStart, {{"free", {.name = "free"}}});
  EXPECT_TRUE(fleet.Admit(kStart, "free", 1'000'000));
}

TEST(ServingFleet, ANewRouterProcessStartsWithPartOfTheQuotaSlack) {
  ServingFleet fleet({.vm = "r1", .quota_slack = 8'000});
  fleet.Configure(kStart, {{"team",
                            {.name = "team",
                             .unit = QuotaUnit::kTokens,
                             .rate_per_second = 10,
                             .burst = 10}}});
  std::int64_t admitted = 0;
  while (fleet.Admit(kStart, "team", 10))
    admitted += 10;
  EXPECT_GT(admitted, 0);
  EXPECT_LE(admitted, 8'000 / 8);
}

}  // namespace
}  // namespace boragepick
