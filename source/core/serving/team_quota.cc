#include "core/serving/team_quota.h"

#include <algorithm>

namespace boragepick {

void TeamQuota::Configure(TimePoint now,
                          const std::map<std::string, ServingTeam>& teams) {
  std::erase_if(m_buckets, [&teams](const auto& entry) {
    return !teams.contains(entry.first);
  });
  for (const auto& [name, team] : teams) {
    const auto found = m_buckets.find(name);
    if (found == m_buckets.end()) {
      m_buckets.emplace(
          name,
          Bucket{.team = team,
                 .level = static_cast<double>(team.burst) * m_share,
                 .filled = now});
      continue;
    }
    Fill(now, found->second);
    found->second.team = team;
    Fill(now, found->second);
  }
}

void TeamQuota::Fill(TimePoint now, Bucket& bucket) const {
  const double rate =
      static_cast<double>(bucket.team.rate_per_second) * m_share;
  bucket.level =
      std::min(bucket.level + rate * ToSeconds(now - bucket.filled),
               static_cast<double>(bucket.team.burst) * m_share);
  bucket.filled = now;
}

bool TeamQuota::Admit(TimePoint now,
                      const std::string& team,
                      std::int64_t cost) {
  const auto found = m_buckets.find(team);
  if (found == m_buckets.end() || found->second.team.rate_per_second == 0)
    return true;
  Fill(now, found->second);
  if (found->second.level < static_cast<double>(cost))
    return false;
  found->second.level -= static_cast<double>(cost);
  return true;
}

void TeamQuota::Refund(const std::string& team, std::int64_t cost) {
  const auto found = m_buckets.find(team);
  if (found != m_buckets.end())
    found->second.level += static_cast<double>(cost);
}

Duration TeamQuota::WaitFor(TimePoint now,
                            const std::string& team,
                            std::int64_t cost) {
  const auto found = m_buckets.find(team);
  if (found == m_buckets.end() || found->second.team.rate_per_second == 0)
    return Duration::zero();
  Fill(now, found->second);
  const double missing = static_cast<double>(cost) - found->second.level;
  const double rate =
      static_cast<double>(found->second.team.rate_per_second) * m_share;
  constexpr double kMicroseconds = 1e6;
  return Duration(static_cast<Duration::rep>(std::max(0.0, missing) / rate *
                                             kMicroseconds));
}

void TeamQuota::SetShare(TimePoint now, double share) {
  for (auto& [name, bucket] : m_buckets)
    Fill(now, bucket);
  m_share = share;
}

}  // namespace boragepick
