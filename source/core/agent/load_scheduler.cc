#include "core/agent/load_scheduler.h"

#include <algorithm>

#include "common/hashing.h"
#include "core/scheduling/slot_semaphore.h"

namespace boragepick {

namespace {

bool IsLoad(OrderKind kind) {
  return kind == OrderKind::kLoadModel || kind == OrderKind::kLoadAdapter;
}

}  // namespace

bool LoadScheduler::IsPermitted(const std::string& model) const {
  return m_state.view.IsPermitted(model, m_state.options.vm);
}

bool LoadScheduler::IsAdapter(const std::string& unit) const {
  return m_state.view.Find(ResourceKind::kAdapter, unit) != nullptr;
}

std::uint64_t LoadScheduler::MemoryOf(const std::string& unit) const {
  const std::optional<ServedModel> served = m_state.view.Resolve(unit);
  if (!served)
    return 0;
  return served->adapter.empty() ? served->memory_mb
                                 : served->adapter_memory_mb;
}

std::string LoadScheduler::WeightsOf(const std::string& unit) const {
  if (const auto* adapter =
          m_state.view.FindSpec<AdapterSpec>(ResourceKind::kAdapter, unit))
    return adapter->weights;
  const std::optional<ServedModel> served = m_state.view.Resolve(unit);
  return served ? served->weights : "";
}

// --- Pending loads
// ---------------------------------------------------------------------------------------

bool LoadScheduler::EnsureLoaded(TimePoint now,
                                 const std::string& model,
                                 const std::string& adapter,
                                 Priority priority) {
  if (!EnsureUnitLoaded(now, model, "", priority))
    return false;
  return adapter.empty() || EnsureUnitLoaded(now, adapter, model, priority);
}

bool LoadScheduler::EnsureUnitLoaded(TimePoint now,
                                     const std::string& unit,
                                     const std::string& base,
                                     Priority priority) {
  const MemoryAllocation* entry = m_memory.Find(unit);
  const bool resident =
      entry != nullptr && entry->residency == Residency::kResident;
  const auto weights = m_loaded_weights.find(unit);
  const bool current =
      weights == m_loaded_weights.end() || weights->second == WeightsOf(unit);
  if (resident && current) {
    m_pending_loads.erase(unit);
    return true;
  }
  if (resident && entry->active_requests == 0)
    OrderUnload(unit, LogEvent::kModelEvicted);
  const bool is_loading =
      entry != nullptr && entry->residency == Residency::kLoading;
  if (is_loading)
    return false;
  PendingLoad& pending = m_pending_loads[unit];
  pending.base_model = base;
  pending.priority = std::min(pending.priority, priority);
  if (pending.slot_number == 0) {
    pending.priority = priority;
    pending.slot_number = ++m_last_slot;
    pending.slot_requested = now;
    pending.next_slot_request = now;
  }
  return false;
}

std::string LoadScheduler::SlotPoolOf(const PendingLoad& pending) {
  return pending.base_model.empty() ? kWeightLoadPool : kAdapterLoadPool;
}

void LoadScheduler::SendSlotRequest(TimePoint now,
                                    PendingLoad& pending,
                                    bool done) {
  const std::string pool = SlotPoolOf(pending);
  const std::vector<std::string> order =
      RendezvousOrder("slots/" + pool, m_state.roster.LiveRouters());
  pending.next_slot_request = now + SlotSemaphore::kRequestInterval;
  if (order.empty())
    return;
  m_state.SendToVm(order.front(), SlotRequest{.number = pending.slot_number,
                                              .pool = pool,
                                              .priority = pending.priority,
                                              .release = done});
}

void LoadScheduler::ReleaseSlot(std::uint64_t number, const std::string& pool) {
  const std::vector<std::string> order =
      RendezvousOrder("slots/" + pool, m_state.roster.LiveRouters());
  if (!order.empty())
    m_state.SendToVm(
        order.front(),
        SlotRequest{.number = number, .pool = pool, .release = true});
}

void LoadScheduler::Handle(TimePoint /*now*/, const SlotGrant& grant) {
  for (auto& [unit, pending] : m_pending_loads) {
    if (pending.slot_number != grant.number ||
        SlotPoolOf(pending) != grant.pool)
      continue;
    pending.slot_answered = true;
    pending.slot_granted = pending.slot_granted || grant.granted;
    return;
  }
}

bool LoadScheduler::AcquireSlot(TimePoint now,
                                const std::string& /*unit*/,
                                PendingLoad& pending) {
  if (pending.slot_granted)
    return true;
  if (now >= pending.next_slot_request)
    SendSlotRequest(now, pending, false);
  // Load slots only protect the weight store from too many loads, so a cold
  // start need not wait for a router that does not answer.
  return !pending.slot_answered && now - pending.slot_requested >= kSlotTimeout;
}

// --- Loads
// ----------------------------------------------------------------------------------------

void LoadScheduler::Advance(TimePoint now) {
  // The engine's free memory is unknown until its inventory has arrived.
  if (!m_has_inventory)
    return;
  std::vector<std::string> started;
  for (auto& [unit, pending] : m_pending_loads) {
    const std::uint64_t needed_mb = MemoryOf(unit);
    const bool base_ready = pending.base_model.empty() ||
                            m_memory.Find(pending.base_model) != nullptr;
    const bool permitted =
        IsPermitted(pending.base_model.empty() ? unit : pending.base_model);
    if (!base_ready || !permitted || m_memory.Find(unit) != nullptr)
      continue;
    if (!EnsureFreeMemory(now, unit, needed_mb) ||
        !AcquireSlot(now, unit, pending))
      continue;
    StartLoad(now, unit, pending);
    started.push_back(unit);
  }
  for (const std::string& unit : started)
    m_pending_loads.erase(unit);
}

bool LoadScheduler::EnsureFreeMemory(TimePoint now,
                                     const std::string& /*unit*/,
                                     std::uint64_t needed_mb) {
  if (needed_mb <= m_memory.FreeMb())
    return true;
  const std::optional<std::vector<std::string>> victims =
      m_memory.PlanEviction(now, needed_mb);
  if (!victims)
    return false;
  for (const std::string& victim : *victims)
    OrderUnload(victim, LogEvent::kModelEvicted);
  return false;
}

void LoadScheduler::StartLoad(TimePoint now,
                              const std::string& unit,
                              const PendingLoad& pending) {
  const std::uint64_t fence = m_state.NextFence();
  const std::uint64_t memory_mb = MemoryOf(unit);
  if (!m_memory.StartLoad(now, unit, memory_mb, fence))
    return;
  const bool adapter = !pending.base_model.empty();
  const OrderKind kind =
      adapter ? OrderKind::kLoadAdapter : OrderKind::kLoadModel;
  m_orders[fence] = {.kind = kind,
                     .unit = unit,
                     .sent = now,
                     .slot_number = pending.slot_number,
                     .slot_pool = SlotPoolOf(pending)};
  m_loaded_weights[unit] = WeightsOf(unit);
  ++m_metrics.loads;
  m_state.Log(LogEvent::kLoadStarted,
              {{"unit", unit},
               {"memory_mb", std::to_string(memory_mb)},
               {"free_mb", std::to_string(m_memory.FreeMb())},
               {"priority", std::string(kPriorityNames.Name(pending.priority))},
               {"fence", std::to_string(fence)}});
  m_state.Emit(SendOrder{.fence = fence,
                         .kind = kind,
                         .name = unit,
                         .weights = WeightsOf(unit),
                         .base_model = pending.base_model,
                         .memory_mb = memory_mb});
}

void LoadScheduler::OrderUnload(const std::string& unit, LogEvent reason) {
  const MemoryAllocation* entry = m_memory.Find(unit);
  if (entry == nullptr || entry->residency == Residency::kUnloading)
    return;
  const std::uint64_t fence = m_state.NextFence();
  const OrderKind kind =
      IsAdapter(unit) ? OrderKind::kUnloadAdapter : OrderKind::kUnloadModel;
  m_memory.StartUnload(unit, fence);
  m_orders[fence] = {.kind = kind, .unit = unit};
  ++m_metrics.unloads;
  m_state.Log(reason, {{"unit", unit}, {"fence", std::to_string(fence)}});
  m_state.Emit(SendOrder{.fence = fence, .kind = kind, .name = unit});
}

void LoadScheduler::Handle(TimePoint now, const OrderAnswered& answer) {
  const auto found = m_orders.find(answer.fence);
  if (found == m_orders.end())
    return;
  const OpenOrder order = found->second;
  m_orders.erase(found);
  const bool load = IsLoad(order.kind);
  if (load)
    ReleaseSlot(order.slot_number, order.slot_pool);
  if (answer.result == OrderResult::kDone) {
    if (load) {
      m_memory.CompleteLoad(now, order.unit, answer.fence);
      m_metrics.load_seconds.Add(ToSeconds(now - order.sent));
      m_state.Log(LogEvent::kLoadFinished,
                  {{"unit", order.unit},
                   {"seconds", std::to_string(ToSeconds(now - order.sent))}});
    } else {
      m_memory.CompleteUnload(order.unit, answer.fence);
    }
    return;
  }
  m_state.Log(LogEvent::kLoadFailed,
              {{"unit", order.unit},
               {"order", std::string(kOrderKindNames.Name(order.kind))},
               {"result", std::string(kOrderResultNames.Name(answer.result))},
               {"detail", answer.detail}});
  if (load)
    ++m_metrics.load_failures;
  if (load && answer.result == OrderResult::kRefused) {
    m_memory.CancelLoad(order.unit, answer.fence);
    m_refused.insert(order.unit);
    return;
  }
  m_memory.MarkUnknown(order.unit, answer.fence);
  EmitInventoryRequest();
}

void LoadScheduler::EmitInventoryRequest() {
  m_state.Emit(RequestInventory{.fence = m_state.last_fence});
}

void LoadScheduler::Handle(TimePoint now, const InventoryReceived& inventory) {
  if (!inventory.answered) {
    MarkEngineUnresponsive(now);
    return;
  }
  m_unresponsive_since = kNever;
  if (m_first_inventory == kNever)
    m_first_inventory = now;
  m_has_inventory = now - m_first_inventory >= kStaleOrderWindow;
  for (const std::string& unit : m_memory.ApplyInventory(
           now, inventory.items, inventory.fence_at_request))
    m_loaded_weights[unit] = WeightsOf(unit);
}

// --- Engine state
// ----------------------------------------------------------------------------------

void LoadScheduler::MarkEngineUnresponsive(TimePoint now) {
  if (m_unresponsive_since == kNever)
    m_unresponsive_since = now;
  m_next_inventory =
      std::min(m_next_inventory, now + kUncertainInventoryPeriod);
}

bool LoadScheduler::IsEngineDown(TimePoint now) const {
  constexpr Duration kRestartTime = std::chrono::seconds(1);
  return m_unresponsive_since != kNever &&
         now - m_unresponsive_since >= kRestartTime;
}

bool LoadScheduler::IsResident(const std::string& model,
                               const std::string& adapter) const {
  const auto resident = [this](const std::string& unit) {
    const MemoryAllocation* entry = m_memory.Find(unit);
    return entry != nullptr && entry->residency == Residency::kResident;
  };
  return resident(model) && (adapter.empty() || resident(adapter));
}

// --- Unloads
// ---------------------------------------------------------------------------------------

bool LoadScheduler::IsIdle(TimePoint now,
                           const std::string& unit,
                           const MemoryAllocation& entry) const {
  const std::optional<ServedModel> served = m_state.view.Resolve(unit);
  if (!served || served->idle_unload_seconds == 0)
    return false;
  return now - entry.last_used >=
         std::chrono::seconds(served->idle_unload_seconds);
}

void LoadScheduler::UnloadUnneeded(TimePoint now) {
  if (!m_state.feed.HasView() || !m_has_inventory)
    return;
  std::vector<std::string> unpermitted;
  std::vector<std::string> idle;
  std::vector<std::string> unknown;
  for (const auto& [unit, entry] : m_memory.entries()) {
    const std::optional<ServedModel> served = m_state.view.Resolve(unit);
    const bool permitted = served && IsPermitted(served->model);
    if (entry.residency == Residency::kUnknown)
      unknown.push_back(unit);
    if (entry.residency != Residency::kResident || entry.active_requests > 0)
      continue;
    if (!permitted)
      unpermitted.push_back(unit);
    else if (IsIdle(now, unit, entry))
      idle.push_back(unit);
  }
  for (const std::string& unit : unpermitted)
    OrderUnload(unit, LogEvent::kUnpermittedUnloaded);
  // Unloading a unit whose order has an unknown result makes its memory use
  // certain again.
  for (const std::string& unit : unknown)
    OrderUnload(unit, LogEvent::kModelEvicted);
  for (const std::string& unit : idle)
    OrderUnload(unit, LogEvent::kModelEvicted);
}

void LoadScheduler::Tick(TimePoint now) {
  if (m_last_tick != kNever) {
    for (const auto& [unit, entry] : m_memory.entries()) {
      if (entry.residency == Residency::kResident &&
          entry.active_requests == 0 && !IsAdapter(unit))
        m_metrics.idle_resident_seconds += ToSeconds(now - m_last_tick);
    }
  }
  m_last_tick = now;
  // A load slot expires unless its holder repeats the slot request.
  for (const auto& [fence, order] : m_orders) {
    if (!IsLoad(order.kind) || now < m_next_slot_renewal)
      continue;
    const std::vector<std::string> router = RendezvousOrder(
        "slots/" + order.slot_pool, m_state.roster.LiveRouters());
    if (!router.empty())
      m_state.SendToVm(router.front(), SlotRequest{.number = order.slot_number,
                                                   .pool = order.slot_pool});
  }
  if (now >= m_next_slot_renewal)
    m_next_slot_renewal = now + SlotSemaphore::kRequestInterval;
  if (now >= m_next_inventory) {
    const bool state_known = m_has_inventory && IsEngineResponsive();
    m_next_inventory =
        now + (state_known ? kInventoryPeriod : kUncertainInventoryPeriod);
    EmitInventoryRequest();
  }
  UnloadUnneeded(now);
  Advance(now);
}

void LoadScheduler::StartUse(TimePoint now,
                             const std::string& model,
                             const std::string& adapter) {
  m_memory.StartUse(now, model);
  if (!adapter.empty())
    m_memory.StartUse(now, adapter);
}

void LoadScheduler::EndUse(TimePoint now,
                           const std::string& model,
                           const std::string& adapter) {
  m_memory.EndUse(now, model);
  if (!adapter.empty())
    m_memory.EndUse(now, adapter);
}

std::vector<ResidentUnit> LoadScheduler::Units() const {
  std::vector<ResidentUnit> units;
  for (const auto& [name, entry] : m_memory.entries()) {
    // Adapters are left out: they are many and small, and routers select agents
    // by the resident models.
    if (!IsAdapter(name))
      units.push_back({.name = name, .residency = entry.residency});
  }
  return units;
}

}  // namespace boragepick
