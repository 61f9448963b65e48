#include "frontends/http/http_client.h"

#include <algorithm>
#include <charconv>
#include <optional>
#include <system_error>
#include <utility>

#include "frontends/boot_clock.h"

namespace boragepick {

namespace {

// An idle connection is not reused in the last second before the time-out that
// the server announced, nor after kMaxIdleTime.
constexpr Duration kKeepAliveMargin = std::chrono::milliseconds(1'000);
constexpr Duration kMaxIdleTime = std::chrono::seconds(20);
// Limit on the responses of earlier calls, and interim ones, discarded in a
// call.
constexpr int kMaxDiscardedResponses = 4;
// A small body is sent together with its head.
constexpr std::size_t kMaxCopiedBodyBytes = 16 << 10;

// The idle time-out that the server announces in Keep-Alive.
std::optional<Duration> ParseKeepAliveTimeout(const HttpHead& head) {
  const std::string* field = FindField(head.fields, "keep-alive");
  constexpr std::string_view kParameter = "timeout=";
  if (field == nullptr)
    return std::nullopt;
  const std::size_t at = field->find(kParameter);
  if (at == std::string::npos)
    return std::nullopt;
  int seconds = 0;
  const char* begin = field->data() + at + kParameter.size();
  const auto [stop, error] =
      std::from_chars(begin, field->data() + field->size(), seconds);
  if (error != std::errc{})
    return std::nullopt;
  return std::chrono::seconds(seconds);
}

constexpr bool IsInterim(unsigned status) {
  return status >= 100 && status < 200;
}

}  // namespace

struct HttpClient::Connection {
  ConnectionId id = 0;
  std::string pool;
  std::unique_ptr<TcpConnection> tcp;
  // 0 while the connection is idle.
  CallId call = 0;
  bool head_request = false;
  std::string echo_name;
  std::string echo_value;
  std::optional<ResponseParser> parser;
  bool head_delivered = false;
  std::size_t delivered_bytes = 0;
  std::size_t max_response_bytes = 0;
  // The response being parsed belongs to an earlier call.
  bool stale_response = false;
  int discarded_responses = 0;
  bool reused = false;
  TimePoint idle_since;
  Duration max_idle = kMaxIdleTime;
  TimePoint connect_deadline = kNever;
  TimePoint call_deadline = kNever;
  std::optional<EventLoop::TimerId> timer;
};

HttpClient::HttpClient(EventLoop& loop,
                       const ClientOptions& options,
                       std::function<void(ClientEvent)> on_event)
    : m_loop(loop),
      m_options(options),
      m_on_event(std::move(on_event)),
      m_mailbox(loop, [this](ClientMessage message) {
        std::visit(
            [this](auto& alternative) { Handle(std::move(alternative)); },
            message);
      }) {}

HttpClient::~HttpClient() = default;

HttpClient::Connection* HttpClient::Find(ConnectionId id) {
  const auto found = m_connections.find(id);
  return found == m_connections.end() ? nullptr : found->second.get();
}

void HttpClient::Handle(StartCall call) {
  Connection* connection = AcquireIdle(call);
  if (connection == nullptr)
    connection = Connect(call);
  if (connection == nullptr) {
    m_on_event(CallFailed{
        .id = call.id, .failure = CallFailure::kConnect, .sent = false});
    return;
  }
  SendRequest(*connection, std::move(call));
}

HttpClient::Connection* HttpClient::AcquireIdle(const StartCall& call) {
  const auto found = m_idle.find(call.pool);
  if (found == m_idle.end())
    return nullptr;
  const TimePoint now = ReadBootClock();
  std::vector<ConnectionId>& idle = found->second;
  while (!idle.empty()) {
    Connection* connection = Find(idle.back());
    if (connection == nullptr) {
      idle.pop_back();
      continue;
    }
    const Duration age = now - connection->idle_since;
    if (age >= connection->max_idle) {
      idle.pop_back();
      CloseConnection(connection->id);
      continue;
    }
    // The remaining ones have been idle for longer.
    if (age >= call.max_idle)
      return nullptr;
    idle.pop_back();
    // A response that was sent while no call was open must not be taken for
    // that of this call.
    if (connection->tcp->HasUnreadInput()) {
      CloseConnection(connection->id);
      continue;
    }
    return connection;
  }
  return nullptr;
}

HttpClient::Connection* HttpClient::Connect(const StartCall& call) {
  const ConnectionId id = ++m_last_connection_id;
  auto connection = std::make_unique<Connection>();
  connection->id = id;
  connection->pool = call.pool;
  try {
    connection->tcp = std::make_unique<TcpConnection>(
        m_loop, ParseEndpoint(call.address), m_options.keepalive,
        TcpConnection::Handlers{.on_received = [this, id] { OnReceived(id); },
                                .on_closed =
                                    [this, id](ConnectionCloseReason reason) {
                                      OnClosed(id, reason);
                                    }});
  } catch (const std::exception&) {
    // The caller reports it as CallFailed.
    return nullptr;
  }
  ++m_connections_opened;
  connection->connect_deadline = ReadBootClock() + call.connect_timeout;
  return m_connections.emplace(id, std::move(connection)).first->second.get();
}

void HttpClient::SendRequest(Connection& connection, StartCall call) {
  connection.call = call.id;
  connection.head_request = call.head_request;
  connection.echo_name = std::move(call.echo_name);
  connection.echo_value = std::move(call.echo_value);
  connection.parser.reset();
  connection.head_delivered = false;
  connection.delivered_bytes = 0;
  connection.max_response_bytes = call.max_response_bytes;
  connection.stale_response = false;
  connection.discarded_responses = 0;
  connection.reused = connection.tcp->established();
  m_calls[call.id] = connection.id;
  connection.call_deadline =
      call.timeout == Duration::max() ? kNever : ReadBootClock() + call.timeout;
  if (call.body && call.body->size() <= kMaxCopiedBodyBytes)
    call.request += *std::exchange(call.body, nullptr);
  connection.tcp->Send(call.request);
  if (call.body)
    connection.tcp->Send(std::move(call.body));
  if (connection.tcp->established())
    connection.connect_deadline = kNever;
  SetTimer(connection,
           std::min(connection.connect_deadline, connection.call_deadline));
}

void HttpClient::SetTimer(Connection& connection, TimePoint when) {
  if (connection.timer)
    m_loop.CancelTimer(*connection.timer);
  connection.timer.reset();
  if (when == kNever)
    return;
  connection.timer = m_loop.StartTimer(when, [this, id = connection.id] {
    Connection* found = Find(id);
    if (found == nullptr)
      return;
    found->timer.reset();
    const TimePoint now = ReadBootClock();
    if (now >= found->call_deadline)
      return FailCall(*found, CallFailure::kTimeout);
    if (now >= found->connect_deadline && !found->tcp->established())
      return FailCall(*found, CallFailure::kConnect);
    SetTimer(*found, found->call_deadline);
  });
}

void HttpClient::OnReceived(ConnectionId id) {
  Connection* connection = Find(id);
  if (connection == nullptr)
    return;
  // Bytes that arrive on an idle connection belong to no call.
  if (connection->call == 0)
    return CloseConnection(id);
  ParseResponse(*connection);
}

bool HttpClient::ParseResponse(Connection& connection) {
  while (!connection.tcp->input().empty()) {
    if (!connection.parser)
      connection.parser.emplace(
          ParserLimits{.skip_body = connection.head_request});
    ResponseParser& parser = *connection.parser;
    parser.Consume(connection.tcp->input());
    if (parser.error() != ParseError::kNone) {
      FailCall(connection, CallFailure::kMalformed);
      return false;
    }
    const ConnectionId id = connection.id;
    DeliverResponse(connection);
    if (Find(id) == nullptr)
      return false;
    if (!parser.done())
      return true;
    const bool discarded =
        connection.stale_response || IsInterim(parser.head().status);
    if (!discarded) {
      CompleteCall(connection, /*ended_by_close=*/false);
      return false;
    }
    const bool too_many =
        ++connection.discarded_responses > kMaxDiscardedResponses;
    connection.parser.reset();
    connection.stale_response = false;
    if (too_many) {
      FailCall(connection, CallFailure::kMalformed);
      return false;
    }
  }
  return true;
}

void HttpClient::DeliverResponse(Connection& connection) {
  ResponseParser& parser = *connection.parser;
  if (!parser.head_done())
    return;
  const HttpHead& head = parser.head();
  if (IsInterim(head.status))
    return;
  if (!connection.head_delivered) {
    const std::string* echo =
        connection.echo_name.empty()
            ? nullptr
            : FindField(head.fields, connection.echo_name);
    const bool unidentified =
        echo == nullptr && connection.reused && !connection.echo_name.empty();
    if (unidentified)
      return FailCall(connection, CallFailure::kMalformed);
    connection.stale_response =
        echo != nullptr && *echo != connection.echo_value;
    if (!connection.stale_response) {
      connection.head_delivered = true;
      m_on_event(CallHeadReceived{.id = connection.call, .head = head});
    }
  }
  std::string bytes = parser.TakeBody();
  if (connection.stale_response || bytes.empty())
    return;
  connection.delivered_bytes += bytes.size();
  const bool too_large =
      connection.max_response_bytes > 0 &&
      connection.delivered_bytes > connection.max_response_bytes;
  if (too_large)
    return FailCall(connection, CallFailure::kTooLarge);
  m_on_event(
      CallBodyReceived{.id = connection.call, .bytes = std::move(bytes)});
}

void HttpClient::CompleteCall(Connection& connection, bool ended_by_close) {
  const CallId call = std::exchange(connection.call, 0);
  m_calls.erase(call);
  const HttpHead& head = connection.parser->head();
  const bool reusable = head.keep_alive && connection.tcp->input().empty() &&
                        !connection.tcp->read_closed();
  if (reusable) {
    connection.max_idle = kMaxIdleTime;
    if (const auto announced = ParseKeepAliveTimeout(head))
      connection.max_idle =
          std::min(kMaxIdleTime, *announced - kKeepAliveMargin);
    ReturnToPool(connection);
  } else {
    CloseConnection(connection.id);
  }
  m_on_event(CallCompleted{.id = call, .ended_by_close = ended_by_close});
}

void HttpClient::ReturnToPool(Connection& connection) {
  connection.parser.reset();
  connection.call_deadline = kNever;
  SetTimer(connection, kNever);
  connection.idle_since = ReadBootClock();
  const std::size_t unsent = connection.tcp->unsent_bytes();
  if (unsent > 0 &&
      IdleUnsentBytes() + unsent > m_options.max_idle_unsent_bytes)
    return CloseConnection(connection.id);
  std::vector<ConnectionId>& idle = m_idle[connection.pool];
  idle.push_back(connection.id);
  if (idle.size() <= m_options.max_idle_per_pool)
    return;
  const ConnectionId oldest = idle.front();
  idle.erase(idle.begin());
  CloseConnection(oldest);
}

std::size_t HttpClient::IdleUnsentBytes() const {
  std::size_t unsent = 0;
  for (const auto& [pool, ids] : m_idle) {
    for (const ConnectionId id : ids) {
      const auto found = m_connections.find(id);
      if (found != m_connections.end())
        unsent += found->second->tcp->unsent_bytes();
    }
  }
  return unsent;
}

void HttpClient::OnClosed(ConnectionId id, ConnectionCloseReason reason) {
  Connection* connection = Find(id);
  if (connection == nullptr)
    return;
  if (connection->call == 0)
    return CloseConnection(id);
  if (reason == ConnectionCloseReason::kConnectFailed)
    return FailCall(*connection, CallFailure::kConnect);
  if (reason == ConnectionCloseReason::kTimedOut)
    return FailCall(*connection, CallFailure::kTimeout);
  const bool may_complete = reason == ConnectionCloseReason::kClosed &&
                            connection->parser && !connection->stale_response;
  if (may_complete) {
    connection->parser->HandleEndOfStream();
    if (connection->parser->done() &&
        connection->parser->error() == ParseError::kNone) {
      DeliverResponse(*connection);
      if (Find(id) != nullptr)
        CompleteCall(*connection, /*ended_by_close=*/true);
      return;
    }
  }
  FailCall(*connection, CallFailure::kReset);
}

void HttpClient::FailCall(Connection& connection, CallFailure failure) {
  const CallFailed event{.id = connection.call,
                         .failure = failure,
                         .sent = connection.tcp->established() ||
                                 connection.tcp->has_sent_bytes()};
  m_calls.erase(connection.call);
  connection.call = 0;
  CloseConnection(connection.id);
  m_on_event(event);
}

void HttpClient::Handle(const CancelCall& message) {
  const auto found = m_calls.find(message.id);
  if (found == m_calls.end())
    return;
  const ConnectionId id = found->second;
  m_calls.erase(found);
  CloseConnection(id);
}

void HttpClient::Handle(const PauseCall& message) {
  SetReadingPaused(message.id, true);
}

void HttpClient::Handle(const ResumeCall& message) {
  SetReadingPaused(message.id, false);
}

void HttpClient::SetReadingPaused(CallId id, bool paused) {
  const auto found = m_calls.find(id);
  if (found != m_calls.end())
    Find(found->second)->tcp->SetReadingPaused(paused);
}

void HttpClient::Handle(const CloseIdleConnections& message) {
  const auto found = m_idle.find(message.pool);
  if (found == m_idle.end())
    return;
  const std::vector<ConnectionId> idle = std::move(found->second);
  m_idle.erase(found);
  for (const ConnectionId id : idle)
    CloseConnection(id);
}

void HttpClient::CloseConnection(ConnectionId id) {
  const auto found = m_connections.find(id);
  if (found == m_connections.end())
    return;
  Connection& connection = *found->second;
  SetTimer(connection, kNever);
  const auto pool = m_idle.find(connection.pool);
  if (pool != m_idle.end())
    std::erase(pool->second, id);
  // One of the connection's handlers may be running, so its destruction is
  // deferred, but only until the handler returns: the peer must see the close
  // at once.
  m_loop.Defer(
      [closed = std::shared_ptr<Connection>(std::move(found->second))] {});
  m_connections.erase(found);
}

}  // namespace boragepick
