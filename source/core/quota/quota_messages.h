// Messages between routers about quota.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "core/quota/token_reserve.h"

namespace boragepick {

// From a borrower to a holder of the team's page. With `wanted` 0 it only
// closes loans and returns refunds.
struct QuotaLoanRequest {
  std::string team;
  std::uint64_t number = 0;
  Tokens wanted = 0;
  // The cost of the request that the borrower admits next. The holder keeps the
  // loan request until it can grant this much or `patience` has passed. 0 if no
  // request waits: the holder replies at once with what nobody waits for.
  Tokens needed = 0;
  // The urgency of what waits at the borrower, 0 being the most urgent.
  std::uint32_t urgency = 0;
  // Tokens per second that callers ask for at the borrower.
  Tokens demand = 0;
  Duration patience = Duration::zero();
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

using QuotaMessage = std::variant<QuotaLoanRequest, QuotaLoan>;

// A message to be sent to the router `vm`.
struct OutgoingQuotaMessage {
  std::string vm;
  QuotaMessage message;
};

}  // namespace boragepick
