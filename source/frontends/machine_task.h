// Runs a machine of the core in a thread of its own: events come through the
// mailbox, effects leave through `Outlet`, time comes from the boot clock.
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

template <typename M>
concept Machine = requires(M machine, TimePoint now, typename M::Event event) {
  {
    machine.Handle(now, std::move(event))
    } -> std::same_as<std::vector<typename M::Effect>>;
  { machine.NextTick(now) } -> std::same_as<TimePoint>;
  { machine.Ready() } -> std::same_as<bool>;
};

// Carries effects out by posting them to the tasks that own the sockets.
template <typename O, typename M>
concept EffectDispatcherFor = requires(O outlet,
                                       typename M::Effect effect,
                                       bool ready) {
  outlet.Carry(std::move(effect));
  outlet.ReadyChanged(ready);
};

template <Machine M, EffectDispatcherFor<M> Outlet>
class MachineTask {
 public:
  MachineTask(M& machine, Outlet& outlet)
      : m_machine(machine), m_outlet(outlet) {}
  ~MachineTask() { Stop(); }

  void Start() {
    m_thread = std::thread([this] { Run(); });
  }

  void Post(typename M::Event event) { m_mailbox.Post(std::move(event)); }

  void Stop() {
    m_stop = true;
    m_mailbox.wake_up().Raise();
    if (m_thread.joinable())
      m_thread.join();
  }

 private:
  void Run() {
    TimePoint tick_at = ReadBootClock();
    while (!m_stop) {
      WaitUntil(tick_at);
      for (typename M::Event& event : m_mailbox.TakeAll())
        Feed(std::move(event));
      const TimePoint now = ReadBootClock();
      if (now >= tick_at) {
        Feed(typename M::Event{typename M::TickEvent{}});
        tick_at = m_machine.NextTick(ReadBootClock());
      } else {
        tick_at = std::min(tick_at, m_machine.NextTick(now));
      }
    }
  }

  void WaitUntil(TimePoint wanted) {
    using std::chrono::ceil;
    using std::chrono::milliseconds;
    const Duration left = wanted - ReadBootClock();
    const auto timeout = ceil<milliseconds>(std::max(left, Duration::zero()));
    m_mailbox.wake_up().Wait(static_cast<int>(timeout.count()));
  }

  void Feed(typename M::Event event) {
    for (typename M::Effect& effect :
         m_machine.Handle(ReadBootClock(), std::move(event)))
      m_outlet.Carry(std::move(effect));
    if (m_machine.Ready() != m_was_ready) {
      m_was_ready = m_machine.Ready();
      m_outlet.ReadyChanged(m_was_ready);
    }
  }

  M& m_machine;
  Outlet& m_outlet;
  Mailbox<typename M::Event> m_mailbox;
  std::atomic<bool> m_stop = false;
  bool m_was_ready = false;
  std::thread m_thread;
};

}  // namespace boragepick
