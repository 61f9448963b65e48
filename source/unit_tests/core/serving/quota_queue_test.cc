// Tests which requests of a team are admitted, refused and asked to return
// while its callers want several times what the router gets.

#include "core/serving/quota_queue.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>
#include <vector>

namespace boragepick {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart = TimePoint(seconds(100));
constexpr QuotaRateBounds kBounds{.least = 1'000, .most = 20'000};

// Tokens that accrue at a fixed rate.
struct SteadyTokens {
  double level = 0;
  bool Admit(TimePoint /*now*/, Tokens cost) {
    if (level < static_cast<double>(cost))
      return false;
    level -= static_cast<double>(cost);
    return true;
  }
  Tokens Available(TimePoint /*now*/) const {
    return static_cast<Tokens>(level);
  }
};

struct Arrival {
  Tokens cost = 100;
  std::uint32_t urgency = 0;
  Duration patience = milliseconds(250);
};

// Replays callers who ask for several times the rate. Callers of refused
// requests don't return.
class Replay {
 public:
  explicit Replay(double tokens_per_second) : m_rate(tokens_per_second) {}

  void Add(const Arrival& arrival) {
    const RequestId id = ++m_last_id;
    m_queue.RecordArrival(m_now, arrival.cost);
    m_queue.Add(m_now, {.id = id,
                        .cost = arrival.cost,
                        .urgency = arrival.urgency,
                        .arrived = m_now,
                        .admit_by = m_now + arrival.patience,
                        .deadline = m_now + seconds(6)});
    m_urgency[id] = arrival.urgency;
    m_arrived[id] = m_now;
    Refuse();
  }

  // Each of `arrivals` comes once in `period`.
  void Run(Duration duration,
           Duration period,
           const std::vector<Arrival>& arrivals) {
    for (const TimePoint end = m_now + duration; m_now < end;) {
      if ((m_now - kStart) % period == Duration::zero()) {
        for (const Arrival& arrival : arrivals)
          Add(arrival);
      }
      m_now += kStep;
      m_tokens.level += m_rate * ToSeconds(kStep);
      for (const QueuedRequest& request : m_queue.Admit(m_now, m_tokens)) {
        ++admitted[request.urgency];
        longest_wait[request.urgency] =
            std::max(longest_wait[request.urgency], m_now - request.arrived);
      }
      Refuse();
    }
  }

  QuotaQueue& queue() { return m_queue; }
  TimePoint now() const { return m_now; }
  void SetRate(double rate) { m_rate = rate; }

  struct Refused {
    std::uint32_t urgency = 0;
    Duration waited;
    TimePoint at;
    QuotaRefusal refusal;
  };

  // By urgency.
  std::map<std::uint32_t, int> admitted;
  std::map<std::uint32_t, Duration> longest_wait;
  std::vector<Refused> refused;

 private:
  static constexpr Duration kStep = milliseconds(5);

  void Refuse() {
    for (const QuotaRefusal& refusal :
         m_queue.RefuseLate(m_now, kBounds, m_random))
      refused.push_back({.urgency = m_urgency[refusal.id],
                         .waited = m_now - m_arrived[refusal.id],
                         .at = m_now,
                         .refusal = refusal});
  }

