#include "core/quota/token_bucket.h"

#include <algorithm>
#include <cmath>

#include "core/quota/share_page.h"

namespace boragepick {

namespace {

double PartOfShare(std::uint32_t whole, std::uint32_t units) {
  return static_cast<double>(whole) * units / kShareUnits;
}

}  // namespace

TokenBucket::TokenBucket(TimePoint now,
                         const TeamSpec& team,
                         std::uint32_t units,
                         InitialLevel initial_level,
                         double early_burst_fraction)
    : m_team(team),
      m_early_burst_fraction(early_burst_fraction),
      m_accrued_until(now) {
  if (initial_level == InitialLevel::kFull) {
    m_units = units;
    m_level = CapacityExact();
    return;
  }
  m_pending = {.units = units, .effective_at = now + kLenderLoanLifetime};
}

void TokenBucket::Configure(TimePoint now,
                            const TeamSpec& team,
                            std::uint32_t units) {
  Advance(now);
  m_team = team;
  if (units <= m_units) {
    m_units = units;
    m_pending = {};
  } else if (m_pending.units != units) {
    m_pending = {.units = units, .effective_at = now + kLenderLoanLifetime};
  }
  ClampLevel();
}

double TokenBucket::CapacityExact() const {
  return PartOfShare(m_team.burst_tokens, m_units) +
         m_early_burst_fraction *
             PartOfShare(m_team.burst_tokens, PendingIncrease());
}

std::uint32_t TokenBucket::PendingIncrease() const {
  return m_pending.units > m_units ? m_pending.units - m_units : 0;
}

Tokens TokenBucket::Lend(TimePoint now, const LoanId& loan, Tokens wanted) {
  Advance(now);
  const auto available = static_cast<Tokens>(m_level);
  const Tokens tokens = std::min(wanted, available);
  if (tokens <= 0 || m_loans.contains(loan))
    return 0;
  const TimePoint expires_at = now + kLenderLoanLifetime;
  m_level -= static_cast<double>(tokens);
  m_outstanding += tokens;
  m_loans[loan] = {.tokens = tokens, .expires_at = expires_at};
  m_expiries.emplace(expires_at, loan);
  return tokens;
}

void TokenBucket::CloseLoan(TimePoint now, const LoanId& loan, Tokens unspent) {
  Advance(now);
  const auto found = m_loans.find(loan);
  if (found == m_loans.end())
    return;
  const Tokens tokens = found->second.tokens;
  const auto [first, last] = m_expiries.equal_range(found->second.expires_at);
  const auto expiry = std::find_if(
      first, last, [&](const auto& e) { return e.second == loan; });
  m_expiries.erase(expiry);
  m_loans.erase(found);
  m_outstanding -= tokens;
  m_level += static_cast<double>(std::clamp<Tokens>(unspent, 0, tokens));
  ClampLevel();
}

void TokenBucket::Refund(TimePoint now, Tokens tokens) {
  Advance(now);
  m_level += static_cast<double>(std::max<Tokens>(tokens, 0));
  ClampLevel();
}

Tokens TokenBucket::Level(TimePoint now) {
  Advance(now);
  return static_cast<Tokens>(m_level);
}

void TokenBucket::Advance(TimePoint now) {
  // The level is capped according to the loans and the share at the time of
  // accrual, so all expiries and share changes since the last call are
  // processed in order of time.
  while (true) {
    const TimePoint expiry =
        m_expiries.empty() ? kNever : m_expiries.begin()->first;
    const TimePoint next = std::min(expiry, m_pending.effective_at);
    if (next > now)
      break;
    Accrue(next);
    if (next == expiry) {
      RemoveFirstExpired();
      continue;
    }
    m_units = m_pending.units;
    m_pending = {};
  }
  Accrue(now);
}

void TokenBucket::Accrue(TimePoint until) {
  if (until <= m_accrued_until)
    return;
  // Pending units count in full here: their earlier holder has given them up,
  // so tokens that accrue from now on belong to this holder.
  const double rate =
      PartOfShare(m_team.rate_tokens_per_second, m_units + PendingIncrease());
  m_level += rate * ToSeconds(until - m_accrued_until);
  m_accrued_until = until;
  ClampLevel();
}

void TokenBucket::RemoveFirstExpired() {
  const auto loan = m_loans.find(m_expiries.begin()->second);
  m_outstanding -= loan->second.tokens;
  m_loans.erase(loan);
  m_expiries.erase(m_expiries.begin());
}

void TokenBucket::ClampLevel() {
  const double limit = CapacityExact() - static_cast<double>(m_outstanding);
  m_level = std::clamp(m_level, 0.0, std::max(limit, 0.0));
}

}  // namespace boragepick
