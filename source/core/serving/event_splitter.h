// Cuts a stream of server-sent events at event boundaries and reads their ids,
// so that a stream can go on at another worker behind the last whole event.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace boragepick {

struct StreamEvent {
  // As it stands on the wire, with its blank line.
  std::string bytes;
  std::optional<std::uint64_t> id;
};

class EventSplitter {
 public:
  // A larger event is an error of the upstream, in bytes.
  static constexpr std::size_t kMaxEventSize = 1 << 20;

  // The events completed by `bytes`.
  std::vector<StreamEvent> Take(std::string_view bytes);

  bool HasPartial() const { return !m_partial.empty(); }
  bool Overflowed() const { return m_partial.size() > kMaxEventSize; }
  void Reset() { m_partial.clear(); }

 private:
  std::string m_partial;
};

}  // namespace boragepick
