// Detects requests that crash workers. A request whose attempts broke the
// connections of several workers, and that never completed, is refused at every
// router, so that retries do not take down the fleet one worker at a time.
#pragma once

#include <optional>
#include <string>

#include "common/time.h"
#include "core/scheduling/quarantine.h"
#include "core/serving/exchange.h"

namespace boragepick {

class CrashSuspects {
 public:
  // Number of broken workers after which a request is refused. Two can be a
  // coincidence when links and workers fail at the same time.
  static constexpr std::size_t kCrashesToRefuse = 3;

  // Records that the connection to `worker` broke while the request was running
  // there. `born` is the start time of that worker process, which tells its
  // restarts apart. Returns the notice to broadcast to the other routers.
  std::optional<CrashNotice> RecordBrokenRun(TimePoint now,
                                             const Exchange& exchange,
                                             const std::string& worker,
                                             std::int64_t born);
  // Records that the request completed, which clears it of suspicion.
  std::optional<CrashNotice> RecordCompletedRun(TimePoint now,
                                                const Exchange& exchange);
  // Applies a notice from another router.
  void ApplyNotice(TimePoint now, const CrashNotice& notice);

  bool ShouldRefuse(TimePoint now, const Exchange& exchange);

 private:
  Quarantine m_quarantine{kCrashesToRefuse};
};

}  // namespace boragepick
