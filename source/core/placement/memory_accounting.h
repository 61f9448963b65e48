// The agent's accounting of its engine's memory. It is authoritative: a load is
// ordered only after its memory is reserved here, and memory that may
// still be in use counts as allocated until it is known to be free.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "common/enum_table.h"
#include "common/time.h"

namespace boragepick {

// kUnknown: an order was lost or timed out; the memory counts as allocated
// until an inventory shows the outcome.
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
  // Running requests that use it; prevents eviction.
  std::uint32_t active_requests = 0;
  TimePoint last_used = TimePoint{};
  TimePoint resident_since = TimePoint{};
  // Fencing number of the latest order for it.
  std::uint64_t fence = 0;
  // Whether this run of the agent ordered the load; loads ordered by
  // an earlier run are tracked through the engine's inventory only.
  bool ordered_here = true;
};

// One item of the engine's inventory.
struct InventoryItem {
  std::string name;
  std::uint64_t memory_mb = 0;
  // False while it is being loaded.
  bool loaded = false;
};

// Minimum time that a model stays loaded, so that two models that don't fit
// together alternate instead of thrashing.
inline constexpr Duration kMinResidency = std::chrono::seconds(2);

class MemoryAccounting {
 public:
  explicit MemoryAccounting(std::uint64_t capacity_mb)
      : m_capacity_mb(capacity_mb) {}

  std::uint64_t capacity_mb() const { return m_capacity_mb; }
  std::uint64_t AllocatedMb() const { return m_allocated_mb; }
  std::uint64_t FreeMb() const {
    return m_allocated_mb > m_capacity_mb ? 0 : m_capacity_mb - m_allocated_mb;
  }

  const std::map<std::string, MemoryAllocation>& entries() const {
    return m_entries;
  }
  const MemoryAllocation* Find(const std::string& name) const;

  // Reserves memory for a load; false if it doesn't fit or already has an
  // entry.
  bool StartLoad(TimePoint now,
                 const std::string& name,
                 std::uint64_t memory_mb,
                 std::uint64_t fence);
  void CompleteLoad(TimePoint now,
                    const std::string& name,
                    std::uint64_t fence);
  // Releases the reservation of a load that the engine refused.
  void CancelLoad(const std::string& name, std::uint64_t fence);
  void StartUnload(const std::string& name, std::uint64_t fence);
  void CompleteUnload(const std::string& name, std::uint64_t fence);
  // The order got no answer, or one of unknown outcome.
  void MarkUnknown(const std::string& name, std::uint64_t fence);

  // Applies an inventory that was requested after the order with fencing number
  // `fence_at_request`; entries with later orders are not changed. Returns the
  // names in the inventory that had no entry.
  std::vector<std::string> ApplyInventory(
      TimePoint now,
      const std::vector<InventoryItem>& inventory,
      std::uint64_t fence_at_request);

  void StartUse(TimePoint now, const std::string& name);
  void EndUse(TimePoint now, const std::string& name);

  // What to evict, least recently used first, to free `needed_mb`; empty
  // optional if that is not possible. Memory being unloaded counts as free.
  std::optional<std::vector<std::string>> PlanEviction(
      TimePoint now,
      std::uint64_t needed_mb) const;

 private:
  void Remove(const std::string& name);
  bool IsLatest(const std::string& name, std::uint64_t fence) const;

  std::uint64_t m_capacity_mb;
  std::uint64_t m_allocated_mb = 0;
  std::map<std::string, MemoryAllocation> m_entries;
};

}  // namespace boragepick
