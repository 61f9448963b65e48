#include "core/serving/load_planner.h"

#include <algorithm>
#include <cmath>

#include "common/hashing.h"

namespace boragepick {

namespace {

// Demand is averaged over about so long.
constexpr Duration kDemandMemory = std::chrono::seconds(6);
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
// Spreads equal choices over the workers, equally at all routers.
constexpr Duration kTieBreak = std::chrono::milliseconds(150);
constexpr Duration kAdapterLoad = std::chrono::milliseconds(20);

bool Contains(const std::vector<std::string>& names, const std::string& name) {
  return std::ranges::find(names, name) != names.end();
}

std::size_t HoldersOf(std::span<Worker* const> workers,
                      const std::string& model) {
  return static_cast<std::size_t>(
      std::ranges::count_if(workers, [&model](const Worker* worker) {
        return worker->contents.Find(model) != nullptr;
      }));
}

double UsedMb(const EngineSpec& engine, const EngineContents& contents) {
  double used = 0;
  for (const LoadedModel& loaded : contents.models) {
    const auto spec = engine.models.find(loaded.name);
    if (spec == engine.models.end())
      continue;
    used += spec->second.memory_mb +
            spec->second.adapter_mb *
                static_cast<double>(loaded.adapters.size());
  }
  return used;
}

Duration LoadTime(const EngineModel& model, const EngineContents& contents) {
  if (Contains(contents.in_memory, model.name))
    return model.load_from_memory;
  if (Contains(contents.on_disk, model.name))
    return model.load_from_disk;
  return model.load_from_store;
}

}  // namespace

std::string WeightsName(const std::string& model, const std::string& adapter) {
  return adapter.empty() ? model : model + "/" + adapter;
}

void LoadPlanner::RecordRequest(TimePoint now, const std::string& model) {
  Seen& seen = m_seen[model];
  seen.count = seen.count * std::exp(-ToSeconds(now - seen.at) /
                                     ToSeconds(kDemandMemory)) +
               1;
  seen.at = now;
}

double LoadPlanner::Demand(TimePoint now, const std::string& model) const {
  const auto found = m_seen.find(model);
  if (found == m_seen.end())
    return 0;
  const double left = std::exp(-ToSeconds(now - found->second.at) /
                               ToSeconds(kDemandMemory));
  return found->second.count * left / ToSeconds(kDemandMemory);
}

std::size_t LoadPlanner::WishesAt(const std::string& worker) const {
  return static_cast<std::size_t>(
      std::ranges::count_if(m_wishes, [&worker](const auto& wish) {
        return wish.second.worker == worker;
      }));
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
    const auto holders =
        static_cast<double>(std::max<std::size_t>(
            1, HoldersOf(workers, loaded.name)));
    victims.push_back({.loss = Demand(now, loaded.name) / holders / holders,
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
  return free_mb >= needed_mb ? cost : Duration::max() / 4;
}

Duration LoadPlanner::Cost(TimePoint now,
                           const EngineSpec& engine,
                           std::span<Worker* const> workers,
                           const Worker& worker,
                           const WeightsNeed& need) const {
  const auto spec = engine.models.find(need.model);
  const bool for_adapter = !need.adapter.empty();
  Duration cost =
      kCostOfQueuedLoad *
      static_cast<int>(std::max(worker.queued_loads,
                                WishesAt(worker.entry.id)));
  if (for_adapter) {
    cost = cost / 8 + kAdapterLoad +
           std::chrono::milliseconds(2) * worker.running;
  } else {
    cost += LoadTime(spec->second, worker.contents) +
            EvictionCost(now, engine, workers, worker,
                         spec->second.memory_mb);
  }
  const std::uint64_t spread =
      StableHash(WeightsName(need.model, need.adapter),
                 StableHash(worker.entry.id)) %
      1'000;
  return cost + kTieBreak * static_cast<int>(spread) / 1'000;
}

std::vector<ModelValue> LoadPlanner::ValuesOf(
    TimePoint now,
    std::span<Worker* const> workers,
    const Worker& worker) const {
  constexpr double kThousandths = 1'000;
  std::vector<ModelValue> values;
  for (const LoadedModel& loaded : worker.contents.models) {
    const auto holders = static_cast<double>(
        std::max<std::size_t>(1, HoldersOf(workers, loaded.name)));
    const double value = Demand(now, loaded.name) / holders / holders;
    values.push_back(
        {.model = loaded.name,
         .milli_requests = static_cast<std::uint32_t>(value * kThousandths)});
  }
  return values;
}

std::optional<PlannedLoad> LoadPlanner::Plan(TimePoint now,
                                             const EngineSpec& engine,
                                             std::span<Worker* const> workers,
                                             const WeightsNeed& need) {
  if (!engine.models.contains(need.model))
    return std::nullopt;
  const std::string name = WeightsName(need.model, need.adapter);
  const auto wish = m_wishes.find(name);
  std::string keep;
  if (wish != m_wishes.end()) {
    const Wish& open = wish->second;
    if (now - open.asked < kAskAgain)
      return std::nullopt;
    const auto at =
        std::ranges::find(workers, open.worker, [](const Worker* worker) {
          return worker->entry.id;
        });
    const bool silent = at == workers.end() ||
                        ((*at)->news_at < open.first_asked &&
                         now - open.first_asked > kControllerPatience);
    const bool overdue =
        now - open.first_asked > open.expected * kLoadPatience;
    if (silent || overdue)
      m_silent[open.worker] = now + kSilentFor;
    else
      keep = open.worker;
  }
  Worker* best = nullptr;
  Duration best_cost = Duration::max() / 4;
  for (Worker* worker : workers) {
    const auto silent = m_silent.find(worker->entry.id);
    if (silent != m_silent.end() && now < silent->second)
      continue;
    const bool possible =
        worker->Usable(now) &&
        (need.adapter.empty()
             ? worker->contents.Find(need.model) == nullptr
             : worker->contents.Find(need.model) != nullptr);
    if (!possible)
      continue;
    const Duration cost = worker->entry.id == keep
                              ? Duration::zero()
                              : Cost(now, engine, workers, *worker, need);
    if (cost < best_cost) {
      best = worker;
      best_cost = cost;
    }
  }
  if (best == nullptr)
    return std::nullopt;
  const Duration expected =
      Cost(now, engine, workers, *best, need) + std::chrono::milliseconds(500);
  const TimePoint first_asked =
      best->entry.id == keep ? wish->second.first_asked : now;
  m_wishes[name] = {.worker = best->entry.id,
                    .asked = now,
                    .first_asked = first_asked,
                    .expected = expected};
  return PlannedLoad{.worker = best->entry.id,
                     .address = best->entry.address,
                     .ask = {.model = need.model,
                             .adapter = need.adapter,
                             .waiting = need.waiting,
                             .values = ValuesOf(now, workers, *best)},
                     .expected = expected};
}

void LoadPlanner::Settle(const std::string& model, const std::string& adapter) {
  m_wishes.erase(WeightsName(model, adapter));
}

}  // namespace boragepick
