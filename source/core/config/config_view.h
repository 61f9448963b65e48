// The configuration in effect at one node, indexed for the lookups that each
// request needs.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/config/resources.h"
#include "core/feed/feed_item.h"

namespace boragepick {

// A model or adapter, resolved from the name in a request.
struct ServedModel {
  std::string model;
  std::uint32_t memory_mb = 0;
  std::string weights;
  std::uint32_t idle_unload_seconds = 0;
  // Empty for a model without adapter.
  std::string adapter;
  std::uint32_t adapter_memory_mb = 0;
};

class ConfigView {
 public:
  void Apply(const FeedItem& item);

  const Resource* Find(ResourceKind kind, const std::string& name) const;
  const std::map<std::string, Resource>& All(ResourceKind kind) const;
  template <typename Spec>
  const Spec* FindSpec(ResourceKind kind, const std::string& name) const {
    const Resource* resource = Find(kind, name);
    return resource == nullptr ? nullptr : std::get_if<Spec>(&resource->spec);
  }

  // Returns the team of a key, or nothing if the key is unknown or revoked.
  std::optional<std::string> TeamOfKey(const std::string& sha256) const;
  // Returns the route with the longest matching prefix, or nullptr.
  const RouteSpec* RouteFor(std::string_view path) const;
  std::optional<ServedModel> Resolve(const std::string& name) const;

  const PermitRecord* PermitsOf(const std::string& model) const;
  const std::map<std::string, PermitRecord>& permits() const {
    return m_permits;
  }
  // Whether `vm` may have `model` loaded.
  bool IsPermitted(const std::string& model, const std::string& vm) const;

  // Checks that the resources that `resource` refers to exist. Throws Error at
  // Step::kValidateDocument.
  void CheckReferences(const Resource& resource) const;
  // Checks that no other resource refers to the named one, so that it can be
  // deleted. Throws like CheckReferences().
  void CheckUnused(ResourceKind kind, const std::string& name) const;

 private:
  void SetResource(const Resource& resource);
  void RemoveResource(ResourceKind kind, const std::string& name);

  std::map<ResourceKind, std::map<std::string, Resource>> m_resources;
  std::unordered_map<std::string, std::string> m_team_by_key;
  std::map<std::string, PermitRecord> m_permits;
  // What a feed key refers to; needed to apply tombstones, which carry only the
  // key. `kind` is empty for a permit record.
  struct FeedKeyTarget {
    std::optional<ResourceKind> kind;
    std::string name;
  };
  std::map<std::string, FeedKeyTarget> m_feed_key_targets;
};

}  // namespace boragepick
