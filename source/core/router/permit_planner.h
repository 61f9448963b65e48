// Plans the permits of models. Rendezvous hashing selects one responsible
// router for each model; compare-and-swap resolves conflicts between two
// planners.
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

class PermitPlanner {
 public:
  static constexpr Duration kPeriod = std::chrono::milliseconds(300);

  PermitPlanner(RouterState& state, const AgentTable& agents)
      : m_state(state), m_agents(agents) {}

  void Tick(TimePoint now);
  // Records which units an agent holds as of the report's feed revision.
  void ApplyReport(const std::string& vm, const AgentReport& report);
  // Handles the result of a write; returns false for calls of other classes.
  bool HandleWritten(TimePoint now, const RecordWritten& written);

 private:
  void PlanModel(TimePoint now,
                 const std::string& model,
                 const std::map<std::string, std::uint64_t>& permitted_mb);
  bool IsResponsibleFor(const std::string& model) const;
  std::map<std::string, std::uint64_t> PermittedMbByVm() const;
  std::set<std::string> VmsThatUnloaded(const PermitRecord& record) const;

  struct OpenWrite {
    std::string model;
    Revision base = 0;
  };
  struct LastReport {
    Revision feed_revision = 0;
    std::set<std::string> units;
  };

  RouterState& m_state;
  const AgentTable& m_agents;
  TimePoint m_next_pass = TimePoint{};
  std::map<std::uint64_t, OpenWrite> m_writes;
  // Earliest time to plan a model again after a write, so that the feed can
  // deliver the new record first.
  std::map<std::string, TimePoint> m_not_before;
  std::map<std::string, LastReport> m_reports;
};

}  // namespace boragepick
