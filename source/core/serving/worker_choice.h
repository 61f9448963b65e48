// Selects a worker for a request from the candidates that can run it.
#pragma once

#include <concepts>
#include <cstdint>
#include <span>
#include <string>

#include "common/time.h"
#include "core/serving/serving_request.h"
#include "core/serving/worker_table.h"

namespace boragepick {

struct WorkerChoiceInput {
  const ServingRequest& request;
  // Model and adapter as one name; empty for a plain service.
  std::string weights;
  std::string data_centre;
};

// A policy assigns each worker a cost in time; the worker with the lowest cost
// is selected.
template <typename P>
concept WorkerPolicy = requires(const P& policy,
                                const WorkerChoiceInput& input,
                                const Worker& worker) {
  { policy.Cost(input, worker) } -> std::same_as<Duration>;
};

// Estimates the time to the first byte of the response from the worker's load,
// the part of the prompt that is not in its prefix cache, and its recent
// latency and failures.
class LeastExpectedDelay {
 public:
  Duration Cost(const WorkerChoiceInput& input, const Worker& worker) const;
};

// Baseline policy: selects the worker with the fewest running requests.
class LeastRequests {
 public:
  Duration Cost(const WorkerChoiceInput& input, const Worker& worker) const;
};

static_assert(WorkerPolicy<LeastExpectedDelay>);
static_assert(WorkerPolicy<LeastRequests>);

struct WorkerChoice {
  Worker* worker = nullptr;
  Duration cost = Duration::max();
};

// Returns the candidate with the lowest cost; its worker is nullptr if there is
// no candidate.
template <WorkerPolicy P>
WorkerChoice ChooseWorker(const P& policy,
                          const WorkerChoiceInput& input,
                          std::span<Worker* const> candidates) {
  WorkerChoice best;
  for (Worker* candidate : candidates) {
    const Duration cost = policy.Cost(input, *candidate);
    if (cost < best.cost)
      best = {.worker = candidate, .cost = cost};
  }
  return best;
}

// Estimated time that an engine takes to process `tokens` prompt tokens.
Duration PrefillTime(std::int64_t tokens);

}  // namespace boragepick
