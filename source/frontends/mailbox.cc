#include "frontends/mailbox.h"

#include <poll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>

#include "common/error.h"

namespace boragepick {

WakeUp::WakeUp() : m_fd(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {
  if (m_fd < 0)
    throw Error(Step::kListen, "eventfd", std::strerror(errno));
}

WakeUp::~WakeUp() {
  close(m_fd);
}

void WakeUp::Raise() {
  const std::uint64_t one = 1;
  // why: the counter can only be full when it is raised already
  [[maybe_unused]] const ssize_t written = write(m_fd, &one, sizeof(one));
}

void WakeUp::Clear() {
  std::uint64_t count = 0;
  [[maybe_unused]] const ssize_t got = read(m_fd, &count, sizeof(count));
}

void WakeUp::Wait(int timeout_ms) const {
  pollfd waited{.fd = m_fd, .events = POLLIN, .revents = 0};
  poll(&waited, 1, timeout_ms);
}

}  // namespace boragepick
