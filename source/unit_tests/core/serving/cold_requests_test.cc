// Requests of a serving router whose workers are cold.

#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "unit_tests/core/serving/serving_fixture.h"

namespace boragepick {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

ServingConfig LimitedConfig() {
  ServingConfig config = SmallConfig();
  for (auto& [name, service] : config.services) {
    service.cold_start = seconds(3);
    service.cold_requests_per_second = 10;
  }
  return config;
}

class ColdRequestsTest : public testing::Test {
 protected:
  ColdRequestsTest()
      : fixture({.vm = "r1",
                 .data_centre = "a",
                 .endpoint = "10.1.0.1:7",
                 .controller_port = 7,
                 .cold_overage = 1.5,
                 .cold_slack = 5}) {}

  // Starts the router as the only one, and as the owner of all cold workers.
  void StartAsOwner() {
    fixture.Start(LimitedConfig());
    fixture.Handle(RouterRecordReceived{
        .record = {.vm = "r1", .endpoint = "10.1.0.1:7", .incarnation = 1}});
    fixture.Handle(RouterRecordsSynced{.vms = {"r1"}});
    fixture.Advance(kOwnerChangeDelay + seconds(1));
    fixture.effects.clear();
  }
  void List(WorkerEntry entry, Duration cold_remaining) {
    entry.cold_remaining = cold_remaining;
    fixture.Handle(WorkerListed{.entry = std::move(entry)});
  }
  void ListPlain(Duration cold_p1, Duration cold_p2) {
    List(PlainWorker("p1"), cold_p1);
    List(PlainWorker("p2"), cold_p2);
  }
  // Answers the attempts sent so far and returns their workers.
  std::vector<std::string> AnswerAll() {
    std::vector<std::string> workers;
    for (const SendAttempt& sent : fixture.TakeEffects<SendAttempt>()) {
      workers.push_back(sent.worker);
      fixture.RespondHead(sent.attempt);
      fixture.Handle(AttemptCompleted{.attempt = sent.attempt});
    }
    return workers;
  }

