// The loan requests that wait at a holder of a team's share until tokens have
// accrued: who gets them next. Used under pressure, when routers want more than
// the team's rate.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "common/time.h"
#include "core/quota/token_bucket.h"

namespace boragepick {

struct WaitingLoan {
  LoanId id;
  // The VM that the loan is sent to.
  std::string vm;
  Tokens wanted = 0;
  // A smaller loan than this does not help the borrower.
  Tokens needed = 0;
  // 0 is the most urgent.
  std::uint32_t urgency = 0;
  // Tokens per second that callers ask for at the borrower.
  Tokens demand = 0;
  // When the borrower gives up or repeats the request.
  TimePoint expires_at;
};

struct GrantedLoan {
  WaitingLoan loan;
  Tokens tokens = 0;
};

class LoanQueue {
 public:
  // Replaces an earlier request of the same borrower.
  void Add(WaitingLoan loan);

  bool IsEmpty(TimePoint now);
  // Whether a request of another borrower than `borrower` waits.
  bool HasOther(TimePoint now, const std::string& borrower);
  std::size_t size() const { return m_waiting.size(); }

  // Removes and returns the requests that get a part of `level`. The most
  // urgent come first; among equals, those whose borrowers got the least in
  // proportion to their demand. All of them get what they need before any gets
  // more. Tokens that do not suffice for the first one are kept for it.
  // `capacity` is the most that the level can become.
  std::vector<GrantedLoan> Grant(TimePoint now, Tokens level, Tokens capacity);

 private:
  // Tokens that a borrower got, decaying over time.
  struct Received {
    double tokens = 0;
    TimePoint at;
  };

  void RemoveExpired(TimePoint now);
  double ReceivedTokens(TimePoint now, const std::string& borrower) const;
  std::vector<GrantedLoan> InOrder(TimePoint now) const;
  void RecordGrants(TimePoint now, const std::vector<GrantedLoan>& granted);

  // By borrower.
  std::map<std::string, WaitingLoan> m_waiting;
  std::map<std::string, Received> m_received;
};

}  // namespace boragepick
