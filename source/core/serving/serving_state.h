// What the parts of a serving router share: its options, the configuration in
// force, the workers, and the effects that wait to be carried out.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "common/random.h"
#include "common/time.h"
#include "core/serving/serving_config.h"
#include "core/serving/serving_fleet.h"
#include "core/serving/serving_messages.h"
#include "core/serving/worker_table.h"

namespace boragepick {

struct ServingOptions {
  std::string vm;
  std::string data_centre;
  // Where peers reach this router.
  std::string endpoint;
  std::uint64_t random_seed = 1;
  // A key that was withdrawn stops working within this time, also here when
  // this router is cut off.
  Duration key_revocation = std::chrono::seconds(5);
  // The port at which the controller beside a worker takes messages.
  std::uint16_t controller_port = 0;
  // Loads that the weight store bears at once at full speed; 0: found out.
  std::size_t store_loads = 0;
  // The fleet's retries: a share of first requests, and a reserve.
  double retry_share = 0.2;
  double retry_reserve = 50;
  // Tokens of a team beyond its quota that the fleet may let run.
  std::int64_t quota_slack = 0;
  // After a stop was asked for, new requests are expected for so long.
  Duration drain_notice = std::chrono::seconds(3);
  // All work is over by then.
  Duration drain_limit = std::chrono::milliseconds(7'500);
};

struct ServingState {
  explicit ServingState(ServingOptions given)
      : options(std::move(given)),
        random(options.random_seed),
        fleet({.vm = options.vm,
               .data_centre = options.data_centre,
               .endpoint = options.endpoint,
               .quota_slack = options.quota_slack}) {}

  ServingOptions options;
  Random random;
  ServingFleet fleet;
  std::shared_ptr<const ConfigIndex> config;
  // When `config` was last known to be the newest.
  TimePoint config_confirmed_at = TimePoint{};
  bool config_confirmed = false;
  WorkerTable workers;
  std::vector<ServingEffect> effects;

  void Emit(ServingEffect effect) { effects.push_back(std::move(effect)); }
  void Log(LogEvent event, std::vector<LogField> fields) {
    Emit(LogEffect{{.event = event, .fields = std::move(fields)}});
  }

  // The age that the proof of the keys may reach.
  Duration KeyConfirmationLifetime() const {
    return options.key_revocation * 9 / 10;
  }
  bool AreKeysCurrent(TimePoint now) const {
    return config_confirmed &&
           now - config_confirmed_at < KeyConfirmationLifetime();
  }
};

}  // namespace boragepick
