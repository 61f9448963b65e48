// Real daemons and stand-ins on loopback, under kills, freezes, outages and
// stops. Each wait is for a condition, with a generous deadline.

#include <gtest/gtest.h>
#include <signal.h>
#include <zmq.h>

#include <atomic>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "unit_tests/end_to_end/deployment.h"

namespace boragepick {
namespace {

using Answer = Deployment::Answer;

constexpr int kTokens = 8;

std::size_t CountEvents(const std::string& body) {
  std::size_t events = 0;
  for (std::size_t at = body.find("data: {"); at != std::string::npos;
       at = body.find("data: {", at + 1))
    ++events;
  return events;
}

// Warms model m up, so that a test begins with a served request.
void Warm(Deployment& deployment, const std::string& router) {
  const Answer answer =
      deployment.Ask(router, {.body = Deployment::Chat("m", 1)});
  ASSERT_EQ(answer.status, 200U) << answer.body;
}

// Sends requests from several threads until stopped; collects the answers.
class Traffic {
 public:
  Traffic(Deployment& deployment, std::string router, int threads) {
    for (int i = 0; i < threads; ++i) {
      m_threads.emplace_back([this, &deployment, router, i] {
        for (int n = 0; !m_stop; ++n) {
          const std::string prompt =
              std::to_string(i) + "-" + std::to_string(n);
          const Answer answer = deployment.Ask(
              router, {.body = Deployment::Chat("m", kTokens, prompt)});
          const std::lock_guard lock(m_mutex);
          m_answers.push_back(answer);
        }
      });
    }
  }
  ~Traffic() { Stop(); }
  Traffic(const Traffic&) = delete;
  Traffic& operator=(const Traffic&) = delete;

  std::vector<Answer> Stop() {
    m_stop = true;
    for (std::thread& thread : m_threads)
      thread.join();
    m_threads.clear();
    return m_answers;
  }
  std::size_t Count() {
    const std::lock_guard lock(m_mutex);
    return m_answers.size();
  }

