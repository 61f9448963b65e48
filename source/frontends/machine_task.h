// Runs a state machine of the core in its own thread. Events are posted to its
// mailbox, effects are passed to the dispatcher, and the time is read from the
// boot clock.
#pragma once

#include <algorithm>
#include <atomic>
#include <concepts>
#include <thread>
#include <utility>
#include <vector>

#include "frontends/boot_clock.h"
#include "frontends/mailbox.h"

namespace boragepick {

// A state machine without input or output: Handle() returns the effects of an
// event, NextTick() the time at which it needs a TickEvent.
template <typename M>
concept Machine = requires(M machine, TimePoint now, typename M::Event event) {
  {
    machine.Handle(now, std::move(event))
    } -> std::same_as<std::vector<typename M::Effect>>;
  { machine.NextTick(now) } -> std::same_as<TimePoint>;
  { machine.Ready() } -> std::same_as<bool>;
};

// Carries out effects by posting them to the tasks that own the sockets.
template <typename D, typename M>
concept EffectDispatcherFor = requires(D dispatcher,
                                       typename M::Effect effect,
                                       bool ready) {
  dispatcher.Dispatch(std::move(effect));
  dispatcher.OnReadyChanged(ready);
};

template <Machine M, EffectDispatcherFor<M> Dispatcher>
class MachineTask {
 public:
  MachineTask(M& machine, Dispatcher& dispatcher)
      : m_machine(machine), m_dispatcher(dispatcher) {}
  ~MachineTask() { Stop(); }

  void Start() {
    m_thread = std::thread([this] { Run(); });
  }

  void Post(typename M::Event event) { m_mailbox.Post(std::move(event)); }

  void Stop() {
    m_stop = true;
    m_mailbox.wake_up().Signal();
    if (m_thread.joinable())
      m_thread.join();
  }

 private:
  void Run() {
    TimePoint tick_at = ReadBootClock();
    while (!m_stop) {
      WaitUntil(tick_at);
      for (typename M::Event& event : m_mailbox.TakeAll())
        HandleEvent(std::move(event));
      const TimePoint now = ReadBootClock();
      if (now >= tick_at) {
        HandleEvent(typename M::Event{typename M::TickEvent{}});
        tick_at = m_machine.NextTick(ReadBootClock());
      } else {
        tick_at = std::min(tick_at, m_machine.NextTick(now));
      }
    }
  }

  void WaitUntil(TimePoint wake_at) {
    using std::chrono::ceil;
    using std::chrono::milliseconds;
    const Duration remaining = wake_at - ReadBootClock();
    const auto timeout =
        ceil<milliseconds>(std::max(remaining, Duration::zero()));
    m_mailbox.wake_up().Wait(static_cast<int>(timeout.count()));
  }

  void HandleEvent(typename M::Event event) {
    for (typename M::Effect& effect :
         m_machine.Handle(ReadBootClock(), std::move(event)))
      m_dispatcher.Dispatch(std::move(effect));
    if (m_machine.Ready() != m_ready) {
      m_ready = m_machine.Ready();
      m_dispatcher.OnReadyChanged(m_ready);
    }
  }

  M& m_machine;
  Dispatcher& m_dispatcher;
  Mailbox<typename M::Event> m_mailbox;
  std::atomic<bool> m_stop = false;
  bool m_ready = false;
  std::thread m_thread;
};

}  // namespace boragepick
