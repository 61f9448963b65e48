// The resources that operators write: typed, without any encoding. Units are in
// the names.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "common/enum_table.h"

namespace boragepick {

using Revision = std::int64_t;

enum class ResourceKind { kModel, kVersion, kAdapter, kRoute, kTeam, kKey };

inline constexpr EnumTable kResourceKindNames{std::array{
    EnumName<ResourceKind>{ResourceKind::kModel, "model"},
    EnumName<ResourceKind>{ResourceKind::kVersion, "version"},
    EnumName<ResourceKind>{ResourceKind::kAdapter, "adapter"},
    EnumName<ResourceKind>{ResourceKind::kRoute, "route"},
    EnumName<ResourceKind>{ResourceKind::kTeam, "team"},
    EnumName<ResourceKind>{ResourceKind::kKey, "key"},
}};

// A model that callers name; `version` is the name of a version resource.
struct ModelSpec {
  std::string version;
  std::uint32_t replicas = 1;
  // Unloaded when no request came for so long; 0 keeps it loaded.
  std::uint32_t idle_unload_seconds = 300;
  bool operator==(const ModelSpec&) const = default;
};

// One set of weights of a model.
struct VersionSpec {
  std::string model;
  std::string weights;
  std::uint32_t memory_mb = 0;
  bool operator==(const VersionSpec&) const = default;
};

// A low-rank adapter on top of a model; callers name it like a model.
struct AdapterSpec {
  std::string model;
  std::string weights;
  std::uint32_t memory_mb = 0;
  bool operator==(const AdapterSpec&) const = default;
};

enum class RouteTarget { kModels, kService };

inline constexpr EnumTable kRouteTargetNames{std::array{
    EnumName<RouteTarget>{RouteTarget::kModels, "models"},
    EnumName<RouteTarget>{RouteTarget::kService, "service"},
}};

// Maps a path prefix to the models or to the plain services of one pool.
struct RouteSpec {
  std::string path_prefix;
  RouteTarget target = RouteTarget::kModels;
  // The pool of agents of a service route.
  std::string pool;
  // Whether a call may run more than once. GET and HEAD always may.
  bool idempotent = false;
  // Open to callers without a key.
  bool open = false;
  // The teams that may use the route; empty allows every team.
  std::vector<std::string> teams;
  bool operator==(const RouteSpec&) const = default;
};

struct TeamSpec {
  std::uint32_t rate_tokens_per_second = 0;
  std::uint32_t burst_tokens = 0;
  bool operator==(const TeamSpec&) const = default;
};

// A caller's key; only its hash is ever stored.
struct KeySpec {
  std::string team;
  // Lower-case hexadecimal SHA-256 of the key.
  std::string sha256;
  bool operator==(const KeySpec&) const = default;
};

using ResourceSpec = std::
    variant<ModelSpec, VersionSpec, AdapterSpec, RouteSpec, TeamSpec, KeySpec>;

// The kind follows from the alternative held; both enumerate in the same order.
constexpr ResourceKind KindOf(const ResourceSpec& spec) {
  return static_cast<ResourceKind>(spec.index());
}

struct Resource {
  std::string name;
  ResourceSpec spec;
  // The platform's revision of the last change; 0 for one that is not stored
  // yet.
  Revision resource_version = 0;
  // Who wrote it last: found again when the answer to a write was lost.
  std::string writer_token;
};

// Checks what can be said of one resource alone. Throws Error at
// Step::kValidateDocument naming the field and what would be right.
void ValidateResource(const Resource& resource);

}  // namespace boragepick
