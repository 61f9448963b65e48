// A client and a server for tests, on loopback, that send exactly the bytes
// they are told to. Their calls block, so each connection has a thread.
#pragma once

#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <functional>
#include <mutex>
#include <set>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include "frontends/http/http_message.h"
#include "frontends/http/http_parser.h"

namespace boragepick {

inline sockaddr_in LoopbackEndpoint(std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

// A connection whose calls block, for at most five seconds each.
class BlockingSocket {
 public:
  explicit BlockingSocket(int fd) : m_fd(fd) {
    const timeval limit{.tv_sec = 5, .tv_usec = 0};
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
  }
  ~BlockingSocket() { close(m_fd); }
  BlockingSocket(const BlockingSocket&) = delete;
  BlockingSocket& operator=(const BlockingSocket&) = delete;

  static BlockingSocket Connect(std::uint16_t port) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = LoopbackEndpoint(port);
    // A connection that fails is found by the first call on it.
    static_cast<void>(connect(fd, reinterpret_cast<const sockaddr*>(&address),
                              sizeof(address)));
    return BlockingSocket(fd);
  }
  bool Send(std::string_view bytes) {
    while (!bytes.empty()) {
      const ssize_t count =
          send(m_fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
      if (count <= 0)
        return false;
      bytes.remove_prefix(static_cast<std::size_t>(count));
    }
    return true;
  }
  // Returns nothing at the end of the connection.
  std::string Receive() {
    std::array<char, 64 << 10> bytes;
    const ssize_t count = recv(m_fd, bytes.data(), bytes.size(), 0);
    return count <= 0 ? "" : std::string(bytes.data(), count);
  }
  template <typename Parser>
  bool Read(Parser& parser) {
    while (!parser.done() && parser.error() == ParseError::kNone) {
      const std::string bytes = Receive();
      if (bytes.empty())
        return false;
      m_input += bytes;
      parser.Consume(m_input);
    }
    return parser.done();
  }

 private:
  int m_fd;
  std::string m_input;
};

// Serves each connection on a thread of its own until it is destroyed.
class BlockingServer {
 public:
  using Handler = std::function<void(BlockingSocket&, const HttpMessage&)>;

  explicit BlockingServer(Handler handler)
      : m_handler(std::move(handler)),
        m_listener(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    sockaddr_in address = LoopbackEndpoint(0);
    socklen_t size = sizeof(address);
    EXPECT_EQ(
        bind(m_listener, reinterpret_cast<const sockaddr*>(&address), size), 0);
    EXPECT_EQ(listen(m_listener, SOMAXCONN), 0);
    getsockname(m_listener, reinterpret_cast<sockaddr*>(&address), &size);
    m_port = ntohs(address.sin_port);
    m_threads.emplace_back([this] { Accept(); });
  }
  ~BlockingServer() {
    m_stopped = true;
    shutdown(m_listener, SHUT_RDWR);
    {
      const std::lock_guard lock(m_mutex);
      for (const int fd : m_open)
        shutdown(fd, SHUT_RDWR);
    }
    m_threads.front().join();
    for (std::size_t i = 1; i < m_threads.size(); ++i)
      m_threads[i].join();
    close(m_listener);
  }
  std::string address() const { return "127.0.0.1:" + std::to_string(m_port); }
  bool stopped() const { return m_stopped; }

 private:
  void Accept() {
    while (!m_stopped) {
      const int fd = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0)
        continue;
      const std::lock_guard lock(m_mutex);
      if (m_stopped) {
        close(fd);
        return;
      }
      m_open.insert(fd);
      m_threads.emplace_back([this, fd] { Serve(fd); });
    }
  }
  void Serve(int fd) {
    {
      BlockingSocket connection(fd);
      RequestParser parser(ParserLimits{});
      while (!m_stopped && connection.Read(parser)) {
        m_handler(connection,
                  {.head = parser.head(), .body = parser.TakeBody()});
        parser = RequestParser(ParserLimits{});
      }
      const std::lock_guard lock(m_mutex);
      m_open.erase(fd);
    }
  }

  Handler m_handler;
  int m_listener;
  std::uint16_t m_port = 0;
  std::atomic<bool> m_stopped = false;
  std::mutex m_mutex;
  std::set<int> m_open;
  std::vector<std::thread> m_threads;
};

// Returns a port that no socket listens on at the time of the call.
inline std::uint16_t FindFreePort() {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = LoopbackEndpoint(0);
  socklen_t size = sizeof(address);
  EXPECT_EQ(bind(fd, reinterpret_cast<const sockaddr*>(&address), size), 0);
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  close(fd);
  return ntohs(address.sin_port);
}

}  // namespace boragepick
