#include "core/roster/roster.h"

#include <algorithm>

namespace boragepick {

bool Roster::Apply(TimePoint now, RosterList list) {
  const bool first = m_first_list == kNever;
  if (!first && list.version <= m_list.version)
    return false;
  if (first)
    m_first_list = now;
  const RosterList before = std::move(m_list);
  m_list = std::move(list);
  Index();
  for (const RosterEntry& entry : before.entries) {
    if (!m_index.contains(entry.vm))
      m_missing_since.try_emplace(entry.vm, now);
  }
  for (const RosterEntry& entry : m_list.entries)
    m_missing_since.erase(entry.vm);
  return true;
}

void Roster::Index() {
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

void Roster::Heard(const std::string& vm, Incarnation incarnation) {
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

bool Roster::ProvenGone(TimePoint now, const ProcessId& process) const {
  const auto latest = m_latest_run.find(process.vm);
  if (latest != m_latest_run.end() && latest->second > process.incarnation)
    return true;
  return VmProvenGone(now, process.vm, process.listed_version);
}

bool Roster::VmProvenGone(TimePoint now,
                          const std::string& vm,
                          std::uint64_t listed_version) const {
  if (m_index.contains(vm) || m_list.version <= listed_version)
    return false;
  const auto missing = m_missing_since.find(vm);
  // why: a node that starts after the VM left has never seen it listed; its
  // first list counts
  const TimePoint since =
      missing == m_missing_since.end() ? m_first_list : missing->second;
  return since != kNever && now - since >= kGoneConfirmation;
}

}  // namespace boragepick
