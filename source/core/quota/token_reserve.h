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
  // Increases with each request of the process.
  std::uint64_t number = 0;
  std::string lender;
  Tokens wanted = 0;
  // 0 is the most urgent.
  std::uint32_t urgency = 0;
};

// A loan request is repeated after this time without a loan.
inline constexpr Duration kLoanRequestTimeout = std::chrono::milliseconds(250);

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
  // kLoanLifetime after `now`. An earlier request to the same lender may still
  // be answered but no longer counts as open.
  void StartLoanRequest(TimePoint now, const LoanRequest& request);

  // Adds the loan that answers a request. A duplicated, expired or unrequested
  // loan adds nothing. After a loan of 0 tokens, the request stays open.
  void AddLoan(TimePoint now,
               const std::string& lender,
               std::uint64_t number,
               Tokens tokens);

  // Whether a request to `lender` that is at least as urgent is unanswered and
  // not older than kLoanRequestTimeout.
  bool HasOpenRequest(TimePoint now,
                      const std::string& lender,
                      std::uint32_t urgency) const;

  // Sum of the tokens of the open requests that are at least as urgent.
  Tokens RequestedTokens(TimePoint now, std::uint32_t urgency) const;

  // Closes loans while at least `keep` tokens remain.
  void CloseIdleLoans(TimePoint now, Tokens keep);

  // Returns the loans closed since the last call, to be reported to their
  // lenders.
  std::vector<ClosedLoan> TakeClosedLoans();

 private:
  struct Loan {
    std::string lender;
    std::uint64_t number = 0;
    Tokens unspent = 0;
  };
  struct OpenRequest {
    std::string lender;
    Tokens wanted = 0;
    std::uint32_t urgency = 0;
    TimePoint requested_at;
    // A later request to the same lender has been sent.
    bool is_superseded = false;
  };

  static bool IsOpen(TimePoint now, const OpenRequest& request);

  void CloseExpired(TimePoint now);
  void CloseFirst();

  // By time of expiry, which is also the order of the requests, because all
  // loans have the same lifetime.
  std::multimap<TimePoint, Loan> m_loans;
  std::map<std::uint64_t, OpenRequest> m_open_requests;
  std::vector<ClosedLoan> m_closed_loans;
  Tokens m_unspent = 0;
};

}  // namespace boragepick
