// State shared by the parts of the router: its identity, its view of the fleet
// and the list of effects. The Router owns it; its parts hold references and
// run sequentially.
#pragma once

#include <string>
#include <utility>
#include <vector>

#include "common/random.h"
#include "core/config/config_view.h"
#include "core/feed/feed_node.h"
#include "core/idempotency/idempotency_store.h"
#include "core/quota/quota_manager.h"
#include "core/roster/roster.h"
#include "core/router/router_messages.h"
#include "core/scheduling/response_flow.h"

namespace boragepick {

struct RouterOptions {
  std::string vm;
  std::string data_centre;
  Incarnation incarnation = 0;
  std::string endpoint;
  std::vector<std::string> seeds;
  std::uint64_t random_seed = 1;
  // Limits of the response bytes held for callers.
  ResponseFlowOptions response_flow = {};
  // Time to keep serving after a drain request, until the load balancer has
  // noticed.
  Duration drain_grace = std::chrono::seconds(2);
};

struct RouterState {
  explicit RouterState(const RouterOptions& router_options)
      : options(router_options),
        random(router_options.random_seed),
        feed({.vm = router_options.vm,
              .data_centre = router_options.data_centre,
              .role = NodeRole::kRouter,
              .seeds = router_options.seeds}),
        quota({.vm = router_options.vm,
               .incarnation = router_options.incarnation}),
        idempotency({.vm = router_options.vm,
                     .incarnation = router_options.incarnation}) {}

  RouterOptions options;
  Random random;
  Roster roster;
  ConfigView view;
  FeedNode feed;
  QuotaManager quota;
  IdempotencyStore idempotency;
  bool draining = false;
  std::vector<RouterEffect> effects;

  // Returns a new number for a call to the platform's store.
  std::uint64_t NextCall() { return ++last_call; }
  std::uint64_t last_call = 0;

  ProcessId self() const {
    return {.vm = options.vm, .incarnation = options.incarnation};
  }

  void Emit(RouterEffect effect) { effects.push_back(std::move(effect)); }
  void Log(LogEvent event, std::vector<LogField> fields) {
    Emit(LogEffect{.record = {.event = event, .fields = std::move(fields)}});
  }
  // Sends to a VM by name; does nothing if the VM is not in the roster.
  void SendToVm(const std::string& vm, PeerMessage message) {
    const RosterEntry* entry = roster.Find(vm);
    if (entry != nullptr)
      Emit(SendToEndpoint{.endpoint = entry->peer_endpoint,
                          .message = std::move(message)});
  }
};

}  // namespace boragepick
