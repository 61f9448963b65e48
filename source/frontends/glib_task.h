// A task with its own thread and GLib main context. The thread owns the task's
// sockets and state; other threads send messages to its mailbox.
#pragma once

#include <glib.h>

#include <deque>
#include <functional>
#include <future>
#include <thread>
#include <utility>

#include "frontends/mailbox.h"

namespace boragepick {

class GlibLoop {
 public:
  GlibLoop();
  ~GlibLoop();
  GlibLoop(const GlibLoop&) = delete;
  GlibLoop& operator=(const GlibLoop&) = delete;

  // Calls `on_readable` in the loop thread whenever `fd` is readable.
  void WatchFd(int fd, std::function<void()> on_readable);
  // Runs until Quit() is called. Quit() may be called from any thread.
  void Run();
  void Quit();

  // Calls `action` once in the loop thread after `delay_ms`. Call it only from
  // the loop thread.
  void RunAfter(unsigned delay_ms, std::function<void()> action);

  GMainContext* context() const { return m_context; }

 private:
  GMainContext* m_context;
  GMainLoop* m_loop;
};

// `Body` is constructed, used and destroyed in the task's thread. It needs a
// constructor taking (GlibLoop&, Arguments...) and Handle(Message).
template <typename Message>
class GlibTask {
 public:
  GlibTask() = default;
  ~GlibTask() { Stop(); }
  GlibTask(const GlibTask&) = delete;
  GlibTask& operator=(const GlibTask&) = delete;

  // Returns when the body is constructed; rethrows exceptions of its
  // constructor.
  template <typename Body, typename... Arguments>
  void Start(Arguments... arguments) {
    std::promise<void> started;
    std::future<void> outcome = started.get_future();
    m_thread = std::thread([this, &started, arguments...] {
      g_main_context_push_thread_default(m_loop.context());
      try {
        Body body(m_loop, arguments...);
        m_loop.WatchFd(m_mailbox.wake_up().fd(), [this, &body] {
          for (Message& message : m_mailbox.TakeAll())
            body.Handle(std::move(message));
        });
        started.set_value();
        m_loop.Run();
      } catch (...) {
        started.set_exception(std::current_exception());
      }
      g_main_context_pop_thread_default(m_loop.context());
    });
    // Rethrows, so that a failure to open a socket makes Start() fail.
    outcome.get();
  }

  void Post(Message message) { m_mailbox.Post(std::move(message)); }

  void Stop() {
    m_loop.Quit();
    if (m_thread.joinable())
      m_thread.join();
  }

 private:
  GlibLoop m_loop;
  Mailbox<Message> m_mailbox;
  std::thread m_thread;
};

}  // namespace boragepick
