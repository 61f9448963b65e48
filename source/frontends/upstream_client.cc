#include "frontends/upstream_client.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "common/error.h"
#include "common/http_status.h"
#include "frontends/soup_call.h"
#include "wire/generated/upstream.pb.h"
#include "wire/record_codec.h"

namespace boragepick {

namespace {

constexpr gsize kReadBufferBytes = 32 << 10;
constexpr unsigned kExtraConnections = 32;
// An inventory lists the engine's models and adapters.
constexpr std::size_t kMaxUpstreamReplyBytes = 8 << 20;
// A connection that was idle for longer may be dead without notice.
constexpr unsigned kIdleTimeoutSeconds = 5;
constexpr std::uint32_t kStatusOk = 200;
constexpr std::uint32_t kFirstClientError = 400;
constexpr std::uint32_t kFirstServerError = 500;

void SetHeader(SoupMessage* message,
               const char* name,
               const std::string& value) {
  soup_message_headers_replace(soup_message_get_request_headers(message), name,
                               value.c_str());
}

OrderResult ToOrderResult(const HttpReply& reply) {
  if (reply.not_sent)
    return OrderResult::kRefused;
  if (!reply.received)
    return OrderResult::kUnknown;
  if (reply.status == kStatusOk)
    return OrderResult::kDone;
  const bool refused =
      reply.status >= kFirstClientError && reply.status < kFirstServerError;
  return refused ? OrderResult::kRefused : OrderResult::kUnknown;
}

}  // namespace

UpstreamClient::UpstreamClient(GlibLoop& /*loop*/,
                               UpstreamOptions options,
                               UpstreamEventHandler on_event)
    : m_options(std::move(options)),
      m_on_event(std::move(on_event)),
      m_session(NewDirectSession(
          static_cast<int>(m_options.slots + kExtraConnections),
          kIdleTimeoutSeconds)) {}

UpstreamClient::~UpstreamClient() {
  for (auto& [number, run] : m_runs) {
    // The callback of a cancelled run may come after the client is destroyed.
    run->client = nullptr;
    g_cancellable_cancel(run->cancellable);
  }
  soup_session_abort(m_session);
  g_object_unref(m_session);
}

void UpstreamClient::Handle(UpstreamMessage message) {
  std::visit([this](const auto& alternative) { On(alternative); }, message);
}

// --- Runs ---

void UpstreamClient::On(const StartRun& message) {
  const RunRequest& request = message.request;
  const std::string method(kMethodNames.Name(request.method));
  const std::string url = m_options.url + request.path;
  SoupMessage* soup_message = soup_message_new(method.c_str(), url.c_str());
  if (soup_message == nullptr) {
    m_on_event(UpstreamEnded{.run = message.run,
                             .end = UpstreamEnd::kNotSent,
                             .detail = "invalid path"});
    return;
  }
  if (!request.body.empty()) {
    GBytes* bytes = g_bytes_new(request.body.data(), request.body.size());
    soup_message_set_request_body_from_bytes(
        soup_message, request.content_type.c_str(), bytes);
    g_bytes_unref(bytes);
  }
  if (m_options.is_engine) {
    SetHeader(soup_message, "X-Cache-Salt", request.cache_salt);
    SetHeader(soup_message, "X-Priority",
              std::string(kPriorityNames.Name(request.priority)));
    if (request.resume_after > 0)
      SetHeader(soup_message, "X-Resume-After",
                std::to_string(request.resume_after));
    // Allows connection reuse: a new connection for each request would cost
    // more than the request.
    soup_message_add_flags(soup_message, SOUP_MESSAGE_IDEMPOTENT);
  } else {
    soup_message_add_flags(soup_message, SOUP_MESSAGE_NEW_CONNECTION);
  }
  soup_message_add_flags(soup_message, SOUP_MESSAGE_NO_REDIRECT);
  auto* run = new Run{.client = this,
                      .number = message.run,
                      .message = soup_message,
                      .cancellable = g_cancellable_new(),
                      .response_limit = request.response_limit};
  m_runs[message.run] = run;
  soup_session_send_async(m_session, soup_message, G_PRIORITY_DEFAULT,
                          run->cancellable, OnHead, run);
}

void UpstreamClient::OnHead(GObject* session,
                            GAsyncResult* result,
                            gpointer data) {
  auto* run = static_cast<Run*>(data);
  GError* error = nullptr;
  run->stream = soup_session_send_finish(SOUP_SESSION(session), result, &error);
  if (run->stream == nullptr) {
    const bool not_sent = IsNotSentError(error);
    const std::string detail = error->message;
    g_error_free(error);
    if (run->client != nullptr)
      run->client->CompleteRun(
          run, not_sent ? UpstreamEnd::kNotSent : UpstreamEnd::kFailed, detail);
    return;
  }
  if (run->client == nullptr)
    return;
  const unsigned status = soup_message_get_status(run->message);
  if (!IsValidStatus(status)) {
    run->client->CompleteRun(run, UpstreamEnd::kFailed,
                             "invalid status " + std::to_string(status));
    return;
  }
  const char* type = soup_message_headers_get_one(
      soup_message_get_response_headers(run->message), "Content-Type");
  run->client->m_on_event(UpstreamHead{
      .run = run->number,
      .head = {.status = status, .content_type = type == nullptr ? "" : type}});
  run->client->ReadNextChunk(run);
}

void UpstreamClient::ReadNextChunk(Run* run) {
  g_input_stream_read_bytes_async(run->stream, kReadBufferBytes,
                                  G_PRIORITY_DEFAULT, run->cancellable, OnBytes,
                                  run);
}

void UpstreamClient::OnBytes(GObject* stream,
                             GAsyncResult* result,
                             gpointer data) {
  auto* run = static_cast<Run*>(data);
  GError* error = nullptr;
  GBytes* bytes =
      g_input_stream_read_bytes_finish(G_INPUT_STREAM(stream), result, &error);
  const std::string detail = error == nullptr ? "" : error->message;
  g_clear_error(&error);
  std::string text;
  if (bytes != nullptr) {
    gsize size = 0;
    const auto* begin =
        static_cast<const char*>(g_bytes_get_data(bytes, &size));
    if (size > 0)
      text.assign(begin, size);
    g_bytes_unref(bytes);
  }
  if (run->client == nullptr)
    return;
  if (bytes == nullptr) {
    run->client->CompleteRun(run, UpstreamEnd::kFailed, detail);
    return;
  }
  if (text.empty()) {
    run->client->CompleteRun(run, UpstreamEnd::kComplete, "");
    return;
  }
  run->received += text.size();
  run->client->m_on_event(
      UpstreamBytes{.run = run->number, .bytes = std::move(text)});
  run->client->ContinueReading(run);
}

void UpstreamClient::ContinueReading(Run* run) {
  run->is_paused =
      run->response_limit > 0 && run->received >= run->response_limit;
  if (!run->is_paused)
    ReadNextChunk(run);
}

void UpstreamClient::CompleteRun(Run* run,
                                 UpstreamEnd end,
                                 const std::string& detail) {
  m_runs.erase(run->number);
  m_on_event(UpstreamEnded{.run = run->number, .end = end, .detail = detail});
  g_clear_object(&run->stream);
  g_object_unref(run->message);
  g_object_unref(run->cancellable);
  delete run;
}

void UpstreamClient::On(const CancelUpstreamRun& message) {
  const auto found = m_runs.find(message.run);
  if (found == m_runs.end())
    return;
  Run* run = found->second;
  g_cancellable_cancel(run->cancellable);
  // The next read reports the cancellation.
  if (std::exchange(run->is_paused, false))
    ReadNextChunk(run);
}

void UpstreamClient::On(const ExtendUpstreamRun& message) {
  const auto found = m_runs.find(message.run);
  if (found == m_runs.end())
    return;
  Run* run = found->second;
  run->response_limit = std::max(run->response_limit, message.response_limit);
  if (run->is_paused)
    ContinueReading(run);
}

// --- Orders ---

void UpstreamClient::On(const SendOrder& message) {
  wire::upstream::Order order;
  order.set_name(message.name);
  order.set_weights(message.weights);
  order.set_base_model(message.base_model);
  order.set_memory_mb(message.memory_mb);
  order.set_fence(message.fence);
  const std::string path =
      "/orders/" + std::string(kOrderKindNames.Name(message.kind));
  CallHttp(
      m_session,
      {.url = m_options.url + path,
       .body = ToJson(order),
       .timeout_ms = m_options.load_timeout_ms,
       .max_reply_bytes = kMaxUpstreamReplyBytes},
      [this, fence = message.fence](const HttpReply& reply) {
        m_on_event(OrderAnswered{
            .fence = fence,
            .result = ToOrderResult(reply),
            .detail = reply.received ? "status " + std::to_string(reply.status)
                                     : reply.detail});
      });
}

void UpstreamClient::On(const RequestInventory& message) {
  CallHttp(m_session,
           {.method = "GET",
            .url = m_options.url + "/inventory",
            .timeout_ms = m_options.inventory_timeout_ms,
            .max_reply_bytes = kMaxUpstreamReplyBytes},
           [this, fence = message.fence](const HttpReply& reply) {
             InventoryReceived received{.fence_at_request = fence};
             try {
               if (reply.received && reply.status == kStatusOk) {
                 wire::upstream::Inventory inventory;
                 FromJson(reply.body, inventory, UnknownFields::kIgnore,
                          Step::kCallUpstream, m_options.url);
                 received.answered = true;
                 received.engine_run = inventory.run();
                 for (const auto& unit : inventory.units())
                   received.items.push_back({.name = unit.name(),
                                             .memory_mb = unit.memory_mb(),
                                             .loaded = unit.loaded()});
               }
             } catch (const Error&) {
               // An inventory that can't be decoded counts as not received.
               received.answered = false;
             }
             m_on_event(std::move(received));
           });
}

}  // namespace boragepick
