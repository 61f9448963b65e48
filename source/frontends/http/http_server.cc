#include "frontends/http/http_server.h"

#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <optional>
#include <utility>

#include "frontends/boot_clock.h"

namespace boragepick {

namespace {

constexpr Duration kSweepPeriod = std::chrono::milliseconds(250);
// A closed connection waits so long for its peer to close, too, so that the
// last answer isn't lost with unread bytes.
constexpr Duration kCloseWait = std::chrono::seconds(1);
// Answers that a client doesn't read are held up to so many bytes.
constexpr std::size_t kMaxUnsentBytes = 16 << 20;
constexpr SilenceOptions kCallerSilence{
    .unacknowledged = std::chrono::seconds(10),
    .probe = std::chrono::seconds(5)};

bool ExpectsContinue(const HttpHead& head) {
  const std::string* expect = FindField(head.fields, "expect");
  return expect != nullptr && SameFieldName(*expect, "100-continue");
}

}  // namespace

struct HttpServer::Connection {
  ConnectionId id = 0;
  std::unique_ptr<TcpConnection> tcp;
  std::optional<RequestParser> parser;
  // The exchange being answered; 0 for none.
  ExchangeId exchange = 0;
  bool keep_alive = true;
  bool head_request = false;
  bool chunked = false;
  bool continue_sent = false;
  bool closing = false;
  // When the present wait is over: for a head, a body, or the peer's close.
  TimePoint last_progress;
  TimePoint request_started = kNever;
};

HttpServer::HttpServer(EventLoop& loop,
                       const Endpoint& endpoint,
                       const ServerLimits& limits,
                       ServerOutlet outlet)
    : m_loop(loop),
      m_limits(limits),
      m_outlet(std::move(outlet)),
      m_listener(OpenListener(endpoint)),
      m_mailbox(loop, [this](ServerMessage message) {
        std::visit([this](auto& held) { On(std::move(held)); }, message);
      }) {
  m_loop.Watch(m_listener, EPOLLIN, [this](std::uint32_t) { Accept(); });
  m_sweep_timer =
      m_loop.At(ReadBootClock() + kSweepPeriod, [this] { Sweep(); });
}

HttpServer::~HttpServer() {
  m_loop.Cancel(m_sweep_timer);
  if (m_listener >= 0) {
    m_loop.RemoveWatch(m_listener);
    close(m_listener);
  }
}

void HttpServer::Accept() {
  while (m_listener >= 0 && m_connections.size() < m_limits.max_connections) {
    const int fd =
        accept4(m_listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0)
      return;
    const ConnectionId id = ++m_last_connection;
    auto connection = std::make_unique<Connection>();
    connection->id = id;
    connection->last_progress = ReadBootClock();
    connection->tcp = std::make_unique<TcpConnection>(
        m_loop, fd, kCallerSilence,
        TcpConnection::Handlers{
            .received = [this, id] { OnReceived(id); },
            .ended = [this, id](ConnectionEnd) { OnEnded(id); }});
    m_connections.emplace(id, std::move(connection));
  }
}

HttpServer::Connection* HttpServer::Find(ConnectionId id) {
  const auto found = m_connections.find(id);
  return found == m_connections.end() ? nullptr : found->second.get();
}

HttpServer::Connection* HttpServer::FindExchange(ExchangeId id) {
  const auto found = m_exchanges.find(id);
  return found == m_exchanges.end() ? nullptr : Find(found->second);
}

void HttpServer::OnReceived(ConnectionId id) {
  Connection* connection = Find(id);
  if (connection == nullptr)
    return;
  connection->last_progress = ReadBootClock();
  if (connection->closing) {
    connection->tcp->input().clear();
    return;
  }
  if (connection->exchange == 0)
    Parse(*connection);
}

void HttpServer::OnEnded(ConnectionId id) {
  Connection* connection = Find(id);
  if (connection == nullptr)
    return;
  const ExchangeId exchange = std::exchange(connection->exchange, 0);
  Drop(id);
  if (exchange == 0)
    return;
  m_exchanges.erase(exchange);
  m_outlet.gone(exchange);
}

void HttpServer::Parse(Connection& connection) {
  std::string& input = connection.tcp->input();
  if (input.empty())
    return;
  if (!connection.parser) {
    connection.parser.emplace(
        ParserLimits{.max_header_bytes = m_limits.max_header_bytes,
                     .max_body_bytes = m_limits.max_body_bytes});
    connection.request_started = ReadBootClock();
    connection.continue_sent = false;
  }
  RequestParser& parser = *connection.parser;
  parser.Consume(input);
  switch (parser.error()) {
    case ParseError::kNone:
      break;
    case ParseError::kHeaderTooLarge:
      return Reject(connection, 431, parser.error());
    case ParseError::kBodyTooLarge:
      return Reject(connection, 413, parser.error());
    case ParseError::kMalformed:
      return Reject(connection, 400, parser.error());
  }
  if (parser.done())
    return Dispatch(connection);
  // why: an unfinished head stays in the buffer, where the parser's own limit
  // does not count it
  if (!parser.head_done() && input.size() > m_limits.max_header_bytes)
    return Reject(connection, 431, ParseError::kHeaderTooLarge);
  if (parser.head_done() && !connection.continue_sent &&
      ExpectsContinue(parser.head())) {
    connection.continue_sent = true;
    connection.tcp->Send("HTTP/1.1 100 Continue\r\n\r\n");
  }
}

void HttpServer::Dispatch(Connection& connection) {
  HttpMessage request{.head = connection.parser->head(),
                      .body = connection.parser->TakeBody()};
  connection.parser.reset();
  connection.request_started = kNever;
  connection.keep_alive = request.head.keep_alive;
  connection.head_request = request.head.method == "HEAD";
  connection.exchange = ++m_last_exchange;
  m_exchanges.emplace(connection.exchange, connection.id);
  m_outlet.request(connection.exchange, std::move(request));
}

void HttpServer::Reject(Connection& connection,
                        unsigned status,
                        ParseError error) {
  if (m_outlet.rejected)
    m_outlet.rejected(status, error);
  connection.parser.reset();
  connection.tcp->input().clear();
  connection.tcp->Send(SerializeResponseHead(status, {}, BodyFraming::kLength,
                                             0, /*keep_alive=*/false));
  CloseInOrder(connection);
}

void HttpServer::CloseInOrder(Connection& connection) {
  connection.closing = true;
  connection.last_progress = ReadBootClock();
  connection.tcp->FinishSending();
}

void HttpServer::On(ServeWhole message) {
  Connection* connection = FindExchange(message.id);
  if (connection == nullptr)
    return;
  connection->keep_alive =
      connection->keep_alive && !message.close && !m_draining;
  const bool without_body = connection->head_request || message.status == 204 ||
                            message.status == 304;
  std::string answer = SerializeResponseHead(
      message.status, message.fields,
      message.status == 204 ? BodyFraming::kNone : BodyFraming::kLength,
      message.body.size(), connection->keep_alive);
  if (!without_body)
    answer += message.body;
  connection->tcp->Send(answer);
  AnswerFinished(*connection);
}

void HttpServer::On(ServeHead message) {
  Connection* connection = FindExchange(message.id);
  if (connection == nullptr)
    return;
  connection->keep_alive = connection->keep_alive && !m_draining;
  connection->chunked = true;
  connection->tcp->Send(SerializeResponseHead(message.status, message.fields,
                                              BodyFraming::kChunked, 0,
                                              connection->keep_alive));
}

void HttpServer::On(const ServeBytes& message) {
  Connection* connection = FindExchange(message.id);
  if (connection == nullptr || message.bytes.empty())
    return;
  connection->tcp->Send(SerializeChunk(message.bytes));
  if (connection->tcp->unsent() > kMaxUnsentBytes)
    OnEnded(connection->id);
}

void HttpServer::On(const ServeEnd& message) {
  Connection* connection = FindExchange(message.id);
  if (connection == nullptr)
    return;
  connection->tcp->Send(kLastChunk);
  AnswerFinished(*connection);
}

void HttpServer::On(const ServeAbort& message) {
  Connection* connection = FindExchange(message.id);
  if (connection == nullptr)
    return;
  m_exchanges.erase(message.id);
  Drop(connection->id);
}

void HttpServer::On(const ServeDrain& /*message*/) {
  m_draining = true;
}

void HttpServer::On(const ServeFinish& /*message*/) {
  m_draining = true;
  m_finishing = true;
  if (m_listener >= 0) {
    m_loop.RemoveWatch(m_listener);
    close(m_listener);
    m_listener = -1;
  }
  std::vector<ConnectionId> idle;
  for (const auto& [id, connection] : m_connections) {
    if (connection->exchange == 0 && !connection->parser)
      idle.push_back(id);
  }
  for (const ConnectionId id : idle)
    CloseInOrder(*Find(id));
}

void HttpServer::AnswerFinished(Connection& connection) {
  m_exchanges.erase(connection.exchange);
  connection.exchange = 0;
  connection.chunked = false;
  connection.last_progress = ReadBootClock();
  // why: a stream that began before the drain has promised to keep its
  // connection, and its client would send the next request to a dying process
  if (!connection.keep_alive || m_finishing)
    return CloseInOrder(connection);
  // why: a next request may have come with the one just answered
  m_loop.Defer([this, id = connection.id] {
    Connection* found = Find(id);
    if (found != nullptr && found->exchange == 0 && !found->closing)
      Parse(*found);
  });
}

void HttpServer::Drop(ConnectionId id) {
  const auto found = m_connections.find(id);
  if (found == m_connections.end())
    return;
  // why: its own handler may be running
  m_loop.Defer(
      [dropped = std::shared_ptr<Connection>(std::move(found->second))] {});
  m_connections.erase(found);
}

void HttpServer::Sweep() {
  const TimePoint now = ReadBootClock();
  std::vector<ConnectionId> expired;
  std::vector<ConnectionId> slow;
  for (const auto& [id, connection] : m_connections) {
    if (connection->exchange != 0)
      continue;
    const Duration quiet = now - connection->last_progress;
    if (connection->closing) {
      if (quiet > kCloseWait)
        expired.push_back(id);
    } else if (connection->parser && !connection->parser->head_done()) {
      if (now - connection->request_started > m_limits.header_timeout)
        slow.push_back(id);
    } else if (quiet > m_limits.idle_timeout) {
      if (connection->parser)
        slow.push_back(id);
      else
        expired.push_back(id);
    }
  }
  for (const ConnectionId id : slow)
    Reject(*Find(id), 408, ParseError::kNone);
  for (const ConnectionId id : expired)
    Drop(id);
  m_sweep_timer = m_loop.At(now + kSweepPeriod, [this] { Sweep(); });
  Accept();
}

}  // namespace boragepick
