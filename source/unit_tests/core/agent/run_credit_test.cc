// Runs whose responses an agent must not read further than their routers
// permit.

#include <gtest/gtest.h>

#include <chrono>
#include <string>
#include <vector>

#include "core/agent/agent.h"

namespace boragepick {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class RunCreditTest : public testing::Test {
 protected:
  std::vector<AgentEffect> Receive(PeerMessage message) {
    return agent.Handle(
        now,
        PeerMessageReceived{
            .from = {.vm = "r1", .incarnation = 1, .endpoint = "10.0.0.1:7"},
            .message = std::move(message)});
  }
  // Starts a run and returns its number; 0 if it is refused.
  RunNumber Start(std::uint64_t request,
                  std::uint64_t limit,
                  const std::string& body = "") {
    const auto effects = Receive(RunRequest{.id = {.request = request},
                                            .body = body,
                                            .remaining_time = seconds(60),
                                            .response_limit = limit});
    for (const AgentEffect& effect : effects) {
      if (const auto* start = std::get_if<StartRun>(&effect))
        return start->run;
    }
    return 0;
  }
  void Send(RunNumber run, std::size_t bytes) {
    agent.Handle(now,
                 UpstreamBytes{.run = run, .bytes = std::string(bytes, 'x')});
  }
  // Advances the time and returns whether a run was cancelled.
  bool IsCancelled(Duration duration) {
    bool cancelled = false;
    for (const TimePoint end = now + duration; now < end;) {
      now += milliseconds(100);
      for (const AgentEffect& effect : agent.Handle(now, Ticked{}))
        cancelled |= std::holds_alternative<CancelUpstreamRun>(effect);
    }
    return cancelled;
  }
  static const ExtendUpstreamRun* FindExtension(
      const std::vector<AgentEffect>& effects) {
    for (const AgentEffect& effect : effects) {
      if (const auto* extension = std::get_if<ExtendUpstreamRun>(&effect))
        return extension;
    }
    return nullptr;
  }

  TimePoint now = TimePoint(seconds(100));
  Agent agent{{.vm = "a1",
               .data_centre = "a",
               .incarnation = 1,
               .endpoint = "10.0.0.2:7",
               .pool = "orders",
               .max_request_bytes = 1'000,
               .progress_timeout = seconds(2)}};
};

TEST_F(RunCreditTest, ACreditExtendsItsRun) {
  const RunNumber run = Start(1, 1'000);
  ASSERT_NE(run, 0U);
  const auto effects =
      Receive(RunCredit{.id = {.request = 1}, .response_limit = 3'000});
  const auto* extension = FindExtension(effects);
  ASSERT_NE(extension, nullptr);
  EXPECT_EQ(extension->run, run);
  EXPECT_EQ(extension->response_limit, 3'000U);
  // Credits that are late or repeated, and those of other attempts.
  for (const std::uint64_t limit : {2'000, 3'000})
    EXPECT_EQ(FindExtension(Receive(
                  RunCredit{.id = {.request = 1}, .response_limit = limit})),
              nullptr);
  EXPECT_EQ(FindExtension(Receive(RunCredit{.id = {.request = 1, .attempt = 1},
                                            .response_limit = 9'000})),
            nullptr);
}

// The upstream isn't read while the credit is used up, so its silence is no
// reason to end the run.
TEST_F(RunCreditTest, ARunThatAwaitsCreditIsNotSilent) {
  const RunNumber run = Start(1, 1'000);
  Send(run, 1'000);
  EXPECT_FALSE(IsCancelled(seconds(10)));
  Receive(RunCredit{.id = {.request = 1}, .response_limit = 2'000});
  EXPECT_FALSE(IsCancelled(milliseconds(1'900)));
  EXPECT_TRUE(IsCancelled(milliseconds(300)));
}

TEST_F(RunCreditTest, ARunWithCreditLeftCanBeSilent) {
  const RunNumber run = Start(1, 1'000);
  Send(run, 999);
  EXPECT_TRUE(IsCancelled(milliseconds(2'200)));
}

TEST_F(RunCreditTest, ARunWithoutALimitCanBeSilent) {
  const RunNumber run = Start(1, 0);
  Send(run, 999);
  EXPECT_TRUE(IsCancelled(milliseconds(2'200)));
}

// Requests that wait or run would otherwise use up the agent's memory.
TEST_F(RunCreditTest, RequestsBeyondTheMemoryAreRefused) {
  const RunNumber first = Start(1, 0, std::string(600, 'b'));
  ASSERT_NE(first, 0U);
  EXPECT_EQ(Start(2, 0, std::string(401, 'b')), 0U);
  EXPECT_NE(Start(3, 0, std::string(400, 'b')), 0U);
  agent.Handle(now, UpstreamEnded{.run = first});
  EXPECT_NE(Start(4, 0, std::string(600, 'b')), 0U);
}

}  // namespace
}  // namespace boragepick
