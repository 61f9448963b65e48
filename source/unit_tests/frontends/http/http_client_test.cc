// Tests of the HTTP client with servers that send faulty, late or repeated
// responses.

#include <gtest/gtest.h>

#include <ctime>
#include <string>

#include "unit_tests/frontends/http/http_client_fixture.h"

namespace boragepick {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A worker repeated a refusal without the request's id: the next request on
// the connection was reported as not run.
TEST_F(HttpClientTest, ResponseWithoutIdOnAReusedConnectionProvesNothing) {
  m_server.OnRequest([this](const RawServer::Request& request) {
    const std::string id = IdOf(request);
    m_server.Write(request.connection, id == "1" ? Refusal("1") : Refusal(""));
  });
  EXPECT_EQ(Perform(MakeCall()).status, 503U);
  const Outcome repeated = Perform(MakeCall());
  EXPECT_EQ(m_server.connection_count(), 1U);
  EXPECT_EQ(repeated.status, 0U);
  ASSERT_TRUE(repeated.failed);
  EXPECT_EQ(repeated.failed->failure, CallFailure::kMalformed);
  EXPECT_TRUE(repeated.failed->sent);
}

TEST_F(HttpClientTest, ResponseWithoutIdOnANewConnectionIsAccepted) {
  m_server.OnRequest([this](const RawServer::Request& request) {
    m_server.Write(request.connection, Refusal(""));
  });
  EXPECT_EQ(Perform(MakeCall()).status, 503U);
}

// The repeated response to an earlier call had arrived, but wasn't read yet,
// when the next call began.
TEST_F(HttpClientTest, ConnectionWithUnreadInputIsNotReused) {
  m_server.OnRequest([this](const RawServer::Request& request) {
    m_server.Write(request.connection,
                   IdOf(request) == "1" ? Refusal("") : Success("", "second"));
  });
  const auto without_echo = [this] {
    StartCall call = MakeCall();
    call.echo_name.clear();
    return call;
  };
  EXPECT_EQ(Perform(without_echo()).status, 503U);
  m_loop.Defer([this] { m_server.Write(0, Refusal("")); });
  EXPECT_EQ(Perform(without_echo()).body, "second");
  EXPECT_EQ(m_server.connection_count(), 2U);
}

TEST_F(HttpClientTest, ConnectionThatTheServerHasClosedIsNotReused) {
  m_server.OnRequest([this](const RawServer::Request& request) {
    m_server.Write(request.connection, Success(IdOf(request), "x"));
  });
  EXPECT_TRUE(Perform(MakeCall()).completed);
  m_loop.Defer([this] { m_server.Close(0); });
  EXPECT_TRUE(Perform(MakeCall()).completed);
  EXPECT_EQ(m_server.connection_count(), 2U);
}

// Sends a refusal twice, the second time split at `split` with a pause, and
// checks that the next call gets its own response.
class RepeatedRefusal : public HttpClientTest,
                        public testing::WithParamInterface<std::size_t> {};

TEST_P(RepeatedRefusal, IsNotTakenForTheNextResponse) {
  for (const Duration delay : {milliseconds(0), milliseconds(5)}) {
    StartCall refused = MakeCall();
    const std::string id = refused.echo_value;
    const std::string refusal = Refusal(id);
    const std::size_t split = std::min(GetParam(), refusal.size());
    m_server.OnRequest([&](const RawServer::Request& request) {
      const std::size_t connection = request.connection;
      if (IdOf(request) != id)
        return m_server.Write(connection, Success(IdOf(request), "own"));
      m_server.Write(connection, refusal + refusal.substr(0, split));
      After(delay, [this, connection, rest = refusal.substr(split)] {
        m_server.Write(connection, rest);
      });
    });
    EXPECT_EQ(Perform(std::move(refused)).status, 503U);
    EXPECT_EQ(Perform(MakeCall()).body, "own");
    RunFor(milliseconds(10));
    EXPECT_EQ(Perform(MakeCall()).body, "own");
  }
}

INSTANTIATE_TEST_SUITE_P(Splits,
                         RepeatedRefusal,
                         testing::Values(0, 1, 9, 40, 60, 75, 1'000));

// The repetition arrives after the next request was sent, whole, with a late
// body, or behind a delay.
TEST_F(HttpClientTest, RefusalRepeatedAfterTheNextRequestIsDiscarded) {
  const std::string refusal = Refusal("1");
  for (std::size_t split = 1; split <= refusal.size(); ++split) {
    m_server.OnRequest([&, split](const RawServer::Request& request) {
      const std::size_t connection = request.connection;
      const std::string id = IdOf(request);
      if (id == "1" || connection > 0)
        return m_server.Write(connection,
                              id == "1" ? refusal : Success(id, "own"));
      m_server.Write(connection, refusal.substr(0, split));
      After(milliseconds(1), [&, connection, split, id] {
        m_server.Write(connection, refusal.substr(split) + Success(id, "own"));
      });
    });
    if (split == 1) {
      EXPECT_EQ(Perform(MakeCall()).status, 503U);
    }
    const Outcome next = Perform(MakeCall());
    EXPECT_EQ(next.status, 200U) << split;
    EXPECT_EQ(next.body, "own") << split;
  }
  EXPECT_EQ(m_server.connection_count(), 1U);
}

TEST_F(HttpClientTest, ResponsesWithoutABodyDontHideARepeatedOne) {
  for (const bool is_head : {false, true}) {
    m_server.OnRequest([&](const RawServer::Request& request) {
      const std::string id = IdOf(request);
      const bool first =
          request.connection + 1 == m_server.connection_count() &&
          m_outcomes[std::stoul(id) - 1].status == 0;
      m_server.Write(request.connection,
                     first ? (is_head ? "HTTP/1.1 200 OK\r\nEcho: " + id +
                                            "\r\nContent-Length: 9\r\n\r\n"
                                      : "HTTP/1.1 204 No Content\r\nEcho: " +
                                            id + "\r\n\r\n") +
                                 Refusal(id)
                           : Success(id, "own"));
    });
    StartCall call = MakeCall();
    call.head_request = is_head;
    const Outcome first = Perform(std::move(call));
    EXPECT_TRUE(first.completed);
    EXPECT_EQ(first.body, "");
    EXPECT_EQ(Perform(MakeCall()).body, "own");
  }
}

TEST_F(HttpClientTest, ResponseThatClosesTheConnectionIsTheLastOnIt) {
  m_server.OnRequest([this](const RawServer::Request& request) {
    const std::string id = IdOf(request);
    m_server.Write(request.connection,
                   "HTTP/1.1 200 OK\r\nConnection: close\r\nEcho: " + id +
                       "\r\nContent-Length: 3\r\n\r\nown" + Refusal(id));
  });
  for (std::size_t calls = 1; calls <= 3; ++calls) {
    EXPECT_EQ(Perform(MakeCall()).body, "own");
    EXPECT_EQ(m_server.connection_count(), calls);
  }
}

TEST_F(HttpClientTest, ConnectionThatEndsInAnEarlierResponseFailsTheCall) {
  m_server.OnRequest([this](const RawServer::Request& request) {
    if (IdOf(request) == "1")
      return m_server.Write(request.connection, Refusal("1"));
    m_server.Write(request.connection, "HTTP/1.1 200 OK\r\nEcho: 1\r\n\r\nold");
    m_server.Close(request.connection);
  });
  EXPECT_EQ(Perform(MakeCall()).status, 503U);
  const Outcome next = Perform(MakeCall());
  EXPECT_EQ(next.status, 0U);
  ASSERT_TRUE(next.failed);
  EXPECT_TRUE(next.failed->sent);
}

// How a response without a length ends.
enum class End { kClose, kReset };

struct UnframedCase {
  std::string bytes;
  End end = End::kClose;
  // The body of a complete response.
  std::optional<std::string> body;
};

TEST_F(HttpClientTest, ResponseWithoutALengthIsCompleteOnlyIfItIsClosed) {
  const std::string head = "HTTP/1.1 200 OK\r\nEcho: 1\r\n\r\n";
  const std::string http10 = "HTTP/1.0 200 OK\r\n";
  const std::string large(300 << 10, 'x');
  const std::string larger(9 << 20, 'y');
  const std::vector<UnframedCase> cases{
      {.bytes = head + "abc", .body = "abc"},
      {.bytes = head, .body = ""},
      {.bytes = http10 + "\r\nabc", .body = "abc"},
      {.bytes = http10 + "Connection: keep-alive\r\n\r\nabc", .body = "abc"},
      {.bytes = head + large, .body = large},
      {.bytes = head + larger, .body = larger},
      {.bytes = ""},
      {.bytes = "HTTP/1.1 200 OK\r\nEc"},
      {.bytes = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nabc"},
      {.bytes = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                "3\r\nabc\r\n"},
      {.bytes = head + "abc", .end = End::kReset},
      {.bytes = "", .end = End::kReset},
  };
  for (const UnframedCase& unframed : cases) {
    m_server.OnRequest([&](const RawServer::Request& request) {
      m_server.Write(request.connection, unframed.bytes);
      if (unframed.end == End::kReset)
        m_server.Reset(request.connection);
      else
        m_server.Close(request.connection);
    });
    StartCall call = MakeCall();
    call.echo_name.clear();
    const std::size_t connections = m_server.connection_count();
    const Outcome outcome = Perform(std::move(call));
    const std::string name = unframed.bytes.substr(0, 80);
    EXPECT_EQ(m_server.connection_count(), connections + 1) << name;
    EXPECT_EQ(outcome.completed, unframed.body.has_value()) << name;
    EXPECT_EQ(outcome.ended_by_close, unframed.body.has_value()) << name;
    if (unframed.body)
      EXPECT_TRUE(outcome.body == *unframed.body) << name;
    else
      EXPECT_EQ(outcome.failed->failure, CallFailure::kReset) << name;
  }
}

// A worker in trouble sent the status 000, and its caller got that response.
TEST_F(HttpClientTest, ResponseWithAnInvalidStatusFailsTheCall) {
  for (const std::string status :
       {"000", "001", "099", "600", "700", "999", "-20", "2x0", "20"}) {
    m_server.OnRequest([&](const RawServer::Request& request) {
      m_server.Write(request.connection,
                     "HTTP/1.1 " + status + " OK\r\nEcho: " + IdOf(request) +
                         "\r\nContent-Length: 3\r\n\r\nabc");
    });
    const Outcome outcome = Perform(MakeCall());
    EXPECT_EQ(outcome.status, 0U) << status;
    EXPECT_FALSE(outcome.completed) << status;
    ASSERT_TRUE(outcome.failed) << status;
    EXPECT_EQ(outcome.failed->failure, CallFailure::kMalformed) << status;
    EXPECT_TRUE(outcome.failed->sent) << status;
  }
}

// A worker that responds before it reads a long body gets the rest of that body
// before the next request.
TEST_F(HttpClientTest, NextRequestFollowsTheWholeBodyOfAnUnreadOne) {
  m_server.OnAccepted([this](std::size_t connection) {
    m_server.Write(connection, Refusal("1"));
    return false;
  });
  std::vector<RawServer::Request> requests;
  m_server.OnRequest([&](const RawServer::Request& request) {
    requests.push_back(request);
    if (IdOf(request) != "1")
      m_server.Write(request.connection, Success(IdOf(request), "own"));
  });
  // More than the sockets hold.
  const std::string body(7 << 20, 'b');
  EXPECT_EQ(Perform(MakeCall(body)).status, 503U);
  After(milliseconds(20), [this] { m_server.StartReading(0); });
  EXPECT_EQ(Perform(MakeCall("next")).body, "own");
  EXPECT_EQ(m_server.connection_count(), 1U);
  ASSERT_EQ(requests.size(), 2U);
  EXPECT_TRUE(requests[0].body == body);
  EXPECT_EQ(requests[1].body, "next");
}

// A worker crashed while it sent a response without a length and had not read
// the whole request: the failure of the pending write hid the reset, so that
// the response was taken for complete.
TEST_F(HttpClientTest,
       ResetWhileTheRequestIsUnsentFailsAResponseWithoutLength) {
  const std::string body(32 << 20, 'b');
  // The reset arrives with the response, or after it was received.
  for (const Duration delay : {milliseconds(0), milliseconds(20)}) {
    m_server.OnAccepted([this, delay](std::size_t connection) {
      m_server.Write(connection, "HTTP/1.1 200 OK\r\nEcho: " +
                                     std::to_string(connection + 1) +
                                     "\r\n\r\nhalf of the bo");
      After(delay, [this, connection] { m_server.Reset(connection); });
      return false;
    });
    const Outcome outcome = Perform(MakeCall(body));
    EXPECT_FALSE(outcome.completed);
    ASSERT_TRUE(outcome.failed);
    EXPECT_EQ(outcome.failed->failure, CallFailure::kReset);
    EXPECT_TRUE(outcome.failed->sent);
  }
}

// A worker may end such a response in order before it has read the request.
TEST_F(HttpClientTest, CloseWhileTheRequestIsUnsentCompletesAResponse) {
  m_server.OnAccepted([&](std::size_t connection) {
    m_server.Write(connection,
                   "HTTP/1.1 200 OK\r\nEcho: 1\r\n\r\nthe whole body");
    m_server.ShutDownSending(connection);
    return false;
  });
  const Outcome outcome = Perform(MakeCall(std::string(32 << 20, 'b')));
  EXPECT_TRUE(outcome.completed);
  EXPECT_TRUE(outcome.ended_by_close);
  EXPECT_EQ(outcome.body, "the whole body");
}

// Workers that respond before they read a body would otherwise keep it in the
// client's memory, once for each idle connection.
TEST_F(HttpClientTest, ConnectionWithTooMuchUnsentIsNotKept) {
  m_server.OnAccepted([this](std::size_t connection) {
    m_server.Write(connection, Refusal(std::to_string(connection + 1)));
    return false;
  });
  const std::string body(32 << 20, 'b');
  EXPECT_EQ(Perform(MakeCall(body)).status, 503U);
  EXPECT_EQ(Perform(MakeCall(body)).status, 503U);
  EXPECT_EQ(m_server.connection_count(), 2U);
}

// The processor time of this process in seconds.
double ProcessorTime() {
  return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

// How the server goes on while the call is paused.
enum class WhilePaused { kWrites, kCloses, kResets };

// A worker sent a body without end, as fast as it could: all of it was kept.
TEST_F(HttpClientTest, PausedCallLeavesTheResponseToTheServer) {
  const std::string body(32 << 20, 'x');
  for (const WhilePaused action :
       {WhilePaused::kWrites, WhilePaused::kCloses, WhilePaused::kResets}) {
    std::size_t connection = 0;
    m_server.OnRequest([&](const RawServer::Request& request) {
      connection = request.connection;
      m_server.Write(connection, "HTTP/1.1 200 OK\r\nEcho: " + IdOf(request) +
                                     "\r\n\r\n" + body);
    });
    const StartCall call = MakeCall();
    const CallId id = call.id;
    m_client.Post(call);
    ASSERT_TRUE(RunUntil([&] { return !m_outcomes[id].body.empty(); }));
    m_client.Post(PauseCall{.id = id});
    RunFor(milliseconds(20));
    const std::size_t received = m_outcomes[id].body.size();
    if (action == WhilePaused::kCloses)
      m_server.Close(connection);
    else if (action == WhilePaused::kResets)
      m_server.Abort(connection);
    const double processor_time = ProcessorTime();
    RunFor(milliseconds(300));
    EXPECT_LT(ProcessorTime() - processor_time, 0.2);
    EXPECT_EQ(m_outcomes[id].body.size(), received);
    EXPECT_LT(received, body.size() / 2);
    EXPECT_FALSE(HasEnded(id));
    m_client.Post(ResumeCall{.id = id});
    if (action == WhilePaused::kWrites) {
      ASSERT_TRUE(
          RunUntil([&] { return m_outcomes[id].body.size() == body.size(); }));
      m_server.Close(connection);
    }
    ASSERT_TRUE(RunUntil([&] { return HasEnded(id); }));
    EXPECT_EQ(m_outcomes[id].completed, action != WhilePaused::kResets);
    if (m_outcomes[id].completed) {
      EXPECT_TRUE(m_outcomes[id].body == body);
    }
  }
}

TEST_F(HttpClientTest, ResponseBeyondTheLimitOfItsCallFails) {
  m_server.OnRequest([&](const RawServer::Request& request) {
    m_server.Write(request.connection,
                   Success(IdOf(request), std::string(100'000, 'x')));
  });
  StartCall call = MakeCall();
  call.max_response_bytes = 100'000;
  EXPECT_TRUE(Perform(std::move(call)).completed);
  call = MakeCall();
  call.max_response_bytes = 99'999;
  const Outcome outcome = Perform(std::move(call));
  ASSERT_TRUE(outcome.failed);
  EXPECT_EQ(outcome.failed->failure, CallFailure::kTooLarge);
  EXPECT_LT(outcome.body.size(), 100'000U);
}

// A worker that stops in the middle of its response, at any byte, and closes.
TEST_F(HttpClientTest, ResponseCutAtAnyByteIsNotComplete) {
  const std::string head = "HTTP/1.1 200 OK\r\nEcho: 1\r\nSignature: s\r\n";
  const std::string by_length = head + "Content-Length: 12\r\n\r\nabcdefghijkl";
  const std::string by_chunks = head +
                                "Transfer-Encoding: chunked\r\n\r\n"
                                "5\r\nabcde\r\n7\r\nfghijkl\r\n0\r\n\r\n";
  const std::string by_close = head + "\r\n";
  for (const std::string& response : {by_length, by_chunks, by_close}) {
    for (const End end : {End::kClose, End::kReset}) {
      for (std::size_t length = 0; length < response.size(); ++length) {
        m_server.OnRequest([&](const RawServer::Request& request) {
          m_server.Write(request.connection, response.substr(0, length));
          if (end == End::kReset)
            m_server.Reset(request.connection);
          else
            m_server.Close(request.connection);
        });
        StartCall call = MakeCall();
        call.echo_name.clear();
        const Outcome outcome = Perform(std::move(call));
        EXPECT_FALSE(outcome.completed) << response.substr(0, length);
      }
    }
  }
}

}  // namespace
}  // namespace boragepick
