// The mailbox of a task: a queue of typed messages that any thread may post to
// and that the task empties in one call. A file descriptor is readable while
// the queue has messages, so that the task can poll it together with its
// sockets.
#pragma once

#include <cstdint>
#include <deque>
#include <mutex>
#include <utility>

namespace boragepick {

// An eventfd that wakes the thread that polls it. Thread-safe.
class WakeUpEvent {
 public:
  WakeUpEvent();
  ~WakeUpEvent();
  WakeUpEvent(const WakeUpEvent&) = delete;
  WakeUpEvent& operator=(const WakeUpEvent&) = delete;

  int fd() const { return m_fd; }
  void Signal();
  void Clear();
  // Blocks until Signal() is called, at most for `timeout_ms`; -1 waits without
  // a limit. Doesn't clear the event.
  void Wait(int timeout_ms) const;

 private:
  int m_fd;
};

template <typename Message>
class Mailbox {
 public:
  // May be called from any thread.
  void Post(Message message) {
    bool was_empty = false;
    {
      const std::lock_guard lock(m_mutex);
      was_empty = m_messages.empty();
      m_messages.push_back(std::move(message));
    }
    if (was_empty)
      m_wake_up.Signal();
  }

  // Removes and returns all messages. Called only by the task that owns the
  // mailbox.
  std::deque<Message> TakeAll() {
    m_wake_up.Clear();
    const std::lock_guard lock(m_mutex);
    return std::exchange(m_messages, {});
  }

  WakeUpEvent& wake_up() { return m_wake_up; }

 private:
  std::mutex m_mutex;
  std::deque<Message> m_messages;
  WakeUpEvent m_wake_up;
};

}  // namespace boragepick
