#include "core/placement/memory_accounting.h"

#include <algorithm>

namespace boragepick {

const MemoryAllocation* MemoryAccounting::Find(const std::string& name) const {
  const auto found = m_entries.find(name);
  return found == m_entries.end() ? nullptr : &found->second;
}

bool MemoryAccounting::IsLatest(const std::string& name,
                                std::uint64_t fence) const {
  const MemoryAllocation* entry = Find(name);
  return entry != nullptr && entry->fence == fence;
}

bool MemoryAccounting::StartLoad(TimePoint now,
                                 const std::string& name,
                                 std::uint64_t memory_mb,
                                 std::uint64_t fence) {
  if (m_entries.contains(name) || memory_mb > FreeMb())
    return false;
  m_entries[name] = {.residency = Residency::kLoading,
                     .memory_mb = memory_mb,
                     .last_used = now,
                     .fence = fence};
  m_allocated_mb += memory_mb;
  return true;
}

void MemoryAccounting::CompleteLoad(TimePoint now,
                                    const std::string& name,
                                    std::uint64_t fence) {
  if (!IsLatest(name, fence))
    return;
  MemoryAllocation& entry = m_entries[name];
  entry.residency = Residency::kResident;
  entry.resident_since = now;
}

void MemoryAccounting::CancelLoad(const std::string& name,
                                  std::uint64_t fence) {
  if (IsLatest(name, fence))
    Remove(name);
}

void MemoryAccounting::StartUnload(const std::string& name,
                                   std::uint64_t fence) {
  const auto found = m_entries.find(name);
  if (found == m_entries.end())
    return;
  found->second.residency = Residency::kUnloading;
  found->second.fence = fence;
}

void MemoryAccounting::CompleteUnload(const std::string& name,
                                      std::uint64_t fence) {
  if (IsLatest(name, fence))
    Remove(name);
}

void MemoryAccounting::MarkUnknown(const std::string& name,
                                   std::uint64_t fence) {
  if (IsLatest(name, fence))
    m_entries[name].residency = Residency::kUnknown;
}

std::vector<std::string> MemoryAccounting::ApplyInventory(
    TimePoint now,
    const std::vector<InventoryItem>& inventory,
    std::uint64_t fence_at_request) {
  std::map<std::string, const InventoryItem*> reported;
  for (const InventoryItem& item : inventory)
    reported[item.name] = &item;
  std::vector<std::string> absent;
  for (auto& [name, entry] : m_entries) {
    // An order sent after the inventory request may not show in the inventory.
    if (entry.fence > fence_at_request)
      continue;
    const auto seen = reported.find(name);
    // A pending load, or one whose order may still reach the engine, may be
    // missing from the inventory; only the answer to its order ends it.
    const bool foreign_load =
        entry.residency == Residency::kLoading && !entry.ordered_here;
    const bool own_load =
        entry.residency == Residency::kLoading && entry.ordered_here;
    const bool unknown = entry.residency == Residency::kUnknown;
    if (seen == reported.end()) {
      if (!unknown && !own_load)
        absent.push_back(name);
      continue;
    }
    if (seen->second->loaded && (unknown || foreign_load)) {
      entry.residency = Residency::kResident;
      entry.resident_since = now;
    }
  }
  for (const std::string& name : absent)
    Remove(name);
  std::vector<std::string> unknown_names;
  for (const auto& [name, item] : reported) {
    if (m_entries.contains(name))
      continue;
    m_entries[name] = {
        .residency = item->loaded ? Residency::kResident : Residency::kLoading,
        .memory_mb = item->memory_mb,
        .last_used = now,
        .resident_since = now,
        .fence = fence_at_request,
        .ordered_here = false};
    m_allocated_mb += item->memory_mb;
    unknown_names.push_back(name);
  }
  return unknown_names;
}

void MemoryAccounting::StartUse(TimePoint now, const std::string& name) {
  const auto found = m_entries.find(name);
  if (found == m_entries.end())
    return;
  ++found->second.active_requests;
  found->second.last_used = now;
}

void MemoryAccounting::EndUse(TimePoint now, const std::string& name) {
  const auto found = m_entries.find(name);
  if (found == m_entries.end() || found->second.active_requests == 0)
    return;
  --found->second.active_requests;
  found->second.last_used = now;
}

std::optional<std::vector<std::string>> MemoryAccounting::PlanEviction(
    TimePoint now,
    std::uint64_t needed_mb) const {
  std::uint64_t available_mb = FreeMb();
  std::vector<std::pair<TimePoint, std::string>> candidates;
  for (const auto& [name, entry] : m_entries) {
    if (entry.residency == Residency::kUnloading)
      available_mb += entry.memory_mb;
    const bool evictable = entry.residency == Residency::kResident &&
                           now - entry.resident_since >= kMinResidency;
    if (evictable && entry.active_requests == 0)
      candidates.emplace_back(entry.last_used, name);
  }
  std::ranges::sort(candidates);
  std::vector<std::string> victims;
  for (const auto& [last_used, name] : candidates) {
    if (available_mb >= needed_mb)
      break;
    victims.push_back(name);
    available_mb += m_entries.at(name).memory_mb;
  }
  if (available_mb < needed_mb)
    return std::nullopt;
  return victims;
}

void MemoryAccounting::Remove(const std::string& name) {
  const auto found = m_entries.find(name);
  if (found == m_entries.end())
    return;
  m_allocated_mb -= found->second.memory_mb;
  m_entries.erase(found);
}

}  // namespace boragepick
