#include "core/roster/roster.h"

#include <algorithm>

namespace boragepick {

bool Roster::Apply(TimePoint now, RosterList list) {
  const bool first = m_first_list_at == kNever;
  const bool fits = list.base == 0 || (!first && list.base == m_list.version);
  if (!fits || (!first && list.version <= m_list.version))
    return false;
  if (list.base != 0)
    list = Merge(m_list, list);
  if (first) {
    m_first_list_at = now;
    m_known_versions.insert(list.version);
  }
  const RosterList before = std::move(m_list);
  m_list = std::move(list);
  RebuildIndex();
  if (!first)
    RecordChanges(before);
  for (const RosterEntry& entry : before.entries) {
    if (!m_index.contains(entry.vm))
      m_missing_since.try_emplace(entry.vm, now);
  }
  for (const RosterEntry& entry : m_list.entries)
    m_missing_since.erase(entry.vm);
  return true;
}

RosterList Roster::Merge(const RosterList& held, const RosterList& changes) {
  std::map<std::string, const RosterEntry*> merged;
  for (const RosterEntry& entry : held.entries)
    merged[entry.vm] = &entry;
  for (const std::string& vm : changes.gone)
    merged.erase(vm);
  for (const RosterEntry& entry : changes.entries)
    merged[entry.vm] = &entry;
  RosterList whole{.version = changes.version};
  for (const auto& [vm, entry] : merged)
    whole.entries.push_back(*entry);
  return whole;
}

void Roster::RecordChanges(const RosterList& before) {
  std::map<std::string, const RosterEntry*> held;
  for (const RosterEntry& entry : before.entries)
    held[entry.vm] = &entry;
  for (const RosterEntry& entry : m_list.entries) {
    const auto known = held.find(entry.vm);
    if (known == held.end() || *known->second != entry)
      m_changed_at[entry.vm] = m_list.version;
    if (known != held.end())
      held.erase(known);
  }
  for (const auto& [vm, entry] : held) {
    m_removed_at[vm] = m_list.version;
    m_changed_at.erase(vm);
  }
  m_known_versions.insert(m_list.version);
  // Bounds the memory; a node with a version that is no longer recorded gets
  // the full list.
  constexpr std::size_t kMaxKnownVersions = 1'000;
  if (m_known_versions.size() <= kMaxKnownVersions)
    return;
  m_known_versions.erase(m_known_versions.begin());
  const std::uint64_t oldest = *m_known_versions.begin();
  std::erase_if(m_removed_at,
                [&](const auto& entry) { return entry.second <= oldest; });
}

RosterList Roster::Since(std::uint64_t version) const {
  if (!m_known_versions.contains(version))
    return m_list;
  RosterList changes{.version = m_list.version, .base = version};
  for (const auto& [vm, changed_at] : m_changed_at) {
    if (changed_at > version)
      changes.entries.push_back(*Find(vm));
  }
  for (const auto& [vm, removed_at] : m_removed_at) {
    if (removed_at > version)
      changes.gone.push_back(vm);
  }
  return changes;
}

void Roster::RebuildIndex() {
  m_index.clear();
  m_live_routers.clear();
  for (std::size_t i = 0; i < m_list.entries.size(); ++i) {
    const RosterEntry& entry = m_list.entries[i];
    m_index[entry.vm] = i;
    if (entry.role == NodeRole::kRouter && entry.state == VmState::kLive)
      m_live_routers.push_back(entry.vm);
  }
  std::ranges::sort(m_live_routers);
}

void Roster::RecordRun(const std::string& vm, Incarnation incarnation) {
  Incarnation& latest = m_latest_run[vm];
  latest = std::max(latest, incarnation);
}

const RosterEntry* Roster::Find(const std::string& vm) const {
  const auto found = m_index.find(vm);
  return found == m_index.end() ? nullptr : &m_list.entries[found->second];
}

std::vector<std::string> Roster::LiveRoutersIn(
    const std::string& data_centre) const {
  std::vector<std::string> routers;
  for (const std::string& vm : m_live_routers) {
    if (Find(vm)->data_centre == data_centre)
      routers.push_back(vm);
  }
  return routers;
}

std::vector<const RosterEntry*> Roster::LiveAgents(
    const std::string& pool) const {
  std::vector<const RosterEntry*> agents;
  for (const RosterEntry& entry : m_list.entries) {
    const bool usable =
        entry.role == NodeRole::kAgent && entry.state == VmState::kLive;
    if (usable && entry.pool == pool)
      agents.push_back(&entry);
  }
  return agents;
}

bool Roster::IsProvenGone(TimePoint now, const ProcessId& process) const {
  const auto latest = m_latest_run.find(process.vm);
  if (latest != m_latest_run.end() && latest->second > process.incarnation)
    return true;
  return IsVmProvenGone(now, process.vm, process.listed_version);
}

bool Roster::IsVmProvenGone(TimePoint now,
                            const std::string& vm,
                            std::uint64_t listed_version) const {
  if (m_index.contains(vm) || m_list.version <= listed_version)
    return false;
  const auto missing = m_missing_since.find(vm);
  // If this node started after the VM had left, the VM has been missing since
  // the first list.
  const TimePoint since =
      missing == m_missing_since.end() ? m_first_list_at : missing->second;
  return since != kNever && now - since >= kGoneConfirmation;
}

}  // namespace boragepick
