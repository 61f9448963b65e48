// What RequestTable has loaded: the models and adapters of waiting requests,
// and those that will be asked for.
#include <algorithm>

#include "core/serving/request_table.h"

namespace boragepick {

namespace {

// Loads from the weight store that a router asks for before anybody needs them;
// how many run at once is for the places there to say.
constexpr std::size_t kMaxStorePreloads = 4;
// Loads into free memory begun at a time.
constexpr std::size_t kMaxLocalPreloads = 12;
// Another worker should load a model whose holders make a request wait longer.
constexpr Duration kReplicationDelay = std::chrono::milliseconds(250);

}  // namespace

void RequestTable::DispatchToEngine(TimePoint now,
                                    Exchange& exchange,
                                    const EngineSpec& engine,
                                    std::vector<Worker*> workers) {
  const ServingRequest& request = *exchange.request;
  std::vector<Worker*> holders;
  for (Worker* worker : workers) {
    const bool holds = worker->contents.Holds(request.model, request.adapter) &&
                       !exchange.tried_workers.contains(worker->entry.id);
    if (holds)
      holders.push_back(worker);
  }
  const WorkerChoice choice = ChooseWorker(m_policy, MakeChoiceInput(exchange),
                                           std::span<Worker* const>(holders));
  if (choice.worker == nullptr) {
    RequestWeights(now, exchange, engine);
    return Hold(now, exchange, "model_not_loaded");
  }
  if (choice.cost > kReplicationDelay && request.adapter.empty())
    RequestWeights(now, exchange, engine);
  else
    m_load_planner.Settle(request.model, request.adapter);
  SendTo(now, exchange, choice);
}

void RequestTable::RequestWeights(TimePoint now,
                                  const Exchange& exchange,
                                  const EngineSpec& engine) {
  const ServingRequest& request = *exchange.request;
  const std::vector<Worker*> workers = ReadyWorkers(exchange.service);
  const bool model_loaded =
      std::ranges::any_of(workers, [&request](const Worker* worker) {
        return worker->contents.Find(request.model) != nullptr;
      });
  RequestLoad(now, engine, workers,
              {.model = request.model,
               .adapter = model_loaded ? request.adapter : std::string(),
               .waiting = HeldRequestCount(exchange.weights)},
              request.trace_id);
}

void RequestTable::RequestLoad(TimePoint now,
                               const EngineSpec& engine,
                               const std::vector<Worker*>& workers,
                               const WeightsNeed& need,
                               const std::string& reason) {
  const auto planned = m_load_planner.Plan(now, engine, workers, need);
  if (!planned)
    return;
  // why: asking the same worker again is no new decision
  if (!planned->again)
    LogLoadRequest(need, *planned, reason);
  LoadAsk ask = planned->ask;
  ask.slot_keepers = m_state.fleet.SlotKeepers();
  m_state.Emit(SendToEndpoint{
      .endpoint = IpOf(planned->address) + ":" +
                  std::to_string(m_state.options.controller_port),
      .message = std::move(ask)});
}

void RequestTable::LogLoadRequest(const WeightsNeed& need,
                                  const PlannedLoad& planned,
                                  const std::string& reason) {
  m_state.Log(
      LogEvent::kLoadAsked,
      {{"request", reason},
       {"weights", WeightsName(planned.ask.model, planned.ask.adapter)},
       {"worker", planned.worker},
       {"from", planned.ask.adapter.empty()
                    ? std::string(kWeightsSourceNames.Name(planned.source))
                    : "adapter"},
       {"waiting", std::to_string(need.waiting)},
       {"expected_ms", MillisecondsText(planned.expected)}});
}

void RequestTable::PreloadModels(TimePoint now) {
  if (!m_state.config)
    return;
  for (const auto& [name, service] : m_state.config->config().services) {
    if (!service.engine)
      continue;
    const std::vector<Worker*> workers = ReadyWorkers(name);
    const std::span<Worker* const> all(workers);
    std::vector<std::string> missing =
        LoadPlanner::NowhereAtHand(*service.engine, all);
    if (missing.size() > kMaxStorePreloads)
      missing.resize(kMaxStorePreloads);
    // why: these count as waited for, so that they may take another's place
    for (const std::string& model : missing)
      RequestLoad(now, *service.engine, workers, {.model = model, .waiting = 1},
                  "preparation");
    std::vector<std::string> idle =
        LoadPlanner::WorthLoading(*service.engine, all);
    if (idle.size() > kMaxLocalPreloads)
      idle.resize(kMaxLocalPreloads);
    for (const std::string& model : idle)
      RequestLoad(now, *service.engine, workers, {.model = model},
                  "preparation");
  }
}

}  // namespace boragepick
