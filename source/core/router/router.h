// The router as a state machine without input or output: it handles events with
// the current time and returns effects. It only dispatches events to its parts
// and runs their periodic tasks.
#pragma once

#include <vector>

#include "common/time.h"
#include "core/router/agent_table.h"
#include "core/router/operator_api.h"
#include "core/router/permit_planner.h"
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

  // The time at which the next Ticked event is due.
  TimePoint NextTick(TimePoint now) const;
  bool Ready() const { return m_state.feed.HasView() && !m_state.draining; }

  const RouterState& state() const { return m_state; }
  const RequestScheduler& requests() const { return m_requests; }

 private:
  void On(TimePoint now, CallerRequestReceived event);
  void On(TimePoint now, const CallerConnectionClosed& event);
  void On(TimePoint now, const CallerResponseWritten& event);
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
  void OnPeerMessage(TimePoint now, const PeerSender& from, Message message);

  // Process the effects that the parts have queued.
  void ProcessFeedEffects(TimePoint now);
  void ApplyFeedEffect(TimePoint now, FeedEffect effect);
  void ProcessIdempotencyEffects(TimePoint now);
  void ApplyConfig(TimePoint now, const FeedChanged& changed);
  void ApplyRoster(TimePoint now, const RosterList& list);
  void PollQuota(TimePoint now);
  void SendQuota(std::vector<OutgoingQuotaMessage> messages);
  void PlanShares(TimePoint now);
  void AdoptIdempotencyPages(TimePoint now);
  void SendGrants(const std::vector<SlotSemaphore::Grant>& grants);
  void CheckDrain(TimePoint now);

  RouterState m_state;
  AgentTable m_agents;
  RequestScheduler m_requests;
  OperatorApi m_operators;
  PermitPlanner m_planner;
  SlotSemaphore m_slots;

  std::uint64_t m_share_call = 0;
  TimePoint m_next_quota_poll = TimePoint{};
  TimePoint m_next_slow_tick = TimePoint{};
  // The adoption pass over the idempotency pages: pages left, and the roster
  // version for which it was started.
  std::uint32_t m_pages_to_adopt = 0;
  std::uint64_t m_adoption_roster_version = 0;
  TimePoint m_next_adoption_pass = TimePoint{};
  TimePoint m_drain_started = kNever;
  TimePoint m_release_started = kNever;
  bool m_drain_done = false;
};

}  // namespace boragepick
