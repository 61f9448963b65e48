// The callers' side of a gateway: turns HTTP exchanges into requests of the
// core and its answers into responses. `Wire` knows the callers' protocol.
#pragma once

#include <concepts>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "core/serving/serving_messages.h"
#include "frontends/http/http_server.h"

namespace boragepick {

template <typename W>
concept CallerProtocol = requires(HttpMessage message,
                                  const SendAttempt& attempt,
                                  const HttpHead& head,
                                  const RefuseRequest& refusal) {
  {
    W::DecodeRequest(RequestId{}, std::move(message))
    } -> std::same_as<std::variant<ServingRequest, typename W::Malformed>>;
  { W::EncodeAttempt(attempt) } -> std::same_as<std::string>;
  { W::RequestIdHeader() } -> std::same_as<std::string>;
  { W::DecodeUpstreamHead(head) } -> std::same_as<UpstreamResponseHead>;
  { W::RefusalHeaders(refusal) } -> std::same_as<std::vector<HeaderField>>;
  { W::RefusalBody(refusal) } -> std::same_as<std::string>;
};

template <CallerProtocol Wire>
class CallerFront {
 public:
  struct Outlet {
    std::function<void(ServingEvent)> event;
    std::function<void(LogRecord)> log;
  };

  CallerFront(EventLoop& loop, const Endpoint& endpoint, Outlet outlet)
      : m_outlet(std::move(outlet)),
        m_server(loop,
                 endpoint,
                 ServerLimits{},
                 {.request =
                      [this](ExchangeId id, HttpMessage message) {
                        Take(id, std::move(message));
                      },
                  .gone =
                      [this](ExchangeId id) {
                        m_outlet.event(CallerDisconnected{.id = id});
                      },
                  .rejected =
                      [this](unsigned status, ParseError error) {
                        LogRejected(status,
                                    std::string(kParseErrorNames.Name(error)));
                      }}) {}

  void Carry(SendResponse answer) {
    m_server.Post(ServeWhole{.id = answer.id,
                             .status = answer.head.status,
                             .fields = std::move(answer.head.headers),
                             .body = std::move(answer.body)});
  }
  void Carry(SendResponseHead answer) {
    m_server.Post(ServeHead{.id = answer.id,
                            .status = answer.head.status,
                            .fields = std::move(answer.head.headers)});
  }
  void Carry(SendResponseBody answer) {
    m_server.Post(
        ServeBytes{.id = answer.id, .bytes = std::move(answer.bytes)});
  }
  void Carry(const EndResponse& answer) {
    m_server.Post(ServeEnd{.id = answer.id});
  }
  void Carry(const AbortResponse& answer) {
    m_server.Post(ServeAbort{.id = answer.id});
  }
  void Carry(const RefuseRequest& answer) {
    m_server.Post(ServeWhole{.id = answer.id,
                             .status = answer.status,
                             .fields = Wire::RefusalHeaders(answer),
                             .body = Wire::RefusalBody(answer)});
  }
  void Carry(const ApplyCallerLimits& changed) {
    m_server.Post(
        ServerLimits{.max_header_bytes = changed.limits.max_header_bytes,
                     .max_body_bytes = changed.limits.max_body_bytes,
                     .header_timeout = changed.limits.header_timeout,
                     .idle_timeout = changed.limits.idle_timeout});
  }

  void Drain() { m_server.Post(ServeDrain{}); }
  void Finish() { m_server.Post(ServeFinish{}); }

 private:
  void Take(ExchangeId id, HttpMessage message) {
    auto decoded = Wire::DecodeRequest(id, std::move(message));
    if (auto* request = std::get_if<ServingRequest>(&decoded)) {
      m_outlet.event(RequestArrived{
          .request =
              std::make_shared<const ServingRequest>(std::move(*request))});
      return;
    }
    const auto& malformed = std::get<typename Wire::Malformed>(decoded);
    LogRejected(malformed.status, malformed.reason);
    m_server.Post(ServeWhole{
        .id = id, .status = malformed.status, .body = malformed.reason});
  }

  void LogRejected(unsigned status, const std::string& why) {
    m_outlet.log({.event = LogEvent::kRequestRefused,
                  .fields = {{"code", "malformed"},
                             {"status", std::to_string(status)},
                             {"why", why}}});
  }

  Outlet m_outlet;
  HttpServer m_server;
};

}  // namespace boragepick
