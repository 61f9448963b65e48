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

bool LoadScheduler::MayRun(const std::string& model) const {
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

// --- Wishes
// ---------------------------------------------------------------------------------------

bool LoadScheduler::Want(TimePoint now,
                         const std::string& model,
                         const std::string& adapter,
                         Priority priority) {
  if (!WantUnit(now, model, "", priority))
    return false;
  return adapter.empty() || WantUnit(now, adapter, model, priority);
}

bool LoadScheduler::WantUnit(TimePoint now,
                             const std::string& unit,
                             const std::string& base,
                             Priority priority) {
  const MemoryAllocation* entry = m_ledger.Find(unit);
  const bool resident =
      entry != nullptr && entry->residency == Residency::kResident;
  const auto weights = m_loaded_weights.find(unit);
  const bool current =
      weights == m_loaded_weights.end() || weights->second == WeightsOf(unit);
  if (resident && current) {
    m_wishes.erase(unit);
    return true;
  }
  if (resident && entry->active_requests == 0)
    OrderUnload(unit, LogEvent::kModelEvicted);
  const bool on_the_way =
      entry != nullptr && entry->residency == Residency::kLoading;
  if (on_the_way)
    return false;
  Wish& wish = m_wishes[unit];
  wish.base_model = base;
  wish.priority = std::min(wish.priority, priority);
  if (wish.slot_number == 0) {
    wish.priority = priority;
    wish.slot_number = ++m_last_slot;
    wish.slot_asked = now;
    wish.next_ask = now;
  }
  return false;
}

std::string LoadScheduler::SlotPoolOf(const Wish& wish) {
  return wish.base_model.empty() ? kWeightLoadPool : kAdapterLoadPool;
}

void LoadScheduler::AskForSlot(TimePoint now, Wish& wish, bool done) {
  const std::string pool = SlotPoolOf(wish);
  const std::vector<std::string> order =
      RendezvousOrder("slots/" + pool, m_state.roster.LiveRouters());
  wish.next_ask = now + SlotSemaphore::kRequestInterval;
  if (order.empty())
    return;
  m_state.SendToVm(order.front(), SlotRequest{.number = wish.slot_number,
                                              .pool = pool,
                                              .priority = wish.priority,
                                              .release = done});
}

void LoadScheduler::GiveSlotBack(std::uint64_t number,
                                 const std::string& pool) {
  const std::vector<std::string> order =
      RendezvousOrder("slots/" + pool, m_state.roster.LiveRouters());
  if (!order.empty())
    m_state.SendToVm(
        order.front(),
        SlotRequest{.number = number, .pool = pool, .release = true});
}

void LoadScheduler::Take(TimePoint /*now*/, const SlotGrant& grant) {
  for (auto& [unit, wish] : m_wishes) {
    if (wish.slot_number != grant.number || SlotPoolOf(wish) != grant.pool)
      continue;
    wish.slot_answered = true;
    wish.slot_granted = wish.slot_granted || grant.granted;
    return;
  }
}

bool LoadScheduler::HasPlace(TimePoint now,
                             const std::string& /*unit*/,
                             Wish& wish) {
  if (wish.slot_granted)
    return true;
  if (now >= wish.next_ask)
    AskForSlot(now, wish, false);
  // why: places spare the weight store; a cold start doesn't wait for a router
  // that is gone
  return !wish.slot_answered && now - wish.slot_asked >= kSlotPatience;
}

// --- Loads
// ----------------------------------------------------------------------------------------

void LoadScheduler::Advance(TimePoint now) {
  // why: before the engine has told what it holds, its free memory is not known
  if (!m_inventory_seen)
    return;
  std::vector<std::string> started;
  for (auto& [unit, wish] : m_wishes) {
    const std::uint64_t needed_mb = MemoryOf(unit);
    const bool base_ready =
        wish.base_model.empty() || m_ledger.Find(wish.base_model) != nullptr;
    const bool permitted =
        MayRun(wish.base_model.empty() ? unit : wish.base_model);
    if (!base_ready || !permitted || m_ledger.Find(unit) != nullptr)
      continue;
    if (!MakeRoom(now, unit, needed_mb) || !HasPlace(now, unit, wish))
      continue;
    StartLoad(now, unit, wish);
    started.push_back(unit);
  }
  for (const std::string& unit : started)
    m_wishes.erase(unit);
}

bool LoadScheduler::MakeRoom(TimePoint now,
                             const std::string& /*unit*/,
                             std::uint64_t needed_mb) {
  if (needed_mb <= m_ledger.FreeMb())
    return true;
  const std::optional<std::vector<std::string>> victims =
      m_ledger.PlanEviction(now, needed_mb);
  if (!victims)
    return false;
  for (const std::string& victim : *victims)
    OrderUnload(victim, LogEvent::kModelEvicted);
  return false;
}

void LoadScheduler::StartLoad(TimePoint now,
                              const std::string& unit,
                              const Wish& wish) {
  const std::uint64_t fence = m_state.NextFence();
  const std::uint64_t memory_mb = MemoryOf(unit);
  if (!m_ledger.StartLoad(now, unit, memory_mb, fence))
    return;
  const bool adapter = !wish.base_model.empty();
  const OrderKind kind =
      adapter ? OrderKind::kLoadAdapter : OrderKind::kLoadModel;
  m_orders[fence] = {.kind = kind,
                     .unit = unit,
                     .sent = now,
                     .slot_number = wish.slot_number,
                     .slot_pool = SlotPoolOf(wish)};
  m_loaded_weights[unit] = WeightsOf(unit);
  ++m_metrics.loads;
  m_state.Log(LogEvent::kLoadStarted,
              {{"unit", unit},
               {"memory_mb", std::to_string(memory_mb)},
               {"free_mb", std::to_string(m_ledger.FreeMb())},
               {"priority", std::string(kPriorityNames.Name(wish.priority))},
               {"fence", std::to_string(fence)}});
  m_state.Emit(SendOrder{.fence = fence,
                         .kind = kind,
                         .name = unit,
                         .weights = WeightsOf(unit),
                         .base_model = wish.base_model,
                         .memory_mb = memory_mb});
}

void LoadScheduler::OrderUnload(const std::string& unit, LogEvent reason) {
  const MemoryAllocation* entry = m_ledger.Find(unit);
  if (entry == nullptr || entry->residency == Residency::kUnloading)
    return;
  const std::uint64_t fence = m_state.NextFence();
  const OrderKind kind =
      IsAdapter(unit) ? OrderKind::kUnloadAdapter : OrderKind::kUnloadModel;
  m_ledger.StartUnload(unit, fence);
  m_orders[fence] = {.kind = kind, .unit = unit};
  ++m_metrics.unloads;
  m_state.Log(reason, {{"unit", unit}, {"fence", std::to_string(fence)}});
  m_state.Emit(SendOrder{.fence = fence, .kind = kind, .name = unit});
}

void LoadScheduler::Take(TimePoint now, const OrderAnswered& answer) {
  const auto found = m_orders.find(answer.fence);
  if (found == m_orders.end())
    return;
  const OpenOrder order = found->second;
  m_orders.erase(found);
  const bool load = IsLoad(order.kind);
  if (load)
    GiveSlotBack(order.slot_number, order.slot_pool);
  if (answer.result == OrderResult::kDone) {
    if (load) {
      m_ledger.CompleteLoad(now, order.unit, answer.fence);
      m_metrics.load_seconds.Add(ToSeconds(now - order.sent));
      m_state.Log(LogEvent::kLoadFinished,
                  {{"unit", order.unit},
                   {"seconds", std::to_string(ToSeconds(now - order.sent))}});
    } else {
      m_ledger.CompleteUnload(order.unit, answer.fence);
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
    m_ledger.CancelLoad(order.unit, answer.fence);
    m_refused.insert(order.unit);
    return;
  }
  m_ledger.MarkUnknown(order.unit, answer.fence);
  AskForInventory();
}

void LoadScheduler::AskForInventory() {
  m_state.Emit(AskInventory{.fence = m_state.last_fence});
}

void LoadScheduler::Take(TimePoint now, const InventoryReceived& inventory) {
  if (!inventory.answered) {
    DoubtEngine(now);
    return;
  }
  m_doubted_since = kNever;
  if (m_first_inventory == kNever)
    m_first_inventory = now;
  m_inventory_seen = now - m_first_inventory >= kSettle;
  for (const std::string& unit :
       m_ledger.ApplyInventory(now, inventory.items, inventory.asked_at_fence))
    m_loaded_weights[unit] = WeightsOf(unit);
}

// --- Unloads
void LoadScheduler::DoubtEngine(TimePoint now) {
  if (m_doubted_since == kNever)
    m_doubted_since = now;
  m_next_inventory = std::min(m_next_inventory, now + kDoubtPeriod);
}

bool LoadScheduler::EngineDown(TimePoint now) const {
  constexpr Duration kRestartTime = std::chrono::seconds(1);
  return m_doubted_since != kNever && now - m_doubted_since >= kRestartTime;
}

bool LoadScheduler::IsResident(const std::string& model,
                               const std::string& adapter) const {
  const auto resident = [this](const std::string& unit) {
    const MemoryAllocation* entry = m_ledger.Find(unit);
    return entry != nullptr && entry->residency == Residency::kResident;
  };
  return resident(model) && (adapter.empty() || resident(adapter));
}

// --------------------------------------------------------------------------------------

bool LoadScheduler::IsStale(TimePoint now,
                            const std::string& unit,
                            const MemoryAllocation& entry) const {
  const std::optional<ServedModel> served = m_state.view.Resolve(unit);
  if (!served || served->idle_unload_seconds == 0)
    return false;
  return now - entry.last_used >=
         std::chrono::seconds(served->idle_unload_seconds);
}

void LoadScheduler::UnloadUnwanted(TimePoint now) {
  if (!m_state.feed.HasView() || !m_inventory_seen)
    return;
  std::vector<std::string> unpermitted;
  std::vector<std::string> stale;
  std::vector<std::string> unknown;
  for (const auto& [unit, entry] : m_ledger.entries()) {
    const std::optional<ServedModel> served = m_state.view.Resolve(unit);
    const bool permitted = served && MayRun(served->model);
    if (entry.residency == Residency::kUnknown)
      unknown.push_back(unit);
    if (entry.residency != Residency::kResident || entry.active_requests > 0)
      continue;
    if (!permitted)
      unpermitted.push_back(unit);
    else if (IsStale(now, unit, entry))
      stale.push_back(unit);
  }
  for (const std::string& unit : unpermitted)
    OrderUnload(unit, LogEvent::kUnpermittedUnloaded);
  // why: an order whose end is not known is undone by a later one; then its
  // memory is certain
  for (const std::string& unit : unknown)
    OrderUnload(unit, LogEvent::kModelEvicted);
  for (const std::string& unit : stale)
    OrderUnload(unit, LogEvent::kModelEvicted);
}

void LoadScheduler::Tick(TimePoint now) {
  if (m_last_tick != kNever) {
    for (const auto& [unit, entry] : m_ledger.entries()) {
      if (entry.residency == Residency::kResident &&
          entry.active_requests == 0 && !IsAdapter(unit))
        m_metrics.idle_resident_seconds += ToSeconds(now - m_last_tick);
    }
  }
  m_last_tick = now;
  // why: a place is kept only while its holder repeats the ask
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
    const bool settled = m_inventory_seen && EngineUp();
    m_next_inventory = now + (settled ? kInventoryPeriod : kDoubtPeriod);
    AskForInventory();
  }
  UnloadUnwanted(now);
  Advance(now);
}

void LoadScheduler::StartUse(TimePoint now,
                             const std::string& model,
                             const std::string& adapter) {
  m_ledger.StartUse(now, model);
  if (!adapter.empty())
    m_ledger.StartUse(now, adapter);
}

void LoadScheduler::EndUse(TimePoint now,
                           const std::string& model,
                           const std::string& adapter) {
  m_ledger.EndUse(now, model);
  if (!adapter.empty())
    m_ledger.EndUse(now, adapter);
}

std::vector<ResidentUnit> LoadScheduler::Units() const {
  std::vector<ResidentUnit> units;
  for (const auto& [name, entry] : m_ledger.entries()) {
    // why: adapters are many and small; routers choose by the model
    if (!IsAdapter(name))
      units.push_back({.name = name, .residency = entry.residency});
  }
  return units;
}

}  // namespace boragepick
