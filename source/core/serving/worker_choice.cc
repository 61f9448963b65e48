#include "core/serving/worker_choice.h"

#include <algorithm>

namespace boragepick {

namespace {

// Prompt tokens that an engine processes per millisecond, in the order of
// current accelerators. Only the ratio to the other constants matters.
constexpr double kPrefillTokensPerMs = 19;
// Delay that each running request adds to the first token of the next one.
constexpr Duration kCostPerRunningRequest = std::chrono::microseconds(1'500);
// The engine processes the prompt of each waiting request first.
constexpr Duration kCostPerWaitingRequest = std::chrono::milliseconds(25);
// Workers of plain services run few requests at once, so that each one delays
// the next by more.
constexpr Duration kCostPerPlainRequest = std::chrono::milliseconds(10);
// Another data centre adds a round trip, and traffic between data centres is
// expensive.
constexpr Duration kCostOfOtherDataCentre = std::chrono::milliseconds(12);
// Cost of a worker at which every request fails: that of a late response.
constexpr Duration kCostOfFailures = std::chrono::seconds(3);
constexpr Duration kBaseDelay = std::chrono::milliseconds(40);

}  // namespace

Duration PrefillTime(std::int64_t tokens) {
  return std::chrono::microseconds(static_cast<std::int64_t>(
      static_cast<double>(tokens) * 1'000 / kPrefillTokensPerMs));
}

Duration LeastExpectedDelay::Cost(const WorkerChoiceInput& input,
                                  const Worker& worker) const {
  Duration cost = kBaseDelay;
  if (input.weights.empty()) {
    cost += kCostPerPlainRequest * worker.running;
  } else {
    const std::int64_t prompt = input.request.prompt_tokens.value_or(0);
    const std::int64_t cached =
        worker.prefix_cache.CachedTokens(input.weights, input.request.prompt);
    cost += PrefillTime(worker.pending_prefill_tokens +
                        std::max<std::int64_t>(0, prompt - cached));
    cost += kCostPerRunningRequest * worker.running;
    cost += kCostPerWaitingRequest * worker.engine_waiting;
  }
  cost = std::chrono::duration_cast<Duration>(
      cost * std::clamp(worker.latency_ratio, 0.5, 20.0));
  if (worker.entry.data_centre != input.data_centre)
    cost += kCostOfOtherDataCentre;
  cost += std::chrono::duration_cast<Duration>(kCostOfFailures *
                                               worker.failure_rate);
  return cost;
}

Duration LeastRequests::Cost(const WorkerChoiceInput& /*input*/,
                             const Worker& worker) const {
  return std::chrono::milliseconds(1) * worker.running;
}

}  // namespace boragepick
