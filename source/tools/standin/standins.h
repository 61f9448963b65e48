// The stand-ins of what surrounds boragepick: small test tools, each of which
// speaks the published protocol of the thing it stands for.
#pragma once

#include <boost/program_options.hpp>

#include "frontends/glib_task.h"
#include "frontends/settings.h"

namespace boragepick::standin {

namespace po = boost::program_options;

struct StandinOptions {
  Endpoint endpoint;
  // Engine.
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

// Each serves until the loop ends.
// POST /v3/kv/range, /v3/kv/txn, /v3/watch, /v3/lease/grant; GET /stats.
// Faults: down, slow_ms, lose_answers (count), silent_watch.
void RunKeyValue(GlibLoop& loop, const StandinOptions& options);
// POST /v1/chat/completions, /orders/...; GET /inventory, /stats.
// Faults: freeze, cut_after (tokens), refuse_loads.
void RunEngine(GlibLoop& loop, const StandinOptions& options);
// Any path; counts executions by body. GET /stats. Faults: freeze, slow_ms,
// lose_answers.
void RunService(GlibLoop& loop, const StandinOptions& options);
// POST /fetch. GET /stats.
void RunStore(GlibLoop& loop, const StandinOptions& options);
// GET /vms?known_version=N; POST /vms with a list replaces it.
void RunVmList(GlibLoop& loop, const StandinOptions& options);

}  // namespace boragepick::standin
