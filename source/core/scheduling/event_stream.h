// Follows a stream of server-sent events: cuts it at event boundaries, counts
// the events and knows whether its last one has come, so that a cut stream is
// never taken for a whole one.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace boragepick {

class EventStream {
 public:
  // An event longer than this is an error of the upstream, in bytes.
  static constexpr std::size_t kMaxEventSize = 1 << 20;

  // Takes bytes as they come and returns the complete events among them, ready
  // to be passed on.
  std::string Take(std::string_view bytes);

  // Bytes of an incomplete event are thrown away, as when the upstream was cut.
  void DropPartial() { m_partial.clear(); }

  // Complete events other than the last one: the tokens of the answer.
  std::uint64_t tokens() const { return m_tokens; }
  bool finished() const { return m_finished; }
  bool overflowed() const { return m_partial.size() > kMaxEventSize; }

 private:
  void CountEvents(std::string_view events);

  std::string m_partial;
  std::uint64_t m_tokens = 0;
  bool m_finished = false;
};

}  // namespace boragepick
