// Tests of the ends of the server's connections, with clients that send raw
// bytes.

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <time.h>

#include <algorithm>
#include <cerrno>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "common/random.h"
#include "unit_tests/frontends/http/http_fixture.h"

namespace boragepick {
namespace {

using std::chrono::milliseconds;

const std::string kRequest = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";
constexpr std::size_t kLargeBody = std::size_t{32} << 20;

// Reads a response at about ten megabytes a second.
class SlowReader {
 public:
  explicit SlowReader(const Endpoint& endpoint)
      : m_fd(socket(AF_INET, SOCK_STREAM, 0)) {
    const sockaddr_in address = LoopbackAddress(endpoint.port);
    EXPECT_EQ(connect(m_fd, reinterpret_cast<const sockaddr*>(&address),
                      sizeof(address)),
              0);
    send(m_fd, kRequest.data(), kRequest.size(), MSG_NOSIGNAL);
  }
  ~SlowReader() { close(m_fd); }
  SlowReader(const SlowReader&) = delete;
  SlowReader& operator=(const SlowReader&) = delete;

  // Returns whether the response or the connection has ended.
  bool ReadSome() {
    constexpr std::size_t kBytesPerMillisecond = 10'000;
    const auto elapsed = std::chrono::duration_cast<milliseconds>(
        ReadBootClock() - m_started_at);
    const std::size_t allowed =
        static_cast<std::size_t>(elapsed.count()) * kBytesPerMillisecond;
    if (m_received >= allowed)
      return false;
    std::vector<char> bytes(allowed - m_received);
    const ssize_t count = recv(m_fd, bytes.data(), bytes.size(), MSG_DONTWAIT);
    if (count > 0)
      m_received += static_cast<std::size_t>(count);
    return count == 0 || (count < 0 && errno != EAGAIN) ||
           m_received > kLargeBody;
  }
  std::size_t received() const { return m_received; }

