// The gateway process, and the parts that it shares with the controller
// process. One event loop runs all tasks except the peer task and the log task.
// `Protocol` bundles the codecs of the deployment's formats.
#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <variant>

#include "common/hashing.h"
#include "core/engine/engine_controller.h"
#include "core/scheduling/memory_plan.h"
#include "core/serving/serving_router.h"
#include "core/store/rejected_keys.h"
#include "frontends/log_task.h"
#include "frontends/loop/cross_thread_mailbox.h"
#include "frontends/loop/loop_machine_task.h"
#include "frontends/peer_task.h"
#include "frontends/serving/caller_frontend.h"
#include "frontends/serving/engine_task.h"
#include "frontends/serving/process_signals.h"
#include "frontends/serving/serving_settings.h"
#include "frontends/serving/status_server.h"
#include "frontends/serving/store_task.h"
#include "frontends/serving/upstream_task.h"
#include "wire/record_codec.h"

namespace boragepick {

// The formats of one deployment: the protocols of callers, store and engines,
// and the documents in the store.
template <typename P>
concept ServingProtocol = requires(const std::string& id,
                                   std::string_view text) {
  requires CallerProtocol<typename P::CallerCodec>;
  requires StoreProtocol<typename P::StoreCodec>;
  requires EngineProtocol<typename P::EngineCodec>;
  { P::DecodeConfig(text) } -> std::same_as<ServingConfig>;
  { P::DecodeWorker(id, text) } -> std::same_as<WorkerEntry>;
  { P::kOperatorPrefix } -> std::convertible_to<std::string_view>;
  { P::kConfigKey } -> std::convertible_to<std::string_view>;
  { P::kWorkerPrefix } -> std::convertible_to<std::string_view>;
  { P::kEvacuationPrefix } -> std::convertible_to<std::string_view>;
};

inline constexpr Duration kRunNumberRetryDelay = std::chrono::milliseconds(300);
// Changes to worker entries are read in batches: the entries change with every
// engine order, and controllers report the same changes earlier. Returns half
// of the shortest time within which a change must take effect; a withdrawn key
// must be known to be withdrawn before its time is over.
inline Duration WorkerBatchDelay(const ServingSettings& settings) {
  return std::chrono::milliseconds(
             std::min({settings.config_apply_ms, settings.worker_drain_ms,
                       settings.key_revocation_ms, settings.evacuation_ms})) /
         2;
}
// Routers send to a worker that turned cold as to a warm one until they learn
// of it.
inline Duration WorkerEntryDelay(const ServingSettings& settings) {
  constexpr Duration kMaxDelayOfColdWorkers = std::chrono::seconds(1);
  return settings.cold_overage > 0
             ? std::min(kMaxDelayOfColdWorkers, WorkerBatchDelay(settings))
             : WorkerBatchDelay(settings);
}
// When many routers start, each one's watch would return for each record of the
// others. A writer learns of a conflict from the reply to its write.
inline constexpr Duration kRecordBatchDelay = std::chrono::milliseconds(500);
inline constexpr Duration kGatewayWatchTimeout =
    std::chrono::milliseconds(1'500);

// The parts that both processes share: event loop, log, settings and access to
// the store.
template <ServingProtocol Protocol>
class ServingProcessBase {
 public:
  explicit ServingProcessBase(const ServingSettings& settings)
      : m_settings(settings),
        m_log("", settings.log_decisions),
        m_incarnation(static_cast<Incarnation>(
            ReadBootClock().time_since_epoch().count())) {}

 protected:
  PeerOptions MakePeerOptions() const {
    return {.self = {.vm = m_settings.vm,
                     .incarnation = m_incarnation,
                     .endpoint = m_settings.peer_endpoint}};
  }
  MemoryPlan Memory() const { return PlanMemory(m_settings.memory_mb); }
  std::uint64_t RandomSeed() const {
    return StableHash(m_settings.vm, m_incarnation);
  }
  WatcherOptions MakeWatcherOptions(std::string_view prefix,
                                    Duration timeout) const {
    return {.prefix = std::string(prefix),
            .watch_timeout = timeout,
            .random_seed = RandomSeed()};
  }
  void Log(LogEvent event, std::vector<LogField> fields) {
    m_log.Post({.event = event, .fields = std::move(fields)});
  }
  void LogStarted() {
    Log(LogEvent::kStarted,
        {{"role", std::string(kServingRoleNames.Name(m_settings.role))},
         {"vm", m_settings.vm},
         {"data_centre", m_settings.data_centre},
         {"http", m_settings.http_endpoint},
         {"peers", m_settings.peer_endpoint},
         {"store", m_settings.store_endpoint}});
    LogAdjusted(m_settings);
  }
  void LogAdjusted(const ServingSettings& settings) {
    if (!settings.adjusted.empty())
      Log(LogEvent::kLimitsAdjusted, {{"limits", settings.adjusted}});
  }
  // Reads the settings file again and applies the settings that can change in a
  // running process.
  void ReloadSettings() {
    try {
      const ServingSettings next =
          ParseServingSettings(ReadWholeFile(m_settings.file), m_settings.file);
      const SettingChanges changes = CompareSettings(m_settings, next);
      m_log.SetDecisions(next.log_decisions);
      Log(LogEvent::kReloaded, {{"file", m_settings.file},
                                {"applied", changes.applied},
                                {"need_restart", changes.need_restart}});
      LogAdjusted(next);
    } catch (const Error& error) {
      Log(LogEvent::kReloadRejected, {{"detail", error.what()}});
    }
  }
  void LogStoreState(const std::string& prefix, const StoreUnreachable& event) {
    Log(LogEvent::kPlatformUnreachable,
        {{"prefix", prefix}, {"why", event.why}});
  }
  void LogStoreState(const std::string& prefix, const StoreReachable& event) {
    Log(LogEvent::kPlatformRegained,
        {{"prefix", prefix}, {"outage_ms", FormatMilliseconds(event.outage)}});
  }
  void LogStoreState(const std::string& /*prefix*/,
                     const StoreReverted& event) {
    Log(LogEvent::kStoreReverted,
        {{"old_era", std::to_string(event.old_era)},
         {"era", std::to_string(event.era)},
         {"silence_ms", FormatMilliseconds(event.silence)}});
  }
  void LogStoreState(const std::string& prefix, const StoreWatchCut&) {
    Log(LogEvent::kWatchCut, {{"prefix", prefix}});
  }

  // Obtains a number for this run of the process by a write to the store, whose
  // revision grows with each write, so that each run has a greater number than
  // the run before. The callback gets no value if the write failed.
  template <typename Store>
  void RequestRunNumber(
      Store& store,
      std::function<void(std::optional<StoreRevision>)> callback) const {
    store.Write(
        {.key = kIncarnationPrefix + m_settings.vm, .value = m_settings.vm},
        [callback = std::move(callback)](const StoreWriteReply& reply) {
          callback(reply.outcome == WriteOutcome::kWritten
                       ? std::optional(reply.revision)
                       : std::nullopt);
        });
  }

  // Decodes the configuration. One that can't be decoded is logged and ignored;
  // the last valid one remains in effect.
  std::optional<ServingConfig> TryDecodeConfig(const StoreItem& item) {
    try {
      return Protocol::DecodeConfig(item.value);
    } catch (const Error& error) {
      Log(LogEvent::kConfigRejected,
          {{"key", item.key},
           {"revision", std::to_string(item.revision)},
           {"detail", error.what()}});
      return std::nullopt;
    }
  }

  const ServingSettings& m_settings;
  EventLoop m_loop;
  LogTask m_log;
  Incarnation m_incarnation;
};

template <ServingProtocol Protocol>
class GatewayProcess : private ServingProcessBase<Protocol> {
  using Base = ServingProcessBase<Protocol>;
  using Base::m_log;
  using Base::m_loop;
  using Base::m_settings;
  using CallerCodec = typename Protocol::CallerCodec;

 public:
  explicit GatewayProcess(const ServingSettings& settings)
      : Base(settings),
        m_router(MakeRouterOptions()),
        m_machine(
            m_loop,
            m_router,
            {.on_effect =
                 [this](ServingEffect effect) {
                   std::visit(
                       [this](auto& value) { Dispatch(std::move(value)); },
                       effect);
                 },
             .on_ready_changed = [this](bool ready) { m_ready = ready; }}),
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
        m_frontend(
            m_loop,
            ParseEndpoint(settings.http_endpoint),
            {.event = MakeEventCallback(),
             .log =
                 [this](LogRecord record) { m_log.Post(std::move(record)); }},
            {.max_request_bytes = this->Memory().request_bytes,
             .max_unsent_bytes = this->Memory().max_unsent_bytes}),
        m_upstreams(m_loop, MakeEventCallback()),
        m_store(m_loop,
                settings.store_endpoint,
                this->Memory().store_reply_bytes,
                [this](const std::string& prefix, StoreUpdate update) {
                  std::visit([&](auto& value) { Handle(prefix, value); },
                             update);
                }),
        m_ready_server(m_loop,
                       ParseEndpoint(settings.ready_endpoint),
                       {.ready = [this] { return m_ready; },
                        .body = [] { return std::string(); }}),
        m_metrics_server(m_loop,
                         ParseEndpoint(settings.metrics_endpoint),
                         {.ready = [] { return true; },
                          .body = [this] { return FormatMetrics(); }}),
        m_signals(m_loop,
                  {.stop = [this] { Drain(); },
                   .reload = [this] { this->ReloadSettings(); }}) {}

  void Run() {
    m_peers.Start();
    // One watch of all keys needs a third of the calls of three watches.
    WatcherOptions all_keys =
        this->MakeWatcherOptions("", kGatewayWatchTimeout);
    all_keys.batched = {
        {.prefix = std::string(Protocol::kWorkerPrefix),
         .delay = WorkerEntryDelay(m_settings)},
        {.prefix = kRecordPrefix, .delay = kRecordBatchDelay},
        {.prefix = kIncarnationPrefix, .delay = WorkerBatchDelay(m_settings)}};
    m_store.Watch(std::move(all_keys));
    this->LogStarted();
    RequestIncarnation();
    m_loop.Run();
    m_peers.Stop();
    this->Log(LogEvent::kStopped, {{"vm", m_settings.vm}});
  }

 private:
  // Time in which the last responses are sent.
  static constexpr Duration kExitDelay = std::chrono::milliseconds(150);

  void RequestIncarnation() {
    this->RequestRunNumber(
        m_store, [this](std::optional<StoreRevision> number) {
          if (number) {
            m_machine.Post(IncarnationReceived{.incarnation = *number});
            return;
          }
          m_loop.StartTimer(ReadBootClock() + kRunNumberRetryDelay,
                            [this] { RequestIncarnation(); });
        });
  }

  ServingOptions MakeRouterOptions() const {
    using std::chrono::milliseconds;
    constexpr double kPercent = 100;
    return {
        .vm = m_settings.vm,
        .data_centre = m_settings.data_centre,
        .endpoint = m_settings.peer_endpoint,
        .random_seed = this->RandomSeed(),
        .key_revocation = milliseconds(m_settings.key_revocation_ms),
        .controller_port = m_settings.controller_port,
        .store_loads = static_cast<std::size_t>(m_settings.weight_store_loads),
        .retry_share = static_cast<double>(m_settings.retry_percent) / kPercent,
        .retry_reserve = static_cast<double>(m_settings.retry_reserve),
        .quota_slack = m_settings.quota_slack,
        .cold_overage = m_settings.cold_overage,
        .cold_slack = m_settings.cold_slack,
        .worker_heartbeat = milliseconds(m_settings.worker_heartbeat_ms),
        .evacuation = milliseconds(m_settings.evacuation_ms),
        .await_evacuations = true,
        .regions = m_settings.regions,
        .response_flow = {.pool_bytes = this->Memory().response_pool_bytes},
        .drain_limit = DrainLimit()};
  }

  Duration DrainLimit() const {
    // The process must exit before it is killed at the end of the grace period.
    constexpr auto kExitMargin = std::chrono::milliseconds(400);
    return std::chrono::seconds(m_settings.grace_s) - kExitMargin;
  }

  std::function<void(ServingEvent)> MakeEventCallback() {
    return [this](ServingEvent event) { m_machine.Post(std::move(event)); };
  }

  void Dispatch(const SendAttempt& effect) { m_upstreams.Execute(effect); }
  void Dispatch(const CancelAttempt& effect) { m_upstreams.Execute(effect); }
  void Dispatch(const PauseAttempt& effect) { m_upstreams.Execute(effect); }
  void Dispatch(const ResumeAttempt& effect) { m_upstreams.Execute(effect); }
  void Dispatch(const CloseWorkerConnections& effect) {
    m_upstreams.Execute(effect);
  }
  void Dispatch(const WriteSharePage& effect) {
    m_store.Write(
        {.key = ShareKey(effect.page.page),
         .value = EncodeValue(effect.page),
         .expected_revision = static_cast<StoreRevision>(effect.page.revision)},
        [this](const StoreWriteReply& reply) {
          // After a conflict, the page keeps its old state until the stored
          // one is known, which the watch may deliver late.
          for (const StoreItem& item : reply.current)
            Handle("", KeyChanged{.item = item});
          m_machine.Post(SharePageWritten{
              .outcome = reply.outcome,
              .revision = static_cast<Revision>(reply.revision)});
        });
  }
  void Dispatch(const PublishRouterRecord& effect) {
    m_store.MaintainRecord(std::string(kRouterPrefix) + effect.record.vm,
                           EncodeValue(effect.record));
  }
  void Dispatch(SendToEndpoint effect) { m_peers.Post(std::move(effect)); }
  void Dispatch(LogEffect effect) { m_log.Post(std::move(effect.record)); }
  void Dispatch(const StopAccepting&) { m_frontend.Finish(); }
  void Dispatch(const ServingDrained&) {
    m_loop.StartTimer(ReadBootClock() + kExitDelay,
                      [this] { QuitOnceResponsesAreSent(); });
  }
  // All effects that concern responses and callers.
  template <typename CallerEffect>
  void Dispatch(CallerEffect effect) {
    m_frontend.Execute(std::move(effect));
  }

  void Handle(const std::string& /*prefix*/, const KeyChanged& changed) {
    const StoreItem& item = changed.item;
    try {
      if (item.key == Protocol::kConfigKey)
        HandleConfig(item);
      else if (const auto evacuated = EvacuatedDataCentre(item.key))
        m_machine.Post(EvacuationRequested{
            .data_centre = *evacuated,
            .revision = static_cast<Revision>(item.revision)});
      else if (item.key.starts_with(Protocol::kWorkerPrefix))
        m_machine.Post(
            WorkerListed{.entry = Protocol::DecodeWorker(
                             WorkerIdFromKey(item.key), item.value)});
      else if (item.key.starts_with(kRouterPrefix))
        m_machine.Post(RouterRecordReceived{
            .record = DecodeRouterRecord(item.value),
            .revision = static_cast<Revision>(item.revision)});
      else if (item.key.starts_with(kFeedPrefix))
        HandleSharePage(item);
      m_rejected_keys.Remove(item.key);
    } catch (const Error& error) {
      if (m_rejected_keys.Add(item.key))
        this->Log(LogEvent::kConfigRejected,
                  {{"key", item.key}, {"detail", error.what()}});
      // A worker whose entry can't be decoded is not used.
      if (item.key.starts_with(Protocol::kWorkerPrefix))
        m_machine.Post(WorkerUnlisted{.id = WorkerIdFromKey(item.key)});
    }
  }
  static std::string WorkerIdFromKey(const std::string& key) {
    return key.substr(std::string_view(Protocol::kWorkerPrefix).size());
  }
  // Returns the data centre whose evacuation the key requests, if any.
  static std::optional<std::string> EvacuatedDataCentre(
      const std::string& key) {
    constexpr std::string_view kPrefix = Protocol::kEvacuationPrefix;
    if (!key.starts_with(kPrefix) || key.size() == kPrefix.size())
      return std::nullopt;
    return key.substr(kPrefix.size());
  }
  static std::string RouterVmFromKey(const std::string& key) {
    return key.substr(std::string_view(kRouterPrefix).size());
  }
  void HandleSharePage(const StoreItem& item) {
    FeedItem decoded = DecodeFeedValue(item.key, item.value,
                                       static_cast<Revision>(item.revision));
    if (auto* page = std::get_if<SharePage>(&decoded.value))
      m_machine.Post(SharePageReceived{.page = std::move(*page)});
  }
  void HandleConfig(const StoreItem& item) {
    std::optional<ServingConfig> config = this->TryDecodeConfig(item);
    m_config_valid = config.has_value();
    if (config)
      m_machine.Post(ConfigReceived{
          .config = std::make_shared<const ConfigIndex>(std::move(*config))});
  }
  void Handle(const std::string& /*prefix*/, const KeyRemoved& removed) {
    m_rejected_keys.Remove(removed.key);
    if (removed.key.starts_with(Protocol::kWorkerPrefix))
      m_machine.Post(WorkerUnlisted{.id = WorkerIdFromKey(removed.key)});
    else if (const auto evacuated = EvacuatedDataCentre(removed.key))
      m_machine.Post(EvacuationEnded{.data_centre = *evacuated});
    else if (removed.key == Protocol::kConfigKey)
      m_config_valid = false;
    else if (removed.key.starts_with(kRouterPrefix))
      m_machine.Post(RouterRecordRemoved{
          .vm = RouterVmFromKey(removed.key),
          .revision = static_cast<Revision>(removed.revision)});
  }
  void Handle(const std::string& /*prefix*/, const KeysSynced& synced) {
    m_rejected_keys.Retain(synced.keys);
    EvacuationsSynced evacuations;
    m_config_valid = m_config_valid &&
                     std::ranges::find(synced.keys, Protocol::kConfigKey) !=
                         synced.keys.end();
    WorkersSynced workers;
    RouterRecordsSynced routers{.revision =
                                    static_cast<Revision>(synced.revision)};
    for (const std::string& key : synced.keys) {
      if (key.starts_with(Protocol::kWorkerPrefix))
        workers.ids.push_back(WorkerIdFromKey(key));
      else if (const auto evacuated = EvacuatedDataCentre(key))
        evacuations.data_centres.push_back(*evacuated);
      else if (key.starts_with(kRouterPrefix))
        routers.vms.push_back(RouterVmFromKey(key));
    }
    m_machine.Post(std::move(evacuations));
    m_machine.Post(std::move(workers));
    m_machine.Post(std::move(routers));
  }
  void Handle(const std::string& /*prefix*/, const KeysVerified& verified) {
    if (m_config_valid)
      m_machine.Post(ConfigConfirmed{.at = verified.at});
  }
  void Handle(const std::string& prefix, const StoreUnreachable& event) {
    this->LogStoreState(prefix, event);
    m_machine.Post(WorkerListUnavailable{});
  }
  void Handle(const std::string& prefix, const StoreReachable& event) {
    this->LogStoreState(prefix, event);
    m_machine.Post(WorkerListRestored{.outage = event.outage});
  }
  void Handle(const std::string& prefix, const StoreWatchCut& event) {
    this->LogStoreState(prefix, event);
  }

  void Handle(const std::string& /*prefix*/, const StoreEraObserved& event) {
    m_machine.Post(event);
  }
  void Handle(const std::string& prefix, const StoreReverted& event) {
    this->LogStoreState(prefix, event);
    ++m_store_reverts;
    m_machine.Post(event);
  }

  void QuitOnceResponsesAreSent() {
    const TimePoint now = ReadBootClock();
    if (now >= m_exit_deadline || !m_frontend.HasUnsentBytes())
      return m_loop.Quit();
    m_loop.StartTimer(std::min(now + kExitDelay, m_exit_deadline),
                      [this] { QuitOnceResponsesAreSent(); });
  }

  void Drain() {
    if (m_exit_deadline == kNever)
      m_exit_deadline = ReadBootClock() + DrainLimit() + kExitDelay;
    m_frontend.Drain();
    m_machine.Post(ServingDrainRequested{});
  }

  std::string FormatMetrics() const;

  // When a draining process exits even with responses unsent.
  TimePoint m_exit_deadline = kNever;
  ServingRouter m_router;
  LoopMachineTask<ServingRouter> m_machine;
  CrossThreadMailbox<PeerMessageReceived> m_inbox;
  PeerTask m_peers;
  CallerFrontend<CallerCodec> m_frontend;
  UpstreamTask<CallerCodec> m_upstreams;
  StoreTask<typename Protocol::StoreCodec> m_store;
  StatusServer m_ready_server;
  StatusServer m_metrics_server;
  ProcessSignals m_signals;
  RejectedKeys m_rejected_keys;
  std::uint64_t m_store_reverts = 0;
  bool m_ready = false;
  // Whether the latest configuration could be decoded. It is confirmed as the
  // newest only if so.
  bool m_config_valid = false;
};

// Counters of a gateway's tasks.
struct GatewayCounters {
  std::uint64_t store_calls = 0;
  StoreEra store_era = 0;
  std::uint64_t store_reverts = 0;
  std::uint64_t upstream_connections = 0;
  std::size_t caller_connections = 0;
  std::map<ConnectionEnd, std::uint64_t> unanswered_closes;
  std::map<RequestFault, std::uint64_t> rejected_requests;
  // Bytes held of callers' requests, and of responses that callers have not
  // read.
  std::size_t request_bytes = 0;
  std::size_t unsent_response_bytes = 0;
};

// The metrics in the Prometheus text format.
std::string FormatGatewayMetrics(const ServingRouter& router,
                                 const GatewayCounters& counters);

std::string FormatControllerMetrics(const EngineController& controller,
                                    std::uint64_t store_calls);

template <ServingProtocol Protocol>
std::string GatewayProcess<Protocol>::FormatMetrics() const {
  return FormatGatewayMetrics(
      m_router, {.store_calls = m_store.calls_sent(),
                 .store_era = m_store.era(),
                 .store_reverts = m_store_reverts,
                 .upstream_connections = m_upstreams.connections_opened(),
                 .caller_connections = m_frontend.connection_count(),
                 .unanswered_closes = m_frontend.unanswered_closes(),
                 .rejected_requests = m_frontend.rejected(),
                 .request_bytes = m_frontend.request_bytes(),
                 .unsent_response_bytes = m_frontend.unsent_bytes()});
}

}  // namespace boragepick
