#include "frontends/soup_call.h"

#include <memory>
#include <utility>

namespace boragepick {

namespace {

struct PendingCall {
  SoupMessage* message = nullptr;
  GCancellable* cancellable = nullptr;
  GSource* timeout = nullptr;
  HttpReplyHandler handler;

  ~PendingCall() {
    g_source_destroy(timeout);
    g_source_unref(timeout);
    g_object_unref(cancellable);
    g_object_unref(message);
  }
};

gboolean OnTimeout(gpointer data) {
  g_cancellable_cancel(static_cast<PendingCall*>(data)->cancellable);
  return G_SOURCE_REMOVE;
}

void OnReply(GObject* session, GAsyncResult* result, gpointer data) {
  const std::unique_ptr<PendingCall> call(static_cast<PendingCall*>(data));
  GError* error = nullptr;
  GBytes* bytes =
      soup_session_send_and_read_finish(SOUP_SESSION(session), result, &error);
  HttpReply reply;
  if (bytes != nullptr) {
    gsize size = 0;
    const auto* body = static_cast<const char*>(g_bytes_get_data(bytes, &size));
    reply.received = true;
    reply.status = soup_message_get_status(call->message);
    if (size > 0)
      reply.body.assign(body, size);
    g_bytes_unref(bytes);
  } else {
    reply.not_sent = IsNotSentError(error);
    reply.detail = error->message;
    g_error_free(error);
  }
  call->handler(std::move(reply));
}

}  // namespace

SoupSession* NewDirectSession(int max_connections,
                              unsigned idle_timeout_seconds) {
  return soup_session_new_with_options("proxy-resolver", nullptr, "max-conns",
                                       max_connections, "max-conns-per-host",
                                       max_connections, "idle-timeout",
                                       idle_timeout_seconds, nullptr);
}

bool IsNotSentError(const GError* error) {
  return g_error_matches(error, G_IO_ERROR, G_IO_ERROR_CONNECTION_REFUSED) ||
         g_error_matches(error, G_IO_ERROR, G_IO_ERROR_HOST_UNREACHABLE) ||
         g_error_matches(error, G_IO_ERROR, G_IO_ERROR_NETWORK_UNREACHABLE);
}

void CallHttp(SoupSession* session,
              const HttpRequest& request,
              HttpReplyHandler handler) {
  SoupMessage* message =
      soup_message_new(request.method.c_str(), request.url.c_str());
  if (message == nullptr) {
    handler({.not_sent = true, .detail = "invalid URL: " + request.url});
    return;
  }
  if (request.idempotent)
    soup_message_add_flags(message, SOUP_MESSAGE_IDEMPOTENT);
  if (!request.body.empty()) {
    GBytes* bytes = g_bytes_new(request.body.data(), request.body.size());
    soup_message_set_request_body_from_bytes(
        message, request.content_type.c_str(), bytes);
    g_bytes_unref(bytes);
  }
  auto* call =
      new PendingCall{.message = message,
                      .cancellable = g_cancellable_new(),
                      .timeout = g_timeout_source_new(request.timeout_ms),
                      .handler = std::move(handler)};
  g_source_set_callback(call->timeout, OnTimeout, call, nullptr);
  g_source_attach(call->timeout, g_main_context_get_thread_default());
  soup_session_send_and_read_async(session, message, G_PRIORITY_DEFAULT,
                                   call->cancellable, OnReply, call);
}

}  // namespace boragepick
