// The requests of one team that wait at a router for tokens of the team's
// quota: which is admitted next, which can't be admitted in time, and when
// their callers may return. Answers the load of a team that asks for several
// times its rate.
#pragma once

#include <concepts>
#include <cstdint>
#include <map>
#include <vector>

#include "common/random.h"
#include "common/time.h"
#include "core/quota/quota_manager.h"
#include "core/scheduling/request.h"

namespace boragepick {

struct QueuedRequest {
  RequestId id = 0;
  Tokens cost = 0;
  // 0 is the most urgent.
  std::uint32_t urgency = 0;
  TimePoint arrived;
  // A request that is admitted later misses its objective.
  TimePoint admit_by;
  // When the caller gives up.
  TimePoint deadline;
};

// Why a request was refused, and when its caller may return.
struct QuotaRefusal {
  RequestId id = 0;
  // Cost of the request and of those that would be admitted before it.
  Tokens backlog = 0;
  // Tokens per second that this router gets.
  Tokens rate = 0;
  Duration expected_wait = Duration::zero();
  Duration retry_after = Duration::zero();
};

// What a team's rate allows this router at least and at most, in tokens per
// second, whatever it got before.
struct QuotaRateBounds {
  Tokens least = 1;
  Tokens most = 1;
};

template <typename Source>
concept TokenSource = requires(Source source, TimePoint now, Tokens cost) {
  // Withdraws `cost`, or returns false.
  { source.Admit(now, cost) } -> std::same_as<bool>;
  // Tokens that are certainly there after a refusal.
  { source.Available(now) } -> std::same_as<Tokens>;
};

// A rate over the last half second, in tokens per second.
class TokenRate {
 public:
  void Add(TimePoint now, Tokens tokens);
  double PerSecond(TimePoint now) const;

 private:
  double m_tokens = 0;
  TimePoint m_at = TimePoint{};
};

class QuotaQueue {
 public:
  // To be called for each request of the team, and for each that is admitted
  // without waiting.
  void RecordArrival(TimePoint now, Tokens cost) { m_asked.Add(now, cost); }
  void RecordAdmitted(TimePoint now, Tokens cost) { m_admitted.Add(now, cost); }

  // Whether a request that waits goes before a new one of this urgency.
  bool GoesBefore(TimePoint now, std::uint32_t urgency);
  void Add(TimePoint now, const QueuedRequest& request);
  void Remove(RequestId id);

  // Removes and returns the requests for which `source` has tokens, the most
  // urgent first.
  template <TokenSource Source>
  std::vector<QueuedRequest> Admit(TimePoint now, Source& source);

  // Removes the requests that won't be admitted in time at the rate that this
  // router gets.
  std::vector<QuotaRefusal> RefuseLate(TimePoint now,
                                       const QuotaRateBounds& bounds,
                                       Random& random);

  bool empty() const { return m_requests.empty(); }
  std::size_t size() const { return m_requests.size(); }
  WaitingDemand Waiting(TimePoint now);

 private:
  // Smaller requests of the same urgency may be admitted before a large one
  // until it has waited this long.
  static constexpr Duration kMaxOvertakenTime = std::chrono::milliseconds(300);

  void Sort(TimePoint now);
  // Tokens per second that waiting requests can count on.
  double UsableRate(TimePoint now, const QuotaRateBounds& bounds) const;
  Duration RetryAfter(TimePoint now,
                      const QueuedRequest& request,
                      double rate,
                      Random& random);

  // In the order of admission, as of `m_sorted_at`.
  std::vector<QueuedRequest> m_requests;
  TimePoint m_sorted_at = TimePoint{};
  // Since when requests wait without a pause.
  TimePoint m_waiting_since = kNever;
  TokenRate m_asked;
  TokenRate m_admitted;
  // When the tokens for the next refused request of an urgency will be there.
  std::map<std::uint32_t, TimePoint> m_next_return;
};

// The urgency of a request that has waited since it arrived.
std::uint32_t AgedUrgency(TimePoint now, const QueuedRequest& request);

template <TokenSource Source>
std::vector<QueuedRequest> QuotaQueue::Admit(TimePoint now, Source& source) {
  Sort(now);
  std::vector<QueuedRequest> admitted;
  std::vector<QueuedRequest> waiting;
  waiting.reserve(m_requests.size());
  Tokens available = 0;
  for (const QueuedRequest& request : m_requests) {
    // Only the first one may cause a loan from this router's own share.
    bool may_try = waiting.empty();
    if (!may_try) {
      const QueuedRequest& first = waiting.front();
      may_try = now - first.arrived <= kMaxOvertakenTime &&
                AgedUrgency(now, request) == AgedUrgency(now, first) &&
                request.cost <= available;
    }
    if (may_try && source.Admit(now, request.cost)) {
      available -= request.cost;
      m_admitted.Add(now, request.cost);
      admitted.push_back(request);
      continue;
    }
    if (waiting.empty())
      available = source.Available(now);
    waiting.push_back(request);
  }
  m_requests = std::move(waiting);
  if (m_requests.empty())
    m_waiting_since = kNever;
  return admitted;
}

}  // namespace boragepick
