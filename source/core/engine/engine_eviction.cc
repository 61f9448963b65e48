// What EngineController counts as taken in its engine, and what gives way.
#include <algorithm>
#include <tuple>

#include "core/engine/engine_controller.h"
#include "core/serving/load_planner.h"

namespace boragepick {

namespace {

constexpr Duration kValueLife = std::chrono::seconds(10);
// What a router said of its running requests is too old after so long: routers
// that wait say it again every 600 ms.
constexpr Duration kRunningLife = std::chrono::milliseconds(1'500);
// An adapter that was asked for takes the place of one in use only after it has
// waited for so long: the unload would hold up all other orders.
constexpr Duration kAdapterPatience = std::chrono::milliseconds(1'000);
// An adapter that has just come is kept until the request that it came for has
// reached the engine, by way of the controller's news and a router.
constexpr Duration kLeastAdapterResidency = std::chrono::milliseconds(300);
// A loaded model gives way to one that waits only if it is asked for less
// often: a waiting request counts as so many thousandths of one a second.
constexpr std::uint64_t kValueOfWaiting = 300;
// Values closer than this count as alike.
constexpr std::uint64_t kValueStep = 200;
// A model that came this lately is probably answering what it came for: its
// unloading would have to wait for that.
constexpr Duration kProbablyInUse = std::chrono::milliseconds(3'000);

}  // namespace

std::vector<const EngineOrder*> EngineController::PossibleLoads(
    const std::string& wanted) const {
  std::vector<const EngineOrder*> loads;
  for (const OpenOrder& lost : m_lost) {
    const EngineOrder& order = lost.order;
    const bool possible = order.precondition >= m_report->orders &&
                          WeightsName(order.model, order.adapter) != wanted &&
                          !m_report->contents.Holds(order.model, order.adapter);
    if (possible)
      loads.push_back(&order);
  }
  return loads;
}

std::optional<EngineOrder> EngineController::EvictModel(
    TimePoint now,
    const Need& need) const {
  // why: what nobody waits for only takes free memory
  if (need.Waiting() == 0)
    return std::nullopt;
  const std::uint64_t limit =
      need.MilliRequests() + kValueOfWaiting * need.Waiting();
  const double missing_mb =
      UsedMb() + m_spec->models.at(need.model).memory_mb - m_spec->memory_mb;
  const LoadedModel* victim = nullptr;
  std::tuple<std::uint64_t, bool, double> least;
  for (const LoadedModel& model : m_report->contents.models) {
    const auto loaded = m_loaded_at.find(model.name);
    const bool fresh =
        loaded != m_loaded_at.end() && now - loaded->second < kLeastResidency;
    const std::uint64_t running = RunningWith(now, model.name);
    const std::uint64_t value =
        ValueOf(now, model.name) + kValueOfWaiting * running;
    if (fresh || value >= limit)
      continue;
    // why: of models alike in value, the smallest that makes room alone goes
    // first
    const auto spec = m_spec->models.find(model.name);
    const double memory_mb =
        spec == m_spec->models.end() ? 0 : spec->second.memory_mb;
    const bool in_use = running > 0 || (loaded != m_loaded_at.end() &&
                                        now - loaded->second < kProbablyInUse);
    const std::tuple<std::uint64_t, bool, double> rank{
        value / kValueStep, in_use,
        memory_mb >= missing_mb ? memory_mb : m_spec->memory_mb - memory_mb};
    if (victim != nullptr && rank >= least)
      continue;
    victim = &model;
    least = rank;
  }
  if (victim == nullptr)
    return std::nullopt;
  return EngineOrder{.kind = OrderKind::kUnload, .model = victim->name};
}

std::optional<EngineOrder> EngineController::EvictAdapter(
    TimePoint now,
    const Need& need) const {
  const bool patient = now - need.first_asked < kAdapterPatience;
  std::optional<EngineOrder> victim;
  std::pair<std::uint64_t, TimePoint> least;
  for (const LoadedModel& model : m_report->contents.models) {
    for (const std::string& adapter : model.adapters) {
      const bool wanted = model.name == need.model && adapter == need.adapter;
      if (wanted)
        continue;
      const std::string name = WeightsName(model.name, adapter);
      const auto loaded = m_adapter_loaded_at.find(name);
      const bool fresh = loaded != m_adapter_loaded_at.end() &&
                         now - loaded->second < kLeastAdapterResidency;
      const std::uint64_t running = RunningWith(now, name);
      if (fresh || (running > 0 && patient))
        continue;
      const auto asked = m_adapter_asked.find(name);
      const std::pair rank{
          ValueOf(now, name) + kValueOfWaiting * running,
          asked == m_adapter_asked.end() ? TimePoint{} : asked->second};
      if (victim && rank >= least)
        continue;
      least = rank;
      victim = EngineOrder{
          .kind = OrderKind::kUnload, .model = model.name, .adapter = adapter};
    }
  }
  return victim;
}

std::size_t EngineController::UsedAdapters(const std::string& wanted) const {
  std::size_t adapters = m_report->loading_adapters.size();
  for (const LoadedModel& model : m_report->contents.models)
    adapters += model.adapters.size();
  return adapters + static_cast<std::size_t>(std::ranges::count_if(
                        PossibleLoads(wanted), [](const EngineOrder* order) {
                          return !order->adapter.empty();
                        }));
}

double EngineController::UsedMb(const std::string& wanted) const {
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
  for (const std::string& coming : m_report->loading_adapters)
    add_adapter(coming.substr(0, coming.find('/')));
  for (const EngineOrder* order : PossibleLoads(wanted)) {
    const auto spec = m_spec->models.find(order->model);
    if (spec == m_spec->models.end())
      continue;
    used += order->adapter.empty() ? spec->second.memory_mb
                                   : spec->second.adapter_mb;
  }
  return used;
}

std::uint64_t EngineController::ValueOf(TimePoint now,
                                        const std::string& model) const {
  const auto found = m_values.find(model);
  if (found == m_values.end())
    return 0;
  std::uint64_t sum = 0;
  for (const auto& [router, value] : found->second) {
    if (now - value.at < kValueLife)
      sum += value.milli_requests;
  }
  return sum;
}

std::uint64_t EngineController::RunningWith(TimePoint now,
                                            const std::string& weights) const {
  const auto found = m_values.find(weights);
  if (found == m_values.end())
    return 0;
  std::uint64_t sum = 0;
  for (const auto& [router, value] : found->second) {
    if (now - value.at < kRunningLife)
      sum += value.running;
  }
  return sum;
}

}  // namespace boragepick
