// Tests of the bucket of a share that was taken over from another holder.

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

TokenBucket MakeTakenOverBucket(double early_burst_fraction) {
  return TokenBucket(kStart, kTeam, kShareUnits,
                     TokenBucket::InitialLevel::kEmpty, early_burst_fraction);
}

TEST(TokenBucket, TakenOverShareLendsNothingBeforeLoansExpire) {
  TokenBucket bucket = MakeTakenOverBucket(0);
  EXPECT_EQ(bucket.Level(kStart + kLoanLifetime), 0);
  EXPECT_GT(bucket.Level(kStart + kLenderLoanLifetime + milliseconds(500)),
            400);
}

TEST(TokenBucket, PartOfTheBurstIsUsableEarly) {
  TokenBucket bucket = MakeTakenOverBucket(0.25);
  EXPECT_EQ(bucket.Level(kStart), 0);
  EXPECT_EQ(bucket.Level(kStart + milliseconds(200)), 200);
  EXPECT_EQ(bucket.Level(kStart + kLoanLifetime), 500);
  const TimePoint later = kStart + kLoanLifetime;
  EXPECT_EQ(bucket.Lend(later, {.borrower = "r", .number = 1}, 900), 500);
  // The loan counts against this part until it is closed or expires.
  EXPECT_EQ(bucket.Level(later + milliseconds(30)), 0);
}

}  // namespace
}  // namespace boragepick
