// Splits a stream of server-sent events at event boundaries, counts the events
// and detects the last one, so that a truncated stream is never mistaken for a
// complete one.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace boragepick {

class EventStreamParser {
 public:
  // In bytes; a longer event is an upstream error.
  static constexpr std::size_t kMaxEventSize = 1 << 20;

  // Appends received bytes and returns the events completed by them.
  std::string Append(std::string_view bytes);

  // Discards the bytes of an incomplete event, after the upstream failed.
  void DiscardPartialEvent() { m_partial.clear(); }

  // Tokens of the response: complete events except the last one.
  std::uint64_t tokens() const { return m_tokens; }
  bool finished() const { return m_finished; }
  std::size_t partial_bytes() const { return m_partial.size(); }

 private:
  void CountEvents(std::string_view events);

  std::string m_partial;
  std::uint64_t m_tokens = 0;
  bool m_finished = false;
};

}  // namespace boragepick
