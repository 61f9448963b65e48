#include "frontends/mailbox.h"

#include <poll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>

#include "common/error.h"

namespace boragepick {

WakeUpEvent::WakeUpEvent() : m_fd(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {
  if (m_fd < 0)
    throw Error(Step::kListen, "eventfd", std::strerror(errno));
}

WakeUpEvent::~WakeUpEvent() {
  close(m_fd);
}

void WakeUpEvent::Signal() {
  const std::uint64_t one = 1;
  // The write fails only if the counter is at its maximum, and then the event
  // is already signalled.
  [[maybe_unused]] const ssize_t bytes_written = write(m_fd, &one, sizeof(one));
}

void WakeUpEvent::Clear() {
  std::uint64_t count = 0;
  [[maybe_unused]] const ssize_t bytes_read = read(m_fd, &count, sizeof(count));
}

void WakeUpEvent::Wait(int timeout_ms) const {
  pollfd descriptor{.fd = m_fd, .events = POLLIN, .revents = 0};
  poll(&descriptor, 1, timeout_ms);
}

}  // namespace boragepick
