// The mailbox of a task on an event loop, for senders on other threads. The
// handler runs on the loop's thread.
#pragma once

#include <functional>
#include <utility>

#include "frontends/loop/event_loop.h"
#include "frontends/mailbox.h"

namespace boragepick {

template <typename Message>
class CrossThreadMailbox {
 public:
  CrossThreadMailbox(EventLoop& loop, std::function<void(Message)> handle)
      : m_loop(loop), m_handle(std::move(handle)) {
    m_loop.Watch(m_mailbox.wake_up().fd(), EPOLLIN,
                 [this](std::uint32_t) { HandleMessages(); });
  }
  ~CrossThreadMailbox() { m_loop.RemoveWatch(m_mailbox.wake_up().fd()); }
  CrossThreadMailbox(const CrossThreadMailbox&) = delete;
  CrossThreadMailbox& operator=(const CrossThreadMailbox&) = delete;

  // Thread-safe.
  void Post(Message message) { m_mailbox.Post(std::move(message)); }

 private:
  void HandleMessages() {
    for (Message& message : m_mailbox.TakeAll())
      m_handle(std::move(message));
  }

  EventLoop& m_loop;
  std::function<void(Message)> m_handle;
  Mailbox<Message> m_mailbox;
};

}  // namespace boragepick
