#include "frontends/platform_client.h"

#include <memory>
#include <string_view>
#include <utility>

#include "common/error.h"
#include "frontends/etcd_codec.h"
#include "wire/record_codec.h"

namespace boragepick {

namespace {

constexpr unsigned kWatchRetryDelayMs = 300;
constexpr int kMaxConnections = 32;
constexpr unsigned kIdleTimeoutSeconds = 5;
constexpr std::uint32_t kStatusOk = 200;
constexpr std::uint32_t kStatusNotModified = 304;

// Data of a callback of the watch; owned by the callback.
struct WatchCallData {
  PlatformClient* client;
  std::uint64_t generation;
  GCancellable* cancellable;
};

}  // namespace

PlatformClient::PlatformClient(GlibLoop& loop,
                               PlatformOptions options,
                               PlatformCallbacks callbacks)
    : m_loop(loop),
      m_options(std::move(options)),
      m_callbacks(std::move(callbacks)),
      m_session(NewDirectSession(kMaxConnections, kIdleTimeoutSeconds)),
      m_watch_session(NewDirectSession(kMaxConnections, kIdleTimeoutSeconds)) {}

PlatformClient::~PlatformClient() {
  CloseWatch();
  soup_session_abort(m_session);
  soup_session_abort(m_watch_session);
  g_object_unref(m_session);
  g_object_unref(m_watch_session);
}

void PlatformClient::Handle(PlatformMessage message) {
  std::visit([this](const auto& alternative) { On(alternative); }, message);
}

void PlatformClient::SendCall(const char* path,
                              std::string body,
                              HttpReplyHandler handler) {
  CallHttp(m_session,
           {.url = m_options.key_value_url + path,
            .body = std::move(body),
            .timeout_ms = m_options.timeout_ms,
            .idempotent = path == std::string_view(kRangePath)},
           std::move(handler));
}

void PlatformClient::ReportFailure(const std::string& detail) {
  // Logs once per outage, not once per failed call.
  if (std::exchange(m_reachable, false))
    m_callbacks.log(
        {.event = LogEvent::kPlatformUnreachable,
         .fields = {{"peer", m_options.key_value_url}, {"detail", detail}}});
}

template <typename Decode>
bool PlatformClient::TryDecode(const HttpReply& reply, Decode decode) {
  if (!reply.received || reply.status != kStatusOk) {
    ReportFailure(reply.received ? "status " + std::to_string(reply.status)
                                 : reply.detail);
    return false;
  }
  try {
    decode(reply.body);
    m_reachable = true;
    return true;
  } catch (const Error& error) {
    ReportFailure(error.what());
    return false;
  }
}

// --- Calls ---

void PlatformClient::SendTxn(std::uint64_t call, std::string body) {
  SendCall(kTxnPath, std::move(body), [this, call](const HttpReply& reply) {
    RecordWritten written{.call = call, .outcome = WriteOutcome::kUnknown};
    TryDecode(reply, [&](const std::string& json) {
      written = DecodeTxn(json, call);
    });
    m_callbacks.event(written);
  });
}

void PlatformClient::On(const WriteRecord& message) {
  SendTxn(message.call,
          EncodeCompareAndPut(EncodeStoredRecord(message), message.base));
}

void PlatformClient::On(const DeleteRecord& message) {
  SendTxn(message.call,
          EncodeCompareAndDelete(ResourceKey(message.kind, message.name),
                                 message.base));
}

void PlatformClient::On(const ReadIdempotencyPage& message) {
  const std::uint32_t page = message.page;
  SendCall(kRangePath, EncodeKeyRange(IdempotencyKey(page)),
           [this, page](const HttpReply& reply) {
             IdempotencyPageRead read{.page = page};
             read.answered = TryDecode(reply, [&](const std::string& json) {
               const std::optional<RangeValue> value = DecodeRange(json);
               if (value)
                 read.record =
                     DecodeIdempotencyPage(value->value, value->revision);
             });
             m_callbacks.event(std::move(read));
           });
}

void PlatformClient::On(const ReadResource& message) {
  const std::uint64_t call = message.call;
  SendCall(kRangePath, EncodeKeyRange(ResourceKey(message.kind, message.name)),
           [this, call](const HttpReply& reply) {
             ResourceRead read{.call = call};
             read.answered = TryDecode(reply, [&](const std::string& json) {
               const std::optional<RangeValue> value = DecodeRange(json);
               if (value)
                 read.resource = DecodeResource(value->value, value->revision);
             });
             m_callbacks.event(std::move(read));
           });
}

void PlatformClient::On(const ProbeFeed& /*message*/) {
  SendCall(kRangePath, EncodeFeedProbe(), [this](const HttpReply& reply) {
    TryDecode(reply, [&](const std::string& json) {
      m_callbacks.event(DecodeProbe(json));
    });
  });
}

void PlatformClient::On(const PollVmList& message) {
  const std::string url = m_options.vm_list_url + "?known_version=" +
                          std::to_string(message.known_version);
  CallHttp(m_session,
           {.method = "GET", .url = url, .timeout_ms = m_options.timeout_ms},
           [this](const HttpReply& reply) {
             if (reply.received && reply.status == kStatusNotModified)
               return;
             TryDecode(reply, [&](const std::string& json) {
               wire::RosterList list;
               FromJson(json, list, UnknownFields::kIgnore,
                        Step::kDecodePlatformReply, "list of VMs");
               m_callbacks.event(VmListReceived{.list = FromWire(list)});
             });
           });
}

// --- The watch ---

void PlatformClient::On(const StartWatch& /*message*/) {
  CloseWatch();
  ReadSnapshot(m_generation);
}

void PlatformClient::On(const StopWatch& /*message*/) {
  CloseWatch();
}

void PlatformClient::CloseWatch() {
  ++m_generation;
  if (m_watch_cancellable != nullptr) {
    g_cancellable_cancel(m_watch_cancellable);
    g_clear_object(&m_watch_cancellable);
  }
  g_clear_object(&m_watch_stream);
}

void PlatformClient::ReadSnapshot(std::uint64_t generation) {
  SendCall(
      kRangePath, EncodeFeedRange(),
      [this, generation](const HttpReply& reply) {
        if (generation != m_generation)
          return;
        Revision revision = 0;
        const bool read = TryDecode(reply, [&](const std::string& json) {
          DecodedFeed feed = DecodeFeedSnapshot(json);
          revision = feed.update.revision;
          for (const std::string& rejected : feed.rejected)
            m_callbacks.log({.event = LogEvent::kConfigRejected,
                             .fields = {{"item", rejected}}});
          m_callbacks.event(FeedReceived{.update = std::move(feed.update)});
        });
        if (read)
          OpenWatch(generation, revision + 1);
        else
          HandleWatchFailure(generation, "no snapshot");
      });
}

void PlatformClient::OpenWatch(std::uint64_t generation,
                               Revision start_revision) {
  const std::string url = m_options.key_value_url + kWatchPath;
  SoupMessage* message = soup_message_new("POST", url.c_str());
  const std::string body = EncodeFeedWatch(start_revision);
  GBytes* bytes = g_bytes_new(body.data(), body.size());
  soup_message_set_request_body_from_bytes(message, "application/json", bytes);
  g_bytes_unref(bytes);
  m_watch_cancellable = g_cancellable_new();
  auto* call = new WatchCallData{
      this, generation, G_CANCELLABLE(g_object_ref(m_watch_cancellable))};
  soup_session_send_async(m_watch_session, message, G_PRIORITY_DEFAULT,
                          m_watch_cancellable, OnWatchOpened, call);
  g_object_unref(message);
}

void PlatformClient::OnWatchOpened(GObject* session,
                                   GAsyncResult* result,
                                   gpointer data) {
  const std::unique_ptr<WatchCallData> call(static_cast<WatchCallData*>(data));
  const bool cancelled = g_cancellable_is_cancelled(call->cancellable) != FALSE;
  g_object_unref(call->cancellable);
  GError* error = nullptr;
  GInputStream* stream =
      soup_session_send_finish(SOUP_SESSION(session), result, &error);
  const std::string detail = error == nullptr ? "" : error->message;
  g_clear_error(&error);
  // The callback of a cancelled call may run after the client was destroyed, so
  // it must not use the client.
  if (cancelled) {
    g_clear_object(&stream);
    return;
  }
  if (stream == nullptr) {
    call->client->HandleWatchFailure(call->generation, detail);
    return;
  }
  call->client->m_watch_stream = g_data_input_stream_new(stream);
  g_object_unref(stream);
  call->client->ReadNextLine(call->generation);
}

void PlatformClient::ReadNextLine(std::uint64_t generation) {
  auto* call = new WatchCallData{
      this, generation, G_CANCELLABLE(g_object_ref(m_watch_cancellable))};
  g_data_input_stream_read_line_async(m_watch_stream, G_PRIORITY_DEFAULT,
                                      m_watch_cancellable, OnLine, call);
}

void PlatformClient::OnLine(GObject* stream,
                            GAsyncResult* result,
                            gpointer data) {
  const std::unique_ptr<WatchCallData> call(static_cast<WatchCallData*>(data));
  const bool cancelled = g_cancellable_is_cancelled(call->cancellable) != FALSE;
  g_object_unref(call->cancellable);
  GError* error = nullptr;
  gsize length = 0;
  char* line = g_data_input_stream_read_line_finish(G_DATA_INPUT_STREAM(stream),
                                                    result, &length, &error);
  const std::string text = line == nullptr ? "" : std::string(line, length);
  const bool ended = line == nullptr;
  const std::string detail =
      error == nullptr ? "end of stream" : error->message;
  g_free(line);
  g_clear_error(&error);
  if (cancelled)
    return;
  if (ended) {
    call->client->HandleWatchFailure(call->generation, detail);
    return;
  }
  try {
    call->client->HandleLine(text);
    call->client->ReadNextLine(call->generation);
  } catch (const Error& failure) {
    call->client->HandleWatchFailure(call->generation, failure.what());
  }
}

void PlatformClient::HandleLine(const std::string& line) {
  if (line.empty())
    return;
  std::optional<DecodedFeed> feed = DecodeWatchLine(line);
  if (!feed)
    return;
  for (const std::string& rejected : feed->rejected)
    m_callbacks.log(
        {.event = LogEvent::kConfigRejected, .fields = {{"item", rejected}}});
  m_callbacks.event(FeedReceived{.update = std::move(feed->update)});
}

void PlatformClient::HandleWatchFailure(std::uint64_t generation,
                                        const std::string& detail) {
  if (generation != m_generation)
    return;
  CloseWatch();
  ReportFailure(detail);
  m_callbacks.event(WatchLost{});
  const std::uint64_t retried_generation = m_generation;
  m_loop.RunAfter(kWatchRetryDelayMs, [this, retried_generation] {
    if (retried_generation == m_generation)
      ReadSnapshot(retried_generation);
  });
}

}  // namespace boragepick
