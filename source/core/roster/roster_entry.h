// The platform's list of VMs and its entries.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "common/enum_table.h"

namespace boragepick {

// Identifies one run of a process; increases with each start on the same VM.
using Incarnation = std::uint64_t;

enum class NodeRole { kRouter, kAgent };

inline constexpr EnumTable kNodeRoleNames{std::array{
    EnumName<NodeRole>{NodeRole::kRouter, "router"},
    EnumName<NodeRole>{NodeRole::kAgent, "agent"},
}};

enum class VmState { kLive, kLeaving };

inline constexpr EnumTable kVmStateNames{std::array{
    EnumName<VmState>{VmState::kLive, "live"},
    EnumName<VmState>{VmState::kLeaving, "leaving"},
}};

struct RosterEntry {
  std::string vm;
  std::string data_centre;
  NodeRole role = NodeRole::kRouter;
  VmState state = VmState::kLive;
  // The address at which the VM's process listens for peers: "ip:port".
  std::string peer_endpoint;
  // Agents only: the service pool, or "models" for an engine.
  std::string pool;
  // Agents only: the memory available to the VM's engine.
  std::uint32_t memory_mb = 0;
  bool operator==(const RosterEntry&) const = default;
};

// The platform's list, either full or as changes; `version` increases with each
// change.
struct RosterList {
  std::uint64_t version = 0;
  std::vector<RosterEntry> entries;
  // 0 for a full list. Otherwise the entries are those that differ from version
  // `base`, and `gone` names the VMs of that version that have been removed.
  // The changes apply to exactly that version, because their sender may not
  // have seen entries that were added and removed in between.
  std::uint64_t base = 0;
  std::vector<std::string> gone;
};

}  // namespace boragepick
