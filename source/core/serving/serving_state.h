// State shared by the parts of a serving router: its options, the current
// configuration, the workers and the pending effects.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "common/random.h"
#include "common/time.h"
#include "core/scheduling/response_flow.h"
#include "core/serving/allowed_regions.h"
#include "core/serving/cold_workers.h"
#include "core/serving/evacuations.h"
#include "core/serving/serving_config.h"
#include "core/serving/serving_fleet.h"
#include "core/serving/serving_messages.h"
#include "core/serving/worker_table.h"

namespace boragepick {

struct ServingOptions {
  std::string vm;
  std::string data_centre;
  // The address at which peers reach this router.
  std::string endpoint;
  std::uint64_t random_seed = 1;
  // A revoked key stops working within this time, even if this router can't
  // reach the store.
  Duration key_revocation = std::chrono::seconds(5);
  // The port at which the controller on a worker's VM receives messages.
  std::uint16_t controller_port = 0;
  // Concurrent loads that the weight store serves at full speed; 0: determined
  // at run time.
  std::size_t store_loads = 0;
  // Limits for the retries of all routers: a share of first attempts, and a
  // reserve of retries beyond it.
  double retry_share = 0.2;
  double retry_reserve = 50;
  // Tokens of a team that the fleet may admit beyond its quota.
  std::int64_t quota_slack = 0;
  // A cold worker may get its rate times `cold_overage` plus `cold_slack`
  // requests in a second from all routers; 0: cold workers are not limited.
  double cold_overage = 0;
  double cold_slack = 0;
  // A worker renews its entry in the list once in this time. The entry expires
  // after three times without a renewal.
  Duration worker_heartbeat = std::chrono::milliseconds(1'200);
  // An evacuation of a data centre takes effect within this time after the
  // operator's request.
  Duration evacuation = std::chrono::seconds(5);
  // Whether the list of evacuations is read from the store. No request is sent
  // before it is known.
  bool await_evacuations = false;
  RegionMap regions = {};
  // Limits of the response bytes held for callers.
  ResponseFlowOptions response_flow = {};
  // New requests are still accepted for this long after a drain begins, until
  // the load balancer has noticed it.
  Duration drain_notice = std::chrono::seconds(3);
  // Requests that are still open this long after a drain begins are ended.
  Duration drain_limit = std::chrono::milliseconds(7'500);
};

struct ServingState {
  explicit ServingState(ServingOptions given)
      : options(std::move(given)),
        random(options.random_seed),
        fleet({.vm = options.vm,
               .data_centre = options.data_centre,
               .endpoint = options.endpoint,
               .quota_slack = options.quota_slack}),
        evacuations(options.await_evacuations),
        cold_workers({.vm = options.vm,
                      .random_seed = options.random_seed,
                      .overage = options.cold_overage,
                      .slack = options.cold_slack,
                      .heartbeat = options.worker_heartbeat,
                      .knowledge_lifetime = KeyConfirmationLifetime()}) {}

  ServingOptions options;
  Random random;
  ServingFleet fleet;
  std::shared_ptr<const ConfigIndex> config;
  // When `config` was last confirmed to be the newest. Only valid if
  // `config_confirmed`.
  TimePoint config_confirmed_at = TimePoint{};
  bool config_confirmed = false;
  WorkerTable workers;
  Evacuations evacuations;
  ColdWorkers cold_workers;
  std::vector<ServingEffect> effects;

  void Emit(ServingEffect effect) { effects.push_back(std::move(effect)); }
  void Log(LogEvent event, std::vector<LogField> fields) {
    Emit(LogEffect{{.event = event, .fields = std::move(fields)}});
  }

  // When an evacuation that becomes known now must have taken effect. The rest
  // of its time is for requests that are on their way. An evacuation that was
  // not known at the last confirmation was requested after it.
  TimePoint EvacuationEffect(TimePoint now) const {
    return config_confirmed ? config_confirmed_at + options.evacuation * 4 / 5
                            : now;
  }
  // The callers' keys are accepted for this long after a confirmation.
  Duration KeyConfirmationLifetime() const {
    return options.key_revocation * 9 / 10;
  }
  bool AreKeysCurrent(TimePoint now) const {
    return config_confirmed &&
           now - config_confirmed_at < KeyConfirmationLifetime();
  }
};

}  // namespace boragepick
