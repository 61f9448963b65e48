// What the parts of the router share: who it is, its view of the fleet, and the
// list of effects. One owner; the parts hold references and run one after the
// other.
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

namespace boragepick {

struct RouterOptions {
  std::string vm;
  std::string data_centre;
  Incarnation incarnation = 0;
  std::string endpoint;
  std::vector<std::string> seeds;
  std::uint64_t random_seed = 1;
  // Goes on serving for so long after a stop was asked for, until the balancer
  // has noticed.
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
        once({.vm = router_options.vm,
              .incarnation = router_options.incarnation}) {}

  RouterOptions options;
  Random random;
  Roster roster;
  ConfigView view;
  FeedNode feed;
  QuotaManager quota;
  IdempotencyStore once;
  bool draining = false;
  std::vector<RouterEffect> effects;

  // Numbers calls to the platform's service.
  std::uint64_t NextCall() { return ++last_call; }
  std::uint64_t last_call = 0;

  ProcessId self() const {
    return {.vm = options.vm, .incarnation = options.incarnation};
  }

  void Emit(RouterEffect effect) { effects.push_back(std::move(effect)); }
  void Log(LogEvent event, std::vector<LogField> fields) {
    Emit(LogEffect{.record = {.event = event, .fields = std::move(fields)}});
  }
  // Sends to a VM by name; one that the list doesn't show gets nothing.
  void SendToVm(const std::string& vm, PeerMessage message) {
    const RosterEntry* entry = roster.Find(vm);
    if (entry != nullptr)
      Emit(SendToEndpoint{.endpoint = entry->peer_endpoint,
                          .message = std::move(message)});
  }
};

}  // namespace boragepick
