#include "core/engine/engine_controller.h"

#include <algorithm>
#include <bit>

#include "core/serving/load_planner.h"

namespace boragepick {

namespace {

// Interval between engine reports while a load or an order is pending, and
// otherwise.
constexpr Duration kBusyReportInterval = std::chrono::milliseconds(40);
constexpr Duration kIdleReportInterval = std::chrono::milliseconds(200);
// A load request that is not repeated for this time has expired; routers repeat
// theirs every 600 ms.
constexpr Duration kPendingLoadTimeout = std::chrono::milliseconds(2'000);
// Routers that have sent no load request for this time get no more updates.
constexpr Duration kSubscriptionTimeout = std::chrono::seconds(60);
// After this time the engine's report decides whether an order without an
// answer was accepted.
constexpr Duration kUnansweredOrderTimeout = std::chrono::milliseconds(700);
// Longest delay after which the engine may still execute an unanswered order.
constexpr Duration kMaxOrderDelay = std::chrono::seconds(15);
constexpr Duration kFenceRequestDelay = std::chrono::milliseconds(300);
constexpr std::size_t kMaxAdaptersLoading = 4;
// A granted load slot that is not used for this time is released.
constexpr Duration kUnusedSlotTimeout = std::chrono::seconds(4);
// A pending load is logged as delayed this long after its first request, and
// again after each further interval.
constexpr Duration kDelayLogInterval = std::chrono::seconds(2);

// Routers get an update when the engine's queue length crosses a power of two.
int QueueLevel(std::uint32_t waiting) {
  return std::bit_width(waiting);
}

}  // namespace

std::uint64_t EngineController::PendingLoad::Waiting() const {
  std::uint64_t sum = 0;
  for (const auto& [router, requester] : requesters)
    sum += requester.waiting;
  return sum;
}

bool EngineController::HasPriority(const PendingLoad& left,
                                   const PendingLoad& right) {
  // Adapters first: one loads in a hundredth of the time of a model.
  if (left.adapter.empty() != right.adapter.empty())
    return right.adapter.empty();
  if (left.Waiting() != right.Waiting())
    return left.Waiting() > right.Waiting();
  return left.first_requested < right.first_requested;
}

std::uint64_t EngineController::PendingLoad::MilliRequests() const {
  std::uint64_t sum = 0;
  for (const auto& [router, requester] : requesters)
    sum += requester.milli_requests;
  return sum;
}

std::vector<ControllerEffect> EngineController::Handle(TimePoint now,
                                                       ControllerEvent event) {
  std::visit([this, now](auto& alternative) { On(now, alternative); }, event);
  return std::exchange(m_effects, {});
}

TimePoint EngineController::NextTick(TimePoint now) const {
  TimePoint next = now + kIdleReportInterval;
  if (!m_report_requested)
    next = std::min(next, std::max(now, m_next_report));
  if (!m_fence && !m_fence_requested)
    next = std::min(next, std::max(now, m_next_fence_request));
  return next;
}

void EngineController::On(TimePoint now, const ControllerTicked& /*event*/) {
  if (!m_fence && !m_fence_requested && now >= m_next_fence_request) {
    m_fence_requested = true;
    Emit(RequestFence{});
  }
  RemoveFinishedLoads(now);
  UpdateLoadSlot(now);
  LogDelays(now);
  if (!m_report_requested && now >= m_next_report) {
    m_report_requested = true;
    Emit(ReadReport{});
  }
}

void EngineController::On(TimePoint now, const FenceReceived& event) {
  m_fence_requested = false;
  m_fence = event.fence;
  m_next_fence_request = now + kFenceRequestDelay;
  SendNextOrder(now);
}

void EngineController::On(TimePoint now, EngineSpecReceived& event) {
  // A store that came back from an older copy may have an older configuration.
  if (event.version < m_spec_version)
    return;
  m_spec_version = event.version;
  m_spec = std::move(event.spec);
  SendNextOrder(now);
}

void EngineController::On(TimePoint /*now*/,
                          const ControllerDrainRequested& /*event*/) {
  // The engine finishes a pending order by itself, so the drain is complete at
  // once.
  m_draining = true;
  m_load_slot.Release();
  SendSlotMessages();
  Emit(ControllerDrained{});
}

void EngineController::On(TimePoint now, const PeerMessageReceived& event) {
  if (const auto* request = std::get_if<LoadRequest>(&event.message))
    return HandleLoadRequest(now, event.from.endpoint, *request);
  const auto* grant = std::get_if<SlotGrant>(&event.message);
  if (grant == nullptr)
    return;
  m_load_slot.HandleGrant(now, event.from.endpoint, *grant);
  SendNextOrder(now);
}

void EngineController::HandleLoadRequest(TimePoint now,
                                         const std::string& from,
                                         const LoadRequest& request) {
  m_subscribers[from] = now;
  m_load_slot.SetCoordinators(request.slot_coordinators);
  for (const ModelDemand& demand : request.demands)
    m_demand[demand.model][from] = {.milli_requests = demand.milli_requests,
                                    .running = demand.running,
                                    .at = now};
  if (!request.adapter.empty())
    m_adapter_requested_at[WeightsName(request.model, request.adapter)] = now;
  const bool loaded =
      m_report && m_report->contents.Holds(request.model, request.adapter);
  if (loaded)
    return SendUpdate(from);
  const auto same_weights = [&request](const PendingLoad& load) {
    return load.model == request.model && load.adapter == request.adapter;
  };
  auto found = std::ranges::find_if(m_pending_loads, same_weights);
  bool is_new = false;
  if (found == m_pending_loads.end()) {
    m_pending_loads.push_back({.model = request.model,
                               .adapter = request.adapter,
                               .first_requested = now,
                               .next_delay_log = now + kDelayLogInterval});
    found = std::prev(m_pending_loads.end());
    m_next_report = std::min(m_next_report, now + kBusyReportInterval);
    is_new = true;
  }
  found->last_requested = now;
  found->requesters[from] = {.waiting = request.waiting,
                             .milli_requests = request.milli_requests,
                             .at = now};
  // A new entry changes the queue, by which routers distribute load requests.
  if (is_new)
    SendUpdates(now);
  else
    SendUpdate(from);
  SendNextOrder(now);
}

void EngineController::On(TimePoint now, const ReportRead& event) {
  m_report_requested = false;
  const bool active = !m_pending_loads.empty() || m_order.has_value();
  m_next_report = now + (active ? kBusyReportInterval : kIdleReportInterval);
  if (!event.report)
    return;
  ApplyReport(now, *event.report);
  ResolveOrder(now);
  RemoveFinishedLoads(now);
  SendNextOrder(now);
}

void EngineController::ApplyReport(TimePoint now, const EngineReport& report) {
  const bool restarted =
      m_report && m_report->contents.born != report.contents.born;
  if (restarted) {
    Log(LogEvent::kEngineRestarted,
        {{"vm", m_vm}, {"born", std::to_string(report.contents.born)}});
    if (m_order)
      TrackIfUnconfirmed(*m_order);
    m_order.reset();
    m_load_slot.Release();
    m_memory_reserved_for.clear();
    m_loaded_at.clear();
  }
  const bool changed =
      !m_report || restarted ||
      m_report->accepted_orders != report.accepted_orders ||
      m_report->contents.models != report.contents.models ||
      m_report->busy != report.busy ||
      QueueLevel(m_report->waiting) != QueueLevel(report.waiting);
  m_report = report;
  std::erase_if(m_unconfirmed_orders, [now](const PendingOrder& order) {
    return now - order.sent > kMaxOrderDelay;
  });
  for (const LoadedModel& model : report.contents.models) {
    // Models that were loaded before the first order may be evicted at once.
    m_loaded_at.try_emplace(
        model.name, m_orders_sent == 0 ? now - kMinModelResidency : now);
  }
  std::erase_if(m_loaded_at, [&report](const auto& entry) {
    return report.contents.Find(entry.first) == nullptr;
  });
  UpdateAdapterLoadTimes(now);
  if (changed)
    SendUpdates(now);
}

void EngineController::UpdateAdapterLoadTimes(TimePoint now) {
  std::map<std::string, TimePoint> loaded_at;
  for (const LoadedModel& model : m_report->contents.models) {
    for (const std::string& adapter : model.adapters) {
      const std::string name = WeightsName(model.name, adapter);
      const auto known = m_adapter_loaded_at.find(name);
      loaded_at[name] =
          known == m_adapter_loaded_at.end() ? now : known->second;
    }
  }
  m_adapter_loaded_at = std::move(loaded_at);
}

void EngineController::RemoveFinishedLoads(TimePoint now) {
  for (PendingLoad& load : m_pending_loads) {
    std::erase_if(load.requesters, [now](const auto& requester) {
      return now - requester.second.at > kPendingLoadTimeout;
    });
  }
  std::erase_if(m_pending_loads, [this, now](const PendingLoad& load) {
    return now - load.last_requested > kPendingLoadTimeout ||
           (m_report && m_report->contents.Holds(load.model, load.adapter));
  });
}

void EngineController::On(TimePoint now, const EngineOrderAnswered& event) {
  if (!m_order)
    return;
  m_order->answered = true;
  m_order->outcome = event.outcome;
  Log(LogEvent::kOrderEnded,
      {{"operation",
        std::string(kEngineOrderKindNames.Name(m_order->order.kind))},
       {"weights", WeightsName(m_order->order.model, m_order->order.adapter)},
       {"outcome", std::string(kOrderOutcomeNames.Name(event.outcome))},
       {"after_ms", FormatMilliseconds(now - m_order->sent)}});
  // Only the engine's report shows what the order has changed.
  m_next_report = now;
  if (event.outcome != OrderOutcome::kRefused &&
      event.outcome != OrderOutcome::kNoChange)
    return;
  m_order.reset();
  SendUpdates(now);
}

void EngineController::ResolveOrder(TimePoint now) {
  if (!m_order)
    return;
  const bool accepted = m_report->accepted_orders > m_order->order.precondition;
  const bool adapter_loading =
      std::ranges::find(
          m_report->loading_adapters,
          WeightsName(m_order->order.model, m_order->order.adapter)) !=
      m_report->loading_adapters.end();
  if (accepted && !m_report->busy && !adapter_loading) {
    RecordLoad(now, *m_order);
    m_order.reset();
    return;
  }
  const bool undecided = !accepted && m_order->answered &&
                         m_order->outcome == OrderOutcome::kUnknown;
  // The order may be sent again: both carry the same precondition, so the
  // engine accepts at most one of them.
  if (undecided && now - m_order->sent > kUnansweredOrderTimeout) {
    TrackIfUnconfirmed(*m_order);
    m_order.reset();
  }
}

void EngineController::RecordLoad(TimePoint now, const PendingOrder& pending) {
  const EngineOrder& order = pending.order;
  const bool loaded = order.kind == EngineOrderKind::kLoad &&
                      m_report->contents.Holds(order.model, order.adapter);
  if (!loaded)
    return;
  const Duration took = now - pending.sent;
  std::vector<LogField> fields{
      {"weights", WeightsName(order.model, order.adapter)},
      {"after_ms", FormatMilliseconds(took)}};
  if (order.adapter.empty()) {
    fields.push_back(
        {"from", std::string(kWeightsSourceNames.Name(pending.source))});
    m_load_times[pending.source].Add(took);
  }
  Log(LogEvent::kWeightsLoaded, std::move(fields));
  if (order.model != m_load_slot.model() || !order.adapter.empty())
    return;
  // The model may have been removed from the configuration during the load.
  const auto spec = m_spec->models.find(order.model);
  m_load_slot.Complete(took, spec == m_spec->models.end()
                                 ? Duration::zero()
                                 : spec->second.load_from_store);
}

void EngineController::LogDelays(TimePoint now) {
  for (PendingLoad& load : m_pending_loads) {
    // A load that no request waits for is expected to wait for all others.
    if (now < load.next_delay_log || load.Waiting() == 0)
      continue;
    load.next_delay_log = now + kDelayLogInterval;
    const LoadDelay delay = DelayReason(now, load);
    Log(LogEvent::kLoadDelayed,
        {{"weights", WeightsName(load.model, load.adapter)},
         {"why", std::string(kLoadDelayNames.Name(delay))},
         {"waited_ms", FormatMilliseconds(now - load.first_requested)},
         {"waiting", std::to_string(load.Waiting())},
         {"under_way",
          m_order ? WeightsName(m_order->order.model, m_order->order.adapter)
                  : ""},
         {"under_way_ms",
          m_order ? FormatMilliseconds(now - m_order->sent) : ""},
         {"used_mb",
          m_spec && m_report
              ? std::to_string(static_cast<std::int64_t>(CommittedMb()))
              : ""}});
  }
}

LoadDelay EngineController::DelayReason(TimePoint now,
                                        const PendingLoad& load) const {
  if (!m_fence || !m_spec || !m_report)
    return LoadDelay::kNotReady;
  if (!m_spec->models.contains(load.model))
    return LoadDelay::kNotInConfig;
  if (m_order)
    return LoadDelay::kOrderPending;
  if (m_report->busy)
    return LoadDelay::kEngineBusy;
  if (NeedsStore(load) && !m_load_slot.CanLoad(load.model))
    return LoadDelay::kNoLoadSlot;
  return OrderFor(now, load) ? LoadDelay::kQueuedBehindOther
                             : LoadDelay::kNoEvictionCandidate;
}

bool EngineController::IsLoadingFromStore() const {
  return m_order && m_order->order.kind == EngineOrderKind::kLoad &&
         m_order->order.adapter.empty() &&
         m_order->source == WeightsSource::kStore;
}

void EngineController::TrackIfUnconfirmed(const PendingOrder& pending) {
  const bool unknown =
      !pending.answered || pending.outcome == OrderOutcome::kUnknown;
  if (unknown && pending.order.kind == EngineOrderKind::kLoad)
    m_unconfirmed_orders.push_back(pending);
}

bool EngineController::NeedsStore(const PendingLoad& load) const {
  return load.adapter.empty() &&
         m_report->contents.SourceOf(load.model) == WeightsSource::kStore;
}

void EngineController::UpdateLoadSlot(TimePoint now) {
  const bool loading = IsLoadingFromStore();
  if (m_report && m_spec && !loading) {
    const auto needs_slot = [this](const PendingLoad& load) {
      return NeedsStore(load) && m_spec->models.contains(load.model);
    };
    const auto current =
        std::ranges::find_if(m_pending_loads, [this](const PendingLoad& load) {
          return load.model == m_load_slot.model() && load.adapter.empty();
        });
    const bool unused = m_load_slot.granted_at() != kNever &&
                        now - m_load_slot.granted_at() > kUnusedSlotTimeout;
    const auto load =
        current != m_pending_loads.end() && needs_slot(*current) && !unused
            ? current
            : std::ranges::find_if(m_pending_loads, needs_slot);
    if (unused || load == m_pending_loads.end())
      m_load_slot.Release();
    else
      m_load_slot.Request(now, load->model,
                          static_cast<std::uint32_t>(load->Waiting()));
  }
  m_load_slot.Tick(now);
  SendSlotMessages();
}

void EngineController::SendSlotMessages() {
  for (SendToEndpoint& message : m_load_slot.TakeMessages())
    Emit(std::move(message));
}

void EngineController::SendNextOrder(TimePoint now) {
  const bool possible = m_fence && m_spec && m_report && !m_order &&
                        !m_report->busy && !m_draining;
  if (!possible || m_pending_loads.empty())
    return;
  SortPendingLoads();
  for (const PendingLoad& load : m_pending_loads) {
    if (NeedsStore(load) && !m_load_slot.CanLoad(load.model))
      continue;
    if (auto order = OrderFor(now, load))
      return Send(now, load, *std::move(order));
  }
}

void EngineController::SortPendingLoads() {
  std::ranges::stable_sort(m_pending_loads, HasPriority);
  const auto reserved =
      std::ranges::find_if(m_pending_loads, [this](const PendingLoad& load) {
        return load.adapter.empty() && load.model == m_memory_reserved_for;
      });
  if (reserved == m_pending_loads.end() || reserved->Waiting() == 0)
    return;
  const auto first_model = std::ranges::find_if(
      m_pending_loads,
      [](const PendingLoad& load) { return load.adapter.empty(); });
  // Memory freed for a large model must not be taken by a smaller one.
  std::rotate(first_model, reserved, std::next(reserved));
}

void EngineController::Send(TimePoint now,
                            const PendingLoad& load,
                            EngineOrder order) {
  order.precondition = m_report->accepted_orders;
  order.fence = *m_fence;
  ++m_orders_sent;
  const WeightsSource source = m_report->contents.SourceOf(order.model);
  std::vector<LogField> fields{
      {"operation", std::string(kEngineOrderKindNames.Name(order.kind))},
      {"weights", WeightsName(order.model, order.adapter)},
      {"for", WeightsName(load.model, load.adapter)},
      {"waited_ms", FormatMilliseconds(now - load.first_requested)},
      {"orders", std::to_string(order.precondition)},
      {"used_mb", std::to_string(static_cast<std::int64_t>(CommittedMb()))}};
  if (order.kind == EngineOrderKind::kLoad && order.adapter.empty())
    fields.push_back({"from", std::string(kWeightsSourceNames.Name(source))});
  Log(LogEvent::kOrderSent, std::move(fields));
  const bool unloads = order.kind == EngineOrderKind::kUnload;
  if (order.adapter.empty())
    m_memory_reserved_for = unloads ? load.model : "";
  m_order = PendingOrder{.order = order, .sent = now, .source = source};
  m_next_report = now + kBusyReportInterval;
  Emit(SendEngineOrder{.order = std::move(order)});
  if (unloads)
    SendUpdates(now);
}

std::optional<EngineOrder> EngineController::OrderFor(
    TimePoint now,
    const PendingLoad& load) const {
  if (!m_spec->models.contains(load.model))
    return std::nullopt;
  return load.adapter.empty() ? OrderForModel(now, load)
                              : OrderForAdapter(now, load);
}

std::optional<EngineOrder> EngineController::OrderForModel(
    TimePoint now,
    const PendingLoad& load) const {
  const double needed_mb = m_spec->models.at(load.model).memory_mb;
  if (CommittedMb(load.model) + needed_mb > m_spec->memory_mb)
    return PlanModelEviction(now, load);
  return EngineOrder{.kind = EngineOrderKind::kLoad, .model = load.model};
}

std::optional<EngineOrder> EngineController::OrderForAdapter(
    TimePoint now,
    const PendingLoad& load) const {
  const LoadedModel* loaded = m_report->contents.Find(load.model);
  if (loaded == nullptr ||
      m_report->loading_adapters.size() >= kMaxAdaptersLoading)
    return std::nullopt;
  const std::string weights = WeightsName(load.model, load.adapter);
  const double adapter_mb = m_spec->models.at(load.model).adapter_mb;
  const bool fits = CommittedAdapters(weights) < m_spec->adapter_slots &&
                    CommittedMb(weights) + adapter_mb <= m_spec->memory_mb;
  if (!fits)
    return PlanAdapterEviction(now, load);
  return EngineOrder{.kind = EngineOrderKind::kLoad,
                     .model = load.model,
                     .adapter = load.adapter};
}

EngineUpdate EngineController::MakeUpdate() const {
  EngineUpdate update{.contents = m_report->contents,
                      .busy = m_report->busy,
                      .waiting = m_report->waiting};
  // The engine rejects requests for weights that are being unloaded.
  if (m_order && m_order->order.kind == EngineOrderKind::kUnload)
    update.contents.Drop(m_order->order.model, m_order->order.adapter);
  for (const PendingLoad& load : m_pending_loads)
    update.queued.push_back(WeightsName(load.model, load.adapter));
  return update;
}

void EngineController::SendUpdates(TimePoint now) {
  std::erase_if(m_subscribers, [now](const auto& subscriber) {
    return now - subscriber.second > kSubscriptionTimeout;
  });
  for (const auto& [endpoint, requested_at] : m_subscribers)
    SendUpdate(endpoint);
}

void EngineController::SendUpdate(const std::string& endpoint) {
  if (m_report)
    Emit(SendToEndpoint{.endpoint = endpoint, .message = MakeUpdate()});
}

}  // namespace boragepick
