// The bytes that the HTTP server holds for all of its clients.

#include <gtest/gtest.h>

#include <ctime>
#include <memory>
#include <string>
#include <vector>

#include "unit_tests/frontends/http/http_fixture.h"

namespace boragepick {
namespace {

using std::chrono::milliseconds;

std::string PostHead(std::size_t length) {
  return "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: " +
         std::to_string(length) + "\r\n\r\n";
}

class HttpServerMemoryTest : public HttpFixture {
 protected:
  // Requests stay open until the test answers them.
  void ServeOpenRequests(const ServerMemory& memory) {
    Serve(
        {},
        [this](ExchangeId id, const HttpMessage& message) {
          m_requests.push_back(id);
          m_bodies.push_back(message.body);
        },
        memory);
  }
  std::unique_ptr<RawClient> SendRequest(const std::string& bytes) {
    auto client = std::make_unique<RawClient>(m_endpoint);
    client->Send(bytes);
    return client;
  }
  static constexpr std::size_t kBody = 100'000;

  std::vector<ExchangeId> m_requests;
  std::vector<std::string> m_bodies;
};

// A burst of large requests took the process over its memory limit, and all of
// them were lost with it.
TEST_F(HttpServerMemoryTest, RequestsBeyondTheMemoryAreRejected) {
  ServeOpenRequests({.max_request_bytes = 250'000});
  const std::string whole = PostHead(kBody) + std::string(kBody, 'b');
  const auto first = SendRequest(whole);
  const auto second = SendRequest(whole);
  ASSERT_TRUE(RunUntil([&] { return m_requests.size() == 2; }));
  // Rejected by its length, before its body arrives.
  const auto third = SendRequest(PostHead(kBody));
  ASSERT_TRUE(RunUntil([&] { return !third->Received().empty(); }));
  EXPECT_TRUE(third->Received().starts_with("HTTP/1.1 503"));
  EXPECT_NE(third->Received().find("Retry-After: "), std::string::npos);
  EXPECT_EQ(m_rejections, std::vector{RequestFault::kMemoryLimit});
  // There is room for a small one, and again once a response is complete.
  const auto small = SendRequest(PostHead(4) + "body");
  ASSERT_TRUE(RunUntil([&] { return m_requests.size() == 3; }));
  m_server->Post(SendHttpResponse{.id = m_requests[0]});
  ASSERT_TRUE(RunUntil([&] { return !first->Received().empty(); }));
  const auto later = SendRequest(whole);
  ASSERT_TRUE(RunUntil([&] { return m_requests.size() == 4; }));
  EXPECT_EQ(m_bodies.back().size(), kBody);
  EXPECT_TRUE(second->Received().empty());
  EXPECT_EQ(m_rejections.size(), 1U);
}

// Bodies in chunks, and slow ones, count as they arrive.
TEST_F(HttpServerMemoryTest, RequestsThatGrowBeyondTheMemoryAreRejected) {
  ServeOpenRequests({.max_request_bytes = 250'000});
  const std::string chunk = "186a0\r\n" + std::string(kBody, 'b') + "\r\n";
  std::vector<std::unique_ptr<RawClient>> clients;
  clients.reserve(3);
  for (int i = 0; i < 3; ++i)
    clients.push_back(SendRequest(
        "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"));
  for (const auto& client : clients)
    client->Send(chunk);
  ASSERT_TRUE(RunUntil([&] { return !m_rejections.empty(); }));
  RunFor(milliseconds(50));
  EXPECT_LE(m_server->request_bytes(), 250'000U);
  for (const auto& client : clients)
    client->Send("0\r\n\r\n");
  ASSERT_TRUE(RunUntil([&] { return m_requests.size() == 2; }));
  EXPECT_EQ(m_rejections, std::vector{RequestFault::kMemoryLimit});
}

TEST_F(HttpServerMemoryTest, AbandonedRequestsLeaveNothingBehind) {
  ServeOpenRequests({});
  {
    const auto whole = SendRequest(PostHead(kBody) + std::string(kBody, 'b'));
    const auto half =
        SendRequest(PostHead(kBody) + std::string(kBody / 2, 'b'));
    const auto head = SendRequest("POST /x HTTP/1.1\r\nHos");
    ASSERT_TRUE(RunUntil(
        [&] { return m_server->request_bytes() > kBody + kBody / 2 + 100; }));
  }
  ASSERT_TRUE(RunUntil([&] { return m_server->connection_count() == 0; }));
  EXPECT_EQ(m_server->request_bytes(), 0U);
}

// Requests that a client pipelines behind an open one wait in its socket.
TEST_F(HttpServerMemoryTest, PipelinedInputIsNotReadAhead) {
  std::size_t answered = 0;
  Serve({}, [&](ExchangeId id, const HttpMessage&) {
    ++answered;
    m_requests.push_back(id);
    if (answered > 1)
      m_server->Post(SendHttpResponse{.id = id, .status = 204});
  });
  constexpr std::size_t kRequests = 4'000;
  std::string pipelined;
  for (std::size_t i = 0; i < kRequests; ++i)
    pipelined +=
        "GET /x HTTP/1.1\r\nHost: h\r\nPadding: " + std::string(100, 'p') +
        "\r\n\r\n";
  const auto client = std::make_unique<RawClient>(m_endpoint);
  std::size_t sent = 0;
  const auto send_more = [&] {
    sent += client->TrySend(std::string_view(pipelined).substr(sent));
  };
  RunUntil([&] {
    send_more();
    return answered == 1;
  });
  const double before = static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
  RunFor(milliseconds(200));
  EXPECT_LT(static_cast<double>(std::clock()) / CLOCKS_PER_SEC - before, 0.15);
  EXPECT_EQ(answered, 1U);
  m_server->Post(SendHttpResponse{.id = m_requests[0], .status = 204});
  EXPECT_TRUE(RunUntil([&] {
    send_more();
    return answered == kRequests;
  }));
}

// The rest of a response that its client doesn't read.
TEST_F(HttpServerMemoryTest, ReportsWhatClientsHaveNotRead) {
  ServeOpenRequests({});
  const auto client = SendRequest("GET /x HTTP/1.1\r\nHost: h\r\n\r\n");
  ASSERT_TRUE(RunUntil([&] { return m_requests.size() == 1; }));
  const ExchangeId id = m_requests[0];
  m_server->Post(SendHttpResponseHead{.id = id});
  constexpr std::size_t kResponse = 12 << 20;
  m_server->Post(
      SendHttpResponseBody{.id = id, .bytes = std::string(kResponse, 'x')});
  ASSERT_TRUE(RunUntil([&] { return m_unsent.contains(id); }));
  EXPECT_GT(m_unsent[id], 0U);
  EXPECT_EQ(m_total_unsent, m_server->unsent_bytes());
  ASSERT_TRUE(RunUntil([&] {
    client->Received();
    return m_unsent[id] == 0;
  }));
  EXPECT_EQ(m_server->unsent_bytes(), 0U);
}

TEST_F(HttpServerMemoryTest, ClosesTheClientThatHasStalledForTheLongestTime) {
  // More than the sockets hold.
  constexpr std::size_t kResponse = 15 << 20;
  ServeOpenRequests({.max_unsent_bytes = 2 * kResponse});
  std::vector<std::unique_ptr<RawClient>> clients;
  const auto send_part = [this](std::size_t client) {
    m_server->Post(SendHttpResponseBody{.id = m_requests[client],
                                        .bytes = std::string(kResponse, 'x')});
  };
  for (std::size_t i = 0; i < 3; ++i) {
    clients.push_back(SendRequest("GET /x HTTP/1.1\r\nHost: h\r\n\r\n"));
    ASSERT_TRUE(RunUntil([&] { return m_requests.size() == i + 1; }));
    m_server->Post(SendHttpResponseHead{.id = m_requests[i]});
    RunFor(milliseconds(20));
  }
  send_part(0);
  RunFor(milliseconds(50));
  send_part(1);
  RunFor(milliseconds(50));
  EXPECT_TRUE(m_disconnects.empty());
  send_part(2);
  ASSERT_TRUE(RunUntil([&] { return !m_disconnects.empty(); }));
  RunFor(milliseconds(50));
  EXPECT_EQ(m_disconnects, std::vector{ConnectionEnd::kMemoryLimit});
  EXPECT_LE(m_server->unsent_bytes(), 2 * kResponse);
  EXPECT_TRUE(clients[0]->HasEnded());
  EXPECT_FALSE(clients[1]->HasEnded());
  EXPECT_FALSE(clients[2]->HasEnded());
}

}  // namespace
}  // namespace boragepick
