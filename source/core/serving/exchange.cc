#include "core/serving/exchange.h"

#include <algorithm>
#include <array>

namespace boragepick {

namespace {

constexpr std::array<ServingRefusalRow, 16> kRefusals{{
    {ServingRefusal::kNoConfiguration, "no_configuration", 503},
    {ServingRefusal::kRouteUnknown, "route_unknown", 404},
    {ServingRefusal::kKeyMissing, "key_missing", 401},
    {ServingRefusal::kKeyUnknown, "key_unknown", 401},
    {ServingRefusal::kKeysStale, "keys_stale", 503},
    {ServingRefusal::kOverQuota, "over_quota", 429},
    {ServingRefusal::kNoWorker, "no_worker", 503},
    {ServingRefusal::kWorkersFull, "workers_full", 503},
    {ServingRefusal::kModelNotLoaded, "model_not_loaded", 503},
    {ServingRefusal::kTimedOutBeforeRun, "timed_out_before_run", 503},
    {ServingRefusal::kTimedOut, "timed_out", 504},
    {ServingRefusal::kWorkerFailed, "worker_failed", 502},
    {ServingRefusal::kBreaksWorkers, "breaks_workers", 502},
    {ServingRefusal::kStopping, "stopping", 503},
    {ServingRefusal::kEvacuated, "evacuated", 503},
    {ServingRefusal::kNoAllowedRegion, "no_allowed_region", 503},
}};

}  // namespace

const ServingRefusalRow& ServingRefusalInfo(ServingRefusal refusal) {
  return *std::ranges::find(kRefusals, refusal, &ServingRefusalRow::value);
}

}  // namespace boragepick
