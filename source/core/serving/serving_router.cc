#include "core/serving/serving_router.h"

#include <algorithm>

namespace boragepick {

namespace {

// Worker entries that expired during an outage of the list are listed again
// within this time after it.
constexpr Duration kRelistGrace = std::chrono::milliseconds(2'300);
// The shortest outage, in heartbeats of workers, in which an entry can expire.
// It takes three heartbeats without a renewal, of which one may have passed
// before; the rest is for heartbeats that are not punctual.
constexpr double kMinExpiryHeartbeats = 1.5;
// Requests already in flight when the connections are closed arrive within this
// time.
constexpr Duration kInFlightGrace = std::chrono::milliseconds(300);
// Models without any local copy are only known once the worker list has not
// grown for this long.
constexpr Duration kListSettleTime = std::chrono::milliseconds(1'200);
constexpr Duration kPreloadPeriod = std::chrono::milliseconds(500);

}  // namespace

ServingRouter::ServingRouter(ServingOptions options)
    : m_state(std::move(options)),
      m_requests(m_state),
      m_slots({.max_store_loads = m_state.options.store_loads}) {}

std::vector<ServingEffect> ServingRouter::Handle(TimePoint now,
                                                 ServingEvent event) {
  std::visit([this, now](auto& value) { On(now, value); }, event);
  m_requests.DispatchWoken(now);
  ForwardFleetEffects(now);
  ForwardColdPlaces(now);
  CheckKeys(now);
  if (m_draining)
    CheckDrain(now);
  m_ready = m_state.config != nullptr && m_keys_current && !m_draining &&
            m_state.workers.size() > 0;
  return std::exchange(m_state.effects, {});
}

TimePoint ServingRouter::NextTick(TimePoint now) const {
  return std::min({m_requests.NextCheck(), m_state.cold_workers.NextTick(now),
                   now + ServingFleet::kPollInterval});
}

void ServingRouter::On(TimePoint now, RequestArrived& event) {
  m_requests.OnRequest(now, std::move(event.request));
}

void ServingRouter::On(TimePoint now, const CallerDisconnected& event) {
  m_requests.OnCallerDisconnected(now, event.id, event.reason);
}

void ServingRouter::On(TimePoint now, const ResponseUnsent& event) {
  m_requests.OnResponseUnsent(now, event.id, event.bytes, event.total);
}

void ServingRouter::On(TimePoint now, AttemptHeadReceived& event) {
  m_requests.OnResponseHead(now, event.attempt, std::move(event.head));
}

void ServingRouter::On(TimePoint now, const AttemptBodyReceived& event) {
  m_requests.OnResponseBody(now, event.attempt, event.bytes);
}

void ServingRouter::On(TimePoint now, const AttemptCompleted& event) {
  m_requests.OnAttemptCompleted(now, event.attempt, event.ended_by_close);
}

void ServingRouter::On(TimePoint now, const AttemptFailed& event) {
  m_requests.OnAttemptFailed(now, event.attempt, event.failure);
}

void ServingRouter::On(TimePoint now, ConfigReceived& event) {
  const std::uint64_t version = event.config->config().version;
  m_stored_config_version = version;
  // A late or stale reply, or a store that came back from an older copy, must
  // not restore an older configuration.
  if (m_state.config && version <= m_state.config->config().version)
    return;
  m_state.config = std::move(event.config);
  m_state.Log(LogEvent::kConfigApplied, {{"version", std::to_string(version)}});
  m_state.Emit(ApplyCallerLimits{.limits = m_state.config->config().limits});
  m_requests.OnConfigChanged(now);
}

void ServingRouter::On(TimePoint now, const WorkerListed& event) {
  m_missing_workers.erase(event.entry.id);
  const Worker* previous = m_state.workers.Find(event.entry.id);
  const bool is_new = previous == nullptr || previous->entry.contents.born !=
                                                 event.entry.contents.born;
  const bool was_ready =
      previous != nullptr && previous->entry.state == WorkerState::kReady;
  m_state.cold_workers.OnWorkerListed(now, event.entry);
  if (!m_state.workers.AddOrUpdate(now, event.entry))
    return;
  if (is_new) {
    m_last_worker_added_at = now;
    m_state.Log(LogEvent::kWorkerListed,
                {{"worker", event.entry.id},
                 {"service", event.entry.service},
                 {"address", event.entry.address},
                 {"born", std::to_string(event.entry.contents.born)}});
  }
  if (was_ready && event.entry.state == WorkerState::kDraining)
    m_state.Log(LogEvent::kWorkerLeaving, {{"worker", event.entry.id}});
  m_requests.OnWorkerChanged(*m_state.workers.Find(event.entry.id));
}

void ServingRouter::On(TimePoint now, const WorkerUnlisted& event) {
  Unlist(now, event.id);
}

void ServingRouter::On(TimePoint now, const WorkersSynced& event) {
  for (const std::string& id : m_state.workers.FindUnlisted(event.ids))
    Unlist(now, id);
}

void ServingRouter::On(TimePoint /*now*/,
                       const WorkerListUnavailable& /*event*/) {
  m_list_unavailable = true;
}

void ServingRouter::On(TimePoint now, const WorkerListRestored& event) {
  m_list_unavailable = false;
  const Duration heartbeat = m_state.options.worker_heartbeat;
  const TimePoint started_at = now - event.outage;
  if (started_at - m_outage_ended_at >= heartbeat)
    m_outage_started_at = started_at;
  m_outage_ended_at = now;
  const double heartbeats =
      ToSeconds(now - m_outage_started_at) / ToSeconds(heartbeat);
  // After a short interruption, a worker that is missing has left.
  if (heartbeats >= kMinExpiryHeartbeats)
    m_relist_until = now + kRelistGrace;
}

void ServingRouter::RemoveMissingWorkers(TimePoint now) {
  if (m_missing_workers.empty() || m_list_unavailable || now < m_relist_until)
    return;
  for (const std::string& id : std::exchange(m_missing_workers, {}))
    Unlist(now, id);
}

void ServingRouter::EndMissingEvacuations(TimePoint now) {
  if (now < m_rewritten_until)
    return;
  for (const std::string& name : std::exchange(m_missing_evacuations, {}))
    On(now, EvacuationEnded{.data_centre = name});
}

void ServingRouter::Unlist(TimePoint now, const std::string& id) {
  if (m_list_unavailable || now < m_relist_until) {
    const bool is_known = m_state.workers.Find(id) != nullptr;
    if (is_known && m_missing_workers.insert(id).second)
      m_state.Log(LogEvent::kWorkerMissing, {{"worker", id}});
    return;
  }
  if (!m_state.workers.Remove(id))
    return;
  m_state.cold_workers.OnWorkerRemoved(id);
  m_state.Log(LogEvent::kWorkerGone, {{"worker", id}});
  m_state.Emit(CloseWorkerConnections{.worker = id});
}

void ServingRouter::On(TimePoint /*now*/, const ConfigConfirmed& event) {
  if (m_state.config_confirmed && event.at <= m_state.config_confirmed_at)
    return;
  // Versions newer than the stored one were lost and are yet to be written
  // again, possibly followed by a newer one.
  if (m_state.config &&
      m_stored_config_version < m_state.config->config().version)
    return;
  m_state.config_confirmed = true;
  m_state.config_confirmed_at = event.at;
  m_state.cold_workers.owners().Confirm(event.at);
}

void ServingRouter::On(TimePoint now, const EvacuationRequested& event) {
  m_missing_evacuations.erase(event.data_centre);
  const TimePoint effect = m_state.EvacuationEffect(now);
  if (!m_state.evacuations.Request(now, event.data_centre, event.revision,
                                   effect))
    return;
  const Duration left = std::max(Duration::zero(), effect - now);
  m_state.Log(LogEvent::kEvacuationRequested,
              {{"data_centre", event.data_centre},
               {"revision", std::to_string(event.revision)},
               {"in_effect_ms", FormatMilliseconds(left)}});
  m_requests.OnEvacuationsChanged();
  m_requests.LoadDisplacedModels(now);
}

void ServingRouter::On(TimePoint now, const EvacuationEnded& event) {
  if (now < m_rewritten_until) {
    if (m_state.evacuations.IsRequested(event.data_centre))
      m_missing_evacuations.insert(event.data_centre);
    return;
  }
  if (m_state.evacuations.End(event.data_centre))
    OnEvacuationEnded(now, event.data_centre);
}

void ServingRouter::On(TimePoint now, const EvacuationsSynced& event) {
  for (const std::string& data_centre :
       m_state.evacuations.Sync(event.data_centres))
    On(now, EvacuationEnded{.data_centre = data_centre});
  m_requests.OnEvacuationsChanged();
}

void ServingRouter::OnEvacuationEnded(TimePoint now,
                                      const std::string& data_centre) {
  m_state.Log(LogEvent::kEvacuationEnded, {{"data_centre", data_centre}});
  m_state.cold_workers.SuspectCold(now, data_centre);
  m_requests.OnEvacuationsChanged();
}

void ServingRouter::On(TimePoint now, const StoreReverted& event) {
  m_rewritten_until = now + kRelistGrace;
  m_relist_until = std::max(m_relist_until, m_rewritten_until);
  // Entries may be back from before their workers drained.
  for (const auto& [id, worker] : m_state.workers.workers()) {
    if (worker.entry.state == WorkerState::kDraining)
      m_state.workers.RecordLeaving(now, id, worker.entry.contents.born);
  }
  m_state.fleet.Handle(now, event);
}

void ServingRouter::On(TimePoint now, const RouterRecordReceived& event) {
  m_state.cold_workers.owners().AddRouter(now, event.record.vm);
  if (m_state.fleet.Handle(now, event))
    m_requests.SendConvictions(now, event.record);
}

template <typename FleetEvent>
void ServingRouter::On(TimePoint now, const FleetEvent& event) {
  if constexpr (std::is_same_v<FleetEvent, RouterRecordRemoved>)
    m_state.cold_workers.owners().RemoveRouter(now, event.vm);
  if constexpr (std::is_same_v<FleetEvent, RouterRecordsSynced>)
    m_state.cold_workers.owners().Retain(now, event.vms);
  m_state.fleet.Handle(now, event);
}

void ServingRouter::ForwardColdPlaces(TimePoint now) {
  ColdWorkers& cold = m_state.cold_workers;
  if (!cold.IsActive())
    return;
  if (cold.TakeArrived()) {
    m_requests.OnColdPlacesArrived();
    m_requests.DispatchWoken(now);
  }
  for (ColdWorkers::Outgoing& outgoing : cold.TakeOutgoing())
    m_state.fleet.SendToVm(outgoing.vm, std::move(outgoing.message));
  for (LogRecord& record : cold.TakeLog())
    m_state.Emit(LogEffect{std::move(record)});
  for (FleetEffect& effect : m_state.fleet.TakeEffects())
    std::visit([this](auto& value) { m_state.Emit(std::move(value)); }, effect);
}

void ServingRouter::ForwardFleetEffects(TimePoint now) {
  m_requests.AdmitQueued(now);
  for (FleetEffect& effect : m_state.fleet.TakeEffects()) {
    std::visit([this](auto& value) { m_state.Emit(std::move(value)); }, effect);
  }
  const std::size_t routers = m_state.fleet.RouterCount();
  if (std::exchange(m_router_count, routers) != routers)
    m_requests.OnRouterCountChanged();
}

void ServingRouter::On(TimePoint now, const PeerMessageReceived& event) {
  if (const auto* request = std::get_if<QuotaLoanRequest>(&event.message))
    return m_state.fleet.Handle(now, event.from.vm, *request);
  if (const auto* loan = std::get_if<QuotaLoan>(&event.message))
    return m_state.fleet.Handle(now, event.from.vm, *loan);
  if (const auto* notice = std::get_if<CrashNotice>(&event.message))
    return m_requests.OnCrashNotice(now, *notice);
  if (const auto* request = std::get_if<SlotRequest>(&event.message))
    return SendGrants(m_slots.HandleRequest(now, event.from, *request));
  if (const auto* grant = std::get_if<SlotGrant>(&event.message))
    return m_requests.OnTrialGrant(now, *grant);
  if (const auto* request = std::get_if<ColdPlaceRequest>(&event.message))
    return m_state.cold_workers.Handle(now, event.from, *request);
  if (const auto* grant = std::get_if<ColdPlaceGrant>(&event.message))
    return m_state.cold_workers.Handle(now, *grant);
  const auto* update = std::get_if<EngineUpdate>(&event.message);
  if (update == nullptr)
    return;
  const Worker* worker = m_state.workers.ApplyEngineUpdate(
      now, IpFromAddress(event.from.endpoint), *update);
  if (worker != nullptr)
    m_requests.OnWorkerChanged(*worker);
}

void ServingRouter::SendGrants(
    const std::vector<SlotSemaphore::Grant>& grants) {
  for (const SlotSemaphore::Grant& grant : grants)
    m_state.Emit(
        SendToEndpoint{.endpoint = grant.endpoint, .message = grant.grant});
}

void ServingRouter::On(TimePoint now, const ServingDrainRequested& /*event*/) {
  if (m_draining)
    return;
  m_draining = true;
  m_drain_started_at = now;
  m_state.fleet.Drain();
  m_requests.Drain(now + m_state.options.drain_notice,
                   now + m_state.options.drain_limit);
  m_state.Log(LogEvent::kDraining,
              {{"open", std::to_string(m_requests.open())}});
}

void ServingRouter::On(TimePoint now, const ServingTicked& /*event*/) {
  m_state.fleet.Tick(now);
  RemoveMissingWorkers(now);
  EndMissingEvacuations(now);
  SendGrants(m_slots.Tick(now));
  m_state.cold_workers.Tick(now);
  m_requests.Tick(now);
  if (now < m_next_preload || now - m_last_worker_added_at < kListSettleTime)
    return;
  m_next_preload = now + kPreloadPeriod;
  m_requests.PreloadModels(now);
}

void ServingRouter::CheckKeys(TimePoint now) {
  const bool is_current = m_state.AreKeysCurrent(now);
  if (is_current == m_keys_current)
    return;
  m_keys_current = is_current;
  m_state.Log(is_current ? LogEvent::kKeysCurrent : LogEvent::kKeysStale,
              {{"proof_age_ms",
                FormatMilliseconds(now - m_state.config_confirmed_at)}});
}

void ServingRouter::CheckDrain(TimePoint now) {
  if (m_drained)
    return;
  const Duration drain_time = now - m_drain_started_at;
  if (drain_time < m_state.options.drain_notice)
    return;
  if (!std::exchange(m_stopped_accepting, true)) {
    m_state.Emit(StopAccepting{});
    return;
  }
  // Requests in flight when their connection was closed arrive a little later.
  const bool done =
      drain_time >= m_state.options.drain_notice + kInFlightGrace &&
      m_requests.open() == 0;
  if (!done && drain_time < m_state.options.drain_limit)
    return;
  m_requests.EndAll(now);
  m_drained = true;
  m_state.Emit(ServingDrained{});
}

}  // namespace boragepick
