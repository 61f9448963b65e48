// The log never holds up those who write to it.

#include <gtest/gtest.h>

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <chrono>
#include <string>

#include "frontends/log_task.h"

namespace boragepick {
namespace {

TEST(LogTask, AReaderThatStopsSlowsNobody) {
  // a pipe that nobody reads stands for standard output
  int ends[2];
  ASSERT_EQ(pipe(ends), 0);
  const int saved = dup(STDOUT_FILENO);
  dup2(ends[1], STDOUT_FILENO);
  {
    LogTask log("", /*decisions=*/true);
    const auto before = std::chrono::steady_clock::now();
    for (int i = 0; i < 50'000; ++i)
      log.Post({.event = LogEvent::kRequestRouted,
                .fields = {{"request", std::string(100, 'x')}}});
    EXPECT_LT(std::chrono::steady_clock::now() - before,
              std::chrono::seconds(5));
    EXPECT_GE(log.dropped(), 50'000U - LogTask::kMaxQueuedRecords - 5'000U);
    // the reader is back: what was kept is written, and the log ends
    dup2(saved, STDOUT_FILENO);
    close(ends[1]);
    char bytes[65'536];
    while (read(ends[0], bytes, sizeof(bytes)) > 0) {
    }
  }
  close(ends[0]);
  close(saved);
}

}  // namespace
}  // namespace boragepick
