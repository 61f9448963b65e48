#include "core/serving/load_planner.h"

#include <algorithm>
#include <cmath>
#include <string_view>
#include <unordered_map>
#include <unordered_set>

#include "common/hashing.h"

namespace boragepick {

namespace {

// Time constant of the exponentially decaying request counts.
constexpr Duration kRequestCountDecay = std::chrono::seconds(6);
// A count without requests for this long is negligible and removed.
constexpr Duration kRequestCountExpiry = kRequestCountDecay * 10;
// Load requests can be lost, so they are repeated.
constexpr Duration kResendInterval = std::chrono::milliseconds(600);
// A controller that sends no engine update for this long after a load request
// counts as unresponsive, and gets no load requests for kUnresponsiveBackoff.
constexpr Duration kControllerTimeout = std::chrono::milliseconds(900);
constexpr Duration kUnresponsiveBackoff = std::chrono::seconds(4);
// A load that takes longer than this multiple of its expected time is requested
// from another worker.
constexpr int kLoadTimeoutFactor = 3;
// Loads are not expected to happen if this many controllers are unresponsive
// and none has sent an engine update for this long, in which controllers that
// were all killed have started again.
constexpr std::size_t kMinUnresponsive = 3;
constexpr Duration kControllersLostTime = std::chrono::seconds(5);
// Cost of each load in the worker's queue.
constexpr Duration kCostOfQueuedLoad = std::chrono::milliseconds(1'200);
// Cost of unloading a model without requests, and the additional cost if it
// gets one request per second and is loaded on no other worker.
constexpr Duration kCostOfUnload = std::chrono::milliseconds(100);
constexpr Duration kCostOfLostDemand = std::chrono::milliseconds(2'500);
// Range of the hash-based cost that spreads the models over the workers. It is
// the same at all routers, so that each model has preferred workers.
constexpr Duration kModelSpread = std::chrono::milliseconds(1'500);
constexpr Duration kAdapterSpread = std::chrono::milliseconds(150);
// For loads from the weight store the spread outweighs differences between the
// routers' views: routers that select the same worker cause one load from the
// store instead of several.
constexpr Duration kStoreSpread = std::chrono::seconds(10);
// A pending load that is not requested again for this long has ended.
constexpr Duration kPendingLoadExpiry = std::chrono::milliseconds(2'500);
// Delay between the end of a load and the controller's engine update.
constexpr Duration kUpdateDelay = std::chrono::milliseconds(400);
// Cost of a worker at which every request fails.
constexpr Duration kCostOfFailures = std::chrono::seconds(3);
// Cost of a load for which eviction cannot free enough memory.
constexpr Duration kImpossible = Duration::max() / 4;
constexpr Duration kAdapterLoadTime = std::chrono::milliseconds(20);

std::uint32_t Thousandths(double value) {
  constexpr double kThousandths = 1'000;
  return static_cast<std::uint32_t>(value * kThousandths);
}

std::size_t CountWorkersWith(std::span<Worker* const> workers,
                             const std::string& model) {
  return static_cast<std::size_t>(
      std::ranges::count_if(workers, [&model](const Worker* worker) {
        return worker->contents.Find(model) != nullptr;
      }));
}

// Preference of a worker for a load, the best first. Cost decides within a
// tier.
enum class LoadTier {
  kCached,     // has a copy in its memory or on its disk
  kFromStore,  // would read the weights from the weight store
  kLate,       // was sent a load request and did not load in time
  kNoMemory,   // evicting everything would not free enough memory
};

// Cost of the worker's backoff and recent failures: requests could not use the
// weights there for a while.
Duration CostOfFailures(TimePoint now, const Worker& worker) {
  const Duration backoff =
      std::max(Duration::zero(), worker.backoff_until - now);
  return backoff + std::chrono::duration_cast<Duration>(kCostOfFailures *
                                                        worker.failure_rate);
}

bool NeedsStore(const LoadTarget& target, const Worker& worker) {
  return target.adapter.empty() &&
         worker.contents.SourceOf(target.model) == WeightsSource::kStore;
}

// Names a pending load. Requests that may run in some regions only don't wait
// for a load elsewhere.
std::string PendingLoadName(const std::string& model,
                            const std::string& adapter,
                            const std::string& regions) {
  const std::string name = WeightsName(model, adapter);
  return regions.empty() ? name : name + "@" + regions;
}

std::uint32_t RunningRequests(const Worker& worker,
                              const std::string& weights) {
  const auto found = worker.running_by_weights.find(weights);
  return found == worker.running_by_weights.end() ? 0 : found->second;
}

double UsedMb(const EngineSpec& engine, const EngineContents& contents) {
  double used = 0;
  for (const LoadedModel& loaded : contents.models) {
    const auto spec = engine.models.find(loaded.name);
    if (spec == engine.models.end())
      continue;
    used +=
        spec->second.memory_mb +
        spec->second.adapter_mb * static_cast<double>(loaded.adapters.size());
  }
  return used;
}

// Whether the worker has the model loaded or cached.
bool HasLocalCopy(const EngineContents& contents, const std::string& model) {
  return contents.Find(model) != nullptr ||
         contents.SourceOf(model) != WeightsSource::kStore;
}

// Whether the worker has enough free memory and no queued load that would use
// it first.
bool HasFreeMemoryFor(const EngineSpec& engine,
                      const Worker& worker,
                      const EngineModel& model) {
  return worker.queued_loads == 0 &&
         UsedMb(engine, worker.contents) + model.memory_mb <= engine.memory_mb;
}

Duration LoadTime(const EngineModel& model, const EngineContents& contents) {
  switch (contents.SourceOf(model.name)) {
    case WeightsSource::kMemory:
      return model.load_from_memory;
    case WeightsSource::kDisk:
      return model.load_from_disk;
    case WeightsSource::kStore:
      break;
  }
  return model.load_from_store;
}

}  // namespace

std::string WeightsName(const std::string& model, const std::string& adapter) {
  return adapter.empty() ? model : model + "/" + adapter;
}

void LoadPlanner::RecordRequest(TimePoint now,
                                const std::string& model,
                                const std::string& adapter) {
  IncrementRequestCount(now, model);
  if (!adapter.empty())
    IncrementRequestCount(now, WeightsName(model, adapter));
}

void LoadPlanner::IncrementRequestCount(TimePoint now,
                                        const std::string& weights) {
  RequestCount& requests = m_request_counts[weights];
  requests.count =
      requests.count * std::exp(-ToSeconds(now - requests.updated) /
                                ToSeconds(kRequestCountDecay)) +
      1;
  requests.updated = now;
}

double LoadPlanner::Demand(TimePoint now, const std::string& weights) const {
  const auto found = m_request_counts.find(weights);
  if (found == m_request_counts.end())
    return 0;
  const double decay = std::exp(-ToSeconds(now - found->second.updated) /
                                ToSeconds(kRequestCountDecay));
  return found->second.count * decay / ToSeconds(kRequestCountDecay);
}

std::size_t LoadPlanner::PendingLoadsAt(const std::string& worker) const {
  return static_cast<std::size_t>(std::ranges::count_if(
      m_pending_loads,
      [&worker](const auto& entry) { return entry.second.worker == worker; }));
}

Duration LoadPlanner::EvictionCost(TimePoint now,
                                   const EngineSpec& engine,
                                   std::span<Worker* const> workers,
                                   const Worker& worker,
                                   double needed_mb) const {
  double free_mb = engine.memory_mb - UsedMb(engine, worker.contents);
  if (free_mb >= needed_mb)
    return Duration::zero();
  struct Victim {
    double demand = 0;
    double memory_mb = 0;
  };
  std::vector<Victim> victims;
  for (const LoadedModel& loaded : worker.contents.models) {
    const auto spec = engine.models.find(loaded.name);
    const double memory_mb =
        spec == engine.models.end() ? 0 : spec->second.memory_mb;
    victims.push_back({.demand = DemandPerCopy(now, workers, loaded.name),
                       .memory_mb = memory_mb});
  }
  std::ranges::sort(victims, {}, &Victim::demand);
  Duration cost = Duration::zero();
  for (const Victim& victim : victims) {
    if (free_mb >= needed_mb)
      break;
    free_mb += victim.memory_mb;
    cost += kCostOfUnload + std::chrono::duration_cast<Duration>(
                                kCostOfLostDemand * victim.demand);
  }
  return free_mb >= needed_mb ? cost : kImpossible;
}

Duration LoadPlanner::Cost(TimePoint now,
                           const EngineSpec& engine,
                           std::span<Worker* const> workers,
                           const Worker& worker,
                           const LoadTarget& target) const {
  const auto spec = engine.models.find(target.model);
  const bool for_adapter = !target.adapter.empty();
  const bool from_store = NeedsStore(target, worker);
  Duration cost = CostOfFailures(now, worker);
  // A load that waits for a load slot of the weight store does not wait for the
  // worker's other loads, which continue in the meantime.
  if (!from_store)
    cost += QueueTime(worker);
  if (for_adapter) {
    // While an engine loads or unloads a model, it accepts no other order.
    cost += kAdapterLoadTime + std::chrono::milliseconds(2) * worker.running;
  } else {
    cost += LoadTime(spec->second, worker.contents) +
            EvictionCost(now, engine, workers, worker, spec->second.memory_mb);
  }
  const std::uint64_t spread =
      StableHash(WeightsName(target.model, target.adapter),
                 StableHash(worker.entry.id)) %
      1'000;
  const Duration range = for_adapter  ? kAdapterSpread
                         : from_store ? kStoreSpread
                                      : kModelSpread;
  return cost + range * static_cast<int>(spread) / 1'000;
}

Duration LoadPlanner::ExpectedTime(const EngineSpec& engine,
                                   const Worker& worker,
                                   const LoadTarget& target) const {
  const Duration load =
      target.adapter.empty()
          ? LoadTime(engine.models.at(target.model), worker.contents)
          : kAdapterLoadTime;
  return load + kCostOfUnload + kUpdateDelay + QueueTime(worker);
}

Duration LoadPlanner::QueueTime(const Worker& worker) const {
  return kCostOfQueuedLoad *
         static_cast<int>(
             std::max(worker.queued_loads, PendingLoadsAt(worker.entry.id)));
}

double LoadPlanner::DemandPerCopy(TimePoint now,
                                  std::span<Worker* const> workers,
                                  const std::string& model) const {
  const double demand = Demand(now, model);
  const auto copies = static_cast<double>(
      std::max<std::size_t>(1, CountWorkersWith(workers, model)));
  return demand / copies / copies;
}

std::vector<ModelDemand> LoadPlanner::LoadedDemands(
    TimePoint now,
    std::span<Worker* const> workers,
    const Worker& worker) const {
  std::vector<ModelDemand> demands;
  for (const LoadedModel& loaded : worker.contents.models) {
    demands.push_back({.model = loaded.name,
                       .milli_requests = Thousandths(
                           DemandPerCopy(now, workers, loaded.name)),
                       .running = RunningRequests(worker, loaded.name)});
    for (const std::string& adapter : loaded.adapters) {
      const std::string name = WeightsName(loaded.name, adapter);
      demands.push_back({.model = name,
                         .milli_requests = Thousandths(Demand(now, name)),
                         .running = RunningRequests(worker, name)});
    }
  }
  return demands;
}

void LoadPlanner::RemoveExpired(TimePoint now) {
  if (now < m_next_expiry)
    return;
  m_next_expiry = now + kResendInterval;
  std::erase_if(m_pending_loads, [now](const auto& entry) {
    return now - entry.second.last_sent > kPendingLoadExpiry;
  });
  // Callers choose the model names, so that the counts would grow without
  // limit.
  std::erase_if(m_request_counts, [now](const auto& entry) {
    return now - entry.second.updated > kRequestCountExpiry;
  });
}

bool LoadPlanner::KeepsWorker(TimePoint now,
                              std::span<Worker* const> workers,
                              PendingLoad& pending) {
  const auto worker =
      std::ranges::find(workers, pending.worker,
                        [](const Worker* other) { return other->entry.id; });
  if (worker == workers.end())
    return false;
  const Duration waited = now - pending.first_sent;
  const bool unresponsive =
      (*worker)->last_engine_update < pending.first_sent &&
      waited > kControllerTimeout;
  if (unresponsive) {
    m_unresponsive_until[pending.worker] = now + kUnresponsiveBackoff;
    return false;
  }
  if (waited <= pending.expected_time * kLoadTimeoutFactor)
    return true;
  pending.late_worker = pending.worker;
  return false;
}

bool LoadPlanner::CanLoad(TimePoint now,
                          const EngineSpec& engine,
                          const Worker& worker,
                          const LoadTarget& target) const {
  const auto unresponsive = m_unresponsive_until.find(worker.entry.id);
  if (unresponsive != m_unresponsive_until.end() && now < unresponsive->second)
    return false;
  if (!worker.IsReady())
    return false;
  const bool has_model = worker.contents.Find(target.model) != nullptr;
  if (!target.adapter.empty())
    return has_model;
  if (has_model || target.waiting > 0)
    return !has_model;
  // A load without waiting requests must not evict anything or use the weight
  // store.
  return HasFreeMemoryFor(engine, worker, engine.models.at(target.model)) &&
         HasLocalCopy(worker.contents, target.model);
}

std::optional<PlannedLoad> LoadPlanner::Plan(TimePoint now,
                                             const EngineSpec& engine,
                                             std::span<Worker* const> workers,
                                             const LoadTarget& target) {
  if (!engine.models.contains(target.model))
    return std::nullopt;
  RemoveExpired(now);
  const std::string name =
      PendingLoadName(target.model, target.adapter, target.regions);
  const auto pending = m_pending_loads.find(name);
  const bool is_pending = pending != m_pending_loads.end();
  if (is_pending && now - pending->second.last_sent < kResendInterval)
    return std::nullopt;
  const bool keeps_worker =
      is_pending && KeepsWorker(now, workers, pending->second);
  const std::string current_worker = keeps_worker ? pending->second.worker : "";
  const std::string late_worker = is_pending ? pending->second.late_worker : "";
  Worker* best = nullptr;
  std::pair<LoadTier, Duration> best_rank;
  for (Worker* worker : workers) {
    if (!CanLoad(now, engine, *worker, target))
      continue;
    const LoadTier tier = worker->entry.id == late_worker ? LoadTier::kLate
                          : NeedsStore(target, *worker)   ? LoadTier::kFromStore
                                                          : LoadTier::kCached;
    const Duration cost = worker->entry.id == current_worker
                              ? Duration::zero()
                              : Cost(now, engine, workers, *worker, target);
    const std::pair rank{
        cost < kImpossible ? tier : std::max(tier, LoadTier::kNoMemory), cost};
    if (best == nullptr || rank < best_rank) {
      best = worker;
      best_rank = rank;
    }
  }
  if (best == nullptr)
    return std::nullopt;
  const Duration expected = ExpectedTime(engine, *best, target);
  const TimePoint first_sent =
      best->entry.id == current_worker ? pending->second.first_sent : now;
  m_pending_loads[name] = {.worker = best->entry.id,
                           .last_sent = now,
                           .first_sent = first_sent,
                           .expected_time = expected,
                           .late_worker = late_worker};
  return PlannedLoad{
      .worker = best->entry.id,
      .address = best->entry.address,
      .request = {.model = target.model,
                  .adapter = target.adapter,
                  .waiting = target.waiting,
                  .milli_requests = Thousandths(Demand(now, target.model)),
                  .demands = LoadedDemands(now, workers, *best)},
      .source = best->contents.SourceOf(target.model),
      .expected_time = expected,
      .is_resend = best->entry.id == current_worker};
}

std::vector<std::string> LoadPlanner::ModelsWithoutLocalCopy(
    const EngineSpec& engine,
    std::span<Worker* const> workers) {
  std::unordered_set<std::string_view> found;
  for (const Worker* worker : workers) {
    const EngineContents& contents = worker->contents;
    for (const LoadedModel& loaded : contents.models)
      found.insert(loaded.name);
    found.insert(contents.in_memory.begin(), contents.in_memory.end());
    found.insert(contents.on_disk.begin(), contents.on_disk.end());
  }
  std::vector<std::string> missing;
  for (const auto& [name, model] : engine.models) {
    if (!found.contains(name))
      missing.push_back(name);
  }
  return missing;
}

std::vector<std::string> LoadPlanner::ModelsToPreload(
    const EngineSpec& engine,
    std::span<Worker* const> workers) {
  std::unordered_set<std::string_view> loaded;
  // The largest free memory of a worker with a cached copy, by model.
  std::unordered_map<std::string_view, double> free_mb;
  for (const Worker* worker : workers) {
    const EngineContents& contents = worker->contents;
    for (const LoadedModel& model : contents.models)
      loaded.insert(model.name);
    // A queued load would use the memory first.
    if (worker->queued_loads > 0)
      continue;
    const double free = engine.memory_mb - UsedMb(engine, contents);
    for (const auto* copies : {&contents.in_memory, &contents.on_disk}) {
      for (const std::string& name : *copies) {
        double& most = free_mb[name];
        most = std::max(most, free);
      }
    }
  }
  std::vector<std::string> names;
  for (const auto& [name, model] : engine.models) {
    const auto free = free_mb.find(name);
    if (!loaded.contains(name) && free != free_mb.end() &&
        free->second >= model.memory_mb)
      names.push_back(name);
  }
  return names;
}

bool LoadPlanner::HasControllers(TimePoint now,
                                 std::span<Worker* const> workers) const {
  const auto unresponsive = static_cast<std::size_t>(std::ranges::count_if(
      m_unresponsive_until,
      [now](const auto& entry) { return now < entry.second; }));
  if (unresponsive < std::min(kMinUnresponsive, workers.size()))
    return true;
  return std::ranges::any_of(workers, [now](const Worker* worker) {
    return worker->last_engine_update != TimePoint{} &&
           now - worker->last_engine_update < kControllersLostTime;
  });
}

void LoadPlanner::ClearPendingLoad(const std::string& model,
                                   const std::string& adapter,
                                   const std::string& regions) {
  m_pending_loads.erase(PendingLoadName(model, adapter, regions));
}

}  // namespace boragepick
