#include "frontends/http/http_server.h"

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <optional>
#include <utility>

#include "frontends/boot_clock.h"

namespace boragepick {

namespace {

constexpr Duration kExpiryCheckPeriod = std::chrono::milliseconds(250);
constexpr Duration kPauseReportPeriod = std::chrono::seconds(10);
// After its side is shut down, the server waits this long for the client to
// close. Closing the socket at once, with unread input, would reset the
// connection and could lose the last response.
constexpr Duration kCloseTimeout = std::chrono::seconds(1);
// A connection with more response bytes unsent than this is closed: its client
// doesn't read them.
constexpr std::size_t kMaxUnsentBytes = 16 << 20;
// A connection with unsent response bytes is closed once its client has read
// none for this long.
constexpr Duration kSendTimeout = std::chrono::seconds(10);
// Changes of the unsent bytes of an exchange that are reported.
constexpr std::size_t kUnsentReportBytes = 16 << 10;
// What is read of a connection beyond the request that is being processed.
constexpr std::size_t kMaxPipelinedBytes = 16 << 10;
constexpr std::size_t kMaxInputBytes = 64 << 10;
// When a client may repeat a request for which there was no memory.
constexpr std::string_view kMemoryRetryAfter = "1";
constexpr TcpKeepaliveOptions kClientKeepalive{
    .user_timeout = kSendTimeout,
    .probe_interval = std::chrono::seconds(5)};

RequestFault ToRequestFault(ParseError error) {
  switch (error) {
    case ParseError::kHeaderTooLarge:
      return RequestFault::kHeaderTooLarge;
    case ParseError::kBodyTooLarge:
      return RequestFault::kBodyTooLarge;
    case ParseError::kNone:
    case ParseError::kMalformed:
      break;
  }
  return RequestFault::kMalformed;
}

bool ExpectsContinue(const HttpHead& head) {
  const std::string* expect = FindField(head.fields, "expect");
  return expect != nullptr && IsSameFieldName(*expect, "100-continue");
}

}  // namespace

const RequestFaultRow& RequestFaultInfo(RequestFault fault) {
  return *std::ranges::find(kRequestFaults, fault, &RequestFaultRow::value);
}

struct HttpServer::Connection {
  ConnectionId id = 0;
  std::unique_ptr<TcpConnection> tcp;
  std::optional<RequestParser> parser;
  // As of when the connection became idle or its request began.
  ServerLimits limits;
  // The exchange whose response is pending; 0 for none.
  ExchangeId exchange = 0;
  bool keep_alive = true;
  bool head_request = false;
  bool chunked = false;
  bool continue_sent = false;
  bool closing = false;
  // Why the connection is being closed.
  ConnectionEnd end = ConnectionEnd::kClosedByClient;
  // Whether on_unanswered_close was called for the connection.
  bool is_reported = false;
  // Bytes of the request that the parser has taken, and those that count from
  // its first byte to the end of its response.
  std::size_t parsed_bytes = 0;
  std::size_t request_bytes = 0;
  // Bytes of responses that the client has not read, and those last reported to
  // the owner.
  std::size_t unsent_bytes = 0;
  std::size_t reported_unsent_bytes = 0;
  // When the connection was accepted, bytes were last received, a response was
  // queued to its end, or closing began.
  TimePoint last_progress;
  TimePoint request_started = kNever;

