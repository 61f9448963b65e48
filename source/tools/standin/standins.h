// Stand-ins for the services around boragepick, for tests. Each implements the
// protocol of the service that it replaces.
#pragma once

#include <boost/program_options.hpp>

#include "frontends/glib_task.h"
#include "frontends/settings.h"

namespace boragepick::standin {

namespace po = boost::program_options;

struct StandinOptions {
  Endpoint endpoint;
  // Model engine.
  std::uint64_t memory_mb = 0;
  unsigned load_ms = 0;
  unsigned token_ms = 0;
  unsigned crash_ms = 0;
  bool ignore_fences = false;
  std::string store_url;
  // Weight store.
  unsigned fetch_ms = 0;
  unsigned fetches_per_second = 0;
  // Plain service.
  unsigned service_ms = 0;
  // List of VMs.
  unsigned lag_ms = 0;
};

// Each function serves until the loop ends.

// The platform's key-value service.
// POST /v3/kv/range, /v3/kv/txn, /v3/watch, /v3/lease/grant; GET /stats.
// Faults: down, slow_ms, lose_answers (count), silent_watch.
void RunKeyValue(GlibLoop& loop, const StandinOptions& options);
// A model engine.
// POST /v1/chat/completions, /orders/...; GET /inventory, /stats.
// Faults: freeze, cut_after (tokens), refuse_loads.
void RunEngine(GlibLoop& loop, const StandinOptions& options);
// A plain service. Any path; counts executions by body. GET /stats.
// Faults: freeze, lose_answers (count).
void RunService(GlibLoop& loop, const StandinOptions& options);
// The weight store. POST /fetch; GET /stats.
void RunWeightStore(GlibLoop& loop, const StandinOptions& options);
// The platform's list of VMs. GET /vms?known_version=N; POST /vms replaces the
// list.
void RunVmList(GlibLoop& loop, const StandinOptions& options);

}  // namespace boragepick::standin
