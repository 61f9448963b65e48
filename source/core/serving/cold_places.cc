#include "core/serving/cold_places.h"

#include <algorithm>
#include <cmath>
#include <tuple>

#include "core/serving/cold_owners.h"

namespace boragepick {

namespace {

// Between the use of a place and the sending of its request.
constexpr Duration kSendMargin = std::chrono::milliseconds(100);
// A request that has waited longer was repeated since.
constexpr Duration kMaxWait = kPlaceLifetime / 2;

}  // namespace

ColdLimit MakeColdLimit(double rate, double overage, double slack) {
  const double bound = rate * overage + slack;
  if (rate <= 0 || bound < 1)
    return {};
  const double window =
      ToSeconds(std::chrono::seconds(1) + kPlaceLifetime + kSendMargin);
  const double places = std::min(rate, (bound - 1) / window);
  return {.places_per_second = places, .burst = bound - places * window};
}

void ColdPlaces::Restart(TimePoint when) {
  if (when < m_updated_at)
    return;
  m_level = 0;
  m_updated_at = when;
}

void ColdPlaces::Add(TimePoint now,
                     const PeerSender& from,
                     ColdPlaceRequest request) {
  Waiting& waiting = m_waiting[from.vm];
  const bool is_old = waiting.incarnation == from.incarnation &&
                      waiting.request.number >= request.number &&
                      waiting.request.number > 0;
  if (is_old)
    return;
  waiting = {.incarnation = from.incarnation,
             .received = now,
             .request = std::move(request)};
}

void ColdPlaces::Accrue(TimePoint now, const ColdLimit& limit) {
  if (now <= m_updated_at)
    return;
  m_level = std::min(limit.burst, m_level + ToSeconds(now - m_updated_at) *
                                                limit.places_per_second);
  m_updated_at = now;
}

std::vector<ColdPlaces::Grant> ColdPlaces::GrantFree(TimePoint now,
                                                     const ColdLimit& limit) {
  Accrue(now, limit);
  if (m_level < 1)
    return {};
  std::vector<std::pair<const std::string*, Waiting*>> order;
  for (auto& [vm, waiting] : m_waiting) {
    if (waiting.received != kNever && now - waiting.received > kMaxWait)
      waiting.received = kNever;
    if (waiting.received != kNever)
      order.emplace_back(&vm, &waiting);
  }
  std::ranges::sort(order, [](const auto& a, const auto& b) {
    const auto key = [](const Waiting& waiting) {
      return std::tuple(waiting.request.urgency, waiting.request.prompt_tokens,
                        waiting.received);
    };
    return key(*a.second) < key(*b.second);
  });
  std::vector<Grant> grants;
  for (const auto& [vm, waiting] : order) {
    const auto places =
        std::min(waiting->request.wanted, static_cast<std::uint32_t>(m_level));
    if (places == 0)
      break;
    m_level -= places;
    waiting->received = kNever;
    grants.push_back({.vm = *vm,
                      .grant = {.worker = waiting->request.worker,
                                .number = waiting->request.number,
                                .places = places}});
  }
  return grants;
}

TimePoint ColdPlaces::NextGrant(TimePoint now, const ColdLimit& limit) const {
  const bool any = std::ranges::any_of(m_waiting, [](const auto& entry) {
    return entry.second.received != kNever;
  });
  if (!any || limit.places_per_second <= 0)
    return kNever;
  const double missing = std::max(0.0, 1 - m_level) / limit.places_per_second;
  const TimePoint free_at =
      m_updated_at + std::chrono::duration_cast<Duration>(
                         std::chrono::duration<double>(missing));
  return std::max(free_at, now + std::chrono::milliseconds(1));
}

}  // namespace boragepick
