// An HTTP/1.1 client with a pool of persistent connections. It never retries:
// each call completes or fails, and a failure says whether the server may have
// received any byte of the request.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "common/enum_table.h"
#include "frontends/http/http_message.h"
#include "frontends/http/http_parser.h"
#include "frontends/loop/event_loop.h"
#include "frontends/loop/tcp_connection.h"

namespace boragepick {

using CallId = std::uint64_t;

struct StartCall {
  CallId id = 0;
  // The server, as ip:port.
  std::string address;
  // Only calls of the same pool share connections, so that a connection opened
  // to the previous owner of an address isn't used for its next owner.
  std::string pool;
  // The serialized request, or its head if `body` is set.
  std::string request;
  std::shared_ptr<const std::string> body = nullptr;
  bool head_request = false;
  // Connections that were idle for longer are not reused; zero for a new
  // connection.
  Duration max_idle = std::chrono::seconds(4);
  Duration connect_timeout = std::chrono::milliseconds(500);
  // Limit on the duration of the call; Duration::max() for none.
  Duration timeout = Duration::max();
  // A response with a larger body fails the call; 0 for no limit.
  std::size_t max_response_bytes = 0;
  // A response whose header field `echo_name` has another value than
  // `echo_value` belongs to an earlier call and is discarded. On a reused
  // connection a response without the field fails the call, since it may belong
  // to either.
  std::string echo_name;
  std::string echo_value;
};
struct CancelCall {
  CallId id = 0;
};
// Stops and continues to read the response of a call. The server must wait.
struct PauseCall {
  CallId id = 0;
};
struct ResumeCall {
  CallId id = 0;
};
// Closes the idle connections of a pool.
struct CloseIdleConnections {
  std::string pool;
};

using ClientMessage = std::
    variant<StartCall, CancelCall, PauseCall, ResumeCall, CloseIdleConnections>;

enum class CallFailure {
  kConnect,    // the connection could not be established
  kReset,      // the server ended the connection before its response was whole
  kMalformed,  // the response could not be parsed
  kTimeout,    // the call took too long, or the server acknowledged nothing
  kTooLarge,   // the response was larger than the call permits
};

inline constexpr EnumTable kCallFailureNames{std::array{
    EnumName<CallFailure>{CallFailure::kConnect, "connect"},
    EnumName<CallFailure>{CallFailure::kReset, "reset"},
    EnumName<CallFailure>{CallFailure::kMalformed, "malformed"},
    EnumName<CallFailure>{CallFailure::kTimeout, "timeout"},
    EnumName<CallFailure>{CallFailure::kTooLarge, "too_large"},
}};

struct CallHeadReceived {
  CallId id = 0;
  HttpHead head;
};
struct CallBodyReceived {
  CallId id = 0;
  std::string bytes;
};
struct CallCompleted {
  CallId id = 0;
  // The response had no other end than that of its connection.
  bool ended_by_close = false;
};
struct CallFailed {
  CallId id = 0;
  CallFailure failure = CallFailure::kReset;
  // Whether any byte of the request may have been sent.
  bool sent = false;
};

using ClientEvent =
    std::variant<CallHeadReceived, CallBodyReceived, CallCompleted, CallFailed>;

struct ClientOptions {
  TcpKeepaliveOptions keepalive;
  // Limit on the idle connections of each pool.
  std::size_t max_idle_per_pool = 16;
  // Limit on the request bytes that all idle connections together still have to
  // send, because their servers responded before they had read them.
  std::size_t max_idle_unsent_bytes = 8 << 20;
};

class HttpClient {
 public:
  HttpClient(EventLoop& loop,
             const ClientOptions& options,
             std::function<void(ClientEvent)> on_event);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  void Post(ClientMessage message) { m_mailbox.Post(std::move(message)); }

  std::uint64_t connections_opened() const { return m_connections_opened; }

 private:
  using ConnectionId = std::uint64_t;
  struct Connection;

  void Handle(StartCall call);
  void Handle(const CancelCall& message);
  void Handle(const PauseCall& message);
  void Handle(const ResumeCall& message);
  void Handle(const CloseIdleConnections& message);

  Connection* AcquireIdle(const StartCall& call);
  Connection* Connect(const StartCall& call);
  void SendRequest(Connection& connection, StartCall call);
  void OnReceived(ConnectionId id);
  void OnClosed(ConnectionId id, ConnectionCloseReason reason);
  // Parses the buffered input. Returns false if the call has ended; the
  // connection may have been closed then.
  bool ParseResponse(Connection& connection);
  // Fails the call if the response can't be attributed to it.
  void DeliverResponse(Connection& connection);
  void CompleteCall(Connection& connection, bool ended_by_close);
  void FailCall(Connection& connection, CallFailure failure);
  void ReturnToPool(Connection& connection);
  // What all idle connections still have to send.
  std::size_t IdleUnsentBytes() const;
  void SetReadingPaused(CallId id, bool paused);
  void CloseConnection(ConnectionId id);
  void SetTimer(Connection& connection, TimePoint when);
  Connection* Find(ConnectionId id);

  EventLoop& m_loop;
  ClientOptions m_options;
  std::function<void(ClientEvent)> m_on_event;
  std::unordered_map<ConnectionId, std::unique_ptr<Connection>> m_connections;
  std::unordered_map<CallId, ConnectionId> m_calls;
  // The idle connections of each pool, the most recently used last.
  std::map<std::string, std::vector<ConnectionId>> m_idle;
  ConnectionId m_last_connection_id = 0;
  std::uint64_t m_connections_opened = 0;
  LoopMailbox<ClientMessage> m_mailbox;
};

}  // namespace boragepick
