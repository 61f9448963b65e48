// The HTTP server of a daemon: callers' and operators' requests, health checks
// and metrics. One task owns all connections. Requests are passed on to the
// state machine, which decides how to respond.
#pragma once

#include <libsoup/soup.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <unordered_map>
#include <variant>

#include "common/time.h"
#include "core/router/router_messages.h"
#include "frontends/caller_codec.h"
#include "frontends/glib_task.h"
#include "frontends/settings.h"

namespace boragepick {

// Messages from the state machine.
struct ReadinessChanged {
  bool ready = false;
};
// Requests a call of `on_responses_sent` as soon as no response is left to
// send.
struct FinishResponses {};
using FrontendMessage = std::variant<CallerResponseHead,
                                     CallerResponseBytes,
                                     CallerResponseEnd,
                                     CallerRefused,
                                     OperatorReplied,
                                     ReadinessChanged,
                                     FinishResponses>;

// Calls to the state machine. `on_caller_request` is empty on an agent, which
// serves no callers.
struct HttpFrontendCallbacks {
  std::function<void(CallerRequest)> on_caller_request;
  std::function<void(RequestId)> on_caller_disconnected;
  std::function<void(CallerResponseWritten)> on_response_written;
  std::function<void(OperatorRequest)> on_operator_request;
  std::function<void()> on_responses_sent;
};

struct HttpFrontendOptions {
  Endpoint endpoint;
  std::size_t max_body_bytes = 0;
  // How long the body of a request may stay without progress.
  Duration body_timeout = std::chrono::seconds(15);
  // Limits for all connections together: bodies of requests, which are rejected
  // by their announced length beyond it, and responses that were not read.
  // Beyond the latter, the connection that has read nothing for the longest
  // time is closed.
  std::size_t max_request_bytes = 32 << 20;
  std::size_t max_unsent_bytes = 64 << 20;
  CallerDefaults defaults;
  std::string operator_token_sha256;
  // Prefix of the writer tokens. A write with an unknown outcome succeeded if
  // the stored resource has its token.
  std::string writer_token_prefix;
};

class HttpFrontend {
 public:
  // Starts to listen; throws Error at Step::kListen.
  HttpFrontend(GlibLoop& loop,
               HttpFrontendOptions options,
               HttpFrontendCallbacks callbacks);
  ~HttpFrontend();
  HttpFrontend(const HttpFrontend&) = delete;
  HttpFrontend& operator=(const HttpFrontend&) = delete;

  void Handle(FrontendMessage message);

 private:
  struct Exchange {
    SoupServerMessage* message = nullptr;
    bool stream = false;
    bool from_caller = false;
  };

  // The body of a request, which holds memory up to the end of its response.
  struct Input {
    // Announced length, or what was received beyond it.
    std::size_t reserved = 0;
    std::size_t received = 0;
    TimePoint last_received;
    bool is_complete = false;
    bool is_closed = false;
  };

  // A response on its way to the caller.
  struct Output {
    RequestId id = 0;
    std::uint64_t queued = 0;
    std::uint64_t written = 0;
    // `written` as last reported.
    std::uint64_t reported = 0;
    TimePoint last_written;
    bool is_closed = false;
    std::uint64_t unsent() const { return queued - written; }
  };

  static void OnHeaders(SoupServer* server,
                        SoupServerMessage* message,
                        const char* path,
                        GHashTable* query,
                        gpointer self);
  static void OnGotChunk(SoupServerMessage* message,
                         GBytes* chunk,
                         gpointer self);
  static void OnRequest(SoupServer* server,
                        SoupServerMessage* message,
                        const char* path,
                        GHashTable* query,
                        gpointer self);
  static void OnFinished(SoupServerMessage* message, gpointer self);
  static void OnWrote(SoupServerMessage* message,
                      unsigned bytes,
                      gpointer self);
  // Closes the connection of a message without a further response.
  static void CloseConnection(SoupServerMessage* message);
  // The same, and releases the memory of the request.
  void CloseInput(SoupServerMessage* message, Input& input);
  void CloseStalledInputs(TimePoint now);
  // Calls CloseStalledInputs() at intervals.
  void CheckInputsLater();
  void CloseStalledConnections();
  static void OnRequestFinished(SoupServerMessage* message, gpointer self);

  void Serve(SoupServerMessage* message, const std::string& path);
  void ServeCaller(SoupServerMessage* message, CallerHttpRequest http_request);
  void ServeOperator(SoupServerMessage* message,
                     const CallerHttpRequest& http_request);
  void ForwardOperatorRequest(SoupServerMessage* message,
                              OperatorAction action);
  std::uint64_t OpenExchange(SoupServerMessage* message, bool from_caller);
  Exchange* FindExchange(std::uint64_t id);
  void CloseExchange(std::uint64_t id);

  void On(const CallerResponseHead& message);
  void On(const CallerResponseBytes& message);
  void On(const CallerResponseEnd& message);
  void On(const CallerRefused& message);
  void On(const OperatorReplied& message);
  void On(const ReadinessChanged& message) { m_ready = message.ready; }
  void On(const FinishResponses& message);

  GlibLoop& m_loop;
  HttpFrontendOptions m_options;
  HttpFrontendCallbacks m_callbacks;
  SoupServer* m_server;
  bool m_ready = false;
  std::uint64_t m_last_id = 0;
  // Responses that are not completely sent yet.
  std::size_t m_unsent_responses = 0;
  bool m_finishing = false;
  std::unordered_map<SoupServerMessage*, Output> m_outputs;
  std::size_t m_unsent_bytes = 0;
  std::unordered_map<SoupServerMessage*, Input> m_inputs;
  // Sum of what they reserve.
  std::size_t m_request_bytes = 0;
  std::unordered_map<std::uint64_t, Exchange> m_exchanges;
  std::unordered_map<SoupServerMessage*, std::uint64_t> m_exchange_ids;
};

}  // namespace boragepick
