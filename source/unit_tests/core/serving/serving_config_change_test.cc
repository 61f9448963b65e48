// Tests of configurations that arrive while requests are being served.

#include <gtest/gtest.h>

#include <functional>

#include "unit_tests/core/serving/serving_fixture.h"

namespace boragepick {
namespace {

using std::chrono::milliseconds;

class ServingConfigChange : public testing::Test {
 protected:
  ServingConfigChange() { m_fixture.Start(); }

  // Applies the next version with the given changes.
  void Change(const std::function<void(ServingConfig&)>& change) {
    ServingConfig config = SmallConfig();
    config.version = ++m_version;
    change(config);
    m_fixture.Handle(ConfigReceived{
        .config = std::make_shared<const ConfigIndex>(std::move(config))});
    m_fixture.ConfirmConfig();
  }

  // Starts a stream on the route "ask" and breaks it after its first event.
  void BreakStreamAfter(const std::function<void(ServingConfig&)>& change) {
    m_fixture.ReceiveRequest("/ask/1", "m1");
    const auto sent = m_fixture.TakeEffects<SendAttempt>();
    ASSERT_EQ(sent.size(), 1U);
    m_fixture.RespondHead(sent[0].attempt);
    m_fixture.RespondEvent(sent[0].attempt, 1);
    Change(change);
    m_fixture.Handle(AttemptFailed{.attempt = sent[0].attempt,
                                   .failure = AttemptFailure::kReset});
  }

  // Expects that the broken stream goes on at an engine to its end.
  void ExpectResumed() {
    EXPECT_TRUE(m_fixture.TakeEffects<AbortResponse>().empty());
    const auto sent = m_fixture.TakeEffects<SendAttempt>();
    ASSERT_EQ(sent.size(), 1U);
    EXPECT_EQ(sent[0].worker[0], 'w');
    EXPECT_EQ(sent[0].resume_after, 1U);
    m_fixture.RespondHead(sent[0].attempt);
    // Starts with an event that the caller already has.
    m_fixture.RespondEvent(sent[0].attempt, 1);
    m_fixture.RespondEvent(sent[0].attempt, 2);
    m_fixture.Handle(AttemptCompleted{.attempt = sent[0].attempt});
    std::string body;
    for (const auto& bytes : m_fixture.TakeEffects<SendResponseBody>())
      body += bytes.bytes;
    EXPECT_EQ(body, "id: 1\ndata: x\n\nid: 2\ndata: x\n\n");
    EXPECT_EQ(m_fixture.TakeEffects<EndResponse>().size(), 1U);
  }

  ServingFixture m_fixture;
  std::uint64_t m_version = 1;
};

TEST_F(ServingConfigChange, ResumesAStreamWhoseRouteWasRemoved) {
  BreakStreamAfter([](ServingConfig& config) {
    config.routes.erase(config.routes.begin());
  });
  ExpectResumed();
}

TEST_F(ServingConfigChange, ResumesAStreamWhoseKeyWasRevoked) {
  BreakStreamAfter(
      [](ServingConfig& config) { config.teams["team"].key_sha256 = {"new"}; });
  ExpectResumed();
}

TEST_F(ServingConfigChange, ResumesAStreamAtItsServiceIfTheRouteMoved) {
  BreakStreamAfter([](ServingConfig& config) {
    config.routes[0].splits = {{.service = "plain"}};
  });
  ExpectResumed();
}

TEST_F(ServingConfigChange, ResumesAStreamWhoseServiceWasRemoved) {
  BreakStreamAfter([](ServingConfig& config) {
    config.routes[0].splits = {{.service = "plain"}};
    config.services.erase("engines");
  });
  ExpectResumed();
}

TEST_F(ServingConfigChange, ResumesAStreamWhoseRouteChangedItsKind) {
  BreakStreamAfter([](ServingConfig& config) {
    config.routes[0].kind = RequestKind::kIdempotent;
  });
  ExpectResumed();
}

TEST_F(ServingConfigChange, ResumesAStreamWhoseTimeoutWasLowered) {
  m_fixture.ReceiveRequest("/ask/1", "m1");
  const auto sent = m_fixture.TakeEffects<SendAttempt>();
  m_fixture.RespondHead(sent[0].attempt);
  for (int id = 1; id <= 10; ++id) {
    m_fixture.Advance(milliseconds(300));
    m_fixture.RespondEvent(sent[0].attempt, id);
  }
  Change([](ServingConfig& config) {
    config.routes[0].timeout = milliseconds(2'000);
  });
  m_fixture.Handle(AttemptFailed{.attempt = sent[0].attempt,
                                 .failure = AttemptFailure::kReset});
  EXPECT_TRUE(m_fixture.TakeEffects<AbortResponse>().empty());
  EXPECT_EQ(m_fixture.TakeEffects<SendAttempt>().size(), 1U);
}

// A request without a response follows the newest configuration.
TEST_F(ServingConfigChange,
       SendsAHeldRequestToTheServiceOfTheNewConfiguration) {
  m_fixture.ReceiveRequest("/ask/1", "m3");
  EXPECT_TRUE(m_fixture.TakeEffects<SendAttempt>().empty());
  Change([](ServingConfig& config) {
    config.services["engines2"] = config.services["engines"];
    config.services["engines2"].name = "engines2";
    config.routes[0].splits = {{.service = "engines2"}};
  });
  WorkerEntry other = EngineWorker("w7", {"m3"});
  other.service = "engines2";
  m_fixture.Handle(WorkerListed{.entry = other});
  const auto sent = m_fixture.TakeEffects<SendAttempt>();
  ASSERT_EQ(sent.size(), 1U);
  EXPECT_EQ(sent[0].worker, "w7");
}

TEST_F(ServingConfigChange, DoesNotRepeatARunThatMayNoLongerBeRepeated) {
  const RequestId id = m_fixture.ReceiveRequest("/ask/1", "m1");
  const auto sent = m_fixture.TakeEffects<SendAttempt>();
  Change([](ServingConfig& config) { config.routes[0].resumable = false; });
  m_fixture.Handle(AttemptFailed{.attempt = sent[0].attempt,
                                 .failure = AttemptFailure::kReset});
  EXPECT_TRUE(m_fixture.TakeEffects<SendAttempt>().empty());
  const auto refused = m_fixture.TakeEffects<RefuseRequest>();
  ASSERT_EQ(refused.size(), 1U);
  EXPECT_EQ(refused[0].id, id);
  EXPECT_EQ(refused[0].status, 502U);
}

// A store that came back from a copy has an older version for a while. Keys
// that the newer one withdrew are not confirmed by it.
TEST_F(ServingConfigChange, AnOlderVersionIsNeitherAppliedNorConfirmed) {
  Change([](ServingConfig&) {});
  Change([](ServingConfig&) {});
  const auto confirmed_at = [this] {
    return m_fixture.router().state().config_confirmed_at;
  };
  const TimePoint before = confirmed_at();
  const auto receive = [this](std::uint64_t version) {
    ServingConfig config = SmallConfig();
    config.version = version;
    m_fixture.Handle(ConfigReceived{
        .config = std::make_shared<const ConfigIndex>(std::move(config))});
    m_fixture.now += milliseconds(10);
    m_fixture.ConfirmConfig();
  };
  receive(m_version - 1);
  EXPECT_EQ(m_fixture.router().state().config->config().version, m_version);
  EXPECT_EQ(confirmed_at(), before);
  receive(m_version);
  EXPECT_EQ(confirmed_at(), m_fixture.now);
}

}  // namespace
}  // namespace boragepick
