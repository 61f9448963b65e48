// Responses that their callers read slowly or not at all, and responses without
// end.

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>
#include <map>

#include "unit_tests/core/serving/serving_fixture.h"

namespace boragepick {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kPool = 1 << 20;
constexpr std::size_t kWindow = 100'000;
constexpr std::size_t kMinWindow = 10'000;

ServingOptions FlowOptions() {
  return {.vm = "r1",
          .data_centre = "a",
          .endpoint = "10.1.0.1:7",
          .controller_port = 7,
          .response_flow = {.pool_bytes = kPool,
                            .window_bytes = kWindow,
                            .min_window_bytes = kMinWindow}};
}

class ServingFlow : public testing::Test {
 protected:
  void SetUp() override { fixture.Start(); }

  SendAttempt Begin(const std::string& path, const std::string& model = "") {
    fixture.ReceiveRequest(path, model);
    const auto sent = fixture.TakeEffects<SendAttempt>();
    EXPECT_EQ(sent.size(), 1U);
    fixture.RespondHead(sent[0].attempt);
    return sent[0];
  }
  void Receive(const SendAttempt& sent, const std::string& bytes) {
    fixture.Handle(
        AttemptBodyReceived{.attempt = sent.attempt, .bytes = bytes});
  }
  void SetUnsent(const SendAttempt& sent, std::size_t bytes) {
    total += bytes - unsent[sent.attempt];
    unsent[sent.attempt] = bytes;
    fixture.Handle(
        ResponseUnsent{.id = sent.request->id, .bytes = bytes, .total = total});
  }
  std::vector<AttemptNumber> Paused() {
    std::vector<AttemptNumber> attempts;
    for (const PauseAttempt& effect : fixture.TakeEffects<PauseAttempt>())
      attempts.push_back(effect.attempt);
    return attempts;
  }
  std::vector<AttemptNumber> Resumed() {
    std::vector<AttemptNumber> attempts;
    for (const ResumeAttempt& effect : fixture.TakeEffects<ResumeAttempt>())
      attempts.push_back(effect.attempt);
    return attempts;
  }

