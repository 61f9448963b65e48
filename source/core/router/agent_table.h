// A router's view of its agents: the last report of each, the requests sent
// since then, and which agents are temporarily excluded as unresponsive. Any of
// it may be out of date.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "common/random.h"
#include "common/time.h"
#include "core/config/config_view.h"
#include "core/peer_messages.h"
#include "core/roster/roster.h"
#include "core/scheduling/load_balancing.h"

namespace boragepick {

struct AgentChoice {
  std::string vm;
  std::string endpoint;
  // The number of candidates and the selected one, for the log.
  std::size_t candidates = 0;
  Candidate chosen;
};

class AgentTable {
 public:
  // Time for which an agent is excluded after it made no progress.
  static constexpr Duration kUnresponsiveBackoff = std::chrono::seconds(3);

  void ApplyReport(TimePoint now,
                   const std::string& vm,
                   const AgentReport& report);
  void RecordSent(const std::string& vm);
  void MarkUnresponsive(TimePoint now, const std::string& vm);

  struct Query {
    // Empty for a plain service.
    std::string model;
    std::string pool;
    std::uint64_t affinity = 0;
    std::string data_centre;
    // Agents that have already failed this request.
    const std::set<std::string>* excluded = nullptr;
  };
  // Selects the agent to send to; nothing when no agent can serve it now.
  template <LoadBalancingPolicy Policy>
  std::optional<AgentChoice> Choose(TimePoint now,
                                    const Query& query,
                                    const ConfigView& view,
                                    const Roster& roster,
                                    Policy& policy,
                                    Random& random);

  const AgentReport* FindReport(const std::string& vm) const;
  // VMs whose last report shows `unit` as resident.
  std::vector<std::string> VmsWithResident(const std::string& unit) const;

 private:
  struct AgentState {
    AgentReport report;
    std::uint32_t sent_since = 0;
    TimePoint unresponsive_until = TimePoint{};
  };

  // Fills m_entries and m_candidates, which correspond by index.
  void CollectCandidates(TimePoint now,
                         const Query& query,
                         const ConfigView& view,
                         const Roster& roster);
  void AddCandidate(TimePoint now,
                    const Query& query,
                    const RosterEntry& entry);

  std::map<std::string, AgentState> m_agents;
  // Members only to reuse their memory between calls.
  std::vector<const RosterEntry*> m_entries;
  std::vector<Candidate> m_candidates;
};

template <LoadBalancingPolicy Policy>
std::optional<AgentChoice> AgentTable::Choose(TimePoint now,
                                              const Query& query,
                                              const ConfigView& view,
                                              const Roster& roster,
                                              Policy& policy,
                                              Random& random) {
  CollectCandidates(now, query, view, roster);
  const LoadBalancingInput input{.candidates = m_candidates,
                                 .affinity = query.affinity};
  const std::optional<std::size_t> index = policy.Choose(input, random);
  if (!index)
    return std::nullopt;
  return AgentChoice{.vm = m_entries[*index]->vm,
                     .endpoint = m_entries[*index]->peer_endpoint,
                     .candidates = m_candidates.size(),
                     .chosen = m_candidates[*index]};
}

}  // namespace boragepick
