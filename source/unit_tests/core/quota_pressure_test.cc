// Tests the division of a team's quota while callers ask for several times the
// rate, unevenly over the routers and at routers that change.

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <numeric>
#include <string>
#include <utility>
#include <vector>

#include "common/random.h"
#include "core/serving/quota_queue.h"
#include "unit_tests/core/quota_fleet.h"

namespace boragepick {
namespace {

using namespace quota_test;

constexpr TeamSpec kHotTeam{.rate_tokens_per_second = 270'000,
                            .burst_tokens = 270'000};
// Callers ask for this many times the rate.
constexpr double kDemand = 3.3;
// A request that is admitted later misses its objective. Callers whose requests
// are refused repeat them once, when they are told to.
constexpr Duration kPatience = milliseconds(250);
constexpr Duration kCallerTimeout = seconds(6);
// The demand moves to other routers once in this time.
constexpr Duration kMovePeriod = seconds(3);
// A third of the routers are hot and get most of the requests.
constexpr std::size_t kHotRouterDivisor = 3;
constexpr double kWeightOfOthers = 0.1;

struct Options {
  std::size_t routers = 21;
  NetworkFaults network{.max_delay = milliseconds(20)};
};

class PressureLoad {
 public:
  explicit PressureLoad(const Options& options)
      : fleet(options.routers, kHotTeam, 31, options.network) {
    fleet.Advance(seconds(10));
    for (const std::string& vm : fleet.Vms())
      m_routers[vm];
    Move();
  }

  void Run(Duration duration) {
    for (const TimePoint end = fleet.now() + duration; fleet.now() < end;) {
      if (fleet.now() - m_moved_at >= kMovePeriod)
        Move();
      for (auto& [vm, router] : m_routers) {
        ReceiveRequests(vm, router);
        Admit(vm, router);
      }
      fleet.Advance(kStep);
    }
  }

  // The least part of the team's rate that was admitted in any window of this
  // length from `begin` until now.
  double LeastUse(TimePoint begin, Duration window) const {
    const std::vector<Admission>& all = fleet.admissions();
    double least = 1;
    for (TimePoint from = begin; from + window <= fleet.now(); from += kStep) {
      Tokens sum = 0;
      for (auto at = std::ranges::lower_bound(all, from, {}, &Admission::at);
           at != all.end() && at->at < from + window; ++at)
        sum += at->tokens;
      least = std::min(
          least, static_cast<double>(sum) /
                     (kHotTeam.rate_tokens_per_second * ToSeconds(window)));
    }
    return least;
  }

  // The least ratio, over the hot routers, of the part of the admitted tokens
  // to the part of the demand since the last call.
  double LeastPartOfDemand() {
    Tokens asked = 0;
    Tokens admitted = 0;
    for (const auto& [vm, router] : m_routers) {
      asked += router.asked;
      admitted += router.admitted;
    }
    double least = 1;
    for (auto& [vm, router] : m_routers) {
      const double part_admitted =
          static_cast<double>(router.admitted) / static_cast<double>(admitted);
      const double part_asked =
          static_cast<double>(router.asked) / static_cast<double>(asked);
      if (router.weight == 1)
        least = std::min(least, part_admitted / part_asked);
      router.asked = 0;
      router.admitted = 0;
    }
    return least;
  }

  void Move() {
    m_moved_at = fleet.now();
    const std::size_t hot = m_routers.size() / kHotRouterDivisor + 1;
    std::size_t index = 0;
    for (auto& [vm, router] : m_routers) {
      const std::size_t place = (index++ + m_first_hot) % m_routers.size();
      router.weight = place < hot ? 1 : kWeightOfOthers;
    }
    m_first_hot += hot;
  }

  Fleet fleet;

 private:
  struct Request {
    Tokens cost = 0;
    bool is_repeated = false;
  };
  struct Router {
    double weight = 0;
    // Tokens of requests that are due to arrive.
    double due = 0;
    QuotaQueue queue;
    std::multimap<TimePoint, Request> returning;
    Tokens asked = 0;
    Tokens admitted = 0;
  };
  struct RouterTokens {
    Fleet& fleet;
    const std::string& vm;
    bool Admit(TimePoint /*now*/, Tokens cost) { return fleet.Admit(vm, cost); }
    Tokens Available(TimePoint now) {
      return fleet.manager(vm).AvailableOf(now, kTeam);
    }
  };

  Tokens NextCost() { return static_cast<Tokens>(100 + m_random.Below(1'200)); }

  void ReceiveRequests(const std::string& vm, Router& router) {
    const double weights =
        std::accumulate(m_routers.begin(), m_routers.end(), 0.0,
                        [](double sum, const auto& entry) {
                          return sum + entry.second.weight;
                        });
    router.due += kHotTeam.rate_tokens_per_second * kDemand * router.weight /
                  weights * ToSeconds(kStep);
    for (Tokens cost = NextCost(); router.due >= static_cast<double>(cost);
         cost = NextCost()) {
      router.due -= static_cast<double>(cost);
      Receive(vm, router, {.cost = cost});
    }
    while (!router.returning.empty() &&
           router.returning.begin()->first <= fleet.now()) {
      const Request request = router.returning.begin()->second;
      router.returning.erase(router.returning.begin());
      Receive(vm, router, request);
    }
  }

  void Receive(const std::string& vm, Router& router, const Request& request) {
    const TimePoint now = fleet.now();
    router.asked += request.cost;
    router.queue.RecordArrival(now, request.cost);
    if (!router.queue.GoesBefore(now, 0) && fleet.Admit(vm, request.cost)) {
      router.queue.RecordAdmitted(now, request.cost);
      router.admitted += request.cost;
      return;
    }
    m_waiting[++m_last_id] = request;
    router.queue.Add(now, {.id = m_last_id,
                           .cost = request.cost,
                           .arrived = now,
                           .admit_by = now + kPatience,
                           .deadline = now + kCallerTimeout});
    RefuseLate(vm, router);
  }

  void Admit(const std::string& vm, Router& router) {
    RouterTokens tokens{.fleet = fleet, .vm = vm};
    for (const QueuedRequest& admitted :
         router.queue.Admit(fleet.now(), tokens)) {
      router.admitted += admitted.cost;
      m_waiting.erase(admitted.id);
    }
    RefuseLate(vm, router);
  }

  void RefuseLate(const std::string& vm, Router& router) {
    const Tokens rate = kHotTeam.rate_tokens_per_second;
    const auto routers = static_cast<Tokens>(m_routers.size());
    for (const QuotaRefusal& refusal : router.queue.RefuseLate(
             fleet.now(), {.least = rate / routers, .most = rate}, m_random)) {
      Request request = m_waiting.extract(refusal.id).mapped();
      if (!std::exchange(request.is_repeated, true))
        router.returning.emplace(fleet.now() + refusal.retry_after, request);
    }
    fleet.SetWaiting(vm, router.queue.Waiting(fleet.now()));
    fleet.RequestForQueue(vm);
  }

  Random m_random{77};
  RequestId m_last_id = 0;
  std::map<RequestId, Request> m_waiting;
  std::map<std::string, Router> m_routers;
  std::size_t m_first_hot = 0;
  TimePoint m_moved_at;
};

// Until this long after the demand has risen, the burst is spent.
constexpr Duration kBurstTime = seconds(3);
constexpr Duration kWindow = seconds(2);

// Checks that the team gets `part` of its rate in every window.
void ExpectRate(const Options& options, Duration duration, double part) {
  PressureLoad load(options);
  load.Run(kBurstTime);
  const TimePoint begin = load.fleet.now();
  load.Run(duration);
  EXPECT_GE(load.LeastUse(begin, kWindow), part) << options.routers;
  EXPECT_TRUE(IsWithinBound(load.fleet.admissions(), kHotTeam.burst_tokens,
                            kHotTeam.rate_tokens_per_second))
      << options.routers;
}

TEST(QuotaPressure, ATeamGetsItsWholeRateAtAnyDemand) {
  for (const std::size_t routers : {21U, 60U})
    ExpectRate({.routers = routers}, seconds(12), 0.99);
}

TEST(QuotaPressure, ATeamGetsItsWholeRateAtThreeHundredRouters) {
  ExpectRate({.routers = 300}, seconds(4), 0.99);
}

// With two hot routers of five, more of the tokens are on their way back when
// the demand moves.
TEST(QuotaPressure, ATeamGetsItsWholeRateAtFiveRouters) {
  ExpectRate({.routers = 5}, seconds(12), 0.99);
}

// Routers on small VMs handle messages late when they are busy.
TEST(QuotaPressure, LateMessagesCostLittleOfTheRate) {
  PressureLoad load({.network = {.max_delay = milliseconds(200)}});
  load.Run(kBurstTime);
  const TimePoint begin = load.fleet.now();
  load.Run(seconds(12));
  EXPECT_GE(load.LeastUse(begin, kWindow), 0.97);
}

TEST(QuotaPressure, LostMessagesCostLittleOfTheRate) {
  PressureLoad load(
      {.network = {.loss_percent = 3, .max_delay = milliseconds(50)}});
  load.Run(kBurstTime);
  const TimePoint begin = load.fleet.now();
  load.Run(seconds(12));
  EXPECT_GE(load.LeastUse(begin, kWindow), 0.97);
}

TEST(QuotaPressure, TheDivisionFollowsTheDemandWithinASecond) {
  PressureLoad load({.routers = 21});
  load.Run(kBurstTime);
  for (int move = 0; move < 4; ++move) {
    load.Move();
    load.Run(seconds(1));
    load.LeastPartOfDemand();
    load.Run(seconds(1));
    EXPECT_GE(load.LeastPartOfDemand(), 0.75) << move;
  }
}

TEST(QuotaPressure, TheStoreIsNotNeeded) {
  PressureLoad load({.routers = 21});
  load.Run(kBurstTime);
  load.fleet.service().down = true;
  const TimePoint begin = load.fleet.now();
  load.Run(seconds(8));
  EXPECT_GE(load.LeastUse(begin, kWindow), 0.99);
}

// A router that is frozen keeps its part of the rate if it is a holder, but not
// what it had borrowed from others for longer than a loan lasts.
TEST(QuotaPressure, AFrozenRouterCostsItsShareOnly) {
  PressureLoad load({.routers = 21});
  load.Run(kBurstTime);
  std::size_t frozen = 0;
  for (const std::string& vm : load.fleet.Vms()) {
    if (++frozen > 2)
      break;
    load.fleet.Pause(vm, seconds(6));
  }
  load.Run(seconds(2));
  const TimePoint begin = load.fleet.now();
  load.Run(seconds(4));
  EXPECT_GE(load.LeastUse(begin, kWindow), 4.0 / 6 * 0.98);
  EXPECT_TRUE(IsWithinBound(load.fleet.admissions(), kHotTeam.burst_tokens,
                            kHotTeam.rate_tokens_per_second));
}

}  // namespace
}  // namespace boragepick
