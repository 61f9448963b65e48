// The trace of one request from the logs of all processes: its own log lines
// and related ones, ordered by time.
#pragma once

#include <cstddef>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "common/log_event.h"

namespace boragepick {

// One parsed log line.
struct LogLine {
  // "2026-12-04T11:17:08.123"; sorts chronologically as text.
  std::string time;
  const LogEventRow* event = nullptr;
  std::vector<LogField> fields;

  // The field's value; empty if there is no such field.
  std::string Field(std::string_view name) const;
};

// Empty if `text` is not a log line.
std::optional<LogLine> ParseLogLine(std::string_view text);

class RequestTrace {
 public:
  // `request` is the id sent by the caller, as it appears in the logs.
  explicit RequestTrace(std::string request) : m_request(std::move(request)) {}

  // Adds the log of one process, identified by the VM in its start line, or by
  // `file` before or without one.
  void AddLog(const std::string& file, std::string_view text);

  bool Found() const { return m_found; }
  // "file:line" of each line that could not be parsed.
  const std::vector<std::string>& unparsed_lines() const {
    return m_unparsed_lines;
  }

  // One line per event: time, process, number, category, name, fields.
  std::string Text() const;

 private:
  struct Entry {
    std::string process;
    LogLine line;
  };

  // Records the processes, workers and weights that the request's lines name.
  void CollectContext(const Entry& entry);
  // Whether the line is relevant to the request without naming it.
  bool IsRelated(const Entry& entry) const;
  // The state of the request's processes when it arrived: the latest entry of
  // each state kind before its first line.
  std::set<const Entry*> StateBeforeRequest() const;

  std::string m_request;
  bool m_found = false;
  std::vector<Entry> m_entries;
  std::vector<std::string> m_unparsed_lines;

  // Identifiers from the request's own lines.
  std::set<std::string> m_processes;
  std::set<std::string> m_workers;
  // Models and adapters.
  std::set<std::string> m_weights;
  std::string m_first_time;
  std::string m_last_time;
};

}  // namespace boragepick
