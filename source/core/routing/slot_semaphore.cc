#include "core/routing/slot_semaphore.h"

#include <algorithm>
#include <tuple>

namespace boragepick {

namespace {

constexpr std::size_t kWeightLoadsAtOnce = 4;
constexpr std::size_t kAdapterLoadsAtOnce = 32;

}  // namespace

std::size_t SlotsOf(const std::string& pool) {
  if (pool == kWeightSlots)
    return kWeightLoadsAtOnce;
  if (pool == kAdapterSlots)
    return kAdapterLoadsAtOnce;
  return 1;
}

std::vector<SlotSemaphore::Grant> SlotSemaphore::HandleAsk(
    TimePoint now,
    const PeerSender& from,
    const SlotAsk& ask) {
  std::vector<Grant> grants;
  Pool& pool = m_pools[ask.pool];
  const Holder holder{
      .vm = from.vm, .incarnation = from.incarnation, .number = ask.number};
  if (ask.done) {
    pool.erase(holder);
  } else {
    const auto [entry, fresh] = pool.try_emplace(holder);
    if (fresh)
      entry->second.order = ++m_last_order;
    entry->second.priority = ask.priority;
    entry->second.repeated = now;
    if (entry->second.granted)
      grants.push_back(
          {.vm = from.vm, .grant = {.number = ask.number, .pool = ask.pool}});
  }
  Fill(ask.pool, pool, grants);
  const auto asked = pool.find(holder);
  if (asked != pool.end() && !asked->second.granted) {
    grants.push_back(
        {.vm = from.vm,
         .grant = {.number = ask.number, .pool = ask.pool, .granted = false}});
  }
  if (pool.empty())
    m_pools.erase(ask.pool);
  return grants;
}

void SlotSemaphore::Fill(const std::string& name,
                         Pool& pool,
                         std::vector<Grant>& grants) {
  auto held = static_cast<std::size_t>(std::ranges::count_if(
      pool, [](const auto& entry) { return entry.second.granted; }));
  while (held < SlotsOf(name)) {
    auto best = pool.end();
    for (auto it = pool.begin(); it != pool.end(); ++it) {
      if (it->second.granted)
        continue;
      const auto rank = [](const Ask& ask) {
        return std::tuple(ask.priority, ask.order);
      };
      if (best == pool.end() || rank(it->second) < rank(best->second))
        best = it;
    }
    if (best == pool.end())
      return;
    best->second.granted = true;
    ++held;
    grants.push_back({.vm = best->first.vm,
                      .grant = {.number = best->first.number, .pool = name}});
  }
}

std::vector<SlotSemaphore::Grant> SlotSemaphore::Tick(TimePoint now) {
  std::vector<Grant> grants;
  for (auto& [name, pool] : m_pools) {
    std::erase_if(pool, [&](const auto& e) {
      return now - e.second.repeated >= kAskLife;
    });
    Fill(name, pool, grants);
  }
  std::erase_if(m_pools,
                [](const auto& entry) { return entry.second.empty(); });
  return grants;
}

std::size_t SlotSemaphore::Holding(const std::string& pool) const {
  const auto found = m_pools.find(pool);
  if (found == m_pools.end())
    return 0;
  return static_cast<std::size_t>(std::ranges::count_if(
      found->second, [](const auto& entry) { return entry.second.granted; }));
}

}  // namespace boragepick