 private:
  int m_fd;
  std::size_t m_received = 0;
  TimePoint m_started_at = ReadBootClock();
};

class HttpServerTest : public HttpFixture {
 protected:
  void ServeEmptyResponses(const ServerLimits& limits) {
    Serve(limits, [this](ExchangeId id, const HttpMessage&) {
      m_server->Post(SendHttpResponse{.id = id});
    });
  }
  void ServeLargeBodies(const ServerLimits& limits, bool close_connection) {
    Serve(limits, [this, close_connection](ExchangeId id, const HttpMessage&) {
      m_server->Post(SendHttpResponse{.id = id,
                                      .body = std::string(kLargeBody, 'x'),
                                      .close_connection = close_connection});
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
  for (int i = 0; i < 3; ++i) {
    client.Send(kRequest);
    RunFor(milliseconds(10));
  }
  ASSERT_EQ(m_unanswered_closes.size(), 1U);
  EXPECT_EQ(m_unanswered_closes[0].reason, ConnectionEnd::kResponseComplete);
}

TEST_F(HttpServerTest, DoesNotReportAnIdleConnectionThatExpires) {
  ServeEmptyResponses({.idle_timeout = milliseconds(100)});
  RawClient client(m_endpoint);
  client.Send(kRequest);
  ASSERT_TRUE(RunUntil([&] { return client.HasEnded(); }));
  EXPECT_TRUE(m_unanswered_closes.empty());
  EXPECT_FALSE(client.Received().empty());
}

// A connection is not idle while a request waits in its socket: with more ready
// sockets than the loop reads at once, the check of idle connections ran before
// the rest were read.
TEST_F(HttpServerTest, AnswersRequestsThatArriveWhileTheLoopIsBlocked) {
  constexpr std::size_t kClients = 150;
  constexpr Duration kIdleTimeout = milliseconds(400);
  ServeEmptyResponses({.idle_timeout = kIdleTimeout});
  std::vector<std::unique_ptr<RawClient>> clients;
  for (std::size_t i = 0; i < kClients; ++i)
    clients.push_back(std::make_unique<RawClient>(m_endpoint));
  ASSERT_TRUE(
      RunUntil([&] { return m_server->connection_count() == kClients; }));
  std::this_thread::sleep_for(kIdleTimeout + milliseconds(300));
  for (const auto& client : clients)
    client->Send(kRequest);
  RunUntil([&] {
    return std::ranges::all_of(clients, [](const auto& client) {
      return !client->Received().empty();
    });
  });
  const auto unanswered = std::ranges::count_if(
      clients, [](const auto& client) { return client->Received().empty(); });
  EXPECT_EQ(unanswered, 0);
  EXPECT_TRUE(m_unanswered_closes.empty());
}

// Another connection's handler may run for longer than the idle time-out.
TEST_F(HttpServerTest, AnswersARequestThatArrivesDuringALongHandler) {
  constexpr Duration kIdleTimeout = milliseconds(300);
  std::unique_ptr<RawClient> idle;
  Serve({.idle_timeout = kIdleTimeout},
        [&](ExchangeId id, const HttpMessage& request) {
          if (request.head.target == "/slow") {
            std::this_thread::sleep_for(kIdleTimeout + milliseconds(300));
            idle->Send(kRequest);
          }
          m_server->Post(SendHttpResponse{.id = id});
        });
  idle = std::make_unique<RawClient>(m_endpoint);
  RawClient slow(m_endpoint);
  ASSERT_TRUE(RunUntil([&] { return m_server->connection_count() == 2; }));
  slow.Send("GET /slow HTTP/1.1\r\nHost: h\r\n\r\n");
  RunUntil([&] { return !idle->Received().empty() || idle->HasEnded(); });
  EXPECT_FALSE(idle->Received().empty());
}

// The rest of a request may have arrived in time while the process was paused.
TEST_F(HttpServerTest, CompletesARequestThatWasReceivedBeforeItsTimeout) {
  constexpr Duration kHeaderTimeout = milliseconds(300);
  std::unique_ptr<RawClient> client;
  Serve({.header_timeout = kHeaderTimeout},
        [&](ExchangeId id, const HttpMessage& request) {
          if (request.head.target == "/slow") {
            client->Send("Host: h\r\n\r\n");
            std::this_thread::sleep_for(kHeaderTimeout + milliseconds(300));
          }
          m_server->Post(SendHttpResponse{.id = id});
        });
  client = std::make_unique<RawClient>(m_endpoint);
  RawClient slow(m_endpoint);
  client->Send("GET /x HTTP/1.1\r\n");
  RunFor(milliseconds(50));
  slow.Send("GET /slow HTTP/1.1\r\nHost: h\r\n\r\n");
  RunUntil([&] { return !client->Received().empty() || client->HasEnded(); });
  EXPECT_TRUE(client->Received().starts_with("HTTP/1.1 200"))
      << client->Received();
}

// Clients reuse a connection by the limit that they knew when it became idle.
TEST_F(HttpServerTest, AnswersOnAConnectionThatWasIdleWhenTheLimitFell) {
  ServeEmptyResponses({.idle_timeout = milliseconds(2'000)});
  RawClient client(m_endpoint);
  client.Send(kRequest);
  ASSERT_TRUE(RunUntil([&] { return !client.Received().empty(); }));
  const std::size_t first_size = client.Received().size();
  m_server->Post(ServerLimits{.idle_timeout = milliseconds(200)});
  RunFor(milliseconds(1'500));
  client.Send(kRequest);
  RunUntil([&] {
    return client.Received().size() > first_size || client.HasEnded();
  });
  EXPECT_EQ(client.Received().size(), 2 * first_size);
}

// A client may learn of a lower limit later than the server.
TEST_F(HttpServerTest, AnswersOnAConnectionThatBecameIdleAfterTheLimitFell) {
  ServeEmptyResponses({.idle_timeout = milliseconds(2'000)});
  RawClient client(m_endpoint);
  m_server->Post(ServerLimits{.idle_timeout = milliseconds(200)});
  RunFor(milliseconds(50));
  client.Send(kRequest);
  ASSERT_TRUE(RunUntil([&] { return !client.Received().empty(); }));
  const std::size_t first_size = client.Received().size();
  RunFor(milliseconds(1'200));
  client.Send(kRequest);
  RunUntil([&] {
    return client.Received().size() > first_size || client.HasEnded();
  });
  EXPECT_EQ(client.Received().size(), 2 * first_size);
}

TEST_F(HttpServerTest, ALoweredIdleLimitAppliesAfterTheEarlierOneHasPassed) {
  ServeEmptyResponses({.idle_timeout = milliseconds(600)});
  m_server->Post(ServerLimits{.idle_timeout = milliseconds(100)});
  RunFor(milliseconds(700));
  RawClient client(m_endpoint);
  RunFor(milliseconds(50));
  ASSERT_FALSE(client.HasEnded());
  RunFor(milliseconds(400));
  EXPECT_TRUE(client.HasEnded());
}

// Each version of the configuration posts the limits, changed or not.
TEST_F(HttpServerTest, FurtherConfigurationsDontKeepAnEarlierIdleLimit) {
  Serve({.idle_timeout = milliseconds(600)}, [](ExchangeId, HttpMessage) {});
  for (int i = 0; i < 5; ++i) {
    m_server->Post(ServerLimits{.idle_timeout = milliseconds(100)});
    RunFor(milliseconds(300));
  }
  RawClient client(m_endpoint);
  RunFor(milliseconds(550));
  EXPECT_TRUE(client.HasEnded());
}

TEST_F(HttpServerTest, ASecondLowerLimitKeepsBothEarlierOnes) {
  ServeEmptyResponses({.idle_timeout = milliseconds(1'000)});
  m_server->Post(ServerLimits{.idle_timeout = milliseconds(800)});
  RunFor(milliseconds(950));
  m_server->Post(ServerLimits{.idle_timeout = milliseconds(50)});
  RunFor(milliseconds(100));
  RawClient client(m_endpoint);
  RunFor(milliseconds(600));
  EXPECT_FALSE(client.HasEnded());
}

TEST_F(HttpServerTest, KeepsTheHeaderTimeoutOfARequestThatHasBegun) {
  ServeEmptyResponses({.header_timeout = milliseconds(2'000)});
  RawClient client(m_endpoint);
  client.Send("GET /x HTTP/1.1\r\n");
  RunFor(milliseconds(50));
  m_server->Post(ServerLimits{.header_timeout = milliseconds(100)});
  RunFor(milliseconds(700));
  client.Send("Host: h\r\n\r\n");
  RunUntil([&] { return !client.Received().empty(); });
  EXPECT_TRUE(client.Received().starts_with("HTTP/1.1 200"))
      << client.Received();
}

TEST_F(HttpServerTest, AnswersARequestThatArrivesAsTheServerShutsDown) {
  std::unique_ptr<RawClient> idle;
  Serve({}, [&](ExchangeId id, const HttpMessage& request) {
    if (request.head.target == "/last") {
      idle->Send(kRequest);
      m_server->Post(ShutDownHttpServer{});
    }
    m_server->Post(SendHttpResponse{.id = id});
  });
  idle = std::make_unique<RawClient>(m_endpoint);
  RawClient last(m_endpoint);
  ASSERT_TRUE(RunUntil([&] { return m_server->connection_count() == 2; }));
  last.Send("GET /last HTTP/1.1\r\nHost: h\r\n\r\n");
  RunUntil([&] { return idle->HasEnded(); });
  EXPECT_TRUE(idle->Received().starts_with("HTTP/1.1 200"));
  EXPECT_TRUE(m_unanswered_closes.empty());
}

// A new connection waits in the listener's queue when the server shuts down.
TEST_F(HttpServerTest, AnswersARequestOnAConnectionThatWaitsToBeAccepted) {
  std::unique_ptr<RawClient> waiting;
  Serve({}, [&](ExchangeId id, const HttpMessage& request) {
    if (request.head.target == "/last") {
      waiting = std::make_unique<RawClient>(m_endpoint);
      waiting->Send(kRequest);
      m_server->Post(ShutDownHttpServer{});
    }
    m_server->Post(SendHttpResponse{.id = id});
  });
  RawClient last(m_endpoint);
  last.Send("GET /last HTTP/1.1\r\nHost: h\r\n\r\n");
  RunUntil([&] { return waiting && waiting->HasEnded(); });
  EXPECT_TRUE(waiting->Received().starts_with("HTTP/1.1 200"));
}

// A request is pipelined behind a response that ends during the shutdown and
// whose head didn't announce the close.
TEST_F(HttpServerTest, AnswersAPipelinedRequestAfterTheShutdown) {
  Serve({}, [&](ExchangeId id, const HttpMessage& request) {
    if (request.head.target != "/stream")
      return m_server->Post(SendHttpResponse{.id = id, .status = 204});
    m_server->Post(SendHttpResponseHead{.id = id, .status = 200});
    m_loop.StartTimer(ReadBootClock() + milliseconds(100), [this, id] {
      m_server->Post(ShutDownHttpServer{});
      m_server->Post(EndHttpResponse{.id = id});
    });
  });
  RawClient client(m_endpoint);
  client.Send("GET /stream HTTP/1.1\r\nHost: h\r\n\r\n" + kRequest);
  RunUntil([&] { return client.HasEnded(); });
  EXPECT_THAT(client.Received(), testing::HasSubstr("HTTP/1.1 204"));
  EXPECT_EQ(m_unanswered_closes.size(), 0U);
}

// The shutdown is handled between a response and the request that was pipelined
// behind it.
TEST_F(HttpServerTest, AnswersAPipelinedRequestThatTheShutdownOvertakes) {
  Serve({}, [&](ExchangeId id, const HttpMessage& request) {
    if (request.head.target != "/first")
      return m_server->Post(SendHttpResponse{.id = id, .status = 204});
    m_server->Post(SendHttpResponse{.id = id});
    m_server->Post(ShutDownHttpServer{});
  });
  RawClient client(m_endpoint);
  client.Send("GET /first HTTP/1.1\r\nHost: h\r\n\r\n" + kRequest);
  RunUntil([&] { return client.HasEnded(); });
  EXPECT_THAT(client.Received(), testing::HasSubstr("HTTP/1.1 204"));
  EXPECT_EQ(m_unanswered_closes.size(), 0U);
}

TEST_F(HttpServerTest, EndsAConnectionWhoseClientDoesNotReadItsLastResponse) {
  ServeLargeBodies({}, /*close_connection=*/true);
  RawClient client(m_endpoint);
  client.Send(kRequest);
  ASSERT_TRUE(RunUntil([&] { return m_server->connection_count() == 1; }));
  RunFor(milliseconds(4'000));
  RunFor(milliseconds(4'000));
  EXPECT_EQ(m_server->connection_count(), 1U);
  EXPECT_TRUE(RunUntil([&] { return m_server->connection_count() == 0; }));
}

// The client reads all the time, but the response takes longer than the
// time-out of a closing connection.
TEST_F(HttpServerTest, ALastResponseIsCompleteForASlowReader) {
  ServeLargeBodies({}, /*close_connection=*/true);
  SlowReader client(m_endpoint);
  RunUntil([&] { return client.ReadSome(); });
  EXPECT_GT(client.received(), kLargeBody);
}

TEST_F(HttpServerTest, HasUnsentBytesUntilASlowReaderHasCaughtUp) {
  ServeLargeBodies({}, /*close_connection=*/true);
  EXPECT_FALSE(m_server->HasUnsentBytes());
  SlowReader client(m_endpoint);
  EXPECT_TRUE(RunUntil([&] { return m_server->HasUnsentBytes(); }));
  m_server->Post(ShutDownHttpServer{});
  EXPECT_TRUE(RunUntil(
      [&] { return client.ReadSome() || !m_server->HasUnsentBytes(); }));
  EXPECT_FALSE(m_server->HasUnsentBytes());
  RunUntil([&] { return client.ReadSome(); });
  EXPECT_GT(client.received(), kLargeBody);
}

TEST_F(HttpServerTest, AResponseLongerThanTheIdleTimeoutIsComplete) {
  ServeLargeBodies({.idle_timeout = milliseconds(500)},
                   /*close_connection=*/false);
  SlowReader client(m_endpoint);
  RunUntil([&] { return client.ReadSome(); });
  EXPECT_GT(client.received(), kLargeBody);
}

// At the limit, the listener stays readable; watching it would spin the loop.
TEST_F(HttpServerTest, DoesNotSpinAtTheConnectionLimit) {
  ServeEmptyResponses({.max_connections = 1});
  RawClient first(m_endpoint);
  ASSERT_TRUE(RunUntil([&] { return m_server->connection_count() == 1; }));
  RawClient second(m_endpoint);
  const auto processor_time = [] {
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return std::chrono::seconds(time.tv_sec) +
           std::chrono::microseconds(time.tv_nsec / 1'000);
  };
  const Duration before = processor_time();
  constexpr Duration kObserved = milliseconds(500);
  RunFor(kObserved);
  EXPECT_LT(processor_time() - before, kObserved / 5);
  EXPECT_EQ(m_accept_pauses, std::vector<std::string>{"connection limit"});
}

TEST_F(HttpServerTest, AnswersAClientThatWaitedForAPlaceAtTheConnectionLimit) {
  ServeEmptyResponses({.max_connections = 1});
  auto first = std::make_unique<RawClient>(m_endpoint);
  ASSERT_TRUE(RunUntil([&] { return m_server->connection_count() == 1; }));
  RawClient second(m_endpoint);
  second.Send(kRequest);
  RunFor(milliseconds(100));
  EXPECT_TRUE(second.Received().empty());
  first.reset();
  // Sooner than the next check of expired connections.
  const TimePoint closed_at = ReadBootClock();
  EXPECT_TRUE(RunUntil([&] { return !second.Received().empty(); }));
  EXPECT_LT(ReadBootClock() - closed_at, milliseconds(100));
}

// Clients that reuse their connections by the idle limit that they know, while
// the limit changes and handlers block the loop.
TEST_F(HttpServerTest, EachRequestIsAnsweredWhileLimitsChange) {
  constexpr std::size_t kClients = 24;
  constexpr Duration kDuration = milliseconds(2'500);
  constexpr std::uint64_t kSeed = 20261204;
  Random random(kSeed);
  const auto random_limit = [&random] {
    return milliseconds(200 + random.Below(600));
  };
  struct Client {
    std::unique_ptr<RawClient> connection;
    std::size_t sent = 0;
    std::size_t received = 0;
    TimePoint next_request;
    // The connection is used until then.
    TimePoint reusable_until;
  };
  Duration known_limit = random_limit();
  Serve({.idle_timeout = known_limit}, [&](ExchangeId id, const HttpMessage&) {
    if (random.Below(40) == 0)
      std::this_thread::sleep_for(milliseconds(150));
    m_server->Post(SendHttpResponse{.id = id, .body = "!"});
  });
  std::vector<Client> clients(kClients);
  std::size_t lost = 0;
  const TimePoint end = ReadBootClock() + kDuration;
  TimePoint next_change = ReadBootClock();
  RunUntil([&] {
    const TimePoint now = ReadBootClock();
    if (now >= next_change) {
      known_limit = random_limit();
      m_server->Post(ServerLimits{.idle_timeout = known_limit});
      next_change = now + milliseconds(100);
    }
    for (Client& client : clients) {
      if (client.connection && client.received < client.sent) {
        const std::string& bytes = client.connection->Received();
        client.received += bytes.ends_with("!") ? 1 : 0;
        if (client.received < client.sent && !client.connection->HasEnded())
          continue;
        if (client.received < client.sent) {
          ++lost;
          client.received = client.sent;
        }
        client.reusable_until = now + known_limit * 4 / 5;
        client.next_request = now + milliseconds(random.Below(700));
      }
      if (now < client.next_request || now >= end)
        continue;
      if (!client.connection || now > client.reusable_until)
        client.connection = std::make_unique<RawClient>(m_endpoint);
      client.connection->Clear();
      client.connection->Send(kRequest);
      ++client.sent;
    }
    return now >= end && std::ranges::all_of(clients, [](const Client& client) {
             return client.received == client.sent;
           });
  });
  EXPECT_EQ(lost, 0U);
  for (const Client& client : clients)
    EXPECT_EQ(client.received, client.sent);
  EXPECT_TRUE(m_unanswered_closes.empty());
}

}  // namespace
}  // namespace boragepick
