// Tests real daemons and stand-ins on loopback under kills, freezes, outages
// and shutdowns. Tests wait for conditions with a long timeout, not for fixed
// times.

#include <gtest/gtest.h>
#include <signal.h>
#include <sys/socket.h>
#include <unistd.h>
#include <zmq.h>

#include <atomic>
#include <cstdint>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "unit_tests/end_to_end/deployment.h"
#include "unit_tests/frontends/http/blocking_socket.h"

namespace boragepick {
namespace {

using Response = Deployment::Response;

constexpr int kTokens = 8;

// The number of JSON events in a streamed response.
std::size_t CountEvents(const std::string& body) {
  std::size_t events = 0;
  for (std::size_t at = body.find("data: {"); at != std::string::npos;
       at = body.find("data: {", at + 1))
    ++events;
  return events;
}

// Sends one request, which loads model m.
void WarmUp(Deployment& deployment, const std::string& router) {
  const Response response =
      deployment.SendRequest(router, {.body = Deployment::ChatBody("m", 1)});
  ASSERT_EQ(response.status, 200U) << response.body;
}

// Sends requests from several threads until stopped and collects the responses.
class Traffic {
 public:
  Traffic(Deployment& deployment, std::string router, int threads) {
    for (int i = 0; i < threads; ++i) {
      m_threads.emplace_back([this, &deployment, router, i] {
        for (int n = 0; !m_stop; ++n) {
          const std::string prompt =
              std::to_string(i) + "-" + std::to_string(n);
          const Response response = deployment.SendRequest(
              router, {.body = Deployment::ChatBody("m", kTokens, prompt)});
          const std::lock_guard lock(m_mutex);
          m_responses.push_back(response);
        }
      });
    }
  }
  ~Traffic() { Stop(); }
  Traffic(const Traffic&) = delete;
  Traffic& operator=(const Traffic&) = delete;

  std::vector<Response> Stop() {
    m_stop = true;
    for (std::thread& thread : m_threads)
      thread.join();
    m_threads.clear();
    return m_responses;
  }
  std::size_t Count() {
    const std::lock_guard lock(m_mutex);
    return m_responses.size();
  }

