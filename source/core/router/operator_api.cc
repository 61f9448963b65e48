#include "core/router/operator_api.h"

#include <algorithm>
#include <stdexcept>

#include "common/error.h"

namespace boragepick {

namespace {

constexpr Duration kVerifyDelay = std::chrono::milliseconds(300);

constexpr std::array kOperatorErrors{
    OperatorErrorRow{OperatorErrorCode::kInvalid, "invalid", 400},
    OperatorErrorRow{OperatorErrorCode::kConflict, "conflict", 409},
    OperatorErrorRow{OperatorErrorCode::kNotFound, "not_found", 404},
    OperatorErrorRow{OperatorErrorCode::kInUse, "in_use", 409},
    OperatorErrorRow{OperatorErrorCode::kUnavailable, "unavailable", 503},
    OperatorErrorRow{OperatorErrorCode::kUnknown, "unknown", 504},
};

std::string VersionConflictMessage(Revision expected, Revision stored) {
  return "expected resource_version " + std::to_string(expected) +
         ", stored is " + std::to_string(stored);
}

}  // namespace

const OperatorErrorRow& OperatorErrorInfo(OperatorErrorCode code) {
  const auto row =
      std::ranges::find(kOperatorErrors, code, &OperatorErrorRow::value);
  if (row == kOperatorErrors.end())
    throw std::logic_error("operator error without a row");
  return *row;
}

void OperatorApi::Reply(std::uint64_t id, OperatorReply reply) {
  m_state.Emit(OperatorReplied{.id = id, .reply = std::move(reply)});
}

void OperatorApi::HandleRequest(TimePoint now, const OperatorRequest& request) {
  const bool needs_view = !std::holds_alternative<GetStatus>(request.action) &&
                          !std::holds_alternative<GetMetrics>(request.action);
  if (needs_view && !m_state.feed.HasView()) {
    Reply(request.id,
          OperatorError{.code = OperatorErrorCode::kUnavailable,
                        .message = "this router has no configuration yet"});
    return;
  }
  std::visit([&](const auto& action) { Execute(now, request, action); },
             request.action);
}

void OperatorApi::Execute(TimePoint /*now*/,
                          const OperatorRequest& request,
                          const GetResources& action) {
  ResourceList list;
  for (const auto& [name, resource] : m_state.view.All(action.kind)) {
    if (action.name.empty() || action.name == name)
      list.resources.push_back(
          {.resource = resource, .conditions = ConditionsOf(resource)});
  }
  if (list.resources.empty() && !action.name.empty()) {
    Reply(request.id,
          OperatorError{
              .code = OperatorErrorCode::kNotFound,
              .message = "there is no " +
                         std::string(kResourceKindNames.Name(action.kind)) +
                         " '" + action.name + "'"});
    return;
  }
  Reply(request.id, std::move(list));
}

void OperatorApi::Execute(TimePoint now,
                          const OperatorRequest& request,
                          const PutResource& action) {
  const ResourceKind kind = KindOf(action.resource.spec);
  try {
    ValidateResource(action.resource);
    m_state.view.CheckReferences(action.resource);
  } catch (const Error& error) {
    Reply(request.id, OperatorError{.code = OperatorErrorCode::kInvalid,
                                    .message = error.reason()});
    return;
  }
  const Resource* stored = m_state.view.Find(kind, action.resource.name);
  const Revision base = stored == nullptr ? 0 : stored->resource_version;
  if (action.expected && *action.expected != base) {
    Reply(request.id, OperatorError{.code = OperatorErrorCode::kConflict,
                                    .message = VersionConflictMessage(
                                        *action.expected, base)});
    return;
  }
  const bool unchanged =
      stored != nullptr && stored->spec == action.resource.spec;
  if (action.dry_run || unchanged) {
    Reply(request.id, Accepted{.kind = kind,
                               .name = action.resource.name,
                               .resource_version = base,
                               .dry_run = action.dry_run});
    return;
  }
  OpenWrite write{.operator_id = request.id,
                  .base = base,
                  .resource = action.resource,
                  .kind = kind,
                  .name = action.resource.name};
  write.resource.writer_token = request.writer_token;
  StartWrite(now, std::move(write));
}

void OperatorApi::Execute(TimePoint now,
                          const OperatorRequest& request,
                          const DeleteResource& action) {
  const Resource* stored = m_state.view.Find(action.kind, action.name);
  if (stored == nullptr) {
    Reply(request.id,
          OperatorError{
              .code = OperatorErrorCode::kNotFound,
              .message = "there is no " +
                         std::string(kResourceKindNames.Name(action.kind)) +
                         " '" + action.name + "'"});
    return;
  }
  if (action.expected && *action.expected != stored->resource_version) {
    Reply(request.id,
          OperatorError{.code = OperatorErrorCode::kConflict,
                        .message = VersionConflictMessage(
                            *action.expected, stored->resource_version)});
    return;
  }
  try {
    m_state.view.CheckUnused(action.kind, action.name);
  } catch (const Error& error) {
    Reply(request.id, OperatorError{.code = OperatorErrorCode::kInUse,
                                    .message = error.reason()});
    return;
  }
  StartWrite(now, {.operator_id = request.id,
                   .base = stored->resource_version,
                   .deletion = true,
                   .kind = action.kind,
                   .name = action.name});
}

void OperatorApi::StartWrite(TimePoint now, OpenWrite write) {
  write.reply_deadline = now + kReplyTimeout;
  const std::uint64_t call = m_state.NextCall();
  const OpenWrite& open = m_writes[call] = std::move(write);
  SendWrite(call, open);
}

void OperatorApi::SendWrite(std::uint64_t call, const OpenWrite& write) {
  if (write.deletion) {
    m_state.Emit(DeleteRecord{.call = call,
                              .base = write.base,
                              .kind = write.kind,
                              .name = write.name});
    return;
  }
  m_state.Emit(
      WriteRecord{.call = call, .base = write.base, .record = write.resource});
}

void OperatorApi::SendVerifyingRead(std::uint64_t call,
                                    const OpenWrite& write) {
  m_state.Emit(
      ReadResource{.call = call, .kind = write.kind, .name = write.name});
}

bool OperatorApi::HandleWritten(TimePoint now, const RecordWritten& written) {
  const auto found = m_writes.find(written.call);
  if (found == m_writes.end())
    return false;
  if (written.outcome == WriteOutcome::kWritten)
    CompleteWrite(written.call, written.revision);
  else if (written.outcome == WriteOutcome::kUnknown)
    found->second.verify_at = now + kVerifyDelay;
  else
    SendVerifyingRead(written.call, found->second);
  return true;
}

bool OperatorApi::HandleRead(TimePoint now, const ResourceRead& read) {
  const auto found = m_writes.find(read.call);
  if (found == m_writes.end())
    return false;
  OpenWrite& write = found->second;
  if (!read.answered) {
    write.verify_at = now + kVerifyDelay;
    return true;
  }
  const bool applied = write.deletion
                           ? !read.resource
                           : read.resource && read.resource->writer_token ==
                                                  write.resource.writer_token;
  const Revision stored = read.resource ? read.resource->resource_version : 0;
  if (applied)
    CompleteWrite(read.call, stored);
  else if (stored == write.base)
    SendWrite(read.call, write);
  else
    FailWrite(read.call, OperatorErrorCode::kConflict,
              VersionConflictMessage(write.base, stored));
  return true;
}

void OperatorApi::CompleteWrite(std::uint64_t call, Revision revision) {
  const OpenWrite& write = m_writes.at(call);
  Reply(write.operator_id, Accepted{.kind = write.kind,
                                    .name = write.name,
                                    .resource_version = revision});
  m_writes.erase(call);
}

void OperatorApi::FailWrite(std::uint64_t call,
                            OperatorErrorCode code,
                            const std::string& message) {
  Reply(m_writes.at(call).operator_id,
        OperatorError{.code = code, .message = message});
  m_writes.erase(call);
}

void OperatorApi::Tick(TimePoint now) {
  std::vector<std::uint64_t> timed_out;
  for (auto& [call, write] : m_writes) {
    if (now >= write.reply_deadline) {
      timed_out.push_back(call);
    } else if (now >= write.verify_at) {
      write.verify_at = kNever;
      SendVerifyingRead(call, write);
    }
  }
  for (const std::uint64_t call : timed_out) {
    FailWrite(call, OperatorErrorCode::kUnknown,
              "the platform's service did not reply; the change may have been "
              "applied: read the resource again");
  }
}

std::vector<std::string> OperatorApi::ConditionsOf(
    const Resource& resource) const {
  std::vector<std::string> conditions;
  const FeedNode::Progress& at_relay = m_state.feed.relay_progress();
  const bool in_force_here =
      resource.resource_version <= m_state.feed.revision();
  const bool in_force_behind_relay =
      at_relay.lowest >= resource.resource_version;
  conditions.push_back(in_force_here && in_force_behind_relay
                           ? "in force on this node and all behind its relay"
                           : "in force on this node");
  const auto* model = std::get_if<ModelSpec>(&resource.spec);
  if (model == nullptr)
    return conditions;
  const PermitRecord* record = m_state.view.PermitsOf(resource.name);
  const std::size_t permits = record == nullptr ? 0 : record->permits.size();
  for (std::size_t i = 0; i < permits; ++i) {
    const Permit& permit = record->permits[i];
    conditions.push_back("permitted on " + permit.vm + " (" +
                         std::string(kPermitStateNames.Name(permit.state)) +
                         ")");
  }
  if (permits < model->replicas) {
    conditions.push_back(
        "waits for a VM with enough memory: " + std::to_string(permits) +
        " of " + std::to_string(model->replicas) + " replicas are placed");
  }
  for (const std::string& vm : m_agents.VmsWithResident(resource.name))
    conditions.push_back("loaded on " + vm);
  return conditions;
}

void OperatorApi::Execute(TimePoint now,
                          const OperatorRequest& request,
                          const GetStatus& /*action*/) {
  Reply(request.id, MakeStatus(now));
}

void OperatorApi::Execute(TimePoint now,
                          const OperatorRequest& request,
                          const GetMetrics& /*action*/) {
  Reply(request.id, MakeMetrics(now));
}

StatusReport OperatorApi::MakeStatus(TimePoint now) const {
  StatusReport report{.vm = m_state.options.vm,
                      .data_centre = m_state.options.data_centre,
                      .incarnation = m_state.options.incarnation,
                      .draining = m_state.draining,
                      .revision = m_state.feed.revision(),
                      .watching = m_state.feed.watching(),
                      .relay = m_state.feed.relay(),
                      .roster_version = m_state.roster.version(),
                      .routers = m_state.roster.LiveRouters().size(),
                      .open_requests = m_requests.OpenRequests()};
  if (m_state.feed.HasView())
    report.view_age = m_state.feed.Age(now);
  const FeedNode::Progress subtree = m_state.feed.watching()
                                         ? m_state.feed.SubtreeProgress(now)
                                         : m_state.feed.relay_progress();
  report.nodes = subtree.nodes;
  report.lowest_in_force = subtree.lowest;
  for (const RosterEntry& entry : m_state.roster.list().entries)
    report.agents += entry.role == NodeRole::kAgent ? 1 : 0;
  for (const auto& [name, resource] : m_state.view.All(ResourceKind::kModel)) {
    ModelStatus status{
        .model = name,
        .replicas_decided = std::get<ModelSpec>(resource.spec).replicas,
        .resident_vms = m_agents.VmsWithResident(name)};
    if (const PermitRecord* record = m_state.view.PermitsOf(name)) {
      for (const Permit& permit : record->permits) {
        const bool active = permit.state == PermitState::kActive;
        (active ? status.permitted_vms : status.revoked_vms)
            .push_back(permit.vm);
      }
    }
    report.models.push_back(std::move(status));
  }
  const SchedulerMetrics& metrics = m_requests.metrics();
  for (const auto& [name, resource] : m_state.view.All(ResourceKind::kTeam)) {
    TeamStatus status{.team = name,
                      .waiting_requests = m_requests.WaitingRequests(name),
                      .share_tokens_per_second = m_state.quota.ShareOf(name)};
    if (const auto it = metrics.admitted_tokens_by_team.find(name);
        it != metrics.admitted_tokens_by_team.end())
      status.admitted_tokens = it->second;
    if (const auto it = metrics.refused_by_team.find(name);
        it != metrics.refused_by_team.end())
      status.refused_requests = it->second;
    report.teams.push_back(std::move(status));
  }
  return report;
}

MetricsReport OperatorApi::MakeMetrics(TimePoint now) const {
  MetricsReport report;
  const auto add = [&](const std::string& name, const std::string& labels,
                       double value) {
    report.metrics.push_back(
        {.name = "boragepick_" + name, .labels = labels, .value = value});
  };
  const auto add_summary = [&](const std::string& name,
                               const Summary& summary) {
    for (std::size_t i = 0; i < Summary::kQuantiles.size(); ++i) {
      const std::string quantile =
          std::to_string(Summary::kQuantiles[i]).substr(0, 4);
      add(name, "quantile=\"" + quantile + "\"", summary.Quantile(i));
    }
    add(name + "_sum", "", summary.Sum());
    add(name + "_count", "", static_cast<double>(summary.Count()));
  };
  const SchedulerMetrics& metrics = m_requests.metrics();
  add("requests_total", "", static_cast<double>(metrics.requests));
  add("answered_total", "", static_cast<double>(metrics.answered));
  add("retries_total", "", static_cast<double>(metrics.retries));
  add("tokens_total", "", static_cast<double>(metrics.tokens));
  for (const auto& [code, count] : metrics.refused) {
    add("refused_total", "code=\"" + std::string(RefusalInfo(code).name) + "\"",
        static_cast<double>(count));
  }
  for (const auto& [team, tokens] : metrics.admitted_tokens_by_team)
    add("team_admitted_tokens_total", "team=\"" + team + "\"",
        static_cast<double>(tokens));
  add_summary("first_token_warm_seconds", metrics.first_token_warm);
  add_summary("first_token_cold_seconds", metrics.first_token_cold);
  add_summary("token_wait_seconds", metrics.token_wait);
  add("open_requests", "", static_cast<double>(m_requests.OpenRequests()));
  add("feed_revision", "", static_cast<double>(m_state.feed.revision()));
  if (m_state.feed.HasView())
    add("feed_age_seconds", "", ToSeconds(m_state.feed.Age(now)));
  add("feed_watching", "", m_state.feed.watching() ? 1 : 0);
  add("roster_version", "", static_cast<double>(m_state.roster.version()));
  return report;
}

}  // namespace boragepick
