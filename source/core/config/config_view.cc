#include "core/config/config_view.h"

#include <algorithm>
#include <variant>

#include "common/error.h"

namespace boragepick {

namespace {

[[noreturn]] void Reject(const std::string& what) {
  throw Error(Step::kValidateDocument, "", what);
}

bool PathMatches(const std::string& prefix, std::string_view path) {
  if (!path.starts_with(prefix))
    return false;
  // The prefix "/orders" must not match "/orders-of-others".
  const bool whole_segment =
      prefix.ends_with('/') || path.size() == prefix.size() ||
      path[prefix.size()] == '/' || path[prefix.size()] == '?';
  return whole_segment;
}

// Returns the name of the resource of `kind` that `spec` refers to, if any.
std::optional<std::string> ReferenceTo(ResourceKind kind,
                                       const ResourceSpec& spec) {
  if (const auto* model = std::get_if<ModelSpec>(&spec);
      model && kind == ResourceKind::kVersion)
    return model->version;
  if (const auto* adapter = std::get_if<AdapterSpec>(&spec);
      adapter && kind == ResourceKind::kModel)
    return adapter->model;
  if (const auto* key = std::get_if<KeySpec>(&spec);
      key && kind == ResourceKind::kTeam)
    return key->team;
  return std::nullopt;
}

}  // namespace

void ConfigView::Apply(const FeedItem& item) {
  if (const auto* resource = std::get_if<Resource>(&item.value)) {
    SetResource(*resource);
    m_feed_key_targets[item.key] = {.kind = KindOf(resource->spec),
                                    .name = resource->name};
    return;
  }
  if (const auto* record = std::get_if<PermitRecord>(&item.value)) {
    m_permits[record->model] = *record;
    m_feed_key_targets[item.key] = {.name = record->model};
    return;
  }
  const auto target = m_feed_key_targets.find(item.key);
  if (!std::holds_alternative<DeletedItem>(item.value) ||
      target == m_feed_key_targets.end())
    return;
  if (target->second.kind)
    RemoveResource(*target->second.kind, target->second.name);
  else
    m_permits.erase(target->second.name);
  m_feed_key_targets.erase(target);
}

void ConfigView::SetResource(const Resource& resource) {
  const ResourceKind kind = KindOf(resource.spec);
  RemoveResource(kind, resource.name);
  m_resources[kind][resource.name] = resource;
  if (const auto* key = std::get_if<KeySpec>(&resource.spec))
    m_team_by_key[key->sha256] = key->team;
}

void ConfigView::RemoveResource(ResourceKind kind, const std::string& name) {
  auto& resources = m_resources[kind];
  const auto found = resources.find(name);
  if (found == resources.end())
    return;
  if (const auto* key = std::get_if<KeySpec>(&found->second.spec))
    m_team_by_key.erase(key->sha256);
  resources.erase(found);
}

const Resource* ConfigView::Find(ResourceKind kind,
                                 const std::string& name) const {
  const auto& resources = All(kind);
  const auto found = resources.find(name);
  return found == resources.end() ? nullptr : &found->second;
}

const std::map<std::string, Resource>& ConfigView::All(
    ResourceKind kind) const {
  static const std::map<std::string, Resource> kNone;
  const auto found = m_resources.find(kind);
  return found == m_resources.end() ? kNone : found->second;
}

std::optional<std::string> ConfigView::TeamOfKey(
    const std::string& sha256) const {
  const auto found = m_team_by_key.find(sha256);
  if (found == m_team_by_key.end())
    return std::nullopt;
  return found->second;
}

const RouteSpec* ConfigView::RouteFor(std::string_view path) const {
  const RouteSpec* best = nullptr;
  for (const auto& [name, resource] : All(ResourceKind::kRoute)) {
    const auto& route = std::get<RouteSpec>(resource.spec);
    const bool longer =
        best == nullptr || route.path_prefix.size() > best->path_prefix.size();
    if (longer && PathMatches(route.path_prefix, path))
      best = &route;
  }
  return best;
}

std::optional<ServedModel> ConfigView::Resolve(const std::string& name) const {
  ServedModel served;
  served.model = name;
  if (const auto* adapter =
          FindSpec<AdapterSpec>(ResourceKind::kAdapter, name)) {
    served.model = adapter->model;
    served.adapter = name;
    served.adapter_memory_mb = adapter->memory_mb;
  }
  const auto* model = FindSpec<ModelSpec>(ResourceKind::kModel, served.model);
  if (model == nullptr)
    return std::nullopt;
  const auto* version =
      FindSpec<VersionSpec>(ResourceKind::kVersion, model->version);
  if (version == nullptr)
    return std::nullopt;
  served.memory_mb = version->memory_mb;
  served.weights = version->weights;
  served.idle_unload_seconds = model->idle_unload_seconds;
  return served;
}

const PermitRecord* ConfigView::PermitsOf(const std::string& model) const {
  const auto found = m_permits.find(model);
  return found == m_permits.end() ? nullptr : &found->second;
}

bool ConfigView::IsPermitted(const std::string& model,
                             const std::string& vm) const {
  const PermitRecord* record = PermitsOf(model);
  if (record == nullptr)
    return false;
  return std::ranges::any_of(record->permits, [&](const Permit& permit) {
    return permit.vm == vm && permit.state == PermitState::kActive;
  });
}

void ConfigView::CheckReferences(const Resource& resource) const {
  if (const auto* model = std::get_if<ModelSpec>(&resource.spec)) {
    const auto* version =
        FindSpec<VersionSpec>(ResourceKind::kVersion, model->version);
    if (version == nullptr)
      Reject("spec.version: expected the name of a version; there is no '" +
             model->version + "'");
    if (version->model != resource.name)
      Reject("spec.version: '" + model->version + "' is a version of '" +
             version->model + "'");
  }
  if (const auto* adapter = std::get_if<AdapterSpec>(&resource.spec)) {
    if (Find(ResourceKind::kModel, adapter->model) == nullptr)
      Reject("spec.model: expected the name of a model; there is no '" +
             adapter->model + "'");
  }
  const auto* key = std::get_if<KeySpec>(&resource.spec);
  if (key == nullptr)
    return;
  if (Find(ResourceKind::kTeam, key->team) == nullptr)
    Reject("spec.team: expected the name of a team; there is no '" + key->team +
           "'");
  for (const auto& [name, other] : All(ResourceKind::kKey)) {
    if (name != resource.name &&
        std::get<KeySpec>(other.spec).sha256 == key->sha256)
      Reject("spec.sha256: key '" + name + "' has the same hash");
  }
}

void ConfigView::CheckUnused(ResourceKind kind, const std::string& name) const {
  for (const auto& [other_kind, resources] : m_resources) {
    for (const auto& [other_name, resource] : resources) {
      if (ReferenceTo(kind, resource.spec) == name) {
        const std::string_view kind_name = kResourceKindNames.Name(other_kind);
        std::string what = "name: is still named by ";
        what.append(kind_name).append(" '").append(other_name).append("'");
        Reject(what);
      }
    }
  }
}

}  // namespace boragepick
