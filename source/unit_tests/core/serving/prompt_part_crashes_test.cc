// A fleet of routers whose callers send requests with a part that crashes
// workers: few of them reach workers, and other requests are served.

#include <gtest/gtest.h>

#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include "unit_tests/core/serving/crash_fleet.h"
#include "unit_tests/core/serving/serving_fixture.h"

namespace boragepick {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Outcome = CrashFleet::Outcome;

// The bounds of the operators' rules.
constexpr std::size_t kFreeCrashes = 5;
constexpr Duration kContactTime = seconds(3);
constexpr std::size_t kMaxSentAfterwards = 3;

constexpr PromptPartId kSystemPart = 1;
constexpr PromptPartId kDeadlyPart = 666;
constexpr PromptPartId kFirstSubject = 100;

// Mixes requests that share all parts but the deadly one.
class Traffic {
 public:
  struct Options {
    Duration interval = milliseconds(20);
    // One in this many requests has the deadly part.
    std::uint64_t deadly_one_in = 20;
    std::uint64_t subjects = 6;
    std::uint64_t seed = 1;
  };

  Traffic(CrashFleet& fleet, const Options& options)
      : m_fleet(fleet), m_options(options), m_random(options.seed) {}

  void Run(Duration duration) {
    for (const TimePoint until = m_fleet.now + duration; m_fleet.now < until;) {
      m_fleet.Advance(m_options.interval);
      const bool is_deadly = m_options.deadly_one_in > 0 &&
                             m_random.Below(m_options.deadly_one_in) == 0;
      std::vector<PromptPartId> parts = {kSystemPart};
      if (is_deadly)
        parts.push_back(kDeadlyPart);
      parts.push_back(kFirstSubject + m_random.Below(m_options.subjects));
      const std::size_t number =
          m_fleet.Request(m_random.Below(m_fleet.routers()), std::move(parts));
      if (!is_deadly)
        m_sound.emplace_back(m_fleet.now, number);
    }
  }

  // The share of the sound requests from `since` on that were served.
  double ServedShare(TimePoint since) const {
    double all = 0;
    double served = 0;
    for (const auto& [at, number] : m_sound) {
      if (at < since)
        continue;
      ++all;
      served += m_fleet.outcome(number) == Outcome::kServed ? 1 : 0;
    }
    return all == 0 ? 1 : served / all;
  }

