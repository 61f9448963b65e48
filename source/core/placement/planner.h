// Decides which VMs may have a model loaded. Any router may plan any model: the
// record is written by compare-and-swap, so of two concurrent planners one
// fails and plans again.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "common/time.h"
#include "core/config/resources.h"
#include "core/placement/permit_record.h"
#include "core/roster/roster.h"

namespace boragepick {

// The pool name of agents with a model engine.
inline constexpr const char* kModelPool = "models";

struct PlannerInput {
  std::string model;
  // 0 revokes all permits, as for a deleted model.
  std::uint32_t replicas = 0;
  std::uint32_t memory_mb = 0;
  PermitRecord record;
  // VMs with a revoked permit that have since reported the model as unloaded.
  std::set<std::string> released;
  // Memory claimed by the permits of all models on each VM, in MB.
  std::map<std::string, std::uint64_t> claimed_mb;
};

// The record to write, or empty if no change is needed.
std::optional<PermitRecord> PlanPermits(TimePoint now,
                                        const PlannerInput& input,
                                        const Roster& roster);

}  // namespace boragepick
