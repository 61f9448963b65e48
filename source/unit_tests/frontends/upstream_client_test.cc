// The agent's client for its upstream against servers that end, reset or
// prolong their responses.

#include <gtest/gtest.h>

#include <sys/socket.h>

#include <chrono>
#include <condition_variable>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "frontends/upstream_client.h"
#include "unit_tests/frontends/http/blocking_socket.h"

namespace boragepick {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class UpstreamClientTest : public testing::Test {
 protected:
  ~UpstreamClientTest() override { m_task.Stop(); }

  void Start(const std::string& address) {
    m_task.Start<UpstreamClient>(
        UpstreamOptions{.url = "http://" + address},
        UpstreamEventHandler([this](AgentEvent event) {
          const std::lock_guard lock(m_mutex);
          if (const auto* bytes = std::get_if<UpstreamBytes>(&event))
            m_received += bytes->bytes.size();
          else if (const auto* head = std::get_if<UpstreamHead>(&event))
            m_status = head->head.status;
          else if (const auto* ended = std::get_if<UpstreamEnded>(&event))
            m_end = ended->end;
          m_changed.notify_all();
        }));
  }
  void StartRun(std::size_t body_bytes, std::uint64_t response_limit) {
    m_task.Post(
        boragepick::StartRun{.run = 1,
                             .request = {.path = "/x",
                                         .content_type = "text/plain",
                                         .body = std::string(body_bytes, 'b'),
                                         .response_limit = response_limit}});
  }
  template <typename Condition>
  bool WaitFor(Condition condition, Duration limit = seconds(10)) {
    std::unique_lock lock(m_mutex);
    return m_changed.wait_for(lock, limit, condition);
  }

  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::optional<unsigned> m_status;
  std::size_t m_received = 0;
  std::optional<UpstreamEnd> m_end;
  GlibTask<UpstreamMessage> m_task;
};

// An upstream crashes while it sends a response without a length and has not
// read the whole request. The gateway's client took this for the end.
TEST_F(UpstreamClientTest, ResetWhileTheRequestIsUnsentFailsTheRun) {
  const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int window = 4'096;
  setsockopt(listener, SOL_SOCKET, SO_RCVBUF, &window, sizeof(window));
  sockaddr_in address = LoopbackEndpoint(0);
  socklen_t size = sizeof(address);
  ASSERT_EQ(bind(listener, reinterpret_cast<const sockaddr*>(&address), size),
            0);
  ASSERT_EQ(listen(listener, 1), 0);
  getsockname(listener, reinterpret_cast<sockaddr*>(&address), &size);
  Start("127.0.0.1:" + std::to_string(ntohs(address.sin_port)));
  StartRun(32 << 20, 0);
  const int connection = accept(listener, nullptr, nullptr);
  ASSERT_GE(connection, 0);
  const std::string response = "HTTP/1.1 200 OK\r\n\r\nhalf of the bo";
  send(connection, response.data(), response.size(), MSG_NOSIGNAL);
  std::this_thread::sleep_for(milliseconds(100));
  const linger reset{.l_onoff = 1, .l_linger = 0};
  setsockopt(connection, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
  close(connection);
  close(listener);
  ASSERT_TRUE(WaitFor([this] { return m_end.has_value(); }));
  EXPECT_NE(*m_end, UpstreamEnd::kComplete);
}

// An upstream in trouble sends a status that no response can have.
class UpstreamStatusTest : public UpstreamClientTest,
                           public testing::WithParamInterface<const char*> {};

TEST_P(UpstreamStatusTest, AnInvalidStatusFailsTheRun) {
  BlockingServer server([](BlockingSocket& socket, const HttpMessage&) {
    socket.Send(std::string("HTTP/1.1 ") + GetParam() +
                " OK\r\nContent-Length: 3\r\n\r\nabc");
  });
  Start(server.address());
  StartRun(0, 0);
  ASSERT_TRUE(WaitFor([this] { return m_end.has_value(); }));
  EXPECT_EQ(*m_end, UpstreamEnd::kFailed);
  EXPECT_FALSE(m_status);
  EXPECT_EQ(m_received, 0U);
}

INSTANTIATE_TEST_SUITE_P(Statuses,
                         UpstreamStatusTest,
                         testing::Values("000", "099", "600", "999"));

TEST_F(UpstreamClientTest, ReadsNoFurtherThanPermitted) {
  constexpr std::size_t kResponse = 8 << 20;
  BlockingServer server([](BlockingSocket& socket, const HttpMessage&) {
    socket.Send(
        "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(kResponse) +
        "\r\n\r\n" + std::string(kResponse, 'x'));
  });
  Start(server.address());
  StartRun(0, 100'000);
  const auto received_at_least = [this](std::size_t bytes) {
    return [this, bytes] { return m_received >= bytes; };
  };
  ASSERT_TRUE(WaitFor(received_at_least(100'000)));
  constexpr std::size_t kReadBytes = 32 << 10;
  EXPECT_FALSE(
      WaitFor(received_at_least(100'000 + kReadBytes), milliseconds(300)));
  m_task.Post(ExtendUpstreamRun{.run = 1, .response_limit = 1'000'000});
  ASSERT_TRUE(WaitFor(received_at_least(1'000'000)));
  EXPECT_FALSE(
      WaitFor(received_at_least(1'000'000 + kReadBytes), milliseconds(300)));
  m_task.Post(ExtendUpstreamRun{.run = 1, .response_limit = 2 * kResponse});
  ASSERT_TRUE(WaitFor([this] { return m_end.has_value(); }));
  EXPECT_EQ(*m_end, UpstreamEnd::kComplete);
  EXPECT_EQ(m_received, kResponse);
}

// No read is pending then that the cancellation could end.
TEST_F(UpstreamClientTest, ARunThatAwaitsCreditCanBeCancelled) {
  BlockingServer server([](BlockingSocket& socket, const HttpMessage&) {
    socket.Send("HTTP/1.1 200 OK\r\n\r\n" + std::string(8 << 20, 'x'));
  });
  Start(server.address());
  StartRun(0, 100'000);
  ASSERT_TRUE(WaitFor([this] { return m_received >= 100'000; }));
  std::this_thread::sleep_for(milliseconds(50));
  m_task.Post(CancelUpstreamRun{.run = 1});
  ASSERT_TRUE(WaitFor([this] { return m_end.has_value(); }));
  EXPECT_EQ(*m_end, UpstreamEnd::kFailed);
}

}  // namespace
}  // namespace boragepick
