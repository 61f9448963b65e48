#include "core/scheduling/slot_semaphore.h"

#include <algorithm>
#include <tuple>

namespace boragepick {

namespace {

constexpr std::size_t kMaxWeightLoads = 4;
constexpr std::size_t kMaxAdapterLoads = 32;

}  // namespace

std::size_t FixedPoolSize(const std::string& pool) {
  if (pool == kWeightLoadPool)
    return kMaxWeightLoads;
  if (pool == kAdapterLoadPool)
    return kMaxAdapterLoads;
  return 1;
}

std::size_t SlotSemaphore::Limit(const std::string& pool) const {
  if (pool != kStoreLoadPool)
    return FixedPoolSize(pool);
  return m_options.max_store_loads > 0 ? m_options.max_store_loads
                                       : m_store_load_limit.limit();
}

std::vector<SlotSemaphore::Grant> SlotSemaphore::HandleRequest(
    TimePoint now,
    const PeerSender& from,
    const SlotRequest& request) {
  std::vector<Grant> grants;
  Pool& pool = m_pools[request.pool];
  const Holder holder{
      .vm = from.vm, .incarnation = from.incarnation, .number = request.number};
  if (request.release) {
    const auto ended = pool.find(holder);
    if (ended != pool.end()) {
      if (request.pool == kStoreLoadPool)
        m_store_load_limit.Record(now, ended->second.held_at_grant,
                                  request.load_time,
                                  request.expected_load_time);
      pool.erase(ended);
    }
  } else {
    const auto [entry, is_new] = pool.try_emplace(holder);
    Request& tracked = entry->second;
    if (is_new) {
      tracked.order = ++m_last_order;
      tracked.first_received = now;
    }
    tracked.priority = request.priority;
    tracked.last_received = now;
    tracked.endpoint = from.endpoint;
    tracked.name = request.name;
    tracked.waiting_requests = request.waiting_requests;
    tracked.granted = tracked.granted || request.already_held;
    if (tracked.granted)
      grants.push_back(
          {.vm = from.vm,
           .endpoint = from.endpoint,
           .grant = {.number = request.number, .pool = request.pool}});
  }
  GrantFreeSlots(now, request.pool, pool, grants);
  const auto requested = pool.find(holder);
  if (requested != pool.end() && !requested->second.granted) {
    grants.push_back({.vm = from.vm,
                      .endpoint = from.endpoint,
                      .grant = {.number = request.number,
                                .pool = request.pool,
                                .granted = false}});
  }
  if (pool.empty())
    m_pools.erase(request.pool);
  return grants;
}

SlotSemaphore::Pool::iterator SlotSemaphore::NextToGrant(TimePoint now,
                                                         Pool& pool) {
  const auto rank = [now, &pool](const Request& request) {
    // A further copy comes after units that are not being loaded yet.
    const bool is_copy =
        !request.name.empty() &&
        std::ranges::any_of(pool, [&request](const auto& other) {
          return other.second.granted && other.second.name == request.name;
        });
    // The rank grows with time, so that a unit with few waiting requests does
    // not starve.
    const double weighted_wait =
        ToSeconds(now - request.first_received + kRequestInterval) *
        request.waiting_requests;
    return std::tuple(request.priority, is_copy, -weighted_wait, request.order);
  };
  auto best = pool.end();
  for (auto it = pool.begin(); it != pool.end(); ++it) {
    if (it->second.granted)
      continue;
    if (best == pool.end() || rank(it->second) < rank(best->second))
      best = it;
  }
  return best;
}

void SlotSemaphore::GrantFreeSlots(TimePoint now,
                                   const std::string& name,
                                   Pool& pool,
                                   std::vector<Grant>& grants) {
  auto held = static_cast<std::size_t>(std::ranges::count_if(
      pool, [](const auto& entry) { return entry.second.granted; }));
  while (held < Limit(name)) {
    const auto next = NextToGrant(now, pool);
    if (next == pool.end())
      return;
    Request& request = next->second;
    request.granted = true;
    request.held_at_grant = ++held;
    grants.push_back({.vm = next->first.vm,
                      .endpoint = request.endpoint,
                      .grant = {.number = next->first.number, .pool = name}});
  }
}

std::vector<SlotSemaphore::Grant> SlotSemaphore::Tick(TimePoint now) {
  std::vector<Grant> grants;
  for (auto& [name, pool] : m_pools) {
    std::erase_if(pool, [&](const auto& e) {
      return now - e.second.last_received >= kRequestExpiry;
    });
    GrantFreeSlots(now, name, pool, grants);
  }
  std::erase_if(m_pools,
                [](const auto& entry) { return entry.second.empty(); });
  return grants;
}

std::size_t SlotSemaphore::HeldSlots(const std::string& pool) const {
  const auto found = m_pools.find(pool);
  if (found == m_pools.end())
    return 0;
  return static_cast<std::size_t>(std::ranges::count_if(
      found->second, [](const auto& entry) { return entry.second.granted; }));
}

}  // namespace boragepick
