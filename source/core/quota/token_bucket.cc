#include "core/quota/token_bucket.h"

#include <algorithm>
#include <cmath>

#include "core/quota/share_page.h"

namespace boragepick {

namespace {

double PartOf(std::uint32_t whole, std::uint32_t units) {
  return static_cast<double>(whole) * units / kShareUnits;
}

}  // namespace

TokenBucket::TokenBucket(TimePoint now,
                         const TeamSpec& team,
                         std::uint32_t units,
                         Start start,
                         double early_part)
    : m_team(team), m_early_part(early_part), m_counted_until(now) {
  if (start == Start::kFull) {
    m_units = units;
    m_level = CapacityExact();
    return;
  }
  m_pending = {.units = units, .counts_from = now + kLoanLifeAtLender};
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
    m_pending = {.units = units, .counts_from = now + kLoanLifeAtLender};
  }
  ClampLevel();
}

double TokenBucket::CapacityExact() const {
  return PartOf(m_team.burst_tokens, m_units) +
         m_early_part * PartOf(m_team.burst_tokens, YoungUnits());
}

std::uint32_t TokenBucket::YoungUnits() const {
  return m_pending.units > m_units ? m_pending.units - m_units : 0;
}

Tokens TokenBucket::Lend(TimePoint now, const LoanId& loan, Tokens wanted) {
  Advance(now);
  const auto available = static_cast<Tokens>(m_level);
  const Tokens tokens = std::min(wanted, available);
  if (tokens <= 0 || m_loans.contains(loan))
    return 0;
  const TimePoint lapses = now + kLoanLifeAtLender;
  m_level -= static_cast<double>(tokens);
  m_outstanding += tokens;
  m_loans[loan] = {.tokens = tokens, .lapses = lapses};
  m_lapses.emplace(lapses, loan);
  return tokens;
}

void TokenBucket::Close(TimePoint now, const LoanId& loan, Tokens unspent) {
  Advance(now);
  const auto found = m_loans.find(loan);
  if (found == m_loans.end())
    return;
  const Tokens tokens = found->second.tokens;
  const auto [first, last] = m_lapses.equal_range(found->second.lapses);
  const auto lapse = std::find_if(
      first, last, [&](const auto& e) { return e.second == loan; });
  m_lapses.erase(lapse);
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
    const TimePoint lapse = m_lapses.empty() ? kNever : m_lapses.begin()->first;
    const TimePoint next = std::min(lapse, m_pending.counts_from);
    if (next > now)
      break;
    Accrue(next);
    if (next == lapse) {
      ForgetFirstLapsed();
      continue;
    }
    m_units = m_pending.units;
    m_pending = {};
  }
  Accrue(now);
}

void TokenBucket::Accrue(TimePoint until) {
  if (until <= m_counted_until)
    return;
  // Pending units count in full here: their earlier holder has given them up,
  // so tokens that accrue from now on belong to this holder.
  const double rate =
      PartOf(m_team.rate_tokens_per_second, m_units + YoungUnits());
  m_level += rate * ToSeconds(until - m_counted_until);
  m_counted_until = until;
  ClampLevel();
}

void TokenBucket::ForgetFirstLapsed() {
  const auto loan = m_loans.find(m_lapses.begin()->second);
  m_outstanding -= loan->second.tokens;
  m_loans.erase(loan);
  m_lapses.erase(m_lapses.begin());
}

void TokenBucket::ClampLevel() {
  const double room = CapacityExact() - static_cast<double>(m_outstanding);
  m_level = std::clamp(m_level, 0.0, std::max(room, 0.0));
}

}  // namespace boragepick
