// The regions in which the requests of routes and teams may run.

#include "core/serving/allowed_regions.h"

#include <gtest/gtest.h>

#include "unit_tests/core/serving/serving_fixture.h"

namespace boragepick {
namespace {

using std::chrono::milliseconds;

const RegionMap kRegions{{"a", "north"}, {"b", "south"}, {"c", "south"}};

TEST(AllowedRegions, RouteAndTeamBothBind) {
  const auto permits = [](std::vector<std::string> route,
                          std::vector<std::string> team,
                          const std::string& data_centre) {
    const ServingTeam owner{.allowed_regions = std::move(team)};
    return AllowedRegions({.allowed_regions = std::move(route)}, &owner)
        .Permits(kRegions, data_centre);
  };
  EXPECT_TRUE(permits({}, {}, "unknown"));
  EXPECT_TRUE(permits({"south"}, {}, "c"));
  EXPECT_TRUE(permits({}, {"south"}, "b"));
  EXPECT_TRUE(permits({"south", "north"}, {"west", "north"}, "a"));
  EXPECT_FALSE(permits({"south", "north"}, {"west", "north"}, "b"));
  EXPECT_FALSE(permits({"south"}, {"north"}, "a"));
  EXPECT_FALSE(permits({"south"}, {}, "unknown"));
  EXPECT_FALSE(permits({""}, {}, "unknown"));
}

// Routes "ask" and "read" may run in the south. w1, p1 are in the north, w2 and
// p2 in the south, w3 in a data centre whose region is unknown.
class AllowedRegionsTest : public testing::Test {
 protected:
  void SetUp() override {
    ServingConfig config = SmallConfig();
    config.routes[0].allowed_regions = {"south"};
    config.routes[3].allowed_regions = {"south"};
    config.teams["team"].allowed_regions = {"south", "north"};
    config.teams["north"] = {
        .name = "north", .key_sha256 = {"north"}, .allowed_regions = {"north"}};
    fixture.Start(std::move(config));
    List("b", EngineWorker("w2", {"m1"}));
    List("x", EngineWorker("w3", {"m1", "m3"}));
    List("b", PlainWorker("p2"));
  }
  void List(const std::string& data_centre, WorkerEntry entry) {
    entry.data_centre = data_centre;
    fixture.Handle(WorkerListed{.entry = std::move(entry)});
  }

  ServingFixture fixture{{.vm = "r1",
                          .data_centre = "a",
                          .endpoint = "10.1.0.1:7",
                          .controller_port = 7,
                          .regions = kRegions}};
};

TEST_F(AllowedRegionsTest, RequestsRunInTheirRegionsOnly) {
  for (int i = 0; i < 20; ++i) {
    fixture.ReceiveRequest("/read/1");
    fixture.ReceiveRequest("/ask/1", "m1");
    for (const SendAttempt& sent : fixture.TakeEffects<SendAttempt>()) {
      EXPECT_TRUE(sent.worker == "p2" || sent.worker == "w2") << sent.worker;
      // A retry has no other place to go.
      fixture.Handle(AttemptFailed{.attempt = sent.attempt,
                                   .failure = AttemptFailure::kNotSent});
    }
    fixture.Advance(milliseconds(3'500));
  }
}

TEST_F(AllowedRegionsTest, LoadsGoToTheirRegionsAndBodiesToNoPeer) {
  fixture.ReceiveRequest("/ask/1", "m3");
  fixture.Advance(milliseconds(1'500));
  EXPECT_TRUE(fixture.TakeEffects<SendAttempt>().empty());
  const auto messages = fixture.TakeEffects<SendToEndpoint>();
  ASSERT_FALSE(messages.empty());
  for (const SendToEndpoint& sent : messages) {
    if (const auto* load = std::get_if<LoadRequest>(&sent.message);
        load != nullptr && load->model == "m3")
      EXPECT_EQ(sent.endpoint, "10.0.0.2:7");
    EXPECT_FALSE(std::holds_alternative<RunRequest>(sent.message));
  }
}

TEST_F(AllowedRegionsTest, WithoutAnAllowedWorkerTheRequestIsRefusedAtOnce) {
  // Route and team have no region in common.
  fixture.ReceiveRequest("/read/1", "", "north");
  // The only allowed worker leaves.
  fixture.Handle(WorkerUnlisted{.id = "w2"});
  fixture.ReceiveRequest("/ask/1", "m1");
  const auto refused = fixture.TakeEffects<RefuseRequest>();
  ASSERT_EQ(refused.size(), 2U);
  for (const RefuseRequest& refusal : refused) {
    EXPECT_EQ(refusal.code, "no_allowed_region");
    EXPECT_EQ(refusal.status, 503U);
    EXPECT_GT(refusal.retry_after, Duration::zero());
  }
  EXPECT_TRUE(fixture.TakeEffects<SendAttempt>().empty());
}

}  // namespace
}  // namespace boragepick
