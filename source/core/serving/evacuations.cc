#include "core/serving/evacuations.h"

#include <algorithm>

namespace boragepick {

bool Evacuations::Request(TimePoint now,
                          const std::string& data_centre,
                          std::uint64_t revision,
                          TimePoint effective_at) {
  const auto [evacuation, is_new] = m_active.try_emplace(
      data_centre, Evacuation{.known_since = now,
                              .effective_at = std::max(now, effective_at)});
  evacuation->second.revision = revision;
  return is_new;
}

bool Evacuations::End(const std::string& data_centre) {
  return m_active.erase(data_centre) > 0;
}

std::vector<std::string> Evacuations::Sync(
    const std::vector<std::string>& data_centres) {
  m_is_known = true;
  std::vector<std::string> ended;
  for (const auto& [data_centre, evacuation] : m_active) {
    if (std::ranges::find(data_centres, data_centre) == data_centres.end())
      ended.push_back(data_centre);
  }
  return ended;
}

bool Evacuations::Permits(TimePoint now, const std::string& data_centre) const {
  if (!m_is_known)
    return false;
  const auto evacuation = m_active.find(data_centre);
  return evacuation == m_active.end() || now < evacuation->second.effective_at;
}

}  // namespace boragepick
