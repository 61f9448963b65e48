// Tests in which order waiting loan requests are granted.

#include "core/quota/loan_queue.h"

#include <gtest/gtest.h>

#include <map>

namespace boragepick {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart = TimePoint(seconds(100));
constexpr Tokens kCapacity = 10'000;

WaitingLoan Loan(const std::string& borrower, std::uint32_t urgency = 0) {
  return {.id = {.borrower = borrower, .number = 1},
          .vm = borrower,
          .wanted = 1'000,
          .needed = 100,
          .urgency = urgency,
          .demand = 100,
          .expires_at = kStart + seconds(60)};
}

TEST(LoanQueue, TheMostUrgentIsGrantedFirst) {
  LoanQueue queue;
  queue.Add(Loan("a", 2));
  queue.Add(Loan("b", 1));
  const auto granted = queue.Grant(kStart, 150, kCapacity);
  ASSERT_EQ(granted.size(), 1U);
  EXPECT_EQ(granted[0].loan.vm, "b");
  EXPECT_EQ(granted[0].tokens, 150);
  EXPECT_EQ(queue.size(), 1U);
}

TEST(LoanQueue, TokensTooFewForTheNextAreKeptForIt) {
  LoanQueue queue;
  queue.Add(Loan("a", 0));
  WaitingLoan small = Loan("b", 1);
  small.needed = 10;
  queue.Add(small);
  EXPECT_TRUE(queue.Grant(kStart, 90, kCapacity).empty());
  // No level can be larger than the capacity.
  EXPECT_EQ(queue.Grant(kStart, 80, 80).size(), 1U);
}

// Two routers whose demand differs by three to one, and which ask again at
// once, get tokens in that proportion.
TEST(LoanQueue, EqualsGetTokensInProportionToTheirDemand) {
  LoanQueue queue;
  std::map<std::string, Tokens> got;
  TimePoint now = kStart;
  for (int i = 0; i < 400; ++i, now += milliseconds(10)) {
    WaitingLoan more = Loan("more");
    more.demand = 300;
    queue.Add(more);
    queue.Add(Loan("less"));
    for (const GrantedLoan& granted : queue.Grant(now, 100, kCapacity))
      got[granted.loan.vm] += granted.tokens;
  }
  EXPECT_EQ(got["more"] + got["less"], 40'000);
  EXPECT_NEAR(static_cast<double>(got["more"]), 30'000, 1'500);
}

TEST(LoanQueue, ARequestIsDroppedWhenItsBorrowerRepeatsIt) {
  LoanQueue queue;
  WaitingLoan loan = Loan("a");
  loan.expires_at = kStart + milliseconds(250);
  queue.Add(loan);
  EXPECT_FALSE(queue.IsEmpty(kStart));
  EXPECT_FALSE(queue.HasOther(kStart, "a"));
  EXPECT_TRUE(queue.HasOther(kStart, "b"));
  EXPECT_TRUE(queue.IsEmpty(kStart + milliseconds(250)));
}

}  // namespace
}  // namespace boragepick
