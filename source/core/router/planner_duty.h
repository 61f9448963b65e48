// The duty of planning permits: each model has one router that should do it,
// found by hashing.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "common/time.h"
#include "core/placement/planner.h"
#include "core/router/agent_table.h"
#include "core/router/router_state.h"

namespace boragepick {

class PlannerDuty {
 public:
  static constexpr Duration kPeriod = std::chrono::milliseconds(300);

  PlannerDuty(RouterState& state, const AgentTable& agents)
      : m_state(state), m_agents(agents) {}

  void Tick(TimePoint now);
  // An agent has said which units it holds, having seen the feed up to its
  // revision.
  void TakeReport(const std::string& vm, const AgentReport& report);
  // The answer to a write of this duty; false when the call is not of this
  // duty.
  bool Written(TimePoint now, const RecordWritten& written);

 private:
  void PlanModel(TimePoint now,
                 const std::string& model,
                 const std::map<std::string, std::uint64_t>& claimed);
  bool IsMine(const std::string& model) const;
  std::map<std::string, std::uint64_t> ClaimedMb() const;
  std::set<std::string> ReleasedBy(const PermitRecord& record) const;

  struct OpenWrite {
    std::string model;
    Revision base = 0;
  };
  struct SeenReport {
    Revision feed_revision = 0;
    std::set<std::string> units;
  };

  RouterState& m_state;
  const AgentTable& m_agents;
  TimePoint m_next = TimePoint{};
  std::map<std::uint64_t, OpenWrite> m_writes;
  // Models with an open or an undecided write: planned again when the feed
  // shows a newer record.
  std::map<std::string, TimePoint> m_wait_until;
  std::map<std::string, SeenReport> m_reports;
};

}  // namespace boragepick
