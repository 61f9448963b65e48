// The log: one thread owns the output; all others post numbered records to it.
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
  // Writes to `file`, or to standard error when it is empty. `decisions` false
  // leaves out the lines of single requests.
  LogTask(const std::string& file, bool decisions);
  ~LogTask();
  LogTask(const LogTask&) = delete;
  LogTask& operator=(const LogTask&) = delete;

  // Never blocks: while the output takes nothing, records beyond
  // kMaxQueuedRecords are dropped, and their number is written when it does
  // again.
  void Post(LogRecord record);

  // Whether lines of single requests are written.
  void SetDecisions(bool decisions) { m_decisions = decisions; }

  static constexpr std::size_t kMaxQueuedRecords = 10'000;
  std::uint64_t dropped() const { return m_dropped; }

 private:
  void Run();
  void WriteDropped();

  std::atomic<bool> m_decisions;
  std::atomic<std::size_t> m_waiting = 0;
  std::atomic<std::uint64_t> m_dropped = 0;
  std::uint64_t m_dropped_written = 0;
  struct StopLog {};
  Mailbox<std::variant<LogRecord, StopLog>> m_mailbox;
  std::thread m_thread;
};

}  // namespace boragepick
