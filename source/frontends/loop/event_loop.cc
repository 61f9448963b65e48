#include "frontends/loop/event_loop.h"

#include <glib-unix.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <system_error>

#include "frontends/boot_clock.h"

namespace boragepick {

namespace {

// Events read by one call of epoll_wait.
constexpr int kMaxEventsPerWait = 64;
constexpr int kNoTimeout = -1;
constexpr unsigned kGenerationShift = 32;

}  // namespace

struct EventLoop::Source {
  GSource base;
  EventLoop* loop;
};

EventLoop::EventLoop()
    : m_context(g_main_context_new()),
      m_main_loop(g_main_loop_new(m_context, FALSE)),
      m_epoll_fd(epoll_create1(EPOLL_CLOEXEC)) {
  if (m_epoll_fd < 0)
    throw std::system_error(errno, std::generic_category(), "epoll_create1");
  static GSourceFuncs functions = {Prepare, Check,   Dispatch,
                                   nullptr, nullptr, nullptr};
  m_source = g_source_new(&functions, sizeof(Source));
  reinterpret_cast<Source*>(m_source)->loop = this;
  m_epoll_tag = g_source_add_unix_fd(m_source, m_epoll_fd, G_IO_IN);
  g_source_attach(m_source, m_context);
}

EventLoop::~EventLoop() {
  g_source_destroy(m_source);
  g_source_unref(m_source);
  g_main_loop_unref(m_main_loop);
  g_main_context_unref(m_context);
  close(m_epoll_fd);
}

void EventLoop::Watch(int fd, std::uint32_t events, FdHandler handler) {
  const auto index = static_cast<std::size_t>(fd);
  if (m_watches.size() <= index)
    m_watches.resize(index + 1);
  FdWatch& watch = m_watches[index];
  ++watch.generation;
  watch.active = true;
  watch.handler = std::move(handler);
  epoll_event event{};
  event.events = events;
  event.data.u64 = static_cast<std::uint64_t>(fd) |
                   static_cast<std::uint64_t>(watch.generation)
                       << kGenerationShift;
  if (epoll_ctl(m_epoll_fd, EPOLL_CTL_ADD, fd, &event) != 0)
    throw std::system_error(errno, std::generic_category(), "epoll_ctl add");
}

void EventLoop::ChangeWatch(int fd, std::uint32_t events) {
  const FdWatch& watch = m_watches[static_cast<std::size_t>(fd)];
  epoll_event event{};
  event.events = events;
  event.data.u64 = static_cast<std::uint64_t>(fd) |
                   static_cast<std::uint64_t>(watch.generation)
                       << kGenerationShift;
  if (epoll_ctl(m_epoll_fd, EPOLL_CTL_MOD, fd, &event) != 0)
    throw std::system_error(errno, std::generic_category(), "epoll_ctl mod");
}

void EventLoop::RemoveWatch(int fd) {
  FdWatch& watch = m_watches[static_cast<std::size_t>(fd)];
  if (!watch.active)
    return;
  watch.active = false;
  // The handler may be running now, so its destruction is deferred.
  Defer([handler = std::move(watch.handler)] {});
  watch.handler = nullptr;
  epoll_ctl(m_epoll_fd, EPOLL_CTL_DEL, fd, nullptr);
}

EventLoop::TimerId EventLoop::StartTimer(TimePoint when,
                                         std::function<void()> action) {
  const TimerId id{when, ++m_last_timer};
  m_timers.emplace(id, std::move(action));
  return id;
}

void EventLoop::Defer(std::function<void()> action) {
  m_deferred.push_back(std::move(action));
}

void EventLoop::Run() {
  g_main_loop_run(m_main_loop);
}

int EventLoop::MillisecondsToNextTimer() const {
  if (m_timers.empty())
    return kNoTimeout;
  using std::chrono::ceil;
  using std::chrono::milliseconds;
  const Duration remaining = m_timers.begin()->first.first - ReadBootClock();
  constexpr Duration kMaxTimeout = std::chrono::hours(1);
  return static_cast<int>(
      ceil<milliseconds>(std::clamp(remaining, Duration::zero(), kMaxTimeout))
          .count());
}

gboolean EventLoop::Prepare(GSource* source, gint* timeout_ms) {
  const EventLoop& loop = *reinterpret_cast<Source*>(source)->loop;
  if (!loop.m_deferred.empty()) {
    *timeout_ms = 0;
    return TRUE;
  }
  *timeout_ms = loop.MillisecondsToNextTimer();
  return *timeout_ms == 0 ? TRUE : FALSE;
}

gboolean EventLoop::Check(GSource* source) {
  const EventLoop& loop = *reinterpret_cast<Source*>(source)->loop;
  const bool readable =
      g_source_query_unix_fd(source, loop.m_epoll_tag) != G_IO_NVAL &&
      g_source_query_unix_fd(source, loop.m_epoll_tag) != 0;
  return readable || loop.MillisecondsToNextTimer() == 0 ? TRUE : FALSE;
}

gboolean EventLoop::Dispatch(GSource* source, GSourceFunc, gpointer) {
  EventLoop& loop = *reinterpret_cast<Source*>(source)->loop;
  if (g_source_query_unix_fd(source, loop.m_epoll_tag) != 0)
    loop.DispatchDescriptors();
  loop.DispatchTimers();
  loop.DispatchDeferred();
  return G_SOURCE_CONTINUE;
}

void EventLoop::DispatchDescriptors() {
  std::array<epoll_event, kMaxEventsPerWait> events;
  const int count = epoll_wait(m_epoll_fd, events.data(), kMaxEventsPerWait, 0);
  for (int i = 0; i < count; ++i) {
    const epoll_event& event = events[static_cast<std::size_t>(i)];
    const auto fd = static_cast<std::uint32_t>(event.data.u64);
    const auto generation =
        static_cast<std::uint32_t>(event.data.u64 >> kGenerationShift);
    const FdWatch& watch = m_watches[fd];
    // An earlier handler of this batch may have closed the descriptor, and a
    // new connection may have been given the same number.
    if (!watch.active || watch.generation != generation)
      continue;
    const FdHandler handler = watch.handler;
    handler(event.events);
    DispatchDeferred();
  }
}

void EventLoop::DispatchTimers() {
  if (m_timers.empty())
    return;
  const TimePoint now = ReadBootClock();
  while (!m_timers.empty() && m_timers.begin()->first.first <= now) {
    const auto action = std::move(m_timers.begin()->second);
    m_timers.erase(m_timers.begin());
    action();
  }
}

void EventLoop::DispatchDeferred() {
  while (!m_deferred.empty()) {
    const auto action = std::move(m_deferred.front());
    m_deferred.pop_front();
    action();
  }
}

}  // namespace boragepick
