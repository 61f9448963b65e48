// One request at a time through the router that sends straight to workers.

#include <gtest/gtest.h>

#include <map>

#include "unit_tests/core/serving/serving_fixture.h"

namespace boragepick {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

unsigned RefusalOf(ServingFixture& fixture, RequestId id) {
  for (const RefuseRequest& refused : fixture.Take<RefuseRequest>()) {
    if (refused.id == id)
      return refused.status;
  }
  return 0;
}

TEST(ServingRouter, RefusesUntilItHasAConfiguration) {
  ServingFixture fixture;
  const RequestId id = fixture.Arrive("/read/1");
  EXPECT_EQ(RefusalOf(fixture, id), 503U);
  EXPECT_FALSE(fixture.router().Ready());
  fixture.Begin();
  EXPECT_TRUE(fixture.router().Ready());
}

TEST(ServingRouter, ChecksRouteAndKey) {
  ServingFixture fixture;
  fixture.Begin();
  EXPECT_EQ(RefusalOf(fixture, fixture.Arrive("/none/1")), 404U);
  EXPECT_EQ(RefusalOf(fixture, fixture.Arrive("/read/1", "", "")), 401U);
  EXPECT_EQ(RefusalOf(fixture, fixture.Arrive("/read/1", "", "other")), 401U);
  EXPECT_EQ(RefusalOf(fixture, fixture.Arrive("/open/1", "", "")), 0U);
}

TEST(ServingRouter, AKeyIsWorthNothingWithoutProofThatItIsCurrent) {
  ServingFixture fixture;
  fixture.Begin();
  fixture.Pass(milliseconds(4'600), /*proofs=*/false);
  EXPECT_FALSE(fixture.router().Ready());
  EXPECT_EQ(RefusalOf(fixture, fixture.Arrive("/read/1")), 503U);
  EXPECT_EQ(RefusalOf(fixture, fixture.Arrive("/open/1", "", "")), 0U);
  fixture.Prove();
  EXPECT_EQ(RefusalOf(fixture, fixture.Arrive("/read/1")), 0U);
}

TEST(ServingRouter, AHeldRequestLosesItsRightWithItsKey) {
  ServingFixture fixture;
  fixture.Begin();
  const RequestId id = fixture.Arrive("/review/1", "m3");
  EXPECT_TRUE(fixture.Take<SendAttempt>().empty());
  ServingConfig config = SmallConfig();
  config.version = 2;
  config.teams["team"].key_sha256 = {"new"};
  fixture.Feed(ConfigReceived{
      .config = std::make_shared<const ConfigIndex>(std::move(config))});
  EXPECT_EQ(RefusalOf(fixture, id), 401U);
}

TEST(ServingRouter, AnOlderConfigurationNeverComesBack) {
  ServingFixture fixture;
  ServingConfig config = SmallConfig();
  config.version = 5;
  fixture.Begin(std::move(config));
  ServingConfig older = SmallConfig();
  older.version = 4;
  older.routes.clear();
  fixture.Feed(ConfigReceived{
      .config = std::make_shared<const ConfigIndex>(std::move(older))});
  EXPECT_EQ(RefusalOf(fixture, fixture.Arrive("/read/1")), 0U);
}

TEST(ServingRouter, ARejectedRequestGoesToAnotherWorker) {
  ServingFixture fixture;
  fixture.Begin();
  fixture.Arrive("/book/1");
  const auto first = fixture.Take<SendAttempt>();
  ASSERT_EQ(first.size(), 1U);
  fixture.Feed(
      AttemptHeadReceived{.attempt = first[0].attempt,
                          .head = {.status = 503, .not_executed = true}});
  const auto second = fixture.Take<SendAttempt>();
  ASSERT_EQ(second.size(), 1U);
  EXPECT_NE(second[0].worker, first[0].worker);
}

TEST(ServingRouter, ARequestThatMayNotBeRepeatedIsSentOnce) {
  ServingFixture fixture;
  fixture.Begin();
  const RequestId id = fixture.Arrive("/book/1");
  const auto sent = fixture.Take<SendAttempt>();
  ASSERT_EQ(sent.size(), 1U);
  EXPECT_FALSE(sent[0].repeatable);
  fixture.Feed(AttemptFailed{.attempt = sent[0].attempt,
                             .failure = AttemptFailure::kReset});
  EXPECT_TRUE(fixture.Take<SendAttempt>().empty());
  EXPECT_EQ(RefusalOf(fixture, id), 502U);
}

TEST(ServingRouter, ATimeOutOfWhatMayHaveRunPromisesNothing) {
  ServingFixture fixture;
  fixture.Begin();
  const RequestId id = fixture.Arrive("/book/1");
  ASSERT_EQ(fixture.Take<SendAttempt>().size(), 1U);
  fixture.Pass(milliseconds(700));
  EXPECT_EQ(RefusalOf(fixture, id), 504U);
  EXPECT_EQ(fixture.Take<CancelAttempt>().size(), 1U);
}

TEST(ServingRouter, AnswersBeforeTheRoutesTimeIsOver) {
  ServingFixture fixture;
  fixture.Begin();
  const TimePoint arrived = fixture.now;
  const RequestId id = fixture.Arrive("/read/1");
  unsigned status = 0;
  while (status == 0 && fixture.now - arrived < seconds(2)) {
    fixture.Pass(milliseconds(10));
    status = RefusalOf(fixture, id);
  }
  EXPECT_NE(status, 0U);
  EXPECT_LE(fixture.now - arrived, milliseconds(600 + 20));
}

TEST(ServingRouter, TheCallerThatLeavesEndsItsRun) {
  ServingFixture fixture;
  fixture.Begin();
  const RequestId id = fixture.Arrive("/ask/1", "m1");
  const auto sent = fixture.Take<SendAttempt>();
  fixture.Feed(CallerDisconnected{.id = id});
  const auto cancelled = fixture.Take<CancelAttempt>();
  ASSERT_EQ(cancelled.size(), 1U);
  EXPECT_EQ(cancelled[0].attempt, sent[0].attempt);
  EXPECT_EQ(fixture.router().requests().open(), 0U);
}

TEST(ServingRouter, AStreamGoesOnAtAnotherWorkerBehindItsLastEvent) {
  ServingFixture fixture;
  fixture.Begin();
  fixture.Arrive("/ask/1", "m1");
  const auto first = fixture.Take<SendAttempt>();
  fixture.Answer(first[0].attempt);
  fixture.Event(first[0].attempt, 1);
  fixture.Event(first[0].attempt, 2);
  // half an event is not passed on
  fixture.Feed(
      AttemptBodyReceived{.attempt = first[0].attempt, .bytes = "id: 3\nda"});
  fixture.Feed(AttemptFailed{.attempt = first[0].attempt,
                             .failure = AttemptFailure::kReset});
  const auto second = fixture.Take<SendAttempt>();
  ASSERT_EQ(second.size(), 1U);
  EXPECT_NE(second[0].worker, first[0].worker);
  EXPECT_EQ(second[0].resume_after, 2U);
  fixture.Answer(second[0].attempt);
  fixture.Event(second[0].attempt, 3);
  fixture.Feed(AttemptCompleted{.attempt = second[0].attempt});
  EXPECT_EQ(fixture.Take<SendResponseHead>().size(), 1U);
  std::string body;
  for (const SendResponseBody& bytes : fixture.Take<SendResponseBody>())
    body += bytes.bytes;
  EXPECT_EQ(body, "id: 1\ndata: x\n\nid: 2\ndata: x\n\nid: 3\ndata: x\n\n");
  EXPECT_EQ(fixture.Take<EndResponse>().size(), 1U);
}

TEST(ServingRouter, ASilentWorkerIsLeftOnlyForAnother) {
  ServingFixture fixture;
  fixture.Begin();
  // m1 is loaded at two workers, m2 at one
  fixture.Arrive("/ask/1", "m1");
  const auto left = fixture.Take<SendAttempt>();
  fixture.Pass(seconds(2));
  EXPECT_EQ(fixture.Take<CancelAttempt>().size(), 1U);
  EXPECT_NE(fixture.Take<SendAttempt>()[0].worker, left[0].worker);
  fixture.Arrive("/ask/1", "m2");
  ASSERT_EQ(fixture.Take<SendAttempt>().size(), 1U);
  fixture.Pass(seconds(2));
  EXPECT_TRUE(fixture.Take<CancelAttempt>().empty());
}

TEST(ServingRouter, ABrokenStreamWaitsForItsModelElsewhere) {
  ServingFixture fixture;
  fixture.Begin();
  fixture.Arrive("/ask/1", "m2");
  const auto first = fixture.Take<SendAttempt>();
  fixture.Answer(first[0].attempt);
  for (int id = 1; id <= 20; ++id) {
    fixture.Pass(milliseconds(200));
    fixture.Event(first[0].attempt, id);
  }
  fixture.Feed(AttemptFailed{.attempt = first[0].attempt,
                             .failure = AttemptFailure::kReset});
  fixture.Pass(milliseconds(1'000));
  EXPECT_TRUE(fixture.Take<AbortResponse>().empty());
  WorkerEntry loaded = EngineWorker("w3", {"m2"});
  fixture.Feed(WorkerListed{.entry = loaded});
  const auto second = fixture.Take<SendAttempt>();
  ASSERT_EQ(second.size(), 1U);
  EXPECT_EQ(second[0].resume_after, 20U);
}

TEST(ServingRouter, AStreamThatCantGoOnIsBrokenOff) {
  ServingFixture fixture;
  fixture.Begin();
  fixture.Arrive("/review/1", "m1");
  const auto sent = fixture.Take<SendAttempt>();
  fixture.Answer(sent[0].attempt);
  fixture.Event(sent[0].attempt, 1);
  fixture.Feed(AttemptFailed{.attempt = sent[0].attempt,
                             .failure = AttemptFailure::kReset});
  EXPECT_EQ(fixture.Take<AbortResponse>().size(), 1U);
  EXPECT_TRUE(fixture.Take<EndResponse>().empty());
}

TEST(ServingRouter, AStreamThatEndsInsideAnEventIsNotComplete) {
  ServingFixture fixture;
  fixture.Begin();
  fixture.Arrive("/review/1", "m1");
  const auto sent = fixture.Take<SendAttempt>();
  fixture.Answer(sent[0].attempt);
  fixture.Event(sent[0].attempt, 1);
  fixture.Feed(
      AttemptBodyReceived{.attempt = sent[0].attempt, .bytes = "id: 2\n"});
  fixture.Feed(AttemptCompleted{.attempt = sent[0].attempt});
  EXPECT_EQ(fixture.Take<AbortResponse>().size(), 1U);
}

TEST(ServingRouter, ASuccessWithoutSignatureIsNone) {
  ServingFixture fixture;
  fixture.Begin();
  const RequestId id = fixture.Arrive("/book/1");
  const auto sent = fixture.Take<SendAttempt>();
  fixture.Feed(
      AttemptHeadReceived{.attempt = sent[0].attempt, .head = {.status = 200}});
  EXPECT_EQ(RefusalOf(fixture, id), 502U);
}

TEST(ServingRouter, ARequestWaitsForItsModelAndRunsWhenItHasCome) {
  ServingFixture fixture;
  fixture.Begin();
  fixture.Arrive("/review/1", "m3");
  EXPECT_TRUE(fixture.Take<SendAttempt>().empty());
  const auto asks = fixture.Take<SendToEndpoint>();
  ASSERT_EQ(asks.size(), 1U);
  EXPECT_EQ(std::get<LoadAsk>(asks[0].message).model, "m3");
  const std::string ip = IpOf(asks[0].endpoint);
  fixture.now += milliseconds(900);
  fixture.Prove();
  EngineNews news{.contents = {.born = 1}};
  news.contents.models.push_back({.name = "m3", .version = 1});
  fixture.Feed(PeerReceived{.from = {.vm = "c", .endpoint = ip + ":7"},
                            .message = news});
  const auto sent = fixture.Take<SendAttempt>();
  ASSERT_EQ(sent.size(), 1U);
  EXPECT_EQ(IpOf(sent[0].address), ip);
}

TEST(ServingRouter, AWorkerWithoutTheModelAfterAllIsNotAskedAgain) {
  ServingFixture fixture;
  fixture.Begin();
  fixture.Arrive("/review/1", "m2");
  const auto sent = fixture.Take<SendAttempt>();
  ASSERT_EQ(sent.size(), 1U);
  fixture.Feed(
      AttemptHeadReceived{.attempt = sent[0].attempt,
                          .head = {.status = 421, .not_executed = true}});
  EXPECT_TRUE(fixture.Take<SendAttempt>().empty());
  EXPECT_FALSE(fixture.Take<SendToEndpoint>().empty());
}

TEST(ServingRouter, ADrainingWorkerGetsNothingNew) {
  ServingFixture fixture;
  fixture.Begin();
  WorkerEntry leaving = PlainWorker("p1");
  leaving.state = WorkerState::kDraining;
  fixture.Feed(WorkerListed{.entry = leaving});
  for (int i = 0; i < 10; ++i)
    fixture.Arrive("/book/1");
  for (const SendAttempt& sent : fixture.Take<SendAttempt>())
    EXPECT_EQ(sent.worker, "p2");
}

TEST(ServingRouter, WorkersThatLapsedInAnOutageMayComeBack) {
  ServingFixture fixture;
  fixture.Begin();
  fixture.Feed(WorkerListUnavailable{});
  fixture.Feed(WorkerUnlisted{.id = "p1"});
  fixture.Feed(WorkerListRestored{});
  fixture.Feed(WorkerUnlisted{.id = "p2"});
  EXPECT_EQ(fixture.router().state().workers.size(), 5U);
  fixture.Pass(seconds(1));
  fixture.Feed(WorkerListed{.entry = PlainWorker("p1")});
  fixture.Pass(seconds(2));
  EXPECT_NE(fixture.router().state().workers.Find("p1"), nullptr);
  EXPECT_EQ(fixture.router().state().workers.Find("p2"), nullptr);
}

TEST(ServingRouter, DrainsWhenItsRequestsAreAnswered) {
  ServingFixture fixture;
  fixture.Begin();
  fixture.Arrive("/review/1", "m1");
  const auto sent = fixture.Take<SendAttempt>();
  fixture.Feed(ServingDrainRequested{});
  EXPECT_FALSE(fixture.router().Ready());
  fixture.Pass(seconds(4));
  EXPECT_EQ(fixture.Take<StopAccepting>().size(), 1U);
  EXPECT_TRUE(fixture.Take<ServingDrained>().empty());
  fixture.Answer(sent[0].attempt);
  fixture.Event(sent[0].attempt, 1);
  fixture.Feed(AttemptCompleted{.attempt = sent[0].attempt});
  fixture.Pass(milliseconds(100));
  EXPECT_EQ(fixture.Take<ServingDrained>().size(), 1U);
}

TEST(ServingRouter, NothingEndsUnansweredWhenTheDrainIsOver) {
  ServingFixture fixture;
  fixture.Begin();
  const RequestId held = fixture.Arrive("/review/1", "m3");
  const RequestId running = fixture.Arrive("/review/1", "m1");
  fixture.Feed(ServingDrainRequested{});
  fixture.Pass(fixture.router().state().options.drain_limit +
               milliseconds(100));
  std::map<RequestId, unsigned> statuses;
  for (const RefuseRequest& refused : fixture.Take<RefuseRequest>())
    statuses[refused.id] = refused.status;
  EXPECT_EQ(statuses[held], 503U);
  EXPECT_EQ(statuses[running], 502U);
  EXPECT_EQ(fixture.Take<ServingDrained>().size(), 1U);
}

// Breaks the worker of the latest sending; it comes back as another run.
void BreakWorker(ServingFixture& fixture, std::int64_t next_born) {
  const SendAttempt sent = fixture.Take<SendAttempt>().back();
  fixture.Feed(AttemptFailed{.attempt = sent.attempt});
  WorkerEntry again = EngineWorker(sent.worker, {"m1"});
  again.contents.born = next_born;
  fixture.Feed(WorkerListed{.entry = again});
}

TEST(ServingRouter, ARequestThatBreaksWorkerAfterWorkerIsRefused) {
  ServingFixture fixture;
  fixture.Begin();
  fixture.Arrive("/review/poison", "m1");
  BreakWorker(fixture, 2);
  fixture.Arrive("/review/poison", "m1");
  BreakWorker(fixture, 3);
  EXPECT_EQ(fixture.Take<RefuseRequest>().back().code, "worker_failed");
  fixture.Arrive("/review/poison", "m1");
  BreakWorker(fixture, 4);
  fixture.effects.clear();
  fixture.Arrive("/review/poison", "m1");
  EXPECT_TRUE(fixture.Take<SendAttempt>().empty());
  const auto refused = fixture.Take<RefuseRequest>();
  ASSERT_EQ(refused.size(), 1U);
  EXPECT_EQ(refused[0].code, "breaks_workers");
  // another request is none of it
  fixture.Arrive("/review/other", "m1");
  EXPECT_FALSE(fixture.Take<SendAttempt>().empty());
}

TEST(ServingRouter, ARequestThatRanWholeIsNotWhatBrokeTheWorkers) {
  ServingFixture fixture;
  fixture.Begin();
  for (std::int64_t born = 2; born < 8; ++born) {
    fixture.Arrive("/review/x", "m1");
    BreakWorker(fixture, born);
    fixture.Pass(seconds(1));
    fixture.effects.clear();
    fixture.Arrive("/review/x", "m1");
    const AttemptNumber attempt = fixture.Take<SendAttempt>().back().attempt;
    fixture.Answer(attempt);
    fixture.Event(attempt, 1);
    fixture.Feed(AttemptCompleted{.attempt = attempt});
  }
  EXPECT_TRUE(fixture.Take<RefuseRequest>().empty());
}

TEST(ServingRouter, AnotherRouterTellsOfARequestThatBreaksWorkers) {
  ServingFixture one;
  ServingFixture other;
  one.Begin();
  other.Begin();
  one.Feed(RouterSeen{.record = {.vm = "r2", .endpoint = "10.1.0.2:7"}});
  for (std::int64_t born = 2; born < 5; ++born) {
    one.Arrive("/review/poison", "m1");
    BreakWorker(one, born);
  }
  for (const SendToEndpoint& sent : one.Take<SendToEndpoint>()) {
    if (std::holds_alternative<CrashNotice>(sent.message))
      other.Feed(PeerReceived{.from = {.vm = "r1"}, .message = sent.message});
  }
  other.Arrive("/review/poison", "m1");
  const auto refused = other.Take<RefuseRequest>();
  ASSERT_EQ(refused.size(), 1U);
  EXPECT_EQ(refused[0].code, "breaks_workers");
}

TEST(ServingRouter, MeasuresWhatCallersWaitFor) {
  ServingFixture fixture;
  fixture.Begin();
  fixture.Arrive("/review/1", "m1");
  const AttemptNumber attempt = fixture.Take<SendAttempt>()[0].attempt;
  fixture.Pass(milliseconds(300));
  fixture.Answer(attempt);
  fixture.Event(attempt, 1);
  fixture.Pass(milliseconds(300));
  fixture.Feed(AttemptCompleted{.attempt = attempt});
  const ServingMetrics& metrics = fixture.router().requests().metrics();
  EXPECT_EQ(metrics.first_byte.Count(), 1U);
  EXPECT_NEAR(metrics.first_byte.SumSeconds(), 0.3, 0.05);
  EXPECT_NEAR(metrics.whole_answer.SumSeconds(), 0.6, 0.05);
  EXPECT_EQ(metrics.quota_wait.Count(), 1U);
  EXPECT_EQ(metrics.hold.Count(), 0U);
}

// A worker resets connections beyond its limit: what is beyond waits or goes to
// another.
TEST(ServingRouter, KeepsToTheConnectionsOfAWorker) {
  ServingConfig config = SmallConfig();
  config.services["plain"].max_connections = 3;
  ServingFixture fixture;
  fixture.Begin(config);
  for (int i = 0; i < 8; ++i)
    fixture.Arrive("/book/1");
  std::map<std::string, int> sent;
  for (const SendAttempt& attempt : fixture.Take<SendAttempt>())
    ++sent[attempt.worker];
  EXPECT_EQ(sent["p1"], 3);
  EXPECT_EQ(sent["p2"], 3);
}

TEST(ServingRouter, RetriesStayWithinTheBudget) {
  ServingFixture fixture({.vm = "r1",
                          .data_centre = "a",
                          .controller_port = 7,
                          .retry_share = 0.2,
                          .retry_reserve = 50});
  fixture.Begin();
  std::size_t sent = 0;
  constexpr std::size_t kRequests = 500;
  for (std::size_t i = 0; i < kRequests; ++i) {
    fixture.Arrive("/read/1");
    for (auto attempts = fixture.Take<SendAttempt>(); !attempts.empty();
         attempts = fixture.Take<SendAttempt>()) {
      sent += attempts.size();
      fixture.Feed(
          AttemptHeadReceived{.attempt = attempts[0].attempt,
                              .head = {.status = 503, .not_executed = true}});
    }
    fixture.now += milliseconds(10);
    fixture.Prove();
  }
  // one fifth of the requests, and of five routers' reserve one part
  EXPECT_LE(sent - kRequests, kRequests / 5 + 50 / 5);
  EXPECT_GT(sent, kRequests);
}

}  // namespace
}  // namespace boragepick
