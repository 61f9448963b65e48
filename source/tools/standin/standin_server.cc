#include "tools/standin/standin_server.h"

#include <cstdlib>

#include "common/error.h"

namespace boragepick::standin {

std::int64_t Faults::Get(const std::string& name) const {
  const auto found = m_values.find(name);
  return found == m_values.end() ? 0 : found->second;
}

bool Faults::Consume(const std::string& name) {
  std::int64_t& remaining = m_values[name];
  if (remaining <= 0)
    return false;
  --remaining;
  return true;
}

std::string Request::Header(const char* name) const {
  const char* value = soup_message_headers_get_one(
      soup_server_message_get_request_headers(message), name);
  return value == nullptr ? "" : value;
}

std::int64_t Request::QueryNumber(const std::string& name,
                                  std::int64_t default_value) const {
  const auto found = query.find(name);
  return found == query.end() ? default_value
                              : std::atoll(found->second.c_str());
}

void Respond(SoupServerMessage* message,
             unsigned status,
             const std::string& body) {
  soup_server_message_set_status(message, status, nullptr);
  soup_server_message_set_response(message, "application/json",
                                   SOUP_MEMORY_COPY, body.data(), body.size());
}

void CloseConnection(SoupServerMessage* message) {
  GSocket* socket = soup_server_message_get_socket(message);
  if (socket != nullptr)
    g_socket_shutdown(socket, TRUE, TRUE, nullptr);
}

// --- Deferred responses ---

DeferredResponse::DeferredResponse(SoupServerMessage* message)
    : m_message(SOUP_SERVER_MESSAGE(g_object_ref(message))) {
  m_handler =
      g_signal_connect(message, "finished", G_CALLBACK(OnFinished), this);
  soup_server_message_pause(message);
}

DeferredResponse::~DeferredResponse() {
  g_signal_handler_disconnect(m_message, m_handler);
  g_object_unref(m_message);
}

void DeferredResponse::OnFinished(SoupServerMessage* /*message*/,
                                  gpointer self) {
  static_cast<DeferredResponse*>(self)->m_finished = true;
}

void DeferredResponse::Respond(unsigned status, const std::string& body) {
  if (m_finished)
    return;
  standin::Respond(m_message, status, body);
  soup_server_message_unpause(m_message);
}

void DeferredResponse::StartStream(const char* content_type) {
  SoupMessageHeaders* headers =
      soup_server_message_get_response_headers(m_message);
  soup_server_message_set_status(m_message, SOUP_STATUS_OK, nullptr);
  soup_message_headers_set_content_type(headers, content_type, nullptr);
  soup_message_headers_set_encoding(headers, SOUP_ENCODING_CHUNKED);
  soup_message_body_set_accumulate(
      soup_server_message_get_response_body(m_message), FALSE);
}

void DeferredResponse::Write(const std::string& bytes) {
  if (m_finished || bytes.empty())
    return;
  soup_message_body_append(soup_server_message_get_response_body(m_message),
                           SOUP_MEMORY_COPY, bytes.data(), bytes.size());
  soup_server_message_unpause(m_message);
}

void DeferredResponse::End() {
  if (m_finished)
    return;
  soup_message_body_complete(soup_server_message_get_response_body(m_message));
  soup_server_message_unpause(m_message);
}

void DeferredResponse::CloseConnection() {
  if (m_finished)
    return;
  standin::CloseConnection(m_message);
  // A paused message detects the closed connection only after it is unpaused.
  soup_server_message_unpause(m_message);
}

// --- Server ---

Server::Server(GlibLoop& /*loop*/, const Endpoint& endpoint, Handler handler)
    : m_handler(std::move(handler)),
      m_server(soup_server_new(nullptr, nullptr)) {
  soup_server_add_handler(m_server, nullptr, OnRequest, this, nullptr);
  GSocketAddress* address =
      g_inet_socket_address_new_from_string(endpoint.ip.c_str(), endpoint.port);
  GError* error = nullptr;
  soup_server_listen(m_server, address, static_cast<SoupServerListenOptions>(0),
                     &error);
  g_object_unref(address);
  if (error == nullptr)
    return;
  const std::string reason = error->message;
  g_error_free(error);
  throw Error(Step::kListen, std::to_string(endpoint.port), reason);
}

Server::~Server() {
  soup_server_disconnect(m_server);
  g_object_unref(m_server);
}

void Server::OnRequest(SoupServer* /*server*/,
                       SoupServerMessage* message,
                       const char* path,
                       GHashTable* query,
                       gpointer self) {
  auto* server = static_cast<Server*>(self);
  Request request{.message = message,
                  .method = soup_server_message_get_method(message),
                  .path = path};
  if (query != nullptr) {
    GHashTableIter iterator;
    gpointer key = nullptr;
    gpointer value = nullptr;
    g_hash_table_iter_init(&iterator, query);
    while (g_hash_table_iter_next(&iterator, &key, &value))
      request.query[static_cast<char*>(key)] = static_cast<char*>(value);
  }
  GBytes* bytes =
      soup_message_body_flatten(soup_server_message_get_request_body(message));
  gsize size = 0;
  const auto* data = static_cast<const char*>(g_bytes_get_data(bytes, &size));
  if (size > 0)
    request.body.assign(data, size);
  g_bytes_unref(bytes);
  if (request.path == "/faults") {
    for (const auto& [name, value] : request.query)
      server->m_faults.Set(name, std::atoll(value.c_str()));
    Respond(message, SOUP_STATUS_OK, "{}\n");
    return;
  }
  server->m_handler(request);
}

}  // namespace boragepick::standin
