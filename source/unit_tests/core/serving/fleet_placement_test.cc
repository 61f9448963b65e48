// Placement over a whole small fleet: what is asked for through the day is
// served, whatever happened to the engines that held it.

#include <gtest/gtest.h>

#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include "unit_tests/core/serving/fleet_simulation.h"

namespace boragepick {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kFullSpeed = 2;

std::string Text(const std::vector<std::string>& names) {
  std::string text;
  for (const std::string& name : names)
    text += name + " ";
  return text;
}

// Requests for models drawn evenly, so many a second in all; a quarter of them
// for adapters.
void Serve(FleetSimulation& fleet,
           std::size_t models,
           int per_second,
           Duration duration) {
  const Duration pause = Duration(seconds(1)) / per_second;
  constexpr std::uint64_t kAdapters = 4;
  for (Duration passed{}; passed < duration; passed += pause) {
    const std::uint64_t drawn = fleet.random().Below(kAdapters * 4);
    fleet.Arrive(FleetSimulation::ModelName(fleet.random().Below(models)),
                 drawn < kAdapters ? "a" + std::to_string(drawn) : "");
    fleet.Pass(pause);
  }
}

// The fleet holds most models only on the disks of single engines. Some engines
// go down with them: what is left nowhere has to come from the weight store.
TEST(FleetPlacement, CrashedEnginesDontOverrunTheWeightStore) {
  constexpr std::size_t kModels = 24;
  FleetSimulation fleet({.engines = 12,
                         .models = kModels,
                         .store_full_speed = kFullSpeed,
                         .seed = 7});
  fleet.Pass(seconds(5));
  Serve(fleet, kModels, 12, seconds(4));
  for (std::size_t engine = 0; engine < 5; ++engine)
    fleet.Crash(engine, milliseconds(2'500));
  Serve(fleet, kModels, 12, seconds(36));
  EXPECT_EQ(Text(fleet.Starved()), "");
  EXPECT_LE(fleet.store().most(), kFullSpeed);
}

// The router that keeps the places is silent from the start and stays listed.
// No engine has a copy of any model.
TEST(FleetPlacement, LoadsGoOnWhenTheKeeperOfPlacesIsSilent) {
  constexpr std::size_t kModels = 6;
  FleetSimulation fleet({.engines = 4,
                         .models = kModels,
                         .copies = 0,
                         .store_full_speed = kFullSpeed,
                         .seed = 11});
  fleet.SilenceKeeper();
  Serve(fleet, kModels, 6, seconds(60));
  EXPECT_EQ(Text(fleet.Starved()), "");
  EXPECT_LE(fleet.store().most(), kFullSpeed);
}

// Random fleets whose engines crash at random moments and whose messages are
// lost: every model and adapter that is asked for through the day is served.
std::string StarvedIn(std::uint64_t seed) {
  Random random(seed);
  const std::size_t engines = 4 + random.Below(10);
  const std::size_t models = engines * 2 + random.Below(engines);
  FleetSimulation fleet({.engines = engines,
                         .routers = 1 + random.Below(5),
                         .models = models,
                         .copies = 1 + random.Below(2),
                         .lost_percent = random.Below(20),
                         .store_full_speed = 2 + random.Below(3),
                         .store_loads = 0,
                         .seed = seed});
  fleet.Pass(seconds(5));
  for (int phase = 0; phase < 6; ++phase) {
    Serve(fleet, models, static_cast<int>(models) / 4 + 1, seconds(8));
    if (phase < 2) {
      for (std::size_t engine = 0; engine < engines; ++engine) {
        if (random.Below(4) == 0)
          fleet.Crash(engine, milliseconds(500 + random.Below(5'000)));
      }
    }
  }
  return Text(fleet.Starved());
}

RC_GTEST_PROP(FleetPlacement, WhatIsAskedForThroughTheDayIsServed, ()) {
  const auto seed = *rc::gen::arbitrary<std::uint64_t>();
  RC_ASSERT(StarvedIn(seed) == "");
}

}  // namespace
}  // namespace boragepick
