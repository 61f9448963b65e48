// Messages between routers and the controller of an engine. Each message may be
// lost or duplicated: a load request is repeated while requests wait for it,
// and an update carries the complete state.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "common/time.h"
#include "core/serving/worker_entry.h"

namespace boragepick {

// A router's demand for a loaded model or adapter, by which the controller
// chooses what to evict.
struct ModelDemand {
  // "model" or "model/adapter".
  std::string model;
  // Requests per second, in thousandths, that would have to wait for a load if
  // it were evicted.
  std::uint32_t milli_requests = 0;
  // Requests of the router that are running with it on this engine.
  std::uint32_t running = 0;
};

// Router to controller: requests the load of a model, or of an adapter of a
// loaded model.
struct LoadRequest {
  std::string model;
  // Empty for the model itself.
  std::string adapter;
  // Requests waiting for the load.
  std::uint32_t waiting = 0;
  // Requests per second for the model at this router, in thousandths.
  std::uint32_t milli_requests = 0;
  // The router's demand for the models and adapters loaded on the engine.
  std::vector<ModelDemand> demands;
  // Endpoints of the routers that coordinate load slots of the weight store:
  // the preferred one first, then the ones to use if it does not answer.
  std::vector<std::string> slot_coordinators;
};

// Controller to the routers that recently sent load requests: the state of its
// engine, sent on every change.
struct EngineUpdate {
  // Without the copies on disk and in memory, which the list of workers has.
  EngineContents contents;
  // Pending loads, including the one being executed, the next one first.
  std::vector<std::string> queued;
  // The engine is executing an order.
  bool busy = false;
  // Requests queued in the engine.
  std::uint32_t waiting = 0;
};

}  // namespace boragepick
