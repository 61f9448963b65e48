#include "frontends/log_task.h"

#include <easylogging++.h>

INITIALIZE_EASYLOGGINGPP

namespace boragepick {

namespace {

bool IsRequestDecision(LogEvent event) {
  return LogEventInfo(event).category == LogCategory::kRouting;
}

void Configure(const std::string& file) {
  el::Configurations configuration;
  configuration.setToDefault();
  configuration.setGlobally(el::ConfigurationType::Format,
                            "%datetime{%Y-%M-%dT%H:%m:%s.%g} %level %msg");
  const bool to_file = !file.empty();
  configuration.setGlobally(el::ConfigurationType::ToFile,
                            to_file ? "true" : "false");
  configuration.setGlobally(el::ConfigurationType::ToStandardOutput,
                            to_file ? "false" : "true");
  if (to_file)
    configuration.setGlobally(el::ConfigurationType::Filename, file);
  el::Loggers::addFlag(el::LoggingFlag::DisableApplicationAbortOnFatalLog);
  el::Loggers::reconfigureLogger("default", configuration);
}

// Values can come from a peer and be of any length.
void LimitFields(LogRecord& record) {
  constexpr std::string_view kEllipsis = "...";
  for (LogField& field : record.fields) {
    if (field.value.size() <= LogTask::kMaxFieldBytes)
      continue;
    field.value.resize(LogTask::kMaxFieldBytes - kEllipsis.size());
    field.value += kEllipsis;
    field.value.shrink_to_fit();
  }
}

void Write(const LogRecord& record) {
  const std::string line = FormatLogRecord(record);
  switch (LogEventInfo(record.event).level) {
    case LogLevel::kInfo:
      LOG(INFO) << line;
      return;
    case LogLevel::kWarning:
      LOG(WARNING) << line;
      return;
    case LogLevel::kError:
      LOG(ERROR) << line;
      return;
  }
}

}  // namespace

LogTask::LogTask(const std::string& file, bool decisions)
    : m_decisions(decisions) {
  Configure(file);
  m_thread = std::thread([this] { Run(); });
}

LogTask::~LogTask() {
  m_mailbox.Post(StopLog{});
  m_thread.join();
}

void LogTask::Post(LogRecord record) {
  if (!m_decisions && IsRequestDecision(record.event))
    return;
  if (m_queued >= kMaxQueuedRecords) {
    ++m_dropped;
    return;
  }
  LimitFields(record);
  ++m_queued;
  m_mailbox.Post(std::move(record));
}

void LogTask::LogDropped() {
  const std::uint64_t dropped = m_dropped;
  if (dropped == m_dropped_logged)
    return;
  Write({.event = LogEvent::kLogDropped,
         .fields = {{"records", std::to_string(dropped - m_dropped_logged)}}});
  m_dropped_logged = dropped;
}

void LogTask::Run() {
  constexpr int kNoTimeout = -1;
  while (true) {
    m_mailbox.wake_up().Wait(kNoTimeout);
    for (const auto& message : m_mailbox.TakeAll()) {
      if (std::holds_alternative<StopLog>(message))
        return;
      Write(std::get<LogRecord>(message));
      --m_queued;
    }
    LogDropped();
  }
}

}  // namespace boragepick
