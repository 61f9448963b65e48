#include "frontends/loop/tcp_connection.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstring>
#include <system_error>

#include "common/error.h"
#include "frontends/boot_clock.h"

namespace boragepick {

namespace {

constexpr int kListenBacklog = 4'096;
constexpr int kKeepaliveProbes = 3;
constexpr std::size_t kReadBufferBytes = 64 << 10;
// Input buffered while the owner doesn't consume it. Above this limit the
// socket isn't read until the owner has consumed some.
constexpr std::size_t kMaxInputBytes = 8 << 20;

sockaddr_in ToSocketAddress(const Endpoint& endpoint) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(endpoint.port);
  if (inet_pton(AF_INET, endpoint.ip.c_str(), &address.sin_addr) != 1)
    throw std::system_error(EINVAL, std::generic_category(), endpoint.ip);
  return address;
}

void SetSocketOption(int fd, int level, int option, int value) {
  setsockopt(fd, level, option, &value, sizeof(value));
}

int ToMs(Duration duration) {
  return static_cast<int>(
      std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

int ToWholeSeconds(Duration duration) {
  return static_cast<int>(std::max<std::int64_t>(
      1, std::chrono::ceil<std::chrono::seconds>(duration).count()));
}

void SetSocketOptions(int fd, const TcpKeepaliveOptions& keepalive) {
  SetSocketOption(fd, IPPROTO_TCP, TCP_NODELAY, 1);
  SetSocketOption(fd, IPPROTO_TCP, TCP_USER_TIMEOUT,
                  ToMs(keepalive.user_timeout));
  SetSocketOption(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetSocketOption(fd, IPPROTO_TCP, TCP_KEEPIDLE,
                  ToWholeSeconds(keepalive.probe_interval));
  SetSocketOption(fd, IPPROTO_TCP, TCP_KEEPINTVL,
                  ToWholeSeconds(keepalive.probe_interval));
  SetSocketOption(fd, IPPROTO_TCP, TCP_KEEPCNT, kKeepaliveProbes);
}

// `error` is an errno, or 0 for an orderly end.
ConnectionCloseReason ToCloseReason(int error) {
  switch (error) {
    case 0:
      return ConnectionCloseReason::kClosed;
    case ETIMEDOUT:
    case EHOSTUNREACH:
    case ENETUNREACH:
      return ConnectionCloseReason::kTimedOut;
    default:
      return ConnectionCloseReason::kReset;
  }
}

}  // namespace

TcpConnection::TcpConnection(EventLoop& loop,
                             int fd,
                             const TcpKeepaliveOptions& keepalive,
                             Handlers handlers)
    : m_loop(loop), m_handlers(std::move(handlers)), m_established(true) {
  StartWatching(fd, keepalive);
}

TcpConnection::TcpConnection(EventLoop& loop,
                             const Endpoint& peer,
                             const TcpKeepaliveOptions& keepalive,
                             Handlers handlers)
    : m_loop(loop), m_handlers(std::move(handlers)) {
  const sockaddr_in address = ToSocketAddress(peer);
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0)
    throw std::system_error(errno, std::generic_category(), "socket");
  const int result =
      connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
  if (result != 0 && errno != EINPROGRESS) {
    const int error = errno;
    close(fd);
    throw std::system_error(error, std::generic_category(), "connect");
  }
  m_established = result == 0;
  StartWatching(fd, keepalive);
}

TcpConnection::~TcpConnection() {
  if (m_destroyed_flag != nullptr)
    *m_destroyed_flag = true;
  if (m_fd < 0)
    return;
  m_loop.RemoveWatch(m_fd);
  close(m_fd);
}

void TcpConnection::StartWatching(int fd,
                                  const TcpKeepaliveOptions& keepalive) {
  m_fd = fd;
  SetSocketOptions(fd, keepalive);
  m_watched_events = EPOLLIN | EPOLLRDHUP | (m_established ? 0U : EPOLLOUT);
  m_loop.Watch(fd, m_watched_events,
               [this](std::uint32_t events) { OnEvents(events); });
}

void TcpConnection::OnEvents(std::uint32_t events) {
  bool destroyed = false;
  m_destroyed_flag = &destroyed;
  if (!m_established && (events & (EPOLLOUT | EPOLLERR | EPOLLHUP)) != 0) {
    int error = 0;
    socklen_t size = sizeof(error);
    getsockopt(m_fd, SOL_SOCKET, SO_ERROR, &error, &size);
    if (error != 0) {
      m_destroyed_flag = nullptr;
      ReportClosed(ConnectionCloseReason::kConnectFailed);
      return;
    }
    m_established = true;
  }
  // The pending error of a socket is reported once, by the next call. Reading
  // first tells a reset from an orderly end of the input; after a failed write
  // both look like an end.
  if ((events & (EPOLLIN | EPOLLRDHUP | EPOLLERR | EPOLLHUP)) != 0)
    ReadAvailable(/*has_ended=*/(events & EPOLLRDHUP) != 0);
  if (!destroyed && !m_closed && m_established && (events & EPOLLOUT) != 0)
    WriteBuffered();
  if (destroyed)
    return;
  m_destroyed_flag = nullptr;
  if (!m_closed)
    UpdateWatch();
}

void TcpConnection::ReadAvailable(bool has_ended) {
  bool* const destroyed_flag = m_destroyed_flag;
  bool received = false;
  std::array<char, kReadBufferBytes> bytes;
  ConnectionCloseReason reason = ConnectionCloseReason::kClosed;
  bool closed = false;
  while (m_input.size() < kMaxInputBytes) {
    const ssize_t count = recv(m_fd, bytes.data(), bytes.size(), 0);
    if (count > 0) {
      m_input.append(bytes.data(), static_cast<std::size_t>(count));
      received = true;
      if (static_cast<std::size_t>(count) < bytes.size() && !has_ended)
        break;
      continue;
    }
    if (count < 0 && (errno == EAGAIN || errno == EINTR))
      break;
    closed = true;
    reason = ToCloseReason(count < 0 ? errno : m_write_error);
    m_read_closed = true;
    break;
  }
  if (received && m_handlers.on_received)
    m_handlers.on_received();
  if ((destroyed_flag != nullptr && *destroyed_flag) || m_closed)
    return;
  if (closed)
    ReportClosed(reason);
}

void TcpConnection::TransferPending() {
  if (!m_closed)
    OnEvents(EPOLLIN | (unsent_bytes() > 0 ? EPOLLOUT : 0U));
}

std::size_t TcpConnection::unread_bytes() const {
  int bytes = 0;
  return ioctl(m_fd, FIONREAD, &bytes) == 0 ? static_cast<std::size_t>(bytes)
                                            : 0;
}

bool TcpConnection::HasUnreadInput() const {
  char byte = 0;
  const ssize_t count = recv(m_fd, &byte, sizeof(byte), MSG_PEEK);
  return count >= 0 || (errno != EAGAIN && errno != EINTR);
}

void TcpConnection::Send(std::string_view bytes) {
  if (m_closed || bytes.empty())
    return;
  if (unsent_bytes() == 0) {
    m_output.clear();
    m_output_offset = 0;
  }
  m_output += bytes;
  if (m_established && m_output_offset == 0 && m_output.size() == bytes.size())
    WriteBuffered();
  if (!m_closed)
    UpdateWatch();
}

void TcpConnection::ShutDownSending() {
  m_shutdown_requested = true;
  if (m_closed || !m_established || unsent_bytes() > 0 || m_shutdown_done)
    return;
  m_shutdown_done = true;
  shutdown(m_fd, SHUT_WR);
}

void TcpConnection::WriteBuffered() {
  while (unsent_bytes() > 0) {
    const ssize_t count = send(m_fd, m_output.data() + m_output_offset,
                               unsent_bytes(), MSG_NOSIGNAL);
    if (count < 0) {
      if (errno == EAGAIN || errno == EINTR)
        return;
      // The failure is reported by the next read, so that Send() never calls a
      // handler.
      m_write_error = errno;
      m_output.clear();
      m_output_offset = 0;
      return;
    }
    m_has_sent_bytes = true;
    m_last_written = ReadBootClock();
    m_output_offset += static_cast<std::size_t>(count);
  }
  m_output.clear();
  m_output_offset = 0;
  if (m_shutdown_requested)
    ShutDownSending();
  if (m_handlers.on_drained)
    m_loop.Defer([handler = m_handlers.on_drained] { handler(); });
}

void TcpConnection::UpdateWatch() {
  std::uint32_t events = EPOLLRDHUP;
  if (m_input.size() < kMaxInputBytes && !m_read_closed)
    events |= EPOLLIN;
  if (!m_established || unsent_bytes() > 0)
    events |= EPOLLOUT;
  if (events == m_watched_events)
    return;
  m_watched_events = events;
  m_loop.ChangeWatch(m_fd, events);
}

void TcpConnection::ReportClosed(ConnectionCloseReason reason) {
  if (m_closed)
    return;
  m_closed = true;
  m_loop.RemoveWatch(m_fd);
  if (m_handlers.on_closed)
    m_handlers.on_closed(reason);
}

int OpenListener(const Endpoint& endpoint) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const std::string name = endpoint.ip + ":" + std::to_string(endpoint.port);
  if (fd < 0)
    throw Error(Step::kListen, name, std::strerror(errno));
  SetSocketOption(fd, SOL_SOCKET, SO_REUSEADDR, 1);
  const sockaddr_in address = ToSocketAddress(endpoint);
  const bool bound = bind(fd, reinterpret_cast<const sockaddr*>(&address),
                          sizeof(address)) == 0;
  if (!bound || listen(fd, kListenBacklog) != 0) {
    const std::string reason = std::strerror(errno);
    close(fd);
    throw Error(Step::kListen, name, reason);
  }
  return fd;
}

}  // namespace boragepick
