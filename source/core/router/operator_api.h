// Answers operators: reads from the view in force, writes by compare-and-swap.
// A write whose answer was lost is found out by the token of its writer and
// never applied twice.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "common/time.h"
#include "core/operator_messages.h"
#include "core/router/agent_table.h"
#include "core/router/request_scheduler.h"
#include "core/router/router_state.h"

namespace boragepick {

class OperatorApi {
 public:
  // An operator is answered within so long.
  static constexpr Duration kPatience = std::chrono::seconds(5);

  OperatorApi(RouterState& state,
              const AgentTable& agents,
              const RequestScheduler& requests)
      : m_state(state), m_agents(agents), m_pending(requests) {}

  void Ask(TimePoint now, const OperatorRequest& request);
  // The answers to calls that this part made; false for others.
  bool Written(TimePoint now, const RecordWritten& written);
  bool Read(TimePoint now, const ResourceRead& read);
  void Tick(TimePoint now);
  bool Busy() const { return !m_writes.empty(); }

 private:
  struct OpenWrite {
    std::uint64_t operator_id = 0;
    TimePoint give_up;
    Revision base = 0;
    // Empty spec for a deletion.
    Resource resource;
    bool deletion = false;
    ResourceKind kind = ResourceKind::kModel;
    std::string name;
    // When its outcome is looked up; kNever while a call is open.
    TimePoint read_at = kNever;
  };

  void Do(TimePoint now,
          const OperatorRequest& request,
          const GetResources& action);
  void Do(TimePoint now,
          const OperatorRequest& request,
          const PutResource& action);
  void Do(TimePoint now,
          const OperatorRequest& request,
          const DeleteResource& action);
  void Do(TimePoint now,
          const OperatorRequest& request,
          const GetStatus& action);
  void Do(TimePoint now,
          const OperatorRequest& request,
          const GetMetrics& action);

  void StartWrite(TimePoint now, OpenWrite write);
  void SendWrite(std::uint64_t call, const OpenWrite& write);
  void SendRead(std::uint64_t call, const OpenWrite& write);
  void Accept(std::uint64_t call, Revision revision);
  void Fail(std::uint64_t call,
            OperatorErrorCode code,
            const std::string& message);
  void Reply(std::uint64_t id, OperatorReply reply);
  std::vector<std::string> ConditionsOf(const Resource& resource) const;
  StatusReport MakeStatus(TimePoint now) const;
  MetricsReport MakeMetrics(TimePoint now) const;

  RouterState& m_state;
  const AgentTable& m_agents;
  const RequestScheduler& m_pending;
  std::map<std::uint64_t, OpenWrite> m_writes;
};

}  // namespace boragepick
