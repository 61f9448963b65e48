#include "core/serving/serving_router.h"

#include <algorithm>

namespace boragepick {

namespace {

// Entries that lapsed during an outage are back this long after it.
constexpr Duration kReturnTime = std::chrono::milliseconds(2'300);
constexpr Duration kCrossing = std::chrono::milliseconds(300);
// What is at hand nowhere is only known when no more workers come.
constexpr Duration kListSettled = std::chrono::milliseconds(1'200);
constexpr Duration kPreparationPeriod = std::chrono::milliseconds(500);

}  // namespace

ServingRouter::ServingRouter(ServingOptions options)
    : m_state(std::move(options)),
      m_requests(m_state),
      m_slots({.store_loads = m_state.options.store_loads}) {}

std::vector<ServingEffect> ServingRouter::Handle(TimePoint now,
                                                 ServingEvent event) {
  std::visit([this, now](auto& held) { On(now, held); }, event);
  CollectFleet(now);
  CheckKeys(now);
  if (m_draining)
    CheckDrain(now);
  m_ready = m_state.config != nullptr && m_keys_current && !m_draining &&
            m_state.workers.size() > 0;
  return std::exchange(m_state.effects, {});
}

TimePoint ServingRouter::NextTick(TimePoint now) const {
  return std::min(m_requests.NextCheck(), now + ServingFleet::kPollInterval);
}

void ServingRouter::On(TimePoint now, RequestArrived& event) {
  m_requests.Arrive(now, std::move(event.request));
}

void ServingRouter::On(TimePoint now, const CallerDisconnected& event) {
  m_requests.CallerGone(now, event.id);
}

void ServingRouter::On(TimePoint now, AttemptHeadReceived& event) {
  m_requests.Answered(now, event.attempt, std::move(event.head));
}

void ServingRouter::On(TimePoint now, const AttemptBodyReceived& event) {
  m_requests.Bytes(now, event.attempt, event.bytes);
}

void ServingRouter::On(TimePoint now, const AttemptCompleted& event) {
  m_requests.Ended(now, event.attempt);
}

void ServingRouter::On(TimePoint now, const AttemptFailed& event) {
  m_requests.Broken(now, event.attempt, event.failure);
}

void ServingRouter::On(TimePoint now, ConfigReceived& event) {
  const std::uint64_t version = event.config->config().version;
  // why: a late or stale reply must not bring an older configuration back
  if (m_state.config && version <= m_state.config->config().version)
    return;
  m_state.config = std::move(event.config);
  m_state.Log(LogEvent::kConfigApplied, {{"version", std::to_string(version)}});
  m_state.Emit(ApplyCallerLimits{.limits = m_state.config->config().limits});
  m_requests.ConfigChanged(now);
}

void ServingRouter::On(TimePoint now, const WorkerListed& event) {
  m_doubtful.erase(event.entry.id);
  const Worker* before = m_state.workers.Find(event.entry.id);
  const bool is_new = before == nullptr ||
                      before->entry.contents.born != event.entry.contents.born;
  const bool was_ready =
      before != nullptr && before->entry.state == WorkerState::kReady;
  if (!m_state.workers.List(now, event.entry))
    return;
  if (is_new) {
    m_last_new_worker = now;
    m_state.Log(LogEvent::kWorkerListed,
                {{"worker", event.entry.id},
                 {"service", event.entry.service},
                 {"address", event.entry.address},
                 {"born", std::to_string(event.entry.contents.born)}});
  }
  if (was_ready && event.entry.state == WorkerState::kDraining)
    m_state.Log(LogEvent::kWorkerLeaving, {{"worker", event.entry.id}});
  m_requests.Reconsider(now);
}

void ServingRouter::On(TimePoint now, const WorkerUnlisted& event) {
  Unlist(now, event.id);
}

void ServingRouter::On(TimePoint now, const WorkersSynced& event) {
  for (const std::string& id : m_state.workers.Missing(event.ids))
    Unlist(now, id);
}

void ServingRouter::On(TimePoint /*now*/,
                       const WorkerListUnavailable& /*event*/) {
  m_list_lost = true;
}

void ServingRouter::On(TimePoint now, const WorkerListRestored& /*event*/) {
  m_list_lost = false;
  m_return_until = now + kReturnTime;
}

void ServingRouter::CheckDoubtful(TimePoint now) {
  if (m_doubtful.empty() || m_list_lost || now < m_return_until)
    return;
  for (const std::string& id : std::exchange(m_doubtful, {}))
    Unlist(now, id);
}

void ServingRouter::Unlist(TimePoint now, const std::string& id) {
  if (m_list_lost || now < m_return_until) {
    m_doubtful.insert(id);
    return;
  }
  if (!m_state.workers.Unlist(id))
    return;
  m_state.Log(LogEvent::kWorkerGone, {{"worker", id}});
  m_state.Emit(CloseWorkerConnections{.worker = id});
}

void ServingRouter::On(TimePoint /*now*/, const ConfigConfirmed& event) {
  if (m_state.config_confirmed && event.at <= m_state.config_confirmed_at)
    return;
  m_state.config_confirmed = true;
  m_state.config_confirmed_at = event.at;
}

template <typename FleetEvent>
void ServingRouter::On(TimePoint now, const FleetEvent& event) {
  m_state.fleet.Take(now, event);
}

void ServingRouter::CollectFleet(TimePoint now) {
  for (FleetEffect& effect : m_state.fleet.TakeEffects()) {
    std::visit([this](auto& held) { m_state.Emit(std::move(held)); }, effect);
  }
  const std::size_t routers = m_state.fleet.RouterCount();
  if (std::exchange(m_routers, routers) != routers)
    m_requests.RoutersChanged();
  m_requests.PumpTokens(now);
}

void ServingRouter::On(TimePoint now, const PeerReceived& event) {
  if (const auto* ask = std::get_if<QuotaAsk>(&event.message))
    return m_state.fleet.Take(now, event.from.vm, *ask);
  if (const auto* loan = std::get_if<QuotaLoan>(&event.message))
    return m_state.fleet.Take(now, event.from.vm, *loan);
  if (const auto* notice = std::get_if<CrashNotice>(&event.message))
    return m_requests.TakeCrash(now, *notice);
  if (const auto* ask = std::get_if<SlotAsk>(&event.message))
    return SendGrants(m_slots.HandleAsk(now, event.from, *ask));
  const auto* news = std::get_if<EngineNews>(&event.message);
  if (news == nullptr)
    return;
  if (m_state.workers.TakeNews(now, IpOf(event.from.endpoint), *news) !=
      nullptr)
    m_requests.Reconsider(now);
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
  m_drain_started = now;
  m_state.fleet.Drain();
  m_state.Log(LogEvent::kDraining,
              {{"open", std::to_string(m_requests.open())}});
}

void ServingRouter::On(TimePoint now, const ServingTicked& /*event*/) {
  m_state.fleet.Tick(now);
  CheckDoubtful(now);
  SendGrants(m_slots.Tick(now));
  m_requests.Tick(now);
  if (now < m_next_preparation || now - m_last_new_worker < kListSettled)
    return;
  m_next_preparation = now + kPreparationPeriod;
  m_requests.PrepareModels(now);
}

void ServingRouter::CheckKeys(TimePoint now) {
  const bool current = m_state.AreKeysCurrent(now);
  if (current == m_keys_current)
    return;
  m_keys_current = current;
  m_state.Log(
      current ? LogEvent::kKeysCurrent : LogEvent::kKeysStale,
      {{"proof_age_ms", MillisecondsText(now - m_state.config_confirmed_at)}});
}

void ServingRouter::CheckDrain(TimePoint now) {
  if (m_drained)
    return;
  const Duration drained_for = now - m_drain_started;
  if (drained_for < m_state.options.drain_notice)
    return;
  if (!std::exchange(m_stopped_accepting, true)) {
    m_state.Emit(StopAccepting{});
    return;
  }
  // why: requests that crossed the closing of their connection arrive a little
  // later
  const bool done = drained_for >= m_state.options.drain_notice + kCrossing &&
                    m_requests.open() == 0;
  if (!done && drained_for < m_state.options.drain_limit)
    return;
  m_requests.EndAll(now);
  m_drained = true;
  m_state.Emit(ServingDrained{});
}

}  // namespace boragepick
