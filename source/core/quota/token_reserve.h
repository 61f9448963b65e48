// The borrowed tokens of one team at one router: what may be admitted here
// without asking anybody. It spends the loans that lapse first and reports each
// loan closed, so that its lender can count on the rest again.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "common/time.h"
#include "core/quota/token_bucket.h"

namespace boragepick {

// A question to one holder; `number` identifies the loan that answers it.
struct ReserveAsk {
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
  // Unspent tokens that have not lapsed.
  Tokens Available(TimePoint now);

  // Takes `tokens` as a whole or not at all.
  bool Spend(TimePoint now, Tokens tokens);

  // Records a question about to be sent; the loan lapses kLoanLife after this
  // instant.
  ReserveAsk StartAsk(TimePoint now, const std::string& lender, Tokens wanted);

  // The answer to an ask; one that comes twice, too late or unasked adds
  // nothing.
  void TakeLoan(TimePoint now,
                const std::string& lender,
                std::uint64_t number,
                Tokens tokens);

  // Whether an ask to `lender` is still unanswered and not older than
  // kAskTimeout.
  bool IsAsking(TimePoint now, const std::string& lender) const;

  // Tokens that all unanswered asks may still bring.
  Tokens Awaited(TimePoint now) const;

  // Gives up loans older than half their life that were not needed; `keep`
  // stays.
  void ReturnIdle(TimePoint now, Tokens keep);

  // The loans closed since the last call, to be told to their lenders.
  std::vector<ClosedLoan> TakeClosed();

 private:
  struct Loan {
    std::string lender;
    std::uint64_t number = 0;
    Tokens unspent = 0;
    TimePoint asked;
  };
  struct OpenAsk {
    std::string lender;
    Tokens wanted = 0;
    TimePoint asked;
  };

  void DropLapsed(TimePoint now);
  void CloseFront();

  // Ordered by lapse, since each lives equally long from its ask.
  std::multimap<TimePoint, Loan> m_loans;
  std::map<std::uint64_t, OpenAsk> m_asks;
  std::vector<ClosedLoan> m_closed;
  std::uint64_t m_last_number = 0;
  Tokens m_unspent = 0;
};

inline constexpr Duration kAskTimeout = std::chrono::milliseconds(250);

}  // namespace boragepick
