// Runs a state machine of the core on an event loop: events are handled one at
// a time, and each effect is passed to the task that performs it.
#pragma once

#include <functional>
#include <optional>
#include <utility>

#include "frontends/boot_clock.h"
#include "frontends/loop/event_loop.h"
#include "frontends/machine_task.h"

namespace boragepick {

template <Machine M>
class LoopMachineTask {
 public:
  struct Handlers {
    std::function<void(typename M::Effect)> on_effect;
    std::function<void(bool)> on_ready_changed;
  };

  LoopMachineTask(EventLoop& loop, M& machine, Handlers handlers)
      : m_loop(loop),
        m_machine(machine),
        m_handlers(std::move(handlers)),
        m_mailbox(loop, [this](typename M::Event event) {
          HandleEvent(std::move(event));
        }) {
    Post(typename M::TickEvent{});
  }

  void Post(typename M::Event event) { m_mailbox.Post(std::move(event)); }

 private:
  void HandleEvent(typename M::Event event) {
    const TimePoint now = ReadBootClock();
    for (typename M::Effect& effect : m_machine.Handle(now, std::move(event)))
      m_handlers.on_effect(std::move(effect));
    if (m_machine.Ready() != m_was_ready) {
      m_was_ready = m_machine.Ready();
      m_handlers.on_ready_changed(m_was_ready);
    }
    const TimePoint next_tick = m_machine.NextTick(now);
    if (m_timer && m_timer->first <= next_tick)
      return;
    if (m_timer)
      m_loop.CancelTimer(*m_timer);
    m_timer = m_loop.StartTimer(next_tick, [this] {
      m_timer.reset();
      Post(typename M::TickEvent{});
    });
  }

  EventLoop& m_loop;
  M& m_machine;
  Handlers m_handlers;
  bool m_was_ready = false;
  std::optional<EventLoop::TimerId> m_timer;
  LoopMailbox<typename M::Event> m_mailbox;
};

}  // namespace boragepick
