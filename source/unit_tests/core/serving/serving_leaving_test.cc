// Workers that say in their responses that they are leaving, or that they want
// no requests for a while.

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>
#include <algorithm>
#include <map>

#include "unit_tests/core/serving/serving_fixture.h"

namespace boragepick {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class ServingLeaving : public testing::Test {
 protected:
  void SetUp() override { fixture.Start(); }

  SendAttempt Send(const std::string& path, const std::string& model = "") {
    fixture.ReceiveRequest(path, model);
    const auto sent = fixture.TakeEffects<SendAttempt>();
    EXPECT_EQ(sent.size(), 1U);
    return sent.empty() ? SendAttempt{} : sent[0];
  }
  void Answer(const SendAttempt& sent, bool leaving) {
    fixture.Handle(AttemptHeadReceived{
        .attempt = sent.attempt,
        .head = {.status = 200, .is_signed = true, .leaving = leaving}});
    fixture.Handle(AttemptCompleted{.attempt = sent.attempt});
  }
  void Reject(const SendAttempt& sent, std::optional<Duration> pause) {
    fixture.Handle(AttemptHeadReceived{
        .attempt = sent.attempt,
        .head = {.status = 503, .not_executed = true, .retry_after = pause}});
  }
  // Whether the worker gets some of many requests that run at the same time.
  bool IsUsed(const std::string& worker) {
    bool used = false;
    for (int i = 0; i < 20; ++i)
      fixture.ReceiveRequest("/read/1");
    for (const SendAttempt& sent : fixture.TakeEffects<SendAttempt>()) {
      used = used || sent.worker == worker;
      Answer(sent, false);
    }
    return used;
  }
  ServingFixture fixture;
};

TEST_F(ServingLeaving, AWorkerThatSaysSoInAResponseGetsNothingMore) {
  const SendAttempt sent = Send("/read/1");
  Answer(sent, true);
  EXPECT_FALSE(IsUsed(sent.worker));
}

TEST_F(ServingLeaving, ARejectionAndAFailureSayItToo) {
  const SendAttempt rejected = Send("/read/1");
  fixture.Handle(AttemptHeadReceived{
      .attempt = rejected.attempt,
      .head = {.status = 503, .not_executed = true, .leaving = true}});
  EXPECT_FALSE(IsUsed(rejected.worker));
}

// Its entry still says that it is ready, is removed, and comes back.
TEST_F(ServingLeaving, TheListDoesNotTakeItBack) {
  const SendAttempt sent = Send("/read/1");
  Answer(sent, true);
  fixture.Handle(WorkerListed{.entry = PlainWorker(sent.worker)});
  EXPECT_FALSE(IsUsed(sent.worker));
  fixture.Handle(WorkerUnlisted{.id = sent.worker});
  fixture.Handle(WorkerListed{.entry = PlainWorker(sent.worker)});
  EXPECT_FALSE(IsUsed(sent.worker));
}

TEST_F(ServingLeaving, ANewProcessUnderTheSameIdIsUsed) {
  const SendAttempt sent = Send("/read/1");
  Answer(sent, true);
  WorkerEntry restarted = PlainWorker(sent.worker);
  restarted.contents.born = 2;
  fixture.Handle(WorkerListed{.entry = restarted});
  EXPECT_TRUE(IsUsed(sent.worker));
}

// The response of an earlier process arrives after its successor was listed.
TEST_F(ServingLeaving, AnEarlierProcessSpeaksOnlyForItself) {
  const SendAttempt sent = Send("/read/1");
  WorkerEntry restarted = PlainWorker(sent.worker);
  restarted.contents.born = 2;
  fixture.Handle(WorkerListed{.entry = restarted});
  Answer(sent, true);
  EXPECT_TRUE(IsUsed(sent.worker));
}

TEST_F(ServingLeaving, ARunningStreamEndsAndNoLoadIsRequestedThere) {
  const SendAttempt sent = Send("/ask/1", "m1");
  fixture.Handle(AttemptHeadReceived{
      .attempt = sent.attempt,
      .head = {.status = 200, .is_signed = true, .leaving = true}});
  fixture.RespondEvent(sent.attempt, 1);
  fixture.Advance(milliseconds(300));
  fixture.RespondEvent(sent.attempt, 2);
  fixture.Handle(AttemptCompleted{.attempt = sent.attempt});
  EXPECT_EQ(fixture.TakeEffects<EndResponse>().size(), 1U);
  fixture.TakeEffects<SendToEndpoint>();
  fixture.ReceiveRequest("/ask/2", "m3");
  fixture.Advance(seconds(2));
  const std::string address =
      EngineWorker(sent.worker, {}).address.substr(0, 8) + ":7";
  const auto messages = fixture.TakeEffects<SendToEndpoint>();
  EXPECT_FALSE(messages.empty());
  for (const SendToEndpoint& message : messages)
    EXPECT_NE(message.endpoint, address);
}

TEST_F(ServingLeaving, APausingWorkerGetsNothingUntilThePauseEnds) {
  const SendAttempt sent = Send("/read/1");
  Reject(sent, seconds(2));
  fixture.TakeEffects<SendAttempt>();
  EXPECT_FALSE(IsUsed(sent.worker));
  fixture.Advance(milliseconds(1'990));
  EXPECT_FALSE(IsUsed(sent.worker));
  fixture.Advance(milliseconds(20));
  EXPECT_TRUE(IsUsed(sent.worker));
}

// The list and a restart of the worker.
TEST_F(ServingLeaving, ANewEntryDoesNotEndAPauseButANewProcessDoes) {
  const SendAttempt sent = Send("/read/1");
  Reject(sent, seconds(60));
  fixture.TakeEffects<SendAttempt>();
  fixture.Handle(WorkerListed{.entry = PlainWorker(sent.worker)});
  EXPECT_FALSE(IsUsed(sent.worker));
  WorkerEntry restarted = PlainWorker(sent.worker);
  restarted.contents.born = 2;
  fixture.Handle(WorkerListed{.entry = restarted});
  EXPECT_TRUE(IsUsed(sent.worker));
}

TEST_F(ServingLeaving, RequestsAreRejectedAtOnceWhileAllWorkersPause) {
  Reject(Send("/read/1"), seconds(3));
  for (const SendAttempt& sent : fixture.TakeEffects<SendAttempt>())
    Reject(sent, seconds(5));
  fixture.effects.clear();
  std::vector<Duration> returns;
  for (int i = 0; i < 20; ++i) {
    fixture.ReceiveRequest("/book/1");
    EXPECT_TRUE(fixture.TakeEffects<SendAttempt>().empty());
    for (const RefuseRequest& refusal : fixture.TakeEffects<RefuseRequest>()) {
      EXPECT_EQ(refusal.status, 503U);
      returns.push_back(refusal.retry_after);
    }
  }
  ASSERT_EQ(returns.size(), 20U);
  const auto [first, last] = std::ranges::minmax(returns);
  EXPECT_GE(first, seconds(3));
  EXPECT_LE(last, seconds(6));
  // The callers don't return all at once.
  EXPECT_GE(last - first, seconds(1));
}

// The pause ends before the request is late.
TEST_F(ServingLeaving, ARequestWaitsForTheEndOfAShortPause) {
  Reject(Send("/read/1"), milliseconds(30));
  for (const SendAttempt& sent : fixture.TakeEffects<SendAttempt>())
    Reject(sent, milliseconds(30));
  fixture.effects.clear();
  fixture.ReceiveRequest("/book/1");
  EXPECT_TRUE(fixture.TakeEffects<RefuseRequest>().empty());
  fixture.Advance(milliseconds(150));
  const auto sent = fixture.TakeEffects<SendAttempt>();
  EXPECT_TRUE(std::ranges::any_of(sent, [](const SendAttempt& attempt) {
    return attempt.request->target == "/book/1";
  }));
}

// Nothing is sent to a worker that pauses or is leaving, and none is avoided
// for good.
RC_GTEST_PROP(ServingLeavingHistory, StatementsOfWorkersAreKept, ()) {
  ServingFixture fixture;
  fixture.Start();
  struct State {
    std::int64_t born = 1;
    bool leaving = false;
    TimePoint paused_until = TimePoint{};
  };
  std::map<std::string, State> states{{"p1", {}}, {"p2", {}}};
  const auto list = [&](const std::string& id) {
    WorkerEntry entry = PlainWorker(id);
    entry.contents.born = states[id].born;
    fixture.Handle(WorkerListed{.entry = entry});
  };
  std::vector<SendAttempt> running;
  const auto collect = [&] {
    for (const SendAttempt& sent : fixture.TakeEffects<SendAttempt>()) {
      const State& state = states[sent.worker];
      RC_ASSERT(!state.leaving);
      RC_ASSERT(fixture.now >= state.paused_until);
      running.push_back(sent);
    }
  };
  const int steps = *rc::gen::inRange(20, 120);
  for (int step = 0; step < steps; ++step) {
    const std::string id = *rc::gen::element<std::string>("p1", "p2");
    switch (*rc::gen::inRange(0, 7)) {
      case 0:
      case 1:
        fixture.ReceiveRequest("/read/1");
        break;
      case 2:
        list(id);
        break;
      case 3:
        states[id] = {.born = states[id].born + 1};
        list(id);
        break;
      case 4:
        fixture.Advance(milliseconds(*rc::gen::inRange(1, 800)));
        break;
      default: {
        if (running.empty())
          break;
        const SendAttempt sent = running.back();
        running.pop_back();
        State& state = states[sent.worker];
        const bool leaving = *rc::gen::inRange(0, 4) == 0;
        const bool rejects = *rc::gen::inRange(0, 3) == 0;
        const auto pause = milliseconds(*rc::gen::inRange(1, 3'000));
        // The statement counts if the worker is not a newer process by now.
        const Worker* worker =
            fixture.router().state().workers.Find(sent.worker);
        const bool is_open =
            fixture.router().requests().open() > 0 && worker != nullptr;
        UpstreamResponseHead head{
            .status = 200, .is_signed = true, .leaving = leaving};
        if (rejects)
          head = {.status = 503,
                  .not_executed = true,
                  .leaving = leaving,
                  .retry_after = pause};
        const auto before = fixture.now;
        const bool was_leaving = worker->is_leaving;
        const TimePoint was_paused = worker->paused_until;
        fixture.Handle(AttemptHeadReceived{.attempt = sent.attempt,
                                           .head = std::move(head)});
        if (is_open && worker->is_leaving && !was_leaving) {
          RC_ASSERT(leaving);
          state.leaving = true;
        }
        if (is_open && worker->paused_until != was_paused) {
          RC_ASSERT(rejects);
          RC_ASSERT(worker->paused_until == before + pause);
          state.paused_until = worker->paused_until;
        }
        if (!rejects)
          fixture.Handle(AttemptCompleted{.attempt = sent.attempt});
        break;
      }
    }
    collect();
  }
  // All are used again after a restart.
  for (const char* id : {"p1", "p2"}) {
    states[id] = {.born = states[id].born + 1};
    list(id);
  }
  fixture.Advance(seconds(15));
  collect();
  std::map<std::string, int> used;
  // A worker whose requests failed is chosen when the other one has many.
  for (int i = 0; i < 1'000 && used.size() < 2; ++i) {
    fixture.ReceiveRequest("/read/1");
    for (const SendAttempt& sent : fixture.TakeEffects<SendAttempt>())
      ++used[sent.worker];
  }
  RC_ASSERT(used.size() == 2U);
}

}  // namespace
}  // namespace boragepick
