// RequestTable's choice of places: data centres that are not evacuated, and
// regions in which the request may run.
#include <algorithm>
#include <tuple>

#include "core/serving/request_table.h"

namespace boragepick {

namespace {

// Models of evacuated data centres that a router requests at a time.
constexpr std::size_t kMaxDisplacedLoads = 16;
// Models with less demand, in requests per second, are not loaded at the cost
// of others.
constexpr double kMinDisplacedDemand = 0.02;
// A router may use this many times its equal share of the remaining slots,
// because callers are distributed unevenly over the routers.
constexpr double kSlotShareFactor = 1.5;
// The part of its slots that a router gives to the least urgent requests.
constexpr double kLeastUrgentPart = 0.5;
constexpr int kLeastUrgency = 9;

}  // namespace

bool RequestTable::IsAllowed(const Exchange& exchange,
                             const Worker& worker) const {
  return exchange.allowed_regions.Permits(m_state.options.regions,
                                          worker.entry.data_centre);
}

bool RequestTable::IsEvacuated(const Worker& worker) const {
  return m_state.evacuations.IsRequested(worker.entry.data_centre);
}

void RequestTable::KeepPermitted(TimePoint now,
                                 const Exchange& exchange,
                                 std::vector<Worker*>& workers) const {
  std::erase_if(workers, [&](const Worker* worker) {
    return !m_state.evacuations.Permits(now, worker->entry.data_centre) ||
           !IsAllowed(exchange, *worker);
  });
  if (m_state.evacuations.active().empty())
    return;
  // An evacuation that hasn't taken effect yet yields to any other worker.
  const ServingRequest& request = *exchange.request;
  const bool can_run_elsewhere =
      std::ranges::any_of(workers, [&](const Worker* worker) {
        return !IsEvacuated(*worker) &&
               !exchange.tried_workers.contains(worker->entry.id) &&
               (request.model.empty() ||
                worker->contents.Holds(request.model, request.adapter));
      });
  if (can_run_elsewhere)
    std::erase_if(
        workers, [this](const Worker* worker) { return IsEvacuated(*worker); });
}

std::vector<Worker*> RequestTable::ReadyWorkers(const Exchange& exchange) {
  std::vector<Worker*> workers = ReadyWorkers(exchange.service);
  std::erase_if(workers, [this, &exchange](const Worker* worker) {
    return !IsAllowed(exchange, *worker);
  });
  return workers;
}

std::optional<ServingRefusal> RequestTable::RefusalOfPlaces(
    TimePoint now,
    const Exchange& exchange) {
  std::vector<Worker*> workers =
      m_state.workers.FindByService(exchange.service);
  std::erase_if(workers,
                [](const Worker* worker) { return !worker->IsReady(); });
  if (workers.empty())
    return std::nullopt;
  std::erase_if(workers, [this, &exchange](const Worker* worker) {
    return !IsAllowed(exchange, *worker);
  });
  if (workers.empty())
    return ServingRefusal::kNoAllowedRegion;
  const bool all_evacuated =
      std::ranges::all_of(workers, [this, now](const Worker* worker) {
        return IsEvacuated(*worker) &&
               !m_state.evacuations.Permits(now, worker->entry.data_centre);
      });
  if (all_evacuated)
    return ServingRefusal::kEvacuated;
  return std::nullopt;
}

bool RequestTable::HasRoomAfterEvacuation(const Exchange& exchange) {
  if (m_state.evacuations.active().empty())
    return true;
  std::uint32_t slots = 0;
  std::uint32_t most_slots = 0;
  std::uint32_t running = 0;
  bool is_evacuated = false;
  for (const Worker* worker : m_state.workers.FindByService(exchange.service)) {
    if (IsEvacuated(*worker)) {
      is_evacuated = true;
      continue;
    }
    if (!worker->IsReady())
      continue;
    slots += worker->entry.slots;
    most_slots = std::max(most_slots, worker->entry.slots);
    running += worker->running;
  }
  // Without any remaining worker, the dispatch decides.
  if (!is_evacuated || slots == 0)
    return true;
  const auto routers = static_cast<double>(
      std::max<std::size_t>(1, m_state.fleet.RouterCount()));
  const double share = std::max(static_cast<double>(most_slots),
                                slots * kSlotShareFactor / routers);
  const double part =
      1 - (1 - kLeastUrgentPart) * exchange.urgency / kLeastUrgency;
  return running < std::max(1.0, std::min<double>(share, slots) * part);
}

void RequestTable::LoadDisplacedModels(TimePoint now) {
  if (!m_state.config || m_state.evacuations.active().empty())
    return;
  for (const auto& [name, service] : m_state.config->config().services) {
    if (!service.engine)
      continue;
    const std::vector<Worker*> workers = ReadyWorkers(name);
    for (const std::string& model : DisplacedModels(now, name, workers))
      RequestLoad(now, *service.engine, workers,
                  {.model = model, .waiting = HeldRequestCount(model)},
                  "evacuation");
  }
}

std::vector<std::string> RequestTable::DisplacedModels(
    TimePoint now,
    const std::string& service,
    const std::vector<Worker*>& remaining) {
  struct Displaced {
    std::string model;
    // The most urgent request that waits for it; beyond the least urgent if
    // none does.
    int urgency = kLeastUrgency + 1;
    double demand = 0;
  };
  std::map<std::string, int> held;
  for (const auto& [id, exchange] : m_exchanges) {
    if (exchange.stage != ExchangeStage::kHeld)
      continue;
    const auto [entry, is_new] =
        held.try_emplace(exchange.request->model, exchange.urgency);
    entry->second = std::min(entry->second, exchange.urgency);
  }
  std::map<std::string, Displaced> found;
  for (const Worker* worker : m_state.workers.FindByService(service)) {
    if (!IsEvacuated(*worker))
      continue;
    for (const LoadedModel& model : worker->contents.models)
      found[model.name].model = model.name;
  }
  std::vector<Displaced> displaced;
  for (auto& [name, model] : found) {
    const bool is_loaded =
        std::ranges::any_of(remaining, [&model = model](const Worker* worker) {
          return worker->contents.Find(model.model) != nullptr;
        });
    if (is_loaded)
      continue;
    const auto waiting = held.find(name);
    if (waiting != held.end())
      model.urgency = waiting->second;
    model.demand = m_load_planner.Demand(now, name);
    if (waiting != held.end() || model.demand >= kMinDisplacedDemand)
      displaced.push_back(std::move(model));
  }
  std::ranges::sort(displaced, [](const Displaced& a, const Displaced& b) {
    return std::tie(a.urgency, b.demand) < std::tie(b.urgency, a.demand);
  });
  std::vector<std::string> models;
  for (const Displaced& model : displaced) {
    if (models.size() < kMaxDisplacedLoads)
      models.push_back(model.model);
  }
  return models;
}

}  // namespace boragepick
