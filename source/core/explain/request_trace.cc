#include "core/explain/request_trace.h"

#include <algorithm>
#include <map>
#include <utility>

namespace boragepick {

namespace {

// "E0201"
constexpr std::size_t kEventNumberLength = 5;
constexpr std::size_t kDateLength = 10;

std::string_view ConsumeWord(std::string_view& text) {
  const std::size_t end = std::min(text.find(' '), text.size());
  const std::string_view word = text.substr(0, end);
  text.remove_prefix(std::min(end + 1, text.size()));
  return word;
}

const LogEventRow* FindEvent(std::string_view number) {
  const bool well_formed =
      number.size() == kEventNumberLength && number[0] == 'E' &&
      std::ranges::all_of(number.substr(1),
                          [](char c) { return c >= '0' && c <= '9'; });
  if (!well_formed)
    return nullptr;
  const int value = std::stoi(std::string(number.substr(1)));
  const std::vector<LogEventRow>& rows = LogEventCatalogue();
  const auto found = std::ranges::find_if(rows, [value](const auto& row) {
    return static_cast<int>(row.event) == value;
  });
  return found == rows.end() ? nullptr : &*found;
}

// Consumes the value at the beginning of `text`; returns it unquoted.
std::string ConsumeValue(std::string_view& text) {
  if (!text.starts_with('"'))
    return std::string(ConsumeWord(text));
  std::string value;
  std::size_t i = 1;
  for (; i < text.size() && text[i] != '"'; ++i) {
    if (text[i] == '\\' && i + 1 < text.size())
      ++i;
    value += text[i];
  }
  text.remove_prefix(std::min(i + 1, text.size()));
  if (text.starts_with(' '))
    text.remove_prefix(1);
  return value;
}

bool IsTime(std::string_view word) {
  return word.size() > kDateLength && word[kDateLength] == 'T' &&
         word.substr(0, 2) == "20";
}

// Events that set a state of the process until the next event of the same kind.
enum class StateKind { kNone, kConfiguration, kKeys, kPlatform };

StateKind StateKindOf(LogEvent event) {
  switch (event) {
    case LogEvent::kConfigApplied:
      return StateKind::kConfiguration;
    case LogEvent::kKeysStale:
    case LogEvent::kKeysCurrent:
      return StateKind::kKeys;
    case LogEvent::kPlatformUnreachable:
    case LogEvent::kPlatformRegained:
      return StateKind::kPlatform;
    default:
      return StateKind::kNone;
  }
}

std::string ModelOf(const std::string& weights) {
  return weights.substr(0, weights.find('/'));
}

}  // namespace

std::string LogLine::Field(std::string_view name) const {
  const auto found = std::ranges::find(fields, name, &LogField::name);
  return found == fields.end() ? "" : found->value;
}

std::optional<LogLine> ParseLogLine(std::string_view text) {
  const std::string_view time = ConsumeWord(text);
  // Skips the level, which the event implies.
  ConsumeWord(text);
  LogLine line{.time = std::string(time),
               .event = FindEvent(ConsumeWord(text))};
  // Skips the category, which the event implies as well.
  ConsumeWord(text);
  const std::string_view name = ConsumeWord(text);
  if (!IsTime(time) || line.event == nullptr || name != line.event->name)
    return std::nullopt;
  while (!text.empty()) {
    const std::size_t equals = text.find('=');
    if (equals == std::string_view::npos)
      return std::nullopt;
    std::string field(text.substr(0, equals));
    text.remove_prefix(equals + 1);
    line.fields.push_back(
        {.name = std::move(field), .value = ConsumeValue(text)});
  }
  return line;
}

void RequestTrace::AddLog(const std::string& file, std::string_view text) {
  std::string process = file;
  std::size_t number = 0;
  while (!text.empty()) {
    const std::size_t end = std::min(text.find('\n'), text.size());
    const std::string_view written = text.substr(0, end);
    text.remove_prefix(std::min(end + 1, text.size()));
    ++number;
    if (written.empty())
      continue;
    std::optional<LogLine> line = ParseLogLine(written);
    if (!line) {
      m_unparsed_lines.push_back(file + ":" + std::to_string(number));
      continue;
    }
    if (line->event->event == LogEvent::kStarted && !line->Field("vm").empty())
      process = line->Field("vm");
    Entry entry{.process = process, .line = *std::move(line)};
    CollectContext(entry);
    m_entries.push_back(std::move(entry));
  }
}

void RequestTrace::CollectContext(const Entry& entry) {
  const LogLine& line = entry.line;
  if (line.Field("request") != m_request)
    return;
  if (!m_found || line.time < m_first_time)
    m_first_time = line.time;
  if (!m_found || line.time > m_last_time)
    m_last_time = line.time;
  m_found = true;
  m_processes.insert(entry.process);
  if (const std::string worker = line.Field("worker"); !worker.empty())
    m_workers.insert(worker);
  if (const std::string weights = line.Field("weights"); !weights.empty()) {
    m_weights.insert(weights);
    m_weights.insert(ModelOf(weights));
  }
}

bool RequestTrace::IsRelated(const Entry& entry) const {
  const LogLine& line = entry.line;
  if (line.time < m_first_time || line.time > m_last_time)
    return false;
  switch (line.event->event) {
    case LogEvent::kOrderSent:
    case LogEvent::kOrderEnded:
    case LogEvent::kWeightsLoaded:
    case LogEvent::kLoadDelayed:
      return m_weights.contains(line.Field("weights")) ||
             m_weights.contains(line.Field("for"));
    case LogEvent::kWorkerListed:
    case LogEvent::kWorkerLeaving:
    case LogEvent::kWorkerGone:
    case LogEvent::kWorkerSuspected:
      return m_workers.contains(line.Field("worker")) &&
             m_processes.contains(entry.process);
    case LogEvent::kDraining:
    case LogEvent::kStopped:
      return m_processes.contains(entry.process);
    default:
      return StateKindOf(line.event->event) != StateKind::kNone &&
             m_processes.contains(entry.process);
  }
}

std::set<const RequestTrace::Entry*> RequestTrace::StateBeforeRequest() const {
  std::map<std::pair<std::string, StateKind>, const Entry*> latest;
  for (const Entry& entry : m_entries) {
    const StateKind kind = StateKindOf(entry.line.event->event);
    const bool before = entry.line.time < m_first_time;
    if (kind == StateKind::kNone || !before ||
        !m_processes.contains(entry.process))
      continue;
    const Entry*& latest_entry = latest[{entry.process, kind}];
    if (latest_entry == nullptr || latest_entry->line.time <= entry.line.time)
      latest_entry = &entry;
  }
  std::set<const Entry*> entries;
  for (const auto& [key, entry] : latest)
    entries.insert(entry);
  return entries;
}

std::string RequestTrace::Text() const {
  const std::set<const Entry*> state = StateBeforeRequest();
  std::vector<const Entry*> selected;
  for (const Entry& entry : m_entries) {
    if (entry.line.Field("request") == m_request || IsRelated(entry) ||
        state.contains(&entry))
      selected.push_back(&entry);
  }
  std::ranges::stable_sort(selected, {},
                           [](const Entry* entry) { return entry->line.time; });
  std::string text;
  for (const Entry* entry : selected) {
    text += entry->line.time + "  " + entry->process + "  " +
            FormatLogRecord({.event = entry->line.event->event,
                             .fields = entry->line.fields}) +
            '\n';
  }
  return text;
}

}  // namespace boragepick
