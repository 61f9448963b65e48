// Tests of the gateway's upstream client with a server over loopback.

#include <gtest/gtest.h>

#include "frontends/boot_clock.h"
#include "frontends/serving/upstream_task.h"
#include "unit_tests/frontends/http/raw_server.h"

namespace boragepick {
namespace {

using std::chrono::seconds;

struct PlainCodec {
  struct Malformed {};
  static std::variant<ServingRequest, Malformed> DecodeRequest(
      RequestId /*id*/,
      HttpMessage /*message*/) {
    return Malformed{};
  }
  static std::string EncodeAttemptHead(const SendAttempt& attempt) {
    return SerializeRequestHead("POST", "/",
                                {{"Id", attempt.request->trace_id}},
                                attempt.request->body.size());
  }
  static std::string RequestIdHeader() { return "Id"; }
  static UpstreamResponseHead DecodeUpstreamHead(const HttpHead& head) {
    return {.status = head.status, .not_executed = head.status == 503};
  }
  static std::vector<HeaderField> RefusalHeaders(const RefuseRequest& /**/) {
    return {};
  }
  static std::string RefusalBody(const RefuseRequest& /**/) { return ""; }
};

class UpstreamTaskTest : public testing::Test {
 protected:
  UpstreamTaskTest()
      : m_server(m_loop), m_task(m_loop, [this](ServingEvent event) {
          m_events.push_back(std::move(event));
          m_loop.Quit();
        }) {}

  // Sends an attempt of one and the same request and returns its first event.
  ServingEvent Send(AttemptNumber number, bool new_connection) {
    m_events.clear();
    m_task.Execute(SendAttempt{.attempt = number,
                               .request = m_request,
                               .worker = "w",
                               .address = m_server.address(),
                               .new_connection = new_connection});
    const auto limit = m_loop.StartTimer(ReadBootClock() + seconds(5),
                                         [this] { m_loop.Quit(); });
    while (m_events.empty() && ReadBootClock() < limit.first)
      m_loop.Run();
    m_loop.CancelTimer(limit);
    return m_events.empty() ? ServingEvent(ServingTicked{}) : m_events.front();
  }

  EventLoop m_loop;
  RawServer m_server;
  static std::shared_ptr<const ServingRequest> MakeRequest(
      std::size_t body_bytes) {
    return std::make_shared<const ServingRequest>(
        ServingRequest{.trace_id = "x",
                       .method = "POST",
                       .body = std::string(body_bytes, 'b')});
  }

  std::shared_ptr<const ServingRequest> m_request = MakeRequest(0);
  std::vector<ServingEvent> m_events;
  UpstreamTask<PlainCodec> m_task;
};

// Large bodies are sent without a copy.
TEST_F(UpstreamTaskTest, TheBodyFollowsTheHead) {
  std::string received;
  m_server.OnRequest([&](const RawServer::Request& request) {
    received = request.body;
    m_server.Write(request.connection,
                   "HTTP/1.1 200 OK\r\nId: x\r\nContent-Length: 0\r\n\r\n");
  });
  AttemptNumber attempt = 0;
  for (const std::size_t size : {0, 1, 16'384, 16'385, 5'000'000}) {
    m_request = MakeRequest(size);
    ++attempt;
    const auto head =
        std::get<AttemptHeadReceived>(Send(attempt, attempt % 2 == 1));
    EXPECT_EQ(head.head.status, 200U);
    EXPECT_TRUE(received == m_request->body) << size;
  }
}

// A worker repeated its refusal of a request when the request came again on the
// kept connection, and ran it.
TEST_F(UpstreamTaskTest, RepeatedRefusalIsNotTakenForTheSecondAttempt) {
  const std::string refusal =
      "HTTP/1.1 503 Busy\r\nId: x\r\nContent-Length: 0\r\n\r\n";
  const std::string success =
      "HTTP/1.1 200 OK\r\nId: x\r\nContent-Length: 0\r\n\r\n";
  int requests = 0;
  m_server.OnRequest([&](const RawServer::Request& request) {
    const bool repeats = ++requests > 1 && request.connection == 0;
    m_server.Write(request.connection, requests == 1 ? refusal
                                       : repeats     ? refusal + success
                                                     : success);
  });
  const auto first = std::get<AttemptHeadReceived>(Send(1, false));
  EXPECT_EQ(first.head.status, 503U);
  const auto second = std::get<AttemptHeadReceived>(Send(2, true));
  EXPECT_EQ(second.head.status, 200U);
}

}  // namespace
}  // namespace boragepick
