// The bound of requests to a cold worker over all routers, and that requests
// get their places.

#include <gtest/gtest.h>

#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include "core/serving/cold_workers.h"
#include "unit_tests/core/serving/cold_fleet.h"

namespace boragepick {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class ColdFleetSizes : public testing::TestWithParam<std::size_t> {};

// While workers are cold, changes of their entries confirm the lists often.
TEST_P(ColdFleetSizes, AWorkerGetsItsRateAndNoMoreThanTheBound) {
  ColdFleet fleet({.routers = GetParam(), .confirmation = seconds(1)});
  fleet.Run(seconds(6));
  const TimePoint start = fleet.now();
  fleet.Run(seconds(4));
  EXPECT_LE(fleet.MostInOneSecond(), ColdFleet::Bound());
  EXPECT_GE(fleet.SentSince(start), 4 * ColdFleet::kRate * 0.8);
}

// An owner pauses when its list has not been confirmed for too long.
TEST_P(ColdFleetSizes, WithoutOtherChangesInTheStoreItGetsHalfOfItsRate) {
  ColdFleet fleet({.routers = GetParam()});
  fleet.Run(seconds(6));
  const TimePoint start = fleet.now();
  fleet.Run(seconds(4));
  EXPECT_LE(fleet.MostInOneSecond(), ColdFleet::Bound());
  EXPECT_GE(fleet.SentSince(start), 4 * ColdFleet::kRate * 0.5);
}

INSTANTIATE_TEST_SUITE_P(Sizes, ColdFleetSizes, testing::Values(1, 2, 24, 300));

TEST(ColdFleet, ARouterThatWasJustStartedSendsNothing) {
  ColdFleet fleet({.routers = 3});
  fleet.Run(kOwnerChangeDelay - milliseconds(20));
  EXPECT_EQ(fleet.MostInOneSecond(), 0U);
}

TEST(ColdFleet, AnotherRouterFollowsAnOwnerThatIsGone) {
  ColdFleet fleet({.routers = 5, .confirmation = seconds(1)});
  fleet.Run(seconds(6));
  const std::size_t owner = fleet.Owner(0);
  fleet.Remove(owner);
  fleet.Run(seconds(13));
  const TimePoint later = fleet.now();
  fleet.Run(seconds(3));
  EXPECT_GE(fleet.SentSince(later), 3 * ColdFleet::kRate * 0.8);
  EXPECT_LE(fleet.MostInOneSecond(), ColdFleet::Bound());
}

TEST(ColdFleet, AnOwnerThatThawsDoesNotActOnItsOldView) {
  ColdFleet fleet({.routers = 5});
  fleet.Run(seconds(6));
  const std::size_t owner = fleet.Owner(0);
  fleet.Freeze(owner, seconds(14));
  fleet.Run(seconds(24));
  EXPECT_LE(fleet.MostInOneSecond(), ColdFleet::Bound());
}

TEST(ColdFleet, AnOwnerCutOffFromTheStoreStopsAndARouterCutOffGetsPlaces) {
  ColdFleet fleet({.routers = 4, .confirmation = seconds(1)});
  fleet.Run(seconds(6));
  const std::size_t owner = fleet.Owner(0);
  // Of the others, one is cut off too: it goes on with the owner's places.
  fleet.CutFromStore((owner + 1) % fleet.size(), seconds(5));
  fleet.Run(seconds(5));
  fleet.CutFromStore(owner, seconds(20));
  fleet.Run(kMaxRouterListAge + kPlaceLifetime);
  const TimePoint stopped = fleet.now();
  fleet.Run(seconds(2));
  EXPECT_EQ(fleet.SentSince(stopped), 0U);
  fleet.Run(seconds(8));
  const TimePoint later = fleet.now();
  fleet.Run(seconds(3));
  EXPECT_GE(fleet.SentSince(later), 3 * ColdFleet::kRate * 0.8);
  EXPECT_LE(fleet.MostInOneSecond(), ColdFleet::Bound());
}

RC_GTEST_PROP(ColdFleetHistory, NoSecondExceedsTheBound, ()) {
  const auto seed = *rc::gen::arbitrary<std::uint64_t>();
  ColdFleet fleet(
      {.routers = *rc::gen::inRange<std::size_t>(1, 9),
       .seed = seed,
       .lost = *rc::gen::element<std::uint64_t>(0, 100, 500),
       .doubled = *rc::gen::element<std::uint64_t>(0, 300),
       .max_delay = *rc::gen::element(milliseconds(2), milliseconds(200),
                                      milliseconds(2'000))});
  Random& random = fleet.random();
  for (int step = 0; step < 40; ++step) {
    const std::size_t router = random.Below(fleet.size());
    const Duration duration = milliseconds(random.Below(12'000));
    switch (random.Below(6)) {
      case 0:
        fleet.Restart(router);
        break;
      case 1:
        fleet.Freeze(router, duration);
        break;
      case 2:
        fleet.CutFromStore(router, duration);
        break;
      case 3:
        fleet.CutFromPeers(router, duration);
        break;
      default:
        break;
    }
    fleet.Run(milliseconds(random.Below(3'000)));
  }
  RC_ASSERT(static_cast<double>(fleet.MostInOneSecond()) <= ColdFleet::Bound());
}

TEST(ColdPlaces, TheBoundHoldsForAnyConfiguredRate) {
  for (const double rate : {0.5, 1.0, 21.0, 400.0}) {
    for (const double overage : {1.0, 1.5}) {
      const ColdLimit limit = MakeColdLimit(rate, overage, 1);
      EXPECT_GE(limit.burst, 1);
      EXPECT_LE(limit.places_per_second, rate);
      EXPECT_LE(limit.burst + limit.places_per_second *
                                  ToSeconds(seconds(1) + kPlaceLifetime),
                rate * overage + 1);
    }
  }
  EXPECT_EQ(MakeColdLimit(0.5, 1, 0), ColdLimit{});
}

TEST(ColdPlaces, UrgentAndThenSmallRequestsComeFirst) {
  const TimePoint start = TimePoint(seconds(1'000));
  const ColdLimit limit{.places_per_second = 100, .burst = 5};
  ColdPlaces places(start);
  const auto add = [&](const std::string& vm, std::uint32_t urgency,
                       std::uint32_t tokens) {
    places.Add(start, {.vm = vm},
               {.worker = "w1",
                .number = 1,
                .wanted = 1,
                .urgency = urgency,
                .prompt_tokens = tokens});
  };
  add("r1", 4, 10);
  add("r2", 0, 900);
  add("r3", 0, 20);
  std::vector<std::string> order;
  for (int ms = 0; ms < 60; ++ms) {
    for (const ColdPlaces::Grant& granted :
         places.GrantFree(start + milliseconds(ms), limit))
      order.push_back(granted.vm);
  }
  EXPECT_EQ(order, (std::vector<std::string>{"r3", "r2", "r1"}));
}

TEST(ColdPlaces, AfterAChangeOfTheOwnerOrTheWorkerNoPlaceIsLeft) {
  const TimePoint start = TimePoint(seconds(1'000));
  const ColdLimit limit{.places_per_second = 10, .burst = 5};
  ColdPlaces places(start);
  const TimePoint later = start + seconds(3);
  places.Add(later, {.vm = "r1"}, {.worker = "w1", .number = 1, .wanted = 9});
  places.Restart(later - milliseconds(100));
  const auto grants = places.GrantFree(later, limit);
  ASSERT_EQ(grants.size(), 1U);
  EXPECT_EQ(grants[0].grant.places, 1U);
}

TEST(ColdPlaces, ARequestIsAnsweredOnceAlsoWhenItArrivesTwice) {
  const TimePoint start = TimePoint(seconds(1'000));
  const ColdLimit limit{.places_per_second = 100, .burst = 5};
  ColdPlaces places(start);
  const ColdPlaceRequest request{.worker = "w1", .number = 1, .wanted = 1};
  const TimePoint later = start + milliseconds(40);
  places.Add(later, {.vm = "r1"}, request);
  EXPECT_EQ(places.GrantFree(later, limit).size(), 1U);
  places.Add(later, {.vm = "r1"}, request);
  EXPECT_TRUE(places.GrantFree(later, limit).empty());
  // A later process of the router counts anew.
  places.Add(later, {.vm = "r1", .incarnation = 1}, request);
  EXPECT_EQ(places.GrantFree(later, limit).size(), 1U);
}

}  // namespace
}  // namespace boragepick
