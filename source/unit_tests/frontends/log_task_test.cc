// Posting to the log must not block, also while nothing reads its output.

#include <gtest/gtest.h>

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <chrono>
#include <string>

#include "frontends/log_task.h"

namespace boragepick {
namespace {

TEST(LogTask, PostDoesNotBlockWhileTheOutputIsBlocked) {
  // Standard output is a pipe that nothing reads.
  int pipe_fds[2];
  ASSERT_EQ(pipe(pipe_fds), 0);
  const int saved_stdout = dup(STDOUT_FILENO);
  dup2(pipe_fds[1], STDOUT_FILENO);
  {
    LogTask log("", /*decisions=*/true);
    const auto start = std::chrono::steady_clock::now();
    for (int i = 0; i < 50'000; ++i)
      log.Post({.event = LogEvent::kRequestRouted,
                .fields = {{"request", std::string(100, 'x')}}});
    EXPECT_LT(std::chrono::steady_clock::now() - start,
              std::chrono::seconds(5));
    EXPECT_GE(log.dropped(), 50'000U - LogTask::kMaxQueuedRecords - 5'000U);
    // Reads the pipe again, so that the queued records are written and the
    // log's thread pipe_fds.
    dup2(saved_stdout, STDOUT_FILENO);
    close(pipe_fds[1]);
    char bytes[65'536];
    while (read(pipe_fds[0], bytes, sizeof(bytes)) > 0) {
    }
  }
  close(pipe_fds[0]);
  close(saved_stdout);
}

}  // namespace
}  // namespace boragepick
