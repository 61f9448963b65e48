// Serves operators' requests: reads from the configuration in force, writes by
// compare-and-swap. When the reply to a write is lost, the stored record's
// writer token shows whether it was applied, so that no write is applied twice.
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
  // Time within which an operator gets a reply.
  static constexpr Duration kReplyTimeout = std::chrono::seconds(5);

  OperatorApi(RouterState& state,
              const AgentTable& agents,
              const RequestScheduler& requests)
      : m_state(state), m_agents(agents), m_requests(requests) {}

  void HandleRequest(TimePoint now, const OperatorRequest& request);
  // Handle the results of this class's calls; return false for other calls.
  bool HandleWritten(TimePoint now, const RecordWritten& written);
  bool HandleRead(TimePoint now, const ResourceRead& read);
  void Tick(TimePoint now);
  bool HasOpenWrites() const { return !m_writes.empty(); }

 private:
  struct OpenWrite {
    std::uint64_t operator_id = 0;
    TimePoint reply_deadline;
    Revision base = 0;
    // Unused for a deletion.
    Resource resource;
    bool deletion = false;
    ResourceKind kind = ResourceKind::kModel;
    std::string name;
    // Time to read back an unknown outcome; kNever while a call is open.
    TimePoint verify_at = kNever;
  };

  void Execute(TimePoint now,
               const OperatorRequest& request,
               const GetResources& action);
  void Execute(TimePoint now,
               const OperatorRequest& request,
               const PutResource& action);
  void Execute(TimePoint now,
               const OperatorRequest& request,
               const DeleteResource& action);
  void Execute(TimePoint now,
               const OperatorRequest& request,
               const GetStatus& action);
  void Execute(TimePoint now,
               const OperatorRequest& request,
               const GetMetrics& action);

  void StartWrite(TimePoint now, OpenWrite write);
  void SendWrite(std::uint64_t call, const OpenWrite& write);
  void SendVerifyingRead(std::uint64_t call, const OpenWrite& write);
  void CompleteWrite(std::uint64_t call, Revision revision);
  void FailWrite(std::uint64_t call,
                 OperatorErrorCode code,
                 const std::string& message);
  void Reply(std::uint64_t id, OperatorReply reply);
  std::vector<std::string> ConditionsOf(const Resource& resource) const;
  StatusReport MakeStatus(TimePoint now) const;
  MetricsReport MakeMetrics(TimePoint now) const;

  RouterState& m_state;
  const AgentTable& m_agents;
  const RequestScheduler& m_requests;
  std::map<std::uint64_t, OpenWrite> m_writes;
};

}  // namespace boragepick
