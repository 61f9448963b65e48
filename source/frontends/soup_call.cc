#include "frontends/soup_call.h"

#include <memory>
#include <utility>

#include "common/http_status.h"

namespace boragepick {

namespace {

constexpr gsize kReadBufferBytes = 64 << 10;

struct PendingCall {
  SoupMessage* message = nullptr;
  GCancellable* cancellable = nullptr;
  GSource* timeout = nullptr;
  GInputStream* stream = nullptr;
  std::size_t max_reply_bytes = 0;
  HttpReply reply;
  HttpReplyHandler handler;

  ~PendingCall() {
    // Ends the connection if the reply was not read to its end.
    g_cancellable_cancel(cancellable);
    g_clear_object(&stream);
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

void FailCall(PendingCall& call, GError* error) {
  call.reply.not_sent = IsNotSentError(error);
  call.reply.detail = error->message;
  g_error_free(error);
  call.handler(std::move(call.reply));
}

void OnReplyBytes(GObject* stream, GAsyncResult* result, gpointer data);

void ReadReply(std::unique_ptr<PendingCall> call) {
  GInputStream* stream = call->stream;
  GCancellable* cancellable = call->cancellable;
  g_input_stream_read_bytes_async(stream, kReadBufferBytes, G_PRIORITY_DEFAULT,
                                  cancellable, OnReplyBytes, call.release());
}

void OnReplyBytes(GObject* stream, GAsyncResult* result, gpointer data) {
  std::unique_ptr<PendingCall> call(static_cast<PendingCall*>(data));
  GError* error = nullptr;
  GBytes* bytes =
      g_input_stream_read_bytes_finish(G_INPUT_STREAM(stream), result, &error);
  if (bytes == nullptr)
    return FailCall(*call, error);
  gsize size = 0;
  const auto* part = static_cast<const char*>(g_bytes_get_data(bytes, &size));
  if (size > 0)
    call->reply.body.append(part, size);
  g_bytes_unref(bytes);
  if (call->reply.body.size() > call->max_reply_bytes) {
    call->reply.body.clear();
    call->reply.detail = "the reply is too large";
  } else if (size > 0) {
    return ReadReply(std::move(call));
  } else {
    call->reply.received = true;
  }
  call->handler(std::move(call->reply));
}

void OnReplyHead(GObject* session, GAsyncResult* result, gpointer data) {
  std::unique_ptr<PendingCall> call(static_cast<PendingCall*>(data));
  GError* error = nullptr;
  call->stream =
      soup_session_send_finish(SOUP_SESSION(session), result, &error);
  if (call->stream == nullptr)
    return FailCall(*call, error);
  call->reply.status = soup_message_get_status(call->message);
  if (!IsValidStatus(call->reply.status)) {
    call->reply.detail = "invalid status " + std::to_string(call->reply.status);
    return call->handler(std::move(call->reply));
  }
  ReadReply(std::move(call));
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
                      .max_reply_bytes = request.max_reply_bytes,
                      .handler = std::move(handler)};
  g_source_set_callback(call->timeout, OnTimeout, call, nullptr);
  g_source_attach(call->timeout, g_main_context_get_thread_default());
  soup_session_send_async(session, message, G_PRIORITY_DEFAULT,
                          call->cancellable, OnReplyHead, call);
}

}  // namespace boragepick
