// Messages between routers about quota.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/quota/token_reserve.h"

namespace boragepick {

// From a borrower to a holder of the team's page. With `wanted` 0 it only
// closes loans and returns refunds.
struct QuotaLoanRequest {
  std::string team;
  std::uint64_t number = 0;
  Tokens wanted = 0;
  std::vector<ClosedLoan> closed;
  // Tokens that completed requests were charged by their estimates but didn't
  // use.
  Tokens refund = 0;
  // Sequence number of the refund, so that a duplicated message counts once.
  std::uint64_t refund_number = 0;
};

// The reply to a loan request; `tokens` may be 0.
struct QuotaLoan {
  std::string team;
  std::uint64_t number = 0;
  Tokens tokens = 0;
};

}  // namespace boragepick
