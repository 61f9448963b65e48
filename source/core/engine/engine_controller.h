// The controller beside one engine, as a machine without input or output. It
// alone gives that engine orders, so no lease is needed: it carries out what
// routers ask for, one order at a time, within the engine's memory, and tells
// them when weights have come.
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

enum class OrderKind { kLoad, kUnload };

inline constexpr EnumTable kOrderKindNames{std::array{
    EnumName<OrderKind>{OrderKind::kLoad, "load"},
    EnumName<OrderKind>{OrderKind::kUnload, "unload"},
}};

// kNoChange: nothing was to be done. kRefused: not carried out, now or later.
// kUnknown: it may have been accepted, or may be later if its precondition
// still holds.
enum class OrderOutcome { kAccepted, kNoChange, kRefused, kUnknown };

inline constexpr EnumTable kOrderOutcomeNames{std::array{
    EnumName<OrderOutcome>{OrderOutcome::kAccepted, "accepted"},
    EnumName<OrderOutcome>{OrderOutcome::kNoChange, "holds"},
    EnumName<OrderOutcome>{OrderOutcome::kRefused, "refused"},
    EnumName<OrderOutcome>{OrderOutcome::kUnknown, "unknown"},
}};

// Why weights that were asked for are not being loaded.
enum class LoadDelay {
  kNotReady,         // no fence, configuration or report yet
  kOrderUnderWay,    // another order was sent
  kEngineBusy,       // the engine carries out an order
  kOthersFirst,      // the engine takes the next order for another need
  kNothingGivesWay,  // no room, and what is loaded is worth more
  kNoStorePlace,     // the weight store bears no more loads now
  kNotInConfig,
};

inline constexpr EnumTable kLoadDelayNames{std::array{
    EnumName<LoadDelay>{LoadDelay::kNotReady, "not_ready"},
    EnumName<LoadDelay>{LoadDelay::kOrderUnderWay, "order_under_way"},
    EnumName<LoadDelay>{LoadDelay::kEngineBusy, "engine_busy"},
    EnumName<LoadDelay>{LoadDelay::kOthersFirst, "others_first"},
    EnumName<LoadDelay>{LoadDelay::kNothingGivesWay, "nothing_gives_way"},
    EnumName<LoadDelay>{LoadDelay::kNoStorePlace, "no_store_place"},
    EnumName<LoadDelay>{LoadDelay::kNotInConfig, "not_in_config"},
}};

struct EngineOrder {
  OrderKind kind = OrderKind::kLoad;
  std::string model;
  // Empty for the model itself.
  std::string adapter;
  // Carried out only if the engine has accepted exactly so many orders.
  std::uint64_t precondition = 0;
  // Grows from run to run of the controller.
  std::uint64_t fence = 0;
};

// The engine's account of itself.
struct EngineReport {
  EngineContents contents;
  // Orders accepted since its start.
  std::uint64_t orders = 0;
  // An order is being carried out.
  bool busy = false;
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  // Adapters on their way, as "model/adapter".
  std::vector<std::string> loading_adapters;
};

// --- Events
struct ReportRead {
  // Nothing when the engine did not answer.
  std::optional<EngineReport> report;
};
struct OrderAnswered {
  OrderOutcome outcome = OrderOutcome::kUnknown;
};
struct EngineSpecReceived {
  EngineSpec spec;
};
struct FenceReceived {
  // Nothing when the platform did not answer.
  std::optional<std::uint64_t> fence;
};
struct ControllerDrainRequested {};
struct ControllerTicked {};

using ControllerEvent = std::variant<ReportRead,
                                     OrderAnswered,
                                     EngineSpecReceived,
                                     FenceReceived,
                                     PeerReceived,
                                     ControllerDrainRequested,
                                     ControllerTicked>;

// --- Effects
struct ReadReport {};
struct SendOrder {
  EngineOrder order;
};
// A number greater than any that an earlier run of this controller had.
struct RequestFence {};
struct ControllerDrained {};

