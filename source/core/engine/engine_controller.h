// The controller of one engine, as a state machine without input or output. It
// is the only sender of orders to that engine, so no lease is needed. It loads
// and unloads models and adapters as routers request, one order at a time and
// within the engine's memory, and sends the routers updates.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "common/enum_table.h"
#include "common/latency_histogram.h"
#include "common/log_event.h"
#include "common/time.h"
#include "core/engine/engine_messages.h"
#include "core/engine/load_slot_client.h"
#include "core/peer_messages.h"
#include "core/serving/serving_config.h"

namespace boragepick {

enum class EngineOrderKind { kLoad, kUnload };

inline constexpr EnumTable kEngineOrderKindNames{std::array{
    EnumName<EngineOrderKind>{EngineOrderKind::kLoad, "load"},
    EnumName<EngineOrderKind>{EngineOrderKind::kUnload, "unload"},
}};

// kNoChange: the engine was already in the requested state. kRefused: not
// executed, now or later. kUnknown: it may have been accepted, or may yet be if
// its precondition still holds.
enum class OrderOutcome { kAccepted, kNoChange, kRefused, kUnknown };

inline constexpr EnumTable kOrderOutcomeNames{std::array{
    EnumName<OrderOutcome>{OrderOutcome::kAccepted, "accepted"},
    EnumName<OrderOutcome>{OrderOutcome::kNoChange, "holds"},
    EnumName<OrderOutcome>{OrderOutcome::kRefused, "refused"},
    EnumName<OrderOutcome>{OrderOutcome::kUnknown, "unknown"},
}};

// Why a pending load has not been started.
enum class LoadDelay {
  kNotReady,             // no fence, configuration or report yet
  kOrderPending,         // an order was sent and is not complete
  kEngineBusy,           // the engine is executing an order
  kQueuedBehindOther,    // another load comes first
  kNoEvictionCandidate,  // not enough memory, and no model to evict
  kNoLoadSlot,           // no slot to load from the weight store
  kNotInConfig,
};

inline constexpr EnumTable kLoadDelayNames{std::array{
    EnumName<LoadDelay>{LoadDelay::kNotReady, "not_ready"},
    EnumName<LoadDelay>{LoadDelay::kOrderPending, "order_under_way"},
    EnumName<LoadDelay>{LoadDelay::kEngineBusy, "engine_busy"},
    EnumName<LoadDelay>{LoadDelay::kQueuedBehindOther, "others_first"},
    EnumName<LoadDelay>{LoadDelay::kNoEvictionCandidate, "nothing_gives_way"},
    EnumName<LoadDelay>{LoadDelay::kNoLoadSlot, "no_store_place"},
    EnumName<LoadDelay>{LoadDelay::kNotInConfig, "not_in_config"},
}};

struct EngineOrder {
  EngineOrderKind kind = EngineOrderKind::kLoad;
  std::string model;
  // Empty for the model itself.
  std::string adapter;
  // The engine accepts the order only if it has accepted exactly this many
  // before it.
  std::uint64_t precondition = 0;
  // Fencing number; larger in each later run of the controller.
  std::uint64_t fence = 0;
};

// The state that the engine reports.
struct EngineReport {
  EngineContents contents;
  // Orders accepted since the engine's start.
  std::uint64_t accepted_orders = 0;
  // An order is being executed.
  bool busy = false;
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  // Adapters being loaded, as "model/adapter".
  std::vector<std::string> loading_adapters;
};

// --- Events
struct ReportRead {
  // Empty if the engine did not answer.
  std::optional<EngineReport> report;
};
struct EngineOrderAnswered {
  OrderOutcome outcome = OrderOutcome::kUnknown;
};
struct EngineSpecReceived {
  EngineSpec spec;
  // The version of the configuration.
  std::uint64_t version = 0;
};
struct FenceReceived {
  // Empty if the platform did not answer.
  std::optional<std::uint64_t> fence;
};
struct ControllerDrainRequested {};
struct ControllerTicked {};

using ControllerEvent = std::variant<ReportRead,
                                     EngineOrderAnswered,
                                     EngineSpecReceived,
                                     FenceReceived,
                                     PeerMessageReceived,
                                     ControllerDrainRequested,
                                     ControllerTicked>;

// --- Effects
struct ReadReport {};
struct SendEngineOrder {
  EngineOrder order;
};
// Requests a number greater than that of any earlier run of this controller.
struct RequestFence {};
struct ControllerDrained {};

using ControllerEffect = std::variant<ReadReport,
                                      SendEngineOrder,
                                      RequestFence,
                                      SendToEndpoint,
                                      LogEffect,
                                      ControllerDrained>;

class EngineController {
 public:
  using Event = ControllerEvent;
  using Effect = ControllerEffect;
  using TickEvent = ControllerTicked;

