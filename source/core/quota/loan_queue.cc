#include "core/quota/loan_queue.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace boragepick {

namespace {

// The division over routers follows a change of their demand within this time.
constexpr Duration kReceivedMemory = std::chrono::milliseconds(500);
// Less than this is as good as nothing.
constexpr double kMinReceivedTokens = 1;

}  // namespace

void LoanQueue::Add(WaitingLoan loan) {
  std::string borrower = loan.id.borrower;
  m_waiting.insert_or_assign(std::move(borrower), std::move(loan));
}

bool LoanQueue::IsEmpty(TimePoint now) {
  RemoveExpired(now);
  return m_waiting.empty();
}

bool LoanQueue::HasOther(TimePoint now, const std::string& borrower) {
  RemoveExpired(now);
  return m_waiting.size() > (m_waiting.contains(borrower) ? 1U : 0U);
}

std::vector<GrantedLoan> LoanQueue::Grant(TimePoint now,
                                          Tokens level,
                                          Tokens capacity) {
  RemoveExpired(now);
  std::vector<GrantedLoan> granted = InOrder(now);
  Tokens left = level;
  for (GrantedLoan& entry : granted) {
    const Tokens needed = std::min(entry.loan.needed, capacity);
    if (needed > left)
      break;
    entry.tokens = needed;
    left -= needed;
  }
  for (GrantedLoan& entry : granted) {
    if (entry.tokens == 0)
      break;
    const Tokens more =
        std::clamp<Tokens>(entry.loan.wanted - entry.tokens, 0, left);
    entry.tokens += more;
    left -= more;
  }
  std::erase_if(granted, [](const GrantedLoan& g) { return g.tokens == 0; });
  RecordGrants(now, granted);
  return granted;
}

void LoanQueue::RemoveExpired(TimePoint now) {
  std::erase_if(m_waiting, [now](const auto& entry) {
    return entry.second.expires_at <= now;
  });
}

double LoanQueue::ReceivedTokens(TimePoint now,
                                 const std::string& borrower) const {
  const auto found = m_received.find(borrower);
  if (found == m_received.end())
    return 0;
  const double age =
      ToSeconds(now - found->second.at) / ToSeconds(kReceivedMemory);
  return found->second.tokens * std::exp(-age);
}

std::vector<GrantedLoan> LoanQueue::InOrder(TimePoint now) const {
  using Rank = std::tuple<std::uint32_t, double, TimePoint>;
  std::vector<std::pair<Rank, const WaitingLoan*>> ranked;
  ranked.reserve(m_waiting.size());
  for (const auto& [borrower, loan] : m_waiting) {
    const double received =
        ReceivedTokens(now, borrower) /
        static_cast<double>(std::max<Tokens>(loan.demand, 1));
    ranked.emplace_back(Rank(loan.urgency, received, loan.expires_at), &loan);
  }
  std::ranges::sort(ranked, {}, [](const auto& entry) { return entry.first; });
  std::vector<GrantedLoan> order;
  order.reserve(ranked.size());
  for (const auto& [rank, loan] : ranked)
    order.push_back({.loan = *loan});
  return order;
}

void LoanQueue::RecordGrants(TimePoint now,
                             const std::vector<GrantedLoan>& granted) {
  for (const GrantedLoan& entry : granted) {
    const std::string& borrower = entry.loan.id.borrower;
    const double before = ReceivedTokens(now, borrower);
    m_received[borrower] = {
        .tokens = before + static_cast<double>(entry.tokens), .at = now};
    m_waiting.erase(borrower);
  }
  if (m_waiting.empty()) {
    std::erase_if(m_received, [&](const auto& entry) {
      return ReceivedTokens(now, entry.first) < kMinReceivedTokens;
    });
  }
}

}  // namespace boragepick