 private:
  std::atomic<bool> m_stop = false;
  std::mutex m_mutex;
  std::vector<Response> m_responses;
  std::vector<std::thread> m_threads;
};

TEST(EndToEnd, InvalidInputGetsAClearErrorAndChangesNothing) {
  Deployment deployment({.engines = 1, .services = 1});
  const auto code = [&](const Deployment::CallerRequest& request) {
    const Response response = deployment.SendRequest("r0", request);
    const std::size_t at = response.body.find("\"code\":\"");
    return at == std::string::npos
               ? response.body
               : response.body.substr(at + 8,
                                      response.body.find('"', at + 8) - at - 8);
  };
  EXPECT_EQ(code({.body = "{\"model\":"}), "bad_request");
  EXPECT_EQ(code({.body = Deployment::ChatBody("nothing", 1)}),
            "model_unknown");
  EXPECT_EQ(code({.body = Deployment::ChatBody("m", 1), .key = "wrong"}),
            "key_unknown");
  EXPECT_EQ(code({.body = Deployment::ChatBody("m", 1), .key = ""}),
            "key_missing");
  EXPECT_EQ(code({.path = "/nowhere", .body = "{}"}), "route_unknown");
  EXPECT_EQ(code({.path = "/orders/x", .body = "{}"}),
            "idempotency_key_missing");
  EXPECT_EQ(code({.body = Deployment::ChatBody("m", 1'000'000)}), "over_burst");
  EXPECT_EQ(code({.body = std::string(9 << 20, 'x')}), "bad_request");
  const Response unknown = deployment.CallOperatorApi(
      "r0", "PUT", "resources/team/t",
      R"({"kind":"team","name":"t","team":{"colour":1}})");
  EXPECT_EQ(unknown.status, 400U);
  EXPECT_NE(unknown.body.find("colour"), std::string::npos);
  EXPECT_EQ(deployment.CallOperatorApi("r0", "GET", "resources/team/t").status,
            404U);
  const Response conflict = deployment.CallOperatorApi(
      "r0", "PUT", "resources/team/team-a",
      R"({"kind":"team","name":"team-a","resource_version":1,"team":{"rate_tokens_per_second":1,"burst_tokens":1}})");
  EXPECT_EQ(conflict.status, 409U);
  EXPECT_NE(conflict.body.find("expected resource_version 1, stored is"),
            std::string::npos);
  const Response used =
      deployment.CallOperatorApi("r0", "DELETE", "resources/team/team-a");
  EXPECT_EQ(used.status, 409U);
  WarmUp(deployment, "r0");
}

TEST(EndToEnd, ConcurrentFirstRequestsCauseOneLoad) {
  Deployment deployment({.routers = 3, .engines = 2, .services = 0});
  std::vector<std::thread> callers;
  callers.reserve(30);
  std::atomic<int> completed = 0;
  for (int i = 0; i < 30; ++i) {
    callers.emplace_back([&, i] {
      const Response response = deployment.SendRequest(
          "r" + std::to_string(i % 3),
          {.body = Deployment::ChatBody("m", kTokens, std::to_string(i))});
      completed += response.IsComplete() ? 1 : 0;
    });
  }
  for (std::thread& caller : callers)
    caller.join();
  EXPECT_EQ(completed, 30);
  EXPECT_EQ(
      deployment.ReadStat("e0", "loads") + deployment.ReadStat("e1", "loads"),
      1);
}

TEST(EndToEnd, AnOutageOfTheKeyValueServiceDoesNotAffectCallers) {
  Deployment deployment({.engines = 2, .services = 0});
  // Permits are assigned, but nothing is loaded yet: the cold start happens
  // during the outage.
  ASSERT_TRUE(WaitUntil([&] {
    return deployment.CallOperatorApi("r0", "GET", "status")
               .body.find("\"permitted_vms\":[\"w") != std::string::npos;
  }));
  ASSERT_TRUE(WaitUntil([&] {
    return deployment.CallOperatorApi("r1", "GET", "status")
               .body.find("\"share_tokens_per_second\":50000") !=
           std::string::npos;
  }));
  deployment.SetFault("kv", "down=1");
  Traffic traffic(deployment, "r1", 4);
  ASSERT_TRUE(WaitUntil([&] { return traffic.Count() >= 100; }));
  for (const Response& response : traffic.Stop()) {
    EXPECT_EQ(response.status, 200U) << response.body;
    EXPECT_TRUE(response.IsComplete());
  }
}

TEST(EndToEnd, KillingARouterUnderLoadRunsNoBookingTwice) {
  Deployment deployment({.routers = 3, .engines = 0, .services = 2});
  std::atomic<int> confirmed = 0;
  std::vector<std::thread> callers;
  callers.reserve(6);
  for (int i = 0; i < 6; ++i) {
    callers.emplace_back([&, i] {
      for (int n = 0; n < 25; ++n) {
        const std::string booking = std::to_string(i) + "-" + std::to_string(n);
        // Each caller retries at another router until one confirms the booking.
        for (int attempt = 0; attempt < 6; ++attempt) {
          const std::string router = "r" + std::to_string((i + attempt) % 3);
          const Response response = deployment.SendRequest(
              router, {.path = "/orders/book",
                       .body = "{\"booking\":\"" + booking + "\"}",
                       .idempotency_key = booking,
                       .deadline_ms = 3000});
          if (response.status == 200) {
            EXPECT_NE(response.body.find("\"execution\":1,"), std::string::npos)
                << response.body;
            ++confirmed;
            break;
          }
        }
      }
    });
  }
  WaitUntil([&] { return confirmed >= 20; });
  deployment.Kill("r2");
  // The platform removes the VM from its list, which proves that it is gone.
  deployment.PublishVmListWithout({"r2"});
  for (std::thread& caller : callers)
    caller.join();
  EXPECT_EQ(std::max(deployment.ReadStat("s0", "most"),
                     deployment.ReadStat("s1", "most")),
            1);
  EXPECT_LE(deployment.ReadStat("s0", "distinct") +
                deployment.ReadStat("s1", "distinct"),
            150);
  EXPECT_EQ(deployment.ReadStat("s0", "keys_seen") +
                deployment.ReadStat("s1", "keys_seen"),
            0);
  EXPECT_GE(confirmed, 100);
}

TEST(EndToEnd, KillingAnAgentDuringALoadLosesNoRequest) {
  Deployment deployment({.engines = 2, .services = 0, .load_ms = 1500});
  std::vector<std::thread> callers;
  callers.reserve(6);
  std::atomic<int> completed = 0;
  for (int i = 0; i < 6; ++i) {
    callers.emplace_back([&, i] {
      const Response response = deployment.SendRequest(
          "r" + std::to_string(i % 2),
          {.body = Deployment::ChatBody("m", kTokens, std::to_string(i)),
           .deadline_ms = 40'000});
      completed += response.IsComplete() ? 1 : 0;
    });
  }
  ASSERT_TRUE(WaitUntil([&] {
    return deployment.ReadStat("e0", "loads") +
               deployment.ReadStat("e1", "loads") >
           0;
  }));
  const std::string loading =
      deployment.ReadStat("e0", "loads") > 0 ? "w0" : "w1";
  deployment.Kill(loading);
  deployment.Start(loading);
  for (std::thread& caller : callers)
    caller.join();
  EXPECT_EQ(completed, 6);
  EXPECT_EQ(deployment.ReadStat("e0", "overcommits") +
                deployment.ReadStat("e1", "overcommits"),
            0);
}

TEST(EndToEnd, AnInterruptedStreamIsResumedAtTheTokenWhereItStopped) {
  Deployment deployment({.engines = 2, .services = 0});
  WarmUp(deployment, "r0");
  const Deployment::CallerRequest request{
      .body = Deployment::ChatBody("m", 20, "the same prompt")};
  const Response uninterrupted = deployment.SendRequest("r0", request);
  ASSERT_TRUE(uninterrupted.IsComplete());
  deployment.SetFault("e0", "cut_after=7");
  deployment.SetFault("e1", "cut_after=7");
  const Response resumed = deployment.SendRequest("r0", request);
  EXPECT_EQ(resumed.body, uninterrupted.body);
}

TEST(EndToEnd, ARequestThatCrashesEnginesCrashesAtMostTwo) {
  Deployment deployment({.engines = 3, .services = 0});
  deployment.Apply("model", "m", R"("model":{"version":"m-v1","replicas":3})");
  WarmUp(deployment, "r0");
  for (int i = 0; i < 8; ++i) {
    const Response response = deployment.SendRequest(
        "r" + std::to_string(i % 2),
        {.body = Deployment::ChatBody("m", kTokens, "CRASH-ENGINE")});
    EXPECT_FALSE(response.IsComplete());
  }
  std::int64_t crashes = 0;
  for (const char* engine : {"e0", "e1", "e2"})
    crashes += deployment.ReadStat(engine, "crashes");
  EXPECT_LE(crashes, 2);
  EXPECT_GE(crashes, 1);
  // Other requests are served again.
  ASSERT_TRUE(WaitUntil([&] {
    return deployment
        .SendRequest("r1",
                     {.body = Deployment::ChatBody("m", kTokens, "innocent")})
        .IsComplete();
  }));
}

// The agent reuses its connections to an engine. The HTTP library must not
// resend a request by itself when such a connection breaks.
TEST(EndToEnd, TheHttpLibraryDoesNotResendOnABrokenConnection) {
  Deployment deployment({.routers = 1, .engines = 1, .services = 0});
  WarmUp(deployment, "r0");
  WarmUp(deployment, "r0");
  const Response response = deployment.SendRequest(
      "r0", {.body = Deployment::ChatBody("m", kTokens, "CRASH-ENGINE"),
             .deadline_ms = 250});
  EXPECT_FALSE(response.IsComplete());
  EXPECT_EQ(deployment.ReadStat("e0", "crashes"), 1);
  EXPECT_EQ(deployment.ReadStat("e0", "while_down"), 0);
}

TEST(EndToEnd, DeletingAKeyEndsItsOpenStreams) {
  Deployment deployment({.engines = 1, .services = 0, .token_ms = 50});
  WarmUp(deployment, "r0");
  std::atomic<bool> deleted = false;
  std::thread operator_thread;
  const Response response = deployment.SendRequest(
      "r1", {.body = Deployment::ChatBody("m", 400),
             .deadline_ms = 60'000,
             .on_bytes = [&] {
               if (deleted.exchange(true))
                 return;
               operator_thread = std::thread([&] {
                 deployment.CallOperatorApi("r0", "DELETE",
                                            "resources/key/key-a");
               });
             }});
  operator_thread.join();
  EXPECT_FALSE(response.IsComplete());
  EXPECT_NE(response.body.find("key_withdrawn"), std::string::npos);
  EXPECT_LT(CountEvents(response.body), 200U);
  EXPECT_EQ(deployment.SendRequest("r1", {.body = Deployment::ChatBody("m", 1)})
                .status,
            401U);
}

TEST(EndToEnd, ARequestAtAFrozenAgentIsRetriedAtAnother) {
  Deployment deployment({.engines = 2, .services = 0});
  WarmUp(deployment, "r0");
  // The agent of the engine with the model freezes: its connections stay open
  // but send nothing.
  const std::string frozen =
      deployment.ReadStat("e0", "loaded") > 0 ? "w0" : "w1";
  deployment.Signal(frozen, SIGSTOP);
  const Response response = deployment.SendRequest(
      "r0", {.body = Deployment::ChatBody("m", kTokens, "other"),
             .deadline_ms = 30'000});
  EXPECT_TRUE(response.IsComplete()) << response.body;
  deployment.Signal(frozen, SIGCONT);
}

// Another program took the port of a daemon before the daemon listened, and the
// deployment started without it.
TEST(EndToEnd, NoOtherProgramGetsAReservedPort) {
  Deployment deployment({.engines = 0, .services = 0});
  const std::string endpoint = deployment.ReserveEndpoint();
  const auto port = static_cast<std::uint16_t>(
      std::stoi(endpoint.substr(endpoint.rfind(':') + 1)));
  const sockaddr_in address = LoopbackEndpoint(port);
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  EXPECT_NE(
      bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)),
      0);
  close(fd);
}

TEST(EndToEnd, ARequestAtAFrozenEngineIsRetriedAtAnother) {
  Deployment deployment({.engines = 2, .services = 0});
  WarmUp(deployment, "r0");
  const std::string frozen =
      deployment.ReadStat("e0", "loaded") > 0 ? "e0" : "e1";
  deployment.SetFault(frozen, "freeze=1");
  const Response response = deployment.SendRequest(
      "r0", {.body = Deployment::ChatBody("m", kTokens, "other"),
             .deadline_ms = 30'000});
  EXPECT_TRUE(response.IsComplete()) << response.body;
}

TEST(EndToEnd, StoppingARouterAndAnAgentInterruptsNoResponse) {
  Deployment deployment({.engines = 2, .services = 0});
  WarmUp(deployment, "r0");
  Traffic traffic(deployment, "r0", 4);
  ASSERT_TRUE(WaitUntil([&] { return traffic.Count() >= 40; }));
  deployment.Signal("w0", SIGTERM);
  EXPECT_TRUE(deployment.ExitedCleanly("w0"));
  const std::size_t before = traffic.Count();
  ASSERT_TRUE(WaitUntil([&] { return traffic.Count() >= before + 40; }));
  for (const Response& response : traffic.Stop())
    EXPECT_TRUE(response.IsComplete()) << response.status << response.body;
  // A router that is stopped during a long stream completes it before it exits.
  std::atomic<bool> signalled = false;
  const Response response = deployment.SendRequest(
      "r1", {.body = Deployment::ChatBody("m", 100, "long"), .on_bytes = [&] {
               if (!signalled.exchange(true))
                 deployment.Signal("r1", SIGTERM);
             }});
  EXPECT_TRUE(response.IsComplete());
  EXPECT_TRUE(deployment.ExitedCleanly("r1"));
}

TEST(EndToEnd, AWriteWhoseResponseIsLostIsNotAppliedTwice) {
  Deployment deployment({.engines = 0, .services = 0});
  deployment.SetFault("kv", "lose_answers=1");
  const Response response = deployment.CallOperatorApi(
      "r0", "PUT", "resources/team/late",
      R"({"kind":"team","name":"late","team":{"rate_tokens_per_second":5,"burst_tokens":5}})");
  EXPECT_EQ(response.status, 200U) << response.body;
  ASSERT_TRUE(WaitUntil([&] {
    return deployment.CallOperatorApi("r1", "GET", "resources/team/late")
               .status == 200U;
  }));
}

TEST(EndToEnd, RequestsAreServedWithEncryptedPeers) {
  if (zmq_has("curve") == 0)
    GTEST_SKIP() << "this build of libzmq has no CURVE";
  Deployment deployment({.engines = 1, .services = 1, .curve = true});
  WarmUp(deployment, "r0");
  WarmUp(deployment, "r1");
}

TEST(EndToEnd, InvalidBytesOnThePeerPortDoNoHarm) {
  Deployment deployment({.engines = 1, .services = 0});
  WarmUp(deployment, "r0");
  // The peer port expects ZeroMQ and gets HTTP.
  for (int i = 0; i < 20; ++i)
    deployment.SendInvalidBytes("r0");
  WarmUp(deployment, "r0");
}

}  // namespace
}  // namespace boragepick
