#include "core/serving/worker_choice.h"

#include <algorithm>

namespace boragepick {

namespace {

// Prompt tokens that an engine reads in a millisecond: of the order of today's
// accelerators; only the relation to the other constants matters.
constexpr double kTokensReadPerMs = 19;
// What each running request adds to the first token of the next one.
constexpr Duration kCostOfRunning = std::chrono::microseconds(1'500);
// A request that waits in the engine has its prompt to be read first.
constexpr Duration kCostOfWaiting = std::chrono::milliseconds(25);
// A plain service's worker runs few at once, so each counts for more.
constexpr Duration kCostOfPlainRunning = std::chrono::milliseconds(10);
// Another data centre costs a round trip, and bytes between them are dear.
constexpr Duration kCostOfDistance = std::chrono::milliseconds(12);
// A worker at which every request fails costs as much as a late answer.
constexpr Duration kCostOfFailing = std::chrono::seconds(3);
constexpr Duration kUsualStart = std::chrono::milliseconds(40);

}  // namespace

Duration ReadingTime(std::int64_t tokens) {
  return std::chrono::microseconds(static_cast<std::int64_t>(
      static_cast<double>(tokens) * 1'000 / kTokensReadPerMs));
}

Duration LeastExpectedDelay::Cost(const WorkerChoiceInput& input,
                                  const Worker& worker) const {
  Duration cost = kUsualStart;
  if (input.weights.empty()) {
    cost += kCostOfPlainRunning * worker.running;
  } else {
    const std::int64_t prompt = input.request.prompt_tokens.value_or(0);
    const std::int64_t known =
        worker.prompts.KnownTokens(input.weights, input.request.prompt);
    cost += ReadingTime(worker.unread_tokens +
                        std::max<std::int64_t>(0, prompt - known));
    cost += kCostOfRunning * worker.running;
    cost += kCostOfWaiting * worker.engine_waiting;
  }
  cost = std::chrono::duration_cast<Duration>(
      cost * std::clamp(worker.slowness, 0.5, 20.0));
  if (worker.entry.data_centre != input.data_centre)
    cost += kCostOfDistance;
  cost += std::chrono::duration_cast<Duration>(kCostOfFailing *
                                               worker.failure_share);
  return cost;
}

Duration LeastRunning::Cost(const WorkerChoiceInput& /*input*/,
                            const Worker& worker) const {
  return std::chrono::milliseconds(1) * worker.running;
}

}  // namespace boragepick