  explicit EngineController(std::string vm) : m_vm(std::move(vm)) {}

  std::vector<ControllerEffect> Handle(TimePoint now, ControllerEvent event);
  TimePoint NextTick(TimePoint now) const;
  bool Ready() const { return m_fence.has_value() && m_report.has_value(); }

  std::uint64_t orders_sent() const { return m_orders_sent; }
  std::size_t pending_loads() const { return m_pending_loads.size(); }
  // Time from the order until the engine reports the model as loaded, by the
  // source of its weights.
  const std::map<WeightsSource, LatencyHistogram>& load_times() const {
    return m_load_times;
  }
  // Whether a model is being loaded from the weight store.
  bool IsLoadingFromStore() const;

 private:
  // A model or adapter that routers have requested and that is not loaded.
  struct PendingLoad {
    std::string model;
    std::string adapter;
    TimePoint first_requested;
    TimePoint last_requested;
    // Waiting requests and demand of one router.
    struct Requester {
      std::uint32_t waiting = 0;
      std::uint32_t milli_requests = 0;
      TimePoint at;
    };
    std::map<std::string, Requester> requesters;
    // When the delay of this load is logged next.
    TimePoint next_delay_log = kNever;

    std::uint64_t Waiting() const;
    std::uint64_t MilliRequests() const;
  };
  static bool HasPriority(const PendingLoad& left, const PendingLoad& right);
  struct PendingOrder {
    EngineOrder order;
    TimePoint sent;
    bool answered = false;
    OrderOutcome outcome = OrderOutcome::kUnknown;
    // Source of the weights, for the load of a model.
    WeightsSource source = WeightsSource::kStore;
  };
  struct Demand {
    std::uint32_t milli_requests = 0;
    std::uint32_t running = 0;
    TimePoint at;
  };

  void On(TimePoint now, const ReportRead& event);
  void On(TimePoint now, const EngineOrderAnswered& event);
  void On(TimePoint now, EngineSpecReceived& event);
  void On(TimePoint now, const FenceReceived& event);
  void On(TimePoint now, const PeerMessageReceived& event);
  void On(TimePoint now, const ControllerDrainRequested& event);
  void On(TimePoint now, const ControllerTicked& event);

