// Tests of the HTTP/1.1 parser, and of the server and client over loopback.

#include <gtest/gtest.h>

#include <map>
#include <optional>
#include <string>

#include "frontends/http/http_client.h"
#include "unit_tests/frontends/http/http_fixture.h"

namespace boragepick {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

ParseError ErrorOf(std::string bytes, const ParserLimits& limits = {}) {
  RequestParser parser(limits);
  parser.Consume(bytes);
  return parser.error();
}

TEST(HttpParser, ParsesInputInChunksOfAnySize) {
  const std::string request =
      "POST /a?b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
      "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\nGET";
  for (std::size_t step = 1; step < request.size(); ++step) {
    RequestParser parser({});
    std::string buffer;
    std::string body;
    for (std::size_t at = 0; at < request.size(); at += step) {
      buffer += request.substr(at, step);
      parser.Consume(buffer);
      body += parser.TakeBody();
    }
    EXPECT_TRUE(parser.done());
    EXPECT_EQ(parser.head().target, "/a?b");
    EXPECT_EQ(body, "abcde");
    EXPECT_EQ(buffer, "GET");
  }
}

// A response whose head arrived before its body was rejected as too large.
TEST(HttpParser, ParsesAMessageWithALengthInTwoPiecesWithoutABodyLimit) {
  const std::string response =
      "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc";
  for (std::size_t split = 1; split < response.size(); ++split) {
    ResponseParser parser({});
    std::string bytes = response.substr(0, split);
    parser.Consume(bytes);
    bytes += response.substr(split);
    parser.Consume(bytes);
    EXPECT_TRUE(parser.done()) << split;
    EXPECT_EQ(parser.TakeBody(), "abc") << split;
  }
  EXPECT_EQ(ErrorOf("POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc"),
            ParseError::kNone);
}

TEST(HttpParser, RejectsAmbiguousFramingAndOversizedMessages) {
  EXPECT_EQ(ErrorOf("POST / HTTP/1.1\r\nContent-Length: 3\r\n"
                    "Transfer-Encoding: chunked\r\n\r\n"),
            ParseError::kMalformed);
  EXPECT_EQ(ErrorOf("POST / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n"
                    "\r\n"),
            ParseError::kMalformed);
  EXPECT_EQ(ErrorOf("POST / HTTP/1.1\r\nContent-Length: 3\r\n"
                    "Content-Length: 4\r\n\r\n"),
            ParseError::kMalformed);
  EXPECT_EQ(
      ErrorOf("GET / HTTP/1.1\r\nA: " + std::string(200, 'x') + "\r\n\r\n",
              {.max_header_bytes = 100}),
      ParseError::kHeaderTooLarge);
  EXPECT_EQ(ErrorOf("POST / HTTP/1.1\r\nContent-Length: 200\r\n\r\n",
                    {.max_body_bytes = 100}),
            ParseError::kBodyTooLarge);
}

TEST(HttpParser, EndOfStreamCompletesOnlyAResponseWithoutLength) {
  ResponseParser parser({});
  std::string bytes = "HTTP/1.1 200 OK\r\n\r\nabc";
  parser.Consume(bytes);
  EXPECT_TRUE(parser.head_done());
  EXPECT_FALSE(parser.done());
  parser.HandleEndOfStream();
  EXPECT_TRUE(parser.done());
  ResponseParser truncated({});
  std::string partial = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc";
  truncated.Consume(partial);
  truncated.HandleEndOfStream();
  EXPECT_NE(truncated.error(), ParseError::kNone);
}

// An endless line, header or chunk extension would fill the memory: the parser
// must reject it before much of it is buffered.
TEST(HttpParser, RejectsEndlessInput) {
  constexpr std::size_t kMaxBufferedBytes = 256 << 10;
  const std::string chunked =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (const std::string& start :
       {std::string(), std::string("HTTP/1.1 200 "),
        std::string("HTTP/1.1 200 OK\r\nA: "), std::string("\r\n"),
        chunked + "5;", chunked + "0\r\nA: ", chunked + "5\r\nabcde"}) {
    for (const char filler : {'x', ' ', '\r', '\n', '0'}) {
      ResponseParser parser({});
      std::string bytes = start;
      for (int i = 0; i < 1'000 && parser.error() == ParseError::kNone; ++i) {
        bytes += std::string(1'000, filler);
        parser.Consume(bytes);
        parser.TakeBody();
        if (parser.done())
          break;
        ASSERT_LE(bytes.size(), kMaxBufferedBytes)
            << start << " then " << filler;
      }
      EXPECT_TRUE(parser.done() || parser.error() != ParseError::kNone)
          << start << " then " << filler;
    }
  }
}

class HttpTest : public HttpFixture {
 protected:
  HttpTest()
      : m_client(m_loop, {}, [this](ClientEvent event) {
          std::visit([this](auto& alternative) { Handle(alternative); }, event);
        }) {}

  CallId StartPost(const std::string& body, Duration max_idle = seconds(4)) {
    const CallId id = ++m_last_call_id;
    m_client.Post(StartCall{
        .id = id,
        .address = "127.0.0.1:" + std::to_string(m_endpoint.port),
        .pool = "p",
        .request = SerializeRequest("POST", "/x", {{"Host", "h"}}, body),
        .max_idle = max_idle,
        .echo_name = "Echo",
        .echo_value = std::to_string(id)});
    return id;
  }

  struct Outcome {
    unsigned status = 0;
    std::string body;
    bool ended = false;
    std::optional<CallFailed> failed;
  };

  bool HasEnded(CallId id) {
    return m_outcomes[id].ended || m_outcomes[id].failed.has_value();
  }

  HttpClient m_client;
  std::map<CallId, Outcome> m_outcomes;

 private:
  void Handle(const CallHeadReceived& event) {
    m_outcomes[event.id].status = event.head.status;
  }
  void Handle(const CallBodyReceived& event) {
    m_outcomes[event.id].body += event.bytes;
  }
  void Handle(const CallCompleted& event) { m_outcomes[event.id].ended = true; }
  void Handle(const CallFailed& event) { m_outcomes[event.id].failed = event; }

  CallId m_last_call_id = 0;
};

TEST_F(HttpTest, ReusesTheConnectionForSequentialCalls) {
  int calls = 0;
  Serve({}, [&](ExchangeId id, HttpMessage message) {
    m_server->Post(
        SendHttpResponse{.id = id,
                         .fields = {{"Echo", std::to_string(++calls)}},
                         .body = message.body + "!"});
  });
  for (int i = 0; i < 5; ++i) {
    const CallId id = StartPost("body");
    ASSERT_TRUE(RunUntil([&] { return HasEnded(id); }));
    EXPECT_EQ(m_outcomes[id].body, "body!");
  }
  EXPECT_EQ(m_client.connections_opened(), 1U);
}

TEST_F(HttpTest, AbortedResponseFailsTheCall) {
  Serve({}, [this](ExchangeId id, const HttpMessage&) {
    m_server->Post(SendHttpResponseHead{.id = id});
    m_server->Post(SendHttpResponseBody{.id = id, .bytes = "part"});
    m_loop.StartTimer(ReadBootClock() + milliseconds(20), [this, id] {
      m_server->Post(AbortHttpResponse{.id = id});
    });
  });
  const CallId id = StartPost("");
  ASSERT_TRUE(RunUntil([&] { return HasEnded(id); }));
  EXPECT_EQ(m_outcomes[id].body, "part");
  ASSERT_TRUE(m_outcomes[id].failed);
  EXPECT_TRUE(m_outcomes[id].failed->sent);
}

TEST_F(HttpTest, ResponseToAnEarlierCallIsDiscarded) {
  Serve({}, [this](ExchangeId id, const HttpMessage&) {
    // The echoed value is that of an earlier call.
    m_server->Post(SendHttpResponse{
        .id = id, .fields = {{"Echo", "0"}}, .body = std::string("old")});
  });
  const CallId id = StartPost("");
  EXPECT_FALSE(RunUntil([&] { return m_outcomes[id].status != 0; }));
}

TEST_F(HttpTest, ServerReportsAClientThatDisconnects) {
  Serve({}, [](ExchangeId, const HttpMessage&) {});
  const CallId id = StartPost("");
  m_loop.StartTimer(ReadBootClock() + milliseconds(50),
                    [&] { m_client.Post(CancelCall{.id = id}); });
  EXPECT_TRUE(RunUntil([&] { return m_disconnects.size() == 1; }));
}

TEST_F(HttpTest, RefusedConnectionFailsTheCallAsNotSent) {
  const CallId id = StartPost("");
  ASSERT_TRUE(RunUntil([&] { return HasEnded(id); }));
  EXPECT_EQ(m_outcomes[id].failed->failure, CallFailure::kConnect);
  EXPECT_FALSE(m_outcomes[id].failed->sent);
}

TEST_F(HttpTest, ServerShuttingDownCompletesOpenExchangesAndRefusesNewOnes) {
  ExchangeId open = 0;
  Serve({}, [&open](ExchangeId id, const HttpMessage&) { open = id; });
  const CallId id = StartPost("");
  ASSERT_TRUE(RunUntil([&] { return open != 0; }));
  m_server->Post(ShutDownHttpServer{});
  m_server->Post(SendHttpResponse{.id = open, .body = "last"});
  ASSERT_TRUE(RunUntil([&] { return HasEnded(id); }));
  EXPECT_EQ(m_outcomes[id].body, "last");
  const CallId refused = StartPost("");
  ASSERT_TRUE(RunUntil([&] { return HasEnded(refused); }));
  EXPECT_FALSE(m_outcomes[refused].failed->sent);
}

TEST_F(HttpTest, ServerShuttingDownClosesTheConnectionOfAnEarlierStream) {
  ExchangeId open = 0;
  Serve({}, [&](ExchangeId id, const HttpMessage&) {
    open = id;
    // Sent before the shutdown, so without Connection: close.
    m_server->Post(SendHttpResponseHead{.id = id});
  });
  const CallId id = StartPost("");
  ASSERT_TRUE(RunUntil([&] { return m_outcomes[id].status == 200; }));
  m_server->Post(ShutDownHttpServer{});
  m_server->Post(EndHttpResponse{.id = open});
  ASSERT_TRUE(RunUntil([&] { return HasEnded(id); }));
  EXPECT_TRUE(RunUntil([&] { return m_server->connection_count() == 0; }));
}

TEST_F(HttpTest, SlowRequestHeaderIsAnswered408) {
  Serve({.header_timeout = milliseconds(100)},
        [](ExchangeId, const HttpMessage&) {});
  m_client.Post(
      StartCall{.id = 99,
                .address = "127.0.0.1:" + std::to_string(m_endpoint.port),
                .pool = "p",
                .request = "POST / HTTP/1.1\r\nHost: "});
  ASSERT_TRUE(RunUntil([&] { return HasEnded(99); }));
  EXPECT_EQ(m_outcomes[99].status, 408U);
}

}  // namespace
}  // namespace boragepick
