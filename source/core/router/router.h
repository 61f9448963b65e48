// The router as a machine without input or output: events go in with the
// present time, effects come out. It composes the parts and holds no decision
// of its own beyond handing events to them.
#pragma once

#include <vector>

#include "common/time.h"
#include "core/router/agent_table.h"
#include "core/router/operator_api.h"
#include "core/router/planner_duty.h"
#include "core/router/request_scheduler.h"
#include "core/router/router_messages.h"
#include "core/router/router_state.h"
#include "core/scheduling/slot_semaphore.h"

namespace boragepick {

class Router {
 public:
  using Event = RouterEvent;
  using Effect = RouterEffect;
  using TickEvent = Ticked;

  explicit Router(const RouterOptions& options);
  Router(const Router&) = delete;
  Router& operator=(const Router&) = delete;

  std::vector<RouterEffect> Handle(TimePoint now, RouterEvent event);

  // When the next Ticked event is wanted.
  TimePoint NextTick(TimePoint now) const;
  bool Ready() const { return m_state.feed.HasView() && !m_state.draining; }

  const RouterState& state() const { return m_state; }
  const RequestScheduler& requests() const { return m_pending; }

 private:
  void On(TimePoint now, CallerRequestReceived event);
  void On(TimePoint now, const CallerDisconnected& event);
  void On(TimePoint now, PeerMessageReceived event);
  void On(TimePoint now, const OperatorRequestReceived& event);
  void On(TimePoint now, const RecordWritten& event);
  void On(TimePoint now, IdempotencyPageRead event);
  void On(TimePoint now, const ResourceRead& event);
  void On(TimePoint now, const FeedReceived& event);
  void On(TimePoint now, const FeedProbed& event);
  void On(TimePoint now, const WatchLost& event);
  void On(TimePoint now, const VmListReceived& event);
  void On(TimePoint now, const DrainRequested& event);
  void On(TimePoint now, const Ticked& event);

  template <typename Message>
  void OnPeer(TimePoint now, const PeerSender& from, Message message);

  // Carries on what the parts left as effects of their own.
  void CollectFeed(TimePoint now);
  void CarryFeedEffect(TimePoint now, FeedEffect effect);
  void CollectIdempotency(TimePoint now);
  void ApplyConfig(TimePoint now, const FeedChanged& changed);
  void ApplyRoster(TimePoint now, const RosterList& list);
  void PollQuota(TimePoint now);
  void PlanShares(TimePoint now);
  void AdoptIdempotencyPages(TimePoint now);
  void SendGrants(const std::vector<SlotSemaphore::Grant>& grants);
  void CheckDrain(TimePoint now);

  RouterState m_state;
  AgentTable m_agents;
  RequestScheduler m_pending;
  OperatorApi m_operators;
  PlannerDuty m_planner;
  SlotSemaphore m_slots;

  std::uint64_t m_share_call = 0;
  TimePoint m_next_quota_poll = TimePoint{};
  TimePoint m_next_slow_tick = TimePoint{};
  // The pages of claims still to be looked at, and for which list of VMs.
  std::uint32_t m_pages_to_adopt = 0;
  std::uint64_t m_adopting_for = 0;
  TimePoint m_next_adoption_pass = TimePoint{};
  TimePoint m_drain_started = kNever;
  TimePoint m_give_back_started = kNever;
  bool m_drain_done = false;
};

}  // namespace boragepick