  void HandleLoadRequest(TimePoint now,
                         const std::string& from,
                         const LoadRequest& request);
  void ApplyReport(TimePoint now, const EngineReport& report);
  void UpdateAdapterLoadTimes(TimePoint now);
  void RemoveFinishedLoads(TimePoint now);
  void ResolveOrder(TimePoint now);
  void RecordLoad(TimePoint now, const PendingOrder& pending);
  void LogDelays(TimePoint now);
  LoadDelay DelayReason(TimePoint now, const PendingLoad& load) const;
  // Whether the weights can only be read from the weight store.
  bool NeedsStore(const PendingLoad& load) const;
  // Requests a load slot for the first load that needs the weight store, and
  // releases a slot that is no longer needed.
  void UpdateLoadSlot(TimePoint now);
  void SendSlotMessages();
  // Sends the order for the first pending load that can proceed, if any.
  void SendNextOrder(TimePoint now);
  // Sorts by priority: adapters, then the model for which memory is being
  // freed, then the other models.
  void SortPendingLoads();
  void Send(TimePoint now, const PendingLoad& load, EngineOrder order);
  std::optional<EngineOrder> OrderFor(TimePoint now,
                                      const PendingLoad& load) const;
  std::optional<EngineOrder> OrderForModel(TimePoint now,
                                           const PendingLoad& load) const;
  std::optional<EngineOrder> OrderForAdapter(TimePoint now,
                                             const PendingLoad& load) const;
  std::optional<EngineOrder> PlanModelEviction(TimePoint now,
                                               const PendingLoad& load) const;
  std::optional<EngineOrder> PlanAdapterEviction(TimePoint now,
                                                 const PendingLoad& load) const;
  // Memory and adapter slots in use, including those that unanswered orders
  // would use if the engine still executes them. Unanswered loads of `excluded`
  // are not counted.
  double CommittedMb(const std::string& excluded = "") const;
  std::size_t CommittedAdapters(const std::string& excluded) const;
  // Unanswered loads, other than of `excluded`, that the engine may still
  // execute.
  std::vector<const EngineOrder*> UnconfirmedLoads(
      const std::string& excluded) const;
  void TrackIfUnconfirmed(const PendingOrder& pending);
  std::uint64_t DemandFor(TimePoint now, const std::string& model) const;
  // Requests running with the weights, as recently reported by routers.
  std::uint64_t RunningRequests(TimePoint now,
                                const std::string& weights) const;
  // Sends an update to all routers that recently sent a load request.
  void SendUpdates(TimePoint now);
  void SendUpdate(const std::string& endpoint);
  EngineUpdate MakeUpdate() const;
  void Emit(ControllerEffect effect) { m_effects.push_back(std::move(effect)); }
  void Log(LogEvent event, std::vector<LogField> fields) {
    Emit(LogEffect{{.event = event, .fields = std::move(fields)}});
  }

  // Minimum time that a model stays loaded, so that two models that don't fit
  // together alternate instead of thrashing.
  static constexpr Duration kMinModelResidency =
      std::chrono::milliseconds(1'200);

  std::string m_vm;
  std::uint64_t m_spec_version = 0;
  std::optional<std::uint64_t> m_fence;
  bool m_fence_requested = false;
  TimePoint m_next_fence_request = TimePoint{};
  std::optional<EngineSpec> m_spec;
  std::optional<EngineReport> m_report;
  bool m_report_requested = false;
  TimePoint m_next_report = TimePoint{};
  std::vector<PendingLoad> m_pending_loads;
  std::optional<PendingOrder> m_order;
  LoadSlotClient m_load_slot;
  // Load orders without an answer, including ones sent to earlier runs of the
  // engine: it may execute them late, once its order count matches their
  // precondition.
  std::vector<PendingOrder> m_unconfirmed_orders;
  // The model for which the latest unload freed memory; empty after the
  // next load order for a model.
  std::string m_memory_reserved_for;
  // When each model was first reported as loaded, each adapter was last
  // requested, and each adapter was first reported as loaded.
  std::map<std::string, TimePoint> m_loaded_at;
  std::map<std::string, TimePoint> m_adapter_requested_at;
  std::map<std::string, TimePoint> m_adapter_loaded_at;
  // Demand by "model" or "model/adapter", and by router.
  std::map<std::string, std::map<std::string, Demand>> m_demand;
  // Endpoints of routers, with the time of their latest load request.
  std::map<std::string, TimePoint> m_subscribers;
  std::uint64_t m_orders_sent = 0;
  std::map<WeightsSource, LatencyHistogram> m_load_times;
  bool m_draining = false;
  std::vector<ControllerEffect> m_effects;
};

}  // namespace boragepick
