#include "core/serving/cold_owners.h"

#include <algorithm>

#include "common/hashing.h"

namespace boragepick {

void ColdOwners::AddRouter(TimePoint now, const std::string& vm) {
  Router& router = m_routers[vm];
  if (router.listed_since != kNever && router.IsListed())
    return;
  router = {.listed_since = now};
  OnChanged(now);
}

void ColdOwners::RemoveRouter(TimePoint now, const std::string& vm) {
  const auto found = m_routers.find(vm);
  if (found == m_routers.end() || !found->second.IsListed())
    return;
  found->second.removed_at = now;
  OnChanged(now);
}

void ColdOwners::Retain(TimePoint now, const std::vector<std::string>& vms) {
  // A router that came and went since the last confirmation can't have acted as
  // owner if that was within the lifetime of a place.
  if (now - m_confirmed_at > kPlaceLifetime)
    m_complete_since = now;
  for (auto& [vm, router] : m_routers) {
    if (router.IsListed() && std::ranges::find(vms, vm) == vms.end())
      router.removed_at = now;
  }
  OnChanged(now);
}

void ColdOwners::OnChanged(TimePoint now) {
  // For a second after the delay, ActsSince() still tells that the places of
  // the same second may have been granted by the router that is gone.
  const TimePoint kept_since =
      now - kOwnerChangeDelay - std::chrono::seconds(1);
  std::erase_if(m_routers, [kept_since](const auto& entry) {
    return !entry.second.IsListed() && entry.second.removed_at < kept_since;
  });
  m_orders.clear();
}

const std::vector<std::string>& ColdOwners::Order(
    const std::string& worker) const {
  const auto [entry, is_new] = m_orders.try_emplace(worker);
  if (!is_new)
    return entry->second;
  std::vector<std::string> vms;
  vms.reserve(m_routers.size());
  for (const auto& [vm, router] : m_routers)
    vms.push_back(vm);
  entry->second = RendezvousOrder("cold/" + worker, vms);
  return entry->second;
}

std::string ColdOwners::OwnerOf(const std::string& worker) const {
  for (const std::string& vm : Order(worker)) {
    if (m_routers.at(vm).IsListed())
      return vm;
  }
  return "";
}

TimePoint ColdOwners::ActsSince(const std::string& worker) const {
  TimePoint changed_at = m_complete_since;
  for (const std::string& vm : Order(worker)) {
    const Router& router = m_routers.at(vm);
    if (router.IsListed() && vm != m_self)
      return kNever;
    if (router.IsListed())
      return std::max(changed_at, router.listed_since) + kOwnerChangeDelay;
    changed_at = std::max(changed_at, router.removed_at);
  }
  return kNever;
}

bool ColdOwners::MayAct(TimePoint now, const std::string& worker) const {
  return now - m_confirmed_at < kMaxRouterListAge && now >= ActsSince(worker);
}

}  // namespace boragepick
