// The log: one thread owns the output; all others post numbered records to it.
#pragma once

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

  void Post(LogRecord record);

 private:
  void Run();

  bool m_decisions;
  struct StopLog {};
  Mailbox<std::variant<LogRecord, StopLog>> m_mailbox;
  std::thread m_thread;
};

}  // namespace boragepick
