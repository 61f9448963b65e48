#include "core/scheduling/event_stream_parser.h"

namespace boragepick {

namespace {

constexpr std::string_view kEventEnd = "\n\n";
constexpr std::string_view kLastEvent = "data: [DONE]";

}  // namespace

std::string EventStreamParser::Append(std::string_view bytes) {
  m_partial += bytes;
  const std::size_t last_end = m_partial.rfind(kEventEnd);
  if (last_end == std::string::npos)
    return {};
  std::string rest = m_partial.substr(last_end + kEventEnd.size());
  m_partial.resize(last_end + kEventEnd.size());
  std::string complete = std::move(m_partial);
  m_partial = std::move(rest);
  CountEvents(complete);
  return complete;
}

void EventStreamParser::CountEvents(std::string_view events) {
  while (!events.empty()) {
    const std::size_t end = events.find(kEventEnd);
    const std::string_view event = events.substr(0, end);
    events.remove_prefix(end + kEventEnd.size());
    if (event == kLastEvent)
      m_finished = true;
    else if (event.starts_with("data:"))
      ++m_tokens;
  }
}

}  // namespace boragepick
