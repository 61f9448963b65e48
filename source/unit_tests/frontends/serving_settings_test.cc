// Settings of gateways and controllers.

#include "frontends/serving/serving_settings.h"

#include <gtest/gtest.h>

#include <string>
#include <string_view>
#include <vector>

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

// The platform fills in the limits, and a process that rejects one doesn't
// start.
TEST(ServingSettings, LimitsAcceptAnyNumber) {
  struct Case {
    std::string given;
    std::int64_t revocation_ms;
    std::int64_t reserve;
    std::int64_t slack;
    std::int64_t grace_s;
  };
  const std::vector<Case> cases{
      {"36.1764705882353", 100, 36, 36, 36},
      {"36", 100, 36, 36, 36},
      {"0", 100, 0, 0, 1},
      {"0.5", 100, 0, 0, 1},
      {"-1", 100, 0, 0, 1},
      {"7.2e4", 72'000, 72'000, 72'000, 3'600},
      {"1E+3", 1'000, 1'000, 1'000, 1'000},
      {"1e300", 3'600'000, 1'000'000, 1'000'000'000, 3'600},
      {"1e999", 3'600'000, 1'000'000, 1'000'000'000, 3'600},
      {"1e-999", 100, 0, 0, 1},
      {"99999999999999999999", 3'600'000, 1'000'000, 1'000'000'000, 3'600},
      // The platform has no such figure.
      {"", 5'000, 50, 0, 8},
  };
  for (const Case& example : cases) {
    const std::string& given = example.given;
    std::string limits = "[limits]\n";
    for (const std::string_view key : {"key_revocation_ms", "retry_reserve",
                                       "quota_slack_tokens", "grace_s"})
      limits.append(key).append(" = ").append(given).append("\n");
    const ServingSettings settings =
        ParseServingSettings(GatewayFile(limits), "g.ini");
    EXPECT_EQ(settings.key_revocation_ms, example.revocation_ms) << given;
    EXPECT_EQ(settings.retry_reserve, example.reserve) << given;
    EXPECT_EQ(settings.quota_slack, example.slack) << given;
    EXPECT_EQ(settings.grace_s, example.grace_s) << given;
  }
}

TEST(ServingSettings, AdjustedLimitsAreListed) {
  const auto adjusted = [](const std::string& more) {
    return ParseServingSettings(GatewayFile("[limits]\n" + more), "g.ini")
        .adjusted;
  };
  EXPECT_EQ(adjusted("retry_reserve = 36\ngrace_s = 8.0\n"), "");
  EXPECT_EQ(adjusted("retry_reserve = 36.2\ngrace_s = 0\n"),
            "limits.retry_reserve: '36.2' used as 36, "
            "limits.grace_s: '0' used as 1");
}

TEST(ServingSettings, LimitsRejectWhatIsNoNumber) {
  for (const std::string given : {"never", "nan", "8s", "1,5", "--8"}) {
    EXPECT_THROW(
        ParseServingSettings(GatewayFile("[limits]\ngrace_s = " + given + "\n"),
                             "g.ini"),
        Error)
        << given;
  }
}

TEST(ServingSettings, BoundsOfColdWorkersMayBeFractionsOrMissing) {
  const auto parse = [](const std::string& more) {
    return ParseServingSettings(GatewayFile("[limits]\n" + more), "g.ini");
  };
  EXPECT_DOUBLE_EQ(parse("cold_overage = 1.5\n").cold_overage, 1.5);
  EXPECT_DOUBLE_EQ(parse("cold_slack = 5\n").cold_slack, 5);
  for (const std::string missing : {"", "cold_overage =\ncold_slack =\n"}) {
    EXPECT_DOUBLE_EQ(parse(missing).cold_overage, 0);
    EXPECT_DOUBLE_EQ(parse(missing).cold_slack, 0);
    EXPECT_EQ(parse(missing).adjusted, "");
  }
  EXPECT_EQ(parse("cold_slack = -2\n").adjusted,
            "limits.cold_slack: '-2' used as 0");
  EXPECT_THROW(parse("cold_overage = much\n"), Error);
}

TEST(ServingSettings, WeightStoreLoadsDefaultToAutomatic) {
  const auto parse = [](const std::string& more) {
    return ParseServingSettings(GatewayFile(more), "g.ini").weight_store_loads;
  };
  EXPECT_EQ(parse(""), 0);
  EXPECT_EQ(parse("[limits]\nweight_store_loads = 4\n"), 4);
  EXPECT_THROW(parse("[limits]\nweight_store_loads = -1\n"), Error);
}

TEST(ServingSettings, RegionsAreATableOfDataCentres) {
  const ServingSettings settings = ParseServingSettings(
      GatewayFile("[regions]\n\nkitami-a = okhotsk\n\ntanno = okhotsk\n"),
      "g.ini");
  const std::map<std::string, std::string> expected{{"kitami-a", "okhotsk"},
                                                    {"tanno", "okhotsk"}};
  EXPECT_EQ(settings.regions, expected);
  EXPECT_TRUE(ParseServingSettings(GatewayFile(), "g.ini").regions.empty());
  const ServingSettings none = ParseServingSettings(GatewayFile(), "g.ini");
  EXPECT_EQ(CompareSettings(none, settings).need_restart, "regions");
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
