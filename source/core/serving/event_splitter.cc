#include "core/serving/event_splitter.h"

#include <algorithm>
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

// Returns the position after the first blank line of `text` whose preceding
// line ends at `from` or later, or npos if there is none.
std::size_t FindEventEnd(std::string_view text, std::size_t from) {
  while ((from = text.find('\n', from)) != std::string_view::npos) {
    const std::string_view rest = text.substr(from + 1);
    if (rest.starts_with('\n'))
      return from + 2;
    if (rest.starts_with("\r\n"))
      return from + 3;
    ++from;
  }
  return std::string_view::npos;
}

}  // namespace

std::vector<StreamEvent> EventSplitter::Append(std::string_view bytes) {
  // The end of a line may have come with the last bytes of the earlier ones.
  constexpr std::size_t kMaxSplitEnd = 2;
  std::size_t from =
      m_partial.size() - std::min(m_partial.size(), kMaxSplitEnd);
  m_partial += bytes;
  const std::string_view text = m_partial;
  std::vector<StreamEvent> events;
  std::size_t start = 0;
  for (std::size_t end = FindEventEnd(text, from);
       end != std::string_view::npos; end = FindEventEnd(text, from)) {
    const std::string_view event = text.substr(start, end - start);
    events.push_back({.bytes = std::string(event),
                      .id = ParseEventId(event),
                      .is_comment = HasOnlyComments(event)});
    start = from = end;
  }
  m_partial.erase(0, start);
  return events;
}

}  // namespace boragepick
