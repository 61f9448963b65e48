// Simulates routers, controllers and engines of a small fleet in virtual time.
// The routers and controllers are the production code; the engines and the
// weight store are simulated. Messages are delayed and may be lost, and a
// router may stop responding.
#pragma once

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "common/hashing.h"
#include "common/random.h"
#include "core/engine/engine_controller.h"
#include "core/scheduling/slot_semaphore.h"
#include "core/serving/load_planner.h"
#include "core/serving/serving_router.h"

namespace boragepick {

// Concurrent loads share the store evenly. With more than `full_speed` of them,
// each takes proportionally longer.
class SimulatedWeightStore {
 public:
  explicit SimulatedWeightStore(std::size_t full_speed)
      : m_full_speed(full_speed) {}

  void Begin(const std::string& engine, Duration work) {
    m_left[engine] = ToSeconds(work);
    m_most = std::max(m_most, m_left.size());
  }
  void Drop(const std::string& engine) { m_left.erase(engine); }
  // Whether the engine's load is done.
  bool Done(const std::string& engine) const {
    const auto found = m_left.find(engine);
    return found != m_left.end() && found->second <= 0;
  }
  void Pass(Duration time) {
    const double speed =
        std::min(1.0, static_cast<double>(m_full_speed) /
                          std::max(1.0, static_cast<double>(m_left.size())));
    for (auto& [engine, left] : m_left)
      left -= ToSeconds(time) * speed;
  }

  // The most loads that were under way at once.
  std::size_t most() const { return m_most; }

 private:
  std::size_t m_full_speed;
  std::map<std::string, double> m_left;
  std::size_t m_most = 0;
};

// Carries out one order at a time. An unload waits for the runs of its model,
// and copies of weights stay cached in the VM's memory and on its disk.
class SimulatedEngine {
 public:
  SimulatedEngine(std::string id,
                  const EngineSpec& spec,
                  SimulatedWeightStore& store)
      : m_id(std::move(id)), m_spec(spec), m_store(store) {}

  EngineContents contents{.born = 1};

  OrderOutcome Order(TimePoint now, const EngineOrder& order) {
    if (down || m_order || order.precondition != m_orders)
      return down ? OrderOutcome::kUnknown : OrderOutcome::kRefused;
    const bool for_model = order.adapter.empty();
    const bool loads = order.kind == EngineOrderKind::kLoad;
    if (loads == contents.Holds(order.model, order.adapter))
      return OrderOutcome::kNoChange;
    ++m_orders;
    m_order = order;
    m_done_at = now + std::chrono::milliseconds(15);
    m_from_store = false;
    if (for_model && loads) {
      const EngineModel& model = m_spec.models.at(order.model);
      const WeightsSource source = contents.SourceOf(order.model);
      m_from_store = source == WeightsSource::kStore;
      if (m_from_store)
        m_store.Begin(m_id, model.load_from_store);
      m_done_at =
          now + (source == WeightsSource::kMemory ? model.load_from_memory
                                                  : model.load_from_disk);
    }
    return OrderOutcome::kAccepted;
  }

  void Pass(TimePoint now) {
    if (!m_order)
      return;
    const bool done = m_from_store ? m_store.Done(m_id) : now >= m_done_at;
    const bool in_use = m_order->kind == EngineOrderKind::kUnload &&
                        m_order->adapter.empty() && running[m_order->model] > 0;
    if (!done || in_use)
      return;
    if (m_from_store)
      m_store.Drop(m_id);
    Complete(*std::exchange(m_order, std::nullopt));
  }

  // The engine loses everything except its disk, including the order that is
  // under way.
  void Crash() {
    down = true;
    m_store.Drop(m_id);
    m_order.reset();
    running.clear();
    contents.models.clear();
    contents.in_memory.clear();
    m_orders = 0;
  }
  void Restart() {
    down = false;
    ++contents.born;
  }

