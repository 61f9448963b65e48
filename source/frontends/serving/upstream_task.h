// The upstreams' side of a gateway: sends attempts over kept connections and
// tells the core what came of them.
#pragma once

#include <functional>
#include <utility>

#include "core/serving/serving_messages.h"
#include "frontends/http/http_client.h"
#include "frontends/serving/caller_front.h"

namespace boragepick {

// A kept connection that may have gone stale is used only for what may be sent
// again; for the rest it must have been used this lately.
inline constexpr Duration kFreshForUnrepeatable =
    std::chrono::milliseconds(1'500);
inline constexpr Duration kFreshForRepeatable = std::chrono::seconds(8);
// A worker that does not take a connection for so long counts as down.
inline constexpr Duration kUpstreamConnectTimeout =
    std::chrono::milliseconds(400);
inline constexpr ClientOptions kUpstreamClientOptions{
    .silence = {.unacknowledged = std::chrono::seconds(2),
                .probe = std::chrono::seconds(1)},
    .max_idle_per_pool = 24};

template <CallerProtocol Wire>
class UpstreamTask {
 public:
  UpstreamTask(EventLoop& loop, std::function<void(ServingEvent)> outlet)
      : m_outlet(std::move(outlet)),
        m_client(loop, kUpstreamClientOptions, [this](ClientEvent event) {
          std::visit([this](auto& held) { On(std::move(held)); }, event);
        }) {}

  void Carry(const SendAttempt& attempt) {
    m_client.Post(StartCall{.id = attempt.attempt,
                            .address = attempt.address,
                            .pool = attempt.worker,
                            .request = Wire::EncodeAttempt(attempt),
                            .head_request = attempt.request->method == "HEAD",
                            .max_idle = attempt.repeatable
                                            ? kFreshForRepeatable
                                            : kFreshForUnrepeatable,
                            .connect_timeout = kUpstreamConnectTimeout,
                            .echo_name = Wire::RequestIdHeader(),
                            .echo_value = attempt.request->trace_id});
  }
  void Carry(const CancelAttempt& cancel) {
    m_client.Post(CancelCall{.id = cancel.attempt});
  }
  void Carry(const CloseWorkerConnections& forget) {
    m_client.Post(DropPool{.pool = forget.worker});
  }

  std::uint64_t connections_opened() const {
    return m_client.connections_opened();
  }

 private:
  void On(CallHead event) {
    m_outlet(AttemptHeadReceived{.attempt = event.id,
                                 .head = Wire::DecodeUpstreamHead(event.head)});
  }
  void On(CallBytes event) {
    m_outlet(AttemptBodyReceived{.attempt = event.id,
                                 .bytes = std::move(event.bytes)});
  }
  void On(const CallEnded& event) {
    m_outlet(AttemptCompleted{.attempt = event.id});
  }
  void On(const CallFailed& event) {
    AttemptFailure failure = AttemptFailure::kReset;
    if (!event.sent)
      failure = AttemptFailure::kNotSent;
    else if (event.failure == CallFailure::kMalformed)
      failure = AttemptFailure::kMalformed;
    m_outlet(AttemptFailed{.attempt = event.id, .failure = failure});
  }

  std::function<void(ServingEvent)> m_outlet;
  HttpClient m_client;
};

}  // namespace boragepick
