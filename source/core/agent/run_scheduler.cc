#include "core/agent/run_scheduler.h"

#include <algorithm>

#include "common/hashing.h"
#include "core/placement/planner.h"

namespace boragepick {

namespace {

// The engine's status for a request whose model is not loaded.
constexpr std::uint32_t kStatusNotLoaded = 404;

}  // namespace

RunScheduler::Run* RunScheduler::Find(RunNumber number) {
  const auto found = m_runs.find(number);
  return found == m_runs.end() ? nullptr : &found->second;
}

void RunScheduler::SendToRouter(TimePoint now, Run& run, PeerMessage message) {
  run.last_sent = now;
  m_state.Emit(SendToEndpoint{.endpoint = run.from.endpoint,
                              .message = std::move(message)});
}

std::string RunScheduler::RefusalReason(TimePoint now,
                                        const RunRequest& request) const {
  if (m_admission_stopped)
    return "the agent is leaving";
  if (m_waiting.size() + m_queue.Size() >= m_state.options.max_waiting)
    return "the agent's request queue is full";
  if (m_request_bytes + request.body.size() > m_state.options.max_request_bytes)
    return "the agent's memory for requests is used up";
  if (request.model.empty())
    return "";
  if (!m_state.view.Resolve(request.model))
    return "the model is not in the agent's configuration";
  if (!m_units.IsPermitted(request.model))
    return "the model is not permitted on this agent";
  if (m_units.IsEngineDown(now))
    return "the engine does not answer";
  return "";
}

void RunScheduler::Handle(TimePoint now,
                          const PeerSender& from,
                          RunRequest request) {
  m_routers[from.vm] = {.endpoint = from.endpoint, .last_request = now};
  const RunKey key{
      .router = from.vm, .incarnation = from.incarnation, .id = request.id};
  if (const auto duplicate = m_numbers.find(key);
      duplicate != m_numbers.end()) {
    SendToRouter(now, m_runs.at(duplicate->second),
                 RunProgress{.id = request.id});
    return;
  }
  // The attempt has already run and its outcome was sent; it cannot be sent
  // again.
  if (m_ended.contains(key))
    return;
  ++m_metrics.received;
  const std::string reason = RefusalReason(now, request);
  const RunNumber number = ++m_last_number;
  Run& run = m_runs[number];
  run.key = key;
  run.from = from;
  run.arrived = now;
  run.deadline = now + request.remaining_time;
  run.last_progress = now;
  run.request = std::move(request);
  m_request_bytes += run.request.body.size();
  m_numbers[key] = number;
  if (!reason.empty()) {
    End(now, number, RunOutcome::kNotRun, reason);
    return;
  }
  SendToRouter(now, run, RunProgress{.id = run.request.id});
  m_waiting.insert(number);
  Dispatch(now);
}

void RunScheduler::Handle(TimePoint now,
                          const PeerSender& from,
                          const CancelRun& cancel) {
  const auto found = m_numbers.find(
      {.router = from.vm, .incarnation = from.incarnation, .id = cancel.id});
  if (found == m_numbers.end())
    return;
  const RunNumber number = found->second;
  const bool started = Find(number)->stage == RunStage::kRunning;
  if (started)
    m_state.Emit(CancelUpstreamRun{.run = number});
  End(now, number, started ? RunOutcome::kInterrupted : RunOutcome::kNotRun,
      "cancelled by the router");
  Dispatch(now);
}

void RunScheduler::Handle(TimePoint now,
                          const PeerSender& from,
                          const RunCredit& credit) {
  const auto found = m_numbers.find(
      {.router = from.vm, .incarnation = from.incarnation, .id = credit.id});
  if (found == m_numbers.end())
    return;
  Run& run = *Find(found->second);
  // Credits may arrive late or twice.
  if (credit.response_limit <= run.request.response_limit)
    return;
  run.request.response_limit = credit.response_limit;
  // The upstream's silence counts from here, since it was not read before.
  run.last_progress = now;
  m_state.Emit(ExtendUpstreamRun{.run = found->second,
                                 .response_limit = credit.response_limit});
}

// --- Start
// ----------------------------------------------------------------------------------------

void RunScheduler::EnqueueReady(TimePoint now) {
  std::vector<RunNumber> ready;
  for (const RunNumber number : m_waiting) {
    const RunRequest& request = m_runs.at(number).request;
    const bool usable = request.model.empty() ||
                        m_units.EnsureLoaded(now, request.model,
                                             request.adapter, request.priority);
    if (usable)
      ready.push_back(number);
  }
  for (const RunNumber number : ready) {
    Run& run = m_runs.at(number);
    m_waiting.erase(number);
    run.stage = RunStage::kQueued;
    run.in_use = true;
    m_units.StartUse(now, run.request.model, run.request.adapter);
    m_queue.Push({.id = number,
                  .team = run.request.team,
                  .priority = run.request.priority,
                  .cost = run.request.cost,
                  .deadline = run.deadline});
  }
}

void RunScheduler::StartNext(TimePoint now) {
  // A request that was started on an engine that is already down would count as
  // the cause of the crash.
  if (!m_units.IsEngineResponsive())
    return;
  while (m_running < m_state.options.slots && !m_suspect_running) {
    std::optional<RunNumber> number = m_suspect_next;
    if (number && Find(*number) == nullptr)
      number.reset();
    if (!number)
      number = m_queue.Pop();
    m_suspect_next.reset();
    if (!number)
      return;
    Run* run = Find(*number);
    if (run == nullptr)
      continue;
    const bool ready =
        run->request.model.empty() ||
        m_units.IsResident(run->request.model, run->request.adapter);
    if (!ready) {
      ReturnToWaiting(now, *number, *run);
      continue;
    }
    if (run->request.suspect && m_running > 0) {
      // Requests that run together with a suspect would fail if it crashed the
      // engine.
      m_suspect_next = number;
      return;
    }
    Start(now, *number, *run);
  }
}

// Called when the engine has restarted while the run was queued.
void RunScheduler::ReturnToWaiting(TimePoint now, RunNumber number, Run& run) {
  m_units.EndUse(now, run.request.model, run.request.adapter);
  run.in_use = false;
  run.stage = RunStage::kWaitingUnit;
  m_waiting.insert(number);
}

void RunScheduler::Start(TimePoint now, RunNumber number, Run& run) {
  run.stage = RunStage::kRunning;
  run.last_progress = now;
  ++m_running;
  m_suspect_running = run.request.suspect;
  ++m_metrics.started;
  m_metrics.queue_seconds.Add(ToSeconds(now - run.arrived));
  m_state.Emit(StartRun{.run = number, .request = run.request});
}

void RunScheduler::EndRefused(TimePoint now) {
  const std::set<std::string> refused = m_units.TakeRefused();
  if (refused.empty())
    return;
  std::vector<RunNumber> ended;
  for (const RunNumber number : m_waiting) {
    const RunRequest& request = m_runs.at(number).request;
    if (refused.contains(request.model) || refused.contains(request.adapter))
      ended.push_back(number);
  }
  for (const RunNumber number : ended)
    End(now, number, RunOutcome::kNotRun,
        "the engine refused to load the model");
}

void RunScheduler::Dispatch(TimePoint now) {
  EndRefused(now);
  EnqueueReady(now);
  m_units.Advance(now);
  StartNext(now);
}

// --- The upstream's answers
// -----------------------------------------------------------------------

void RunScheduler::Handle(TimePoint now, const UpstreamHead& head) {
  Run* run = Find(head.run);
  if (run == nullptr)
    return;
  run->last_progress = now;
  const bool missing = m_state.options.pool == kModelPool &&
                       head.head.status == kStatusNotLoaded;
  if (missing) {
    // The engine has restarted since the last inventory.
    m_state.Emit(CancelUpstreamRun{.run = head.run});
    End(now, head.run, RunOutcome::kNotRun,
        "the engine does not have the model loaded");
    m_units.EmitInventoryRequest();
    return;
  }
  SendToRouter(now, *run, RunHead{.id = run->request.id, .head = head.head});
}

void RunScheduler::Handle(TimePoint now, UpstreamBytes bytes) {
  Run* run = Find(bytes.run);
  if (run == nullptr)
    return;
  run->last_progress = now;
  run->sent_bytes += bytes.bytes.size();
  SendToRouter(now, *run,
               RunChunk{.id = run->request.id,
                        .sequence = run->chunks++,
                        .bytes = std::move(bytes.bytes)});
}

void RunScheduler::Handle(TimePoint now, const UpstreamEnded& ended) {
  Run* run = Find(ended.run);
  if (run == nullptr)
    return;
  if (ended.end == UpstreamEnd::kComplete) {
    End(now, ended.run, RunOutcome::kComplete, "");
  } else if (ended.end == UpstreamEnd::kNotSent) {
    End(now, ended.run, RunOutcome::kNotRun, ended.detail);
    m_units.MarkEngineUnresponsive(now);
    m_units.EmitInventoryRequest();
  } else if (m_state.options.pool != kModelPool) {
    End(now, ended.run, RunOutcome::kInterrupted, ended.detail);
  } else {
    // Only the engine's inventory can distinguish a broken connection from a
    // crash.
    m_units.MarkEngineUnresponsive(now);
    run->stage = RunStage::kBroken;
    run->detail = ended.detail;
    m_units.EmitInventoryRequest();
  }
  Dispatch(now);
}

void RunScheduler::Handle(TimePoint now, const InventoryReceived& inventory) {
  const bool restarted = inventory.answered && !m_engine_run.empty() &&
                         inventory.engine_run != m_engine_run;
  const bool crashed = restarted || !inventory.answered;
  std::vector<RunNumber> broken;
  for (const auto& [number, run] : m_runs) {
    if (run.stage == RunStage::kBroken)
      broken.push_back(number);
  }
  if (crashed && !broken.empty()) {
    ++m_metrics.crashes;
    ++m_crash_count;
  }
  // The id is unique across restarts of the agent, so that two crashes never
  // count as one.
  const std::string crash = m_state.options.vm + "/" +
                            std::to_string(m_state.options.incarnation) + "/" +
                            std::to_string(m_crash_count);
  for (const RunNumber number : broken) {
    const std::string detail = Find(number)->detail;
    End(now, number, crashed ? RunOutcome::kCrashed : RunOutcome::kInterrupted,
        detail, crashed ? crash : "");
  }
  if (inventory.answered)
    m_engine_run = inventory.engine_run;
  Dispatch(now);
}

void RunScheduler::End(TimePoint now,
                       RunNumber number,
                       RunOutcome end,
                       const std::string& detail,
                       const std::string& crash) {
  Run& run = m_runs.at(number);
  const bool held_slot =
      run.stage == RunStage::kRunning || run.stage == RunStage::kBroken;
  if (held_slot) {
    --m_running;
    m_suspect_running = m_suspect_running && !run.request.suspect;
  }
  if (run.in_use)
    m_units.EndUse(now, run.request.model, run.request.adapter);
  m_queue.Remove(number);
  m_waiting.erase(number);
  ++m_metrics.ended[end];
  m_numbers.erase(run.key);
  if (end != RunOutcome::kNotRun)
    RecordEnded(now, run.key);
  m_request_bytes -= run.request.body.size();
  Run ended = std::move(run);
  m_runs.erase(number);
  SendToRouter(now, ended,
               RunEnded{.id = ended.request.id,
                        .outcome = end,
                        .chunks = ended.chunks,
                        .detail = detail,
                        .crash = crash,
                        .report = Report()});
}

// --- Time
// -----------------------------------------------------------------------------------------

void RunScheduler::CheckTimeouts(TimePoint now) {
  for (const RunNumber number : m_queue.RemoveExpired(now))
    End(now, number, RunOutcome::kNotRun,
        "the deadline passed while the request was queued");
  std::vector<RunNumber> late;
  std::vector<RunNumber> silent;
  for (auto& [number, run] : m_runs) {
    if (run.stage == RunStage::kWaitingUnit && run.deadline <= now)
      late.push_back(number);
    const bool timed_out =
        now - run.last_progress >= m_state.options.progress_timeout;
    if (run.stage == RunStage::kRunning && timed_out && !run.AwaitsCredit())
      silent.push_back(number);
    if (now - run.last_sent >= kProgressPeriod)
      SendToRouter(now, run, RunProgress{.id = run.request.id});
  }
  if (m_units.IsEngineDown(now))
    EndUnstarted(now);
  for (const RunNumber number : late)
    End(now, number, RunOutcome::kNotRun,
        "the deadline passed while the model was loading");
  for (const RunNumber number : silent) {
    m_state.Log(LogEvent::kUpstreamSilent, {{"run", std::to_string(number)}});
    m_state.Emit(CancelUpstreamRun{.run = number});
    End(now, number, RunOutcome::kInterrupted,
        "the upstream made no progress before the timeout");
  }
}

void RunScheduler::RecordEnded(TimePoint now, const RunKey& key) {
  m_ended.insert(key);
  m_ended_order.emplace_back(now + kEndedRetention, key);
}

void RunScheduler::RemoveExpiredEnded(TimePoint now) {
  while (!m_ended_order.empty() && m_ended_order.front().first <= now) {
    m_ended.erase(m_ended_order.front().second);
    m_ended_order.pop_front();
  }
}

// Returns the requests that have not started to their routers, which select
// another agent.
void RunScheduler::EndUnstarted(TimePoint now) {
  std::vector<RunNumber> unstarted;
  for (const auto& [number, run] : m_runs) {
    const bool started =
        run.stage == RunStage::kRunning || run.stage == RunStage::kBroken;
    if (!started)
      unstarted.push_back(number);
  }
  for (const RunNumber number : unstarted)
    End(now, number, RunOutcome::kNotRun, "the engine does not answer");
}

void RunScheduler::Tick(TimePoint now) {
  CheckTimeouts(now);
  RemoveExpiredEnded(now);
  std::erase_if(m_routers, [&](const auto& entry) {
    return now - entry.second.last_request >= kRouterExpiry;
  });
  SendReports(now);
  Dispatch(now);
}

AgentReport RunScheduler::Report() const {
  return {
      .running = m_running,
      .waiting = static_cast<std::uint32_t>(m_waiting.size() + m_queue.Size()),
      .slots = m_state.options.slots,
      .leaving = m_state.draining,
      .feed_revision = m_state.feed.revision(),
      .units = m_units.Units()};
}

void RunScheduler::SendReports(TimePoint now) {
  if (now < m_next_report)
    return;
  const AgentReport report = Report();
  ReportReleases(now, report);
  const bool state_changed =
      report.leaving != m_reported.leaving || report.units != m_reported.units;
  const bool load_due = now >= m_next_load_report && report != m_reported;
  if (!state_changed && !load_due)
    return;
  m_next_report = now + kReportPeriod;
  m_next_load_report = now + kLoadReportPeriod;
  m_reported = report;
  for (const auto& [vm, router] : m_routers)
    m_state.Emit(
        SendToEndpoint{.endpoint = router.endpoint, .message = report});
}

void RunScheduler::ReportReleases(TimePoint now, const AgentReport& report) {
  if (now < m_next_release_report)
    return;
  m_next_release_report = now + kProgressPeriod;
  const std::string& self = m_state.options.vm;
  for (const auto& [model, record] : m_state.view.permits()) {
    const bool revoked =
        std::ranges::any_of(record.permits, [&](const Permit& permit) {
          return permit.vm == self && permit.state == PermitState::kRevoked;
        });
    const bool held =
        std::ranges::find(report.units, model, &ResidentUnit::name) !=
        report.units.end();
    if (!revoked || held || !m_units.HasInventory())
      continue;
    const std::vector<std::string> planners =
        RendezvousOrder("planner/" + model, m_state.roster.LiveRouters());
    if (!planners.empty())
      m_state.SendToVm(planners.front(), report);
  }
}

}  // namespace boragepick
