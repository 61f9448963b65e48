// Tests of workers that fall silent: a response isn't ended for silence before
// its deadline.

#include <gtest/gtest.h>

#include <algorithm>

#include "unit_tests/core/serving/serving_fixture.h"

namespace boragepick {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

ServingOptions OptionsWithRetries(double reserve) {
  return {.vm = "r1",
          .data_centre = "a",
          .endpoint = "10.1.0.1:7",
          .controller_port = 7,
          .retry_share = 0.2,
          .retry_reserve = reserve};
}

class ServingSilence : public testing::Test {
 protected:
  // Sends a request for a stream and its first event.
  SendAttempt BeginStream(ServingFixture& fixture,
                          const std::string& model = "m1") {
    m_request = fixture.ReceiveRequest("/ask/1", model);
    const auto sent = fixture.TakeEffects<SendAttempt>();
    EXPECT_EQ(sent.size(), 1U);
    fixture.RespondHead(sent[0].attempt);
    fixture.RespondEvent(sent[0].attempt, 1);
    return sent[0];
  }
  bool WasAborted(ServingFixture& fixture) const {
    return std::ranges::any_of(
        fixture.TakeEffects<AbortResponse>(),
        [this](const AbortResponse& abort) { return abort.id == m_request; });
  }
  static void Reject(ServingFixture& fixture, AttemptNumber attempt) {
    fixture.Handle(AttemptHeadReceived{
        .attempt = attempt, .head = {.status = 503, .not_executed = true}});
  }
  // Rejects the only attempt that was sent.
  static void RejectAttempt(ServingFixture& fixture) {
    const auto sent = fixture.TakeEffects<SendAttempt>();
    ASSERT_EQ(sent.size(), 1U);
    Reject(fixture, sent[0].attempt);
  }
  static void ListMoreEngines(ServingFixture& fixture) {
    for (const char* id : {"w4", "w5", "w6", "w7"})
      fixture.Handle(WorkerListed{.entry = EngineWorker(id, {"m1"})});
  }

