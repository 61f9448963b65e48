// Requests whose runs ended with their worker's connection. One that breaks
// several workers and never runs whole is refused at every router, so that it
// does not go through the fleet worker by worker.
#pragma once

#include <optional>
#include <string>

#include "common/time.h"
#include "core/scheduling/quarantine.h"
#include "core/serving/exchange.h"

namespace boragepick {

class CrashSuspects {
 public:
  // Broken workers after which a request is refused. Two may be chance where
  // links and workers fail together.
  static constexpr std::size_t kCrashesToRefuse = 3;

  // The run broke off together with its connection to `worker`, in the run of
  // the worker that began at `born`. Returns what the other routers need to
  // know.
  std::optional<CrashNotice> RunBroke(TimePoint now,
                                      const Exchange& exchange,
                                      const std::string& worker,
                                      std::int64_t born);
  // The request ran whole: it is not what broke the others.
  std::optional<CrashNotice> RanWhole(TimePoint now, const Exchange& exchange);
  // What another router has found.
  void Take(TimePoint now, const CrashNotice& notice);

  bool IsRefused(TimePoint now, const Exchange& exchange);

 private:
  Quarantine m_quarantine{kCrashesToRefuse};
};

}  // namespace boragepick
