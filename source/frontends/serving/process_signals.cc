#include "frontends/serving/process_signals.h"

#include <signal.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <cerrno>
#include <cstdint>
#include <system_error>

namespace boragepick {

namespace {

// Shared with the signal handler, which may only access objects of this type.
volatile sig_atomic_t g_stop_requested = 0;
volatile sig_atomic_t g_reload_requested = 0;
volatile sig_atomic_t g_event_fd = -1;

void OnSignal(int signal) {
  if (signal == SIGHUP)
    g_reload_requested = 1;
  else
    g_stop_requested = 1;
  const int saved_errno = errno;
  const std::uint64_t one = 1;
  // A signal handler can't handle a failed write. The counter of the eventfd
  // can't overflow with so few signals.
  [[maybe_unused]] const ssize_t written = write(g_event_fd, &one, sizeof(one));
  errno = saved_errno;
}

}  // namespace

ProcessSignals::ProcessSignals(EventLoop& loop, Callbacks callbacks)
    : m_loop(loop),
      m_callbacks(std::move(callbacks)),
      m_event_fd(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {
  if (m_event_fd < 0)
    throw std::system_error(errno, std::generic_category(), "eventfd");
  g_event_fd = m_event_fd;
  m_loop.Watch(m_event_fd, EPOLLIN, [this](std::uint32_t) { HandleSignals(); });
  struct sigaction action {};
  action.sa_handler = OnSignal;
  action.sa_flags = SA_RESTART;
  sigaction(SIGTERM, &action, nullptr);
  sigaction(SIGINT, &action, nullptr);
  sigaction(SIGHUP, &action, nullptr);
  signal(SIGPIPE, SIG_IGN);
}

ProcessSignals::~ProcessSignals() {
  m_loop.RemoveWatch(m_event_fd);
  close(m_event_fd);
}

void ProcessSignals::HandleSignals() {
  std::uint64_t count = 0;
  [[maybe_unused]] const ssize_t size = read(m_event_fd, &count, sizeof(count));
  if (g_reload_requested != 0) {
    g_reload_requested = 0;
    m_callbacks.reload();
  }
  if (g_stop_requested != 0) {
    g_stop_requested = 0;
    m_callbacks.stop();
  }
}

}  // namespace boragepick
