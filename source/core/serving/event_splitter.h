// Splits a byte stream into server-sent events and parses their ids, so that a
// broken stream can be resumed at another worker after the last complete event.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace boragepick {

struct StreamEvent {
  // The event as received, including the blank line that ends it.
  std::string bytes;
  std::optional<std::uint64_t> id;
  // All of its lines are comments, as of a keep-alive.
  bool is_comment = false;
};

class EventSplitter {
 public:
  // Larger events are treated as an upstream error, in bytes.
  static constexpr std::size_t kMaxEventSize = 1 << 20;

  // Appends `bytes` and returns the events that they complete.
  std::vector<StreamEvent> Append(std::string_view bytes);

  bool HasPartial() const { return !m_partial.empty(); }
  std::size_t partial_bytes() const { return m_partial.size(); }
  void Reset() { m_partial.clear(); }

 private:
  std::string m_partial;
};

}  // namespace boragepick
