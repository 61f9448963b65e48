// Tells what became of one request from the logs of all processes: its own
// lines, and those that explain them, in the order of time.
#pragma once

#include <cstddef>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "common/log_event.h"

namespace boragepick {

// One line of a log, as it was written.
struct LogLine {
  // "2026-12-04T11:17:08.123"; texts of this form sort like their times.
  std::string time;
  const LogEventRow* event = nullptr;
  std::vector<LogField> fields;

  // Empty if there is no such field.
  std::string Field(std::string_view name) const;
};

// Nothing when `text` is no line of a log.
std::optional<LogLine> ParseLogLine(std::string_view text);

class RequestTrace {
 public:
  // `request` is the id that the caller sent, as the logs show it.
  explicit RequestTrace(std::string request) : m_request(std::move(request)) {}

  // The log of one process; its first line names the VM, or else `file` stands
  // for the process.
  void AddLog(const std::string& file, std::string_view text);

  bool Found() const { return m_found; }
  // "file:number" of each line that could not be read.
  const std::vector<std::string>& unread() const { return m_unread; }

  // One line an event: time, process, number, name, fields.
  std::string Text() const;

 private:
  struct Entry {
    std::string process;
    LogLine line;
  };

  void Learn(const Entry& entry);
  // Whether the line bears on the request without naming it.
  bool Explains(const Entry& entry) const;
  // What the request's processes believed when it came: the latest line of each
  // kind before it.
  std::set<const Entry*> StateAtArrival() const;

  std::string m_request;
  bool m_found = false;
  std::vector<Entry> m_entries;
  std::vector<std::string> m_unread;

  // What the request's own lines name.
  std::set<std::string> m_processes;
  std::set<std::string> m_workers;
  // Models and adapters.
  std::set<std::string> m_weights;
  std::string m_first_time;
  std::string m_last_time;
};

}  // namespace boragepick
