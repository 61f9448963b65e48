// What a router knows of the agents it uses: their last report, what was sent
// since, and which of them it does not trust for the moment. All of it is a
// hint.
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
  // For the log line of the decision.
  std::size_t candidates = 0;
  Candidate chosen;
};

class AgentTable {
 public:
  // An agent whose connection made no progress is passed over for so long.
  static constexpr Duration kDistrust = std::chrono::seconds(3);

  void TakeReport(TimePoint now,
                  const std::string& vm,
                  const AgentReport& report);
  void Sent(const std::string& vm);
  void Distrust(TimePoint now, const std::string& vm);

  struct Question {
    // Empty for a plain service.
    std::string model;
    std::string pool;
    std::uint64_t affinity = 0;
    std::string data_centre;
    // Agents that have failed this request already.
    const std::set<std::string>* avoid = nullptr;
  };
  // The agent to send to; nothing when none may serve it now.
  template <LoadBalancingPolicy Policy>
  std::optional<AgentChoice> Choose(TimePoint now,
                                    const Question& question,
                                    const ConfigView& view,
                                    const Roster& roster,
                                    Policy& policy,
                                    Random& random);

  const AgentReport* ReportOf(const std::string& vm) const;
  // VMs that have reported `unit` as resident.
  std::vector<std::string> ResidentAt(const std::string& unit) const;

 private:
  struct Known {
    AgentReport report;
    std::uint32_t sent_since = 0;
    TimePoint distrusted_until = TimePoint{};
  };

  // Fills m_entries and m_candidates.
  void Collect(TimePoint now,
               const Question& question,
               const ConfigView& view,
               const Roster& roster);
  void Add(TimePoint now, const Question& question, const RosterEntry& entry);

  std::map<std::string, Known> m_known;
  // Kept between calls to save allocations.
  std::vector<const RosterEntry*> m_entries;
  std::vector<Candidate> m_candidates;
};

template <LoadBalancingPolicy Policy>
std::optional<AgentChoice> AgentTable::Choose(TimePoint now,
                                              const Question& question,
                                              const ConfigView& view,
                                              const Roster& roster,
                                              Policy& policy,
                                              Random& random) {
  Collect(now, question, view, roster);
  const ChoiceInput input{.candidates = m_candidates,
                          .affinity = question.affinity};
  const std::optional<std::size_t> index = policy.Choose(input, random);
  if (!index)
    return std::nullopt;
  return AgentChoice{.vm = m_entries[*index]->vm,
                     .endpoint = m_entries[*index]->peer_endpoint,
                     .candidates = m_candidates.size(),
                     .chosen = m_candidates[*index]};
}

}  // namespace boragepick