  bool IsIdle() const { return exchange == 0 && !parser && !closing; }
  // Written bytes count as progress.
  Duration IdleTime(TimePoint now) const {
    return now - std::max(last_progress, tcp->last_written());
  }
  bool HasStalled(TimePoint now) const {
    return tcp->unsent_bytes() > 0 && IdleTime(now) > kSendTimeout;
  }
};

HttpServer::HttpServer(EventLoop& loop,
                       const Endpoint& endpoint,
                       const ServerLimits& limits,
                       ServerHandlers handlers,
                       const ServerMemory& memory)
    : m_loop(loop),
      m_limits(limits),
      m_memory(memory),
      m_handlers(std::move(handlers)),
      m_listener(OpenListener(endpoint)),
      m_mailbox(loop, [this](ServerMessage message) {
        std::visit(
            [this](auto& alternative) { Handle(std::move(alternative)); },
            message);
      }) {
  m_loop.Watch(m_listener, EPOLLIN,
               [this](std::uint32_t) { AcceptConnections(); });
  m_expiry_timer = m_loop.StartTimer(ReadBootClock() + kExpiryCheckPeriod,
                                     [this] { CloseExpiredConnections(); });
}

HttpServer::~HttpServer() {
  m_loop.CancelTimer(m_expiry_timer);
  if (m_listener >= 0) {
    m_loop.RemoveWatch(m_listener);
    close(m_listener);
  }
}

void HttpServer::AcceptConnections() {
  while (m_listener >= 0) {
    if (m_connections.size() >= m_limits.max_connections)
      return PauseAccepting("connection limit");
    const int fd =
        accept4(m_listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0 && errno == EAGAIN)
      return;
    if (fd < 0 && (errno == EINTR || errno == ECONNABORTED))
      continue;
    if (fd < 0)
      return PauseAccepting(std::strerror(errno));
    const ConnectionId id = ++m_last_connection_id;
    auto connection = std::make_unique<Connection>();
    connection->id = id;
    connection->last_progress = ReadBootClock();
    connection->limits = CurrentLimits(connection->last_progress);
    connection->tcp = std::make_unique<TcpConnection>(
        m_loop, fd, kClientKeepalive,
        TcpConnection::Handlers{.on_received = [this, id] { OnReceived(id); },
                                .on_closed =
                                    [this, id](ConnectionCloseReason) {
                                      Disconnect(
                                          id, ConnectionEnd::kClosedByClient);
                                    },
                                .on_written = [this, id] { OnWritten(id); }});
    m_connections.emplace(id, std::move(connection));
  }
}

void HttpServer::PauseAccepting(const std::string& reason) {
  if (m_accept_paused)
    return;
  m_accept_paused = true;
  m_loop.RemoveWatch(m_listener);
  const TimePoint now = ReadBootClock();
  if (now < m_next_pause_report)
    return;
  m_next_pause_report = now + kPauseReportPeriod;
  if (m_handlers.on_accept_paused)
    m_handlers.on_accept_paused(reason);
}

void HttpServer::ResumeAccepting() {
  if (!m_accept_paused || m_listener < 0)
    return;
  m_accept_paused = false;
  m_loop.Watch(m_listener, EPOLLIN,
               [this](std::uint32_t) { AcceptConnections(); });
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
    ReportIfUnanswered(*connection, connection->end);
    connection->tcp->input().clear();
    return;
  }
  if (connection->exchange == 0)
    ParseRequest(*connection);
}

void HttpServer::RecordRequestBytes(Connection& connection, std::size_t bytes) {
  m_request_bytes += bytes - connection.request_bytes;
  connection.request_bytes = bytes;
}

bool HttpServer::ExceedsMemory(const Connection& connection) const {
  const std::size_t others = m_request_bytes - connection.request_bytes;
  const std::size_t announced =
      static_cast<std::size_t>(connection.parser->content_length().value_or(0));
  return others + std::max(announced, connection.request_bytes) >
         m_memory.max_request_bytes;
}

void HttpServer::RecordUnsentBytes(Connection& connection) {
  const std::size_t unsent = connection.tcp->unsent_bytes();
  m_unsent_bytes += unsent - connection.unsent_bytes;
  connection.unsent_bytes = unsent;
  if (connection.exchange == 0 || !m_handlers.on_unsent_changed)
    return;
  const std::size_t reported = connection.reported_unsent_bytes;
  const std::size_t change =
      unsent > reported ? unsent - reported : reported - unsent;
  const bool is_drained = unsent == 0 && reported > 0;
  if (change < kUnsentReportBytes && !is_drained)
    return;
  connection.reported_unsent_bytes = unsent;
  m_handlers.on_unsent_changed(connection.exchange, unsent, m_unsent_bytes);
}

void HttpServer::OnWritten(ConnectionId id) {
  if (Connection* connection = Find(id))
    RecordUnsentBytes(*connection);
}

