// An HTTP server for tests that sends exactly the bytes it is told to, on the
// event loop of the client under test.
#pragma once

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <deque>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

#include "frontends/boot_clock.h"
#include "frontends/http/http_parser.h"
#include "frontends/loop/event_loop.h"
#include "frontends/loop/tcp_connection.h"

namespace boragepick {

class RawServer {
 public:
  struct Request {
    // Numbers the accepted connections from 0.
    std::size_t connection = 0;
    HttpHead head;
    std::string body;
  };
  using RequestHandler = std::function<void(const Request&)>;

  explicit RawServer(EventLoop& loop)
      : m_loop(loop), m_listener(OpenListener({.ip = "127.0.0.1"})) {
    sockaddr_in address{};
    socklen_t size = sizeof(address);
    getsockname(m_listener, reinterpret_cast<sockaddr*>(&address), &size);
    m_port = ntohs(address.sin_port);
    m_loop.Watch(m_listener, EPOLLIN, [this](std::uint32_t) { Accept(); });
  }
  ~RawServer() {
    m_loop.RemoveWatch(m_listener);
    close(m_listener);
    for (std::size_t i = 0; i < m_connections.size(); ++i) {
      m_connections[i].output.clear();
      Close(i);
    }
  }
  RawServer(const RawServer&) = delete;
  RawServer& operator=(const RawServer&) = delete;

  std::string address() const { return "127.0.0.1:" + std::to_string(m_port); }
  std::size_t connection_count() const { return m_connections.size(); }
  // Whether the client has closed the connection.
  bool ClosedByClient(std::size_t connection) const {
    return m_connections[connection].closed_by_client;
  }

  // Called for each complete request.
  void OnRequest(RequestHandler handler) { m_on_request = std::move(handler); }
  // Called with each new connection, whose input isn't read before
  // StartReading() if the handler returns false.
  void OnAccepted(std::function<bool(std::size_t)> handler) {
    m_on_accepted = std::move(handler);
  }

  void StartReading(std::size_t connection) {
    m_loop.Watch(m_connections[connection].fd, EPOLLIN,
                 [this, connection](std::uint32_t) { Read(connection); });
    m_connections[connection].watched = true;
  }
  void Write(std::size_t connection, std::string_view bytes) {
    m_connections[connection].output += bytes;
    Flush(connection);
  }
  // Closes the connection once all bytes are written.
  void Close(std::size_t connection) {
    Connection& closed = m_connections[connection];
    closed.close_requested = true;
    if (closed.fd < 0 || !closed.output.empty())
      return;
    if (closed.watched)
      m_loop.RemoveWatch(closed.fd);
    close(closed.fd);
    closed.fd = -1;
  }
  // Ends the output, but goes on to accept the client's bytes.
  void ShutDownSending(std::size_t connection) {
    shutdown(m_connections[connection].fd, SHUT_WR);
  }
  // Resets the connection at once, without what is not written yet.
  void Abort(std::size_t connection) {
    m_connections[connection].output.clear();
    Reset(connection);
  }
  void Reset(std::size_t connection) {
    const linger abort{.l_onoff = 1, .l_linger = 0};
    setsockopt(m_connections[connection].fd, SOL_SOCKET, SO_LINGER, &abort,
               sizeof(abort));
    Close(connection);
  }

 private:
  struct Connection {
    int fd = -1;
    bool watched = false;
    bool closed_by_client = false;
    bool close_requested = false;
    std::string input;
    std::string output;
    RequestParser parser{ParserLimits{}};
  };

  void Flush(std::size_t index) {
    Connection& connection = m_connections[index];
    while (connection.fd >= 0 && !connection.output.empty()) {
      const ssize_t count = send(connection.fd, connection.output.data(),
                                 connection.output.size(), MSG_NOSIGNAL);
      if (count < 0 && errno == EAGAIN) {
        m_loop.StartTimer(ReadBootClock() + std::chrono::milliseconds(1),
                          [this, index] { Flush(index); });
        return;
      }
      if (count < 0)
        connection.output.clear();
      else
        connection.output.erase(0, static_cast<std::size_t>(count));
    }
    if (connection.close_requested)
      Close(index);
  }

  void Accept() {
    const int fd =
        accept4(m_listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0)
      return;
    const int no_delay = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &no_delay, sizeof(no_delay));
    const std::size_t connection = m_connections.size();
    m_connections.emplace_back().fd = fd;
    if (!m_on_accepted || m_on_accepted(connection))
      StartReading(connection);
  }

  void Read(std::size_t index) {
    Connection& connection = m_connections[index];
    std::array<char, 16 << 10> bytes;
    const ssize_t count = recv(connection.fd, bytes.data(), bytes.size(), 0);
    if (count < 0 && errno == EAGAIN)
      return;
    if (count <= 0) {
      connection.closed_by_client = true;
      m_loop.RemoveWatch(connection.fd);
      connection.watched = false;
      return;
    }
    connection.input.append(bytes.data(), static_cast<std::size_t>(count));
    while (connection.fd >= 0 && !connection.input.empty()) {
      connection.parser.Consume(connection.input);
      if (!connection.parser.done())
        return;
      const Request request{.connection = index,
                            .head = connection.parser.head(),
                            .body = connection.parser.TakeBody()};
      connection.parser = RequestParser(ParserLimits{});
      if (m_on_request)
        m_on_request(request);
    }
  }

  EventLoop& m_loop;
  int m_listener;
  std::uint16_t m_port = 0;
  // A deque, so that handlers may accept connections.
  std::deque<Connection> m_connections;
  RequestHandler m_on_request;
  std::function<bool(std::size_t)> m_on_accepted;
};

}  // namespace boragepick
