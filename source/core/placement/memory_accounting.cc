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
  m_taken_mb += memory_mb;
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
    std::uint64_t asked_at_fence) {
  std::map<std::string, const InventoryItem*> held;
  for (const InventoryItem& item : inventory)
    held[item.name] = &item;
  std::vector<std::string> absent;
  for (auto& [name, entry] : m_entries) {
    // why: an order sent after the question may be under way while the answer
    // was written
    if (entry.fence > asked_at_fence)
      continue;
    const auto seen = held.find(name);
    // why: a load under way, or one whose order may still reach the engine,
    // doesn't show yet; only the answer to an order ends those
    const bool foreign_load =
        entry.residency == Residency::kLoading && !entry.ordered;
    const bool own_load =
        entry.residency == Residency::kLoading && entry.ordered;
    const bool unknown = entry.residency == Residency::kUnknown;
    if (seen == held.end()) {
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
  std::vector<std::string> strangers;
  for (const auto& [name, item] : held) {
    if (m_entries.contains(name))
      continue;
    m_entries[name] = {
        .residency = item->loaded ? Residency::kResident : Residency::kLoading,
        .memory_mb = item->memory_mb,
        .last_used = now,
        .resident_since = now,
        .fence = asked_at_fence,
        .ordered = false};
    m_taken_mb += item->memory_mb;
    strangers.push_back(name);
  }
  return strangers;
}

void MemoryAccounting::StartUse(TimePoint now, const std::string& name) {
  const auto found = m_entries.find(name);
  if (found == m_entries.end())
    return;
  ++found->second.users;
  found->second.last_used = now;
}

void MemoryAccounting::EndUse(TimePoint now, const std::string& name) {
  const auto found = m_entries.find(name);
  if (found == m_entries.end() || found->second.users == 0)
    return;
  --found->second.users;
  found->second.last_used = now;
}

std::optional<std::vector<std::string>> MemoryAccounting::PlanEviction(
    TimePoint now,
    std::uint64_t needed_mb) const {
  std::uint64_t coming_mb = FreeMb();
  std::vector<std::pair<TimePoint, std::string>> candidates;
  for (const auto& [name, entry] : m_entries) {
    if (entry.residency == Residency::kUnloading)
      coming_mb += entry.memory_mb;
    const bool settled = entry.residency == Residency::kResident &&
                         now - entry.resident_since >= kMinResidency;
    if (settled && entry.users == 0)
      candidates.emplace_back(entry.last_used, name);
  }
  std::ranges::sort(candidates);
  std::vector<std::string> victims;
  for (const auto& [last_used, name] : candidates) {
    if (coming_mb >= needed_mb)
      break;
    victims.push_back(name);
    coming_mb += m_entries.at(name).memory_mb;
  }
  if (coming_mb < needed_mb)
    return std::nullopt;
  return victims;
}

void MemoryAccounting::Remove(const std::string& name) {
  const auto found = m_entries.find(name);
  if (found == m_entries.end())
    return;
  m_taken_mb -= found->second.memory_mb;
  m_entries.erase(found);
}

}  // namespace boragepick
