// Schedules loads and unloads of the engine according to permits and waiting
// requests: loads a unit on its first request, evicts the least recently used
// units, and unloads units that are idle or no longer permitted. A unit is a
// model or an adapter.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "common/summary.h"
#include "common/time.h"
#include "core/agent/agent_state.h"
#include "core/placement/memory_accounting.h"
#include "core/scheduling/fair_queue.h"

namespace boragepick {

struct UnitMetrics {
  std::uint64_t loads = 0;
  std::uint64_t load_failures = 0;
  std::uint64_t unloads = 0;
  // Seconds from the load order to its answer.
  Summary load_seconds;
  // Seconds that models were resident without a running request, summed over
  // the models.
  double idle_resident_seconds = 0;
};

class LoadScheduler {
 public:
  static constexpr Duration kInventoryPeriod = std::chrono::seconds(2);
  // Inventory period while the engine may be down.
  static constexpr Duration kUncertainInventoryPeriod =
      std::chrono::milliseconds(200);
  // An order in flight from an earlier process of the agent reaches the engine
  // within this time. Until then nothing is loaded.
  static constexpr Duration kStaleOrderWindow = std::chrono::seconds(1);
  // A load without an answer to its slot request starts without a slot after
  // this time.
  static constexpr Duration kSlotTimeout = std::chrono::milliseconds(1200);

  explicit LoadScheduler(AgentState& state)
      : m_state(state), m_memory(state.options.memory_mb) {}

  // Returns whether the model, and the adapter if one is named, can be used
  // now. Otherwise adds pending loads for them; callers repeat the call after
  // each event.
  bool EnsureLoaded(TimePoint now,
                    const std::string& model,
                    const std::string& adapter,
                    Priority priority);
  void StartUse(TimePoint now,
                const std::string& model,
                const std::string& adapter);
  void EndUse(TimePoint now,
              const std::string& model,
              const std::string& adapter);
  // Cancels the pending load of a unit.
  void CancelPendingLoad(const std::string& unit) {
    m_pending_loads.erase(unit);
  }

  bool IsPermitted(const std::string& model) const;

  void Handle(TimePoint now, const OrderAnswered& answer);
  void Handle(TimePoint now, const InventoryReceived& inventory);
  void Handle(TimePoint now, const SlotGrant& grant);
  // Starts the loads and evictions that are possible now.
  void Advance(TimePoint now);
  void Tick(TimePoint now);
  void EmitInventoryRequest();

  // Called after a failed call to the engine. No request is started until the
  // engine has answered an inventory request.
  void MarkEngineUnresponsive(TimePoint now);
  bool IsEngineResponsive() const { return m_unresponsive_since == kNever; }
  // Whether the engine has not answered for longer than a restart takes.
  bool IsEngineDown(TimePoint now) const;
  bool IsResident(const std::string& model, const std::string& adapter) const;

  bool HasInventory() const { return m_has_inventory; }
  // Returns and clears the units whose load the engine refused. Requests that
  // wait for them are returned to their routers.
  std::set<std::string> TakeRefused() { return std::exchange(m_refused, {}); }
  std::vector<ResidentUnit> Units() const;
  const MemoryAccounting& memory() const { return m_memory; }
  const UnitMetrics& metrics() const { return m_metrics; }

 private:
  struct PendingLoad {
    // Empty for a model.
    std::string base_model;
    Priority priority = Priority::kInteractive;
    std::uint64_t slot_number = 0;
    bool slot_granted = false;
    bool slot_answered = false;
    TimePoint slot_requested;
    TimePoint next_slot_request;
  };
  struct OpenOrder {
    OrderKind kind = OrderKind::kLoadModel;
    std::string unit;
    TimePoint sent;
    std::uint64_t slot_number = 0;
    std::string slot_pool;
  };

  bool EnsureUnitLoaded(TimePoint now,
                        const std::string& unit,
                        const std::string& base,
                        Priority priority);
  std::uint64_t MemoryOf(const std::string& unit) const;
  std::string WeightsOf(const std::string& unit) const;
  bool IsAdapter(const std::string& unit) const;
  // Requests a load slot if none is held. Returns whether the load may start.
  bool AcquireSlot(TimePoint now,
                   const std::string& unit,
                   PendingLoad& pending);
  void SendSlotRequest(TimePoint now, PendingLoad& pending, bool done);
  void ReleaseSlot(std::uint64_t number, const std::string& pool);
  void StartLoad(TimePoint now,
                 const std::string& unit,
                 const PendingLoad& pending);
  // Returns whether enough memory is free; otherwise starts to evict units.
  bool EnsureFreeMemory(TimePoint now,
                        const std::string& unit,
                        std::uint64_t needed_mb);
  void OrderUnload(const std::string& unit, LogEvent reason);
  void UnloadUnneeded(TimePoint now);
  bool IsIdle(TimePoint now,
              const std::string& unit,
              const MemoryAllocation& entry) const;
  static std::string SlotPoolOf(const PendingLoad& pending);

  AgentState& m_state;
  MemoryAccounting m_memory;
  std::map<std::string, PendingLoad> m_pending_loads;
  std::map<std::uint64_t, OpenOrder> m_orders;
  // The weights from which each unit was loaded.
  std::map<std::string, std::string> m_loaded_weights;
  std::set<std::string> m_refused;
  std::uint64_t m_last_slot = 0;
  TimePoint m_first_inventory = kNever;
  // Whether an inventory has arrived kStaleOrderWindow after the first one.
  bool m_has_inventory = false;
  TimePoint m_next_inventory = TimePoint{};
  // The time since which the engine has not answered.
  TimePoint m_unresponsive_since = kNever;
  TimePoint m_next_slot_renewal = TimePoint{};
  TimePoint m_last_tick = kNever;
  UnitMetrics m_metrics;
};

}  // namespace boragepick