void HttpServer::CloseStalledConnections() {
  while (m_unsent_bytes > m_memory.max_unsent_bytes) {
    const TimePoint now = ReadBootClock();
    Connection* stalled = nullptr;
    for (const auto& [id, connection] : m_connections) {
      const bool is_longer = connection->unsent_bytes > 0 &&
                             (stalled == nullptr || connection->IdleTime(now) >
                                                        stalled->IdleTime(now));
      if (is_longer)
        stalled = connection.get();
    }
    if (stalled == nullptr)
      return;
    Disconnect(stalled->id, ConnectionEnd::kMemoryLimit);
  }
}

void HttpServer::Disconnect(ConnectionId id, ConnectionEnd reason) {
  Connection* connection = Find(id);
  if (connection == nullptr)
    return;
  ReportIfUnanswered(*connection, reason);
  const ExchangeId exchange = std::exchange(connection->exchange, 0);
  RemoveConnection(id);
  if (exchange == 0)
    return;
  m_exchanges.erase(exchange);
  m_handlers.on_disconnected(exchange, reason);
}

void HttpServer::ReportIfUnanswered(Connection& connection,
                                    ConnectionEnd reason) {
  // The remaining input of a rejected request has its response, and a client
  // that left expects none.
  if (reason == ConnectionEnd::kRequestRejected ||
      reason == ConnectionEnd::kClosedByClient || connection.is_reported)
    return;
  const UnansweredClose close{
      .reason = reason,
      .is_exchange_open = connection.exchange != 0,
      .unparsed_bytes = connection.tcp->input().size(),
      .unread_bytes = connection.tcp->unread_bytes(),
      .idle_time = connection.IdleTime(ReadBootClock())};
  if (!close.is_exchange_open && close.unparsed_bytes == 0 &&
      close.unread_bytes == 0)
    return;
  connection.is_reported = true;
  ++m_unanswered_closes[reason];
  if (m_handlers.on_unanswered_close)
    m_handlers.on_unanswered_close(close);
}

void HttpServer::ParseRequest(Connection& connection) {
  std::string& input = connection.tcp->input();
  if (input.empty())
    return;
  if (!connection.parser) {
    connection.request_started = ReadBootClock();
    connection.limits = CurrentLimits(connection.request_started);
    connection.parser.emplace(
        ParserLimits{.max_header_bytes = connection.limits.max_header_bytes,
                     .max_body_bytes = connection.limits.max_body_bytes});
    connection.continue_sent = false;
    connection.parsed_bytes = 0;
    // Room to find that a header is too large.
    connection.tcp->set_max_input_bytes(std::max<std::size_t>(
        kMaxInputBytes, std::size_t{2} * connection.limits.max_header_bytes));
  }
  RequestParser& parser = *connection.parser;
  connection.parsed_bytes += input.size();
  parser.Consume(input);
  connection.parsed_bytes -= input.size();
  if (parser.error() != ParseError::kNone)
    return RejectRequest(connection, ToRequestFault(parser.error()));
  RecordRequestBytes(connection, connection.parsed_bytes + input.size());
  if (ExceedsMemory(connection))
    return RejectRequest(connection, RequestFault::kMemoryLimit);
  if (parser.done())
    return DispatchRequest(connection);
  // An incomplete header stays in the input buffer, where the parser's own
  // limit doesn't apply to it.
  if (!parser.head_done() && input.size() > connection.limits.max_header_bytes)
    return RejectRequest(connection, RequestFault::kHeaderTooLarge);
  if (parser.head_done() && !connection.continue_sent &&
      ExpectsContinue(parser.head())) {
    connection.continue_sent = true;
    connection.tcp->Send("HTTP/1.1 100 Continue\r\n\r\n");
  }
}

void HttpServer::DispatchRequest(Connection& connection) {
  HttpMessage request{.head = connection.parser->head(),
                      .body = connection.parser->TakeBody()};
  connection.parser.reset();
  connection.request_started = kNever;
  connection.keep_alive = request.head.keep_alive;
  connection.head_request = request.head.method == "HEAD";
  connection.exchange = ++m_last_exchange_id;
  m_exchanges.emplace(connection.exchange, connection.id);
  connection.tcp->set_max_input_bytes(kMaxPipelinedBytes);
  m_handlers.on_request(connection.exchange, std::move(request));
}

