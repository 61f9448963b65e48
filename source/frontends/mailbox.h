// The mailbox of a task: others post typed messages, the task takes them all at
// once. A file descriptor becomes readable when there are any, so that the task
// can wait for them together with its sockets.
#pragma once

#include <cstdint>
#include <deque>
#include <mutex>
#include <utility>

namespace boragepick {

// The descriptor of a mailbox; thread-safe.
class WakeUp {
 public:
  WakeUp();
  ~WakeUp();
  WakeUp(const WakeUp&) = delete;
  WakeUp& operator=(const WakeUp&) = delete;

  int fd() const { return m_fd; }
  void Raise();
  void Clear();
  // Blocks until it is raised; returns after `timeout_ms` at the latest.
  void Wait(int timeout_ms) const;

 private:
  int m_fd;
};

template <typename Message>
class Mailbox {
 public:
  // From any thread.
  void Post(Message message) {
    bool first = false;
    {
      const std::lock_guard lock(m_mutex);
      first = m_messages.empty();
      m_messages.push_back(std::move(message));
    }
    if (first)
      m_wake_up.Raise();
  }

  // By the owner only.
  std::deque<Message> TakeAll() {
    m_wake_up.Clear();
    const std::lock_guard lock(m_mutex);
    return std::exchange(m_messages, {});
  }

  WakeUp& wake_up() { return m_wake_up; }

 private:
  std::mutex m_mutex;
  std::deque<Message> m_messages;
  WakeUp m_wake_up;
};

}  // namespace boragepick