using ControllerEffect = std::variant<ReadReport,
                                      SendOrder,
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
  std::size_t pending_loads() const { return m_needs.size(); }
  // From the order until the engine reports the model as loaded, by where its
  // weights came from.
  const std::map<WeightsSource, LatencyHistogram>& load_times() const {
    return m_load_times;
  }
  // Whether a model is being loaded from the weight store.
  bool IsLoadingFromStore() const;

 private:
  // What some router has asked for.
  struct Need {
    std::string model;
    std::string adapter;
    TimePoint first_asked;
    TimePoint last_asked;
    // What each router that asks has waiting, and its demand.
    struct Asker {
      std::uint32_t waiting = 0;
      std::uint32_t milli_requests = 0;
      TimePoint at;
    };
    std::map<std::string, Asker> askers;
    // When a delay of it is logged next.
    TimePoint next_delay_log = kNever;

    std::uint64_t Waiting() const;
    std::uint64_t MilliRequests() const;
  };
  static bool GoesBefore(const Need& left, const Need& right);
  struct OpenOrder {
    EngineOrder order;
    TimePoint sent;
    bool answered = false;
    OrderOutcome outcome = OrderOutcome::kUnknown;
    // Of a model that is to be loaded.
    WeightsSource source = WeightsSource::kStore;
  };
  struct Value {
    std::uint32_t milli_requests = 0;
    std::uint32_t running = 0;
    TimePoint at;
  };

  void On(TimePoint now, const ReportRead& event);
  void On(TimePoint now, const OrderAnswered& event);
  void On(TimePoint now, EngineSpecReceived& event);
  void On(TimePoint now, const FenceReceived& event);
  void On(TimePoint now, const PeerReceived& event);
  void On(TimePoint now, const ControllerDrainRequested& event);
  void On(TimePoint now, const ControllerTicked& event);

  void TakeAsk(TimePoint now, const std::string& from, const LoadRequest& ask);
  void TakeReport(TimePoint now, const EngineReport& report);
  void RecordAdapters(TimePoint now);
  void DropSettledNeeds(TimePoint now);
  void CheckOrder(TimePoint now);
  void RecordLoad(TimePoint now, const OpenOrder& open);
  void LogDelays(TimePoint now);
  LoadDelay DelayOf(TimePoint now, const Need& need) const;
  // Whether the need's weights would have to come from the weight store.
  bool NeedsStore(const Need& need) const;
  // Asks for a place at the weight store for the first need that wants one, and
  // gives back one that is of no more use.
  void KeepStorePlace(TimePoint now);
  void SendPlaceMessages();
  // Sends the next order, if one is wanted and possible.
  void Proceed(TimePoint now);
  // The order in which needs are looked at: adapters, then the model for which
  // room is being made, then the others.
  void SortNeeds();
  void Send(TimePoint now, const Need& need, EngineOrder order);
  std::optional<EngineOrder> OrderFor(TimePoint now, const Need& need) const;
  std::optional<EngineOrder> OrderForModel(TimePoint now,
                                           const Need& need) const;
  std::optional<EngineOrder> OrderForAdapter(TimePoint now,
                                             const Need& need) const;
  std::optional<EngineOrder> EvictModel(TimePoint now, const Need& need) const;
  std::optional<EngineOrder> EvictAdapter(TimePoint now,
                                          const Need& need) const;
  // Memory and adapters that are taken, or would be if an order that got no
  // answer were carried out yet; the weights `wanted` themselves apart.
  double UsedMb(const std::string& wanted = "") const;
  std::size_t UsedAdapters(const std::string& wanted) const;
  // Loads that the engine may carry out yet.
  std::vector<const EngineOrder*> PossibleLoads(
      const std::string& wanted) const;
  void KeepIfLost(const OpenOrder& open);
  std::uint64_t ValueOf(TimePoint now, const std::string& model) const;
  // Requests that run with the weights, of the routers that asked lately.
  std::uint64_t RunningWith(TimePoint now, const std::string& weights) const;
  void Tell(TimePoint now);
  void TellOne(const std::string& endpoint);
  EngineUpdate News() const;
  void Emit(ControllerEffect effect) { m_effects.push_back(std::move(effect)); }
  void Log(LogEvent event, std::vector<LogField> fields) {
    Emit(LogEffect{{.event = event, .fields = std::move(fields)}});
  }

  // A model that has just come is kept for so long, so that two that don't fit
  // together take turns.
  static constexpr Duration kLeastResidency = std::chrono::milliseconds(1'200);

  std::string m_vm;
  std::optional<std::uint64_t> m_fence;
  bool m_asking_fence = false;
  TimePoint m_next_fence_ask = TimePoint{};
  std::optional<EngineSpec> m_spec;
  std::optional<EngineReport> m_report;
  bool m_reading = false;
  TimePoint m_next_read = TimePoint{};
  std::vector<Need> m_needs;
  std::optional<OpenOrder> m_order;
  LoadSlotClient m_place;
  // Orders without an answer, also of the engine's earlier runs: it may carry
  // them out late, when its count of orders has come to their precondition.
  std::vector<OpenOrder> m_lost;
  // The model for which the latest unload made room; empty when it has come.
  std::string m_in_turn;
  // When each model was first seen loaded, and each adapter last asked for.
  std::map<std::string, TimePoint> m_loaded_at;
  std::map<std::string, TimePoint> m_adapter_asked;
  std::map<std::string, TimePoint> m_adapter_loaded_at;
  // By model or "model/adapter", and by router.
  std::map<std::string, std::map<std::string, Value>> m_values;
  // Routers that asked lately.
  std::map<std::string, TimePoint> m_listeners;
  std::uint64_t m_orders_sent = 0;
  std::map<WeightsSource, LatencyHistogram> m_load_times;
  bool m_draining = false;
  std::vector<ControllerEffect> m_effects;
};

}  // namespace boragepick
