// The durable record of which VMs may have a model loaded. Its size is the
// decided number of replicas: a VM holds a model only under a permit, and a
// permit is taken away only when its holder has said that the model is out of
// memory, or when the platform's list proves the VM gone.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "common/enum_table.h"
#include "core/config/resources.h"

namespace boragepick {

// kRevoked: the holder must unload; the permit still counts until it has.
enum class PermitState { kActive, kRevoked };

inline constexpr EnumTable kPermitStateNames{std::array{
    EnumName<PermitState>{PermitState::kActive, "active"},
    EnumName<PermitState>{PermitState::kRevoked, "revoked"},
}};

struct Permit {
  std::string vm;
  // The list's version that showed the VM when the permit was written.
  std::uint64_t listed_version = 0;
  PermitState state = PermitState::kActive;
  bool operator==(const Permit&) const = default;
};

struct PermitRecord {
  std::string model;
  // The platform's revision of this record; the compare value of the next
  // write.
  Revision revision = 0;
  std::vector<Permit> permits;
};

}  // namespace boragepick
