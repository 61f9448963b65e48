#include "frontends/http_frontend.h"

#include <sys/socket.h>

#include <algorithm>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include "common/error.h"
#include "common/hashing.h"
#include "frontends/boot_clock.h"
#include "frontends/operator_codec.h"

namespace boragepick {

namespace {

constexpr const char* kJson = "application/json";
constexpr const char* kText = "text/plain";
// The router learns of what callers have read in steps of this size.
constexpr std::uint64_t kReportBytes = 4 << 10;
constexpr unsigned kInputCheckMs = 1'000;

struct ObjectDeleter {
  void operator()(gpointer object) const { g_object_unref(object); }
};
template <typename Object>
using ObjectPointer = std::unique_ptr<Object, ObjectDeleter>;

// Takes over `error`.
[[noreturn]] void ThrowListenError(const Endpoint& endpoint, GError* error) {
  const std::string reason = error->message;
  g_error_free(error);
  throw Error(Step::kListen, endpoint.ip + ":" + std::to_string(endpoint.port),
              reason);
}

// A listener with a backlog for bursts; that of soup_server_listen() has room
// for ten connections.
ObjectPointer<GSocket> Listen(const Endpoint& endpoint) {
  const ObjectPointer<GSocketAddress> address(
      g_inet_socket_address_new_from_string(endpoint.ip.c_str(),
                                            endpoint.port));
  if (address == nullptr)
    throw Error(Step::kListen,
                endpoint.ip + ":" + std::to_string(endpoint.port),
                "expected an IP number");
  GError* error = nullptr;
  ObjectPointer<GSocket> listener(
      g_socket_new(g_socket_address_get_family(address.get()),
                   G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, &error));
  if (listener == nullptr)
    ThrowListenError(endpoint, error);
  g_socket_set_listen_backlog(listener.get(), SOMAXCONN);
  if (!g_socket_bind(listener.get(), address.get(), TRUE, &error) ||
      !g_socket_listen(listener.get(), &error))
    ThrowListenError(endpoint, error);
  return listener;
}

std::string GetHeader(SoupServerMessage* message, const char* name) {
  SoupMessageHeaders* headers =
      soup_server_message_get_request_headers(message);
  const char* value = soup_message_headers_get_one(headers, name);
  return value == nullptr ? "" : value;
}

void Respond(SoupServerMessage* message,
             std::uint32_t status,
             const std::string& content_type,
             const std::string& body) {
  soup_server_message_set_status(message, status, nullptr);
  soup_server_message_set_response(message, content_type.c_str(),
                                   SOUP_MEMORY_COPY, body.data(), body.size());
}

void RespondRefusal(SoupServerMessage* message, const Refusal& refusal) {
  using std::chrono::ceil;
  using std::chrono::seconds;
  if (refusal.retry_after > Duration::zero()) {
    const auto wait = ceil<seconds>(refusal.retry_after);
    soup_message_headers_replace(
        soup_server_message_get_response_headers(message), "Retry-After",
        std::to_string(wait.count()).c_str());
  }
  Respond(message, RefusalInfo(refusal.code).http_status, kJson,
          EncodeRefusal(refusal));
}

// libsoup reads the rest of a request that already has its response, and keeps
// it by default.
void DiscardRequestBody(SoupServerMessage* message) {
  soup_message_body_set_accumulate(
      soup_server_message_get_request_body(message), FALSE);
}

CallerHttpRequest ReadRequest(SoupServerMessage* message) {
  GUri* uri = soup_server_message_get_uri(message);
  CallerHttpRequest http_request{
      .method = soup_server_message_get_method(message),
      .target = g_uri_get_path(uri),
      .headers = {.authorization = GetHeader(message, "Authorization"),
                  .idempotency_key = GetHeader(message, "Idempotency-Key"),
                  .deadline_ms = GetHeader(message, "Boragepick-Deadline-Ms"),
                  .priority = GetHeader(message, "Boragepick-Priority"),
                  .content_type = GetHeader(message, "Content-Type")}};
  if (const char* query = g_uri_get_query(uri); query != nullptr)
    http_request.target += std::string("?") + query;
  SoupMessageBody* body = soup_server_message_get_request_body(message);
  GBytes* bytes = soup_message_body_flatten(body);
  gsize size = 0;
  const auto* data = static_cast<const char*>(g_bytes_get_data(bytes, &size));
  if (size > 0)
    http_request.body.assign(data, size);
  g_bytes_unref(bytes);
  soup_message_body_truncate(body);
  return http_request;
}

}  // namespace

HttpFrontend::HttpFrontend(GlibLoop& loop,
                           HttpFrontendOptions options,
                           HttpFrontendCallbacks callbacks)
    : m_loop(loop),
      m_options(std::move(options)),
      m_callbacks(std::move(callbacks)),
      m_server(soup_server_new("server-header", "boragepick", nullptr)) {
  soup_server_add_early_handler(m_server, nullptr, OnHeaders, this, nullptr);
  soup_server_add_handler(m_server, nullptr, OnRequest, this, nullptr);
  const ObjectPointer<GSocket> listener = Listen(m_options.endpoint);
  GError* error = nullptr;
  if (!soup_server_listen_socket(m_server, listener.get(),
                                 static_cast<SoupServerListenOptions>(0),
                                 &error))
    ThrowListenError(m_options.endpoint, error);
  CheckInputsLater();
}

HttpFrontend::~HttpFrontend() {
  soup_server_disconnect(m_server);
  g_object_unref(m_server);
}

void HttpFrontend::Handle(FrontendMessage message) {
  std::visit([this](const auto& alternative) { On(alternative); }, message);
}

// --- Requests ---

void HttpFrontend::OnHeaders(SoupServer* /*server*/,
                             SoupServerMessage* message,
                             const char* /*path*/,
                             GHashTable* /*query*/,
                             gpointer self) {
  auto* frontend = static_cast<HttpFrontend*>(self);
  SoupMessageHeaders* headers =
      soup_server_message_get_request_headers(message);
  const auto length = static_cast<std::size_t>(
      soup_message_headers_get_content_length(headers));
  if (length > frontend->m_options.max_body_bytes) {
    DiscardRequestBody(message);
    Respond(message, SOUP_STATUS_REQUEST_ENTITY_TOO_LARGE, kJson,
            EncodeRefusal({.message = "the body is too large"}));
    return;
  }
  if (frontend->m_request_bytes + length >
      frontend->m_options.max_request_bytes) {
    DiscardRequestBody(message);
    RespondRefusal(message, {.code = RefusalCode::kNoCapacity,
                             .message = "the memory for requests is used up",
                             .retry_after = std::chrono::seconds(1)});
    return;
  }
  frontend->m_inputs[message] = {.reserved = length,
                                 .last_received = ReadBootClock()};
  frontend->m_request_bytes += length;
  g_signal_connect(message, "got-chunk", G_CALLBACK(OnGotChunk), self);
  g_signal_connect(message, "finished", G_CALLBACK(OnRequestFinished), self);
}

void HttpFrontend::OnGotChunk(SoupServerMessage* message,
                              GBytes* chunk,
                              gpointer self) {
  auto* frontend = static_cast<HttpFrontend*>(self);
  Input& input = frontend->m_inputs.at(message);
  // The rest of a request whose connection was closed.
  if (input.is_closed)
    return;
  input.last_received = ReadBootClock();
  input.received += g_bytes_get_size(chunk);
  if (input.received <= input.reserved)
    return;
  // A body without Content-Length passes OnHeaders(), so the connection is
  // closed as soon as a limit is exceeded.
  frontend->m_request_bytes += input.received - input.reserved;
  input.reserved = input.received;
  if (input.received <= frontend->m_options.max_body_bytes &&
      frontend->m_request_bytes <= frontend->m_options.max_request_bytes)
    return;
  frontend->CloseInput(message, input);
}

void HttpFrontend::CloseInput(SoupServerMessage* message, Input& input) {
  m_request_bytes -= std::exchange(input.reserved, 0);
  input.is_closed = true;
  CloseConnection(message);
}

void HttpFrontend::CloseConnection(SoupServerMessage* message) {
  GSocket* socket = soup_server_message_get_socket(message);
  if (socket != nullptr)
    g_socket_shutdown(socket, TRUE, TRUE, nullptr);
}

void HttpFrontend::OnRequestFinished(SoupServerMessage* message,
                                     gpointer self) {
  auto* frontend = static_cast<HttpFrontend*>(self);
  const auto found = frontend->m_inputs.find(message);
  if (found == frontend->m_inputs.end())
    return;
  frontend->m_request_bytes -= found->second.reserved;
  frontend->m_inputs.erase(found);
}

void HttpFrontend::CheckInputsLater() {
  m_loop.RunAfter(kInputCheckMs, [this] {
    CloseStalledInputs(ReadBootClock());
    CheckInputsLater();
  });
}

void HttpFrontend::CloseStalledInputs(TimePoint now) {
  for (auto& [message, input] : m_inputs) {
    if (input.is_complete || input.is_closed ||
        now - input.last_received < m_options.body_timeout)
      continue;
    CloseInput(message, input);
  }
}

void HttpFrontend::OnRequest(SoupServer* /*server*/,
                             SoupServerMessage* message,
                             const char* path,
                             GHashTable* /*query*/,
                             gpointer self) {
  auto* frontend = static_cast<HttpFrontend*>(self);
  const auto input = frontend->m_inputs.find(message);
  if (input != frontend->m_inputs.end())
    input->second.is_complete = true;
  frontend->Serve(message, path);
}

void HttpFrontend::Serve(SoupServerMessage* message, const std::string& path) {
  if (path == "/healthz") {
    Respond(message, SOUP_STATUS_OK, kText, "ok\n");
    return;
  }
  if (path == "/readyz") {
    Respond(message, m_ready ? SOUP_STATUS_OK : SOUP_STATUS_SERVICE_UNAVAILABLE,
            kText, m_ready ? "ready\n" : "not ready\n");
    return;
  }
  if (path == "/metrics") {
    ForwardOperatorRequest(message, GetMetrics{});
    return;
  }
  CallerHttpRequest http_request = ReadRequest(message);
  if (path.starts_with(kOperatorPrefix)) {
    ServeOperator(message, http_request);
    return;
  }
  if (!m_callbacks.on_caller_request) {
    RespondRefusal(message, {.code = RefusalCode::kRouteUnknown,
                             .message = "callers are served by routers"});
    return;
  }
  ServeCaller(message, std::move(http_request));
}

void HttpFrontend::ServeCaller(SoupServerMessage* message,
                               CallerHttpRequest http_request) {
  try {
    CallerRequest request =
        DecodeCallerRequest(http_request, m_last_id + 1, m_options.defaults);
    OpenExchange(message, true);
    m_callbacks.on_caller_request(std::move(request));
  } catch (const Error& error) {
    RespondRefusal(
        message, {.code = RefusalCode::kBadRequest, .message = error.reason()});
  }
}

void HttpFrontend::ServeOperator(SoupServerMessage* message,
                                 const CallerHttpRequest& http_request) {
  constexpr std::string_view kBearerPrefix = "Bearer ";
  const std::string& authorization = http_request.headers.authorization;
  const bool authorized =
      !m_options.operator_token_sha256.empty() &&
      authorization.starts_with(kBearerPrefix) &&
      Sha256Hex(authorization.substr(kBearerPrefix.size())) ==
          m_options.operator_token_sha256;
  if (!authorized) {
    RespondRefusal(message, {.code = RefusalCode::kKeyUnknown,
                             .message = "expected the operators' token"});
    return;
  }
  try {
    ForwardOperatorRequest(message,
                           DecodeOperatorRequest({.method = http_request.method,
                                                  .target = http_request.target,
                                                  .body = http_request.body}));
  } catch (const Error& error) {
    const OperatorHttpResponse response = EncodeOperatorReply(OperatorError{
        .code = OperatorErrorCode::kInvalid, .message = error.reason()});
    Respond(message, response.status, response.content_type, response.body);
  }
}

void HttpFrontend::ForwardOperatorRequest(SoupServerMessage* message,
                                          OperatorAction action) {
  const std::uint64_t id = OpenExchange(message, false);
  m_callbacks.on_operator_request(
      {.id = id,
       .writer_token = m_options.writer_token_prefix + std::to_string(id),
       .action = std::move(action)});
}

std::uint64_t HttpFrontend::OpenExchange(SoupServerMessage* message,
                                         bool from_caller) {
  const std::uint64_t id = ++m_last_id;
  m_exchanges[id] = {.message = SOUP_SERVER_MESSAGE(g_object_ref(message)),
                     .from_caller = from_caller};
  m_exchange_ids[message] = id;
  ++m_unsent_responses;
  g_signal_connect(message, "finished", G_CALLBACK(OnFinished), this);
  if (from_caller) {
    m_outputs[message] = {.id = id, .last_written = ReadBootClock()};
    g_signal_connect(message, "wrote-body-data", G_CALLBACK(OnWrote), this);
  }
  soup_server_message_pause(message);
  return id;
}

void HttpFrontend::OnFinished(SoupServerMessage* message, gpointer self) {
  auto* frontend = static_cast<HttpFrontend*>(self);
  --frontend->m_unsent_responses;
  const auto output = frontend->m_outputs.find(message);
  if (output != frontend->m_outputs.end()) {
    if (!output->second.is_closed)
      frontend->m_unsent_bytes -= output->second.unsent();
    frontend->m_outputs.erase(output);
  }
  if (frontend->m_finishing && frontend->m_unsent_responses == 0)
    frontend->m_callbacks.on_responses_sent();
  const auto found = frontend->m_exchange_ids.find(message);
  if (found == frontend->m_exchange_ids.end())
    return;
  const std::uint64_t id = found->second;
  const bool from_caller = frontend->m_exchanges.at(id).from_caller;
  frontend->CloseExchange(id);
  if (from_caller)
    frontend->m_callbacks.on_caller_disconnected(id);
}

void HttpFrontend::OnWrote(SoupServerMessage* message,
                           unsigned bytes,
                           gpointer self) {
  auto* frontend = static_cast<HttpFrontend*>(self);
  const auto found = frontend->m_outputs.find(message);
  if (found == frontend->m_outputs.end() || found->second.is_closed)
    return;
  Output& output = found->second;
  const std::uint64_t written = std::min<std::uint64_t>(bytes, output.unsent());
  output.written += written;
  output.last_written = ReadBootClock();
  frontend->m_unsent_bytes -= written;
  if (output.written - output.reported < kReportBytes)
    return;
  output.reported = output.written;
  frontend->m_callbacks.on_response_written(
      {.id = output.id,
       .written = output.written,
       .total_unsent = frontend->m_unsent_bytes});
}

void HttpFrontend::CloseStalledConnections() {
  while (m_unsent_bytes > m_options.max_unsent_bytes) {
    const auto stalled =
        std::ranges::max_element(m_outputs, {}, [](const auto& entry) {
          const Output& output = entry.second;
          const bool waits = !output.is_closed && output.unsent() > 0;
          return waits ? kNever - output.last_written : Duration::zero();
        });
    Output& output = stalled->second;
    if (output.is_closed || output.unsent() == 0)
      return;
    output.is_closed = true;
    m_unsent_bytes -= output.unsent();
    CloseConnection(stalled->first);
  }
}

HttpFrontend::Exchange* HttpFrontend::FindExchange(std::uint64_t id) {
  const auto found = m_exchanges.find(id);
  return found == m_exchanges.end() ? nullptr : &found->second;
}

void HttpFrontend::CloseExchange(std::uint64_t id) {
  Exchange* exchange = FindExchange(id);
  if (exchange == nullptr)
    return;
  m_exchange_ids.erase(exchange->message);
  g_object_unref(exchange->message);
  m_exchanges.erase(id);
}

void HttpFrontend::On(const FinishResponses& /*message*/) {
  m_finishing = true;
  if (m_unsent_responses == 0)
    m_callbacks.on_responses_sent();
}

// --- Responses ---

void HttpFrontend::On(const CallerResponseHead& message) {
  Exchange* exchange = FindExchange(message.id);
  if (exchange == nullptr)
    return;
  exchange->stream = message.stream;
  soup_server_message_set_status(exchange->message, message.head.status,
                                 nullptr);
  SoupMessageHeaders* headers =
      soup_server_message_get_response_headers(exchange->message);
  if (!message.head.content_type.empty())
    soup_message_headers_set_content_type(
        headers, message.head.content_type.c_str(), nullptr);
  if (!message.stream)
    return;
  soup_message_headers_set_encoding(headers, SOUP_ENCODING_CHUNKED);
  soup_message_body_set_accumulate(
      soup_server_message_get_response_body(exchange->message), FALSE);
}

void HttpFrontend::On(const CallerResponseBytes& message) {
  Exchange* exchange = FindExchange(message.id);
  if (exchange == nullptr || message.bytes.empty())
    return;
  soup_message_body_append(
      soup_server_message_get_response_body(exchange->message),
      SOUP_MEMORY_COPY, message.bytes.data(), message.bytes.size());
  const auto output = m_outputs.find(exchange->message);
  if (output != m_outputs.end() && !output->second.is_closed) {
    output->second.queued += message.bytes.size();
    m_unsent_bytes += message.bytes.size();
  }
  if (exchange->stream)
    soup_server_message_unpause(exchange->message);
  CloseStalledConnections();
}

void HttpFrontend::On(const CallerResponseEnd& message) {
  Exchange* exchange = FindExchange(message.id);
  if (exchange == nullptr)
    return;
  SoupServerMessage* http_message = exchange->message;
  soup_message_body_complete(
      soup_server_message_get_response_body(http_message));
  soup_server_message_unpause(http_message);
  CloseExchange(message.id);
}

void HttpFrontend::On(const CallerRefused& message) {
  Exchange* exchange = FindExchange(message.id);
  if (exchange == nullptr)
    return;
  if (message.midway) {
    On(CallerResponseBytes{.id = message.id,
                           .bytes = EncodeRefusalEvent(message.refusal)});
    On(CallerResponseEnd{.id = message.id});
    return;
  }
  RespondRefusal(exchange->message, message.refusal);
  soup_server_message_unpause(exchange->message);
  CloseExchange(message.id);
}

void HttpFrontend::On(const OperatorReplied& message) {
  Exchange* exchange = FindExchange(message.id);
  if (exchange == nullptr)
    return;
  const OperatorHttpResponse response = EncodeOperatorReply(message.reply);
  Respond(exchange->message, response.status, response.content_type,
          response.body);
  soup_server_message_unpause(exchange->message);
  CloseExchange(message.id);
}

}  // namespace boragepick
