// Serves HTTP/1.1 at one address. Each request that was read whole becomes an
// exchange with a number; its answer comes back by messages. Requests on one
// connection are handed on one after the other.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "frontends/http/http_message.h"
#include "frontends/http/http_parser.h"
#include "frontends/loop/event_loop.h"
#include "frontends/loop/tcp_connection.h"

namespace boragepick {

using ExchangeId = std::uint64_t;

// The answer to one exchange: one whole answer, or a head, any number of bytes
// and an end. An aborted answer ends with its connection, never as if complete.
struct ServeWhole {
  ExchangeId id = 0;
  unsigned status = 200;
  std::vector<HeaderField> fields;
  std::string body;
  bool close = false;
};
struct ServeHead {
  ExchangeId id = 0;
  unsigned status = 200;
  std::vector<HeaderField> fields;
};
struct ServeBytes {
  ExchangeId id = 0;
  std::string bytes;
};
struct ServeEnd {
  ExchangeId id = 0;
};
struct ServeAbort {
  ExchangeId id = 0;
};

struct ServerLimits {
  std::uint32_t max_header_bytes = 16 << 10;
  std::uint64_t max_body_bytes = 4 << 20;
  // From the first byte of a request to the end of its head.
  Duration header_timeout = std::chrono::seconds(3);
  // A connection without a request, or a body without progress.
  Duration idle_timeout = std::chrono::seconds(15);
  std::size_t max_connections = 3'000;
};

// Answers from now on close their connections.
struct ServeDrain {};
// Takes no new connection and closes those that have no request.
struct ServeFinish {};

using ServerMessage = std::variant<ServeWhole,
                                   ServeHead,
                                   ServeBytes,
                                   ServeEnd,
                                   ServeAbort,
                                   ServerLimits,
                                   ServeDrain,
                                   ServeFinish>;

struct ServerOutlet {
  std::function<void(ExchangeId, HttpMessage)> request;
  // The client has gone before its answer was whole.
  std::function<void(ExchangeId)> gone;
  // A request that was refused here, with its status.
  std::function<void(unsigned status, ParseError)> rejected;
};

class HttpServer {
 public:
  // Throws Error at Step::kListen.
  HttpServer(EventLoop& loop,
             const Endpoint& endpoint,
             const ServerLimits& limits,
             ServerOutlet outlet);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  void Post(ServerMessage message) { m_mailbox.Post(std::move(message)); }
  std::size_t connections() const { return m_connections.size(); }

 private:
  using ConnectionId = std::uint64_t;
  struct Connection;

  void Accept();
  void OnReceived(ConnectionId id);
  void OnEnded(ConnectionId id);
  void Parse(Connection& connection);
  void Dispatch(Connection& connection);
  void Reject(Connection& connection, unsigned status, ParseError error);
  void AnswerFinished(Connection& connection);
  // Sends no more and drops the connection when the peer has closed, too.
  void CloseInOrder(Connection& connection);
  void Drop(ConnectionId id);
  void Sweep();

  void On(ServeWhole message);
  void On(ServeHead message);
  void On(const ServeBytes& message);
  void On(const ServeEnd& message);
  void On(const ServeAbort& message);
  void On(const ServerLimits& message) { m_limits = message; }
  void On(const ServeDrain& message);
  void On(const ServeFinish& message);

  Connection* Find(ConnectionId id);
  Connection* FindExchange(ExchangeId id);

  EventLoop& m_loop;
  ServerLimits m_limits;
  ServerOutlet m_outlet;
  int m_listener;
  std::unordered_map<ConnectionId, std::unique_ptr<Connection>> m_connections;
  std::unordered_map<ExchangeId, ConnectionId> m_exchanges;
  ConnectionId m_last_connection = 0;
  ExchangeId m_last_exchange = 0;
  bool m_draining = false;
  bool m_finishing = false;
  EventLoop::TimerId m_sweep_timer;
  LoopMailbox<ServerMessage> m_mailbox;
};

}  // namespace boragepick
