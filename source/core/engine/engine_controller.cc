#include "core/engine/engine_controller.h"

#include <algorithm>
#include <bit>

#include "core/serving/load_planner.h"

namespace boragepick {

namespace {

// The engine's account is read so often while something is to be done, and
// while nothing is.
constexpr Duration kReadWhileBusy = std::chrono::milliseconds(40);
constexpr Duration kReadWhileIdle = std::chrono::milliseconds(200);
// A need that nobody repeats is over; routers repeat theirs every 600 ms.
constexpr Duration kNeedLife = std::chrono::milliseconds(2'000);
// Routers that have not asked for so long are told nothing more.
constexpr Duration kListenerLife = std::chrono::seconds(60);
// An order without an answer is decided by the engine's account after so long.
constexpr Duration kOrderPatience = std::chrono::milliseconds(700);
// An order without an answer is carried out at most so much later.
constexpr Duration kLongestOrderDelay = std::chrono::seconds(15);
constexpr Duration kFenceAskPause = std::chrono::milliseconds(300);
constexpr std::size_t kMaxAdaptersComing = 4;
// A place at the weight store that can't be used for so long goes to others.
constexpr Duration kUnusedPlace = std::chrono::seconds(4);
// Weights that have waited for so long since they were asked for, or since the
// last line about them, get a line in the log.
constexpr Duration kDelayWorthLogging = std::chrono::seconds(2);

// Routers are told of the queue when it crosses a power of two.
int LoadStep(std::uint32_t waiting) {
  return std::bit_width(waiting);
}

}  // namespace

std::uint64_t EngineController::Need::Waiting() const {
  std::uint64_t sum = 0;
  for (const auto& [router, asker] : askers)
    sum += asker.waiting;
  return sum;
}

bool EngineController::GoesBefore(const Need& left, const Need& right) {
  // why: an adapter takes a hundredth of the time of a model
  if (left.adapter.empty() != right.adapter.empty())
    return right.adapter.empty();
  if (left.Waiting() != right.Waiting())
    return left.Waiting() > right.Waiting();
  return left.first_asked < right.first_asked;
}

std::uint64_t EngineController::Need::MilliRequests() const {
  std::uint64_t sum = 0;
  for (const auto& [router, asker] : askers)
    sum += asker.milli_requests;
  return sum;
}

std::vector<ControllerEffect> EngineController::Handle(TimePoint now,
                                                       ControllerEvent event) {
  std::visit([this, now](auto& held) { On(now, held); }, event);
  return std::exchange(m_effects, {});
}

TimePoint EngineController::NextTick(TimePoint now) const {
  TimePoint next = now + kReadWhileIdle;
  if (!m_reading)
    next = std::min(next, std::max(now, m_next_read));
  if (!m_fence && !m_asking_fence)
    next = std::min(next, std::max(now, m_next_fence_ask));
  return next;
}

void EngineController::On(TimePoint now, const ControllerTicked& /*event*/) {
  if (!m_fence && !m_asking_fence && now >= m_next_fence_ask) {
    m_asking_fence = true;
    Emit(RequestFence{});
  }
  DropSettledNeeds(now);
  KeepStorePlace(now);
  LogDelays(now);
  if (!m_reading && now >= m_next_read) {
    m_reading = true;
    Emit(ReadReport{});
  }
}

void EngineController::On(TimePoint now, const FenceReceived& event) {
  m_asking_fence = false;
  m_fence = event.fence;
  m_next_fence_ask = now + kFenceAskPause;
  Proceed(now);
}

void EngineController::On(TimePoint now, EngineSpecReceived& event) {
  m_spec = std::move(event.spec);
  Proceed(now);
}

void EngineController::On(TimePoint /*now*/,
                          const ControllerDrainRequested& /*event*/) {
  // why: an order that is under way is the engine's to finish; nothing here
  // has to be waited for
  m_draining = true;
  m_place.GiveBack();
  SendPlaceMessages();
  Emit(ControllerDrained{});
}

void EngineController::On(TimePoint now, const PeerReceived& event) {
  if (const auto* ask = std::get_if<LoadRequest>(&event.message))
    return TakeAsk(now, event.from.endpoint, *ask);
  const auto* grant = std::get_if<SlotGrant>(&event.message);
  if (grant == nullptr)
    return;
  m_place.Take(now, event.from.endpoint, *grant);
  Proceed(now);
}

void EngineController::TakeAsk(TimePoint now,
                               const std::string& from,
                               const LoadRequest& ask) {
  m_listeners[from] = now;
  m_place.SetKeepers(ask.slot_coordinators);
  for (const ModelValue& value : ask.values)
    m_values[value.model][from] = {.milli_requests = value.milli_requests,
                                   .running = value.running,
                                   .at = now};
  if (!ask.adapter.empty())
    m_adapter_asked[WeightsName(ask.model, ask.adapter)] = now;
  const bool held =
      m_report && m_report->contents.Holds(ask.model, ask.adapter);
  if (held)
    return TellOne(from);
  const auto same = [&ask](const Need& need) {
    return need.model == ask.model && need.adapter == ask.adapter;
  };
  auto found = std::ranges::find_if(m_needs, same);
  bool is_new = false;
  if (found == m_needs.end()) {
    m_needs.push_back({.model = ask.model,
                       .adapter = ask.adapter,
                       .first_asked = now,
                       .next_delay_log = now + kDelayWorthLogging});
    found = std::prev(m_needs.end());
    m_next_read = std::min(m_next_read, now + kReadWhileBusy);
    is_new = true;
  }
  found->last_asked = now;
  found->askers[from] = {
      .waiting = ask.waiting, .milli_requests = ask.milli_requests, .at = now};
  // why: routers spread their asks by the queues that they know of
  if (is_new)
    Tell(now);
  else
    TellOne(from);
  Proceed(now);
}

void EngineController::On(TimePoint now, const ReportRead& event) {
  m_reading = false;
  const bool active = !m_needs.empty() || m_order.has_value();
  m_next_read = now + (active ? kReadWhileBusy : kReadWhileIdle);
  if (!event.report)
    return;
  TakeReport(now, *event.report);
  CheckOrder(now);
  DropSettledNeeds(now);
  Proceed(now);
}

void EngineController::TakeReport(TimePoint now, const EngineReport& report) {
  const bool restarted =
      m_report && m_report->contents.born != report.contents.born;
  if (restarted) {
    Log(LogEvent::kEngineRestarted,
        {{"vm", m_vm}, {"born", std::to_string(report.contents.born)}});
    if (m_order)
      KeepIfLost(*m_order);
    m_order.reset();
    m_place.GiveBack();
    m_in_turn.clear();
    m_loaded_at.clear();
  }
  const bool changed = !m_report || restarted ||
                       m_report->orders != report.orders ||
                       m_report->contents.models != report.contents.models ||
                       m_report->busy != report.busy ||
                       LoadStep(m_report->waiting) != LoadStep(report.waiting);
  m_report = report;
  std::erase_if(m_lost, [now](const OpenOrder& lost) {
    return now - lost.sent > kLongestOrderDelay;
  });
  for (const LoadedModel& model : report.contents.models) {
    // why: what was there at the start may go at once
    m_loaded_at.try_emplace(model.name,
                            m_orders_sent == 0 ? now - kLeastResidency : now);
  }
  std::erase_if(m_loaded_at, [&report](const auto& entry) {
    return report.contents.Find(entry.first) == nullptr;
  });
  RecordAdapters(now);
  if (changed)
    Tell(now);
}

void EngineController::RecordAdapters(TimePoint now) {
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

void EngineController::DropSettledNeeds(TimePoint now) {
  for (Need& need : m_needs) {
    std::erase_if(need.askers, [now](const auto& asker) {
      return now - asker.second.at > kNeedLife;
    });
  }
  std::erase_if(m_needs, [this, now](const Need& need) {
    return now - need.last_asked > kNeedLife ||
           (m_report && m_report->contents.Holds(need.model, need.adapter));
  });
}

void EngineController::On(TimePoint now, const OrderAnswered& event) {
  if (!m_order)
    return;
  m_order->answered = true;
  m_order->outcome = event.outcome;
  Log(LogEvent::kOrderEnded,
      {{"operation", std::string(kOrderKindNames.Name(m_order->order.kind))},
       {"weights", WeightsName(m_order->order.model, m_order->order.adapter)},
       {"outcome", std::string(kOrderOutcomeNames.Name(event.outcome))},
       {"after_ms", MillisecondsText(now - m_order->sent)}});
  // why: what an order has changed is only known from the engine's account
  m_next_read = now;
  if (event.outcome != OrderOutcome::kRefused &&
      event.outcome != OrderOutcome::kNoChange)
    return;
  m_order.reset();
  Tell(now);
}

void EngineController::CheckOrder(TimePoint now) {
  if (!m_order)
    return;
  const bool accepted = m_report->orders > m_order->order.precondition;
  const bool adapter_coming =
      std::ranges::find(
          m_report->loading_adapters,
          WeightsName(m_order->order.model, m_order->order.adapter)) !=
      m_report->loading_adapters.end();
  if (accepted && !m_report->busy && !adapter_coming) {
    RecordLoad(now, *m_order);
    m_order.reset();
    return;
  }
  const bool undecided = !accepted && m_order->answered &&
                         m_order->outcome == OrderOutcome::kUnknown;
  // why: sent again with the same precondition, of the two at most one is
  // carried out
  if (undecided && now - m_order->sent > kOrderPatience) {
    KeepIfLost(*m_order);
    m_order.reset();
  }
}

void EngineController::RecordLoad(TimePoint now, const OpenOrder& open) {
  const EngineOrder& order = open.order;
  const bool loaded = order.kind == OrderKind::kLoad &&
                      m_report->contents.Holds(order.model, order.adapter);
  if (!loaded)
    return;
  const Duration took = now - open.sent;
  std::vector<LogField> fields{
      {"weights", WeightsName(order.model, order.adapter)},
      {"after_ms", MillisecondsText(took)}};
  if (order.adapter.empty()) {
    fields.push_back(
        {"from", std::string(kWeightsSourceNames.Name(open.source))});
    m_load_times[open.source].Add(took);
  }
  Log(LogEvent::kWeightsLoaded, std::move(fields));
  if (order.model != m_place.model() || !order.adapter.empty())
    return;
  // why: the model may have left the configuration meanwhile
  const auto spec = m_spec->models.find(order.model);
  m_place.Finish(took, spec == m_spec->models.end()
                           ? Duration::zero()
                           : spec->second.load_from_store);
}

void EngineController::LogDelays(TimePoint now) {
  for (Need& need : m_needs) {
    // why: what nobody waits for is loaded when there is nothing else to do
    if (now < need.next_delay_log || need.Waiting() == 0)
      continue;
    need.next_delay_log = now + kDelayWorthLogging;
    const LoadDelay why = DelayOf(now, need);
    Log(LogEvent::kLoadDelayed,
        {{"weights", WeightsName(need.model, need.adapter)},
         {"why", std::string(kLoadDelayNames.Name(why))},
         {"waited_ms", MillisecondsText(now - need.first_asked)},
         {"waiting", std::to_string(need.Waiting())},
         {"under_way",
          m_order ? WeightsName(m_order->order.model, m_order->order.adapter)
                  : ""},
         {"under_way_ms", m_order ? MillisecondsText(now - m_order->sent) : ""},
         {"used_mb", m_spec && m_report
                         ? std::to_string(static_cast<std::int64_t>(UsedMb()))
                         : ""}});
  }
}

LoadDelay EngineController::DelayOf(TimePoint now, const Need& need) const {
  if (!m_fence || !m_spec || !m_report)
    return LoadDelay::kNotReady;
  if (!m_spec->models.contains(need.model))
    return LoadDelay::kNotInConfig;
  if (m_order)
    return LoadDelay::kOrderUnderWay;
  if (m_report->busy)
    return LoadDelay::kEngineBusy;
  if (NeedsStore(need) && !m_place.Allows(need.model))
    return LoadDelay::kNoStorePlace;
  return OrderFor(now, need) ? LoadDelay::kOthersFirst
                             : LoadDelay::kNothingGivesWay;
}

bool EngineController::IsLoadingFromStore() const {
  return m_order && m_order->order.kind == OrderKind::kLoad &&
         m_order->order.adapter.empty() &&
         m_order->source == WeightsSource::kStore;
}

void EngineController::KeepIfLost(const OpenOrder& open) {
  const bool unknown = !open.answered || open.outcome == OrderOutcome::kUnknown;
  if (unknown && open.order.kind == OrderKind::kLoad)
    m_lost.push_back(open);
}

bool EngineController::NeedsStore(const Need& need) const {
  return need.adapter.empty() &&
         m_report->contents.SourceOf(need.model) == WeightsSource::kStore;
}

void EngineController::KeepStorePlace(TimePoint now) {
  const bool loading = IsLoadingFromStore();
  if (m_report && m_spec && !loading) {
    const auto wants = [this](const Need& need) {
      return NeedsStore(need) && m_spec->models.contains(need.model);
    };
    const auto placed = std::ranges::find_if(m_needs, [this](const Need& need) {
      return need.model == m_place.model() && need.adapter.empty();
    });
    const bool unused = m_place.granted_at() != kNever &&
                        now - m_place.granted_at() > kUnusedPlace;
    const auto need = placed != m_needs.end() && wants(*placed) && !unused
                          ? placed
                          : std::ranges::find_if(m_needs, wants);
    if (unused || need == m_needs.end())
      m_place.GiveBack();
    else
      m_place.Want(now, need->model,
                   static_cast<std::uint32_t>(need->Waiting()));
  }
  m_place.Tick(now);
  SendPlaceMessages();
}

void EngineController::SendPlaceMessages() {
  for (SendToEndpoint& message : m_place.TakeMessages())
    Emit(std::move(message));
}

void EngineController::Proceed(TimePoint now) {
  const bool possible = m_fence && m_spec && m_report && !m_order &&
                        !m_report->busy && !m_draining;
  if (!possible || m_needs.empty())
    return;
  SortNeeds();
  for (const Need& need : m_needs) {
    if (NeedsStore(need) && !m_place.Allows(need.model))
      continue;
    if (auto order = OrderFor(now, need))
      return Send(now, need, *std::move(order));
  }
}

void EngineController::SortNeeds() {
  std::ranges::stable_sort(m_needs, GoesBefore);
  const auto in_turn = std::ranges::find_if(m_needs, [this](const Need& need) {
    return need.adapter.empty() && need.model == m_in_turn;
  });
  if (in_turn == m_needs.end() || in_turn->Waiting() == 0)
    return;
  const auto first_model = std::ranges::find_if(
      m_needs, [](const Need& need) { return need.adapter.empty(); });
  // why: room made for a large model must not go to the next small one
  std::rotate(first_model, in_turn, std::next(in_turn));
}

void EngineController::Send(TimePoint now,
                            const Need& need,
                            EngineOrder order) {
  order.precondition = m_report->orders;
  order.fence = *m_fence;
  ++m_orders_sent;
  const WeightsSource source = m_report->contents.SourceOf(order.model);
  std::vector<LogField> fields{
      {"operation", std::string(kOrderKindNames.Name(order.kind))},
      {"weights", WeightsName(order.model, order.adapter)},
      {"for", WeightsName(need.model, need.adapter)},
      {"waited_ms", MillisecondsText(now - need.first_asked)},
      {"orders", std::to_string(order.precondition)},
      {"used_mb", std::to_string(static_cast<std::int64_t>(UsedMb()))}};
  if (order.kind == OrderKind::kLoad && order.adapter.empty())
    fields.push_back({"from", std::string(kWeightsSourceNames.Name(source))});
  Log(LogEvent::kOrderSent, std::move(fields));
  const bool unloads = order.kind == OrderKind::kUnload;
  if (order.adapter.empty())
    m_in_turn = unloads ? need.model : "";
  m_order = OpenOrder{.order = order, .sent = now, .source = source};
  m_next_read = now + kReadWhileBusy;
  Emit(SendOrder{.order = std::move(order)});
  if (unloads)
    Tell(now);
}

std::optional<EngineOrder> EngineController::OrderFor(TimePoint now,
                                                      const Need& need) const {
  if (!m_spec->models.contains(need.model))
    return std::nullopt;
  return need.adapter.empty() ? OrderForModel(now, need)
                              : OrderForAdapter(now, need);
}

std::optional<EngineOrder> EngineController::OrderForModel(
    TimePoint now,
    const Need& need) const {
  const double needed_mb = m_spec->models.at(need.model).memory_mb;
  if (UsedMb(need.model) + needed_mb > m_spec->memory_mb)
    return EvictModel(now, need);
  return EngineOrder{.kind = OrderKind::kLoad, .model = need.model};
}

std::optional<EngineOrder> EngineController::OrderForAdapter(
    TimePoint now,
    const Need& need) const {
  const LoadedModel* loaded = m_report->contents.Find(need.model);
  if (loaded == nullptr ||
      m_report->loading_adapters.size() >= kMaxAdaptersComing)
    return std::nullopt;
  const std::string wanted = WeightsName(need.model, need.adapter);
  const double adapter_mb = m_spec->models.at(need.model).adapter_mb;
  const bool fits = UsedAdapters(wanted) < m_spec->adapter_slots &&
                    UsedMb(wanted) + adapter_mb <= m_spec->memory_mb;
  if (!fits)
    return EvictAdapter(now, need);
  return EngineOrder{
      .kind = OrderKind::kLoad, .model = need.model, .adapter = need.adapter};
}

EngineUpdate EngineController::News() const {
  EngineUpdate news{.contents = m_report->contents,
                    .busy = m_report->busy,
                    .waiting = m_report->waiting};
  // why: while it is being unloaded, requests for it are turned away
  if (m_order && m_order->order.kind == OrderKind::kUnload)
    news.contents.Drop(m_order->order.model, m_order->order.adapter);
  for (const Need& need : m_needs)
    news.queued.push_back(WeightsName(need.model, need.adapter));
  return news;
}

void EngineController::Tell(TimePoint now) {
  std::erase_if(m_listeners, [now](const auto& listener) {
    return now - listener.second > kListenerLife;
  });
  for (const auto& [endpoint, asked] : m_listeners)
    TellOne(endpoint);
}

void EngineController::TellOne(const std::string& endpoint) {
  if (m_report)
    Emit(SendToEndpoint{.endpoint = endpoint, .message = News()});
}

}  // namespace boragepick
