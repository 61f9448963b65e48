// An event loop with an HTTP server on a loopback port, and clients that send
// raw bytes to it from the loop's own thread.
#pragma once

#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "frontends/boot_clock.h"
#include "frontends/http/http_server.h"

namespace boragepick {

inline sockaddr_in LoopbackAddress(std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(port);
  return address;
}

// Returns a port that no socket listens on at the time of the call.
inline std::uint16_t FreePort() {
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address = LoopbackAddress(0);
  EXPECT_EQ(bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)),
            0);
  socklen_t size = sizeof(address);
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  close(fd);
  return ntohs(address.sin_port);
}

// A client connection on which the test decides when each byte is sent.
class RawClient {
 public:
  explicit RawClient(const Endpoint& endpoint)
      : m_fd(socket(AF_INET, SOCK_STREAM, 0)) {
    const sockaddr_in address = LoopbackAddress(endpoint.port);
    EXPECT_EQ(connect(m_fd, reinterpret_cast<const sockaddr*>(&address),
                      sizeof(address)),
              0);
  }
  ~RawClient() { close(m_fd); }
  RawClient(const RawClient&) = delete;
  RawClient& operator=(const RawClient&) = delete;

  void Send(const std::string& bytes) {
    send(m_fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
  }
  // Sends what the socket accepts and returns how much that is.
  std::size_t TrySend(std::string_view bytes) {
    const ssize_t count =
        send(m_fd, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    return count > 0 ? static_cast<std::size_t>(count) : 0;
  }
  // Everything received so far.
  const std::string& Received() {
    std::array<char, 4'096> bytes;
    while (!m_ended) {
      const ssize_t count =
          recv(m_fd, bytes.data(), bytes.size(), MSG_DONTWAIT);
      if (count > 0) {
        m_received.append(bytes.data(), static_cast<std::size_t>(count));
        continue;
      }
      if (count < 0 && errno == EAGAIN)
        break;
      m_ended = true;
    }
    return m_received;
  }
  void Clear() { m_received.clear(); }
  bool HasEnded() {
    Received();
    return m_ended;
  }

 private:
  int m_fd;
  bool m_ended = false;
  std::string m_received;
};

class HttpFixture : public testing::Test {
 protected:
  HttpFixture() : m_endpoint{.ip = "127.0.0.1", .port = FreePort()} {}

  // Runs the loop until `done` returns true or five seconds have passed.
  bool RunUntil(const std::function<bool()>& done) {
    using std::chrono::milliseconds;
    using std::chrono::seconds;
    const TimePoint deadline = ReadBootClock() + seconds(5);
    std::function<void()> check = [&] {
      if (done() || ReadBootClock() > deadline)
        m_loop.Quit();
      else
        m_loop.StartTimer(ReadBootClock() + milliseconds(2), check);
    };
    m_loop.Defer(check);
    m_loop.Run();
    return done();
  }
  void RunFor(Duration duration) {
    const TimePoint until = ReadBootClock() + duration;
    RunUntil([until] { return ReadBootClock() >= until; });
  }

  void Serve(ServerLimits limits,
             std::function<void(ExchangeId, HttpMessage)> request,
             const ServerMemory& memory = {}) {
    m_server = std::make_unique<HttpServer>(
        m_loop, m_endpoint, limits,
        ServerHandlers{
            .on_request = std::move(request),
            .on_disconnected =
                [this](ExchangeId, ConnectionEnd end) {
                  m_disconnects.push_back(end);
                },
            .on_rejected =
                [this](RequestFault fault) { m_rejections.push_back(fault); },
            .on_unsent_changed =
                [this](ExchangeId id, std::size_t unsent, std::size_t total) {
                  m_unsent[id] = unsent;
                  m_total_unsent = total;
                },
            .on_unanswered_close =
                [this](const UnansweredClose& close) {
                  m_unanswered_closes.push_back(close);
                },
            .on_accept_paused =
                [this](const std::string& reason) {
                  m_accept_pauses.push_back(reason);
                }},
        memory);
  }

  EventLoop m_loop;
  Endpoint m_endpoint;
  std::unique_ptr<HttpServer> m_server;
  std::vector<ConnectionEnd> m_disconnects;
  std::vector<UnansweredClose> m_unanswered_closes;
  std::vector<std::string> m_accept_pauses;
  std::vector<RequestFault> m_rejections;
  std::map<ExchangeId, std::size_t> m_unsent;
  std::size_t m_total_unsent = 0;
};

}  // namespace boragepick
