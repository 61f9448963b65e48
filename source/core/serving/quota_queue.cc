#include "core/serving/quota_queue.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace boragepick {

namespace {

constexpr Duration kRateMemory = std::chrono::milliseconds(500);
// A request is one step more urgent for each such time that it has waited, so
// that less urgent work isn't starved. Interactive requests wait for less, so
// that they aren't overtaken by what has merely more time.
constexpr Duration kAgeingTime = std::chrono::milliseconds(1'000);
// The order by age is renewed once in this time.
constexpr Duration kSortInterval = std::chrono::milliseconds(50);
// Until requests have waited for this long, the rate that this router gets
// under pressure is not known.
constexpr Duration kMeasuringTime = std::chrono::milliseconds(300);
// A request is refused early only if the expected wait exceeds its time by this
// factor, since the rate varies.
constexpr double kLateFactor = 1.25;
constexpr Duration kMinRetryAfter = std::chrono::milliseconds(200);
// Callers wait no longer than this part of their remaining time.
constexpr int kCallerWaitDivisor = 3;
// Returns are moved by up to this part of their delay, either way.
constexpr int kJitterDivisor = 5;

Duration TimeFor(double tokens, double rate) {
  constexpr double kLongest = 3'600;
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(std::min(tokens / rate, kLongest)));
}

Duration RandomBelow(Duration bound, Random& random) {
  if (bound <= Duration::zero())
    return Duration::zero();
  return Duration(static_cast<Duration::rep>(
      random.Below(static_cast<std::uint64_t>(bound.count()))));
}

}  // namespace

void TokenRate::Add(TimePoint now, Tokens tokens) {
  m_tokens =
      PerSecond(now) * ToSeconds(kRateMemory) + static_cast<double>(tokens);
  m_at = now;
}

double TokenRate::PerSecond(TimePoint now) const {
  const double age = ToSeconds(now - m_at) / ToSeconds(kRateMemory);
  return m_tokens * std::exp(-age) / ToSeconds(kRateMemory);
}

std::uint32_t AgedUrgency(TimePoint now, const QueuedRequest& request) {
  const auto steps =
      static_cast<std::uint32_t>((now - request.arrived) / kAgeingTime);
  return request.urgency - std::min(request.urgency, steps);
}

bool QuotaQueue::GoesBefore(TimePoint now, std::uint32_t urgency) {
  Sort(now);
  return !m_requests.empty() && AgedUrgency(now, m_requests.front()) <= urgency;
}

void QuotaQueue::Add(TimePoint now, const QueuedRequest& request) {
  if (m_requests.empty())
    m_waiting_since = now;
  m_requests.push_back(request);
  m_sorted_at = TimePoint{};
}

void QuotaQueue::Remove(RequestId id) {
  std::erase_if(m_requests,
                [id](const auto& request) { return request.id == id; });
  if (m_requests.empty())
    m_waiting_since = kNever;
}

void QuotaQueue::Sort(TimePoint now) {
  if (now - m_sorted_at < kSortInterval)
    return;
  m_sorted_at = now;
  std::ranges::sort(m_requests, {}, [now](const QueuedRequest& request) {
    return std::tuple(AgedUrgency(now, request), request.admit_by, request.id);
  });
}

double QuotaQueue::UsableRate(TimePoint now,
                              const QuotaRateBounds& bounds) const {
  const auto least = static_cast<double>(std::max<Tokens>(bounds.least, 1));
  const auto most = static_cast<double>(std::max<Tokens>(bounds.most, 1));
  const double measured = std::max(m_admitted.PerSecond(now), least);
  const bool is_known =
      !m_requests.empty() && now - m_waiting_since >= kMeasuringTime;
  return is_known ? measured : std::max(measured, most);
}

std::vector<QuotaRefusal> QuotaQueue::RefuseLate(TimePoint now,
                                                 const QuotaRateBounds& bounds,
                                                 Random& random) {
  Sort(now);
  const double rate = UsableRate(now, bounds);
  std::vector<QuotaRefusal> refused;
  Tokens ahead = 0;
  std::erase_if(m_requests, [&](const QueuedRequest& request) {
    const Tokens backlog = ahead + request.cost;
    const Duration wait = TimeFor(static_cast<double>(backlog), rate);
    const Duration sure_wait =
        TimeFor(static_cast<double>(backlog), rate * kLateFactor);
    if (now < request.admit_by && now + sure_wait <= request.admit_by) {
      ahead = backlog;
      return false;
    }
    refused.push_back({.id = request.id,
                       .backlog = backlog,
                       .rate = static_cast<Tokens>(rate),
                       .expected_wait = wait,
                       .retry_after = RetryAfter(now, request, rate, random)});
    return true;
  });
  if (m_requests.empty())
    m_waiting_since = kNever;
  return refused;
}

Duration QuotaQueue::RetryAfter(TimePoint now,
                                const QueuedRequest& request,
                                double rate,
                                Random& random) {
  // Refused requests get the tokens that accrue after those for the requests
  // refused before them, except less urgent ones.
  TimePoint at = now + kMinRetryAfter;
  for (const auto& [urgency, next] : m_next_return) {
    if (urgency <= request.urgency)
      at = std::max(at, next);
  }
  const Duration limit =
      std::max(kMinRetryAfter, (request.deadline - now) / kCallerWaitDivisor);
  m_next_return[request.urgency] = std::min(
      at + TimeFor(static_cast<double>(request.cost), rate), now + limit);
  const Duration delay = at - now;
  if (delay >= limit)
    return limit / 2 + RandomBelow(limit / 2, random);
  const Duration jitter = delay / kJitterDivisor;
  return std::min(limit, delay - jitter + RandomBelow(2 * jitter, random));
}

WaitingDemand QuotaQueue::Waiting(TimePoint now) {
  if (m_requests.empty())
    return {};
  Sort(now);
  Tokens total = 0;
  for (const QueuedRequest& request : m_requests)
    total += request.cost;
  return {.next_cost = m_requests.front().cost,
          .total_cost = total,
          .urgency = AgedUrgency(now, m_requests.front()),
          .demand = static_cast<Tokens>(m_asked.PerSecond(now))};
}

}  // namespace boragepick
