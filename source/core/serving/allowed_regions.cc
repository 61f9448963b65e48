#include "core/serving/allowed_regions.h"

#include <algorithm>
#include <iterator>

namespace boragepick {

namespace {

std::vector<std::string> Sorted(std::vector<std::string> names) {
  std::ranges::sort(names);
  return names;
}

}  // namespace

AllowedRegions::AllowedRegions(const ServingRoute& route,
                               const ServingTeam* team) {
  if (!route.allowed_regions.empty())
    m_names = Sorted(route.allowed_regions);
  if (team == nullptr || team->allowed_regions.empty())
    return;
  std::vector<std::string> of_team = Sorted(team->allowed_regions);
  if (!m_names) {
    m_names = std::move(of_team);
    return;
  }
  std::vector<std::string> common;
  std::ranges::set_intersection(*m_names, of_team, std::back_inserter(common));
  m_names = std::move(common);
}

bool AllowedRegions::Permits(const RegionMap& regions,
                             const std::string& data_centre) const {
  if (!m_names)
    return true;
  const auto region = regions.find(data_centre);
  return region != regions.end() &&
         std::ranges::binary_search(*m_names, region->second);
}

std::string AllowedRegions::Text() const {
  if (!m_names)
    return "";
  std::string text;
  for (const std::string& name : *m_names)
    text += (text.empty() ? "" : ",") + name;
  return text.empty() ? "none" : text;
}

}  // namespace boragepick
