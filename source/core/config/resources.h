// The resources that operators write, independent of their encoding. Field
// names include the units.
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

// A model that requests name; `version` is the name of a version resource.
struct ModelSpec {
  std::string version;
  std::uint32_t replicas = 1;
  // Time without a request after which the model is unloaded; 0 keeps it
  // loaded.
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

// A low-rank adapter (LoRA) for a model; requests name it like a model.
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

// Maps a path prefix to the models, or to the services of one pool.
struct RouteSpec {
  std::string path_prefix;
  RouteTarget target = RouteTarget::kModels;
  // The pool of agents of a service route.
  std::string pool;
  // Whether a request may run more than once. GET and HEAD requests always may.
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

// The alternatives of ResourceSpec are in the order of ResourceKind.
constexpr ResourceKind KindOf(const ResourceSpec& spec) {
  return static_cast<ResourceKind>(spec.index());
}

struct Resource {
  std::string name;
  ResourceSpec spec;
  // The revision of the last change in the platform's store; 0 if the resource
  // is not stored yet.
  Revision resource_version = 0;
  // Identifies the last write, to detect whether it took effect when its reply
  // was lost.
  std::string writer_token;
};

// Checks a resource without regard to others. Throws Error at
// Step::kValidateDocument that names the field and the expected value.
void ValidateResource(const Resource& resource);

}  // namespace boragepick
