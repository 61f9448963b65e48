// The evidence against parts of prompts, and what is derived from it.

#include <gtest/gtest.h>

#include "common/random.h"
#include "core/serving/prompt_part_suspects.h"

namespace boragepick {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr TimePoint kStart = TimePoint(seconds(1'000));

class PromptPartSuspectsTest : public testing::Test {
 protected:
  // Records a crash that broke runs with these parts.
  void Crash(std::vector<std::vector<PromptPartId>> runs,
             Duration after = seconds(1)) {
    now += after;
    const std::string crash = "w" + std::to_string(++m_crashes) + "/1";
    for (std::vector<PromptPartId>& parts : runs)
      suspects.RecordBrokenRun(now, crash, std::move(parts));
  }
  bool IsRefused(std::vector<PromptPartId> parts, RequestId request = 1) {
    return suspects
        .FindConvicted(now, request, parts, {.self = self, .routers = routers})
        .has_value();
  }

  TimePoint now = kStart;
  std::string self = "r1";
  std::vector<std::string> routers = {"r1"};
  PromptPartSuspects suspects;

 private:
  int m_crashes = 0;
};

TEST_F(PromptPartSuspectsTest, ConvictsThePartThatAllCrashesShare) {
  for (PromptPartId other = 10; other < 14; ++other) {
    EXPECT_FALSE(IsRefused({1, 2}));
    Crash({{1, 2, other}, {1, other + 10}});
    suspects.RecordAnswer(now + milliseconds(1), std::vector<PromptPartId>{1});
  }
  EXPECT_TRUE(IsRefused({1, 2}));
  EXPECT_TRUE(IsRefused({2}));
  EXPECT_FALSE(IsRefused({1, 10}));
  EXPECT_EQ(suspects.TakeNewConvictions(), std::vector<PromptPartId>{2});
}

TEST_F(PromptPartSuspectsTest, OneCrashSeenByManyCountsOnce) {
  for (int i = 0; i < 10; ++i)
    suspects.RecordBrokenRun(now += seconds(1), "w1/1",
                             {2, static_cast<PromptPartId>(100 + i)});
  EXPECT_FALSE(IsRefused({2}));
}

TEST_F(PromptPartSuspectsTest, CrashesWithACommonCauseCountOnce) {
  for (int i = 0; i < 10; ++i)
    suspects.RecordBrokenRun(now += milliseconds(5),
                             "w" + std::to_string(i) + "/1", {2});
  EXPECT_FALSE(IsRefused({2}));
}

TEST_F(PromptPartSuspectsTest, AnAnswerThatBeganBeforeACrashDoesNotClear) {
  const TimePoint before = now;
  for (int i = 0; i < 4; ++i)
    Crash({{2}});
  EXPECT_TRUE(
      suspects.RecordAnswer(before, std::vector<PromptPartId>{2}).empty());
  EXPECT_TRUE(IsRefused({2}));
  EXPECT_FALSE(
      suspects.RecordAnswer(now + seconds(1), std::vector<PromptPartId>{2})
          .empty());
  EXPECT_FALSE(IsRefused({2}));
}

TEST_F(PromptPartSuspectsTest, ADelayedNoticeDoesNotAccuseAClearedPart) {
  for (int i = 0; i < 3; ++i)
    Crash({{2}});
  suspects.RecordAnswer(now + milliseconds(1), std::vector<PromptPartId>{2});
  for (int i = 1; i <= 3; ++i)
    suspects.RecordBrokenRun(kStart + seconds(i),
                             "w" + std::to_string(i) + "/1", {2});
  Crash({{2}});
  EXPECT_FALSE(IsRefused({2}));
}

TEST_F(PromptPartSuspectsTest, RequestsWithSomeSuspectsTellThemApart) {
  for (PromptPartId other = 10; other < 14; ++other)
    Crash({{1, 2}, {1, other}});
  now += PromptPartSuspects::kComparisonDelay;
  EXPECT_TRUE(IsRefused({1, 2}, /*request=*/1));
  EXPECT_FALSE(IsRefused({1, 30}, /*request=*/2));
  // One at a time.
  EXPECT_TRUE(IsRefused({1, 31}, /*request=*/3));
  EXPECT_FALSE(IsRefused({1, 30}, /*request=*/2));
  suspects.RecordAnswer(now + milliseconds(1), std::vector<PromptPartId>{1});
  EXPECT_FALSE(IsRefused({1, 31}));
  EXPECT_TRUE(IsRefused({2, 30}));
}

TEST_F(PromptPartSuspectsTest, ACrashOfAnotherCauseDoesNotSettleOnACommonPart) {
  for (PromptPartId other = 10; other < 14; ++other)
    Crash({{1, 2}, {1, other}});
  Crash({{1, 14}});
  now += PromptPartSuspects::kComparisonDelay;
  EXPECT_TRUE(IsRefused({1, 2}, /*request=*/1));
  EXPECT_FALSE(IsRefused({1, 30}, /*request=*/2));
}

TEST_F(PromptPartSuspectsTest, AWronglyConvictedPartIsReleased) {
  for (PromptPartId other = 40; other < 44; ++other)
    Crash({{2, other}, {3, other + 10}});
  EXPECT_TRUE(IsRefused({3, 60}));
  Crash({{2, 44}});
  Crash({{2, 45}});
  EXPECT_TRUE(IsRefused({2}));
  EXPECT_FALSE(IsRefused({3, 60}));
}

TEST_F(PromptPartSuspectsTest, TwoDeadlyPartsAreBothConvicted) {
  for (int i = 0; i < 4; ++i)
    Crash({{2}});
  for (int i = 0; i < 5; ++i)
    Crash({{3}});
  now += seconds(10);
  EXPECT_TRUE(IsRefused({2}));
  EXPECT_TRUE(IsRefused({3}));
}

TEST_F(PromptPartSuspectsTest, EvidenceExpires) {
  for (int i = 0; i < 3; ++i)
    Crash({{2}});
  now += PromptPartSuspects::kEvidenceLifetime;
  EXPECT_FALSE(IsRefused({2}));
  EXPECT_TRUE(suspects.IsEmpty());
}

TEST_F(PromptPartSuspectsTest, ManyCrashesAreBounded) {
  for (PromptPartId part = 0; part < 1'000; ++part)
    Crash({{part}});
  EXPECT_LE(suspects.crashes(), PromptPartSuspects::kMaxCrashes);
  for (int i = 0; i < 4; ++i)
    Crash({{2'000}});
  EXPECT_TRUE(IsRefused({2'000}));
}

// Many other workers end, as in a power failure.
TEST_F(PromptPartSuspectsTest, UnrelatedCrashesDontAcquitAConvictedPart) {
  for (int i = 0; i < 6; ++i)
    Crash({{2}});
  ASSERT_TRUE(IsRefused({2}));
  for (std::size_t i = 0; i < PromptPartSuspects::kMaxCrashes; ++i)
    suspects.RecordBrokenRun(now += milliseconds(1),
                             "other" + std::to_string(i) + "/1", {10'000 + i});
  EXPECT_TRUE(IsRefused({2}));
  EXPECT_LE(suspects.crashes(), PromptPartSuspects::kMaxCrashes);
}

// More runs broke than are kept of one crash.
TEST_F(PromptPartSuspectsTest, ConvictsAPartWhoseRunIsReportedLast) {
  PromptPartId other = 1'000;
  for (int crash = 0; crash < 6; ++crash) {
    std::vector<std::vector<PromptPartId>> runs;
    for (std::size_t i = 0; i < PromptPartSuspects::kMaxRunsPerCrash; ++i)
      runs.push_back({++other});
    runs.push_back({2});
    Crash(std::move(runs));
  }
  EXPECT_TRUE(IsRefused({2}));
}

// Requests with the part come in bursts, and each one crashes a worker.
TEST_F(PromptPartSuspectsTest, ConvictsAPartWhoseCrashesComeInBursts) {
  for (int burst = 0; burst < 3; ++burst) {
    now += seconds(4);
    for (int i = 0; i < 3; ++i)
      Crash({{2}}, milliseconds(20));
  }
  EXPECT_TRUE(IsRefused({2}));
}

// Two parts came together in all crashes; one of them is sound, and its
// requests arrive at any of the routers of a large fleet.
TEST_F(PromptPartSuspectsTest, ManyRoutersTellPartsApartSoon) {
  constexpr std::size_t kRouters = 1'100;
  // Twice the operators' contact time.
  constexpr Duration kLimit = seconds(6);
  routers.clear();
  for (std::size_t i = 0; i < kRouters; ++i)
    routers.push_back("r" + std::to_string(i));
  int late = 0;
  constexpr std::uint64_t kSeeds = 20;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    suspects = PromptPartSuspects();
    for (int i = 0; i < 5; ++i)
      Crash({{1, 2}});
    Random random(seed);
    const TimePoint start = now;
    for (RequestId request = 0; now < start + seconds(60); ++request) {
      now += milliseconds(10);
      self = routers[random.Below(kRouters)];
      if (!IsRefused({1, 10'000 + request}, request))
        break;
    }
    late += now - start > kLimit ? 1 : 0;
  }
  EXPECT_EQ(late, 0) << "of " << kSeeds;
}

// Each claim of another router keeps this one silent for the rest of the turn.
TEST_F(PromptPartSuspectsTest, OtherRoutersKeepToAClaim) {
  for (int i = 0; i < 5; ++i)
    Crash({{1, 2}});
  suspects.TakeNewConvictions();
  now += PromptPartSuspects::kComparisonDelay;
  suspects.RecordClaim(now, 1);
  EXPECT_TRUE(IsRefused({1, 100}, 1));
  now += PromptPartSuspects::kComparisonTurn;
  EXPECT_FALSE(IsRefused({1, 101}, 2));
  EXPECT_EQ(suspects.TakeNewProbe(), 1U);
  // Only this request in this turn.
  EXPECT_TRUE(IsRefused({1, 102}, 3));
}

// Three power failures while many run requests with a sound part: requests
// that were answered in between clear it.
TEST_F(PromptPartSuspectsTest, AnswersBetweenBurstsClearAPart) {
  for (int burst = 0; burst < 3; ++burst) {
    now += seconds(4);
    for (int i = 0; i < 5; ++i)
      Crash({{2}}, milliseconds(20));
    suspects.RecordAnswer(now + milliseconds(1), std::vector<PromptPartId>{2});
  }
  EXPECT_FALSE(IsRefused({2}));
}

TEST_F(PromptPartSuspectsTest, OneRouterProbesAndAFailedProbeDelaysTheNext) {
  routers = {"r1", "r2", "r3"};
  for (int i = 0; i < 4; ++i)
    Crash({{2}});
  const auto probers = [this] {
    std::size_t count = 0;
    for (const std::string& router : routers) {
      self = router;
      count += IsRefused({2}) ? 0 : 1;
    }
    return count;
  };
  now += PromptPartSuspects::kFirstProbeDelay - milliseconds(1);
  EXPECT_EQ(probers(), 0U);
  now += milliseconds(1);
  EXPECT_EQ(probers(), 1U);
  for (const std::string& router : routers) {
    self = router;
    EXPECT_TRUE(IsRefused({2}, /*request=*/2));
  }
  Crash({{2}});
  now += PromptPartSuspects::kFirstProbeDelay;
  EXPECT_EQ(probers(), 0U);
  now += PromptPartSuspects::kFirstProbeDelay * 9;
  EXPECT_EQ(probers(), 1U);
}

}  // namespace
}  // namespace boragepick
