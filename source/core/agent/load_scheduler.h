// Keeps the engine's memory as the permits and the waiting requests want it:
// loads on first demand, evicts what was used least recently, unloads what is
// idle or not permitted any more. A unit is a model or an adapter.
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
  // Seconds from the order to the answer.
  Summary load_seconds;
  // Model-seconds in memory without a running request.
  double idle_resident_seconds = 0;
};

class LoadScheduler {
 public:
  static constexpr Duration kInventoryPeriod = std::chrono::seconds(2);
  // The same while it is not certain that the engine is up.
  static constexpr Duration kDoubtPeriod = std::chrono::milliseconds(200);
  // An order that an earlier run of the agent left behind reaches the engine
  // within so long; before, nothing is loaded.
  static constexpr Duration kSettle = std::chrono::seconds(1);
  // An ask for a place at the weight store that gets no answer for so long is
  // given up.
  static constexpr Duration kSlotPatience = std::chrono::milliseconds(1200);

  explicit LoadScheduler(AgentState& state)
      : m_state(state), m_ledger(state.options.memory_mb) {}

  // Whether the model, and the adapter if there is one, can be used now.
  // Otherwise their load is wanted from here on; call it again after each
  // event.
  bool Want(TimePoint now,
            const std::string& model,
            const std::string& adapter,
            Priority priority);
  void StartUse(TimePoint now,
                const std::string& model,
                const std::string& adapter);
  void EndUse(TimePoint now,
              const std::string& model,
              const std::string& adapter);
  // Nobody wants it any more.
  void Unwant(const std::string& unit) { m_wishes.erase(unit); }

  bool MayRun(const std::string& model) const;

  void Take(TimePoint now, const OrderAnswered& answer);
  void Take(TimePoint now, const InventoryReceived& inventory);
  void Take(TimePoint now, const SlotGrant& grant);
  // Goes on with loads, evictions and unloads.
  void Advance(TimePoint now);
  void Tick(TimePoint now);
  void AskForInventory();

  // A connection broke: nothing is started until the engine has answered.
  void DoubtEngine(TimePoint now);
  bool EngineUp() const { return m_doubted_since == kNever; }
  // Whether the engine has not answered for longer than a restart may take.
  bool EngineDown(TimePoint now) const;
  bool IsResident(const std::string& model, const std::string& adapter) const;

  bool InventorySeen() const { return m_inventory_seen; }
  // A load that the engine refused: requests that wait for it go elsewhere.
  // Cleared by reading.
  std::set<std::string> TakeRefused() { return std::exchange(m_refused, {}); }
  std::vector<ResidentUnit> Units() const;
  const MemoryAccounting& ledger() const { return m_ledger; }
  const UnitMetrics& metrics() const { return m_metrics; }

 private:
  struct Wish {
    // Empty for a model.
    std::string base_model;
    Priority priority = Priority::kInteractive;
    std::uint64_t slot_number = 0;
    bool slot_granted = false;
    bool slot_answered = false;
    TimePoint slot_asked;
    TimePoint next_ask;
  };
  struct OpenOrder {
    OrderKind kind = OrderKind::kLoadModel;
    std::string unit;
    TimePoint sent;
    std::uint64_t slot_number = 0;
    std::string slot_pool;
  };

  bool WantUnit(TimePoint now,
                const std::string& unit,
                const std::string& base,
                Priority priority);
  std::uint64_t MemoryOf(const std::string& unit) const;
  std::string WeightsOf(const std::string& unit) const;
  bool IsAdapter(const std::string& unit) const;
  bool HasPlace(TimePoint now, const std::string& unit, Wish& wish);
  void AskForSlot(TimePoint now, Wish& wish, bool done);
  void GiveSlotBack(std::uint64_t number, const std::string& pool);
  void StartLoad(TimePoint now, const std::string& unit, const Wish& wish);
  bool MakeRoom(TimePoint now,
                const std::string& unit,
                std::uint64_t needed_mb);
  void OrderUnload(const std::string& unit, LogEvent reason);
  void UnloadUnwanted(TimePoint now);
  bool IsStale(TimePoint now,
               const std::string& unit,
               const MemoryAllocation& entry) const;
  static std::string SlotPoolOf(const Wish& wish);

  AgentState& m_state;
  MemoryAccounting m_ledger;
  std::map<std::string, Wish> m_wishes;
  std::map<std::uint64_t, OpenOrder> m_orders;
  // The weights that each unit was loaded from.
  std::map<std::string, std::string> m_loaded_weights;
  std::set<std::string> m_refused;
  std::uint64_t m_last_slot = 0;
  TimePoint m_first_inventory = kNever;
  // A second account, kSettle after the first, has come.
  bool m_inventory_seen = false;
  TimePoint m_next_inventory = TimePoint{};
  // Since when the engine has not answered.
  TimePoint m_doubted_since = kNever;
  TimePoint m_next_slot_renewal = TimePoint{};
  TimePoint m_last_tick = kNever;
  UnitMetrics m_metrics;
};

}  // namespace boragepick