  EngineReport Report() const {
    return {.contents = contents,
            .accepted_orders = m_orders,
            .busy = m_order && m_order->adapter.empty()};
  }
  // Requests for a model that is being unloaded are refused.
  bool Accepts(const std::string& model, const std::string& adapter) const {
    const bool unloading =
        m_order && m_order->kind == EngineOrderKind::kUnload &&
        m_order->model == model &&
        (m_order->adapter.empty() || m_order->adapter == adapter);
    return !down && !unloading && contents.Holds(model, adapter);
  }

  bool down = false;
  // Number of running requests by model.
  std::map<std::string, int> running;

 private:
  void Complete(const EngineOrder& order) {
    if (order.kind == EngineOrderKind::kUnload)
      return contents.Drop(order.model, order.adapter);
    if (order.adapter.empty()) {
      contents.models.push_back({.name = order.model, .version = 1});
      for (auto* copies : {&contents.in_memory, &contents.on_disk}) {
        std::erase(*copies, order.model);
        copies->push_back(order.model);
      }
      if (contents.in_memory.size() > kCopiesInMemory)
        contents.in_memory.erase(contents.in_memory.begin());
      return;
    }
    const auto model =
        std::ranges::find(contents.models, order.model, &LoadedModel::name);
    if (model != contents.models.end())
      model->adapters.push_back(order.adapter);
  }

  static constexpr std::size_t kCopiesInMemory = 2;

