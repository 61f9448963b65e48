// Tests of workers that fall silent: silence alone never ends a response.

#include <gtest/gtest.h>

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

}  // namespace
}  // namespace boragepick
