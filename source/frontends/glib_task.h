// A task on a GLib main context of its own: one thread that owns its sockets
// and its state. Messages reach it through its mailbox.
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

  // Runs `on_wake` in the loop whenever `fd` is readable.
  void WatchFd(int fd, std::function<void()> on_wake);
  // Runs until Quit(), which may be called from any thread.
  void Run();
  void Quit();

  // Runs `action` once, in the loop, `delay_ms` from now. Loop thread only.
  void RunAfter(unsigned delay_ms, std::function<void()> action);

  GMainContext* context() const { return m_context; }

 private:
  GMainContext* m_context;
  GMainLoop* m_loop;
};

// `Body` is built, fed and destroyed in the task's thread. It needs a
// constructor taking (GlibLoop&, Arguments...) and Handle(Message).
template <typename Message>
class GlibTask {
 public:
  GlibTask() = default;
  ~GlibTask() { Stop(); }
  GlibTask(const GlibTask&) = delete;
  GlibTask& operator=(const GlibTask&) = delete;

  // Returns when the body is built; throws what its constructor threw.
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
    // why: a socket that can't be opened is an error of the start
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
