// The HTTP front end of a gateway for its callers: decodes HTTP requests into
// events of the core, and encodes the core's effects as HTTP responses. `Codec`
// implements the callers' protocol.
#pragma once

#include <concepts>
#include <functional>
#include <map>
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
  { W::EncodeAttemptHead(attempt) } -> std::same_as<std::string>;
  { W::RequestIdHeader() } -> std::same_as<std::string>;
  { W::DecodeUpstreamHead(head) } -> std::same_as<UpstreamResponseHead>;
  { W::RefusalHeaders(refusal) } -> std::same_as<std::vector<HeaderField>>;
  { W::RefusalBody(refusal) } -> std::same_as<std::string>;
};

template <CallerProtocol Codec>
class CallerFrontend {
 public:
  struct Callbacks {
    std::function<void(ServingEvent)> event;
    std::function<void(LogRecord)> log;
  };

  CallerFrontend(EventLoop& loop,
                 const Endpoint& endpoint,
                 Callbacks callbacks,
                 const ServerMemory& memory)
      : m_callbacks(std::move(callbacks)),
        m_server(
            loop,
            endpoint,
            ServerLimits{},
            {.on_request =
                 [this](ExchangeId id, HttpMessage message) {
                   HandleRequest(id, std::move(message));
                 },
             .on_disconnected =
                 [this](ExchangeId id, ConnectionEnd end) {
                   m_callbacks.event(CallerDisconnected{
                       .id = id, .reason = ToDisconnectReason(end)});
                 },
             .on_rejected =
                 [this](RequestFault fault) {
                   const RequestFaultRow& row = RequestFaultInfo(fault);
                   ++m_rejected[fault];
                   LogRejected(row.status, std::string(row.name));
                 },
             .on_unsent_changed =
                 [this](ExchangeId id, std::size_t unsent, std::size_t total) {
                   m_callbacks.event(ResponseUnsent{
                       .id = id, .bytes = unsent, .total = total});
                 },
             .on_unanswered_close =
                 [this](const UnansweredClose& close) {
                   LogUnansweredClose(close);
                 },
             .on_accept_paused =
                 [this](const std::string& reason) {
                   m_callbacks.log({.event = LogEvent::kAcceptPaused,
                                    .fields = {{"why", reason}}});
                 }},
            memory) {}

  void Execute(SendResponse effect) {
    m_server.Post(SendHttpResponse{.id = effect.id,
                                   .status = effect.head.status,
                                   .fields = std::move(effect.head.headers),
                                   .body = std::move(effect.body)});
  }
  void Execute(SendResponseHead effect) {
    m_server.Post(
        SendHttpResponseHead{.id = effect.id,
                             .status = effect.head.status,
                             .fields = std::move(effect.head.headers)});
  }
  void Execute(SendResponseBody effect) {
    m_server.Post(SendHttpResponseBody{.id = effect.id,
                                       .bytes = std::move(effect.bytes)});
  }
  void Execute(const EndResponse& effect) {
    m_server.Post(EndHttpResponse{.id = effect.id});
  }
  void Execute(const AbortResponse& effect) {
    m_server.Post(AbortHttpResponse{.id = effect.id});
  }
  void Execute(const RefuseRequest& effect) {
    m_server.Post(SendHttpResponse{.id = effect.id,
                                   .status = effect.status,
                                   .fields = Codec::RefusalHeaders(effect),
                                   .body = Codec::RefusalBody(effect)});
  }
  void Execute(const ApplyCallerLimits& effect) {
    m_server.Post(
        ServerLimits{.max_header_bytes = effect.limits.max_header_bytes,
                     .max_body_bytes = effect.limits.max_body_bytes,
                     .header_timeout = effect.limits.header_timeout,
                     .idle_timeout = effect.limits.idle_timeout});
  }

  const std::map<ConnectionEnd, std::uint64_t>& unanswered_closes() const {
    return m_server.unanswered_closes();
  }
  std::size_t connection_count() const { return m_server.connection_count(); }
  bool HasUnsentBytes() const { return m_server.HasUnsentBytes(); }
  std::size_t unsent_bytes() const { return m_server.unsent_bytes(); }
  std::size_t request_bytes() const { return m_server.request_bytes(); }
  // Requests that the server itself refused.
  const std::map<RequestFault, std::uint64_t>& rejected() const {
    return m_rejected;
  }

  // From now on, each response closes its connection.
  void Drain() { m_server.Post(DrainHttpServer{}); }
  // Stops accepting connections and closes those without a request.
  void Finish() { m_server.Post(ShutDownHttpServer{}); }

 private:
  static DisconnectReason ToDisconnectReason(ConnectionEnd end) {
    const bool is_not_reading = end == ConnectionEnd::kUnsentLimit ||
                                end == ConnectionEnd::kMemoryLimit;
    return is_not_reading ? DisconnectReason::kNotReading
                          : DisconnectReason::kClosedByCaller;
  }

  void HandleRequest(ExchangeId id, HttpMessage message) {
    auto decoded = Codec::DecodeRequest(id, std::move(message));
    if (auto* request = std::get_if<ServingRequest>(&decoded)) {
      m_callbacks.event(RequestArrived{
          .request =
              std::make_shared<const ServingRequest>(std::move(*request))});
      return;
    }
    const auto& malformed = std::get<typename Codec::Malformed>(decoded);
    LogRejected(malformed.status, malformed.reason);
    m_server.Post(SendHttpResponse{
        .id = id, .status = malformed.status, .body = malformed.reason});
  }

  void LogRejected(unsigned status, const std::string& reason) {
    m_callbacks.log({.event = LogEvent::kRequestRefused,
                     .fields = {{"code", "malformed"},
                                {"status", std::to_string(status)},
                                {"why", reason}}});
  }

  void LogUnansweredClose(const UnansweredClose& close) {
    m_callbacks.log(
        {.event = LogEvent::kUnansweredClose,
         .fields = {
             {"why", std::string(kConnectionEndNames.Name(close.reason))},
             {"response", close.is_exchange_open ? "pending" : "none"},
             {"unparsed_bytes", std::to_string(close.unparsed_bytes)},
             {"unread_bytes", std::to_string(close.unread_bytes)},
             {"idle_ms", FormatMilliseconds(close.idle_time)}}});
  }

  Callbacks m_callbacks;
  std::map<RequestFault, std::uint64_t> m_rejected;
  HttpServer m_server;
};

}  // namespace boragepick
