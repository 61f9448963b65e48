// A non-blocking TCP connection on an event loop: it buffers what can't be
// written yet and hands over what arrives.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "common/enum_table.h"
#include "common/time.h"
#include "frontends/loop/event_loop.h"
#include "frontends/settings.h"

namespace boragepick {

enum class ConnectionEnd {
  kClosed,         // the peer closed in order
  kReset,          // reset, or its time-outs ran out
  kConnectFailed,  // never established
};

inline constexpr EnumTable kConnectionEndNames{std::array{
    EnumName<ConnectionEnd>{ConnectionEnd::kClosed, "closed"},
    EnumName<ConnectionEnd>{ConnectionEnd::kReset, "reset"},
    EnumName<ConnectionEnd>{ConnectionEnd::kConnectFailed, "connect_failed"},
}};

// How soon a peer that has gone silent is noticed.
struct SilenceOptions {
  // Sent bytes that stay unacknowledged for so long end the connection.
  Duration unacknowledged = std::chrono::seconds(3);
  // Without traffic the peer is probed after, and again every, so long; three
  // unanswered probes end the connection.
  Duration probe = std::chrono::seconds(1);
};

class TcpConnection {
 public:
  struct Handlers {
    // Bytes were appended to input().
    std::function<void()> received;
    // The connection is of no more use; called at most once, and never from
    // inside Send().
    std::function<void(ConnectionEnd)> ended;
    // Everything sent has left the buffer.
    std::function<void()> drained;
  };

  // An accepted descriptor.
  TcpConnection(EventLoop& loop,
                int fd,
                const SilenceOptions& silence,
                Handlers handlers);
  // Starts to connect. Throws std::system_error when that can't be begun.
  TcpConnection(EventLoop& loop,
                const Endpoint& peer,
                const SilenceOptions& silence,
                Handlers handlers);
  ~TcpConnection();
  TcpConnection(const TcpConnection&) = delete;
  TcpConnection& operator=(const TcpConnection&) = delete;

  void Send(std::string_view bytes);
  // No more will be sent; what is buffered still leaves.
  void FinishSending();

  std::string& input() { return m_input; }
  std::size_t unsent() const { return m_output.size() - m_output_offset; }
  bool established() const { return m_established; }
  // Whether any byte was handed to the system.
  bool sent_anything() const { return m_sent_anything; }
  // The peer sends no more.
  bool peer_finished() const { return m_peer_finished; }

 private:
  void Open(int fd, const SilenceOptions& silence);
  void OnEvents(std::uint32_t events);
  void ReadAll();
  void WriteSome();
  void UpdateWatch();
  void End(ConnectionEnd end);

  EventLoop& m_loop;
  Handlers m_handlers;
  int m_fd = -1;
  bool m_established = false;
  bool m_ended = false;
  bool m_sent_anything = false;
  bool m_peer_finished = false;
  bool m_finish_sending = false;
  bool m_shut_down = false;
  std::uint32_t m_watched = 0;
  std::string m_input;
  std::string m_output;
  std::size_t m_output_offset = 0;
  // Set by the destructor, for a handler that destroys its connection.
  bool* m_destroyed = nullptr;
};

// Binds and listens. Throws Error at Step::kListen.
int OpenListener(const Endpoint& endpoint);

}  // namespace boragepick
