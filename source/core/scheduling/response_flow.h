// Bounds the response bytes that a router holds while their callers have not
// read them: decides when it stops and continues to read a response from its
// worker.
#pragma once

#include <cstddef>

namespace boragepick {

struct ResponseFlowOptions {
  // Bytes of all responses. Once they use this much, memory is short.
  std::size_t pool_bytes = 32 << 20;
  // Bytes of one response.
  std::size_t window_bytes = 256 << 10;
  // Bytes of one response while memory is short. Each response may hold so
  // much, so that those whose callers read go on.
  std::size_t min_window_bytes = 16 << 10;
};

class ResponseFlow {
 public:
  explicit ResponseFlow(const ResponseFlowOptions& options)
      : m_options(options) {}

  // Records what the router itself holds of a response, whose end the caller
  // must wait for, in place of `before`.
  void RecordBuffered(std::size_t before, std::size_t now) {
    m_buffered_bytes += now - before;
  }
  // Records what callers have not read of all responses that were passed on.
  void RecordUnsent(std::size_t bytes) { m_unsent_bytes = bytes; }

  std::size_t held_bytes() const { return m_buffered_bytes + m_unsent_bytes; }
  bool IsMemoryShort() const { return held_bytes() >= m_options.pool_bytes; }

  // Whether a response of which `held` bytes wait must not be read further, and
  // whether one that was paused may be read again.
  bool MustPause(std::size_t held) const { return held >= Window(); }
  bool MayResume(std::size_t held) const { return held <= Window() / 2; }

  // What one response may hold.
  std::size_t Window() const {
    return IsMemoryShort() ? m_options.min_window_bytes
                           : m_options.window_bytes;
  }

 private:
  ResponseFlowOptions m_options;
  std::size_t m_buffered_bytes = 0;
  std::size_t m_unsent_bytes = 0;
};

}  // namespace boragepick
