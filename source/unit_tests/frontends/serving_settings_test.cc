// Settings of gateways and controllers.

#include "frontends/serving/serving_settings.h"

#include <gtest/gtest.h>

#include <string>

#include "common/error.h"

namespace boragepick {
namespace {

std::string GatewayFile(const std::string& more = "") {
  return "[node]\nrole = gateway\nvm = g1\ndata_centre = a\n"
         "[http]\nendpoint = 10.0.0.1:80\nready_endpoint = 10.0.0.1:81\n"
         "metrics_endpoint = 10.0.0.1:82\n"
         "[peers]\nendpoint = 10.0.0.1:83\ncontroller_port = 83\n"
         "[platform]\nstore_endpoint = 10.0.0.9:84\n" +
         more;
}

TEST(ServingSettings, ErrorsNameTheFileAndTheKeys) {
  try {
    ParseServingSettings(GatewayFile("[limits]\ngrace_s = never\nother = 1\n"),
                         "g.ini");
    FAIL() << "invalid settings were accepted";
  } catch (const Error& error) {
    const std::string text = error.what();
    EXPECT_NE(text.find("g.ini"), std::string::npos) << text;
    EXPECT_NE(text.find("grace_s"), std::string::npos) << text;
    EXPECT_NE(text.find("other"), std::string::npos) << text;
  }
}

TEST(ServingSettings, WeightStoreLoadsDefaultToAutomatic) {
  const auto parse = [](const std::string& more) {
    return ParseServingSettings(GatewayFile(more), "g.ini").weight_store_loads;
  };
  EXPECT_EQ(parse(""), 0);
  EXPECT_EQ(parse("[limits]\nweight_store_loads = 4\n"), 4);
  EXPECT_THROW(parse("[limits]\nweight_store_loads = -1\n"), Error);
}

TEST(ServingSettings, AReloadListsSettingsThatNeedARestart) {
  const ServingSettings running = ParseServingSettings(GatewayFile(), "g.ini");
  EXPECT_EQ(running.file, "g.ini");
  const SettingChanges none = CompareSettings(running, running);
  EXPECT_EQ(none.applied + none.need_restart, "");
  const ServingSettings next = ParseServingSettings(
      GatewayFile("[limits]\ngrace_s = 12\nretry_percent = 10\n"
                  "[log]\ndecisions = false\n"),
      "g.ini");
  const SettingChanges changes = CompareSettings(running, next);
  EXPECT_EQ(changes.applied, "log.decisions");
  EXPECT_EQ(changes.need_restart, "limits.retry_percent,limits.grace_s");
}

}  // namespace
}  // namespace boragepick
