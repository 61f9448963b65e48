// Tests distributed quota against a reference, a single bucket in one process,
// over random histories of requests, lost, duplicated and delayed messages,
// pauses, restarts, rate changes and outages of the platform's store.

#include <gtest/gtest.h>

#include <rapidcheck.h>
#include <rapidcheck/gtest.h>
#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "common/random.h"
#include "core/quota/quota_manager.h"
#include "unit_tests/core/quota_fleet.h"

namespace boragepick {
namespace {

using namespace quota_test;

// The reference: one bucket that sees all requests at once.
class ReferenceBucket {
 public:
  ReferenceBucket(TeamSpec team, TimePoint now)
      : m_team(team), m_level(team.burst_tokens), m_at(now) {}
  bool Admit(TimePoint now, Tokens cost) {
    m_level = std::min<double>(
        m_team.burst_tokens,
        m_level + m_team.rate_tokens_per_second * ToSeconds(now - m_at));
    m_at = now;
    if (m_level < static_cast<double>(cost))
      return false;
    m_level -= static_cast<double>(cost);
    return true;
  }

 private:
  TeamSpec m_team;
  double m_level;
  TimePoint m_at;
};

RC_GTEST_PROP(QuotaHistory, NeverMoreThanRateAndBurst, ()) {
  const auto seed = *rc::gen::arbitrary<std::uint64_t>();
  const auto routers = *rc::gen::inRange<std::size_t>(1, 7);
  const NetworkFaults faults{
      .loss_percent = *rc::gen::inRange(0U, 40U),
      .duplicate_percent = *rc::gen::inRange(0U, 30U),
      .max_delay = milliseconds(*rc::gen::inRange(1, 3000))};
  const TeamSpec team{.rate_tokens_per_second = *rc::gen::inRange(50U, 5000U),
                      .burst_tokens = *rc::gen::inRange(500U, 20000U)};
  Fleet fleet(routers, team, seed, faults);
  Random random(seed + 1);
  std::uint32_t rate = team.rate_tokens_per_second;
  std::uint32_t burst = team.burst_tokens;
  std::vector<std::string> vms = fleet.Vms();
  std::size_t killed = 0;
  std::size_t joined = 0;
  for (int step = 0; step < 150; ++step) {
    const std::string& vm = vms[random.Below(vms.size())];
    switch (random.Below(24)) {
      case 0:
        fleet.Restart(vm);
        break;
      case 1:
        fleet.Pause(vm, milliseconds(random.Below(8000)));
        break;
      case 2:
        fleet.service().down = !fleet.service().down;
        break;
      case 3:
        if (++killed < vms.size())
          fleet.Kill(vm);
        break;
      case 5:
        if (++joined <= 3) {
          fleet.Join("j" + std::to_string(joined));
          vms = fleet.Vms();
        }
        break;
      case 9:
        fleet.CutOff(vm, milliseconds(random.Below(10'000)));
        break;
      case 6:
      case 7:
      case 8: {
        // All routers borrow, keep the loans for a while, and spend them at
        // once.
        for (const std::string& each : vms)
          fleet.SetWaiting(each, burst, burst);
        fleet.Advance(milliseconds(random.Below(2500)));
        for (const std::string& each : vms) {
          for (Tokens part = burst; part > 0; part /= 2)
            fleet.Admit(each, part);
          fleet.SetWaiting(each, 0, 0);
        }
        break;
      }
      case 4: {
        // While the routers' views differ, the larger limit applies, so the
        // check uses the largest limits that were ever in effect.
        const TeamSpec changed{
            .rate_tokens_per_second =
                static_cast<std::uint32_t>(50 + random.Below(5000)),
            .burst_tokens =
                static_cast<std::uint32_t>(500 + random.Below(20000))};
        fleet.ChangeTeam(changed);
        rate = std::max(rate, changed.rate_tokens_per_second);
        burst = std::max(burst, changed.burst_tokens);
        break;
      }
      default: {
        const auto cost = static_cast<Tokens>(1 + random.Below(400));
        fleet.SetWaiting(
            vm, {.next_cost = cost,
                 .total_cost = 4 * cost,
                 .urgency = static_cast<std::uint32_t>(random.Below(4)),
                 .demand = static_cast<Tokens>(random.Below(5000))});
        fleet.RequestForQueue(vm);
        for (int i = 0; i < 40; ++i)
          fleet.Admit(vm, cost);
        fleet.Advance(milliseconds(random.Below(600)));
      }
    }
  }
  RC_ASSERT(IsWithinBound(fleet.admissions(), burst, rate));
}

// Offers a saturating load at the routers `vms` and returns the ratio of the
// admitted tokens to those that the reference admits.
double Utilisation(Fleet& fleet,
                   const std::vector<std::string>& vms,
                   const TeamSpec& team,
                   Duration duration) {
  ReferenceBucket reference(team, fleet.now());
  Tokens distributed_tokens = 0;
  Tokens reference_tokens = 0;
  constexpr Tokens kCost = 100;
  for (const TimePoint end = fleet.now() + duration; fleet.now() < end;) {
    for (const std::string& vm : vms) {
      fleet.SetWaiting(vm, kCost, 4 * kCost);
      while (fleet.Admit(vm, kCost))
        distributed_tokens += kCost;
    }
    while (reference.Admit(fleet.now(), kCost))
      reference_tokens += kCost;
    fleet.Advance(kStep);
  }
  return static_cast<double>(distributed_tokens) /
         static_cast<double>(reference_tokens);
}

constexpr TeamSpec kBusyTeam{.rate_tokens_per_second = 10'000,
                             .burst_tokens = 20'000};

TEST(QuotaHistory, SaturatedRateIsUsedInFull) {
  Fleet fleet(6, kBusyTeam, 7, {});
  fleet.Advance(seconds(10));
  const double used = Utilisation(fleet, fleet.Vms(), kBusyTeam, seconds(60));
  EXPECT_GT(used, 0.95);
}

TEST(QuotaHistory, AllDemandAtOneRouterGetsTheWholeRate) {
  Fleet fleet(6, kBusyTeam, 8, {});
  fleet.Advance(seconds(10));
  const double used = Utilisation(fleet, {"r3"}, kBusyTeam, seconds(60));
  EXPECT_GT(used, 0.95);
}

TEST(QuotaHistory, StoreOutageOfAnHourChangesNothing) {
  Fleet fleet(4, kBusyTeam, 9, {});
  fleet.Advance(seconds(10));
  fleet.service().down = true;
  fleet.Advance(std::chrono::minutes(58));
  const double used =
      Utilisation(fleet, fleet.Vms(), kBusyTeam, std::chrono::minutes(2));
  EXPECT_GT(used, 0.95);
}

TEST(QuotaHistory, ShareOfAKilledHolderIsTakenOver) {
  Fleet fleet(4, kBusyTeam, 10, {});
  fleet.Advance(seconds(10));
  fleet.Kill("r1");
  fleet.Advance(seconds(20));
  const double used =
      Utilisation(fleet, {"r0", "r2", "r3"}, kBusyTeam, seconds(60));
  EXPECT_GT(used, 0.95);
}

// A team that stays within its rate; each request may wait until its deadline.
TEST(QuotaHistory, WithinRateNothingIsRefused) {
  Fleet fleet(5, kBusyTeam, 11,
              {.loss_percent = 2, .max_delay = milliseconds(5)});
  fleet.Advance(seconds(10));
  Random random(12);
  constexpr Duration kWaitLimit = seconds(2);
  constexpr Tokens kCost = 100;
  struct Waiting {
    std::string vm;
    TimePoint deadline;
  };
  std::deque<Waiting> waiting;
  std::size_t offered = 0;
  std::size_t refused = 0;
  const std::vector<std::string> vms = fleet.Vms();
  for (int step = 0; step < 12'000; ++step) {
    if (step == 4000)
      fleet.Restart("r2");
    if (step == 6000)
      fleet.service().down = true;
    // 80% of the rate, at random routers.
    if (random.Below(100) < 80) {
      ++offered;
      waiting.push_back(
          {vms[random.Below(vms.size())], fleet.now() + kWaitLimit});
    }
    std::map<std::string, Tokens> waits;
    std::erase_if(waiting, [&](const Waiting& request) {
      if (fleet.Admit(request.vm, kCost))
        return true;
      const bool late = fleet.now() >= request.deadline;
      refused += late ? 1 : 0;
      waits[request.vm] += late ? 0 : kCost;
      return late;
    });
    for (const std::string& vm : vms)
      fleet.SetWaiting(vm, waits[vm] > 0 ? kCost : 0, waits[vm]);
    fleet.Advance(kStep);
  }
  EXPECT_LT(static_cast<double>(refused), 0.001 * static_cast<double>(offered));
}

}  // namespace
}  // namespace boragepick
