#include "core/serving/load_planner.h"

#include <algorithm>
#include <cmath>

#include "common/hashing.h"

namespace boragepick {

namespace {

// Demand is averaged over about so long.
constexpr Duration kDemandMemory = std::chrono::seconds(6);
// Then nothing of it is left.
constexpr Duration kDemandForgotten = kDemandMemory * 10;
// An ask may be lost: it is repeated after so long.
constexpr Duration kAskAgain = std::chrono::milliseconds(600);
// A controller that has said nothing for so long after an ask is passed over,
// for a while.
constexpr Duration kControllerPatience = std::chrono::milliseconds(900);
constexpr Duration kSilentFor = std::chrono::seconds(4);
// A load takes at most so many times its expected time before another worker
// is asked.
constexpr int kLoadPatience = 3;
// One more load in the worker's queue.
constexpr Duration kCostOfQueuedLoad = std::chrono::milliseconds(1'200);
// Unloading a model that nobody asks for, and one that is asked for once a
// second and loaded nowhere else.
constexpr Duration kCostOfUnload = std::chrono::milliseconds(100);
constexpr Duration kCostOfLostDemand = std::chrono::milliseconds(2'500);
// Spreads the models over the workers, alike at all routers: each model has
// workers that are asked first.
constexpr Duration kSpread = std::chrono::milliseconds(1'500);
constexpr Duration kAdapterSpread = std::chrono::milliseconds(150);
// For loads from the weight store it outweighs what routers see differently:
// routers that ask the same worker have one load instead of many.
constexpr Duration kStoreSpread = std::chrono::seconds(10);
// A wish that nobody repeats is over.
constexpr Duration kWishLife = std::chrono::milliseconds(2'500);
// Between the load and the controller's word of it.
constexpr Duration kAnswerTime = std::chrono::milliseconds(400);
// A worker at which every request fails.
constexpr Duration kCostOfFailing = std::chrono::seconds(3);
// The cost of a load for which nothing can give way.
constexpr Duration kImpossible = Duration::max() / 4;
constexpr Duration kAdapterLoad = std::chrono::milliseconds(20);

std::uint32_t Thousandths(double value) {
  constexpr double kThousandths = 1'000;
  return static_cast<std::uint32_t>(value * kThousandths);
}

std::size_t HoldersOf(std::span<Worker* const> workers,
                      const std::string& model) {
  return static_cast<std::size_t>(
      std::ranges::count_if(workers, [&model](const Worker* worker) {
        return worker->contents.Find(model) != nullptr;
      }));
}

// Whom to ask for weights, the best first.
enum class LoadTier {
  kAtHand,     // it has a copy in its memory or on its disk
  kFromStore,  // it would take them from the weight store
  kLate,       // it was asked and did not load them in time
  kNoRoom,     // nothing that it holds could make room
};

// What speaks against a worker that fails requests: its weights could not be
// used for a while.
Duration CostOfState(TimePoint now, const Worker& worker) {
  const Duration rest = std::max(Duration::zero(), worker.avoid_until - now);
  return rest + std::chrono::duration_cast<Duration>(kCostOfFailing *
                                                     worker.failure_share);
}

bool NeedsStore(const WeightsNeed& need, const Worker& worker) {
  return need.adapter.empty() &&
         worker.contents.SourceOf(need.model) == WeightsSource::kStore;
}

std::uint32_t RunningWith(const Worker& worker, const std::string& weights) {
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

bool IsAtHand(const EngineContents& contents, const std::string& model) {
  return contents.Find(model) != nullptr ||
         contents.SourceOf(model) != WeightsSource::kStore;
}

// Free memory, and nothing that would take it first.
bool HasRoomFor(const EngineSpec& engine,
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
  Count(now, model);
  if (!adapter.empty())
    Count(now, WeightsName(model, adapter));
}

void LoadPlanner::Count(TimePoint now, const std::string& weights) {
  Seen& seen = m_seen[weights];
  seen.count = seen.count * std::exp(-ToSeconds(now - seen.at) /
                                     ToSeconds(kDemandMemory)) +
               1;
  seen.at = now;
}

double LoadPlanner::Demand(TimePoint now, const std::string& weights) const {
  const auto found = m_seen.find(weights);
  if (found == m_seen.end())
    return 0;
  const double left =
      std::exp(-ToSeconds(now - found->second.at) / ToSeconds(kDemandMemory));
  return found->second.count * left / ToSeconds(kDemandMemory);
}

std::size_t LoadPlanner::WishesAt(const std::string& worker) const {
  return static_cast<std::size_t>(std::ranges::count_if(
      m_wishes,
      [&worker](const auto& wish) { return wish.second.worker == worker; }));
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
    double loss = 0;
    double memory_mb = 0;
  };
  std::vector<Victim> victims;
  for (const LoadedModel& loaded : worker.contents.models) {
    const auto spec = engine.models.find(loaded.name);
    const double memory_mb =
        spec == engine.models.end() ? 0 : spec->second.memory_mb;
    victims.push_back({.loss = ValueOfCopy(now, workers, loaded.name),
                       .memory_mb = memory_mb});
  }
  std::ranges::sort(victims, {}, &Victim::loss);
  Duration cost = Duration::zero();
  for (const Victim& victim : victims) {
    if (free_mb >= needed_mb)
      break;
    free_mb += victim.memory_mb;
    cost += kCostOfUnload + std::chrono::duration_cast<Duration>(
                                kCostOfLostDemand * victim.loss);
  }
  return free_mb >= needed_mb ? cost : kImpossible;
}

Duration LoadPlanner::Cost(TimePoint now,
                           const EngineSpec& engine,
                           std::span<Worker* const> workers,
                           const Worker& worker,
                           const WeightsNeed& need) const {
  const auto spec = engine.models.find(need.model);
  const bool for_adapter = !need.adapter.empty();
  const bool from_store = NeedsStore(need, worker);
  Duration cost = CostOfState(now, worker);
  // why: while it waits for a place at the store, the worker's other loads go
  // on
  if (!from_store)
    cost += QueueTime(worker);
  if (for_adapter) {
    // why: an engine that loads or unloads a model takes no other order
    cost += kAdapterLoad + std::chrono::milliseconds(2) * worker.running;
  } else {
    cost += LoadTime(spec->second, worker.contents) +
            EvictionCost(now, engine, workers, worker, spec->second.memory_mb);
  }
  const std::uint64_t spread = StableHash(WeightsName(need.model, need.adapter),
                                          StableHash(worker.entry.id)) %
                               1'000;
  const Duration range = for_adapter  ? kAdapterSpread
                         : from_store ? kStoreSpread
                                      : kSpread;
  return cost + range * static_cast<int>(spread) / 1'000;
}

Duration LoadPlanner::ExpectedTime(const EngineSpec& engine,
                                   const Worker& worker,
                                   const WeightsNeed& need) const {
  const Duration load =
      need.adapter.empty()
          ? LoadTime(engine.models.at(need.model), worker.contents)
          : kAdapterLoad;
  return load + kCostOfUnload + kAnswerTime + QueueTime(worker);
}

Duration LoadPlanner::QueueTime(const Worker& worker) const {
  return kCostOfQueuedLoad *
         static_cast<int>(
             std::max(worker.queued_loads, WishesAt(worker.entry.id)));
}

double LoadPlanner::ValueOfCopy(TimePoint now,
                                std::span<Worker* const> workers,
                                const std::string& model) const {
  const double demand = Demand(now, model);
  const auto holders =
      static_cast<double>(std::max<std::size_t>(1, HoldersOf(workers, model)));
  return demand / holders / holders;
}

std::vector<ModelValue> LoadPlanner::ValuesOf(TimePoint now,
                                              std::span<Worker* const> workers,
                                              const Worker& worker) const {
  std::vector<ModelValue> values;
  for (const LoadedModel& loaded : worker.contents.models) {
    values.push_back(
        {.model = loaded.name,
         .milli_requests = Thousandths(ValueOfCopy(now, workers, loaded.name)),
         .running = RunningWith(worker, loaded.name)});
    for (const std::string& adapter : loaded.adapters) {
      const std::string name = WeightsName(loaded.name, adapter);
      values.push_back({.model = name,
                        .milli_requests = Thousandths(Demand(now, name)),
                        .running = RunningWith(worker, name)});
    }
  }
  return values;
}

void LoadPlanner::ForgetOldWishes(TimePoint now) {
  if (now < m_next_forget)
    return;
  m_next_forget = now + kAskAgain;
  std::erase_if(m_wishes, [now](const auto& wish) {
    return now - wish.second.asked > kWishLife;
  });
  // why: callers name models as they like
  std::erase_if(m_seen, [now](const auto& seen) {
    return now - seen.second.at > kDemandForgotten;
  });
}

bool LoadPlanner::StaysWith(TimePoint now,
                            std::span<Worker* const> workers,
                            Wish& wish) {
  const auto at =
      std::ranges::find(workers, wish.worker,
                        [](const Worker* worker) { return worker->entry.id; });
  if (at == workers.end())
    return false;
  const Duration waited = now - wish.first_asked;
  const bool silent =
      (*at)->news_at < wish.first_asked && waited > kControllerPatience;
  if (silent) {
    m_silent[wish.worker] = now + kSilentFor;
    return false;
  }
  if (waited <= wish.expected * kLoadPatience)
    return true;
  wish.late_worker = wish.worker;
  return false;
}

bool LoadPlanner::CanLoad(TimePoint now,
                          const EngineSpec& engine,
                          const Worker& worker,
                          const WeightsNeed& need) const {
  const auto silent = m_silent.find(worker.entry.id);
  if (silent != m_silent.end() && now < silent->second)
    return false;
  if (worker.entry.state != WorkerState::kReady)
    return false;
  const bool has_model = worker.contents.Find(need.model) != nullptr;
  if (!need.adapter.empty())
    return has_model;
  if (has_model || need.waiting > 0)
    return !has_model;
  // why: what nobody waits for must take nothing from others
  return HasRoomFor(engine, worker, engine.models.at(need.model)) &&
         IsAtHand(worker.contents, need.model);
}

std::optional<PlannedLoad> LoadPlanner::Plan(TimePoint now,
                                             const EngineSpec& engine,
                                             std::span<Worker* const> workers,
                                             const WeightsNeed& need) {
  if (!engine.models.contains(need.model))
    return std::nullopt;
  ForgetOldWishes(now);
  const std::string name = WeightsName(need.model, need.adapter);
  const auto wish = m_wishes.find(name);
  const bool open = wish != m_wishes.end();
  if (open && now - wish->second.asked < kAskAgain)
    return std::nullopt;
  const bool stays = open && StaysWith(now, workers, wish->second);
  const std::string keep = stays ? wish->second.worker : "";
  const std::string late = open ? wish->second.late_worker : "";
  Worker* best = nullptr;
  std::pair<LoadTier, Duration> best_rank;
  for (Worker* worker : workers) {
    if (!CanLoad(now, engine, *worker, need))
      continue;
    const LoadTier tier = worker->entry.id == late    ? LoadTier::kLate
                          : NeedsStore(need, *worker) ? LoadTier::kFromStore
                                                      : LoadTier::kAtHand;
    const Duration cost = worker->entry.id == keep
                              ? Duration::zero()
                              : Cost(now, engine, workers, *worker, need);
    const std::pair rank{
        cost < kImpossible ? tier : std::max(tier, LoadTier::kNoRoom), cost};
    if (best == nullptr || rank < best_rank) {
      best = worker;
      best_rank = rank;
    }
  }
  if (best == nullptr)
    return std::nullopt;
  const Duration expected = ExpectedTime(engine, *best, need);
  const TimePoint first_asked =
      best->entry.id == keep ? wish->second.first_asked : now;
  m_wishes[name] = {.worker = best->entry.id,
                    .asked = now,
                    .first_asked = first_asked,
                    .expected = expected,
                    .late_worker = late};
  return PlannedLoad{
      .worker = best->entry.id,
      .address = best->entry.address,
      .ask = {.model = need.model,
              .adapter = need.adapter,
              .waiting = need.waiting,
              .milli_requests = Thousandths(Demand(now, need.model)),
              .values = ValuesOf(now, workers, *best)},
      .source = best->contents.SourceOf(need.model),
      .expected = expected,
      .again = best->entry.id == keep};
}

std::vector<std::string> LoadPlanner::NowhereAtHand(
    const EngineSpec& engine,
    std::span<Worker* const> workers) {
  std::vector<std::string> missing;
  for (const auto& entry : engine.models) {
    const std::string& name = entry.first;
    const bool found = std::ranges::any_of(workers, [&](const Worker* worker) {
      return IsAtHand(worker->contents, name);
    });
    if (!found)
      missing.push_back(name);
  }
  return missing;
}

std::vector<std::string> LoadPlanner::WorthLoading(
    const EngineSpec& engine,
    std::span<Worker* const> workers) {
  std::vector<std::string> names;
  for (const auto& entry : engine.models) {
    const std::string& name = entry.first;
    const EngineModel& model = entry.second;
    if (HoldersOf(workers, name) > 0)
      continue;
    const bool possible =
        std::ranges::any_of(workers, [&](const Worker* worker) {
          return HasRoomFor(engine, *worker, model) &&
                 IsAtHand(worker->contents, name);
        });
    if (possible)
      names.push_back(name);
  }
  return names;
}

void LoadPlanner::Settle(const std::string& model, const std::string& adapter) {
  m_wishes.erase(WeightsName(model, adapter));
}

}  // namespace boragepick