 private:
  CrashFleet& m_fleet;
  Options m_options;
  Random m_random;
  std::vector<std::pair<TimePoint, std::size_t>> m_sound;
};

TimePoint FifthCrash(const CrashFleet& fleet) {
  if (fleet.crashes.empty())
    return fleet.now;
  return fleet.crashes[std::min(kFreeCrashes, fleet.crashes.size()) - 1];
}

void ExpectRulesKept(CrashFleet& fleet, const Traffic& traffic) {
  fleet.Advance(seconds(3));
  EXPECT_LE(fleet.SentWith(kDeadlyPart, FifthCrash(fleet) + kContactTime),
            kMaxSentAfterwards);
  EXPECT_GT(traffic.ServedShare(FifthCrash(fleet) + 2 * kContactTime), 0.95);
}

TEST(PromptPartCrashes, DifferentRequestsWithADeadlyPartDontReachMoreWorkers) {
  for (const std::uint64_t one_in : {50, 20, 5}) {
    CrashFleet fleet({});
    Traffic traffic(fleet, {.deadly_one_in = one_in});
    fleet.deadly = {kDeadlyPart};
    traffic.Run(seconds(15));
    SCOPED_TRACE(one_in);
    EXPECT_FALSE(fleet.crashes.empty());
    ExpectRulesKept(fleet, traffic);
  }
}

TEST(PromptPartCrashes, LostAndDuplicatedNoticesDoNoHarm) {
  CrashFleet fleet({.message_loss = 0.3, .message_duplication = 0.3});
  Traffic traffic(fleet, {});
  fleet.deadly = {kDeadlyPart};
  traffic.Run(seconds(15));
  ExpectRulesKept(fleet, traffic);
}

TEST(PromptPartCrashes, ARestartedRouterRefusesConvictedParts) {
  CrashFleet fleet({});
  Traffic traffic(fleet, {});
  fleet.deadly = {kDeadlyPart};
  traffic.Run(seconds(8));
  const std::size_t crashes = fleet.crashes.size();
  for (std::size_t i = 0; i < fleet.routers(); ++i) {
    fleet.RestartRouter(i);
    fleet.Advance(milliseconds(100));
    traffic.Run(seconds(2));
  }
  EXPECT_EQ(fleet.crashes.size(), crashes);
}

TEST(PromptPartCrashes, SimultaneousLossesOfWorkersConvictNoPart) {
  CrashFleet fleet({.workers = 12});
  Traffic traffic(fleet, {.deadly_one_in = 0});
  for (int round = 0; round < 6; ++round) {
    for (std::size_t i = 0; i < fleet.workers() / 2; ++i)
      fleet.CrashWorker(i);
    traffic.Run(seconds(3));
  }
  EXPECT_EQ(fleet.RefusedAsCrashing(), 0U);
}

TEST(PromptPartCrashes, AWorkerThatCrashesRepeatedlyConvictsNoPart) {
  CrashFleet fleet({});
  Traffic traffic(fleet, {.deadly_one_in = 0});
  for (int round = 0; round < 20; ++round) {
    fleet.CrashWorker(0, milliseconds(500));
    traffic.Run(milliseconds(800));
  }
  EXPECT_EQ(fleet.RefusedAsCrashing(), 0U);
}

TEST(PromptPartCrashes, WorkersThatCrashOneAfterTheOtherConvictNoSteadyPart) {
  CrashFleet fleet({});
  Traffic traffic(fleet, {.deadly_one_in = 0});
  for (int round = 0; round < 24; ++round) {
    fleet.CrashWorker(static_cast<std::size_t>(round) % fleet.workers());
    traffic.Run(milliseconds(400));
  }
  fleet.Advance(seconds(3));
  EXPECT_GT(traffic.ServedShare(fleet.now - seconds(4)), 0.95);
  const std::uint64_t before = fleet.RefusedAsCrashing();
  traffic.Run(seconds(5));
  EXPECT_EQ(fleet.RefusedAsCrashing(), before);
}

TEST(PromptPartCrashes, APartThatNoLongerCrashesWorkersIsServedAgain) {
  CrashFleet fleet({});
  Traffic traffic(fleet, {.interval = milliseconds(100), .deadly_one_in = 5});
  fleet.deadly = {kDeadlyPart};
  traffic.Run(seconds(20));
  const std::size_t crashes = fleet.crashes.size();
  fleet.deadly.clear();
  const TimePoint sound_since = fleet.now;
  traffic.Run(seconds(180));
  EXPECT_EQ(fleet.crashes.size(), crashes);
  const std::size_t number = fleet.Request(0, {kSystemPart, kDeadlyPart});
  fleet.Advance(seconds(2));
  EXPECT_EQ(fleet.outcome(number), Outcome::kServed);
  EXPECT_GT(fleet.SentWith(kDeadlyPart, sound_since), 10U);
}

TEST(PromptPartCrashes, ADeadlyPartReachesFewWorkersInAQuarterOfAnHour) {
  CrashFleet fleet({});
  Traffic traffic(fleet, {.interval = milliseconds(100), .deadly_one_in = 5});
  fleet.deadly = {kDeadlyPart};
  traffic.Run(seconds(900));
  ExpectRulesKept(fleet, traffic);
}

TEST(PromptPartCrashes, TheLastPartOfAPromptIsNeverConvicted) {
  CrashFleet fleet({});
  constexpr PromptPartId kSession = 77;
  for (int i = 0; i < 8; ++i) {
    fleet.Request(static_cast<std::size_t>(i) % fleet.routers(), {kSystemPart},
                  kSession);
    fleet.Advance(milliseconds(10));
    for (std::size_t worker = 0; worker < fleet.workers(); ++worker)
      fleet.CrashWorker(worker, milliseconds(200));
    fleet.Advance(seconds(3));
    // The first part is cleared.
    fleet.Request(0, {kSystemPart});
    fleet.Advance(seconds(2));
  }
  EXPECT_EQ(fleet.RefusedAsCrashing(), 0U);
}

// A router is cut off from the others while the part is convicted.
TEST(PromptPartCrashes, ARouterThatWasCutOffLearnsOfConvictions) {
  CrashFleet fleet({.routers = 4, .workers = 24});
  fleet.deadly = {kDeadlyPart};
  constexpr std::size_t kCutOff = 3;
  fleet.cut_off = {kCutOff};
  for (int i = 0; i < 4; ++i) {
    for (std::size_t router = 0; router < kCutOff; ++router) {
      fleet.Request(router, {kSystemPart});
      fleet.Request(router, {kSystemPart, kDeadlyPart});
    }
    fleet.Advance(seconds(1));
  }
  ASSERT_GE(fleet.crashes.size(), kFreeCrashes);
  fleet.cut_off.clear();
  // The operators' limit holds for routers that are in contact with the others.
  fleet.Advance(kContactTime);
  const TimePoint in_contact = fleet.now;
  ASSERT_GT(in_contact, FifthCrash(fleet) + kContactTime);
  for (int i = 0; i < 20; ++i) {
    fleet.Request(kCutOff, {kSystemPart});
    fleet.Request(kCutOff, {kSystemPart, kDeadlyPart});
    fleet.Advance(milliseconds(400));
  }
  EXPECT_LE(fleet.SentWith(kDeadlyPart, in_contact), kMaxSentAfterwards);
}

// Workers reset connections beyond their limit, but run on.
TEST(PromptPartCrashes, ResetsByWorkersThatRunOnConvictNoPart) {
  ServingFixture fixture;
  fixture.Start();
  constexpr int kWorkers = 16;
  const auto list_workers = [&fixture] {
    for (int i = 0; i < kWorkers; ++i)
      fixture.Handle(WorkerListed{
          .entry = EngineWorker("w" + std::to_string(10 + i), {"m1"})});
  };
  list_workers();
  for (RequestId id = 1; id <= 6; ++id) {
    ServingRequest request{.id = id,
                           .trace_id = "t" + std::to_string(id),
                           .method = "POST",
                           .target = "/review/" + std::to_string(id),
                           .host = "h.example",
                           .key_sha256 = "key",
                           .model = "m1",
                           .prompt_tokens = 100,
                           .max_tokens = 50,
                           .prompt = {{.id = 5}, {.id = 1'000 + id}}};
    fixture.Handle(RequestArrived{
        .request = std::make_shared<const ServingRequest>(request)});
    for (const SendAttempt& sent : fixture.TakeEffects<SendAttempt>())
      fixture.Handle(AttemptFailed{.attempt = sent.attempt,
                                   .failure = AttemptFailure::kReset});
    // The entries show that the workers were not restarted.
    list_workers();
    fixture.Advance(milliseconds(500));
  }
  EXPECT_EQ(fixture.router().requests().metrics().parts_convicted, 0U);
}

// With many routers, all of them would send to all others at each start.
TEST(PromptPartCrashes, ConvictionsGoOnlyToTheRouterThatStarted) {
  ServingFixture fixture;
  fixture.Start();
  const auto add_router = [&fixture](const std::string& vm, int number) {
    std::string endpoint = "10.1.1." + std::to_string(number) + ":7";
    fixture.Handle(RouterRecordReceived{.record = {.vm = vm,
                                                   .data_centre = "a",
                                                   .endpoint = endpoint,
                                                   .incarnation = 1}});
    return endpoint;
  };
  const auto start_router = [&add_router](int number) {
    return add_router("peer" + std::to_string(number), number);
  };
  constexpr int kRouters = 6;
  add_router(fixture.router().state().options.vm, 100);
  for (int i = 0; i < kRouters; ++i)
    start_router(i);
  for (int i = 0; i < 6; ++i) {
    fixture.Handle(PeerMessageReceived{
        .message = CrashNotice{.crash = "w" + std::to_string(i) + "/1",
                               .parts = {kDeadlyPart}}});
    fixture.Advance(milliseconds(500));
  }
  ASSERT_EQ(fixture.router().requests().metrics().parts_convicted, 1U);
  std::size_t notices = 0;
  for (int i = kRouters; i < 3 * kRouters; ++i) {
    fixture.effects.clear();
    const std::string started = start_router(i);
    for (const SendToEndpoint& sent : fixture.TakeEffects<SendToEndpoint>()) {
      if (!std::holds_alternative<CrashNotice>(sent.message))
        continue;
      EXPECT_EQ(sent.endpoint, started);
      ++notices;
    }
  }
  EXPECT_GT(notices, 0U);
}

RC_GTEST_PROP(PromptPartCrashes, RandomFleetsKeepTheRules, ()) {
  const auto seed = *rc::gen::arbitrary<std::uint64_t>();
  CrashFleet fleet({.routers = *rc::gen::inRange<std::size_t>(1, 7),
                    .workers = *rc::gen::inRange<std::size_t>(4, 13),
                    .seed = seed,
                    .message_loss = *rc::gen::inRange(0, 3) / 10.0,
                    .message_duplication = *rc::gen::inRange(0, 3) / 10.0});
  Traffic traffic(fleet,
                  {.interval = milliseconds(*rc::gen::inRange(10, 60)),
                   .deadly_one_in = *rc::gen::inRange<std::uint64_t>(4, 60),
                   .subjects = *rc::gen::inRange<std::uint64_t>(1, 12),
                   .seed = seed});
  traffic.Run(seconds(1));
  fleet.deadly = {kDeadlyPart};
  Random random(seed);
  for (int i = 0; i < 14; ++i) {
    traffic.Run(seconds(1));
    if (random.Below(4) == 0)
      fleet.CrashWorker(random.Below(fleet.workers()));
  }
  fleet.Advance(seconds(3));
  RC_ASSERT(fleet.SentWith(kDeadlyPart, FifthCrash(fleet) + kContactTime) <=
            kMaxSentAfterwards);
  RC_ASSERT(traffic.ServedShare(FifthCrash(fleet) + 2 * kContactTime) > 0.8);
}

}  // namespace
}  // namespace boragepick
