// What routers say to each other about quota.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/quota/token_reserve.h"

namespace boragepick {

// From a borrower to a holder of the team's page. With `wanted` 0 it only
// closes loans.
struct QuotaAsk {
  std::string team;
  std::uint64_t number = 0;
  Tokens wanted = 0;
  std::vector<ClosedLoan> closed;
  // Tokens of settled requests that their estimate had counted too many.
  Tokens refund = 0;
  // Numbers this refund, so that a doubled message counts once.
  std::uint64_t refund_number = 0;
};

// The answer; `tokens` may be 0.
struct QuotaLoan {
  std::string team;
  std::uint64_t number = 0;
  Tokens tokens = 0;
};

}  // namespace boragepick
