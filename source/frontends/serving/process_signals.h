// SIGTERM and SIGHUP as events of a loop.
#pragma once

#include <functional>

#include "frontends/loop/event_loop.h"

namespace boragepick {

class ProcessSignals {
 public:
  struct Outlet {
    std::function<void()> stop;
    std::function<void()> reload;
  };

  // One object a process.
  ProcessSignals(EventLoop& loop, Outlet outlet);
  ~ProcessSignals();
  ProcessSignals(const ProcessSignals&) = delete;
  ProcessSignals& operator=(const ProcessSignals&) = delete;

 private:
  void Take();

  EventLoop& m_loop;
  Outlet m_outlet;
  int m_fd;
};

}  // namespace boragepick
