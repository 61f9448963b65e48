// The log lines that LogTask writes can be parsed by 'boragepick explain'.

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <sstream>

#include "core/explain/request_trace.h"
#include "frontends/log_task.h"

namespace boragepick {
namespace {

TEST(LogFormat, ExplainParsesTheLinesOfLogTask) {
  const std::string file = testing::TempDir() + "/log_format_test.log";
  std::filesystem::remove(file);
  {
    LogTask log(file, /*decisions=*/true);
    log.Post({.event = LogEvent::kStarted, .fields = {{"vm", "g1"}}});
    log.Post({.event = LogEvent::kRequestRetried,
              .fields = {{"request", "r1"}, {"why", "not executed"}}});
  }
  std::ostringstream text;
  text << std::ifstream(file).rdbuf();
  RequestTrace trace("r1");
  trace.AddLog(file, text.str());
  EXPECT_TRUE(trace.unparsed_lines().empty()) << text.str();
  EXPECT_NE(trace.Text().find("g1  E0202 routing request_retried request=r1 "
                              "why=\"not executed\""),
            std::string::npos)
      << trace.Text();
  std::filesystem::remove(file);
}

TEST(LogFormat, AFieldOfAMegabyteIsCutInTheLog) {
  const std::string file = testing::TempDir() + "/log_format_cut_test.log";
  std::filesystem::remove(file);
  {
    LogTask log(file, /*decisions=*/true);
    log.Post({.event = LogEvent::kConfigRejected,
              .fields = {{"key", std::string("a\0\x1b[2J\tb", 8)},
                         {"detail", std::string(1'000'000, 'x')}}});
  }
  std::ostringstream text;
  text << std::ifstream(file).rdbuf();
  EXPECT_LT(text.str().size(), 2 * LogTask::kMaxFieldBytes);
  EXPECT_NE(text.str().find("key=\"a  [2J b\" detail=xxx"), std::string::npos)
      << text.str();
  EXPECT_TRUE(text.str().ends_with("x...\n"));
  std::filesystem::remove(file);
}

}  // namespace
}  // namespace boragepick
