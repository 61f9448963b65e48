// The tokens of one team that a router has borrowed and may admit without
// contacting other routers. Loans that expire first are spent first. Each loan
// is reported to its lender when it is closed, so that the lender can lend the
// unspent rest again.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "common/time.h"
#include "core/quota/token_bucket.h"

namespace boragepick {

// A request for a loan from one holder; the loan that answers it has the same
// `number`.
struct LoanRequest {
  std::uint64_t number = 0;
  std::string lender;
  Tokens wanted = 0;
};

struct ClosedLoan {
  std::string lender;
  std::uint64_t number = 0;
  Tokens unspent = 0;
};

class TokenReserve {
 public:
  // Unspent tokens that have not expired.
  Tokens Available(TimePoint now);

  // Deducts all of `tokens`, or nothing if fewer are available.
  bool Spend(TimePoint now, Tokens tokens);

  // Records a loan request that is about to be sent. The loan expires
  // kLoanLifetime after `now`.
  LoanRequest StartLoanRequest(TimePoint now,
                               const std::string& lender,
                               Tokens wanted);

  // Adds the loan that answers a request. A duplicated, expired or unrequested
  // loan adds nothing.
  void AddLoan(TimePoint now,
               const std::string& lender,
               std::uint64_t number,
               Tokens tokens);

  // Whether a request to `lender` is unanswered and not older than
  // kLoanRequestTimeout.
  bool HasOpenRequest(TimePoint now, const std::string& lender) const;

  // Sum of the tokens of all unanswered requests that have not timed out.
  Tokens RequestedTokens(TimePoint now) const;

  // Closes loans older than half their lifetime while at least `keep` tokens
  // remain.
  void CloseIdleLoans(TimePoint now, Tokens keep);

  // Returns the loans closed since the last call, to be reported to their
  // lenders.
  std::vector<ClosedLoan> TakeClosedLoans();

 private:
  struct Loan {
    std::string lender;
    std::uint64_t number = 0;
    Tokens unspent = 0;
    TimePoint requested_at;
  };
  struct OpenRequest {
    std::string lender;
    Tokens wanted = 0;
    TimePoint requested_at;
  };

  void CloseExpired(TimePoint now);
  void CloseFirst();

  // By time of expiry, which is also the order of the requests, because all
  // loans have the same lifetime.
  std::multimap<TimePoint, Loan> m_loans;
  std::map<std::uint64_t, OpenRequest> m_open_requests;
  std::vector<ClosedLoan> m_closed_loans;
  std::uint64_t m_last_number = 0;
  Tokens m_unspent = 0;
};

inline constexpr Duration kLoanRequestTimeout = std::chrono::milliseconds(250);

}  // namespace boragepick
