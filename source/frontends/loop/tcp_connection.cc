#include "frontends/loop/tcp_connection.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <system_error>
#include <utility>

#include "common/error.h"
#include "frontends/boot_clock.h"

namespace boragepick {

namespace {

constexpr int kListenBacklog = 4'096;
constexpr int kKeepaliveProbes = 3;
// Limit on the bytes read before other connections get their turn.
constexpr std::size_t kReadBufferBytes = 64 << 10;
// What the system buffers of a connection that isn't read.
constexpr int kReceiveBufferBytes = 64 << 10;
constexpr std::size_t kOutputSegmentBytes = 64 << 10;
// Buffers up to this size are kept for the next input.
constexpr std::size_t kKeptInputBytes = 4 << 10;

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
  SetSocketOption(fd, SOL_SOCKET, SO_RCVBUF, kReceiveBufferBytes);
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
  if (m_is_watched)
    m_loop.RemoveWatch(m_fd);
  close(m_fd);
}

void TcpConnection::StartWatching(int fd,
                                  const TcpKeepaliveOptions& keepalive) {
  m_fd = fd;
  SetSocketOptions(fd, keepalive);
  m_watched_events = EPOLLIN | EPOLLRDHUP | (m_established ? 0U : EPOLLOUT);
  m_is_watched = true;
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
  // to the end of the input before the next write tells a reset from an orderly
  // end; after a failed write both look like an end.
  constexpr std::uint32_t kEnded = EPOLLRDHUP | EPOLLERR | EPOLLHUP;
  if ((events & (EPOLLIN | kEnded)) != 0 && !m_reading_paused)
    ReadAvailable();
  if (destroyed)
    return;
  const bool may_write = (events & kEnded) == 0 || m_reading_paused;
  if (!m_closed && m_established && (events & EPOLLOUT) != 0 && may_write &&
      m_unsent_bytes > 0) {
    WriteBuffered();
    if (m_handlers.on_written)
      m_handlers.on_written();
    if (destroyed)
      return;
  }
  m_destroyed_flag = nullptr;
  if (m_closed)
    return;
  if ((events & kEnded) == 0 || m_read_closed)
    return UpdateWatch();
  if (m_reading_paused) {
    // The loop would report the end again and again.
    m_is_watched = false;
    m_loop.RemoveWatch(m_fd);
  } else if (IsInputFull()) {
    ReportClosed(ConnectionCloseReason::kClosed);
  } else {
    UpdateWatch();
  }
}

void TcpConnection::ReadAvailable() {
  bool* const destroyed_flag = m_destroyed_flag;
  if (IsInputFull())
    return;
  std::array<char, kReadBufferBytes> bytes;
  const ssize_t count =
      recv(m_fd, bytes.data(),
           std::min(bytes.size(), m_max_input_bytes - m_input.size()), 0);
  if (count > 0) {
    m_input.append(bytes.data(), static_cast<std::size_t>(count));
    if (m_handlers.on_received)
      m_handlers.on_received();
    if (destroyed_flag == nullptr || !*destroyed_flag)
      ReleaseInputBuffer();
    return;
  }
  if (count < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  m_read_closed = true;
  ReportClosed(ToCloseReason(count < 0 ? errno : m_write_error));
}

void TcpConnection::ReleaseInputBuffer() {
  if (m_input.empty() && m_input.capacity() > kKeptInputBytes)
    std::string().swap(m_input);
}

void TcpConnection::OnInputConsumed() {
  ReleaseInputBuffer();
  if (!m_closed)
    UpdateWatch();
}

void TcpConnection::SetReadingPaused(bool paused) {
  m_reading_paused = paused;
  if (!m_closed)
    UpdateWatch();
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
  if (m_established && m_unsent_bytes == 0)
    bytes.remove_prefix(Write(bytes));
  AppendOutput(bytes);
  UpdateWatch();
}

void TcpConnection::Send(std::shared_ptr<const std::string> bytes) {
  if (m_closed || bytes->empty())
    return;
  const bool was_empty = m_unsent_bytes == 0;
  m_unsent_bytes += bytes->size();
  m_output.push_back({.owned = {}, .shared = std::move(bytes)});
  if (m_established && was_empty)
    WriteBuffered();
  UpdateWatch();
}

void TcpConnection::AppendOutput(std::string_view bytes) {
  m_unsent_bytes += bytes.size();
  while (!bytes.empty()) {
    if (m_output.empty() || m_output.back().shared ||
        m_output.back().owned.size() >= kOutputSegmentBytes)
      m_output.emplace_back();
    std::string& owned = m_output.back().owned;
    const std::size_t count =
        std::min(bytes.size(), kOutputSegmentBytes - owned.size());
    owned += bytes.substr(0, count);
    bytes.remove_prefix(count);
  }
}

void TcpConnection::ShutDownSending() {
  m_shutdown_requested = true;
  if (m_closed || !m_established || unsent_bytes() > 0 || m_shutdown_done)
    return;
  m_shutdown_done = true;
  shutdown(m_fd, SHUT_WR);
}

std::size_t TcpConnection::Write(std::string_view bytes) {
  if (m_write_error != 0)
    return bytes.size();
  const ssize_t count = send(m_fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
  if (count < 0) {
    if (errno == EAGAIN || errno == EINTR)
      return 0;
    // The failure is reported by the next read, so that Send() never calls a
    // handler. Output is dropped from now on.
    m_write_error = errno;
    return bytes.size();
  }
  m_has_sent_bytes = true;
  m_last_written = ReadBootClock();
  return static_cast<std::size_t>(count);
}

void TcpConnection::WriteBuffered() {
  while (!m_output.empty()) {
    const std::string& bytes = m_output.front().bytes();
    const std::size_t count =
        Write(std::string_view(bytes).substr(m_output_offset));
    m_output_offset += count;
    m_unsent_bytes -= count;
    if (m_output_offset < bytes.size())
      return;
    m_output.pop_front();
    m_output_offset = 0;
  }
  if (m_shutdown_requested)
    ShutDownSending();
}

void TcpConnection::UpdateWatch() {
  std::uint32_t events = 0;
  if (!m_reading_paused) {
    events |= EPOLLRDHUP;
    if (!IsInputFull() && !m_read_closed)
      events |= EPOLLIN;
  }
  if (!m_established || m_unsent_bytes > 0)
    events |= EPOLLOUT;
  if (!m_is_watched) {
    if (m_reading_paused)
      return;
    m_is_watched = true;
    m_watched_events = events;
    m_loop.Watch(m_fd, events,
                 [this](std::uint32_t occurred) { OnEvents(occurred); });
    return;
  }
  if (events == m_watched_events)
    return;
  m_watched_events = events;
  m_loop.ChangeWatch(m_fd, events);
}

void TcpConnection::ReportClosed(ConnectionCloseReason reason) {
  if (m_closed)
    return;
  m_closed = true;
  if (std::exchange(m_is_watched, false))
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
  // Accepted sockets inherit it.
  SetSocketOption(fd, SOL_SOCKET, SO_RCVBUF, kReceiveBufferBytes);
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
