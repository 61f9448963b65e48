// A share of a team's bucket that was taken over from another holder.

#include "core/quota/token_bucket.h"

#include <gtest/gtest.h>

#include "core/quota/share_page.h"

namespace boragepick {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart = TimePoint(seconds(100));
constexpr TeamSpec kTeam{.rate_tokens_per_second = 1'000,
                         .burst_tokens = 2'000};

TokenBucket TakenOver(double early_part) {
  return TokenBucket(kStart, kTeam, kShareUnits, TokenBucket::Start::kEmpty,
                     early_part);
}

TEST(TokenBucket, AShareThatWasTakenOverLendsNothingBeforeLoansHaveLapsed) {
  TokenBucket bucket = TakenOver(0);
  EXPECT_EQ(bucket.Level(kStart + kLoanLife), 0);
  EXPECT_GT(bucket.Level(kStart + kLoanLifeAtLender + milliseconds(500)), 400);
}

TEST(TokenBucket, PartOfTheBurstIsUsedEarly) {
  TokenBucket bucket = TakenOver(0.25);
  EXPECT_EQ(bucket.Level(kStart), 0);
  EXPECT_EQ(bucket.Level(kStart + milliseconds(200)), 200);
  EXPECT_EQ(bucket.Level(kStart + kLoanLife), 500);
  const TimePoint later = kStart + kLoanLife;
  EXPECT_EQ(bucket.Lend(later, {.borrower = "r", .number = 1}, 900), 500);
  // the loan counts against the part until it is closed or lapses
  EXPECT_EQ(bucket.Level(later + milliseconds(30)), 0);
}

}  // namespace
}  // namespace boragepick
