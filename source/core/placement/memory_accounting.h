// The agent's account of its engine's memory. It is the authority: nothing is
// ordered loaded that the ledger has not reserved, and what may still be in
// memory counts until it is seen free.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "common/enum_table.h"
#include "common/time.h"

namespace boragepick {

// kUnknown: an order was lost or timed out; the memory counts until an
// inventory decides.
enum class Residency { kLoading, kResident, kUnloading, kUnknown };

inline constexpr EnumTable kResidencyNames{std::array{
    EnumName<Residency>{Residency::kLoading, "loading"},
    EnumName<Residency>{Residency::kResident, "resident"},
    EnumName<Residency>{Residency::kUnloading, "unloading"},
    EnumName<Residency>{Residency::kUnknown, "unknown"},
}};

struct MemoryAllocation {
  Residency residency = Residency::kLoading;
  std::uint64_t memory_mb = 0;
  // Running requests that use it; it is not evicted meanwhile.
  std::uint32_t users = 0;
  TimePoint last_used = TimePoint{};
  TimePoint resident_since = TimePoint{};
  // The fencing number of the last order about it.
  std::uint64_t fence = 0;
  // Whether this run of the agent ordered it; what an earlier run ordered is
  // followed by the engine's account alone.
  bool ordered = true;
};

// One line of the engine's own account of what it holds.
struct InventoryItem {
  std::string name;
  std::uint64_t memory_mb = 0;
  // False while its load is being carried out.
  bool loaded = false;
};

// A freshly loaded model is not evicted for so long, so that two that don't fit
// together take turns instead of thrashing.
inline constexpr Duration kMinResidency = std::chrono::seconds(2);

class MemoryAccounting {
 public:
  explicit MemoryAccounting(std::uint64_t capacity_mb)
      : m_capacity_mb(capacity_mb) {}

  std::uint64_t capacity_mb() const { return m_capacity_mb; }
  std::uint64_t AllocatedMb() const { return m_taken_mb; }
  std::uint64_t FreeMb() const {
    return m_taken_mb > m_capacity_mb ? 0 : m_capacity_mb - m_taken_mb;
  }

  const std::map<std::string, MemoryAllocation>& entries() const {
    return m_entries;
  }
  const MemoryAllocation* Find(const std::string& name) const;

  // Reserves memory for a load; false when it doesn't fit or is held already.
  bool StartLoad(TimePoint now,
                 const std::string& name,
                 std::uint64_t memory_mb,
                 std::uint64_t fence);
  void CompleteLoad(TimePoint now,
                    const std::string& name,
                    std::uint64_t fence);
  // The engine refused the order: nothing was loaded.
  void CancelLoad(const std::string& name, std::uint64_t fence);
  void StartUnload(const std::string& name, std::uint64_t fence);
  void CompleteUnload(const std::string& name, std::uint64_t fence);
  // No answer, or one that tells nothing.
  void MarkUnknown(const std::string& name, std::uint64_t fence);

  // The engine's account, asked for after the order numbered `asked_at_fence`:
  // entries with later orders are left alone. Returns the names found loaded
  // that the ledger did not know.
  std::vector<std::string> ApplyInventory(
      TimePoint now,
      const std::vector<InventoryItem>& inventory,
      std::uint64_t asked_at_fence);

  void StartUse(TimePoint now, const std::string& name);
  void EndUse(TimePoint now, const std::string& name);

  // What to evict, least recently used first, so that `needed_mb` becomes free;
  // nothing when that can't be reached. Unloads under way count as free to
  // come.
  std::optional<std::vector<std::string>> PlanEviction(
      TimePoint now,
      std::uint64_t needed_mb) const;

 private:
  void Remove(const std::string& name);
  bool IsLatest(const std::string& name, std::uint64_t fence) const;

  std::uint64_t m_capacity_mb;
  std::uint64_t m_taken_mb = 0;
  std::map<std::string, MemoryAllocation> m_entries;
};

}  // namespace boragepick