  std::string m_id;
  const EngineSpec& m_spec;
  SimulatedWeightStore& m_store;
  std::uint64_t m_orders = 0;
  std::optional<EngineOrder> m_order;
  TimePoint m_done_at;
  bool m_from_store = false;
};

struct FleetSimulationOptions {
  std::size_t engines = 8;
  std::size_t routers = 3;
  std::size_t models = 20;
  // Number of engines that have each model on disk.
  std::size_t copies = 1;
  // Percentage of the messages between processes that is lost.
  std::size_t lost_percent = 0;
  std::size_t store_full_speed = 2;
  // The routers' setting for concurrent loads from the store; 0 means that they
  // determine it themselves.
  std::size_t store_loads = 2;
  std::uint64_t seed = 1;
  // The engines are spread over this many data centres "a", "b" and so on.
  std::size_t data_centres = 1;
};

// Counts the requests for one model or adapter.
struct RequestStats {
  int requested = 0;
  int served = 0;
  TimePoint first = kNever;
  TimePoint last;
};

class FleetSimulation {
 public:
  explicit FleetSimulation(const FleetSimulationOptions& options)
      : m_options(options),
        m_random(options.seed),
        m_store(options.store_full_speed) {
    m_spec = {.slots = 32, .memory_mb = 83'000, .adapter_slots = 8};
    for (std::size_t i = 0; i < options.models; ++i) {
      const std::string name = ModelName(i);
      m_spec.models[name] = {
          .name = name,
          .memory_mb = i % 2 == 0 ? 34'300.0 : 16'100.0,
          .load_from_store = std::chrono::milliseconds(7'800),
          .adapter_mb = 40};
    }
    for (std::size_t i = 0; i < options.engines; ++i)
      AddEngine(i);
    for (std::size_t i = 0; i < options.routers; ++i)
      AddRouter(i);
    for (std::size_t i = 0; i < options.models; ++i) {
      for (std::size_t copy = 0; copy < options.copies; ++copy) {
        EngineContents& contents =
            m_nodes[(i + copy * 3) % options.engines]->engine.contents;
        contents.on_disk.push_back(ModelName(i));
      }
    }
    Announce();
  }

  static std::string ModelName(std::size_t index) {
    return "m" + std::to_string(index);
  }

  // Sends a request for a model, or an adapter of it, to a random router.
  void Arrive(const std::string& model, const std::string& adapter = "") {
    Router& router = RandomRouter();
    const RequestId id = ++m_last_request;
    ServingRequest request{.id = id,
                           .trace_id = "t" + std::to_string(id),
                           .method = "POST",
                           .target = "/",
                           .host = "h.example",
                           .timeout = std::chrono::seconds(20),
                           .model = model,
                           .adapter = adapter,
                           .prompt_tokens = 100,
                           .max_tokens = 50};
    m_names[id] = WeightsName(model, adapter);
    RequestStats& stats = m_stats[m_names[id]];
    ++stats.requested;
    stats.first = std::min(stats.first, m_now);
    stats.last = m_now;
    Feed(router,
         RequestArrived{.request = std::make_shared<const ServingRequest>(
                            std::move(request))});
  }

  void Pass(Duration duration) {
    const TimePoint until = m_now + duration;
    while (m_now < until) {
      m_now += kStep;
      m_store.Pass(kStep);
      while (!m_later.empty() && m_later.top().at <= m_now) {
        const auto action = m_later.top().action;
        m_later.pop();
        action();
      }
      for (auto& node : m_nodes) {
        node->engine.Pass(m_now);
        if (node->controller.NextTick(m_now) <= m_now)
          Feed(*node, ControllerTicked{});
      }
      for (auto& router : m_routers) {
        if (!router->silent && router->machine.NextTick(m_now) <= m_now)
          Feed(*router, ServingTicked{});
      }
      if (m_now >= m_next_announcement)
        Announce();
    }
  }

  void Crash(std::size_t engine, Duration down) {
    Node& node = *m_nodes[engine];
    node.engine.Crash();
    ++node.restarts;
    for (auto& router : m_routers)
      Feed(*router, WorkerUnlisted{.id = node.id});
    After(down, [this, &node] {
      node.engine.Restart();
      Announce();
    });
  }

  // The operator asks to evacuate a data centre. The routers learn of it one
  // after the other.
  void Evacuate(const std::string& data_centre) {
    m_evacuated_at[data_centre] = m_now;
    for (auto& router : m_routers) {
      After(m_options.data_centres * kNetworkDelay *
                static_cast<int>(m_random.Below(100)),
            [this, &router, data_centre] {
              Feed(*router, EvacuationRequested{.data_centre = data_centre});
            });
    }
  }
  // Requests that were sent to an evacuated data centre after the bound.
  int late_requests() const { return m_late_requests; }

  // The router that is the slot coordinator of the weight store stops
  // responding, but stays in the other routers' lists.
  void SilenceSlotCoordinator() {
    std::vector<std::string> vms;
    for (const auto& router : m_routers)
      vms.push_back(router->vm);
    const std::string coordinator =
        RendezvousOrder(kStoreLoadPool, vms).front();
    for (auto& router : m_routers)
      router->silent = router->silent || router->vm == coordinator;
  }

  // Returns the part of the requests since the last call that were served.
  double ServedPart() {
    int requested = 0;
    int served = 0;
    for (const auto& [name, stats] : std::exchange(m_stats, {})) {
      requested += stats.requested;
      served += stats.served;
    }
    return static_cast<double>(served) / std::max(1, requested);
  }
  // Returns the models and adapters that were requested at least four times
  // over at least eight seconds and never served.
  std::vector<std::string> Starved() const {
    std::vector<std::string> starved;
    for (const auto& [name, stats] : m_stats) {
      const bool requested_steadily =
          stats.requested >= 4 &&
          stats.last - stats.first >= std::chrono::seconds(8);
      if (requested_steadily && stats.served == 0)
        starved.push_back(name);
    }
    return starved;
  }
  const SimulatedWeightStore& store() const { return m_store; }
  Random& random() { return m_random; }

 private:
  static constexpr Duration kStep = std::chrono::milliseconds(5);
  static constexpr Duration kNetworkDelay = std::chrono::milliseconds(5);
  static constexpr Duration kRunTime = std::chrono::milliseconds(400);
  static constexpr Duration kHeartbeat = std::chrono::milliseconds(1'200);
  static constexpr std::uint16_t kControllerPort = 7;

  struct Node {
    Node(std::string name,
         std::string host,
         const EngineSpec& spec,
         SimulatedWeightStore& store)
        : id(std::move(name)),
          ip(std::move(host)),
          engine(id, spec, store),
          controller(id) {}
    std::string id;
    std::string ip;
    SimulatedEngine engine;
    EngineController controller;
    // Number of restarts of the engine. Requests that started before a restart
    // are broken.
    int restarts = 0;
  };
  struct Router {
    Router(std::string name, std::string at, std::size_t store_loads)
        : vm(std::move(name)),
          endpoint(std::move(at)),
          machine({.vm = vm,
                   .data_centre = "a",
                   .endpoint = endpoint,
                   .controller_port = kControllerPort,
                   .store_loads = store_loads,
                   .retry_reserve = 1'000}) {}
    std::string vm;
    std::string endpoint;
    ServingRouter machine;
    bool silent = false;
    std::set<AttemptNumber> cancelled;
  };
  struct Later {
    TimePoint at;
    std::uint64_t order = 0;
    std::function<void()> action;
    bool operator<(const Later& other) const {
      return std::tie(at, order) > std::tie(other.at, other.order);
    }
  };

  // Returns a random router that is not silent.
  Router& RandomRouter() {
    while (true) {
      Router& router = *m_routers[m_random.Below(m_routers.size())];
      if (!router.silent)
        return router;
    }
  }

  void After(Duration delay, std::function<void()> action) {
    m_later.push({m_now + delay, ++m_last_action, std::move(action)});
  }

  void AddEngine(std::size_t index) {
    m_nodes.push_back(std::make_unique<Node>("w" + std::to_string(index),
                                             "10.0.0." + std::to_string(index),
                                             m_spec, m_store));
    Feed(*m_nodes.back(), EngineSpecReceived{.spec = m_spec});
    Feed(*m_nodes.back(), FenceReceived{.fence = 7});
  }

  void AddRouter(std::size_t index) {
    m_routers.push_back(std::make_unique<Router>(
        "r" + std::to_string(index), "10.1.0." + std::to_string(index) + ":7",
        m_options.store_loads));
    Router& router = *m_routers.back();
    ServingConfig config{.version = 1};
    config.routes = {{.name = "review",
                      .host = "h.example",
                      .prefix = "/",
                      .kind = RequestKind::kStream,
                      .timeout = std::chrono::seconds(20),
                      .target_latency = std::chrono::milliseconds(2'500),
                      .splits = {{.service = "engines"}},
                      .is_public = true}};
    config.services["engines"] = {
        .name = "engines", .max_connections = 700, .engine = m_spec};
    Feed(router, ConfigReceived{.config = std::make_shared<const ConfigIndex>(
                                    std::move(config))});
    Feed(router, IncarnationReceived{.incarnation = 1});
    for (const auto& one : m_routers) {
      for (const auto& other : m_routers)
        Feed(*one, RouterRecordReceived{
                       .record = {.vm = other->vm,
                                  .data_centre = "a",
                                  .endpoint = other->endpoint,
                                  .incarnation = 1},
                       .revision = static_cast<Revision>(index + 1)});
    }
  }

  void Announce() {
    m_next_announcement = m_now + kHeartbeat;
    for (auto& router : m_routers) {
      for (const auto& node : m_nodes) {
        if (node->engine.down)
          continue;
        Feed(*router,
             WorkerListed{.entry = {.id = node->id,
                                    .service = "engines",
                                    .address = node->ip + ":80",
                                    .data_centre = DataCentre(node->id),
                                    .slots = m_spec.slots,
                                    .contents = node->engine.contents}});
      }
      if (m_options.data_centres > 1 && m_evacuated_at.empty())
        Feed(*router, ConfigConfirmed{.at = m_now});
    }
  }

  std::string DataCentre(const std::string& engine) const {
    const std::size_t index = std::stoul(engine.substr(1));
    return std::string(1,
                       static_cast<char>('a' + index % m_options.data_centres));
  }

  void Feed(Node& node, ControllerEvent event) {
    std::deque<ControllerEvent> events{std::move(event)};
    while (!events.empty()) {
      ControllerEvent next = std::move(events.front());
      events.pop_front();
      for (ControllerEffect& effect :
           node.controller.Handle(m_now, std::move(next))) {
        if (std::holds_alternative<ReadReport>(effect)) {
          events.push_back(
              ReportRead{.report = node.engine.down
                                       ? std::nullopt
                                       : std::optional(node.engine.Report())});
        } else if (const auto* order = std::get_if<SendEngineOrder>(&effect)) {
          events.push_back(EngineOrderAnswered{
              .outcome = node.engine.Order(m_now, order->order)});
        } else if (auto* sent = std::get_if<SendToEndpoint>(&effect)) {
          Deliver(
              PeerSender{
                  .vm = node.id, .incarnation = 1, .endpoint = node.ip + ":7"},
              std::move(*sent));
        }
      }
    }
  }

  void Feed(Router& router, ServingEvent event) {
    for (ServingEffect& effect :
         router.machine.Handle(m_now, std::move(event))) {
      if (auto* attempt = std::get_if<SendAttempt>(&effect)) {
        Run(router, *attempt);
      } else if (const auto* gone = std::get_if<CancelAttempt>(&effect)) {
        router.cancelled.insert(gone->attempt);
      } else if (auto* sent = std::get_if<SendToEndpoint>(&effect)) {
        Deliver(
            PeerSender{
                .vm = router.vm, .incarnation = 1, .endpoint = router.endpoint},
            std::move(*sent));
      } else if (const auto* ended = std::get_if<EndResponse>(&effect)) {
        ++m_stats[m_names.at(ended->id)].served;
      } else if (const auto* whole = std::get_if<SendResponse>(&effect)) {
        if (whole->head.status == 200)
          ++m_stats[m_names.at(whole->id)].served;
      }
    }
  }

  void Deliver(PeerSender from, SendToEndpoint sent) {
    if (m_random.Below(100) < m_options.lost_percent)
      return;
    After(kNetworkDelay, [this, from, sent] {
      for (auto& router : m_routers) {
        if (router->endpoint == sent.endpoint && !router->silent)
          Feed(*router,
               PeerMessageReceived{.from = from, .message = sent.message});
      }
      for (auto& node : m_nodes) {
        if (node->ip + ":7" == sent.endpoint)
          Feed(*node,
               PeerMessageReceived{.from = from, .message = sent.message});
      }
    });
  }

  void Run(Router& router, const SendAttempt& attempt) {
    const auto found = std::ranges::find_if(
        m_nodes, [&](const auto& node) { return node->id == attempt.worker; });
    Node& node = **found;
    const auto evacuated = m_evacuated_at.find(DataCentre(node.id));
    if (evacuated != m_evacuated_at.end() &&
        m_now - evacuated->second > std::chrono::seconds(4))
      ++m_late_requests;
    const AttemptNumber number = attempt.attempt;
    const std::string model = attempt.request->model;
    const std::string adapter = attempt.request->adapter;
    After(kNetworkDelay, [this, &router, &node, number, model, adapter] {
      if (node.engine.down)
        return Feed(router, AttemptFailed{.attempt = number,
                                          .failure = AttemptFailure::kNotSent});
      if (!node.engine.Accepts(model, adapter))
        return Feed(router, AttemptHeadReceived{.attempt = number,
                                                .head = {.status = 421,
                                                         .not_executed = true,
                                                         .is_signed = true}});
      ++node.engine.running[model];
      After(kRunTime,
            [this, &router, &node, number, model, restarts = node.restarts] {
              if (restarts != node.restarts)
                return Feed(router, AttemptFailed{.attempt = number});
              --node.engine.running[model];
              Feed(router, AttemptHeadReceived{
                               .attempt = number,
                               .head = {.status = 200, .is_signed = true}});
              Feed(router, AttemptBodyReceived{.attempt = number,
                                               .bytes = "id: 1\ndata: x\n\n"});
              Feed(router, AttemptCompleted{.attempt = number});
            });
    });
  }

  FleetSimulationOptions m_options;
  Random m_random;
  EngineSpec m_spec;
  SimulatedWeightStore m_store;
  TimePoint m_now = TimePoint(std::chrono::seconds(1'000));
  TimePoint m_next_announcement;
  std::vector<std::unique_ptr<Node>> m_nodes;
  std::vector<std::unique_ptr<Router>> m_routers;
  std::priority_queue<Later> m_later;
  std::uint64_t m_last_action = 0;
  RequestId m_last_request = 0;
  std::map<RequestId, std::string> m_names;
  std::map<std::string, RequestStats> m_stats;
  std::map<std::string, TimePoint> m_evacuated_at;
  int m_late_requests = 0;
};

}  // namespace boragepick
