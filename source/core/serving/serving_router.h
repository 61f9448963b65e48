// The router that sends requests directly to their upstreams: a state machine
// without I/O that handles events and returns effects.
#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "common/time.h"
#include "core/scheduling/slot_semaphore.h"
#include "core/serving/request_table.h"
#include "core/serving/serving_messages.h"
#include "core/serving/serving_state.h"

namespace boragepick {

class ServingRouter {
 public:
  using Event = ServingEvent;
  using Effect = ServingEffect;
  using TickEvent = ServingTicked;

  explicit ServingRouter(ServingOptions options);
  ServingRouter(const ServingRouter&) = delete;
  ServingRouter& operator=(const ServingRouter&) = delete;

  std::vector<ServingEffect> Handle(TimePoint now, ServingEvent event);

  // The time at which the next ServingTicked must be handled.
  TimePoint NextTick(TimePoint now) const;
  // Whether load balancers should send callers to this router, as of the last
  // event.
  bool Ready() const { return m_ready; }

  const ServingState& state() const { return m_state; }
  const RequestTable& requests() const { return m_requests; }

 private:
  void On(TimePoint now, RequestArrived& event);
  void On(TimePoint now, const CallerDisconnected& event);
  void On(TimePoint now, const ResponseUnsent& event);
  void On(TimePoint now, AttemptHeadReceived& event);
  void On(TimePoint now, const AttemptBodyReceived& event);
  void On(TimePoint now, const AttemptCompleted& event);
  void On(TimePoint now, const AttemptFailed& event);
  void On(TimePoint now, ConfigReceived& event);
  void On(TimePoint now, const WorkerListed& event);
  void On(TimePoint now, const WorkerUnlisted& event);
  void On(TimePoint now, const WorkersSynced& event);
  void On(TimePoint now, const WorkerListUnavailable& event);
  void On(TimePoint now, const WorkerListRestored& event);
  void On(TimePoint now, const ConfigConfirmed& event);
  void On(TimePoint now, const EvacuationRequested& event);
  void On(TimePoint now, const EvacuationEnded& event);
  void On(TimePoint now, const EvacuationsSynced& event);
  void On(TimePoint now, const StoreReverted& event);
  void On(TimePoint now, const RouterRecordReceived& event);
  template <typename FleetEvent>
  void On(TimePoint now, const FleetEvent& event);
  void On(TimePoint now, const PeerMessageReceived& event);
  void On(TimePoint now, const ServingDrainRequested& event);
  void On(TimePoint now, const ServingTicked& event);

  void Unlist(TimePoint now, const std::string& id);
  // The data centre's workers may be used again.
  void OnEvacuationEnded(TimePoint now, const std::string& data_centre);
  // Removes workers whose entries expired during an outage of the worker list
  // and that were not listed again within the grace period.
  void RemoveMissingWorkers(TimePoint now);
  // Ends evacuations that an older copy of the store lacks and that were not
  // requested again within the grace period.
  void EndMissingEvacuations(TimePoint now);
  void CheckKeys(TimePoint now);
  void CheckDrain(TimePoint now);
  // Emits the effects of the fleet and applies its changes to the requests.
  void ForwardFleetEffects(TimePoint now);
  void SendGrants(const std::vector<SlotSemaphore::Grant>& grants);
  // Uses the places at cold workers that have arrived, and emits the messages
  // about further ones.
  void ForwardColdPlaces(TimePoint now);

  ServingState m_state;
  RequestTable m_requests;
  // Load slots of the weight store, used while this router is the slot
  // coordinator.
  SlotSemaphore m_slots;
  std::size_t m_router_count = 0;
  bool m_ready = false;
  bool m_keys_current = false;
  bool m_draining = false;
  bool m_stopped_accepting = false;
  bool m_drained = false;
  TimePoint m_drain_started_at = kNever;
  TimePoint m_next_preload = TimePoint{};
  TimePoint m_last_worker_added_at = TimePoint{};
  // The version of the stored configuration, which is older than the one in
  // force if the store came back from an older copy.
  std::uint64_t m_stored_config_version = 0;
  bool m_list_unavailable = false;
  // The latest outage of the worker list, and when it ended. Outages between
  // which workers may not have renewed their entries count as one.
  TimePoint m_outage_started_at = TimePoint{};
  TimePoint m_outage_ended_at = TimePoint{};
  // End of the grace period after an outage of the worker list.
  TimePoint m_relist_until = TimePoint{};
  std::set<std::string> m_missing_workers;
  // Until then, what a reverted store has lost may be written again.
  TimePoint m_rewritten_until = TimePoint{};
  std::set<std::string> m_missing_evacuations;
};

}  // namespace boragepick
