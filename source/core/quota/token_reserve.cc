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

void TokenReserve::StartLoanRequest(TimePoint now, const LoanRequest& request) {
  std::erase_if(m_open_requests, [&](const auto& open) {
    return now - open.second.requested_at >= kLoanLifetime;
  });
  for (auto& [number, open] : m_open_requests) {
    if (open.lender == request.lender)
      open.is_superseded = true;
  }
  m_open_requests[request.number] = {.lender = request.lender,
                                     .wanted = request.wanted,
                                     .urgency = request.urgency,
                                     .requested_at = now};
}

void TokenReserve::AddLoan(TimePoint now,
                           const std::string& lender,
                           std::uint64_t number,
                           Tokens tokens) {
  const auto request = m_open_requests.find(number);
  if (tokens <= 0 || request == m_open_requests.end() ||
      request->second.lender != lender)
    return;
  const TimePoint expires_at = request->second.requested_at + kLoanLifetime;
  m_open_requests.erase(request);
  if (now >= expires_at)
    return;
  m_loans.emplace(expires_at,
                  Loan{.lender = lender, .number = number, .unspent = tokens});
  m_unspent += tokens;
}

bool TokenReserve::IsOpen(TimePoint now, const OpenRequest& request) {
  return !request.is_superseded &&
         now - request.requested_at < kLoanRequestTimeout;
}

bool TokenReserve::HasOpenRequest(TimePoint now,
                                  const std::string& lender,
                                  std::uint32_t urgency) const {
  return std::ranges::any_of(m_open_requests, [&](const auto& entry) {
    const OpenRequest& request = entry.second;
    return request.lender == lender && request.urgency <= urgency &&
           IsOpen(now, request);
  });
}

Tokens TokenReserve::RequestedTokens(TimePoint now,
                                     std::uint32_t urgency) const {
  Tokens requested = 0;
  for (const auto& [number, request] : m_open_requests) {
    if (request.urgency <= urgency && IsOpen(now, request))
      requested += request.wanted;
  }
  return requested;
}

void TokenReserve::CloseIdleLoans(TimePoint now, Tokens keep) {
  CloseExpired(now);
  while (!m_loans.empty() &&
         m_unspent - m_loans.begin()->second.unspent >= keep) {
    m_unspent -= m_loans.begin()->second.unspent;
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