void HttpServer::RejectRequest(Connection& connection, RequestFault fault) {
  if (m_handlers.on_rejected)
    m_handlers.on_rejected(fault);
  connection.parser.reset();
  connection.tcp->input().clear();
  RecordRequestBytes(connection, 0);
  std::vector<HeaderField> fields;
  if (fault == RequestFault::kMemoryLimit)
    fields.push_back({"Retry-After", std::string(kMemoryRetryAfter)});
  connection.tcp->Send(SerializeResponseHead(RequestFaultInfo(fault).status,
                                             fields, BodyFraming::kLength, 0,
                                             /*keep_alive=*/false));
  RecordUnsentBytes(connection);
  CloseGracefully(connection, ConnectionEnd::kRequestRejected);
}

void HttpServer::CloseGracefully(Connection& connection, ConnectionEnd reason) {
  ReportIfUnanswered(connection, reason);
  connection.closing = true;
  connection.end = reason;
  connection.last_progress = ReadBootClock();
  connection.tcp->ShutDownSending();
}

void HttpServer::Handle(SendHttpResponse message) {
  Connection* connection = FindExchange(message.id);
  if (connection == nullptr)
    return;
  connection->keep_alive =
      connection->keep_alive && !message.close_connection && !m_draining;
  const bool omit_body = connection->head_request || message.status == 204 ||
                         message.status == 304;
  std::string response = SerializeResponseHead(
      message.status, message.fields,
      message.status == 204 ? BodyFraming::kNone : BodyFraming::kLength,
      message.body.size(), connection->keep_alive);
  if (!omit_body)
    response += message.body;
  connection->tcp->Send(response);
  RecordUnsentBytes(*connection);
  CompleteResponse(*connection);
  CloseStalledConnections();
}

void HttpServer::Handle(SendHttpResponseHead message) {
  Connection* connection = FindExchange(message.id);
  if (connection == nullptr)
    return;
  connection->keep_alive = connection->keep_alive && !m_draining;
  connection->chunked = true;
  connection->tcp->Send(SerializeResponseHead(message.status, message.fields,
                                              BodyFraming::kChunked, 0,
                                              connection->keep_alive));
  RecordUnsentBytes(*connection);
}

void HttpServer::Handle(const SendHttpResponseBody& message) {
  Connection* connection = FindExchange(message.id);
  if (connection == nullptr || message.bytes.empty())
    return;
  connection->tcp->Send(SerializeChunk(message.bytes));
  RecordUnsentBytes(*connection);
  if (connection->unsent_bytes > kMaxUnsentBytes)
    Disconnect(connection->id, ConnectionEnd::kUnsentLimit);
  CloseStalledConnections();
}

void HttpServer::Handle(const EndHttpResponse& message) {
  Connection* connection = FindExchange(message.id);
  if (connection == nullptr)
    return;
  connection->tcp->Send(kLastChunk);
  RecordUnsentBytes(*connection);
  CompleteResponse(*connection);
}

void HttpServer::Handle(const AbortHttpResponse& message) {
  Connection* connection = FindExchange(message.id);
  if (connection == nullptr)
    return;
  m_exchanges.erase(message.id);
  RemoveConnection(connection->id);
}

void HttpServer::Handle(const ServerLimits& message) {
  const TimePoint now = ReadBootClock();
  std::erase_if(m_earlier_idle_timeouts,
                [now](const auto& earlier) { return earlier.until <= now; });
  const Duration idle_timeout = m_limits.idle_timeout;
  if (message.idle_timeout < idle_timeout) {
    m_earlier_idle_timeouts.push_back(
        {.idle_timeout = idle_timeout, .until = now + idle_timeout});
  }
  m_limits = message;
}

ServerLimits HttpServer::CurrentLimits(TimePoint now) const {
  ServerLimits limits = m_limits;
  for (const EarlierIdleTimeout& earlier : m_earlier_idle_timeouts) {
    if (now < earlier.until)
      limits.idle_timeout = std::max(limits.idle_timeout, earlier.idle_timeout);
  }
  return limits;
}

void HttpServer::Handle(const DrainHttpServer& /*message*/) {
  m_draining = true;
}