  RequestId m_request = 0;
};

// The worker pauses for two seconds; the only other one is full.
TEST_F(ServingSilence, AStreamGoesOnAfterAPauseIfTheOtherWorkerIsFull) {
  ServingFixture fixture{OptionsWithRetries(50)};
  fixture.Start();
  const SendAttempt begun = BeginStream(fixture);
  const auto reject_others = [&fixture](Duration duration) {
    for (Duration waited{}; waited < duration; waited += milliseconds(50)) {
      fixture.Advance(milliseconds(50));
      for (const SendAttempt& sent : fixture.TakeEffects<SendAttempt>())
        Reject(fixture, sent.attempt);
    }
  };
  reject_others(seconds(2));
  fixture.RespondEvent(begun.attempt, 2);
  fixture.Handle(AttemptCompleted{.attempt = begun.attempt});
  reject_others(seconds(3));
  EXPECT_TRUE(fixture.TakeEffects<AbortResponse>().empty());
  EXPECT_EQ(fixture.TakeEffects<EndResponse>().size(), 1U);
}

TEST_F(ServingSilence, KeepsAnAttemptThatPausesForASecond) {
  ServingFixture fixture(OptionsWithRetries(50));
  fixture.Start();
  const SendAttempt sent = BeginStream(fixture);
  fixture.Advance(milliseconds(1'300));
  EXPECT_TRUE(fixture.TakeEffects<CancelAttempt>().empty());
  fixture.RespondEvent(sent.attempt, 2);
  fixture.Handle(AttemptCompleted{.attempt = sent.attempt});
  EXPECT_EQ(fixture.TakeEffects<EndResponse>().size(), 1U);
}

// New requests avoid a silent worker before its streams are given up.
TEST_F(ServingSilence, SuspectsASilentWorkerBeforeItGivesUpItsStream) {
  ServingFixture fixture(OptionsWithRetries(50));
  fixture.Start();
  const SendAttempt sent = BeginStream(fixture);
  fixture.Advance(milliseconds(900));
  EXPECT_TRUE(fixture.TakeEffects<CancelAttempt>().empty());
  for (int i = 0; i < 5; ++i)
    fixture.ReceiveRequest("/review/1", "m1");
  for (const SendAttempt& next : fixture.TakeEffects<SendAttempt>())
    EXPECT_NE(next.worker, sent.worker);
}

TEST_F(ServingSilence, KeepsASilentAttemptIfTheRetryBudgetIsSpent) {
  ServingFixture fixture(OptionsWithRetries(0));
  fixture.Start();
  const SendAttempt sent = BeginStream(fixture);
  fixture.Advance(seconds(3));
  EXPECT_FALSE(WasAborted(fixture));
  fixture.RespondEvent(sent.attempt, 2);
  fixture.Handle(AttemptCompleted{.attempt = sent.attempt});
  EXPECT_EQ(fixture.TakeEffects<EndResponse>().size(), 1U);
}

TEST_F(ServingSilence, DoesNotRefuseASilentRequestIfTheRetryBudgetIsSpent) {
  ServingFixture fixture(OptionsWithRetries(0));
  fixture.Start();
  fixture.ReceiveRequest("/read/1");
  const auto sent = fixture.TakeEffects<SendAttempt>();
  fixture.Advance(milliseconds(500));
  EXPECT_TRUE(fixture.TakeEffects<RefuseRequest>().empty());
  fixture.RespondHead(sent[0].attempt);
  fixture.Handle(AttemptCompleted{.attempt = sent[0].attempt});
  EXPECT_EQ(fixture.TakeEffects<SendResponse>().size(), 1U);
}

// The body arrives slowly, but without a pause.
TEST_F(ServingSilence, APlainResponseThatKeepsArrivingIsNotSilent) {
  ServingFixture fixture(OptionsWithRetries(50));
  fixture.Start();
  fixture.ReceiveRequest("/read/1");
  const auto sent = fixture.TakeEffects<SendAttempt>();
  ASSERT_EQ(sent.size(), 1U);
  fixture.Advance(milliseconds(100));
  fixture.RespondHead(sent[0].attempt);
  for (int i = 0; i < 8; ++i) {
    fixture.Handle(
        AttemptBodyReceived{.attempt = sent[0].attempt, .bytes = "part"});
    fixture.Advance(milliseconds(50));
  }
  EXPECT_TRUE(fixture.TakeEffects<CancelAttempt>().empty());
  fixture.Handle(AttemptCompleted{.attempt = sent[0].attempt});
  EXPECT_EQ(fixture.TakeEffects<SendResponse>().size(), 1U);
}

TEST_F(ServingSilence, APlainResponseIsNotSilentRightAfterItsHead) {
  ServingFixture fixture(OptionsWithRetries(50));
  fixture.Start();
  fixture.ReceiveRequest("/read/1");
  const auto sent = fixture.TakeEffects<SendAttempt>();
  ASSERT_EQ(sent.size(), 1U);
  fixture.Advance(milliseconds(100));
  fixture.RespondHead(sent[0].attempt);
  fixture.Advance(milliseconds(200));
  EXPECT_TRUE(fixture.TakeEffects<CancelAttempt>().empty());
  EXPECT_TRUE(fixture.TakeEffects<SendAttempt>().empty());
  // Another worker is tried, and the silent one cancelled once that worker has
  // not rejected the request.
  fixture.Advance(milliseconds(100));
  EXPECT_EQ(fixture.TakeEffects<SendAttempt>().size(), 1U);
  fixture.Advance(milliseconds(180));
  EXPECT_EQ(fixture.TakeEffects<CancelAttempt>().size(), 1U);
}

// The silent worker responds before another one has accepted the request.
TEST_F(ServingSilence, ContinuesASilentAttemptThatRespondsFirst) {
  ServingFixture fixture(OptionsWithRetries(50));
  fixture.Start();
  const SendAttempt first = BeginStream(fixture);
  fixture.Advance(milliseconds(1'600));
  const auto second = fixture.TakeEffects<SendAttempt>();
  ASSERT_EQ(second.size(), 1U);
  EXPECT_TRUE(fixture.TakeEffects<CancelAttempt>().empty());
  fixture.RespondEvent(first.attempt, 2);
  const auto cancelled = fixture.TakeEffects<CancelAttempt>();
  ASSERT_EQ(cancelled.size(), 1U);
  EXPECT_EQ(cancelled[0].attempt, second[0].attempt);
  fixture.RespondHead(second[0].attempt);
  fixture.RespondEvent(second[0].attempt, 2);
  fixture.RespondEvent(first.attempt, 3);
  fixture.Handle(AttemptCompleted{.attempt = first.attempt});
  std::string body;
  for (const SendResponseBody& part : fixture.TakeEffects<SendResponseBody>())
    body += part.bytes;
  EXPECT_EQ(body, "id: 1\ndata: x\n\nid: 2\ndata: x\n\nid: 3\ndata: x\n\n");
  EXPECT_EQ(fixture.TakeEffects<EndResponse>().size(), 1U);
  EXPECT_EQ(fixture.router().requests().open(), 0U);
}

TEST_F(ServingSilence, CancelsBothAttemptsOfACallerThatLeaves) {
  ServingFixture fixture(OptionsWithRetries(50));
  fixture.Start();
  BeginStream(fixture);
  fixture.Advance(milliseconds(1'600));
  ASSERT_EQ(fixture.TakeEffects<SendAttempt>().size(), 1U);
  fixture.Handle(CallerDisconnected{.id = m_request});
  EXPECT_EQ(fixture.TakeEffects<CancelAttempt>().size(), 2U);
  for (const auto& [id, worker] : fixture.router().state().workers.workers())
    EXPECT_EQ(worker.running, 0U) << id;
}

// Bytes that complete no event, and comments, come now and then.
TEST_F(ServingSilence, LeavesAStalledStreamThatSendsBytesNowAndThen) {
  for (const std::string bytes : {"i", ": alive\n\n"}) {
    ServingFixture fixture(OptionsWithRetries(50));
    fixture.Start();
    const SendAttempt begun = BeginStream(fixture);
    for (int i = 0; i < 10; ++i) {
      fixture.Advance(milliseconds(200));
      fixture.Handle(
          AttemptBodyReceived{.attempt = begun.attempt, .bytes = bytes});
    }
    const auto second = fixture.TakeEffects<SendAttempt>();
    ASSERT_EQ(second.size(), 1U) << bytes;
    EXPECT_EQ(second[0].resume_after, 1U);
  }
}

// The longest pause that is no silence, again and again.
TEST_F(ServingSilence, KeepsASlowStreamThatGoesOn) {
  ServingFixture fixture(OptionsWithRetries(50));
  fixture.Start();
  const SendAttempt begun = BeginStream(fixture);
  for (int event = 2; event < 9; ++event) {
    fixture.Advance(milliseconds(1'300));
    fixture.RespondEvent(begun.attempt, event);
  }
  fixture.Handle(AttemptCompleted{.attempt = begun.attempt});
  EXPECT_TRUE(fixture.TakeEffects<CancelAttempt>().empty());
  EXPECT_TRUE(fixture.TakeEffects<SendAttempt>().empty());
  EXPECT_EQ(fixture.TakeEffects<EndResponse>().size(), 1U);
}

// A worker whose heartbeats are missing leaves the list while it runs a stream.
TEST_F(ServingSilence, AWorkerThatLeftTheListCompletesItsStream) {
  ServingFixture fixture(OptionsWithRetries(50));
  fixture.Start();
  const SendAttempt begun = BeginStream(fixture);
  fixture.Handle(WorkerUnlisted{.id = begun.worker});
  fixture.Advance(milliseconds(500));
  fixture.RespondEvent(begun.attempt, 2);
  fixture.Handle(AttemptCompleted{.attempt = begun.attempt});
  EXPECT_TRUE(fixture.TakeEffects<CancelAttempt>().empty());
  EXPECT_TRUE(fixture.TakeEffects<SendAttempt>().empty());
  EXPECT_EQ(fixture.TakeEffects<EndResponse>().size(), 1U);
}

// The worker that would take a silent stream over may be full.
TEST_F(ServingSilence, HoldsASilentStreamThatTheNextWorkerRejects) {
  ServingFixture fixture(OptionsWithRetries(50));
  fixture.Start();
  BeginStream(fixture);
  fixture.Advance(milliseconds(2'000));
  const auto second = fixture.TakeEffects<SendAttempt>();
  ASSERT_EQ(second.size(), 1U);
  Reject(fixture, second[0].attempt);
  fixture.Advance(milliseconds(2'500));
  EXPECT_FALSE(WasAborted(fixture));
  fixture.Handle(WorkerListed{.entry = EngineWorker("w3", {"m1"})});
  const auto third = fixture.TakeEffects<SendAttempt>();
  ASSERT_EQ(third.size(), 1U);
  EXPECT_EQ(third[0].resume_after, 1U);
  fixture.RespondHead(third[0].attempt);
  fixture.RespondEvent(third[0].attempt, 2);
  fixture.Handle(AttemptCompleted{.attempt = third[0].attempt});
  EXPECT_EQ(fixture.TakeEffects<EndResponse>().size(), 1U);
}

// Several workers may be full.
TEST_F(ServingSilence, ResumesASilentStreamAfterItsAttemptsWereRejected) {
  ServingFixture fixture(OptionsWithRetries(500));
  fixture.Start();
  ListMoreEngines(fixture);
  const SendAttempt begun = BeginStream(fixture);
  fixture.Advance(milliseconds(1'600));
  for (int i = 0; i < 4; ++i)
    RejectAttempt(fixture);
  // No worker has accepted the stream, so the silent run goes on.
  for (const CancelAttempt& cancel : fixture.TakeEffects<CancelAttempt>())
    EXPECT_NE(cancel.attempt, begun.attempt);
  fixture.Handle(WorkerListed{.entry = EngineWorker("w9", {"m1"})});
  fixture.Advance(milliseconds(200));
  const auto sent = fixture.TakeEffects<SendAttempt>();
  ASSERT_EQ(sent.size(), 1U);
  EXPECT_EQ(sent[0].resume_after, 1U);
  fixture.RespondHead(sent[0].attempt);
  EXPECT_EQ(fixture.TakeEffects<CancelAttempt>().size(), 1U);
  fixture.RespondEvent(sent[0].attempt, 2);
  fixture.Handle(AttemptCompleted{.attempt = sent[0].attempt});
  EXPECT_FALSE(WasAborted(fixture));
  EXPECT_EQ(fixture.TakeEffects<EndResponse>().size(), 1U);
}

TEST_F(ServingSilence, ResumesASilentStreamAfterItsLastAttemptWasNotSent) {
  ServingFixture fixture(OptionsWithRetries(500));
  fixture.Start();
  ListMoreEngines(fixture);
  BeginStream(fixture);
  fixture.Advance(milliseconds(1'600));
  for (int i = 0; i < 3; ++i)
    RejectAttempt(fixture);
  const auto refused = fixture.TakeEffects<SendAttempt>();
  ASSERT_EQ(refused.size(), 1U);
  fixture.Handle(AttemptFailed{.attempt = refused[0].attempt,
                               .failure = AttemptFailure::kNotSent});
  EXPECT_FALSE(WasAborted(fixture));
  fixture.Advance(milliseconds(200));
  EXPECT_EQ(fixture.TakeEffects<SendAttempt>().size(), 1U);
}

TEST_F(ServingSilence, KeepsASilentAttemptThatIsTheLastOne) {
  ServingFixture fixture(OptionsWithRetries(500));
  fixture.Start();
  ListMoreEngines(fixture);
  fixture.ReceiveRequest("/ask/1", "m1");
  for (int i = 0; i < 4; ++i)
    RejectAttempt(fixture);
  const auto sent = fixture.TakeEffects<SendAttempt>();
  ASSERT_EQ(sent.size(), 1U);
  fixture.effects.clear();
  fixture.RespondHead(sent[0].attempt);
  fixture.RespondEvent(sent[0].attempt, 1);
  fixture.Advance(seconds(3));
  EXPECT_TRUE(fixture.TakeEffects<CancelAttempt>().empty());
  fixture.RespondEvent(sent[0].attempt, 2);
  fixture.Handle(AttemptCompleted{.attempt = sent[0].attempt});
  EXPECT_EQ(fixture.TakeEffects<EndResponse>().size(), 1U);
}

// The retries of other requests may spend the budget in the meantime.
TEST_F(ServingSilence, HoldsARejectedSilentStreamUntilTheBudgetAllowsARetry) {
  ServingFixture fixture(OptionsWithRetries(50));
  fixture.Start();
  fixture.Handle(WorkerListed{.entry = EngineWorker("w3", {"m1"})});
  BeginStream(fixture);
  fixture.Advance(milliseconds(2'000));
  const auto second = fixture.TakeEffects<SendAttempt>();
  ASSERT_EQ(second.size(), 1U);
  for (int i = 0; i < 40; ++i) {
    fixture.ReceiveRequest("/review/1", "m1");
    Reject(fixture, fixture.TakeEffects<SendAttempt>()[0].attempt);
    for (const SendAttempt& retry : fixture.TakeEffects<SendAttempt>())
      Reject(fixture, retry.attempt);
    fixture.TakeEffects<SendAttempt>();
  }
  Reject(fixture, second[0].attempt);
  EXPECT_FALSE(WasAborted(fixture));
  fixture.effects.clear();
  // First attempts earn retries, and the stream is sent as soon as there is
  // one.
  for (int i = 0; i < 20; ++i)
    fixture.ReceiveRequest("/review/1", "m2");
  const auto third = fixture.TakeEffects<SendAttempt>();
  EXPECT_TRUE(std::ranges::any_of(third, [this](const SendAttempt& sent) {
    return sent.request->id == m_request;
  }));
}

TEST_F(ServingSilence, AbortsAHeldSilentStreamAtItsDeadline) {
  ServingFixture fixture(OptionsWithRetries(50));
  fixture.Start();
  BeginStream(fixture);
  fixture.Advance(milliseconds(2'000));
  const auto second = fixture.TakeEffects<SendAttempt>();
  ASSERT_EQ(second.size(), 1U);
  Reject(fixture, second[0].attempt);
  fixture.Advance(seconds(7));
  EXPECT_FALSE(WasAborted(fixture));
  fixture.Advance(seconds(2));
  EXPECT_TRUE(WasAborted(fixture));
}

}  // namespace
}  // namespace boragepick
