// The controller's HTTP client for its engine: reads the engine's report and
// sends orders. `Codec` implements the engine's protocol.
#pragma once

#include <concepts>
#include <functional>
#include <optional>
#include <string>
#include <utility>

#include "common/error.h"
#include "core/engine/engine_controller.h"
#include "frontends/http/http_client.h"

namespace boragepick {

template <typename W>
concept EngineProtocol = requires(const std::string& text,
                                  const EngineOrder& order,
                                  std::string_view body,
                                  unsigned status) {
  { W::EncodeReportRequest(text) } -> std::same_as<std::string>;
  { W::EncodeOrder(text, text, order) } -> std::same_as<std::string>;
  { W::DecodeReport(body) } -> std::same_as<EngineReport>;
  { W::DecodeOutcome(status) } -> std::same_as<OrderOutcome>;
};

// The engine runs on the same VM, so an engine that does not answer in time
// counts as down.
inline constexpr Duration kReportTimeout = std::chrono::milliseconds(500);
inline constexpr Duration kOrderTimeout = std::chrono::milliseconds(600);
// A report lists the engine's models, adapters and runs.
inline constexpr std::size_t kMaxEngineReplyBytes = 8 << 20;

template <EngineProtocol Codec>
class EngineTask {
 public:
  struct Callbacks {
    std::function<void(ControllerEvent)> event;
  };

  EngineTask(EventLoop& loop,
             std::string endpoint,
             std::string holder,
             Callbacks callbacks)
      : m_endpoint(std::move(endpoint)),
        m_holder(std::move(holder)),
        m_callbacks(std::move(callbacks)),
        m_client(loop, ClientOptions{}, [this](ClientEvent event) {
          std::visit([this](auto& value) { Handle(std::move(value)); }, event);
        }) {}

  void Execute(const ReadReport& /*effect*/) {
    m_report_status = 0;
    m_report_body.clear();
    m_client.Post(StartCall{.id = ++m_last_call_id,
                            .address = m_endpoint,
                            .pool = "reports",
                            .request = Codec::EncodeReportRequest(m_endpoint),
                            .timeout = kReportTimeout,
                            .max_response_bytes = kMaxEngineReplyBytes});
    m_report_call_id = m_last_call_id;
  }
  void Execute(const SendEngineOrder& effect) {
    m_order_status = 0;
    m_client.Post(StartCall{
        .id = ++m_last_call_id,
        .address = m_endpoint,
        .pool = "orders",
        .request = Codec::EncodeOrder(m_endpoint, m_holder, effect.order),
        // An order that is lost with a stale connection costs a second, so each
        // order gets a new connection.
        .max_idle = Duration::zero(),
        .timeout = kOrderTimeout,
        .max_response_bytes = kMaxEngineReplyBytes});
    m_order_call_id = m_last_call_id;
  }

 private:
  void Handle(const CallHeadReceived& event) {
    (event.id == m_report_call_id ? m_report_status : m_order_status) =
        event.head.status;
  }
  void Handle(const CallBodyReceived& event) {
    if (event.id == m_report_call_id)
      m_report_body += event.bytes;
  }
  void Handle(const CallCompleted& event) {
    if (event.id == m_order_call_id) {
      m_callbacks.event(
          EngineOrderAnswered{.outcome = Codec::DecodeOutcome(m_order_status)});
      return;
    }
    constexpr unsigned kOk = 200;
    m_callbacks.event(ReportRead{
        .report = m_report_status == kOk ? TryDecodeReport() : std::nullopt});
  }
  void Handle(const CallFailed& event) {
    if (event.id == m_report_call_id) {
      m_callbacks.event(ReportRead{});
      return;
    }
    m_callbacks.event(
        EngineOrderAnswered{.outcome = event.sent ? OrderOutcome::kUnknown
                                                  : OrderOutcome::kRefused});
  }

  std::optional<EngineReport> TryDecodeReport() const {
    try {
      return Codec::DecodeReport(m_report_body);
    } catch (const Error&) {
      // The controller handles an unreadable report like an engine that does
      // not answer.
      return std::nullopt;
    }
  }

  std::string m_endpoint;
  // Identifies this controller in its orders.
  std::string m_holder;
  Callbacks m_callbacks;
  HttpClient m_client;
  CallId m_last_call_id = 0;
  CallId m_report_call_id = 0;
  CallId m_order_call_id = 0;
  unsigned m_report_status = 0;
  unsigned m_order_status = 0;
  std::string m_report_body;
};

}  // namespace boragepick
