#include "core/scheduling/request.h"

#include <algorithm>
#include <array>
#include <stdexcept>

namespace boragepick {

namespace {

constexpr std::array kRefusals{
    RefusalCodeRow{RefusalCode::kBadRequest, "bad_request", 400},
    RefusalCodeRow{RefusalCode::kKeyMissing, "key_missing", 401},
    RefusalCodeRow{RefusalCode::kKeyUnknown, "key_unknown", 401},
    RefusalCodeRow{RefusalCode::kRouteForbidden, "route_forbidden", 403},
    RefusalCodeRow{RefusalCode::kRouteUnknown, "route_unknown", 404},
    RefusalCodeRow{RefusalCode::kModelUnknown, "model_unknown", 404},
    RefusalCodeRow{RefusalCode::kIdempotencyKeyMissing,
                   "idempotency_key_missing", 400},
    RefusalCodeRow{RefusalCode::kIdempotencyKeyReused, "idempotency_key_reused",
                   422},
    RefusalCodeRow{RefusalCode::kOverBurst, "over_burst", 413},
    RefusalCodeRow{RefusalCode::kRateLimited, "rate_limited", 429},
    RefusalCodeRow{RefusalCode::kDeadline, "deadline", 504},
    RefusalCodeRow{RefusalCode::kNoCapacity, "no_capacity", 503},
    RefusalCodeRow{RefusalCode::kUpstreamFailed, "upstream_failed", 502},
    RefusalCodeRow{RefusalCode::kPoisoned, "poisoned", 422},
    RefusalCodeRow{RefusalCode::kIdempotencyUnavailable, "once_unavailable",
                   503},
    RefusalCodeRow{RefusalCode::kIdempotencyOutcomeUnknown,
                   "once_outcome_unknown", 409},
    RefusalCodeRow{RefusalCode::kIdempotencyAnswerNotKept,
                   "once_answer_not_kept", 409},
    RefusalCodeRow{RefusalCode::kConfigurationMissing, "configuration_missing",
                   503},
    RefusalCodeRow{RefusalCode::kKeyRevoked, "key_withdrawn", 401},
};

}  // namespace

const RefusalCodeRow& RefusalInfo(RefusalCode code) {
  const auto row = std::ranges::find(kRefusals, code, &RefusalCodeRow::value);
  if (row == kRefusals.end())
    throw std::logic_error("refusal code without a row");
  return *row;
}

}  // namespace boragepick