  ServingFixture fixture;
};

TEST_F(ColdRequestsTest, WarmWorkersTakeTheRequests) {
  StartAsOwner();
  ListPlain(seconds(3), {});
  for (int i = 0; i < 40; ++i)
    fixture.ReceiveRequest("/read/x");
  EXPECT_EQ(AnswerAll(), std::vector<std::string>(40, "p2"));
}

TEST_F(ColdRequestsTest, ColdWorkersGetTheirRateUntilTheirEntryShowsThemWarm) {
  StartAsOwner();
  ListPlain(seconds(3), seconds(3));
  std::size_t sent = 0;
  for (int i = 0; i < 20; ++i) {
    for (int j = 0; j < 5; ++j)
      fixture.ReceiveRequest("/read/x");
    fixture.Advance(milliseconds(50));
    sent += AnswerAll().size();
  }
  EXPECT_LE(sent, 2 * (10 * 1.5 + 5));
  EXPECT_GE(sent, 14U);
  ListPlain({}, {});
  fixture.Advance(milliseconds(100));
  AnswerAll();
  for (int i = 0; i < 40; ++i)
    fixture.ReceiveRequest("/read/x");
  EXPECT_EQ(AnswerAll().size(), 40U);
}

TEST_F(ColdRequestsTest, WarmUpAlsoEndsWithTheRemainingTime) {
  StartAsOwner();
  ListPlain(milliseconds(300), milliseconds(300));
  fixture.Advance(milliseconds(310));
  for (int i = 0; i < 40; ++i)
    fixture.ReceiveRequest("/read/x");
  EXPECT_EQ(AnswerAll().size(), 40U);
}

TEST_F(ColdRequestsTest, WithoutAnOwnerNothingIsSent) {
  fixture.Start(LimitedConfig());
  ListPlain(seconds(3), seconds(3));
  fixture.ReceiveRequest("/read/x");
  fixture.Advance(seconds(1));
  EXPECT_TRUE(fixture.TakeEffects<SendAttempt>().empty());
  EXPECT_EQ(fixture.router().requests().open(), 0U);
}

TEST_F(ColdRequestsTest, PlacesAreAskedOfAnotherRouterAndEachUsedOnce) {
  StartAsOwner();
  // With enough others, one of them owns the worker.
  std::vector<std::string> vms = {"r1"};
  for (int i = 2; i < 30; ++i) {
    vms.push_back("r" + std::to_string(i));
    fixture.Handle(RouterRecordReceived{
        .record = {.vm = vms.back(),
                   .endpoint = "10.1.0." + std::to_string(i) + ":7",
                   .incarnation = 1}});
  }
  ListPlain(seconds(3), seconds(3));
  fixture.effects.clear();
  fixture.ReceiveRequest("/read/x");
  fixture.ReceiveRequest("/read/x");
  fixture.Advance(milliseconds(30));
  EXPECT_TRUE(fixture.TakeEffects<SendAttempt>().empty());
  std::vector<ColdPlaceRequest> asked;
  for (const SendToEndpoint& sent : fixture.TakeEffects<SendToEndpoint>()) {
    if (const auto* request = std::get_if<ColdPlaceRequest>(&sent.message))
      asked.push_back(*request);
  }
  ASSERT_FALSE(asked.empty());
  const ColdPlaceGrant grant{
      .worker = asked[0].worker, .number = asked[0].number, .places = 1};
  fixture.Handle(PeerMessageReceived{.message = grant});
  fixture.Handle(PeerMessageReceived{.message = grant});
  EXPECT_EQ(fixture.TakeEffects<SendAttempt>().size(), 1U);
}

TEST_F(ColdRequestsTest, APlaceEndsWithItsLifetime) {
  ColdWorkers cold({.vm = "r1", .overage = 1.5, .slack = 5});
  cold.Configure({{"s", {.name = "s", .cold_requests_per_second = 10}}});
  TimePoint now = fixture.now;
  cold.owners().Confirm(now);
  cold.owners().AddRouter(now, "r2");
  cold.OnWorkerListed(
      now, {.id = "w1", .service = "s", .cold_remaining = seconds(3)});
  cold.Await(now, "w1", {.id = 1});
  const auto sent = cold.TakeOutgoing();
  ASSERT_EQ(sent.size(), 1U);
  const auto& request = std::get<ColdPlaceRequest>(sent[0].message);
  cold.Handle(now, ColdPlaceGrant{
                       .worker = "w1", .number = request.number, .places = 2});
  now += kPlaceLifetime - milliseconds(1);
  EXPECT_TRUE(cold.TakePlace(now, "w1"));
  now += milliseconds(1);
  EXPECT_FALSE(cold.TakePlace(now, "w1"));
}

TEST_F(ColdRequestsTest, AModelAtAColdWorkerIsNotLoadedElsewhere) {
  StartAsOwner();
  List(EngineWorker("w1", {"m1", "m2"}), seconds(3));
  fixture.effects.clear();
  fixture.ReceiveRequest("/ask/x", "m2");
  fixture.Advance(milliseconds(200));
  const auto sent = fixture.TakeEffects<SendAttempt>();
  ASSERT_EQ(sent.size(), 1U);
  EXPECT_EQ(sent[0].worker, "w1");
  EXPECT_TRUE(std::ranges::none_of(
      fixture.TakeEffects<SendToEndpoint>(), [](const SendToEndpoint& effect) {
        const auto* load = std::get_if<LoadRequest>(&effect.message);
        return load != nullptr && load->model == "m2";
      }));
}

TEST_F(ColdRequestsTest, TooManyRequestsAreRefusedEarlyWithATimeToReturn) {
  StartAsOwner();
  ListPlain(seconds(30), seconds(30));
  for (int i = 0; i < 100; ++i)
    fixture.ReceiveRequest("/read/x");
  const auto refused = fixture.TakeEffects<RefuseRequest>();
  EXPECT_GE(refused.size(), 70U);
  for (const RefuseRequest& refusal : refused) {
    EXPECT_EQ(refusal.status, 503U);
    EXPECT_GT(refusal.retry_after, Duration::zero());
  }
}

TEST_F(ColdRequestsTest, ADataCentreTakenBackCountsAsColdForTwoHeartbeats) {
  ColdWorkers cold({.vm = "r1", .overage = 1.5, .slack = 5});
  cold.Configure({{"s", {.name = "s", .cold_requests_per_second = 10}}});
  const TimePoint now = fixture.now;
  cold.owners().Confirm(now + seconds(2));
  const auto list = [&](const std::string& id, const std::string& data_centre) {
    cold.OnWorkerListed(now,
                        {.id = id, .service = "s", .data_centre = data_centre});
  };
  list("w1", "a");
  list("w2", "a");
  list("w3", "b");
  cold.SuspectCold(now, "a");
  EXPECT_TRUE(cold.IsCold(now, "w1"));
  EXPECT_TRUE(cold.IsCold(now, "w2"));
  EXPECT_FALSE(cold.IsCold(now, "w3"));
  list("w1", "a");
  EXPECT_FALSE(cold.IsCold(now, "w1"));
  EXPECT_TRUE(cold.IsCold(now + milliseconds(2'399), "w2"));
  EXPECT_FALSE(cold.IsCold(now + milliseconds(2'400), "w2"));
}

TEST_F(ColdRequestsTest, WithoutNewsAllLimitedWorkersCountAsCold) {
  StartAsOwner();
  EXPECT_FALSE(fixture.router().state().cold_workers.IsCold(fixture.now, "p1"));
  fixture.Advance(seconds(5), /*confirm=*/false);
  EXPECT_TRUE(fixture.router().state().cold_workers.IsCold(fixture.now, "p1"));
}

TEST_F(ColdRequestsTest, WithoutBoundsNoWorkerIsLimited) {
  ServingFixture unlimited;
  unlimited.Start(LimitedConfig());
  WorkerEntry cold = PlainWorker("p1");
  cold.cold_remaining = seconds(3);
  unlimited.Handle(WorkerListed{.entry = cold});
  EXPECT_FALSE(
      unlimited.router().state().cold_workers.IsCold(unlimited.now, "p1"));
}

}  // namespace
}  // namespace boragepick
