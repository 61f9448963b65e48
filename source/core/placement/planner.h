// Decides which VMs may have a model loaded. Any router may plan any model: the
// record is changed by compare-and-swap, so of two that believe it their duty
// one loses and plans again.
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

// The pool name of agents that stand beside model engines.
inline constexpr const char* kModelPool = "models";

struct PlannerInput {
  std::string model;
  // 0 replicas revokes everything, as for a deleted model.
  std::uint32_t replicas = 0;
  std::uint32_t memory_mb = 0;
  PermitRecord record;
  // VMs with a revoked permit that have since said the model is out of memory.
  std::set<std::string> released;
  // How much memory the permits of all models claim on each VM, in MB.
  std::map<std::string, std::uint64_t> claimed_mb;
};

// The record to write next, or nothing when it is as it should be.
std::optional<PermitRecord> PlanPermits(TimePoint now,
                                        const PlannerInput& input,
                                        const Roster& roster);

}  // namespace boragepick
