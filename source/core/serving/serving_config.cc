#include "core/serving/serving_config.h"

#include <algorithm>
#include <cctype>

namespace boragepick {

namespace {

std::string LowerCaseHost(std::string_view host) {
  const std::size_t colon = host.rfind(':');
  std::string lower(host.substr(0, colon));
  std::ranges::transform(lower, lower.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  return lower;
}

}  // namespace

std::optional<EngineSpec> CommonEngineSpec(const ServingConfig& config) {
  std::optional<EngineSpec> all;
  for (const auto& [name, service] : config.services) {
    if (!service.engine)
      continue;
    const EngineSpec& engine = *service.engine;
    if (!all) {
      all = engine;
      continue;
    }
    all->slots = std::min(all->slots, engine.slots);
    all->memory_mb = std::min(all->memory_mb, engine.memory_mb);
    all->adapter_slots = std::min(all->adapter_slots, engine.adapter_slots);
    all->models.insert(engine.models.begin(), engine.models.end());
  }
  return all;
}

ConfigIndex::ConfigIndex(ServingConfig config) : m_config(std::move(config)) {
  for (const ServingRoute& route : m_config.routes)
    m_by_host[LowerCaseHost(route.host)].push_back(&route);
  for (auto& [host, routes] : m_by_host) {
    std::ranges::stable_sort(routes, std::greater{}, [](const auto* route) {
      return route->prefix.size();
    });
  }
  for (const auto& [name, team] : m_config.teams) {
    for (const std::string& key : team.key_sha256)
      m_by_key.emplace(key, &team);
  }
}

const ServingRoute* ConfigIndex::FindRoute(std::string_view host,
                                           std::string_view path) const {
  const auto found = m_by_host.find(LowerCaseHost(host));
  if (found == m_by_host.end())
    return nullptr;
  const std::string_view bare = path.substr(0, path.find('?'));
  for (const ServingRoute* route : found->second) {
    if (bare.starts_with(route->prefix))
      return route;
  }
  return nullptr;
}

const ServingTeam* ConfigIndex::FindTeam(const std::string& key_sha256) const {
  const auto found = m_by_key.find(key_sha256);
  return found == m_by_key.end() ? nullptr : found->second;
}

const ServingService* ConfigIndex::FindService(const std::string& name) const {
  const auto found = m_config.services.find(name);
  return found == m_config.services.end() ? nullptr : &found->second;
}

}  // namespace boragepick
