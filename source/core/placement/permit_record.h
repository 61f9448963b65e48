// The durable record of which VMs may have a model loaded. The number of
// permits bounds the number of replicas: a VM loads a model only with a permit,
// and a permit is removed only after its holder has reported the model as
// unloaded, or after the platform's list of VMs proves that the VM is gone.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "common/enum_table.h"
#include "core/config/resources.h"

namespace boragepick {

// kRevoked: the holder must unload; the permit counts until it has.
enum class PermitState { kActive, kRevoked };

inline constexpr EnumTable kPermitStateNames{std::array{
    EnumName<PermitState>{PermitState::kActive, "active"},
    EnumName<PermitState>{PermitState::kRevoked, "revoked"},
}};

struct Permit {
  std::string vm;
  // Version of the list of VMs that contained the VM when the permit was
  // written.
  std::uint64_t listed_version = 0;
  PermitState state = PermitState::kActive;
  bool operator==(const Permit&) const = default;
};

struct PermitRecord {
  std::string model;
  // The stored revision of this record, compared by the next write.
  Revision revision = 0;
  std::vector<Permit> permits;
};

}  // namespace boragepick
