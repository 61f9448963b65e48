#include "core/agent/agent.h"

#include <type_traits>
#include <utility>

#include "core/placement/planner.h"

namespace boragepick {

namespace {

constexpr Duration kBusyTick = std::chrono::milliseconds(20);
constexpr Duration kIdleTick = std::chrono::milliseconds(100);
constexpr Duration kSlowTick = std::chrono::milliseconds(100);

}  // namespace

Agent::Agent(const AgentOptions& options)
    : m_state(options), m_units(m_state), m_runs(m_state, m_units) {}

std::vector<AgentEffect> Agent::Handle(TimePoint now, AgentEvent event) {
  std::visit(
      [&](auto&& value) { On(now, std::forward<decltype(value)>(value)); },
      std::move(event));
  CollectFeed(now);
  return std::exchange(m_state.effects, {});
}

TimePoint Agent::NextTick(TimePoint now) const {
  return now + (m_runs.OpenRuns() > 0 ? kBusyTick : kIdleTick);
}

void Agent::On(TimePoint now, PeerMessageReceived event) {
  m_state.roster.RecordRun(event.from.vm, event.from.incarnation);
  std::visit(
      [&](auto&& message) {
        OnPeer(now, event.from, std::forward<decltype(message)>(message));
      },
      std::move(event.message));
}

template <typename Message>
void Agent::OnPeer(TimePoint now, const PeerSender& from, Message message) {
  if constexpr (std::is_same_v<Message, RunRequest> ||
                std::is_same_v<Message, CancelRun> ||
                std::is_same_v<Message, RunCredit>) {
    m_runs.Handle(now, from, std::move(message));
  } else if constexpr (std::is_same_v<Message, FeedFreshness>) {
    m_state.feed.HandleFresh(now, from, message);
  } else if constexpr (std::is_same_v<Message, FeedUpdate>) {
    m_state.feed.HandleUpdate(now, from, message);
  } else if constexpr (std::is_same_v<Message, RosterList>) {
    m_state.feed.HandleRosterList(now, message, m_state.roster);
  } else if constexpr (std::is_same_v<Message, SlotGrant>) {
    m_units.Handle(now, message);
    m_runs.Dispatch(now);
  }
}

void Agent::CollectFeed(TimePoint now) {
  for (FeedEffect& effect : m_state.feed.TakeEffects()) {
    if (auto* changed = std::get_if<FeedChanged>(&effect)) {
      for (const FeedItem& item : changed->items)
        m_state.view.Apply(item);
      m_state.Log(LogEvent::kConfigApplied,
                  {{"revision", std::to_string(m_state.feed.revision())},
                   {"items", std::to_string(changed->items.size())}});
      m_runs.Dispatch(now);
    } else if (auto* roster = std::get_if<RosterReplaced>(&effect)) {
      m_state.roster.Apply(now, roster->list);
    } else if (auto* relay = std::get_if<RelayReplaced>(&effect)) {
      m_state.Log(LogEvent::kRelayChanged, {{"relay", relay->relay}});
    } else if (auto* send = std::get_if<SendToEndpoint>(&effect)) {
      m_state.Emit(std::move(*send));
    }
  }
}

void Agent::On(TimePoint now, const OrderAnswered& event) {
  m_units.Handle(now, event);
  m_runs.Dispatch(now);
}

void Agent::On(TimePoint now, const InventoryReceived& event) {
  m_units.Handle(now, event);
  m_runs.Handle(now, event);
}

void Agent::On(TimePoint now, const Ticked& /*event*/) {
  m_runs.Tick(now);
  if (now >= m_next_slow_tick) {
    m_next_slow_tick = now + kSlowTick;
    m_state.feed.Tick(now, m_state.roster);
    if (m_state.options.pool == kModelPool)
      m_units.Tick(now);
  }
  CheckDrain(now);
}

// --- Drain
// ----------------------------------------------------------------------------------------

void Agent::On(TimePoint now, const DrainRequested& /*event*/) {
  if (m_state.draining)
    return;
  m_state.draining = true;
  m_drain_started = now;
  m_state.Log(LogEvent::kDraining,
              {{"open", std::to_string(m_runs.OpenRuns())}});
}

void Agent::CheckDrain(TimePoint now) {
  if (!m_state.draining || m_drain_done)
    return;
  // Routers that have not yet learned of the drain go on sending requests for a
  // while. Those requests are still served.
  if (now - m_drain_started < m_state.options.drain_grace)
    return;
  m_runs.StopAdmission();
  if (m_runs.OpenRuns() > 0)
    return;
  m_drain_done = true;
  m_state.Emit(DrainCompleted{});
}

// --- Status
// ---------------------------------------------------------------------------------------

void Agent::On(TimePoint now, const OperatorRequestReceived& event) {
  const std::uint64_t id = event.request.id;
  if (std::holds_alternative<GetMetrics>(event.request.action))
    m_state.Emit(OperatorReplied{.id = id, .reply = MakeMetrics(now)});
  else if (std::holds_alternative<GetStatus>(event.request.action))
    m_state.Emit(OperatorReplied{.id = id, .reply = MakeStatus(now)});
  else
    m_state.Emit(OperatorReplied{
        .id = id,
        .reply = OperatorError{
            .code = OperatorErrorCode::kInvalid,
            .message = "resources are read and written at a router"}});
}

StatusReport Agent::MakeStatus(TimePoint now) const {
  StatusReport report{.vm = m_state.options.vm,
                      .data_centre = m_state.options.data_centre,
                      .incarnation = m_state.options.incarnation,
                      .draining = m_state.draining,
                      .revision = m_state.feed.revision(),
                      .relay = m_state.feed.relay(),
                      .nodes = 1,
                      .lowest_in_force = m_state.feed.revision(),
                      .roster_version = m_state.roster.version(),
                      .open_requests = m_runs.OpenRuns()};
  if (m_state.feed.HasView())
    report.view_age = m_state.feed.Age(now);
  for (const ResidentUnit& unit : m_units.Units()) {
    ModelStatus status{.model = unit.name};
    if (unit.residency == Residency::kResident)
      status.resident_vms.push_back(m_state.options.vm);
    if (m_units.IsPermitted(unit.name))
      status.permitted_vms.push_back(m_state.options.vm);
    report.models.push_back(std::move(status));
  }
  return report;
}

MetricsReport Agent::MakeMetrics(TimePoint now) const {
  MetricsReport report;
  const auto add = [&](const std::string& name, const std::string& labels,
                       double value) {
    report.metrics.push_back(
        {.name = "boragepick_" + name, .labels = labels, .value = value});
  };
  const RunMetrics& runs = m_runs.metrics();
  add("runs_taken_total", "", static_cast<double>(runs.received));
  add("runs_started_total", "", static_cast<double>(runs.started));
  for (const auto& [end, count] : runs.ended) {
    add("runs_ended_total",
        "end=\"" + std::string(kRunOutcomeNames.Name(end)) + "\"",
        static_cast<double>(count));
  }
  add("engine_crashes_total", "", static_cast<double>(runs.crashes));
  const UnitMetrics& units = m_units.metrics();
  add("loads_total", "", static_cast<double>(units.loads));
  add("load_failures_total", "", static_cast<double>(units.load_failures));
  add("unloads_total", "", static_cast<double>(units.unloads));
  add("load_seconds_sum", "", units.load_seconds.Sum());
  add("load_seconds_count", "",
      static_cast<double>(units.load_seconds.Count()));
  add("idle_resident_seconds_total", "", units.idle_resident_seconds);
  add("memory_taken_mb", "",
      static_cast<double>(m_units.memory().AllocatedMb()));
  add("memory_capacity_mb", "",
      static_cast<double>(m_units.memory().capacity_mb()));
  add("open_requests", "", static_cast<double>(m_runs.OpenRuns()));
  add("feed_revision", "", static_cast<double>(m_state.feed.revision()));
  if (m_state.feed.HasView())
    add("feed_age_seconds", "", ToSeconds(m_state.feed.Age(now)));
  return report;
}

}  // namespace boragepick
