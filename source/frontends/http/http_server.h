// An HTTP/1.1 server on one address. Each request that was received completely
// starts an exchange with an id of its own; the response is sent by messages
// that carry the id. Requests on one connection are processed one at a time.
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

// The response to an exchange is either a single message or a head, any number
// of body parts and an end. Aborting a response closes the connection, so that
// the client can't take it for complete.
struct SendHttpResponse {
  ExchangeId id = 0;
  unsigned status = 200;
  std::vector<HeaderField> fields;
  std::string body;
  // Closes the connection after this response.
  bool close_connection = false;
};
struct SendHttpResponseHead {
  ExchangeId id = 0;
  unsigned status = 200;
  std::vector<HeaderField> fields;
};
struct SendHttpResponseBody {
  ExchangeId id = 0;
  std::string bytes;
};
struct EndHttpResponse {
  ExchangeId id = 0;
};
struct AbortHttpResponse {
  ExchangeId id = 0;
};

struct ServerLimits {
  std::uint32_t max_header_bytes = 16 << 10;
  std::uint64_t max_body_bytes = 4 << 20;
  // From the first byte of a request to the end of its header.
  Duration header_timeout = std::chrono::seconds(3);
  // How long a connection may stay without a request, and the body of a request
  // without progress.
  Duration idle_timeout = std::chrono::seconds(15);
  std::size_t max_connections = 3'000;
};

// Closes each connection after its next response.
struct DrainHttpServer {};
// Accepts no new connections, closes those without a request, and the others
// after their response.
struct ShutDownHttpServer {};

using ServerMessage = std::variant<SendHttpResponse,
                                   SendHttpResponseHead,
                                   SendHttpResponseBody,
                                   EndHttpResponse,
                                   AbortHttpResponse,
                                   ServerLimits,
                                   DrainHttpServer,
                                   ShutDownHttpServer>;

struct ServerHandlers {
  std::function<void(ExchangeId, HttpMessage)> on_request;
  // The client's connection ended before the response was complete.
  std::function<void(ExchangeId)> on_disconnected;
  // The server itself refused a request, with this status.
  std::function<void(unsigned status, ParseError)> on_rejected;
};

class HttpServer {
 public:
  // Throws Error at Step::kListen.
  HttpServer(EventLoop& loop,
             const Endpoint& endpoint,
             const ServerLimits& limits,
             ServerHandlers handlers);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  void Post(ServerMessage message) { m_mailbox.Post(std::move(message)); }
  std::size_t connection_count() const { return m_connections.size(); }

 private:
  using ConnectionId = std::uint64_t;
  struct Connection;

  void AcceptConnections();
  void OnReceived(ConnectionId id);
  void OnClosed(ConnectionId id);
  void ParseRequest(Connection& connection);
  void DispatchRequest(Connection& connection);
  void RejectRequest(Connection& connection, unsigned status, ParseError error);
  void CompleteResponse(Connection& connection);
  // Shuts down the sending side; the connection is removed once the client has
  // closed its side or a time-out has passed.
  void CloseGracefully(Connection& connection);
  void RemoveConnection(ConnectionId id);
  void CloseExpiredConnections();

  void Handle(SendHttpResponse message);
  void Handle(SendHttpResponseHead message);
  void Handle(const SendHttpResponseBody& message);
  void Handle(const EndHttpResponse& message);
  void Handle(const AbortHttpResponse& message);
  void Handle(const ServerLimits& message) { m_limits = message; }
  void Handle(const DrainHttpServer& message);
  void Handle(const ShutDownHttpServer& message);

  Connection* Find(ConnectionId id);
  Connection* FindExchange(ExchangeId id);

  EventLoop& m_loop;
  ServerLimits m_limits;
  ServerHandlers m_handlers;
  int m_listener;
  std::unordered_map<ConnectionId, std::unique_ptr<Connection>> m_connections;
  std::unordered_map<ExchangeId, ConnectionId> m_exchanges;
  ConnectionId m_last_connection_id = 0;
  ExchangeId m_last_exchange_id = 0;
  bool m_draining = false;
  bool m_shutting_down = false;
  EventLoop::TimerId m_expiry_timer;
  LoopMailbox<ServerMessage> m_mailbox;
};

}  // namespace boragepick
