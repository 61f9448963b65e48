#include "frontends/http/http_client.h"

#include <algorithm>
#include <charconv>
#include <optional>
#include <system_error>
#include <utility>

#include "frontends/boot_clock.h"

namespace boragepick {

namespace {

// A kept connection is given up so long before the peer's announced time-out,
// or at the latest so long after its last use.
constexpr Duration kKeepAliveMargin = std::chrono::milliseconds(1'000);
constexpr Duration kLongestIdle = std::chrono::seconds(20);
// Messages passed over on one connection as belonging to earlier calls.
constexpr int kMaxStrayAnswers = 4;

// The time-out that the peer announces in Keep-Alive.
std::optional<Duration> AnnouncedIdle(const HttpHead& head) {
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
  // 0 while it is kept idle.
  CallId call = 0;
  bool head_request = false;
  std::string echo_name;
  std::string echo_value;
  std::optional<ResponseParser> parser;
  bool head_delivered = false;
  bool stray = false;
  int strays = 0;
  bool any_sent_before = false;
  TimePoint idle_since;
  Duration announced_idle = kLongestIdle;
  TimePoint connect_by = kNever;
  TimePoint call_by = kNever;
  std::optional<EventLoop::TimerId> timer;
};

HttpClient::HttpClient(EventLoop& loop,
                       const ClientOptions& options,
                       std::function<void(ClientEvent)> outlet)
    : m_loop(loop),
      m_options(options),
      m_outlet(std::move(outlet)),
      m_mailbox(loop, [this](ClientMessage message) {
        std::visit([this](auto& held) { On(std::move(held)); }, message);
      }) {}

HttpClient::~HttpClient() = default;

HttpClient::Connection* HttpClient::Find(ConnectionId id) {
  const auto found = m_connections.find(id);
  return found == m_connections.end() ? nullptr : found->second.get();
}

void HttpClient::On(StartCall call) {
  Connection* connection = TakeIdle(call);
  if (connection == nullptr)
    connection = Open(call);
  if (connection == nullptr) {
    m_outlet(CallFailed{
        .id = call.id, .failure = CallFailure::kConnect, .sent = false});
    return;
  }
  SendRequest(*connection, std::move(call));
}

HttpClient::Connection* HttpClient::TakeIdle(const StartCall& call) {
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
    if (age >= connection->announced_idle) {
      idle.pop_back();
      Drop(connection->id);
      continue;
    }
    // why: the others are older still
    if (age > call.max_idle)
      return nullptr;
    idle.pop_back();
    return connection;
  }
  return nullptr;
}

HttpClient::Connection* HttpClient::Open(const StartCall& call) {
  const ConnectionId id = ++m_last_connection;
  auto connection = std::make_unique<Connection>();
  connection->id = id;
  connection->pool = call.pool;
  try {
    connection->tcp = std::make_unique<TcpConnection>(
        m_loop, ParseEndpoint(call.address), m_options.silence,
        TcpConnection::Handlers{
            .received = [this, id] { OnReceived(id); },
            .ended = [this, id](ConnectionEnd end) { OnEnded(id, end); }});
  } catch (const std::exception&) {
    // why: the caller is told by CallFailed
    return nullptr;
  }
  ++m_opened;
  connection->connect_by = ReadBootClock() + call.connect_timeout;
  return m_connections.emplace(id, std::move(connection)).first->second.get();
}

void HttpClient::SendRequest(Connection& connection, StartCall call) {
  connection.call = call.id;
  connection.head_request = call.head_request;
  connection.echo_name = std::move(call.echo_name);
  connection.echo_value = std::move(call.echo_value);
  connection.parser.reset();
  connection.head_delivered = false;
  connection.stray = false;
  connection.strays = 0;
  connection.any_sent_before = connection.tcp->established();
  m_calls[call.id] = connection.id;
  connection.call_by =
      call.timeout == Duration::max() ? kNever : ReadBootClock() + call.timeout;
  connection.tcp->Send(call.request);
  if (connection.tcp->established())
    connection.connect_by = kNever;
  SetTimer(connection, std::min(connection.connect_by, connection.call_by));
}

void HttpClient::SetTimer(Connection& connection, TimePoint when) {
  if (connection.timer)
    m_loop.Cancel(*connection.timer);
  connection.timer.reset();
  if (when == kNever)
    return;
  connection.timer = m_loop.At(when, [this, id = connection.id] {
    Connection* found = Find(id);
    if (found == nullptr)
      return;
    found->timer.reset();
    const TimePoint now = ReadBootClock();
    if (now >= found->call_by)
      return Fail(*found, CallFailure::kTimeout);
    if (now >= found->connect_by && !found->tcp->established())
      return Fail(*found, CallFailure::kConnect);
    SetTimer(*found, found->call_by);
  });
}

void HttpClient::OnReceived(ConnectionId id) {
  Connection* connection = Find(id);
  if (connection == nullptr)
    return;
  // why: bytes that nobody asked for belong to no call
  if (connection->call == 0)
    return Drop(id);
  ReadAnswer(*connection);
}

bool HttpClient::ReadAnswer(Connection& connection) {
  while (!connection.tcp->input().empty()) {
    if (!connection.parser)
      connection.parser.emplace(
          ParserLimits{.without_body = connection.head_request});
    ResponseParser& parser = *connection.parser;
    parser.Consume(connection.tcp->input());
    if (parser.error() != ParseError::kNone) {
      Fail(connection, CallFailure::kMalformed);
      return false;
    }
    const ConnectionId id = connection.id;
    Deliver(connection);
    if (Find(id) == nullptr)
      return false;
    if (!parser.done())
      return true;
    const bool passed_over =
        connection.stray || IsInterim(parser.head().status);
    if (!passed_over) {
      Finish(connection);
      return false;
    }
    const bool too_many = ++connection.strays > kMaxStrayAnswers;
    connection.parser.reset();
    connection.stray = false;
    if (too_many) {
      Fail(connection, CallFailure::kMalformed);
      return false;
    }
  }
  return true;
}

void HttpClient::Deliver(Connection& connection) {
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
    connection.stray = echo != nullptr && *echo != connection.echo_value;
    if (!connection.stray) {
      connection.head_delivered = true;
      m_outlet(CallHead{.id = connection.call, .head = head});
    }
  }
  std::string bytes = parser.TakeBody();
  if (!connection.stray && !bytes.empty())
    m_outlet(CallBytes{.id = connection.call, .bytes = std::move(bytes)});
}

void HttpClient::Finish(Connection& connection) {
  const CallId call = std::exchange(connection.call, 0);
  m_calls.erase(call);
  const HttpHead& head = connection.parser->head();
  const bool reusable = head.keep_alive && connection.tcp->input().empty() &&
                        !connection.tcp->peer_finished();
  if (reusable) {
    connection.announced_idle = kLongestIdle;
    if (const auto announced = AnnouncedIdle(head))
      connection.announced_idle =
          std::min(kLongestIdle, *announced - kKeepAliveMargin);
    Keep(connection);
  } else {
    Drop(connection.id);
  }
  m_outlet(CallEnded{.id = call});
}

void HttpClient::Keep(Connection& connection) {
  connection.parser.reset();
  connection.call_by = kNever;
  SetTimer(connection, kNever);
  connection.idle_since = ReadBootClock();
  std::vector<ConnectionId>& idle = m_idle[connection.pool];
  idle.push_back(connection.id);
  if (idle.size() <= m_options.max_idle_per_pool)
    return;
  const ConnectionId oldest = idle.front();
  idle.erase(idle.begin());
  Drop(oldest);
}

void HttpClient::OnEnded(ConnectionId id, ConnectionEnd end) {
  Connection* connection = Find(id);
  if (connection == nullptr)
    return;
  if (connection->call == 0)
    return Drop(id);
  if (end == ConnectionEnd::kConnectFailed)
    return Fail(*connection, CallFailure::kConnect);
  const bool may_complete =
      end == ConnectionEnd::kClosed && connection->parser && !connection->stray;
  if (may_complete) {
    connection->parser->EndOfStream();
    if (connection->parser->done() &&
        connection->parser->error() == ParseError::kNone) {
      Deliver(*connection);
      return Finish(*connection);
    }
  }
  Fail(*connection, CallFailure::kReset);
}

void HttpClient::Fail(Connection& connection, CallFailure failure) {
  const CallFailed event{
      .id = connection.call,
      .failure = failure,
      .sent = connection.tcp->established() || connection.tcp->sent_anything()};
  m_calls.erase(connection.call);
  connection.call = 0;
  Drop(connection.id);
  m_outlet(event);
}

void HttpClient::On(const CancelCall& message) {
  const auto found = m_calls.find(message.id);
  if (found == m_calls.end())
    return;
  const ConnectionId id = found->second;
  m_calls.erase(found);
  Drop(id);
}

void HttpClient::On(const DropPool& message) {
  const auto found = m_idle.find(message.pool);
  if (found == m_idle.end())
    return;
  const std::vector<ConnectionId> idle = std::move(found->second);
  m_idle.erase(found);
  for (const ConnectionId id : idle)
    Drop(id);
}

void HttpClient::Drop(ConnectionId id) {
  const auto found = m_connections.find(id);
  if (found == m_connections.end())
    return;
  Connection& connection = *found->second;
  SetTimer(connection, kNever);
  const auto pool = m_idle.find(connection.pool);
  if (pool != m_idle.end())
    std::erase(pool->second, id);
  // why: its own handler may be running, but the peer must see the close now
  m_loop.Defer(
      [dropped = std::shared_ptr<Connection>(std::move(found->second))] {});
  m_connections.erase(found);
}

}  // namespace boragepick
