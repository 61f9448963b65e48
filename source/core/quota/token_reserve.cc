#include "core/quota/token_reserve.h"

#include <algorithm>
#include <utility>

namespace boragepick {

Tokens TokenReserve::Available(TimePoint now) {
  DropLapsed(now);
  return m_unspent;
}

bool TokenReserve::Spend(TimePoint now, Tokens tokens) {
  DropLapsed(now);
  if (tokens > m_unspent)
    return false;
  m_unspent -= tokens;
  while (tokens > 0) {
    Loan& loan = m_loans.begin()->second;
    const Tokens part = std::min(tokens, loan.unspent);
    loan.unspent -= part;
    tokens -= part;
    if (loan.unspent == 0)
      CloseFront();
  }
  return true;
}

ReserveAsk TokenReserve::StartAsk(TimePoint now,
                                  const std::string& lender,
                                  Tokens wanted) {
  std::erase_if(m_asks, [&](const auto& ask) {
    return now - ask.second.asked >= kLoanLife;
  });
  const std::uint64_t number = ++m_last_number;
  m_asks[number] = {.lender = lender, .wanted = wanted, .asked = now};
  return {.number = number, .lender = lender, .wanted = wanted};
}

void TokenReserve::TakeLoan(TimePoint now,
                            const std::string& lender,
                            std::uint64_t number,
                            Tokens tokens) {
  const auto ask = m_asks.find(number);
  if (ask == m_asks.end() || ask->second.lender != lender)
    return;
  const TimePoint asked = ask->second.asked;
  m_asks.erase(ask);
  const TimePoint lapses = asked + kLoanLife;
  if (tokens <= 0 || now >= lapses)
    return;
  m_loans.emplace(lapses, Loan{.lender = lender,
                               .number = number,
                               .unspent = tokens,
                               .asked = asked});
  m_unspent += tokens;
}

bool TokenReserve::IsAsking(TimePoint now, const std::string& lender) const {
  return std::ranges::any_of(m_asks, [&](const auto& ask) {
    return ask.second.lender == lender && now - ask.second.asked < kAskTimeout;
  });
}

Tokens TokenReserve::Awaited(TimePoint now) const {
  Tokens awaited = 0;
  for (const auto& [number, ask] : m_asks) {
    if (now - ask.asked < kAskTimeout)
      awaited += ask.wanted;
  }
  return awaited;
}

void TokenReserve::ReturnIdle(TimePoint now, Tokens keep) {
  DropLapsed(now);
  while (!m_loans.empty()) {
    const Loan& loan = m_loans.begin()->second;
    const bool idle = now - loan.asked >= kLoanLife / 2;
    if (!idle || m_unspent - loan.unspent < keep)
      return;
    m_unspent -= loan.unspent;
    CloseFront();
  }
}

std::vector<ClosedLoan> TokenReserve::TakeClosed() {
  return std::exchange(m_closed, {});
}

void TokenReserve::DropLapsed(TimePoint now) {
  while (!m_loans.empty() && m_loans.begin()->first <= now) {
    m_unspent -= m_loans.begin()->second.unspent;
    m_loans.begin()->second.unspent = 0;
    CloseFront();
  }
}

void TokenReserve::CloseFront() {
  const Loan& loan = m_loans.begin()->second;
  m_closed.push_back(
      {.lender = loan.lender, .number = loan.number, .unspent = loan.unspent});
  m_loans.erase(m_loans.begin());
}

}  // namespace boragepick
