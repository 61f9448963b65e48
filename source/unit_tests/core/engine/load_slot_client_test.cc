// A controller's place at the weight store when routers fall silent or change.

#include <gtest/gtest.h>

#include "core/engine/load_slot_client.h"
#include "core/scheduling/slot_semaphore.h"

namespace boragepick {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class Place {
 public:
  Place() { place.SetKeepers({"r1", "r2"}); }

  // Lets time pass; returns the asks by the routers they went to.
  std::vector<std::pair<std::string, SlotAsk>> Pass(Duration duration) {
    std::vector<std::pair<std::string, SlotAsk>> asks;
    const TimePoint until = now + duration;
    while (now < until) {
      now += milliseconds(100);
      place.Tick(now);
      for (const SendToEndpoint& sent : place.TakeMessages())
        asks.emplace_back(sent.endpoint, std::get<SlotAsk>(sent.message));
    }
    return asks;
  }
  void Answer(const std::string& from, const SlotAsk& ask, bool granted) {
    place.Take(now, from,
               {.number = ask.number, .pool = ask.pool, .granted = granted});
  }

  TimePoint now = TimePoint(seconds(100));
  LoadSlotClient place;
};

TEST(LoadSlotClient, ASilentRouterIsPassedOver) {
  Place at;
  at.place.Want(at.now, "m", 1);
  const auto asks = at.Pass(seconds(4));
  EXPECT_EQ(asks.front().first, "r1");
  EXPECT_EQ(asks.back().first, "r2");
  EXPECT_FALSE(at.place.Allows("m"));
  at.Answer("r2", asks.back().second, /*granted=*/true);
  EXPECT_TRUE(at.place.Allows("m"));
  EXPECT_FALSE(at.place.Allows("n"));
}

TEST(LoadSlotClient, AGrantOfAnEarlierAskIsNone) {
  Place at;
  at.place.Want(at.now, "m", 1);
  const SlotAsk first = at.Pass(milliseconds(100)).front().second;
  at.place.Want(at.now, "n", 1);
  at.Answer("r1", first, /*granted=*/true);
  EXPECT_FALSE(at.place.Allows("n"));
  EXPECT_FALSE(at.place.Allows("m"));
}

TEST(LoadSlotClient, ARefusedAskIsRepeatedAtTheSameRouter) {
  Place at;
  at.place.Want(at.now, "m", 1);
  for (int i = 0; i < 8; ++i) {
    for (const auto& [router, ask] : at.Pass(seconds(1))) {
      EXPECT_EQ(router, "r1");
      at.Answer(router, ask, /*granted=*/false);
    }
  }
  EXPECT_FALSE(at.place.Allows("m"));
}

// The router that kept the list is gone: the next one hears that the place is
// held.
TEST(LoadSlotClient, AHeldPlaceGoesOnWithTheNextRouter) {
  Place at;
  at.place.Want(at.now, "m", 1);
  const auto first = at.Pass(milliseconds(100));
  at.Answer("r1", first.front().second, /*granted=*/true);
  const auto asks = at.Pass(seconds(4));
  EXPECT_EQ(asks.back().first, "r2");
  EXPECT_TRUE(asks.back().second.held);
  EXPECT_TRUE(at.place.Allows("m"));
}

TEST(LoadSlotClient, TheEndOfALoadGivesThePlaceBackWithItsTime) {
  Place at;
  at.place.Want(at.now, "m", 1);
  const auto first = at.Pass(milliseconds(100));
  at.Answer("r1", first.front().second, /*granted=*/true);
  at.place.Finish(seconds(9), seconds(8));
  const auto sent = at.place.TakeMessages();
  ASSERT_EQ(sent.size(), 1U);
  const auto& end = std::get<SlotAsk>(sent[0].message);
  EXPECT_TRUE(end.done);
  EXPECT_EQ(end.took, seconds(9));
  EXPECT_EQ(end.expected, seconds(8));
  EXPECT_TRUE(at.Pass(seconds(3)).empty());
}

}  // namespace
}  // namespace boragepick
