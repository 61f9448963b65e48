// The part of a team's token bucket that one holder keeps under its standing
// share. It lends tokens to routers and never lets its level and the unspent
// loans together exceed its part of the burst, so over all holders tokens
// admitted in a window stay within burst + rate x window.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "common/time.h"
#include "core/config/resources.h"

namespace boragepick {

using Tokens = std::int64_t;

// A loan lapses at the borrower so long after it sent the ask, by its boot
// clock.
inline constexpr Duration kLoanLife = std::chrono::seconds(2);
// The lender waits longer than the borrower may spend: clocks drift, messages
// wait.
inline constexpr Duration kLoanLifeAtLender = kLoanLife + kLoanLife / 50;

struct LoanId {
  std::string borrower;
  std::uint64_t number = 0;
  auto operator<=>(const LoanId&) const = default;
};

class TokenBucket {
 public:
  // kFull only where nobody can have lent from the share before. A share that
  // was taken over starts empty.
  enum class Start { kFull, kEmpty };

  // Until the loans that an earlier holder gave from a share have lapsed,
  // `early_part` of its burst may be used, 0 to 1. Whatever the part, a
  // window that begins before the take-over stays within burst + rate x window.
  // With more than 0, one that begins after it may exceed that by the part of
  // the burst, once for each take-over within the life of a loan.
  TokenBucket(TimePoint now,
              const TeamSpec& team,
              std::uint32_t units,
              Start start,
              double early_part = 0);

  // The team's numbers or the share have changed. A smaller share counts at
  // once, a larger one fully when the loans that an earlier holder gave from it
  // have lapsed.
  void Configure(TimePoint now, const TeamSpec& team, std::uint32_t units);

  // Lends at most `wanted`; 0 when there is nothing to lend or the loan was
  // already made.
  Tokens Lend(TimePoint now, const LoanId& loan, Tokens wanted);

  // The borrower has done with a loan and gives `unspent` of it back; a doubled
  // message is ignored.
  void Close(TimePoint now, const LoanId& loan, Tokens unspent);

  // A request settled below its estimate.
  void Refund(TimePoint now, Tokens tokens);

  // Rounded down.
  Tokens Level(TimePoint now);
  Tokens Outstanding() const { return m_outstanding; }
  // Level and unspent loans never exceed it.
  Tokens Capacity() const { return static_cast<Tokens>(CapacityExact()); }

 private:
  struct OpenLoan {
    Tokens tokens = 0;
    TimePoint lapses;
  };

  struct PendingUnits {
    std::uint32_t units = 0;
    TimePoint counts_from = kNever;
  };

  double CapacityExact() const;
  // Units whose earlier holder's loans may not have lapsed.
  std::uint32_t YoungUnits() const;
  void Advance(TimePoint now);
  // Counts what accrued up to `until` under the present share and loans.
  void Accrue(TimePoint until);
  void ForgetFirstLapsed();
  void ClampLevel();

  TeamSpec m_team;
  double m_early_part = 0;
  std::uint32_t m_units = 0;
  PendingUnits m_pending;
  double m_level = 0;
  TimePoint m_counted_until;
  Tokens m_outstanding = 0;
  std::map<LoanId, OpenLoan> m_loans;
  std::multimap<TimePoint, LoanId> m_lapses;
};

}  // namespace boragepick
