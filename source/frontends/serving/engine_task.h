// The controller's side towards its engine: reads the engine's account and
// sends orders. `Wire` knows the engine's calls.
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

// The engine stands on the same VM: silence means that it is down.
inline constexpr Duration kReportTimeout = std::chrono::milliseconds(500);
inline constexpr Duration kOrderTimeout = std::chrono::milliseconds(600);

template <EngineProtocol Wire>
class EngineTask {
 public:
  struct Outlet {
    std::function<void(ControllerEvent)> event;
  };

  EngineTask(EventLoop& loop,
             std::string endpoint,
             std::string holder,
             Outlet outlet)
      : m_endpoint(std::move(endpoint)),
        m_holder(std::move(holder)),
        m_outlet(std::move(outlet)),
        m_client(loop, ClientOptions{}, [this](ClientEvent event) {
          std::visit([this](auto& held) { On(std::move(held)); }, event);
        }) {}

  void Carry(const ReadReport& /*effect*/) {
    m_status = 0;
    m_body.clear();
    m_client.Post(StartCall{.id = ++m_last_call,
                            .address = m_endpoint,
                            .pool = "reports",
                            .request = Wire::EncodeReportRequest(m_endpoint),
                            .timeout = kReportTimeout});
    m_report_call = m_last_call;
  }
  void Carry(const SendEngineOrder& effect) {
    m_order_status = 0;
    m_client.Post(StartCall{
        .id = ++m_last_call,
        .address = m_endpoint,
        .pool = "orders",
        .request = Wire::EncodeOrder(m_endpoint, m_holder, effect.order),
        // why: an order lost with a stale connection costs a second
        .max_idle = Duration::zero(),
        .timeout = kOrderTimeout});
    m_order_call = m_last_call;
  }

 private:
  void On(const CallHead& event) {
    (event.id == m_report_call ? m_status : m_order_status) = event.head.status;
  }
  void On(const CallBytes& event) {
    if (event.id == m_report_call)
      m_body += event.bytes;
  }
  void On(const CallEnded& event) {
    if (event.id == m_order_call) {
      m_outlet.event(
          EngineOrderAnswered{.outcome = Wire::DecodeOutcome(m_order_status)});
      return;
    }
    constexpr unsigned kOk = 200;
    m_outlet.event(
        ReportRead{.report = m_status == kOk ? Decoded() : std::nullopt});
  }
  void On(const CallFailed& event) {
    if (event.id == m_report_call) {
      m_outlet.event(ReportRead{});
      return;
    }
    m_outlet.event(
        EngineOrderAnswered{.outcome = event.sent ? OrderOutcome::kUnknown
                                                  : OrderOutcome::kRefused});
  }

  std::optional<EngineReport> Decoded() const {
    try {
      return Wire::DecodeReport(m_body);
    } catch (const Error&) {
      // why: the controller treats it like an engine that does not answer
      return std::nullopt;
    }
  }

  std::string m_endpoint;
  std::string m_holder;
  Outlet m_outlet;
  HttpClient m_client;
  CallId m_last_call = 0;
  CallId m_report_call = 0;
  CallId m_order_call = 0;
  unsigned m_status = 0;
  unsigned m_order_status = 0;
  std::string m_body;
};

}  // namespace boragepick
