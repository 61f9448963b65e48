// What routers and the controller beside an engine say to each other. Each
// message may be lost or doubled: asks are repeated while they matter, news
// carries the whole state.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "common/time.h"
#include "core/serving/worker_entry.h"

namespace boragepick {

// What it is worth to an asker to keep a loaded model or adapter where it is.
struct ModelValue {
  // "model" or "model/adapter".
  std::string model;
  // Requests a second that would have to wait for a load, in thousandths.
  std::uint32_t milli_requests = 0;
  // Requests of the asker that run there with them.
  std::uint32_t running = 0;
};

// Router to controller: have a model, or an adapter of a loaded one, loaded.
struct LoadRequest {
  std::string model;
  // Empty for the model itself.
  std::string adapter;
  // Requests that wait for it.
  std::uint32_t waiting = 0;
  // Requests a second for the model at the asker, in thousandths.
  std::uint32_t milli_requests = 0;
  // What the asker makes of the models and adapters that are loaded there.
  std::vector<ModelValue> values;
  // Endpoints of the routers that divide the places at the weight store: the
  // first one, and who is asked when it is silent.
  std::vector<std::string> slot_coordinators;
};

// Controller to the routers that asked it lately, whenever something changes.
struct EngineUpdate {
  // Without the copies on disk and in memory, which the list of workers tells.
  EngineContents contents;
  // Asks that wait or are being carried out, the next one first.
  std::vector<std::string> queued;
  // The engine is carrying out an order.
  bool busy = false;
  // Requests that wait in the engine.
  std::uint32_t waiting = 0;
};

}  // namespace boragepick
