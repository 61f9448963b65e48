#include "tools/cli/client.h"

#include <array>
#include <string_view>

#include "common/error.h"

namespace boragepick {

Client::Client(unsigned timeout_seconds)
    : m_session(soup_session_new_with_options("proxy-resolver",
                                              nullptr,
                                              "timeout",
                                              timeout_seconds,
                                              nullptr)) {}

Client::~Client() {
  g_object_unref(m_session);
}

ClientResponse Client::Send(const ClientRequest& request) {
  ClientResponse response;
  response.status =
      Stream(request, [&](std::string_view bytes) { response.body += bytes; });
  return response;
}

unsigned Client::Stream(const ClientRequest& request,
                        const std::function<void(std::string_view)>& on_bytes) {
  SoupMessage* message =
      soup_message_new(request.method.c_str(), request.url.c_str());
  if (message == nullptr)
    throw Error(Step::kCallRouter, request.url, "expected an http:// URL");
  for (const ClientHeader& header : request.headers) {
    soup_message_headers_replace(soup_message_get_request_headers(message),
                                 header.name.c_str(), header.value.c_str());
  }
  if (!request.body.empty()) {
    GBytes* bytes = g_bytes_new(request.body.data(), request.body.size());
    soup_message_set_request_body_from_bytes(message, "application/json",
                                             bytes);
    g_bytes_unref(bytes);
  }
  if (request.idempotent)
    soup_message_add_flags(message, SOUP_MESSAGE_IDEMPOTENT);
  GError* error = nullptr;
  GInputStream* stream = soup_session_send(m_session, message, nullptr, &error);
  std::array<char, 16384> buffer;
  gssize received = stream == nullptr ? -1 : 1;
  while (received > 0) {
    received = g_input_stream_read(stream, buffer.data(), buffer.size(),
                                   nullptr, &error);
    if (received > 0)
      on_bytes(
          std::string_view(buffer.data(), static_cast<std::size_t>(received)));
  }
  const unsigned status = soup_message_get_status(message);
  g_clear_object(&stream);
  g_object_unref(message);
  if (received == 0)
    return status;
  const std::string reason = error == nullptr ? "no response" : error->message;
  g_clear_error(&error);
  throw Error(Step::kCallRouter, request.url, reason);
}

}  // namespace boragepick
