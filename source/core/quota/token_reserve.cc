#include "core/quota/token_reserve.h"

#include <algorithm>
#include <utility>

namespace boragepick {

Tokens TokenReserve::Available(TimePoint now) {
  CloseExpired(now);
  return m_unspent;
}

bool TokenReserve::Spend(TimePoint now, Tokens tokens) {
  CloseExpired(now);
  if (tokens > m_unspent)
    return false;
  m_unspent -= tokens;
  while (tokens > 0) {
    Loan& loan = m_loans.begin()->second;
    const Tokens part = std::min(tokens, loan.unspent);
    loan.unspent -= part;
    tokens -= part;
    if (loan.unspent == 0)
      CloseFirst();
  }
  return true;
}

LoanRequest TokenReserve::StartLoanRequest(TimePoint now,
                                           const std::string& lender,
                                           Tokens wanted) {
  std::erase_if(m_open_requests, [&](const auto& request) {
    return now - request.second.requested_at >= kLoanLifetime;
  });
  const std::uint64_t number = ++m_last_number;
  m_open_requests[number] = {
      .lender = lender, .wanted = wanted, .requested_at = now};
  return {.number = number, .lender = lender, .wanted = wanted};
}

void TokenReserve::AddLoan(TimePoint now,
                           const std::string& lender,
                           std::uint64_t number,
                           Tokens tokens) {
  const auto request = m_open_requests.find(number);
  if (request == m_open_requests.end() || request->second.lender != lender)
    return;
  const TimePoint requested_at = request->second.requested_at;
  m_open_requests.erase(request);
  const TimePoint expires_at = requested_at + kLoanLifetime;
  if (tokens <= 0 || now >= expires_at)
    return;
  m_loans.emplace(expires_at, Loan{.lender = lender,
                                   .number = number,
                                   .unspent = tokens,
                                   .requested_at = requested_at});
  m_unspent += tokens;
}

bool TokenReserve::HasOpenRequest(TimePoint now,
                                  const std::string& lender) const {
  return std::ranges::any_of(m_open_requests, [&](const auto& request) {
    return request.second.lender == lender &&
           now - request.second.requested_at < kLoanRequestTimeout;
  });
}

Tokens TokenReserve::RequestedTokens(TimePoint now) const {
  Tokens requested = 0;
  for (const auto& [number, request] : m_open_requests) {
    if (now - request.requested_at < kLoanRequestTimeout)
      requested += request.wanted;
  }
  return requested;
}

void TokenReserve::CloseIdleLoans(TimePoint now, Tokens keep) {
  CloseExpired(now);
  while (!m_loans.empty()) {
    const Loan& loan = m_loans.begin()->second;
    const bool idle = now - loan.requested_at >= kLoanLifetime / 2;
    if (!idle || m_unspent - loan.unspent < keep)
      return;
    m_unspent -= loan.unspent;
    CloseFirst();
  }
}

std::vector<ClosedLoan> TokenReserve::TakeClosedLoans() {
  return std::exchange(m_closed_loans, {});
}

void TokenReserve::CloseExpired(TimePoint now) {
  while (!m_loans.empty() && m_loans.begin()->first <= now) {
    m_unspent -= m_loans.begin()->second.unspent;
    m_loans.begin()->second.unspent = 0;
    CloseFirst();
  }
}

void TokenReserve::CloseFirst() {
  const Loan& loan = m_loans.begin()->second;
  m_closed_loans.push_back(
      {.lender = loan.lender, .number = loan.number, .unspent = loan.unspent});
  m_loans.erase(m_loans.begin());
}

}  // namespace boragepick
