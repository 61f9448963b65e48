// The choice of a worker for one request among those that could run it.
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

// What a worker would cost a request, as time: the least is chosen.
template <typename P>
concept WorkerPolicy = requires(const P& policy,
                                const WorkerChoiceInput& input,
                                const Worker& worker) {
  { policy.Cost(input, worker) } -> std::same_as<Duration>;
};

// The time until the answer may be expected to begin: what waits before it,
// what of its prompt the worker has to read, and how the worker has fared.
class LeastExpectedDelay {
 public:
  Duration Cost(const WorkerChoiceInput& input, const Worker& worker) const;
};

// The naive policy: the worker with the fewest open requests.
class LeastRunning {
 public:
  Duration Cost(const WorkerChoiceInput& input, const Worker& worker) const;
};

static_assert(WorkerPolicy<LeastExpectedDelay>);
static_assert(WorkerPolicy<LeastRunning>);

struct WorkerChoice {
  Worker* worker = nullptr;
  Duration cost = Duration::max();
};

// The cheapest of `candidates`; no worker when there is none.
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

// The time to read `tokens` of a prompt.
Duration ReadingTime(std::int64_t tokens);

}  // namespace boragepick
