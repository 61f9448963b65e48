// Delivers signals to a callback on the event loop: SIGTERM and SIGINT request
// a stop, SIGHUP a reload of the settings. SIGPIPE is ignored.
#pragma once

#include <functional>

#include "frontends/loop/event_loop.h"

namespace boragepick {

class ProcessSignals {
 public:
  struct Callbacks {
    std::function<void()> stop;
    std::function<void()> reload;
  };

  // There may be only one object in a process, since signal handlers are
  // global.
  ProcessSignals(EventLoop& loop, Callbacks callbacks);
  ~ProcessSignals();
  ProcessSignals(const ProcessSignals&) = delete;
  ProcessSignals& operator=(const ProcessSignals&) = delete;

 private:
  void HandleSignals();

  EventLoop& m_loop;
  Callbacks m_callbacks;
  int m_event_fd;
};

}  // namespace boragepick
