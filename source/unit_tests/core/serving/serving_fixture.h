// A serving router in virtual time with a small deployment: one engine service
// with three workers and one plain service with two.
#pragma once

#include <algorithm>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "core/serving/serving_router.h"

namespace boragepick {

inline ServingConfig SmallConfig() {
  ServingConfig config{.version = 1};
  config.routes = {{.name = "ask",
                    .host = "h.example",
                    .prefix = "/ask/",
                    .kind = RequestKind::kStream,
                    .resumable = true,
                    .target_latency = std::chrono::milliseconds(600),
                    .splits = {{.service = "engines"}},
                    .max_attempts = 2},
                   {.name = "review",
                    .host = "h.example",
                    .prefix = "/review/",
                    .kind = RequestKind::kStream,
                    .target_latency = std::chrono::milliseconds(2'500),
                    .splits = {{.service = "engines"}}},
                   {.name = "book",
                    .host = "h.example",
                    .prefix = "/book/",
                    .kind = RequestKind::kNonIdempotent,
                    .timeout = std::chrono::milliseconds(600),
                    .target_latency = std::chrono::milliseconds(100),
                    .splits = {{.service = "plain"}}},
                   {.name = "read",
                    .host = "h.example",
                    .prefix = "/read/",
                    .kind = RequestKind::kIdempotent,
                    .timeout = std::chrono::milliseconds(600),
                    .target_latency = std::chrono::milliseconds(100),
                    .splits = {{.service = "plain"}},
                    .max_attempts = 2},
                   {.name = "open",
                    .host = "h.example",
                    .prefix = "/open/",
                    .kind = RequestKind::kIdempotent,
                    .splits = {{.service = "plain"}},
                    .max_attempts = 2,
                    .open_to_all = true}};
  EngineSpec engine{.slots = 8, .memory_mb = 100, .adapter_slots = 2};
  for (const char* name : {"m1", "m2", "m3"})
    engine.models[name] = {.name = name, .memory_mb = 40, .adapter_mb = 1};
  config.services["engines"] = {.name = "engines", .engine = engine};
  config.services["plain"] = {.name = "plain"};
  config.teams["team"] = {.name = "team", .key_sha256 = {"key"}};
  return config;
}

inline WorkerEntry EngineWorker(const std::string& id,
                                std::vector<std::string> models) {
  WorkerEntry entry{.id = id,
                    .service = "engines",
                    .address = "10.0.0." + id.substr(1) + ":80",
                    .data_centre = "a",
                    .contents = {.born = 1, .on_disk = {"m1", "m2", "m3"}}};
  for (std::string& model : models)
    entry.contents.models.push_back({.name = std::move(model), .version = 1});
  return entry;
}

inline WorkerEntry PlainWorker(const std::string& id) {
  return {.id = id,
          .service = "plain",
          .address = "10.0.1." + id.substr(1) + ":80",
          .data_centre = "a",
          .contents = {.born = 1}};
}

class ServingFixture {
 public:
  explicit ServingFixture(ServingOptions options = {.vm = "r1",
                                                    .data_centre = "a",
                                                    .endpoint = "10.1.0.1:7",
                                                    .controller_port = 7})
      : m_router(std::move(options)) {}

  // The configuration, its proof, and all workers.
  void Begin(ServingConfig config = SmallConfig()) {
    Feed(ConfigReceived{
        .config = std::make_shared<const ConfigIndex>(std::move(config))});
    Prove();
    Feed(WorkerListed{.entry = EngineWorker("w1", {"m1", "m2"})});
    Feed(WorkerListed{.entry = EngineWorker("w2", {"m1"})});
    Feed(WorkerListed{.entry = EngineWorker("w3", {})});
    Feed(WorkerListed{.entry = PlainWorker("p1")});
    Feed(WorkerListed{.entry = PlainWorker("p2")});
    effects.clear();
  }
  void Prove() { Feed(ConfigConfirmed{.at = now}); }

  void Feed(ServingEvent event) {
    for (ServingEffect& effect : m_router.Handle(now, std::move(event)))
      effects.push_back(std::move(effect));
  }

  // Lets time pass, with every tick that the router wants and fresh proofs.
  void Pass(Duration duration, bool proofs = true) {
    const TimePoint until = now + duration;
    while (now < until) {
      now = std::min(until, std::max(now + std::chrono::milliseconds(1),
                                     m_router.NextTick(now)));
      if (proofs)
        Prove();
      Feed(ServingTicked{});
    }
  }

  RequestId Arrive(const std::string& path,
                   const std::string& model = "",
                   const std::string& key = "key",
                   const std::string& adapter = "") {
    const RequestId id = ++m_last_request;
    ServingRequest request{.id = id,
                           .trace_id = "t" + std::to_string(id),
                           .method = "POST",
                           .target = path,
                           .host = "h.example",
                           .key_sha256 = key,
                           .timeout = std::chrono::seconds(10),
                           .model = model,
                           .adapter = adapter};
    if (!model.empty()) {
      request.prompt_tokens = 100;
      request.max_tokens = 50;
    }
    Feed(RequestArrived{.request =
                            std::make_shared<const ServingRequest>(request)});
    return id;
  }

  // The effects of one kind since they were last taken, in order.
  template <typename Effect>
  std::vector<Effect> Take() {
    std::vector<Effect> taken;
    std::vector<ServingEffect> rest;
    for (ServingEffect& effect : effects) {
      if (auto* held = std::get_if<Effect>(&effect))
        taken.push_back(std::move(*held));
      else
        rest.push_back(std::move(effect));
    }
    effects = std::move(rest);
    return taken;
  }

  void Answer(AttemptNumber attempt, unsigned status = 200) {
    Feed(AttemptHeadReceived{.attempt = attempt,
                             .head = {.status = status, .is_signed = true}});
  }
  void Event(AttemptNumber attempt, int id) {
    Feed(AttemptBodyReceived{
        .attempt = attempt,
        .bytes = "id: " + std::to_string(id) + "\ndata: x\n\n"});
  }

  TimePoint now = TimePoint(std::chrono::seconds(1'000));
  std::vector<ServingEffect> effects;
  ServingRouter& router() { return m_router; }
  const ServingRouter& router() const { return m_router; }

 private:
  ServingRouter m_router;
  RequestId m_last_request = 0;
};

}  // namespace boragepick