 private:
  std::atomic<bool> m_stop = false;
  std::mutex m_mutex;
  std::vector<Answer> m_answers;
  std::vector<std::thread> m_threads;
};

TEST(EndToEnd, BadInputGetsAClearErrorAndChangesNothing) {
  Deployment deployment({.engines = 1, .services = 1});
  const auto code = [&](const Deployment::Call& call) {
    const Answer answer = deployment.Ask("r0", call);
    const std::size_t at = answer.body.find("\"code\":\"");
    return at == std::string::npos
               ? answer.body
               : answer.body.substr(at + 8,
                                    answer.body.find('"', at + 8) - at - 8);
  };
  EXPECT_EQ(code({.body = "{\"model\":"}), "bad_request");
  EXPECT_EQ(code({.body = Deployment::Chat("nothing", 1)}), "model_unknown");
  EXPECT_EQ(code({.body = Deployment::Chat("m", 1), .key = "wrong"}),
            "key_unknown");
  EXPECT_EQ(code({.body = Deployment::Chat("m", 1), .key = ""}), "key_missing");
  EXPECT_EQ(code({.path = "/nowhere", .body = "{}"}), "route_unknown");
  EXPECT_EQ(code({.path = "/orders/x", .body = "{}"}),
            "idempotency_key_missing");
  EXPECT_EQ(code({.body = Deployment::Chat("m", 1'000'000)}), "over_burst");
  EXPECT_EQ(code({.body = std::string(9 << 20, 'x')}), "bad_request");
  const Answer unknown =
      deployment.Operate("r0", "PUT", "resources/team/t",
                         R"({"kind":"team","name":"t","team":{"colour":1}})");
  EXPECT_EQ(unknown.status, 400U);
  EXPECT_NE(unknown.body.find("colour"), std::string::npos);
  EXPECT_EQ(deployment.Operate("r0", "GET", "resources/team/t").status, 404U);
  const Answer conflict = deployment.Operate(
      "r0", "PUT", "resources/team/team-a",
      R"({"kind":"team","name":"team-a","resource_version":1,"team":{"rate_tokens_per_second":1,"burst_tokens":1}})");
  EXPECT_EQ(conflict.status, 409U);
  EXPECT_NE(conflict.body.find("expected resource_version 1, stored is"),
            std::string::npos);
  const Answer used =
      deployment.Operate("r0", "DELETE", "resources/team/team-a");
  EXPECT_EQ(used.status, 409U);
  Warm(deployment, "r0");
}

TEST(EndToEnd, ManyFirstRequestsCauseOneLoad) {
  Deployment deployment({.routers = 3, .engines = 2, .services = 0});
  std::vector<std::thread> callers;
  callers.reserve(30);
  std::atomic<int> whole = 0;
  for (int i = 0; i < 30; ++i) {
    callers.emplace_back([&, i] {
      const Answer answer = deployment.Ask(
          "r" + std::to_string(i % 3),
          {.body = Deployment::Chat("m", kTokens, std::to_string(i))});
      whole += answer.Whole() ? 1 : 0;
    });
  }
  for (std::thread& caller : callers)
    caller.join();
  EXPECT_EQ(whole, 30);
  EXPECT_EQ(deployment.Stat("e0", "loads") + deployment.Stat("e1", "loads"), 1);
}

TEST(EndToEnd, ServiceDownForTheWholeTestChangesNothingForCallers) {
  Deployment deployment({.engines = 2, .services = 0});
  // Permits are placed, nothing is loaded yet: the cold start comes in the
  // outage.
  ASSERT_TRUE(WaitUntil([&] {
    return deployment.Operate("r0", "GET", "status")
               .body.find("\"permitted_vms\":[\"w") != std::string::npos;
  }));
  ASSERT_TRUE(WaitUntil([&] {
    return deployment.Operate("r1", "GET", "status")
               .body.find("\"share_tokens_per_second\":50000") !=
           std::string::npos;
  }));
  deployment.Fault("kv", "down=1");
  Traffic traffic(deployment, "r1", 4);
  ASSERT_TRUE(WaitUntil([&] { return traffic.Count() >= 100; }));
  for (const Answer& answer : traffic.Stop()) {
    EXPECT_EQ(answer.status, 200U) << answer.body;
    EXPECT_TRUE(answer.Whole());
  }
}

TEST(EndToEnd, ARouterKilledUnderLoadRunsNoBookingTwice) {
  Deployment deployment({.routers = 3, .engines = 0, .services = 2});
  std::atomic<int> done = 0;
  std::vector<std::thread> callers;
  callers.reserve(6);
  for (int i = 0; i < 6; ++i) {
    callers.emplace_back([&, i] {
      for (int n = 0; n < 25; ++n) {
        const std::string booking = std::to_string(i) + "-" + std::to_string(n);
        // Each caller retries at another router until it knows.
        for (int attempt = 0; attempt < 6; ++attempt) {
          const std::string router = "r" + std::to_string((i + attempt) % 3);
          const Answer answer = deployment.Ask(
              router, {.path = "/orders/book",
                       .body = "{\"booking\":\"" + booking + "\"}",
                       .idempotency_key = booking,
                       .deadline_ms = 3000});
          if (answer.status == 200) {
            EXPECT_NE(answer.body.find("\"execution\":1,"), std::string::npos)
                << answer.body;
            ++done;
            break;
          }
        }
      }
    });
  }
  WaitUntil([&] { return done >= 20; });
  deployment.Kill("r2");
  // The platform notices, and its list proves the VM gone.
  deployment.ListWithout({"r2"});
  for (std::thread& caller : callers)
    caller.join();
  EXPECT_EQ(
      std::max(deployment.Stat("s0", "most"), deployment.Stat("s1", "most")),
      1);
  EXPECT_LE(
      deployment.Stat("s0", "distinct") + deployment.Stat("s1", "distinct"),
      150);
  EXPECT_EQ(
      deployment.Stat("s0", "keys_seen") + deployment.Stat("s1", "keys_seen"),
      0);
  EXPECT_GE(done, 100);
}

TEST(EndToEnd, AnAgentKilledMidLoadLosesNoRequest) {
  Deployment deployment({.engines = 2, .services = 0, .load_ms = 1500});
  std::vector<std::thread> callers;
  callers.reserve(6);
  std::atomic<int> whole = 0;
  for (int i = 0; i < 6; ++i) {
    callers.emplace_back([&, i] {
      const Answer answer = deployment.Ask(
          "r" + std::to_string(i % 2),
          {.body = Deployment::Chat("m", kTokens, std::to_string(i)),
           .deadline_ms = 40'000});
      whole += answer.Whole() ? 1 : 0;
    });
  }
  ASSERT_TRUE(WaitUntil([&] {
    return deployment.Stat("e0", "loads") + deployment.Stat("e1", "loads") > 0;
  }));
  const std::string loading = deployment.Stat("e0", "loads") > 0 ? "w0" : "w1";
  deployment.Kill(loading);
  deployment.Start(loading);
  for (std::thread& caller : callers)
    caller.join();
  EXPECT_EQ(whole, 6);
  EXPECT_EQ(deployment.Stat("e0", "overcommits") +
                deployment.Stat("e1", "overcommits"),
            0);
}

TEST(EndToEnd, AStreamCutMidwayIsResumedAtTheTokenWhereItStopped) {
  Deployment deployment({.engines = 2, .services = 0});
  Warm(deployment, "r0");
  const Deployment::Call call{.body =
                                  Deployment::Chat("m", 20, "the same prompt")};
  const Answer whole = deployment.Ask("r0", call);
  ASSERT_TRUE(whole.Whole());
  deployment.Fault("e0", "cut_after=7");
  deployment.Fault("e1", "cut_after=7");
  const Answer resumed = deployment.Ask("r0", call);
  EXPECT_EQ(resumed.body, whole.body);
}

TEST(EndToEnd, APoisonedPromptBringsDownAtMostTwoEngines) {
  Deployment deployment({.engines = 3, .services = 0});
  deployment.Apply("model", "m", R"("model":{"version":"m-v1","replicas":3})");
  Warm(deployment, "r0");
  for (int i = 0; i < 8; ++i) {
    const Answer answer = deployment.Ask(
        "r" + std::to_string(i % 2),
        {.body = Deployment::Chat("m", kTokens, "CRASH-ENGINE")});
    EXPECT_FALSE(answer.Whole());
  }
  std::int64_t crashes = 0;
  for (const char* engine : {"e0", "e1", "e2"})
    crashes += deployment.Stat(engine, "crashes");
  EXPECT_LE(crashes, 2);
  EXPECT_GE(crashes, 1);
  // Others are served again.
  ASSERT_TRUE(WaitUntil([&] {
    return deployment
        .Ask("r1", {.body = Deployment::Chat("m", kTokens, "innocent")})
        .Whole();
  }));
}

// The agent keeps its connections to an engine; the library must not send a
// request again by itself when one breaks.
TEST(EndToEnd, ABrokenKeptConnectionIsNotUsedAgainUnseen) {
  Deployment deployment({.routers = 1, .engines = 1, .services = 0});
  Warm(deployment, "r0");
  Warm(deployment, "r0");
  const Answer answer = deployment.Ask(
      "r0", {.body = Deployment::Chat("m", kTokens, "CRASH-ENGINE"),
             .deadline_ms = 250});
  EXPECT_FALSE(answer.Whole());
  EXPECT_EQ(deployment.Stat("e0", "crashes"), 1);
  EXPECT_EQ(deployment.Stat("e0", "while_down"), 0);
}

TEST(EndToEnd, AWithdrawnKeyEndsTheOpenStream) {
  Deployment deployment({.engines = 1, .services = 0, .token_ms = 50});
  Warm(deployment, "r0");
  std::atomic<bool> withdrawn = false;
  std::thread operator_thread;
  const Answer answer = deployment.Ask(
      "r1", {.body = Deployment::Chat("m", 400),
             .deadline_ms = 60'000,
             .on_bytes = [&] {
               if (withdrawn.exchange(true))
                 return;
               operator_thread = std::thread([&] {
                 deployment.Operate("r0", "DELETE", "resources/key/key-a");
               });
             }});
  operator_thread.join();
  EXPECT_FALSE(answer.Whole());
  EXPECT_NE(answer.body.find("key_withdrawn"), std::string::npos);
  EXPECT_LT(CountEvents(answer.body), 200U);
  EXPECT_EQ(deployment.Ask("r1", {.body = Deployment::Chat("m", 1)}).status,
            401U);
}

TEST(EndToEnd, AFrozenAgentIsLeftForAnother) {
  Deployment deployment({.engines = 2, .services = 0});
  Warm(deployment, "r0");
  // The agent that holds the model freezes: its connections stay open, silent.
  const std::string frozen = deployment.Stat("e0", "loaded") > 0 ? "w0" : "w1";
  deployment.Signal(frozen, SIGSTOP);
  const Answer answer = deployment.Ask(
      "r0",
      {.body = Deployment::Chat("m", kTokens, "other"), .deadline_ms = 30'000});
  EXPECT_TRUE(answer.Whole()) << answer.body;
  deployment.Signal(frozen, SIGCONT);
}

TEST(EndToEnd, AFrozenEngineIsLeftForAnother) {
  Deployment deployment({.engines = 2, .services = 0});
  Warm(deployment, "r0");
  const std::string frozen = deployment.Stat("e0", "loaded") > 0 ? "e0" : "e1";
  deployment.Fault(frozen, "freeze=1");
  const Answer answer = deployment.Ask(
      "r0",
      {.body = Deployment::Chat("m", kTokens, "other"), .deadline_ms = 30'000});
  EXPECT_TRUE(answer.Whole()) << answer.body;
}

TEST(EndToEnd, AStoppedRouterAndAgentCutNothing) {
  Deployment deployment({.engines = 2, .services = 0});
  Warm(deployment, "r0");
  Traffic traffic(deployment, "r0", 4);
  ASSERT_TRUE(WaitUntil([&] { return traffic.Count() >= 40; }));
  deployment.Signal("w0", SIGTERM);
  EXPECT_TRUE(deployment.EndedWell("w0"));
  const std::size_t before = traffic.Count();
  ASSERT_TRUE(WaitUntil([&] { return traffic.Count() >= before + 40; }));
  for (const Answer& answer : traffic.Stop())
    EXPECT_TRUE(answer.Whole()) << answer.status << answer.body;
  // A router under a long stream: the stream ends whole, then the process.
  std::atomic<bool> signalled = false;
  const Answer answer = deployment.Ask(
      "r1", {.body = Deployment::Chat("m", 100, "long"), .on_bytes = [&] {
               if (!signalled.exchange(true))
                 deployment.Signal("r1", SIGTERM);
             }});
  EXPECT_TRUE(answer.Whole());
  EXPECT_TRUE(deployment.EndedWell("r1"));
}

TEST(EndToEnd, ALostAnswerOfAWriteIsFoundOutAndNotAppliedTwice) {
  Deployment deployment({.engines = 0, .services = 0});
  deployment.Fault("kv", "lose_answers=1");
  const Answer answer = deployment.Operate(
      "r0", "PUT", "resources/team/late",
      R"({"kind":"team","name":"late","team":{"rate_tokens_per_second":5,"burst_tokens":5}})");
  EXPECT_EQ(answer.status, 200U) << answer.body;
  ASSERT_TRUE(WaitUntil([&] {
    return deployment.Operate("r1", "GET", "resources/team/late").status ==
           200U;
  }));
}

TEST(EndToEnd, EncryptedPeersServeRequests) {
  if (zmq_has("curve") == 0)
    GTEST_SKIP() << "this build of libzmq has no CURVE";
  Deployment deployment({.engines = 1, .services = 1, .curve = true});
  Warm(deployment, "r0");
  Warm(deployment, "r1");
}

TEST(EndToEnd, ForeignBytesOnThePeerPortHarmNothing) {
  Deployment deployment({.engines = 1, .services = 0});
  Warm(deployment, "r0");
  // why: the peer port speaks ZeroMQ; HTTP is foreign to it
  for (int i = 0; i < 20; ++i)
    deployment.SendForeignBytes("r0");
  Warm(deployment, "r0");
}

}  // namespace
}  // namespace boragepick
