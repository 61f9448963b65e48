// The event loop of a thread: a GLib main context with a single source that
// watches all descriptors through epoll and runs timers and deferred actions.
// Tasks that share a loop own their sockets and their state and exchange
// messages; passing a message between them costs no system call.
#pragma once

#include <glib.h>
#include <sys/epoll.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <utility>
#include <vector>

#include "common/time.h"

namespace boragepick {

class EventLoop {
 public:
  using FdHandler = std::function<void(std::uint32_t events)>;
  // The expiry time and a serial number that is never reused.
  using TimerId = std::pair<TimePoint, std::uint64_t>;

  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  // `events` is a mask of EPOLL* flags. The handler may remove its own watch
  // and those of other descriptors.
  void Watch(int fd, std::uint32_t events, FdHandler handler);
  void ChangeWatch(int fd, std::uint32_t events);
  void RemoveWatch(int fd);

  TimerId StartTimer(TimePoint when, std::function<void()> action);
  void CancelTimer(const TimerId& timer) { m_timers.erase(timer); }

  // Runs `action` before the loop next blocks in poll.
  void Defer(std::function<void()> action);

  // Returns after Quit() is called.
  void Run();
  void Quit() { g_main_loop_quit(m_main_loop); }

 private:
  struct FdWatch {
    std::uint32_t generation = 0;
    bool active = false;
    FdHandler handler;
  };
  struct Source;

  static gboolean Prepare(GSource* source, gint* timeout_ms);
  static gboolean Check(GSource* source);
  static gboolean Dispatch(GSource* source, GSourceFunc, gpointer);

  int MillisecondsToNextTimer() const;
  void DispatchDescriptors();
  void DispatchTimers();
  void DispatchDeferred();

  GMainContext* m_context;
  GMainLoop* m_main_loop;
  GSource* m_source;
  gpointer m_epoll_tag = nullptr;
  int m_epoll_fd;
  std::vector<FdWatch> m_watches;
  std::map<TimerId, std::function<void()>> m_timers;
  std::uint64_t m_last_timer = 0;
  std::deque<std::function<void()>> m_deferred;
};

// The mailbox of a task on an event loop, for senders on the same thread.
// Messages are handled in order before the loop next blocks in poll, never
// inside the call to Post().
template <typename Message>
class LoopMailbox {
 public:
  LoopMailbox(EventLoop& loop, std::function<void(Message)> handle)
      : m_loop(loop), m_handle(std::move(handle)) {}

  void Post(Message message) {
    m_messages.push_back(std::move(message));
    if (m_scheduled)
      return;
    m_scheduled = true;
    m_loop.Defer([this] { HandleMessages(); });
  }

 private:
  void HandleMessages() {
    m_scheduled = false;
    std::deque<Message> messages = std::exchange(m_messages, {});
    for (Message& message : messages)
      m_handle(std::move(message));
  }

  EventLoop& m_loop;
  std::function<void(Message)> m_handle;
  std::deque<Message> m_messages;
  bool m_scheduled = false;
};

}  // namespace boragepick
