// LoadSlotClient when its coordinators stop answering or change.

#include <gtest/gtest.h>

#include "core/engine/load_slot_client.h"
#include "core/scheduling/slot_semaphore.h"

namespace boragepick {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class LoadSlotFixture {
 public:
  LoadSlotFixture() { client.SetCoordinators({"r1", "r2"}); }

  // Advances the time; returns the requests sent, with their receivers.
  std::vector<std::pair<std::string, SlotRequest>> Advance(Duration duration) {
    std::vector<std::pair<std::string, SlotRequest>> requests;
    const TimePoint until = now + duration;
    while (now < until) {
      now += milliseconds(100);
      client.Tick(now);
      for (const SendToEndpoint& sent : client.TakeMessages())
        requests.emplace_back(sent.endpoint,
                              std::get<SlotRequest>(sent.message));
    }
    return requests;
  }
  void Respond(const std::string& from,
               const SlotRequest& request,
               bool granted) {
    client.HandleGrant(
        now, from,
        {.number = request.number, .pool = request.pool, .granted = granted});
  }

  TimePoint now = TimePoint(seconds(100));
  LoadSlotClient client;
};

TEST(LoadSlotClient, SkipsACoordinatorThatDoesNotAnswer) {
  LoadSlotFixture fixture;
  fixture.client.Request(fixture.now, "m", 1);
  const auto requests = fixture.Advance(seconds(4));
  EXPECT_EQ(requests.front().first, "r1");
  EXPECT_EQ(requests.back().first, "r2");
  EXPECT_FALSE(fixture.client.CanLoad("m"));
  fixture.Respond("r2", requests.back().second, /*granted=*/true);
  EXPECT_TRUE(fixture.client.CanLoad("m"));
  EXPECT_FALSE(fixture.client.CanLoad("n"));
}

TEST(LoadSlotClient, IgnoresTheGrantOfAnEarlierRequest) {
  LoadSlotFixture fixture;
  fixture.client.Request(fixture.now, "m", 1);
  const SlotRequest first = fixture.Advance(milliseconds(100)).front().second;
  fixture.client.Request(fixture.now, "n", 1);
  fixture.Respond("r1", first, /*granted=*/true);
  EXPECT_FALSE(fixture.client.CanLoad("n"));
  EXPECT_FALSE(fixture.client.CanLoad("m"));
}

TEST(LoadSlotClient, RepeatsAnUngrantedRequestToTheSameCoordinator) {
  LoadSlotFixture fixture;
  fixture.client.Request(fixture.now, "m", 1);
  for (int i = 0; i < 8; ++i) {
    for (const auto& [router, request] : fixture.Advance(seconds(1))) {
      EXPECT_EQ(router, "r1");
      fixture.Respond(router, request, /*granted=*/false);
    }
  }
  EXPECT_FALSE(fixture.client.CanLoad("m"));
}

// After its coordinator fails, the client reports its held slot to the next
// one.
TEST(LoadSlotClient, KeepsItsSlotWhenTheCoordinatorChanges) {
  LoadSlotFixture fixture;
  fixture.client.Request(fixture.now, "m", 1);
  const auto first = fixture.Advance(milliseconds(100));
  fixture.Respond("r1", first.front().second, /*granted=*/true);
  const auto requests = fixture.Advance(seconds(4));
  EXPECT_EQ(requests.back().first, "r2");
  EXPECT_TRUE(requests.back().second.already_held);
  EXPECT_TRUE(fixture.client.CanLoad("m"));
}

TEST(LoadSlotClient, ReleasesTheSlotWithTheDurationOfTheLoad) {
  LoadSlotFixture fixture;
  fixture.client.Request(fixture.now, "m", 1);
  const auto first = fixture.Advance(milliseconds(100));
  fixture.Respond("r1", first.front().second, /*granted=*/true);
  fixture.client.Complete(seconds(9), seconds(8));
  const auto sent = fixture.client.TakeMessages();
  ASSERT_EQ(sent.size(), 1U);
  const auto& end = std::get<SlotRequest>(sent[0].message);
  EXPECT_TRUE(end.release);
  EXPECT_EQ(end.load_time, seconds(9));
  EXPECT_EQ(end.expected_load_time, seconds(8));
  EXPECT_TRUE(fixture.Advance(seconds(3)).empty());
}

}  // namespace
}  // namespace boragepick
