// The metrics of a controller about the loads of its engine.

#include <gtest/gtest.h>

#include "frontends/serving/serving_process.h"

namespace boragepick {
namespace {

using std::chrono::seconds;

TEST(ControllerMetrics, ShowAPendingLoadFromTheStoreAndThenItsDuration) {
  constexpr TimePoint kNow = TimePoint(seconds(100));
  EngineController controller("side-1");
  EngineSpec spec{.memory_mb = 100};
  spec.models["m"] = {.name = "m", .memory_mb = 40};
  controller.Handle(kNow, EngineSpecReceived{.spec = spec});
  controller.Handle(kNow, FenceReceived{.fence = 1});
  controller.Handle(
      kNow, ReportRead{.report = EngineReport{.contents = {.born = 1}}});
  controller.Handle(
      kNow,
      PeerMessageReceived{.from = {.vm = "r", .endpoint = "10.0.0.1:7"},
                          .message = LoadRequest{.model = "m", .waiting = 1}});
  EXPECT_NE(FormatControllerMetrics(controller, 3)
                .find("boragepick_loads_from_store 1\n"),
            std::string::npos);
  controller.Handle(
      kNow + seconds(8),
      ReportRead{.report = EngineReport{
                     .contents = {.born = 1, .models = {{.name = "m"}}},
                     .accepted_orders = 1}});
  const std::string text = FormatControllerMetrics(controller, 3);
  for (const char* line :
       {"boragepick_loads_from_store 0\n", "boragepick_store_calls_total 3\n",
        "boragepick_load_seconds_bucket{from=\"store\",le=\"10.000000\"} 1\n",
        "boragepick_load_seconds_bucket{from=\"store\",le=\"6.000000\"} 0\n",
        "boragepick_load_seconds_count{from=\"store\"} 1\n"})
    EXPECT_NE(text.find(line), std::string::npos) << line << text;
}

}  // namespace
}  // namespace boragepick
