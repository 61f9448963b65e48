// The state that the parts of the agent share. The agent owns it; its parts
// hold references.
#pragma once

#include <string>
#include <utility>
#include <vector>

#include "core/agent/agent_messages.h"
#include "core/config/config_view.h"
#include "core/feed/feed_node.h"
#include "core/roster/roster.h"

namespace boragepick {

struct AgentOptions {
  std::string vm;
  std::string data_centre;
  Incarnation incarnation = 0;
  std::string endpoint;
  std::vector<std::string> seeds;
  // kModelPool for a model engine, else the pool of the plain service.
  std::string pool;
  std::uint64_t memory_mb = 0;
  // Number of requests that the upstream runs at once.
  std::uint32_t slots = 16;
  // Most requests that may wait at the agent.
  std::uint32_t max_waiting = 256;
  // Limit on the bodies of all requests at the agent, in bytes.
  std::size_t max_request_bytes = 128 << 20;
  // A started request is cancelled if the upstream sends nothing for this long.
  Duration progress_timeout = std::chrono::seconds(20);
  Duration drain_grace = std::chrono::seconds(2);
};

struct AgentState {
  explicit AgentState(const AgentOptions& agent_options)
      : options(agent_options),
        feed({.vm = agent_options.vm,
              .data_centre = agent_options.data_centre,
              .role = NodeRole::kAgent,
              .seeds = agent_options.seeds}),
        last_fence(agent_options.incarnation << 16U) {}

  AgentOptions options;
  Roster roster;
  ConfigView view;
  FeedNode feed;
  bool draining = false;
  // Increases across restarts, since its high bits are the incarnation.
  std::uint64_t last_fence;
  std::vector<AgentEffect> effects;

  std::uint64_t NextFence() { return ++last_fence; }
  void Emit(AgentEffect effect) { effects.push_back(std::move(effect)); }
  void Log(LogEvent event, std::vector<LogField> fields) {
    Emit(LogEffect{.record = {.event = event, .fields = std::move(fields)}});
  }
  void SendToVm(const std::string& vm, PeerMessage message) {
    const RosterEntry* entry = roster.Find(vm);
    if (entry != nullptr)
      Emit(SendToEndpoint{.endpoint = entry->peer_endpoint,
                          .message = std::move(message)});
  }
};

}  // namespace boragepick
