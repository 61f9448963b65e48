// The agent as a state machine without input or output. It runs next to one
// upstream and is its only client, and so the authority for the upstream's
// memory and for the requests that have been started there.
#pragma once

#include <vector>

#include "common/time.h"
#include "core/agent/agent_messages.h"
#include "core/agent/agent_state.h"
#include "core/agent/load_scheduler.h"
#include "core/agent/run_scheduler.h"

namespace boragepick {

class Agent {
 public:
  using Event = AgentEvent;
  using Effect = AgentEffect;
  using TickEvent = Ticked;

  explicit Agent(const AgentOptions& options);
  Agent(const Agent&) = delete;
  Agent& operator=(const Agent&) = delete;

  std::vector<AgentEffect> Handle(TimePoint now, AgentEvent event);

  // Returns when the next Ticked event is due.
  TimePoint NextTick(TimePoint now) const;
  bool Ready() const { return m_state.feed.HasView() && !m_state.draining; }

  const AgentState& state() const { return m_state; }
  const LoadScheduler& units() const { return m_units; }
  const RunScheduler& runs() const { return m_runs; }

 private:
  void On(TimePoint now, PeerMessageReceived event);
  void On(TimePoint now, const UpstreamHead& event) {
    m_runs.Handle(now, event);
  }
  void On(TimePoint now, UpstreamBytes event) {
    m_runs.Handle(now, std::move(event));
  }
  void On(TimePoint now, const UpstreamEnded& event) {
    m_runs.Handle(now, event);
  }
  void On(TimePoint now, const OrderAnswered& event);
  void On(TimePoint now, const InventoryReceived& event);
  void On(TimePoint now, const OperatorRequestReceived& event);
  void On(TimePoint now, const DrainRequested& event);
  void On(TimePoint now, const Ticked& event);

  template <typename Message>
  void OnPeer(TimePoint now, const PeerSender& from, Message message);

  void CollectFeed(TimePoint now);
  void CheckDrain(TimePoint now);
  MetricsReport MakeMetrics(TimePoint now) const;
  StatusReport MakeStatus(TimePoint now) const;

  AgentState m_state;
  LoadScheduler m_units;
  RunScheduler m_runs;
  TimePoint m_next_slow_tick = TimePoint{};
  TimePoint m_drain_started = kNever;
  bool m_drain_done = false;
};

}  // namespace boragepick
