// One line of the platform's list of VMs, and the identity of one run of a
// process.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "common/enum_table.h"

namespace boragepick {

// Differs for each start of a process and grows from start to start on one VM.
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
  // Where the VM's process of the system listens for peers: "ip:port".
  std::string peer_endpoint;
  // Agents only: the service pool, or "models" for an engine.
  std::string pool;
  // Agents only: what the VM's engine may take up.
  std::uint32_t memory_mb = 0;
  bool operator==(const RosterEntry&) const = default;
};

// The platform's list, whole or as changes; `version` grows with each change.
struct RosterList {
  std::uint64_t version = 0;
  std::vector<RosterEntry> entries;
  // 0 for a whole list. Else the entries are those that differ from this
  // version, and `gone` names the VMs of that version that are not in it. The
  // changes fit on exactly that version: what came and went in between, their
  // sender may never have seen.
  std::uint64_t base = 0;
  std::vector<std::string> gone;
};

}  // namespace boragepick
