// The gateway's HTTP client for its upstreams: sends attempts over persistent
// connections and reports their results to the core as events.
#pragma once

#include <functional>
#include <utility>

#include "core/serving/serving_messages.h"
#include "frontends/http/http_client.h"
#include "frontends/serving/caller_frontend.h"

namespace boragepick {

// The longest idle time after which a persistent connection is still used. An
// attempt that may not be repeated would fail if the connection had gone stale,
// so the limit for such attempts is lower.
inline constexpr Duration kMaxIdleForNonRepeatable =
    std::chrono::milliseconds(1'500);
inline constexpr Duration kMaxIdleForRepeatable = std::chrono::seconds(8);
// A worker that does not accept a connection within this time counts as down.
inline constexpr Duration kUpstreamConnectTimeout =
    std::chrono::milliseconds(400);
inline constexpr ClientOptions kUpstreamClientOptions{
    .keepalive = {.user_timeout = std::chrono::seconds(2),
                  .probe_interval = std::chrono::seconds(1)},
    .max_idle_per_pool = 24};

template <CallerProtocol Codec>
class UpstreamTask {
 public:
  UpstreamTask(EventLoop& loop, std::function<void(ServingEvent)> callback)
      : m_callback(std::move(callback)),
        m_client(loop, kUpstreamClientOptions, [this](ClientEvent event) {
          std::visit([this](auto& value) { Handle(std::move(value)); }, event);
        }) {}

  void Execute(const SendAttempt& effect) {
    m_client.Post(StartCall{.id = effect.attempt,
                            .address = effect.address,
                            .pool = effect.worker,
                            .request = Codec::EncodeAttemptHead(effect),
                            .body = BodyOf(effect.request),
                            .head_request = effect.request->method == "HEAD",
                            .max_idle = MaxIdle(effect),
                            .connect_timeout = kUpstreamConnectTimeout,
                            .echo_name = Codec::RequestIdHeader(),
                            .echo_value = effect.request->trace_id});
  }
  void Execute(const CancelAttempt& effect) {
    m_client.Post(CancelCall{.id = effect.attempt});
  }
  void Execute(const PauseAttempt& effect) {
    m_client.Post(PauseCall{.id = effect.attempt});
  }
  void Execute(const ResumeAttempt& effect) {
    m_client.Post(ResumeCall{.id = effect.attempt});
  }
  void Execute(const CloseWorkerConnections& effect) {
    m_client.Post(CloseIdleConnections{.pool = effect.worker});
  }

  std::uint64_t connections_opened() const {
    return m_client.connections_opened();
  }

 private:
  static std::shared_ptr<const std::string> BodyOf(
      const std::shared_ptr<const ServingRequest>& request) {
    return {request, &request->body};
  }
  static Duration MaxIdle(const SendAttempt& effect) {
    if (effect.new_connection)
      return Duration::zero();
    return effect.repeatable ? kMaxIdleForRepeatable : kMaxIdleForNonRepeatable;
  }

  void Handle(CallHeadReceived event) {
    m_callback(AttemptHeadReceived{
        .attempt = event.id, .head = Codec::DecodeUpstreamHead(event.head)});
  }
  void Handle(CallBodyReceived event) {
    m_callback(AttemptBodyReceived{.attempt = event.id,
                                   .bytes = std::move(event.bytes)});
  }
  void Handle(const CallCompleted& event) {
    m_callback(AttemptCompleted{.attempt = event.id,
                                .ended_by_close = event.ended_by_close});
  }
  void Handle(const CallFailed& event) {
    AttemptFailure failure = AttemptFailure::kReset;
    if (!event.sent)
      failure = AttemptFailure::kNotSent;
    else if (event.failure == CallFailure::kMalformed)
      failure = AttemptFailure::kMalformed;
    m_callback(AttemptFailed{.attempt = event.id, .failure = failure});
  }

  std::function<void(ServingEvent)> m_callback;
  HttpClient m_client;
};

}  // namespace boragepick
