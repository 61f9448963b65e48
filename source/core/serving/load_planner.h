// Which worker should load a model or an adapter that requests wait for. The
// answer rests on what every router sees alike (the list of workers), so that
// routers without a word between them mostly ask the same worker. A worker that
// has a copy at hand goes before one that needs the weight store, also while it
// rests after failures.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include "common/time.h"
#include "core/engine/engine_messages.h"
#include "core/serving/serving_config.h"
#include "core/serving/worker_table.h"

namespace boragepick {

struct PlannedLoad {
  std::string worker;
  std::string address;
  LoadAsk ask;
  // Where the worker would take a model from.
  WeightsSource source = WeightsSource::kStore;
  // Until the weights may be expected to be there.
  Duration expected = Duration::zero();
  // The same worker was asked before.
  bool again = false;
};

// One need of weights: a model, or an adapter of it.
struct WeightsNeed {
  std::string model;
  std::string adapter;
  // Requests that wait for it. With none it only takes free memory.
  std::uint32_t waiting = 0;
};

class LoadPlanner {
 public:
  // A request for the weights has come: their demand is part of what they are
  // worth where they are loaded.
  void RecordRequest(TimePoint now,
                     const std::string& model,
                     const std::string& adapter);

  // Whom to ask now, if anybody: an ask that is under way is only repeated
  // after a while, and goes to another worker when the first stays silent.
  std::optional<PlannedLoad> Plan(TimePoint now,
                                  const EngineSpec& engine,
                                  std::span<Worker* const> workers,
                                  const WeightsNeed& need);

  // Models of which no worker has a copy: their first request would wait for
  // the weight store.
  static std::vector<std::string> NowhereAtHand(
      const EngineSpec& engine,
      std::span<Worker* const> workers);

  // Models that no worker has loaded, though some has a copy at hand and free
  // memory for it.
  static std::vector<std::string> WorthLoading(
      const EngineSpec& engine,
      std::span<Worker* const> workers);

  // The weights have come, or nobody waits for them any more.
  void Settle(const std::string& model, const std::string& adapter);

  // Requests a second for "model" or "model/adapter" that this router has seen
  // lately.
  double Demand(TimePoint now, const std::string& weights) const;

 private:
  struct Wish {
    std::string worker;
    TimePoint asked;
    TimePoint first_asked;
    Duration expected = Duration::zero();
    // A worker that took too long with it.
    std::string late_worker;
  };
  struct Seen {
    double count = 0;
    TimePoint at;
  };

  void Count(TimePoint now, const std::string& weights);

  // Whether the worker may be asked at all.
  bool CanLoad(TimePoint now,
               const EngineSpec& engine,
               const Worker& worker,
               const WeightsNeed& need) const;
  Duration Cost(TimePoint now,
                const EngineSpec& engine,
                std::span<Worker* const> workers,
                const Worker& worker,
                const WeightsNeed& need) const;
  // Until the weights should be there.
  Duration ExpectedTime(const EngineSpec& engine,
                        const Worker& worker,
                        const WeightsNeed& need) const;
  // The loads that stand before a new one.
  Duration QueueTime(const Worker& worker) const;
  Duration EvictionCost(TimePoint now,
                        const EngineSpec& engine,
                        std::span<Worker* const> workers,
                        const Worker& worker,
                        double needed_mb) const;
  // Requests a second that would miss one copy of a loaded model.
  double ValueOfCopy(TimePoint now,
                     std::span<Worker* const> workers,
                     const std::string& model) const;
  std::vector<ModelValue> ValuesOf(TimePoint now,
                                   std::span<Worker* const> workers,
                                   const Worker& worker) const;
  std::size_t WishesAt(const std::string& worker) const;
  void ForgetOldWishes(TimePoint now);
  // Whether the open wish should stay with its worker.
  bool StaysWith(TimePoint now, std::span<Worker* const> workers, Wish& wish);

  std::map<std::string, Wish> m_wishes;
  std::unordered_map<std::string, Seen> m_seen;
  // Workers whose controller did not answer, and until when they are passed
  // over.
  std::unordered_map<std::string, TimePoint> m_silent;
  TimePoint m_next_forget = TimePoint{};
};

// "model" or "model/adapter".
std::string WeightsName(const std::string& model, const std::string& adapter);

}  // namespace boragepick
