#include "core/serving/event_splitter.h"

#include <charconv>

namespace boragepick {

namespace {

constexpr std::string_view kIdField = "id:";

std::optional<std::uint64_t> ParseEventId(std::string_view event) {
  while (!event.empty()) {
    const std::size_t end = event.find('\n');
    std::string_view line = event.substr(0, end);
    if (line.starts_with(kIdField)) {
      line.remove_prefix(kIdField.size());
      while (!line.empty() && line.front() == ' ')
        line.remove_prefix(1);
      std::uint64_t id = 0;
      const auto [stop, error] =
          std::from_chars(line.data(), line.data() + line.size(), id);
      if (error != std::errc{})
        return std::nullopt;
      return id;
    }
    if (end == std::string_view::npos)
      break;
    event.remove_prefix(end + 1);
  }
  return std::nullopt;
}

bool HasOnlyComments(std::string_view event) {
  while (!event.empty()) {
    const std::size_t end = event.find('\n');
    const std::string_view line = event.substr(0, end);
    const bool is_blank = line.empty() || line == "\r";
    if (!is_blank && !line.starts_with(':'))
      return false;
    if (end == std::string_view::npos)
      break;
    event.remove_prefix(end + 1);
  }
  return true;
}

// Returns the position after the blank line that ends the first event of
// `text`, or npos if the event is incomplete.
std::size_t FindEventEnd(std::string_view text) {
  const std::size_t lf = text.find("\n\n");
  const std::size_t crlf = text.find("\n\r\n");
  if (lf == std::string_view::npos && crlf == std::string_view::npos)
    return std::string_view::npos;
  return lf < crlf ? lf + 2 : crlf + 3;
}

}  // namespace

std::vector<StreamEvent> EventSplitter::Append(std::string_view bytes) {
  m_partial += bytes;
  std::vector<StreamEvent> events;
  std::size_t start = 0;
  while (true) {
    const std::string_view rest = std::string_view(m_partial).substr(start);
    const std::size_t end = FindEventEnd(rest);
    if (end == std::string_view::npos)
      break;
    const std::string_view event = rest.substr(0, end);
    events.push_back({.bytes = std::string(event),
                      .id = ParseEventId(event),
                      .is_comment = HasOnlyComments(event)});
    start += end;
  }
  m_partial.erase(0, start);
  return events;
}

}  // namespace boragepick
