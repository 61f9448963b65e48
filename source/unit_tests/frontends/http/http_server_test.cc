// Tests of the ends of the server's connections, with clients that send raw
// bytes.

#include <gtest/gtest.h>

#include <string>

#include "unit_tests/frontends/http/http_fixture.h"

namespace boragepick {
namespace {

using std::chrono::milliseconds;

const std::string kRequest = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";

class HttpServerTest : public HttpFixture {
 protected:
  void ServeEmptyResponses(const ServerLimits& limits) {
    Serve(limits, [this](ExchangeId id, const HttpMessage&) {
      m_server->Post(SendHttpResponse{.id = id});
    });
  }
};

TEST_F(HttpServerTest, ReportsAClientThatDoesNotReadItsResponse) {
  Serve({}, [this](ExchangeId id, const HttpMessage&) {
    m_server->Post(SendHttpResponseHead{.id = id});
    m_server->Post(SendHttpResponseBody{
        .id = id, .bytes = std::string(std::size_t{64} << 20, 'x')});
  });
  RawClient client(m_endpoint);
  client.Send(kRequest + kRequest);
  ASSERT_TRUE(RunUntil([&] { return !m_disconnects.empty(); }));
  EXPECT_EQ(m_disconnects[0], ConnectionEnd::kUnsentLimit);
  ASSERT_EQ(m_unanswered_closes.size(), 1U);
  EXPECT_EQ(m_unanswered_closes[0].reason, ConnectionEnd::kUnsentLimit);
  EXPECT_TRUE(m_unanswered_closes[0].is_exchange_open);
  EXPECT_EQ(m_unanswered_closes[0].unparsed_bytes, kRequest.size());
  EXPECT_EQ(m_server->unanswered_closes().at(ConnectionEnd::kUnsentLimit), 1U);
}

TEST_F(HttpServerTest, ReportsARequestThatArrivesAfterTheLastResponse) {
  Serve({}, [this](ExchangeId id, const HttpMessage&) {
    m_server->Post(SendHttpResponse{.id = id, .close_connection = true});
  });
  RawClient client(m_endpoint);
  client.Send(kRequest + kRequest);
  ASSERT_TRUE(RunUntil([&] { return client.HasEnded(); }));
  ASSERT_EQ(m_unanswered_closes.size(), 1U);
  EXPECT_EQ(m_unanswered_closes[0].reason, ConnectionEnd::kResponseComplete);
}

TEST_F(HttpServerTest, DoesNotReportAnIdleConnectionThatExpires) {
  ServeEmptyResponses({.idle_timeout = milliseconds(100)});
  RawClient client(m_endpoint);
  client.Send(kRequest);
  ASSERT_TRUE(RunUntil([&] { return client.HasEnded(); }));
  EXPECT_TRUE(m_unanswered_closes.empty());
  EXPECT_NE(client.Received(), "");
}

}  // namespace
}  // namespace boragepick
