// EngineController: accounting of the engine's memory and adapter slots, and
// the choice of what to evict.
#include <algorithm>
#include <tuple>

#include "core/engine/engine_controller.h"
#include "core/serving/load_planner.h"

namespace boragepick {

namespace {

// A router's demand figures expire after this time.
constexpr Duration kDemandTimeout = std::chrono::seconds(10);
// A router's count of running requests expires after this time; routers with
// waiting requests repeat it every 600 ms.
constexpr Duration kRunningTimeout = std::chrono::milliseconds(1'500);
// An adapter with running requests is evicted only for a load that has waited
// this long: its unload waits for those requests and blocks all other orders.
constexpr Duration kActiveAdapterEvictionDelay =
    std::chrono::milliseconds(1'000);
// An adapter stays loaded at least until the request that waited for it can
// have reached the engine, after the controller's update to the router.
constexpr Duration kMinAdapterResidency = std::chrono::milliseconds(300);
// A model is evicted only if its demand is lower than that of the pending load.
// Each waiting or running request adds this many thousandths of a request per
// second.
constexpr std::uint64_t kMilliRequestsPerActive = 300;
// Demands are compared in steps of this size.
constexpr std::uint64_t kDemandStep = 200;
// A model loaded this recently is probably still running the requests that
// waited for it, and its unload would have to wait for them.
constexpr Duration kProbablyInUsePeriod = std::chrono::milliseconds(3'000);

}  // namespace

std::vector<const EngineOrder*> EngineController::UnconfirmedLoads(
    const std::string& excluded) const {
  std::vector<const EngineOrder*> loads;
  for (const PendingOrder& pending : m_unconfirmed_orders) {
    const EngineOrder& order = pending.order;
    const bool possible = order.precondition >= m_report->accepted_orders &&
                          WeightsName(order.model, order.adapter) != excluded &&
                          !m_report->contents.Holds(order.model, order.adapter);
    if (possible)
      loads.push_back(&order);
  }
  return loads;
}

std::optional<EngineOrder> EngineController::PlanModelEviction(
    TimePoint now,
    const PendingLoad& load) const {
  // A load without waiting requests only uses free memory.
  if (load.Waiting() == 0)
    return std::nullopt;
  const std::uint64_t demand_limit =
      load.MilliRequests() + kMilliRequestsPerActive * load.Waiting();
  const double missing_mb = CommittedMb() +
                            m_spec->models.at(load.model).memory_mb -
                            m_spec->memory_mb;
  const LoadedModel* victim = nullptr;
  std::tuple<std::uint64_t, bool, double> least;
  for (const LoadedModel& model : m_report->contents.models) {
    const auto loaded = m_loaded_at.find(model.name);
    const bool recently_loaded = loaded != m_loaded_at.end() &&
                                 now - loaded->second < kMinModelResidency;
    const std::uint64_t running = RunningRequests(now, model.name);
    const std::uint64_t demand =
        DemandFor(now, model.name) + kMilliRequestsPerActive * running;
    if (recently_loaded || demand >= demand_limit)
      continue;
    // Among models of similar demand, the smallest one that frees enough memory
    // by itself is evicted first.
    const auto spec = m_spec->models.find(model.name);
    const double memory_mb =
        spec == m_spec->models.end() ? 0 : spec->second.memory_mb;
    const bool in_use =
        running > 0 || (loaded != m_loaded_at.end() &&
                        now - loaded->second < kProbablyInUsePeriod);
    const std::tuple<std::uint64_t, bool, double> rank{
        demand / kDemandStep, in_use,
        memory_mb >= missing_mb ? memory_mb : m_spec->memory_mb - memory_mb};
    if (victim != nullptr && rank >= least)
      continue;
    victim = &model;
    least = rank;
  }
  if (victim == nullptr)
    return std::nullopt;
  return EngineOrder{.kind = EngineOrderKind::kUnload, .model = victim->name};
}

std::optional<EngineOrder> EngineController::PlanAdapterEviction(
    TimePoint now,
    const PendingLoad& load) const {
  const bool spare_active =
      now - load.first_requested < kActiveAdapterEvictionDelay;
  std::optional<EngineOrder> victim;
  std::pair<std::uint64_t, TimePoint> least;
  for (const LoadedModel& model : m_report->contents.models) {
    for (const std::string& adapter : model.adapters) {
      const bool is_requested =
          model.name == load.model && adapter == load.adapter;
      if (is_requested)
        continue;
      const std::string name = WeightsName(model.name, adapter);
      const auto loaded = m_adapter_loaded_at.find(name);
      const bool recently_loaded = loaded != m_adapter_loaded_at.end() &&
                                   now - loaded->second < kMinAdapterResidency;
      const std::uint64_t running = RunningRequests(now, name);
      if (recently_loaded || (running > 0 && spare_active))
        continue;
      const auto requested = m_adapter_requested_at.find(name);
      const std::pair rank{
          DemandFor(now, name) + kMilliRequestsPerActive * running,
          requested == m_adapter_requested_at.end() ? TimePoint{}
                                                    : requested->second};
      if (victim && rank >= least)
        continue;
      least = rank;
      victim = EngineOrder{.kind = EngineOrderKind::kUnload,
                           .model = model.name,
                           .adapter = adapter};
    }
  }
  return victim;
}

std::size_t EngineController::CommittedAdapters(
    const std::string& excluded) const {
  std::size_t adapters = m_report->loading_adapters.size();
  for (const LoadedModel& model : m_report->contents.models)
    adapters += model.adapters.size();
  return adapters +
         static_cast<std::size_t>(std::ranges::count_if(
             UnconfirmedLoads(excluded),
             [](const EngineOrder* order) { return !order->adapter.empty(); }));
}

double EngineController::CommittedMb(const std::string& excluded) const {
  double used = 0;
  const auto add_adapter = [this, &used](const std::string& model) {
    const auto spec = m_spec->models.find(model);
    if (spec != m_spec->models.end())
      used += spec->second.adapter_mb;
  };
  for (const LoadedModel& model : m_report->contents.models) {
    const auto spec = m_spec->models.find(model.name);
    if (spec != m_spec->models.end())
      used += spec->second.memory_mb;
    for (std::size_t i = 0; i < model.adapters.size(); ++i)
      add_adapter(model.name);
  }
  for (const std::string& adapter : m_report->loading_adapters)
    add_adapter(adapter.substr(0, adapter.find('/')));
  for (const EngineOrder* order : UnconfirmedLoads(excluded)) {
    const auto spec = m_spec->models.find(order->model);
    if (spec == m_spec->models.end())
      continue;
    used += order->adapter.empty() ? spec->second.memory_mb
                                   : spec->second.adapter_mb;
  }
  return used;
}

std::uint64_t EngineController::DemandFor(TimePoint now,
                                          const std::string& model) const {
  const auto found = m_demand.find(model);
  if (found == m_demand.end())
    return 0;
  std::uint64_t sum = 0;
  for (const auto& [router, value] : found->second) {
    if (now - value.at < kDemandTimeout)
      sum += value.milli_requests;
  }
  return sum;
}

std::uint64_t EngineController::RunningRequests(
    TimePoint now,
    const std::string& weights) const {
  const auto found = m_demand.find(weights);
  if (found == m_demand.end())
    return 0;
  std::uint64_t sum = 0;
  for (const auto& [router, value] : found->second) {
    if (now - value.at < kRunningTimeout)
      sum += value.running;
  }
  return sum;
}

}  // namespace boragepick
