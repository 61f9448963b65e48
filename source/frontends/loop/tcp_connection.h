// A non-blocking TCP connection on an event loop. Output that the socket
// doesn't accept yet is buffered; input collects in a bounded buffer that the
// owner consumes. The socket isn't read while that buffer is full or reading is
// paused, so that the peer has to wait.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "common/enum_table.h"
#include "common/time.h"
#include "frontends/loop/event_loop.h"
#include "frontends/settings.h"

namespace boragepick {

enum class ConnectionCloseReason {
  kClosed,         // the peer closed its side of the connection
  kReset,          // the peer reset the connection
  kTimedOut,       // the peer no longer acknowledges what is sent to it
  kConnectFailed,  // the connection was never established
};

inline constexpr EnumTable kConnectionCloseReasonNames{std::array{
    EnumName<ConnectionCloseReason>{ConnectionCloseReason::kClosed, "closed"},
    EnumName<ConnectionCloseReason>{ConnectionCloseReason::kReset, "reset"},
    EnumName<ConnectionCloseReason>{ConnectionCloseReason::kTimedOut,
                                    "timed_out"},
    EnumName<ConnectionCloseReason>{ConnectionCloseReason::kConnectFailed,
                                    "connect_failed"},
}};

// How soon a peer that no longer responds is detected.
struct TcpKeepaliveOptions {
  // The connection ends when sent bytes stay unacknowledged for this long
  // (TCP_USER_TIMEOUT).
  Duration user_timeout = std::chrono::seconds(3);
  // Idle time before the first keepalive probe and interval between probes;
  // three unanswered probes end the connection.
  Duration probe_interval = std::chrono::seconds(1);
};

class TcpConnection {
 public:
  struct Handlers {
    // Bytes were appended to input().
    std::function<void()> on_received;
    // The connection has closed or failed. Called at most once, and never from
    // inside Send().
    std::function<void(ConnectionCloseReason)> on_closed;
    // Buffered output was passed to the socket. Never called from inside
    // Send().
    std::function<void()> on_written;
  };

  // Takes ownership of an accepted socket.
  TcpConnection(EventLoop& loop,
                int fd,
                const TcpKeepaliveOptions& keepalive,
                Handlers handlers);
  // Starts to connect. Throws std::system_error if the attempt can't be
  // started.
  TcpConnection(EventLoop& loop,
                const Endpoint& peer,
                const TcpKeepaliveOptions& keepalive,
                Handlers handlers);
  ~TcpConnection();
  TcpConnection(const TcpConnection&) = delete;
  TcpConnection& operator=(const TcpConnection&) = delete;

  void Send(std::string_view bytes);
  // The same without a copy of `bytes`, which are kept until they are sent.
  void Send(std::shared_ptr<const std::string> bytes);
  // Reads what the socket has received, and writes buffered output that it
  // accepts, without waiting for the loop.
  void TransferPending();
  // Shuts down the sending side once all buffered output is written.
  void ShutDownSending();

  std::string& input() { return m_input; }
  // Limit on the input that is buffered for the owner.
  void set_max_input_bytes(std::size_t bytes) { m_max_input_bytes = bytes; }
  // To be called after input was consumed outside of on_received.
  void OnInputConsumed();
  // While reading is paused, the end of the connection isn't reported either.
  void SetReadingPaused(bool paused);

  std::size_t unsent_bytes() const { return m_unsent_bytes; }
  // Bytes that the socket has received and that were not read yet.
  std::size_t unread_bytes() const;
  bool established() const { return m_established; }
  // Whether any byte was written to the socket.
  bool has_sent_bytes() const { return m_has_sent_bytes; }
  // When the socket last accepted bytes.
  TimePoint last_written() const { return m_last_written; }
  // The peer closed its sending side, or the connection failed.
  bool read_closed() const { return m_read_closed; }
  // Whether the socket has input, an end of stream or an error that the event
  // loop hasn't handled yet.
  bool HasUnreadInput() const;

 private:
  void StartWatching(int fd, const TcpKeepaliveOptions& keepalive);
  // Output that waits for the socket: bytes of its own, or shared ones.
  struct OutputSegment {
    std::string owned;
    std::shared_ptr<const std::string> shared;
    const std::string& bytes() const { return shared ? *shared : owned; }
  };

  void OnEvents(std::uint32_t events);
  void ReadAvailable();
  bool IsInputFull() const { return m_input.size() >= m_max_input_bytes; }
  void ReleaseInputBuffer();
  // Passes bytes to the socket. Returns how many it accepted.
  std::size_t Write(std::string_view bytes);
  void WriteBuffered();
  void AppendOutput(std::string_view bytes);
  void UpdateWatch();
  void ReportClosed(ConnectionCloseReason reason);

  EventLoop& m_loop;
  Handlers m_handlers;
  int m_fd = -1;
  bool m_established = false;
  bool m_closed = false;
  bool m_has_sent_bytes = false;
  TimePoint m_last_written;
  bool m_read_closed = false;
  // The errno of a failed write, which the next read doesn't return again.
  int m_write_error = 0;
  bool m_shutdown_requested = false;
  bool m_shutdown_done = false;
  bool m_reading_paused = false;
  bool m_is_watched = false;
  std::uint32_t m_watched_events = 0;
  std::size_t m_max_input_bytes = 128 << 10;
  std::string m_input;
  std::deque<OutputSegment> m_output;
  // Bytes of the first segment that were sent.
  std::size_t m_output_offset = 0;
  std::size_t m_unsent_bytes = 0;
  // Points to a flag on the stack of OnEvents() that the destructor sets, since
  // a handler may destroy the connection.
  bool* m_destroyed_flag = nullptr;
};

// Returns a socket bound to `endpoint` that listens. Throws Error at
// Step::kListen.
int OpenListener(const Endpoint& endpoint);

}  // namespace boragepick
