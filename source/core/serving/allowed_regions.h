// The regions in which a request may run.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/serving/serving_config.h"

namespace boragepick {

// The region of each data centre.
using RegionMap = std::map<std::string, std::string>;

class AllowedRegions {
 public:
  // Anywhere.
  AllowedRegions() = default;
  // Those of the route and of the team, which may be nullptr. If both name
  // regions, a region must be named by both.
  AllowedRegions(const ServingRoute& route, const ServingTeam* team);

  // Whether the request may run in the data centre. One whose region is unknown
  // is only permitted to requests that may run anywhere.
  bool Permits(const RegionMap& regions, const std::string& data_centre) const;
  // The regions as a comma-separated list in alphabetical order; empty for a
  // request that may run anywhere.
  std::string Text() const;

 private:
  // Sorted. No value: anywhere.
  std::optional<std::vector<std::string>> m_names;
};

}  // namespace boragepick
