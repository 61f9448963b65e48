// Placement in a simulated fleet: models and adapters that are requested
// steadily are served, even after the engines that had them loaded crashed.

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

// Sends `per_second` requests for models with equal probability, a quarter of
// them for adapters.
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

// Most models are cached on the disk of one engine only. After some of these
// engines have crashed, their models must be loaded from the weight store
// without more concurrent loads than it serves at full speed.
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

// The slot coordinator does not respond from the start but stays listed, and no
// engine has a copy of any model. Another router must grant the load slots.
TEST(FleetPlacement, LoadsGoOnWhenTheSlotCoordinatorIsSilent) {
  constexpr std::size_t kModels = 6;
  FleetSimulation fleet({.engines = 4,
                         .models = kModels,
                         .copies = 0,
                         .store_full_speed = kFullSpeed,
                         .seed = 11});
  fleet.SilenceSlotCoordinator();
  Serve(fleet, kModels, 6, seconds(60));
  EXPECT_EQ(Text(fleet.Starved()), "");
  EXPECT_LE(fleet.store().most(), kFullSpeed);
}

// Evacuates one data centre of a loaded fleet. Returns the served part of the
// requests after it, compared with the time before.
double ServedAfterEvacuation(std::size_t models, std::size_t data_centres) {
  FleetSimulation fleet({.engines = 12,
                         .routers = 4,
                         .models = models,
                         .copies = 2,
                         .store_full_speed = kFullSpeed,
                         .seed = 13,
                         .data_centres = data_centres});
  fleet.Pass(seconds(5));
  Serve(fleet, models, 40, seconds(20));
  fleet.ServedPart();
  Serve(fleet, models, 40, seconds(20));
  fleet.Pass(seconds(3));
  const double before = fleet.ServedPart();
  fleet.Evacuate("a");
  Serve(fleet, models, 40, seconds(20));
  fleet.Pass(seconds(3));
  EXPECT_EQ(fleet.late_requests(), 0);
  EXPECT_EQ(Text(fleet.Starved()), "");
  EXPECT_LE(fleet.store().most(), kFullSpeed);
  return fleet.ServedPart() / before;
}

// Each model has a copy on a disk of the other data centre, which loads it
// before the evacuation takes effect.
TEST(FleetPlacement, ModelsOfAnEvacuatedDataCentreMove) {
  EXPECT_GT(ServedAfterEvacuation(/*models=*/12, /*data_centres=*/2), 0.97);
}

// All copies of a third of the models are in the evacuated data centre. The
// weight store needs 31 s to load them, during which some requests for the last
// ones are refused.
TEST(FleetPlacement, ModelsOfAnEvacuatedDataCentreComeFromTheStore) {
  EXPECT_GT(ServedAfterEvacuation(/*models=*/24, /*data_centres=*/3), 0.85);
}

// Simulates a random fleet whose engines crash at random times and whose
// messages are lost. Returns the models and adapters that were requested
// steadily and never served.
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

RC_GTEST_PROP(FleetPlacement, SteadilyRequestedWeightsAreServed, ()) {
  const auto seed = *rc::gen::arbitrary<std::uint64_t>();
  RC_ASSERT(StarvedIn(seed) == "");
}

}  // namespace
}  // namespace boragepick
