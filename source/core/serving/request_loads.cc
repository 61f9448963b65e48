// RequestTable's load requests: for the models and adapters of held requests,
// and for models loaded in advance.
#include <algorithm>

#include "common/hashing.h"
#include "core/serving/request_table.h"

namespace boragepick {

namespace {

// Loads from the weight store that a router requests in advance at a time. The
// load slots of the weight store limit how many run concurrently.
constexpr std::size_t kMaxStorePreloads = 4;
// Loads into free memory requested in advance at a time.
constexpr std::size_t kMaxLocalPreloads = 12;
// The next router requests the load too if the model is not there after this
// time, because the first one may be cut off.
constexpr Duration kPreloadTurn = std::chrono::seconds(4);
// The turns of a model that still needs a load begin anew after this time.
constexpr Duration kPreloadExpiry = std::chrono::minutes(10);
// If the expected delay at all workers that have the model loaded is longer
// than this, another worker should load it too.
constexpr Duration kReplicationDelayThreshold = std::chrono::milliseconds(250);

}  // namespace

void RequestTable::DispatchToEngine(TimePoint now,
                                    Exchange& exchange,
                                    const EngineSpec& engine,
                                    std::vector<Worker*> workers) {
  const ServingRequest& request = *exchange.request;
  std::vector<Worker*> loaded_workers;
  for (Worker* worker : workers) {
    const bool has_weights =
        worker->contents.Holds(request.model, request.adapter) &&
        !exchange.tried_workers.contains(worker->entry.id);
    if (has_weights)
      loaded_workers.push_back(worker);
  }
  const WorkerChoice choice =
      ChooseWorker(m_policy, MakeChoiceInput(exchange),
                   std::span<Worker* const>(loaded_workers));
  if (choice.worker == nullptr) {
    if (AwaitColdPlace(now, exchange))
      return;
    // Requested in any case, since the answer shows that controllers are back.
    RequestWeights(now, exchange, engine);
    if (CanNeverLoad(now, exchange))
      return Refuse(now, exchange, ServingRefusal::kModelNotLoaded);
    return Hold(now, exchange, WaitReason::kWeights);
  }
  if ((choice.cost > kReplicationDelayThreshold && request.adapter.empty()) ||
      IsEvacuated(*choice.worker))
    RequestWeights(now, exchange, engine);
  else
    m_load_planner.ClearPendingLoad(request.model, request.adapter,
                                    exchange.allowed_regions.Text());
  SendTo(now, exchange, choice);
}

bool RequestTable::CanNeverLoad(TimePoint now, const Exchange& exchange) {
  if (exchange.head_sent || exchange.possible_runs > 0)
    return false;
  const ServingRequest& request = *exchange.request;
  const std::vector<Worker*> workers = ReadyWorkers(exchange);
  const bool is_loaded =
      std::ranges::any_of(workers, [&request](const Worker* worker) {
        return worker->contents.Holds(request.model, request.adapter);
      });
  return !is_loaded && !m_load_planner.HasControllers(now, workers);
}

void RequestTable::RequestWeights(TimePoint now,
                                  const Exchange& exchange,
                                  const EngineSpec& engine) {
  const ServingRequest& request = *exchange.request;
  const std::vector<Worker*> workers = ReadyWorkers(exchange);
  const bool model_loaded =
      std::ranges::any_of(workers, [&request](const Worker* worker) {
        return worker->contents.Find(request.model) != nullptr;
      });
  RequestLoad(now, engine, workers,
              {.model = request.model,
               .adapter = model_loaded ? request.adapter : std::string(),
               .waiting = HeldRequestCount(exchange.weights),
               .regions = exchange.allowed_regions.Text()},
              request.trace_id);
}

void RequestTable::RequestLoad(TimePoint now,
                               const EngineSpec& engine,
                               const std::vector<Worker*>& workers,
                               const LoadTarget& target,
                               const std::string& requester) {
  const auto planned = m_load_planner.Plan(now, engine, workers, target);
  if (!planned)
    return;
  // A load request repeated to the same worker is no new decision to log.
  if (!planned->is_resend)
    LogLoadRequest(target, *planned, requester);
  LoadRequest request = planned->request;
  request.slot_coordinators = m_state.fleet.SlotCoordinators();
  m_state.Emit(SendToEndpoint{
      .endpoint = IpFromAddress(planned->address) + ":" +
                  std::to_string(m_state.options.controller_port),
      .message = std::move(request)});
}

void RequestTable::LogLoadRequest(const LoadTarget& target,
                                  const PlannedLoad& planned,
                                  const std::string& requester) {
  m_state.Log(
      LogEvent::kLoadAsked,
      {{"request", requester},
       {"weights", WeightsName(planned.request.model, planned.request.adapter)},
       {"worker", planned.worker},
       {"from", planned.request.adapter.empty()
                    ? std::string(kWeightsSourceNames.Name(planned.source))
                    : "adapter"},
       {"waiting", std::to_string(target.waiting)},
       {"expected_ms", FormatMilliseconds(planned.expected_time)}});
}

void RequestTable::PreloadModels(TimePoint now) {
  if (!m_state.config)
    return;
  LoadDisplacedModels(now);
  for (const auto& [name, service] : m_state.config->config().services) {
    if (!service.engine)
      continue;
    const std::vector<Worker*> workers = ReadyWorkers(name);
    const std::span<Worker* const> worker_span(workers);
    // `waiting` is 1 so that these loads may evict other models.
    PreloadModels(
        now, *service.engine, workers,
        LoadPlanner::ModelsWithoutLocalCopy(*service.engine, worker_span),
        kMaxStorePreloads, /*waiting=*/1);
    PreloadModels(now, *service.engine, workers,
                  LoadPlanner::ModelsToPreload(*service.engine, worker_span),
                  kMaxLocalPreloads, /*waiting=*/0);
  }
  std::erase_if(m_preload_since, [now](const auto& entry) {
    return now - entry.second > kPreloadExpiry;
  });
}

void RequestTable::PreloadModels(TimePoint now,
                                 const EngineSpec& engine,
                                 const std::vector<Worker*>& workers,
                                 std::vector<std::string> models,
                                 std::size_t limit,
                                 std::uint32_t waiting) {
  models.resize(std::min(models.size(), limit));
  for (const std::string& model : models) {
    if (IsTurnToPreload(now, model))
      RequestLoad(now, engine, workers, {.model = model, .waiting = waiting},
                  "preparation");
  }
}

bool RequestTable::IsTurnToPreload(TimePoint now, const std::string& model) {
  const std::vector<std::string>& routers = m_state.fleet.LiveRouters();
  const auto self = std::ranges::find(routers, m_state.options.vm);
  // Without the list of routers, this one may be the only one.
  if (self == routers.end())
    return true;
  const TimePoint since = m_preload_since.try_emplace(model, now).first->second;
  const auto turn = static_cast<std::uint64_t>((now - since) / kPreloadTurn);
  const auto index = static_cast<std::uint64_t>(self - routers.begin());
  return (StableHash(model) + turn) % routers.size() == index;
}

}  // namespace boragepick
