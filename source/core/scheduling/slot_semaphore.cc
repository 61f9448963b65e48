#include "core/scheduling/slot_semaphore.h"

#include <algorithm>
#include <tuple>

namespace boragepick {

namespace {

constexpr std::size_t kWeightLoadsAtOnce = 4;
constexpr std::size_t kAdapterLoadsAtOnce = 32;

}  // namespace

std::size_t FixedPoolSize(const std::string& pool) {
  if (pool == kWeightLoadPool)
    return kWeightLoadsAtOnce;
  if (pool == kAdapterLoadPool)
    return kAdapterLoadsAtOnce;
  return 1;
}

std::size_t SlotSemaphore::Limit(const std::string& pool) const {
  if (pool != kStoreLoadPool)
    return FixedPoolSize(pool);
  return m_options.store_loads > 0 ? m_options.store_loads
                                   : m_store_loads.value();
}

std::vector<SlotSemaphore::Grant> SlotSemaphore::HandleRequest(
    TimePoint now,
    const PeerSender& from,
    const SlotRequest& ask) {
  std::vector<Grant> grants;
  Pool& pool = m_pools[ask.pool];
  const Holder holder{
      .vm = from.vm, .incarnation = from.incarnation, .number = ask.number};
  if (ask.release) {
    const auto ended = pool.find(holder);
    if (ended != pool.end()) {
      if (ask.pool == kStoreLoadPool)
        m_store_loads.Record(now, ended->second.under_way, ask.load_time,
                             ask.expected_load_time);
      pool.erase(ended);
    }
  } else {
    const auto [entry, fresh] = pool.try_emplace(holder);
    Ask& known = entry->second;
    if (fresh) {
      known.order = ++m_last_order;
      known.first = now;
    }
    known.priority = ask.priority;
    known.repeated = now;
    known.endpoint = from.endpoint;
    known.name = ask.name;
    known.waiting = ask.waiting_requests;
    known.granted = known.granted || ask.already_held;
    if (known.granted)
      grants.push_back({.vm = from.vm,
                        .endpoint = from.endpoint,
                        .grant = {.number = ask.number, .pool = ask.pool}});
  }
  Fill(now, ask.pool, pool, grants);
  const auto asked = pool.find(holder);
  if (asked != pool.end() && !asked->second.granted) {
    grants.push_back(
        {.vm = from.vm,
         .endpoint = from.endpoint,
         .grant = {.number = ask.number, .pool = ask.pool, .granted = false}});
  }
  if (pool.empty())
    m_pools.erase(ask.pool);
  return grants;
}

SlotSemaphore::Pool::iterator SlotSemaphore::Next(TimePoint now, Pool& pool) {
  const auto rank = [now, &pool](const Ask& ask) {
    // why: a second copy comes after what nobody loads yet
    const bool is_copy =
        !ask.name.empty() &&
        std::ranges::any_of(pool, [&ask](const auto& other) {
          return other.second.granted && other.second.name == ask.name;
        });
    // why: what few wait for must not be passed by for ever
    const double waited =
        ToSeconds(now - ask.first + kRequestInterval) * ask.waiting;
    return std::tuple(ask.priority, is_copy, -waited, ask.order);
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

void SlotSemaphore::Fill(TimePoint now,
                         const std::string& name,
                         Pool& pool,
                         std::vector<Grant>& grants) {
  auto held = static_cast<std::size_t>(std::ranges::count_if(
      pool, [](const auto& entry) { return entry.second.granted; }));
  while (held < Limit(name)) {
    const auto next = Next(now, pool);
    if (next == pool.end())
      return;
    Ask& ask = next->second;
    ask.granted = true;
    ask.under_way = ++held;
    grants.push_back({.vm = next->first.vm,
                      .endpoint = ask.endpoint,
                      .grant = {.number = next->first.number, .pool = name}});
  }
}

std::vector<SlotSemaphore::Grant> SlotSemaphore::Tick(TimePoint now) {
  std::vector<Grant> grants;
  for (auto& [name, pool] : m_pools) {
    std::erase_if(pool, [&](const auto& e) {
      return now - e.second.repeated >= kRequestExpiry;
    });
    Fill(now, name, pool, grants);
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
