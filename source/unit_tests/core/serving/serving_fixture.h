// A serving router in virtual time with a small deployment: an engine service
// with three workers and a plain service with two.
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
                    .is_public = true}};
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

  // Applies and confirms the configuration and lists all workers.
  void Start(ServingConfig config = SmallConfig()) {
    Handle(ConfigReceived{
        .config = std::make_shared<const ConfigIndex>(std::move(config))});
    ConfirmConfig();
    Handle(WorkerListed{.entry = EngineWorker("w1", {"m1", "m2"})});
    Handle(WorkerListed{.entry = EngineWorker("w2", {"m1"})});
    Handle(WorkerListed{.entry = EngineWorker("w3", {})});
    Handle(WorkerListed{.entry = PlainWorker("p1")});
    Handle(WorkerListed{.entry = PlainWorker("p2")});
    effects.clear();
  }
  void ConfirmConfig() { Handle(ConfigConfirmed{.at = now}); }

  void Handle(ServingEvent event) {
    for (ServingEffect& effect : m_router.Handle(now, std::move(event)))
      effects.push_back(std::move(effect));
  }

  // Advances the time with every tick that the router schedules, and confirms
  // the configuration at each if `confirm`.
  void Advance(Duration duration, bool confirm = true) {
    const TimePoint until = now + duration;
    while (now < until) {
      now = std::min(until, std::max(now + std::chrono::milliseconds(1),
                                     m_router.NextTick(now)));
      if (confirm)
        ConfirmConfig();
      Handle(ServingTicked{});
    }
  }

  RequestId ReceiveRequest(const std::string& path,
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
    Handle(RequestArrived{.request =
                              std::make_shared<const ServingRequest>(request)});
    return id;
  }

  // Removes and returns the effects of one type, in order.
  template <typename Effect>
  std::vector<Effect> TakeEffects() {
    std::vector<Effect> taken;
    std::vector<ServingEffect> rest;
    for (ServingEffect& effect : effects) {
      if (auto* match = std::get_if<Effect>(&effect))
        taken.push_back(std::move(*match));
      else
        rest.push_back(std::move(effect));
    }
    effects = std::move(rest);
    return taken;
  }

  void RespondHead(AttemptNumber attempt, unsigned status = 200) {
    Handle(AttemptHeadReceived{.attempt = attempt,
                               .head = {.status = status, .is_signed = true}});
  }
  void RespondEvent(AttemptNumber attempt, int id) {
    Handle(AttemptBodyReceived{
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