  double m_rate;
  TimePoint m_now = kStart;
  QuotaQueue m_queue;
  SteadyTokens m_tokens;
  Random m_random{5};
  RequestId m_last_id = 0;
  std::map<RequestId, std::uint32_t> m_urgency;
  std::map<RequestId, TimePoint> m_arrived;
};

// 10,000 tokens a second are asked for urgently and as many less urgently; the
// router gets 11,000.
TEST(QuotaQueue, TheMostUrgentIsAdmittedFirst) {
  Replay replay(11'000);
  replay.Run(seconds(10), milliseconds(10),
             {{.urgency = 2, .patience = milliseconds(250)}, {.urgency = 0}});
  EXPECT_GE(replay.admitted[0], 980);
  EXPECT_GE(replay.admitted[0] + replay.admitted[2], 1'080);
}

// Urgent requests alone use up the tokens. Less urgent ones that can wait are
// still admitted now and then.
TEST(QuotaQueue, LessUrgentRequestsAreNotStarved) {
  Replay replay(8'000);
  replay.Run(seconds(10), milliseconds(10), {{.urgency = 0}});
  replay.admitted.clear();
  for (int i = 0; i < 10; ++i) {
    replay.Add({.urgency = 2, .patience = seconds(3)});
    replay.Run(seconds(3), milliseconds(10), {{.urgency = 0}});
  }
  EXPECT_GE(replay.admitted[2], 8);
  EXPECT_GE(replay.admitted[0], 2'100);
}

// Of what can't be admitted in time, little waits before it is refused.
TEST(QuotaQueue, RefusesAtOnceWhatCannotBeAdmittedInTime) {
  Replay replay(5'000);
  replay.Run(seconds(2), milliseconds(10), {{}, {}, {}});
  replay.refused.clear();
  replay.admitted.clear();
  replay.Run(seconds(5), milliseconds(10), {{}, {}, {}});
  std::vector<Duration> waits;
  for (const Replay::Refused& refused : replay.refused)
    waits.push_back(refused.waited);
  std::ranges::sort(waits);
  ASSERT_GT(waits.size(), 1'000U);
  EXPECT_LE(waits[waits.size() / 2], milliseconds(10));
  // The tokens are used nevertheless.
  EXPECT_GE(replay.admitted[0], 245);
  for (const Replay::Refused& refused : replay.refused) {
    EXPECT_GT(refused.refusal.backlog, 0);
    EXPECT_GE(refused.refusal.rate, kBounds.least);
  }
}

// The rate under pressure isn't known yet when a burst begins: nothing is
// refused that the team's whole rate could serve.
TEST(QuotaQueue, RefusesNothingEarlyAtTheBeginningOfABurst) {
  Replay replay(20'000);
  for (int i = 0; i < 40; ++i)
    replay.Add({});
  EXPECT_TRUE(replay.refused.empty());
  replay.Run(milliseconds(300), seconds(60), {});
  EXPECT_TRUE(replay.refused.empty());
  EXPECT_EQ(replay.admitted[0], 40);
}

// A thousand requests are refused at once. Their callers return neither at one
// time nor before the more urgent ones.
TEST(QuotaQueue, SpreadsReturnsInTheOrderOfUrgency) {
  Replay replay(2'000);
  replay.Run(seconds(2), milliseconds(10), {{}});
  replay.refused.clear();
  for (int i = 0; i < 20; ++i) {
    replay.Add({.urgency = 2});
    replay.Add({.urgency = 0});
  }
  ASSERT_GE(replay.refused.size(), 25U);
  std::map<std::uint32_t, Duration> sum;
  std::map<std::uint32_t, int> count;
  std::map<Duration, int> by_tenth;
  for (const Replay::Refused& refused : replay.refused) {
    const Duration after = refused.refusal.retry_after;
    EXPECT_GE(after, milliseconds(100));
    EXPECT_LE(after, seconds(2));
    sum[refused.urgency] += after;
    ++count[refused.urgency];
    ++by_tenth[after / milliseconds(100) * milliseconds(100)];
  }
  EXPECT_LT(sum[0] / count[0], sum[2] / count[2]);
  for (const auto& [tenth, returns] : by_tenth)
    EXPECT_LE(returns, 8) << FormatMilliseconds(tenth);
}

TEST(QuotaQueue, TellsTheHolderWhatWaits) {
  QuotaQueue queue;
  queue.RecordArrival(kStart, 700);
  queue.Add(kStart, {.id = 1,
                     .cost = 500,
                     .urgency = 2,
                     .arrived = kStart,
                     .admit_by = kStart + seconds(1)});
  queue.Add(kStart, {.id = 2,
                     .cost = 200,
                     .urgency = 1,
                     .arrived = kStart,
                     .admit_by = kStart + seconds(2)});
  const WaitingDemand waiting = queue.Waiting(kStart);
  EXPECT_EQ(waiting.next_cost, 200);
  EXPECT_EQ(waiting.total_cost, 700);
  EXPECT_EQ(waiting.urgency, 1U);
  EXPECT_EQ(waiting.demand, 1'400);
  queue.Remove(2);
  EXPECT_EQ(queue.Waiting(kStart).next_cost, 500);
}

}  // namespace
}  // namespace boragepick
