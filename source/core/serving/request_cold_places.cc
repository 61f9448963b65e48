// RequestTable's requests that wait for places at cold workers.
#include <algorithm>
#include <tuple>

#include "core/serving/request_table.h"

namespace boragepick {

bool RequestTable::AwaitColdPlace(TimePoint now, Exchange& exchange) {
  ColdWorkers& cold = m_state.cold_workers;
  if (!cold.IsActive())
    return false;
  const ServingRequest& request = *exchange.request;
  const std::uint32_t limit = ConnectionLimit(exchange);
  std::vector<Worker*> workers = ReadyWorkers(exchange);
  std::erase_if(workers, [&](const Worker* worker) {
    return !worker->IsUsable(now) || worker->running >= limit ||
           !cold.IsCold(now, worker->entry.id) ||
           exchange.tried_workers.contains(worker->entry.id) ||
           (!exchange.weights.empty() &&
            !worker->contents.Holds(request.model, request.adapter));
  });
  if (workers.empty())
    return false;
  const WorkerChoiceInput input = MakeChoiceInput(exchange);
  const Worker& worker =
      **std::ranges::min_element(workers, {}, [&](const Worker* candidate) {
        const std::string& id = candidate->entry.id;
        // A request keeps its turn at a worker.
        return std::tuple(
            cold.IsOwnerSilent(now, id), !cold.IsWaiting(id, request.id),
            cold.ExpectedWait(now, id), m_policy.Cost(input, *candidate));
      });
  const std::string& id = worker.entry.id;
  const ServingService* service =
      exchange.config->FindService(exchange.service);
  if (service != nullptr && service->engine && !exchange.weights.empty()) {
    const auto model = service->engine->models.find(request.model);
    if (model != service->engine->models.end() &&
        cold.RemainingTime(now, id) > model->second.load_from_store)
      RequestWeights(now, exchange, *service->engine);
  }
  const Duration wait = cold.ExpectedWait(now, id);
  const TimePoint limit_at =
      std::min(exchange.deadline, exchange.arrived + HoldLimit(exchange));
  if (now + wait > limit_at && !exchange.head_sent &&
      exchange.possible_runs == 0) {
    Refuse(now, exchange, ServingRefusal::kWorkersFull, wait);
    return true;
  }
  cold.Await(
      now, id,
      {.id = request.id,
       .urgency = static_cast<std::uint32_t>(std::max(0, exchange.urgency)),
       .prompt_tokens =
           static_cast<std::uint32_t>(request.prompt_tokens.value_or(0))});
  Hold(now, exchange, WaitReason::kColdPlace);
  return true;
}

}  // namespace boragepick
