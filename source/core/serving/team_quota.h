// This router's part of the teams' rates: a token bucket for each team that is
// filled with the router's share of the rate.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "common/time.h"
#include "core/serving/serving_config.h"

namespace boragepick {

class TeamQuota {
 public:
  // The teams in force; a team that stays keeps its level.
  void Configure(TimePoint now, const std::map<std::string, ServingTeam>& teams);

  // Takes `cost` from the team's bucket, or returns false.
  bool Admit(TimePoint now, const std::string& team, std::int64_t cost);
  // A request did not run: its cost is given back.
  void Refund(const std::string& team, std::int64_t cost);
  // When `cost` may be admitted, at the earliest.
  Duration WaitFor(TimePoint now, const std::string& team, std::int64_t cost);

  // The part of every team's rate and burst that is this router's, 0 to 1.
  void SetShare(TimePoint now, double share);

 private:
  struct Bucket {
    ServingTeam team;
    double level = 0;
    TimePoint filled;
  };

  void Fill(TimePoint now, Bucket& bucket) const;

  double m_share = 1;
  std::map<std::string, Bucket> m_buckets;
};

}  // namespace boragepick
