// RequestTable's detection of requests that crash workers.
#include <algorithm>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "common/hashing.h"
#include "core/serving/request_table.h"

namespace boragepick {

namespace {

// Routers that send the convictions to one that has started.
constexpr std::size_t kConvictionSenders = 3;
// A router that was cut off from the others receives the convictions about once
// in this time.
constexpr Duration kConvictionSharePeriod = std::chrono::milliseconds(500);

// Returns the names, separated by commas.
std::string JoinNames(const std::set<std::string>& names) {
  std::string joined;
  for (const std::string& name : names) {
    if (!joined.empty())
      joined += ',';
    joined += name;
  }
  return joined;
}

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
                                        const Exchange& exchange,
                                        const Attempt& attempt) {
  ++m_metrics.broken_runs;
  const Fingerprint fingerprint = FingerprintOf(exchange);
  const bool was_convicted = m_crash_suspects.IsConvicted(now, fingerprint);
  const auto notice = m_crash_suspects.RecordBrokenRun(now, exchange, attempt);
  m_state.Log(LogEvent::kRunBroken,
              {{"request", exchange.request->trace_id},
               {"worker", attempt.worker},
               {"born", std::to_string(attempt.worker_born)},
               {"begun", attempt.body_started ? "yes" : "no"},
               {"fingerprint", HexNumber(fingerprint)},
               {"crashes",
                std::to_string(m_crash_suspects.CrashesOf(fingerprint).size())},
               {"parts", PartNames(exchange.request->prompt)},
               {"sent_ms_ago", FormatMilliseconds(now - attempt.sent_at)}});
  if (!notice)
    return;
  m_state.fleet.Broadcast(*notice);
  if (OnConvictions(now))
    BroadcastConvictions(now);
  if (!was_convicted && m_crash_suspects.IsConvicted(now, fingerprint))
    OnRequestConvicted(now, fingerprint);
}

void RequestTable::OnRequestConvicted(TimePoint now, Fingerprint fingerprint) {
  ++m_metrics.requests_convicted;
  m_state.Log(
      LogEvent::kFingerprintConvicted,
      {{"fingerprint", HexNumber(fingerprint)},
       {"crashes", JoinNames(m_crash_suspects.CrashesOf(fingerprint))}});
  CheckOpenRequests(now);
}

void RequestTable::CheckOpenRequests(TimePoint now) {
  for (auto& [id, exchange] : m_exchanges) {
    if (exchange.stage != ExchangeStage::kWaitingTokens)
      ScheduleCheck(exchange, now);
  }
}

void RequestTable::RecordAnswerProgress(TimePoint now, Exchange& exchange) {
  Attempt& attempt = *exchange.attempt;
  if (!IsSuccess(attempt.head->status))
    return;
  if (attempt.begun_at == kNever)
    attempt.begun_at = now;
  if (const auto cleared = m_crash_suspects.RecordProgress(now, exchange))
    OnPartsCleared(exchange, *cleared);
}

void RequestTable::RecordCompletedRun(TimePoint now, const Exchange& exchange) {
  if (const auto cleared = m_crash_suspects.RecordCompletedRun(now, exchange)) {
    m_state.fleet.Broadcast(*cleared);
    m_waiting.OnTurnsChanged();
  }
  if (const auto cleared =
          m_crash_suspects.RecordProgress(now, exchange, /*complete=*/true))
    OnPartsCleared(exchange, *cleared);
}

void RequestTable::OnPartsCleared(const Exchange& exchange,
                                  const CrashNotice& notice) {
  m_metrics.parts_cleared += notice.parts.size();
  for (const PromptPartId part : notice.parts) {
    m_state.Log(LogEvent::kPartCleared,
                {{"part", PromptPartName(part)},
                 {"request", exchange.request->trace_id},
                 {"worker", exchange.attempt->worker},
                 {"begun_ms_ago", FormatMilliseconds(notice.age)}});
  }
  m_state.fleet.Broadcast(notice);
}

void RequestTable::OnCrashNotice(TimePoint now, const CrashNotice& notice) {
  const bool was_convicted =
      m_crash_suspects.IsConvicted(now, notice.fingerprint);
  m_crash_suspects.ApplyNotice(now, notice);
  m_waiting.OnTurnsChanged();
  OnConvictions(now);
  if (!was_convicted && m_crash_suspects.IsConvicted(now, notice.fingerprint))
    OnRequestConvicted(now, notice.fingerprint);
}

bool RequestTable::OnConvictions(TimePoint now) {
  const std::vector<PromptPartId> convicted =
      m_crash_suspects.TakeNewConvictions();
  if (convicted.empty())
    return false;
  m_metrics.parts_convicted += convicted.size();
  for (const PromptPartId part : convicted) {
    std::string crashes;
    for (const PartEvidence& evidence :
         m_crash_suspects.parts().EvidenceAgainst(part)) {
      if (!crashes.empty())
        crashes += ',';
      crashes += evidence.crash;
    }
    m_state.Log(LogEvent::kPartConvicted,
                {{"part", PromptPartName(part)}, {"crashes", crashes}});
  }
  CheckOpenRequests(now);
  return true;
}

void RequestTable::BroadcastConvictions(TimePoint now) {
  for (const CrashNotice& notice : m_crash_suspects.ConvictionNotices(now))
    m_state.fleet.Broadcast(notice);
}

void RequestTable::SendConvictions(TimePoint now, const RouterRecord& router) {
  std::vector<std::string> senders =
      RendezvousOrder(router.vm, m_state.fleet.LiveRouters());
  std::erase(senders, router.vm);
  senders.resize(std::min(senders.size(), kConvictionSenders));
  if (std::ranges::find(senders, m_state.options.vm) == senders.end())
    return;
  for (CrashNotice& notice : m_crash_suspects.ConvictionNotices(now))
    m_state.Emit(SendToEndpoint{.endpoint = router.endpoint,
                                .message = std::move(notice)});
}

void RequestTable::ShareConvictions(TimePoint now) {
  if (now < m_next_conviction_share)
    return;
  m_next_conviction_share = now + kConvictionSharePeriod;
  std::vector<CrashNotice> notices = m_crash_suspects.ConvictionNotices(now);
  const std::vector<std::string>& routers = m_state.fleet.LiveRouters();
  if (notices.empty() || routers.empty())
    return;
  const std::string& vm = routers[m_state.random.Below(routers.size())];
  if (vm == m_state.options.vm)
    return;
  for (CrashNotice& notice : notices)
    m_state.fleet.SendToVm(vm, std::move(notice));
}

std::optional<PromptPartId> RequestTable::FindConvictedPart(
    TimePoint now,
    const Exchange& exchange) {
  const auto part = m_crash_suspects.FindConvictedPart(
      now, exchange,
      {.self = m_state.options.vm, .routers = m_state.fleet.LiveRouters()});
  if (const auto probed = m_crash_suspects.TakeNewProbe()) {
    ++m_metrics.part_probes;
    m_state.Log(LogEvent::kPartProbed,
                {{"part", PromptPartName(*probed)},
                 {"request", exchange.request->trace_id}});
    m_state.fleet.Broadcast(CrashNotice{.probed = *probed});
  }
  return part;
}

bool RequestTable::HasTurn(TimePoint now, const Exchange& exchange) {
  if (!m_crash_suspects.IsSuspect(now, exchange))
    return true;
  const bool has_turn =
      m_trials.Acquire(now, exchange.request->id, FingerprintOf(exchange),
                       m_state.fleet.LiveRouters());
  SendTrialRequests();
  return has_turn;
}

void RequestTable::ReleaseTrial(const Exchange& exchange) {
  m_trials.Release(exchange.request->id);
  SendTrialRequests();
}

void RequestTable::OnTrialGrant(TimePoint now, const SlotGrant& grant) {
  const auto id = m_trials.HandleGrant(now, grant);
  Exchange* exchange = id ? Find(*id) : nullptr;
  if (exchange != nullptr && exchange->stage == ExchangeStage::kHeld)
    Dispatch(now, *exchange);
}

void RequestTable::SendTrialRequests() {
  for (TrialSlots::Outgoing& outgoing : m_trials.TakeRequests())
    m_state.fleet.SendToVm(outgoing.vm, std::move(outgoing.request));
}

bool RequestTable::RefuseConvicted(TimePoint now, Exchange& exchange) {
  exchange.convicted_part = FindConvictedPart(now, exchange);
  if (!exchange.convicted_part && !m_crash_suspects.IsConvicted(now, exchange))
    return false;
  if (exchange.head_sent)
    Abort(now, exchange, "breaks workers");
  else
    Refuse(now, exchange, ServingRefusal::kBreaksWorkers);
  return true;
}

bool RequestTable::CancelConvicted(TimePoint now, Exchange& exchange) {
  if (exchange.attempt->begun_at != kNever)
    return false;
  const bool is_convicted = FindConvictedPart(now, exchange).has_value() ||
                            m_crash_suspects.IsConvicted(now, exchange);
  if (!is_convicted)
    return false;
  ++exchange.possible_runs;
  CancelCurrentAttempt(exchange);
  return RefuseConvicted(now, exchange);
}

}  // namespace boragepick
