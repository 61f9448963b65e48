// Selects the worker that should load a model or an adapter that requests wait
// for. The selection depends mostly on data that all routers share (the list of
// workers), so that routers usually select the same worker without
// coordination. A worker with a cached copy of the weights is preferred to one
// that needs the weight store, even while it is in backoff after failures.
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
  LoadRequest request;
  // The location from which the worker would read the model's weights.
  WeightsSource source = WeightsSource::kStore;
  // Expected time until the weights are loaded.
  Duration expected_time = Duration::zero();
  // Repeats a load request that was sent to the same worker.
  bool is_resend = false;
};

// The weights to load: a model, or an adapter of it.
struct LoadTarget {
  std::string model;
  std::string adapter;
  // Number of requests that wait for the weights. If 0, the load uses only
  // free memory and evicts nothing.
  std::uint32_t waiting = 0;
  // Tells the load apart from one in other regions; empty for a load anywhere.
  std::string regions = {};
};

class LoadPlanner {
 public:
  // Records a request for the weights. The request rate decides which loaded
  // models are evicted first.
  void RecordRequest(TimePoint now,
                     const std::string& model,
                     const std::string& adapter);

  // Returns the load request to send now, if any. A pending load request is
  // repeated periodically, and goes to another worker if the first does not
  // respond or does not load the weights in time.
  std::optional<PlannedLoad> Plan(TimePoint now,
                                  const EngineSpec& engine,
                                  std::span<Worker* const> workers,
                                  const LoadTarget& target);

  // Returns the models of which no worker has a copy, loaded or cached. The
  // first request for one of them would wait for the weight store.
  static std::vector<std::string> ModelsWithoutLocalCopy(
      const EngineSpec& engine,
      std::span<Worker* const> workers);

  // Returns the models that no worker has loaded, but for which some worker has
  // a cached copy and free memory.
  static std::vector<std::string> ModelsToPreload(
      const EngineSpec& engine,
      std::span<Worker* const> workers);

  // Whether any controller can be expected to load something: false if several
  // did not respond to load requests and none has sent an update for a while,
  // as in a deployment without controllers.
  bool HasControllers(TimePoint now, std::span<Worker* const> workers) const;

  // Ends the pending load: the weights are loaded, or no request waits for them
  // any more.
  void ClearPendingLoad(const std::string& model,
                        const std::string& adapter,
                        const std::string& regions);

  // Returns this router's recent requests per second for "model" or
  // "model/adapter".
  double Demand(TimePoint now, const std::string& weights) const;

 private:
  struct PendingLoad {
    std::string worker;
    TimePoint last_sent;
    TimePoint first_sent;
    Duration expected_time = Duration::zero();
    // The last worker that did not load the weights in time.
    std::string late_worker;
  };
  // Number of requests, decayed exponentially since `updated`.
  struct RequestCount {
    double count = 0;
    TimePoint updated;
  };

  void IncrementRequestCount(TimePoint now, const std::string& weights);

  // Whether a load request may be sent to the worker at all.
  bool CanLoad(TimePoint now,
               const EngineSpec& engine,
               const Worker& worker,
               const LoadTarget& target) const;
  Duration Cost(TimePoint now,
                const EngineSpec& engine,
                std::span<Worker* const> workers,
                const Worker& worker,
                const LoadTarget& target) const;
  // Expected time until the weights are loaded.
  Duration ExpectedTime(const EngineSpec& engine,
                        const Worker& worker,
                        const LoadTarget& target) const;
  // Expected time of the loads queued before a new one.
  Duration QueueTime(const Worker& worker) const;
  Duration EvictionCost(TimePoint now,
                        const EngineSpec& engine,
                        std::span<Worker* const> workers,
                        const Worker& worker,
                        double needed_mb) const;
  // Value of one loaded copy of the model, in requests per second. It falls
  // with the square of the number of workers that have the model loaded.
  double DemandPerCopy(TimePoint now,
                       std::span<Worker* const> workers,
                       const std::string& model) const;
  // Values of the models and adapters that are loaded on the worker.
  std::vector<ModelDemand> LoadedDemands(TimePoint now,
                                         std::span<Worker* const> workers,
                                         const Worker& worker) const;
  std::size_t PendingLoadsAt(const std::string& worker) const;
  void RemoveExpired(TimePoint now);
  // Returns whether the pending load should stay with its worker. Otherwise
  // records why not: the controller does not respond, or the load is late.
  bool KeepsWorker(TimePoint now,
                   std::span<Worker* const> workers,
                   PendingLoad& pending);

  std::map<std::string, PendingLoad> m_pending_loads;
  std::unordered_map<std::string, RequestCount> m_request_counts;
  // Workers whose controller did not respond, and until when they get no load
  // requests.
  std::unordered_map<std::string, TimePoint> m_unresponsive_until;
  TimePoint m_next_expiry = TimePoint{};
};

// Returns "model" or "model/adapter".
std::string WeightsName(const std::string& model, const std::string& adapter);

}  // namespace boragepick
