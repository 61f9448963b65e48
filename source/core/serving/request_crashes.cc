// RequestTable's detection of requests that crash workers.
#include "core/serving/request_table.h"

namespace boragepick {

namespace {

// Returns the prompt's part ids in hexadecimal, separated by commas.
std::string PartNames(const std::vector<PromptPart>& prompt) {
  std::string names;
  for (const PromptPart& part : prompt) {
    if (!names.empty())
      names += ',';
    names += PromptPartName(part.id);
  }
  return names;
}

}  // namespace

void RequestTable::RecordSuspectedCrash(TimePoint now,
                                        const Exchange& exchange) {
  const Worker* worker = m_state.workers.Find(exchange.attempt->worker);
  if (worker == nullptr)
    return;
  ++m_metrics.broken_runs;
  m_state.Log(
      LogEvent::kRunBroken,
      {{"request", exchange.request->trace_id},
       {"worker", worker->entry.id},
       {"born", std::to_string(worker->entry.contents.born)},
       {"begun", exchange.attempt->body_started ? "yes" : "no"},
       {"parts", PartNames(exchange.request->prompt)},
       {"sent_ms_ago", FormatMilliseconds(now - exchange.attempt->sent_at)}});
  const auto notice = m_crash_suspects.RecordBrokenRun(
      now, exchange, worker->entry.id, worker->entry.contents.born);
  if (!notice)
    return;
  if (m_crash_suspects.ShouldRefuse(now, exchange))
    m_state.Log(LogEvent::kFingerprintConvicted,
                {{"request", exchange.request->trace_id},
                 {"team", exchange.team},
                 {"crash", notice->crash}});
  m_state.fleet.Broadcast(*notice);
}

void RequestTable::OnCrashNotice(TimePoint now, const CrashNotice& notice) {
  m_crash_suspects.ApplyNotice(now, notice);
}

}  // namespace boragepick