void HttpServer::Handle(const ShutDownHttpServer& /*message*/) {
  m_draining = true;
  m_shutting_down = true;
  if (m_listener >= 0) {
    // Closing the listener resets the connections that wait in its queue.
    AcceptConnections();
    m_loop.RemoveWatch(m_listener);
    close(m_listener);
    m_listener = -1;
  }
  std::vector<ConnectionId> idle;
  for (const auto& [id, connection] : m_connections) {
    if (connection->IsIdle())
      idle.push_back(id);
  }
  for (const ConnectionId id : idle)
    CloseWithoutRequest(id, ConnectionEnd::kShutDown);
}

void HttpServer::CloseWithoutRequest(ConnectionId id, ConnectionEnd reason) {
  if (Connection* connection = Find(id))
    connection->tcp->TransferPending();
  Connection* connection = Find(id);
  if (connection == nullptr || !connection->IsIdle())
    return;
  // A pipelined request may have been read with an earlier one.
  ParseRequest(*connection);
  if (connection->IsIdle())
    CloseGracefully(*connection, reason);
}

void HttpServer::CompleteResponse(Connection& connection) {
  m_exchanges.erase(connection.exchange);
  connection.exchange = 0;
  connection.reported_unsent_bytes = 0;
  RecordRequestBytes(connection, connection.tcp->input().size());
  connection.chunked = false;
  connection.last_progress = ReadBootClock();
  connection.limits = CurrentLimits(connection.last_progress);
  if (!connection.keep_alive)
    return CloseGracefully(connection, ConnectionEnd::kResponseComplete);
  // The next request may have been pipelined with this one.
  m_loop.Defer([this, id = connection.id] {
    Connection* found = Find(id);
    if (found == nullptr || found->exchange != 0 || found->closing)
      return;
    // A streamed response that began before the drain promised to keep the
    // connection open. It is closed all the same, since the client would send
    // its next request to a process that is shutting down.
    if (m_shutting_down)
      return CloseWithoutRequest(id, ConnectionEnd::kResponseComplete);
    ParseRequest(*found);
    if (Connection* open = Find(id))
      open->tcp->OnInputConsumed();
  });
}

void HttpServer::RemoveConnection(ConnectionId id) {
  const auto found = m_connections.find(id);
  if (found == m_connections.end())
    return;
  RecordRequestBytes(*found->second, 0);
  m_unsent_bytes -= found->second->unsent_bytes;
  // One of the connection's handlers may be running, so its destruction is
  // deferred.
  m_loop.Defer(
      [removed = std::shared_ptr<Connection>(std::move(found->second))] {});
  m_connections.erase(found);
  ResumeAccepting();
}

bool HttpServer::IsExpired(TimePoint now, const Connection& connection) const {
  if (connection.exchange != 0)
    return false;
  if (!connection.closing && connection.parser &&
      !connection.parser->head_done())
    return now - connection.request_started > connection.limits.header_timeout;
  if (connection.tcp->unsent_bytes() > 0)
    return connection.HasStalled(now);
  if (connection.closing)
    return connection.IdleTime(now) > kCloseTimeout;
  return connection.IdleTime(now) >
         std::max(m_limits.idle_timeout, connection.limits.idle_timeout);
}

void HttpServer::CloseIfExpired(TimePoint now, ConnectionId id) {
  Connection* connection = Find(id);
  if (connection == nullptr)
    return;
  // After a pause of the process or a long handler, the socket may hold a
  // request that arrived in time, or accept more of a response.
  connection->tcp->TransferPending();
  connection = Find(id);
  if (connection == nullptr || !IsExpired(now, *connection))
    return;
  if (connection->closing)
    return Disconnect(id, connection->end);
  if (connection->HasStalled(now))
    return Disconnect(id, ConnectionEnd::kUnsentLimit);
  if (connection->parser)
    return RejectRequest(*connection, RequestFault::kTooSlow);
  CloseGracefully(*connection, ConnectionEnd::kIdle);
}

void HttpServer::CloseExpiredConnections() {
  const TimePoint now = ReadBootClock();
  std::vector<ConnectionId> expired;
  for (const auto& [id, connection] : m_connections) {
    if (IsExpired(now, *connection))
      expired.push_back(id);
  }
  for (const ConnectionId id : expired)
    CloseIfExpired(now, id);
  m_expiry_timer = m_loop.StartTimer(now + kExpiryCheckPeriod,
                                     [this] { CloseExpiredConnections(); });
  ResumeAccepting();
}

}  // namespace boragepick
