// Writes the log. One thread owns the output; all other threads post records to
// it.
#pragma once

#include <atomic>
#include <cstdint>
#include <string>
#include <thread>
#include <variant>

#include "common/log_event.h"
#include "frontends/mailbox.h"

namespace boragepick {

class LogTask {
 public:
  // Writes to `file`, or to standard output if it is empty. Records about
  // individual requests are written only if `decisions` is true.
  LogTask(const std::string& file, bool decisions);
  ~LogTask();
  LogTask(const LogTask&) = delete;
  LogTask& operator=(const LogTask&) = delete;

  // Never blocks. While the output is blocked, at most kMaxQueuedRecords
  // records are queued and further ones are dropped; their number is logged
  // once the output accepts data again.
  void Post(LogRecord record);

  // Sets whether records about individual requests are written.
  void SetDecisions(bool decisions) { m_decisions = decisions; }

  static constexpr std::size_t kMaxQueuedRecords = 10'000;
  // Longer values of fields are cut.
  static constexpr std::size_t kMaxFieldBytes = 1'024;
  std::uint64_t dropped() const { return m_dropped; }

 private:
  void Run();
  void LogDropped();

  std::atomic<bool> m_decisions;
  std::atomic<std::size_t> m_queued = 0;
  std::atomic<std::uint64_t> m_dropped = 0;
  std::uint64_t m_dropped_logged = 0;
  struct StopLog {};
  Mailbox<std::variant<LogRecord, StopLog>> m_mailbox;
  std::thread m_thread;
};

}  // namespace boragepick
