// Runs the command-line tool as a process on log files.

#include <gtest/gtest.h>

#include <sys/wait.h>
#include <unistd.h>

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <string>

namespace boragepick {
namespace {

struct ToolRun {
  int code = 0;
  std::string output;
};

// Runs the tool and captures its standard output and standard error.
ToolRun RunTool(const std::string& arguments) {
  const std::string command =
      std::string(TOOL_PROGRAM) + " " + arguments + " 2>&1";
  std::FILE* pipe = popen(command.c_str(), "r");
  ToolRun run;
  char buffer[4'096];
  while (const std::size_t size = std::fread(buffer, 1, sizeof buffer, pipe))
    run.output.append(buffer, size);
  run.code = WEXITSTATUS(pclose(pipe));
  return run;
}

class ToolTest : public testing::Test {
 protected:
  void SetUp() override {
    // ctest runs the cases concurrently, each in a process of its own.
    m_folder = testing::TempDir() + "/tool_test_" + std::to_string(getpid());
    std::filesystem::create_directories(m_folder);
  }
  void TearDown() override { std::filesystem::remove_all(m_folder); }

  std::string WriteFile(const std::string& name, const std::string& text) {
    std::ofstream(m_folder + "/" + name) << text;
    return m_folder + "/" + name;
  }

 private:
  std::string m_folder;
};

TEST_F(ToolTest, ExplainsARequestFromTheLogsOfAllProcesses) {
  const std::string gateway = WriteFile(
      "gateway.log",
      "2026-01-01T00:00:01.000 INFO E0100 daemon started vm=g1\n"
      "2026-01-01T00:00:02.000 INFO E0205 routing request_held request=r7 "
      "why=model_not_loaded weights=m1\n"
      "2026-01-01T00:00:04.000 INFO E0200 routing request_refused request=r7 "
      "code=model_not_loaded status=503\n"
      "half a li");
  const std::string controller =
      WriteFile("controller.log",
                "2026-01-01T00:00:01.000 INFO E0100 daemon started vm=side-1\n"
                "2026-01-01T00:00:03.000 INFO E0308 placement order_sent "
                "operation=unload weights=m2 for=m1\n"
                "2026-01-01T00:00:03.500 INFO E0308 placement order_sent "
                "operation=load weights=m9 for=m9\n");
  const ToolRun run = RunTool("explain r7 " + gateway + " " + controller);
  EXPECT_EQ(run.code, 0);
  const std::size_t held = run.output.find("g1  E0205");
  const std::size_t order = run.output.find("side-1  E0308");
  const std::size_t refused = run.output.find("g1  E0200");
  ASSERT_NE(refused, std::string::npos) << run.output;
  EXPECT_LT(held, order);
  EXPECT_LT(order, refused);
  EXPECT_EQ(run.output.find("m9"), std::string::npos);
  EXPECT_NE(run.output.find("gateway.log:4: not a log line"),
            std::string::npos);
}

TEST_F(ToolTest, ReportsThatNoLogLineContainsTheRequest) {
  const ToolRun run = RunTool("explain r8 " + WriteFile("empty.log", ""));
  EXPECT_EQ(run.code, 1);
  EXPECT_NE(run.output.find("no log line contains request 'r8'"),
            std::string::npos);
  EXPECT_EQ(RunTool("explain r8").code, 2);
}

}  // namespace
}  // namespace boragepick
