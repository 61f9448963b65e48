// The part of a team's token bucket that one holder keeps under its share. It
// lends tokens to routers. Its level and the outstanding loans together never
// exceed its part of the burst, so that over all holders the tokens admitted in
// any window stay within burst + rate x window.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "common/time.h"
#include "core/config/resources.h"

namespace boragepick {

using Tokens = std::int64_t;

// A loan expires at the borrower this long after the loan request was sent, by
// the borrower's boot clock.
inline constexpr Duration kLoanLifetime = std::chrono::seconds(2);
// The lender counts a loan as outstanding for longer than the borrower may
// spend it, to allow for clock drift and message delay.
inline constexpr Duration kLenderLoanLifetime =
    kLoanLifetime + kLoanLifetime / 50;

struct LoanId {
  std::string borrower;
  std::uint64_t number = 0;
  auto operator<=>(const LoanId&) const = default;
};

class TokenBucket {
 public:
  // kFull is only allowed if no earlier holder can have lent from the share. A
  // share that was taken over starts empty.
  enum class InitialLevel { kFull, kEmpty };

  // `early_burst_fraction`, from 0 to 1, is the part of the burst of a share
  // that may be used until the loans granted by its earlier holder have
  // expired. With any value, a window that begins before the takeover stays
  // within burst + rate x window. With a value above 0, a window that begins
  // after the takeover may exceed that by this part of the burst, once for each
  // takeover within the lifetime of a loan.
  TokenBucket(TimePoint now,
              const TeamSpec& team,
              std::uint32_t units,
              InitialLevel initial_level,
              double early_burst_fraction = 0);

  // Applies a change of the team's limits or of the share. A decrease of the
  // share takes effect at once; an increase takes full effect when the loans
  // that its earlier holder granted have expired.
  void Configure(TimePoint now, const TeamSpec& team, std::uint32_t units);

  // Lends up to `wanted` tokens. Returns 0 if there is nothing to lend or the
  // loan has been granted already.
  Tokens Lend(TimePoint now, const LoanId& loan, Tokens wanted);

  // Ends a loan, of which the borrower returns `unspent`. A duplicated message
  // is ignored.
  void CloseLoan(TimePoint now, const LoanId& loan, Tokens unspent);

  // Returns tokens that a request was charged by its estimate but didn't use.
  void Refund(TimePoint now, Tokens tokens);

  // The tokens available to lend, rounded down.
  Tokens Level(TimePoint now);
  // The level as of the last call of another function.
  Tokens KnownLevel() const { return static_cast<Tokens>(m_level); }
  Tokens Outstanding() const { return m_outstanding; }
  // The upper bound of level plus outstanding loans.
  Tokens Capacity() const { return static_cast<Tokens>(CapacityExact()); }

 private:
  struct OpenLoan {
    Tokens tokens = 0;
    TimePoint expires_at;
  };

  struct PendingUnits {
    std::uint32_t units = 0;
    TimePoint effective_at = kNever;
  };

  double CapacityExact() const;
  // Units whose earlier holder's loans may not have expired.
  std::uint32_t PendingIncrease() const;
  void Advance(TimePoint now);
  // Adds the tokens that accrued up to `until` under the current share and
  // loans.
  void Accrue(TimePoint until);
  void RemoveFirstExpired();
  void ClampLevel();

  TeamSpec m_team;
  double m_early_burst_fraction = 0;
  std::uint32_t m_units = 0;
  PendingUnits m_pending;
  double m_level = 0;
  TimePoint m_accrued_until;
  Tokens m_outstanding = 0;
  std::map<LoanId, OpenLoan> m_loans;
  std::multimap<TimePoint, LoanId> m_expiries;
};

}  // namespace boragepick
