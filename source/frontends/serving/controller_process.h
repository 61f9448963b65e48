// The controller process, beside an engine. Its tasks run as in the gateway
// process.
#pragma once

#include "frontends/serving/engine_task.h"
#include "frontends/serving/serving_process.h"

namespace boragepick {

// Bounds the age of the last confirmation that a controller's configuration is
// the newest. Controllers tolerate an older one than gateways.
inline constexpr Duration kControllerWatchTimeout = std::chrono::seconds(20);
// Nothing that a controller needs from the store is more urgent than this.
inline constexpr Duration kControllerMaxRetryDelay = std::chrono::seconds(2);

template <ServingProtocol Protocol>
class ControllerProcess : private ServingProcessBase<Protocol> {
  using Base = ServingProcessBase<Protocol>;
  using Base::m_log;
  using Base::m_loop;
  using Base::m_settings;

 public:
  explicit ControllerProcess(const ServingSettings& settings)
      : Base(settings),
        m_controller(settings.vm),
        m_machine(
            m_loop,
            m_controller,
            {.on_effect =
                 [this](ControllerEffect effect) {
                   std::visit(
                       [this](auto& value) { Dispatch(std::move(value)); },
                       effect);
                 },
             .on_ready_changed = [](bool) {}}),
        m_inbox(m_loop,
                [this](PeerMessageReceived received) {
                  m_machine.Post(std::move(received));
                }),
        m_peers(
            this->MakePeerOptions(),
            {.received =
                 [this](PeerMessageReceived received) {
                   m_inbox.Post(std::move(received));
                 },
             .log =
                 [this](LogRecord record) { m_log.Post(std::move(record)); }}),
        m_engine(m_loop,
                 settings.engine_endpoint,
                 settings.vm,
                 {.event =
                      [this](ControllerEvent event) {
                        m_machine.Post(std::move(event));
                      }}),
        m_store(m_loop,
                settings.store_endpoint,
                this->Memory().store_reply_bytes,
                [this](const std::string& prefix, StoreUpdate update) {
                  std::visit([&](auto& value) { Handle(prefix, value); },
                             update);
                }),
        m_metrics_server(m_loop,
                         ParseEndpoint(settings.metrics_endpoint),
                         {.ready = [] { return true; },
                          .body = [this] { return FormatMetrics(); }}),
        m_signals(
            m_loop,
            {.stop = [this] { m_machine.Post(ControllerDrainRequested{}); },
             .reload = [this] { this->ReloadSettings(); }}) {}

  void Run() {
    m_peers.Start();
    WatcherOptions operator_keys = this->MakeWatcherOptions(
        Protocol::kOperatorPrefix, kControllerWatchTimeout);
    operator_keys.max_retry_delay = kControllerMaxRetryDelay;
    m_store.Watch(std::move(operator_keys));
    this->LogStarted();
    m_loop.Run();
    m_peers.Stop();
    this->Log(LogEvent::kStopped, {{"vm", m_settings.vm}});
  }

 private:
  void Dispatch(const ReadReport& effect) { m_engine.Execute(effect); }
  void Dispatch(const SendEngineOrder& effect) { m_engine.Execute(effect); }
  void Dispatch(SendToEndpoint effect) { m_peers.Post(std::move(effect)); }
  void Dispatch(LogEffect effect) { m_log.Post(std::move(effect.record)); }
  void Dispatch(const ControllerDrained&) { m_loop.Quit(); }
  void Dispatch(const RequestFence&) {
    this->RequestRunNumber(m_store,
                           [this](std::optional<StoreRevision> number) {
                             m_machine.Post(FenceReceived{.fence = number});
                           });
  }

  void Handle(const std::string& /*prefix*/, const KeyChanged& changed) {
    if (changed.item.key != Protocol::kConfigKey)
      return;
    const std::optional<ServingConfig> config =
        this->TryDecodeConfig(changed.item);
    if (!config)
      return;
    if (auto spec = CommonEngineSpec(*config))
      m_machine.Post(EngineSpecReceived{.spec = *std::move(spec),
                                        .version = config->version});
  }
  void Handle(const std::string& prefix, const StoreUnreachable& event) {
    this->LogStoreState(prefix, event);
  }
  void Handle(const std::string& prefix, const StoreReachable& event) {
    this->LogStoreState(prefix, event);
  }
  void Handle(const std::string& prefix, const StoreWatchCut& event) {
    this->LogStoreState(prefix, event);
  }
  void Handle(const std::string& prefix, const StoreReverted& event) {
    this->LogStoreState(prefix, event);
  }
  // A controller ignores all other updates.
  template <typename Update>
  void Handle(const std::string& /*prefix*/, const Update& /*update*/) {}

  std::string FormatMetrics() const {
    return FormatControllerMetrics(m_controller, m_store.calls_sent());
  }

  EngineController m_controller;
  LoopMachineTask<EngineController> m_machine;
  CrossThreadMailbox<PeerMessageReceived> m_inbox;
  PeerTask m_peers;
  EngineTask<typename Protocol::EngineCodec> m_engine;
  StoreTask<typename Protocol::StoreCodec> m_store;
  StatusServer m_metrics_server;
  ProcessSignals m_signals;
};

}  // namespace boragepick
