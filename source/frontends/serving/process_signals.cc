#include "frontends/serving/process_signals.h"

#include <signal.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <cerrno>
#include <cstdint>
#include <system_error>

namespace boragepick {

namespace {

// The signal handler may only touch these.
volatile sig_atomic_t g_stop = 0;
volatile sig_atomic_t g_reload = 0;
volatile sig_atomic_t g_fd = -1;

void OnSignal(int signal) {
  if (signal == SIGHUP)
    g_reload = 1;
  else
    g_stop = 1;
  const int saved = errno;
  const std::uint64_t one = 1;
  // why: nothing can be done about a failure here; the counter is never full
  [[maybe_unused]] const ssize_t written = write(g_fd, &one, sizeof(one));
  errno = saved;
}

}  // namespace

ProcessSignals::ProcessSignals(EventLoop& loop, Outlet outlet)
    : m_loop(loop),
      m_outlet(std::move(outlet)),
      m_fd(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {
  if (m_fd < 0)
    throw std::system_error(errno, std::generic_category(), "eventfd");
  g_fd = m_fd;
  m_loop.Watch(m_fd, EPOLLIN, [this](std::uint32_t) { Take(); });
  struct sigaction action {};
  action.sa_handler = OnSignal;
  action.sa_flags = SA_RESTART;
  sigaction(SIGTERM, &action, nullptr);
  sigaction(SIGINT, &action, nullptr);
  sigaction(SIGHUP, &action, nullptr);
  signal(SIGPIPE, SIG_IGN);
}

ProcessSignals::~ProcessSignals() {
  m_loop.RemoveWatch(m_fd);
  close(m_fd);
}

void ProcessSignals::Take() {
  std::uint64_t count = 0;
  [[maybe_unused]] const ssize_t size = read(m_fd, &count, sizeof(count));
  if (g_reload != 0) {
    g_reload = 0;
    m_outlet.reload();
  }
  if (g_stop != 0) {
    g_stop = 0;
    m_outlet.stop();
  }
}

}  // namespace boragepick
