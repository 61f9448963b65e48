// Makes HTTP/1.1 calls over kept connections. It never sends a call twice: each
// call ends whole or fails, and a failure says whether any byte had left.
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
  // ip:port.
  std::string address;
  // Connections are shared only between calls with the same pool, so that none
  // opened to an earlier owner of an address is used for the next.
  std::string pool;
  // The whole request as it is sent.
  std::string request;
  bool head_request = false;
  // Kept connections idle for longer are not used; zero for a new connection.
  Duration max_idle = std::chrono::seconds(4);
  Duration connect_timeout = std::chrono::milliseconds(500);
  // The whole call; kNever-like for none.
  Duration timeout = Duration::max();
  // An answer whose field `echo_name` holds another value than `echo_value`
  // belongs to an earlier call and is passed over.
  std::string echo_name;
  std::string echo_value;
};
struct CancelCall {
  CallId id = 0;
};
// Closes the kept connections of a pool.
struct DropPool {
  std::string pool;
};

using ClientMessage = std::variant<StartCall, CancelCall, DropPool>;

enum class CallFailure {
  kConnect,    // not established
  kReset,      // ended before the answer was whole
  kMalformed,  // the answer could not be read
  kTimeout,
};

inline constexpr EnumTable kCallFailureNames{std::array{
    EnumName<CallFailure>{CallFailure::kConnect, "connect"},
    EnumName<CallFailure>{CallFailure::kReset, "reset"},
    EnumName<CallFailure>{CallFailure::kMalformed, "malformed"},
    EnumName<CallFailure>{CallFailure::kTimeout, "timeout"},
}};

struct CallHead {
  CallId id = 0;
  HttpHead head;
};
struct CallBytes {
  CallId id = 0;
  std::string bytes;
};
struct CallEnded {
  CallId id = 0;
};
struct CallFailed {
  CallId id = 0;
  CallFailure failure = CallFailure::kReset;
  // Whether any byte of the request had left.
  bool sent = false;
};

using ClientEvent = std::variant<CallHead, CallBytes, CallEnded, CallFailed>;

struct ClientOptions {
  SilenceOptions silence;
  // Kept connections to one pool.
  std::size_t max_idle_per_pool = 16;
};

class HttpClient {
 public:
  HttpClient(EventLoop& loop,
             const ClientOptions& options,
             std::function<void(ClientEvent)> outlet);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  void Post(ClientMessage message) { m_mailbox.Post(std::move(message)); }

  std::uint64_t connections_opened() const { return m_opened; }

 private:
  using ConnectionId = std::uint64_t;
  struct Connection;

  void On(StartCall call);
  void On(const CancelCall& message);
  void On(const DropPool& message);

  Connection* TakeIdle(const StartCall& call);
  Connection* Open(const StartCall& call);
  void SendRequest(Connection& connection, StartCall call);
  void OnReceived(ConnectionId id);
  void OnEnded(ConnectionId id, ConnectionEnd end);
  // Reads as far as the input goes; returns false when the connection is gone.
  bool ReadAnswer(Connection& connection);
  void Deliver(Connection& connection);
  void Finish(Connection& connection);
  void Fail(Connection& connection, CallFailure failure);
  void Keep(Connection& connection);
  void Drop(ConnectionId id);
  void SetTimer(Connection& connection, TimePoint when);
  Connection* Find(ConnectionId id);

  EventLoop& m_loop;
  ClientOptions m_options;
  std::function<void(ClientEvent)> m_outlet;
  std::unordered_map<ConnectionId, std::unique_ptr<Connection>> m_connections;
  std::unordered_map<CallId, ConnectionId> m_calls;
  // Kept connections of each pool, the latest used last.
  std::map<std::string, std::vector<ConnectionId>> m_idle;
  ConnectionId m_last_connection = 0;
  std::uint64_t m_opened = 0;
  LoopMailbox<ClientMessage> m_mailbox;
};

}  // namespace boragepick
