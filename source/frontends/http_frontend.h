// The HTTP server of a daemon: callers, operators, health and metrics. One task
// owns all its connections; it decides nothing about requests.
#pragma once

#include <libsoup/soup.h>

#include <cstdint>
#include <functional>
#include <string>
#include <unordered_map>
#include <variant>

#include "core/router/router_messages.h"
#include "frontends/caller_codec.h"
#include "frontends/glib_task.h"
#include "frontends/settings.h"

namespace boragepick {

// What the machine tells the front.
struct ReadinessChanged {
  bool ready = false;
};
// Report as soon as every answer has left.
struct FinishResponses {};
using FrontendMessage = std::variant<CallerResponseHead,
                                     CallerResponseBytes,
                                     CallerResponseEnd,
                                     CallerRefused,
                                     OperatorReplied,
                                     ReadinessChanged,
                                     FinishResponses>;

// What the front tells the machine. `callers` is empty on an agent.
struct HttpFrontendCallbacks {
  std::function<void(CallerRequest)> caller_arrived;
  std::function<void(RequestId)> caller_gone;
  std::function<void(OperatorRequest)> operator_asked;
  std::function<void()> answers_finished;
};

struct HttpFrontendOptions {
  Endpoint endpoint;
  std::size_t max_body_bytes = 0;
  CallerDefaults defaults;
  std::string operator_token_sha256;
  // Begins the tokens by which writes are found again.
  std::string writer_prefix;
};

class HttpFrontend {
 public:
  // Listens; throws Error at Step::kListen.
  HttpFrontend(GlibLoop& loop,
               HttpFrontendOptions options,
               HttpFrontendCallbacks outlet);
  ~HttpFrontend();
  HttpFrontend(const HttpFrontend&) = delete;
  HttpFrontend& operator=(const HttpFrontend&) = delete;

  void Handle(FrontendMessage message);

 private:
  struct Exchange {
    SoupServerMessage* message = nullptr;
    bool stream = false;
    bool caller = false;
  };

  static void OnEarly(SoupServer* server,
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

  void Serve(SoupServerMessage* message, const std::string& path);
  void ServeCaller(SoupServerMessage* message, CallerHttpRequest call);
  void ServeOperator(SoupServerMessage* message, const CallerHttpRequest& call);
  void AskOperator(SoupServerMessage* message, OperatorAction action);
  std::uint64_t Open(SoupServerMessage* message, bool caller);
  Exchange* Find(std::uint64_t id);
  void Close(std::uint64_t id);

  void On(const CallerResponseHead& message);
  void On(const CallerResponseBytes& message);
  void On(const CallerResponseEnd& message);
  void On(const CallerRefused& message);
  void On(const OperatorReplied& message);
  void On(const ReadinessChanged& message) { m_ready = message.ready; }

  void On(const FinishResponses& message);

  HttpFrontendOptions m_options;
  HttpFrontendCallbacks m_outlet;
  SoupServer* m_server;
  bool m_ready = false;
  std::uint64_t m_last_id = 0;
  // Messages whose last byte has not left yet.
  std::size_t m_unfinished = 0;
  bool m_finishing = false;
  std::unordered_map<std::uint64_t, Exchange> m_exchanges;
  std::unordered_map<SoupServerMessage*, std::uint64_t> m_ids;
};

}  // namespace boragepick