  ServingFixture fixture{FlowOptions()};
  std::map<AttemptNumber, std::size_t> unsent;
  std::size_t total = 0;
};

using Attempts = std::vector<AttemptNumber>;

TEST_F(ServingFlow, AWorkerWaitsWhileItsCallerDoesNotRead) {
  const SendAttempt sent = Begin("/ask/1", "m1");
  Receive(sent, "id: 1\n\n");
  SetUnsent(sent, kWindow - 1);
  EXPECT_EQ(Paused(), Attempts{});
  SetUnsent(sent, kWindow);
  EXPECT_EQ(Paused(), Attempts{sent.attempt});
  SetUnsent(sent, kWindow + 1'000);
  EXPECT_EQ(Paused(), Attempts{});
  SetUnsent(sent, kWindow / 2 + 1);
  EXPECT_EQ(Resumed(), Attempts{});
  SetUnsent(sent, kWindow / 2);
  EXPECT_EQ(Resumed(), Attempts{sent.attempt});
}

// A paused worker can't send, so its silence is no reason to give it up.
TEST_F(ServingFlow, APausedStreamIsNotTakenForASilentOne) {
  const SendAttempt sent = Begin("/ask/1", "m1");
  Receive(sent, "id: 1\n\n");
  SetUnsent(sent, kWindow);
  fixture.Advance(seconds(4));
  EXPECT_TRUE(fixture.TakeEffects<CancelAttempt>().empty());
  EXPECT_TRUE(fixture.TakeEffects<SendAttempt>().empty());
  SetUnsent(sent, 0);
  Receive(sent, "id: 2\n\n");
  fixture.Handle(AttemptCompleted{.attempt = sent.attempt});
  EXPECT_EQ(fixture.TakeEffects<EndResponse>().size(), 1U);
  // Silence counts again from then on.
  const SendAttempt other = Begin("/ask/2", "m1");
  Receive(other, "id: 1\n\n");
  SetUnsent(other, kWindow);
  SetUnsent(other, 0);
  fixture.Advance(seconds(4));
  EXPECT_FALSE(fixture.TakeEffects<SendAttempt>().empty());
}

TEST_F(ServingFlow, APausedResponseEndsAtItsDeadline) {
  const SendAttempt sent = Begin("/read/1");
  Receive(sent, std::string(2 << 20, 'x'));
  SetUnsent(sent, 2 << 20);
  EXPECT_EQ(Paused(), Attempts{sent.attempt});
  fixture.Advance(seconds(1));
  EXPECT_EQ(fixture.TakeEffects<AbortResponse>().size(), 1U);
  EXPECT_EQ(fixture.TakeEffects<CancelAttempt>().size(), 1U);
}

// Many callers that don't read use up the memory: each may hold less, but a
// response whose caller reads goes on.
TEST_F(ServingFlow, WindowsAreSmallWhileMemoryIsShort) {
  std::vector<SendAttempt> stalled;
  for (int i = 0; i < 8; ++i) {
    stalled.push_back(Begin("/ask/1", "m1"));
    SetUnsent(stalled.back(), kPool / 8);
  }
  EXPECT_EQ(Paused().size(), 8U);
  const SendAttempt reading = Begin("/ask/1", "m1");
  SetUnsent(reading, kMinWindow - 1);
  EXPECT_EQ(Paused(), Attempts{});
  SetUnsent(reading, kMinWindow);
  EXPECT_EQ(Paused(), Attempts{reading.attempt});
  SetUnsent(reading, 0);
  EXPECT_EQ(Resumed(), Attempts{reading.attempt});
  // Memory is free again: those that hold less than their window go on.
  SetUnsent(reading, kMinWindow);
  EXPECT_EQ(Paused(), Attempts{reading.attempt});
  SetUnsent(stalled[0], 0);
  EXPECT_EQ(Resumed(), (Attempts{stalled[0].attempt, reading.attempt}));
}

// Plain responses are held back to their end, so that they can be retried.
TEST_F(ServingFlow, ResponsesAreNotHeldBackWhileMemoryIsShort) {
  SendAttempt sent = Begin("/read/1");
  Receive(sent, std::string(kMinWindow, 'x'));
  EXPECT_TRUE(fixture.TakeEffects<SendResponseHead>().empty());
  const SendAttempt stalled = Begin("/ask/1", "m1");
  SetUnsent(stalled, kPool);
  Receive(sent, "x");
  EXPECT_EQ(fixture.TakeEffects<SendResponseHead>().size(), 1U);
  EXPECT_EQ(fixture.TakeEffects<SendResponseBody>().size(), 1U);
  EXPECT_EQ(fixture.router().requests().response_flow().held_bytes(), kPool);
  fixture.Handle(AttemptCompleted{.attempt = sent.attempt});
  EXPECT_EQ(fixture.TakeEffects<EndResponse>().size(), 1U);
}

// A worker sends one event without end.
TEST_F(ServingFlow, AnEventWithoutEndIsGivenUp) {
  const SendAttempt sent = Begin("/review/1", "m1");
  for (std::size_t size = 0; size <= EventSplitter::kMaxEventSize;
       size += 64 << 10)
    Receive(sent, std::string(64 << 10, 'x'));
  EXPECT_EQ(fixture.TakeEffects<CancelAttempt>().size(), 1U);
  EXPECT_EQ(fixture.router().requests().response_flow().held_bytes(), 0U);
}

// An unfinished event can't be passed on to make room. Usual events are small
// enough.
TEST_F(ServingFlow, LargeEventsAreGivenUpWhileMemoryIsShort) {
  const SendAttempt endless = Begin("/review/1", "m1");
  Receive(endless, "data: " + std::string(kPool / 2, 'x'));
  const SendAttempt stalled = Begin("/ask/1", "m1");
  SetUnsent(stalled, kPool / 2);
  EXPECT_TRUE(fixture.TakeEffects<CancelAttempt>().empty());
  const SendAttempt usual = Begin("/ask/1", "m1");
  Receive(usual, "id: 1\ndata: " + std::string(kMinWindow / 2, 'x'));
  EXPECT_TRUE(fixture.TakeEffects<CancelAttempt>().empty());
  Receive(usual, "\n\n");
  EXPECT_EQ(fixture.TakeEffects<SendResponseBody>().size(), 1U);
  Receive(endless, "x");
  EXPECT_EQ(fixture.TakeEffects<CancelAttempt>().size(), 1U);
}

// Whatever is received, read, completed and cancelled, the router counts what
// it holds, and nothing is paused for good.
RC_GTEST_PROP(ServingFlowHistory, HeldBytesAreCounted, ()) {
  ServingFixture fixture(FlowOptions());
  fixture.Start();
  struct Response {
    SendAttempt sent;
    std::size_t unsent = 0;
    bool paused = false;
  };
  std::map<AttemptNumber, Response> open;
  std::size_t total = 0;
  const auto set_unsent = [&](Response& response, std::size_t bytes) {
    total += bytes - response.unsent;
    response.unsent = bytes;
    fixture.Handle(ResponseUnsent{
        .id = response.sent.request->id, .bytes = bytes, .total = total});
  };
  const auto collect = [&] {
    for (const SendAttempt& sent : fixture.TakeEffects<SendAttempt>()) {
      open[sent.attempt] = {.sent = sent};
      fixture.RespondHead(sent.attempt);
    }
    for (const PauseAttempt& paused : fixture.TakeEffects<PauseAttempt>()) {
      if (const auto found = open.find(paused.attempt); found != open.end())
        found->second.paused = true;
    }
    for (const ResumeAttempt& resumed : fixture.TakeEffects<ResumeAttempt>())
      open.at(resumed.attempt).paused = false;
    for (const CancelAttempt& cancelled : fixture.TakeEffects<CancelAttempt>())
      open.erase(cancelled.attempt);
  };
  const int steps = *rc::gen::inRange(10, 150);
  for (int step = 0; step < steps; ++step) {
    const bool stream = *rc::gen::arbitrary<bool>();
    if (open.empty() || *rc::gen::inRange(0, 4) == 0) {
      fixture.ReceiveRequest(stream ? "/ask/1" : "/read/1", stream ? "m1" : "");
      collect();
      continue;
    }
    auto entry = open.begin();
    std::advance(entry, *rc::gen::inRange<std::size_t>(0, open.size()));
    Response& response = entry->second;
    const auto bytes =
        static_cast<std::size_t>(*rc::gen::inRange(0, 2 * int{kWindow}));
    switch (*rc::gen::inRange(0, 5)) {
      case 0:
        set_unsent(response, bytes);
        break;
      case 1:
        set_unsent(response, 0);
        break;
      case 2: {
        total -= response.unsent;
        const AttemptNumber attempt = entry->first;
        open.erase(entry);
        fixture.Handle(AttemptFailed{.attempt = attempt,
                                     .failure = AttemptFailure::kReset});
        break;
      }
      case 3:
        fixture.Advance(milliseconds(*rc::gen::inRange(1, 50)));
        break;
      default:
        if (!response.paused)
          fixture.Handle(AttemptBodyReceived{.attempt = entry->first,
                                             .bytes = std::string(bytes, 'x')});
    }
    collect();
  }
  for (auto& [attempt, response] : open)
    set_unsent(response, 0);
  collect();
  for (const auto& [attempt, response] : open)
    RC_ASSERT(!response.paused);
  const ResponseFlow& flow = fixture.router().requests().response_flow();
  fixture.Advance(seconds(30));
  RC_ASSERT(fixture.router().requests().open() == 0U);
  fixture.Handle(ResponseUnsent{});
  RC_ASSERT(flow.held_bytes() == 0U);
}

}  // namespace
}  // namespace boragepick
