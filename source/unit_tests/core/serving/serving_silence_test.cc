// Tests of workers that fall silent: silence alone never ends a response.

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
  RequestId m_request = 0;
};

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

}  // namespace
}  // namespace boragepick
