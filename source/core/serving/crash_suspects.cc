#include "core/serving/crash_suspects.h"

#include <algorithm>
#include <utility>

#include "common/hashing.h"

namespace boragepick {

namespace {

// Further parts of longer prompts are not examined.
constexpr std::size_t kMaxSharedParts = 64;
// The latest crashes that are sent as evidence against a convicted part.
constexpr std::size_t kMaxSentCrashes = 8;

// Older evidence counts from this age, so that it isn't removed as expired
// before the notices that complete it arrive.
constexpr Duration kMaxNoticeAge = PromptPartSuspects::kEvidenceLifetime / 2;

// Returns the parts that the prompt may share with other requests: all but the
// last.
std::vector<PromptPartId> SharedParts(const Exchange& exchange) {
  const std::vector<PromptPart>& prompt = exchange.request->prompt;
  std::vector<PromptPartId> shared;
  for (std::size_t i = 0; i + 1 < prompt.size() && i < kMaxSharedParts; ++i)
    shared.push_back(prompt[i].id);
  return shared;
}

bool HasSettled(TimePoint now, TimePoint begun_at) {
  return begun_at != kNever &&
         now - begun_at >= PromptPartSuspects::kSettleTime;
}

}  // namespace

Fingerprint FingerprintOf(const Exchange& exchange) {
  const ServingRequest& request = *exchange.request;
  if (!exchange.fingerprint)
    exchange.fingerprint = StableHash(
        request.body,
        StableHash(request.target,
                   StableHash(exchange.weights, StableHash(exchange.team))));
  return *exchange.fingerprint;
}

std::optional<CrashNotice> CrashSuspects::RecordBrokenRun(
    TimePoint now,
    const Exchange& exchange,
    const Attempt& attempt) {
  // The start time tells restarts of a worker apart.
  CrashNotice notice{
      .fingerprint = FingerprintOf(exchange),
      .crash = attempt.worker + "/" + std::to_string(attempt.worker_born)};
  // A worker that went on with the answer was crashed by another request.
  if (!HasSettled(now, attempt.begun_at)) {
    std::vector<PromptPartId> parts = SharedParts(exchange);
    if (m_parts.RecordBrokenRun(now, notice.crash, parts)) {
      notice.parts = std::move(parts);
      ExcludeExplainedCrashes();
    }
  }
  if (!m_quarantine.Apply(now, notice))
    notice.fingerprint = 0;
  if (notice.fingerprint == 0 && notice.parts.empty())
    return std::nullopt;
  return notice;
}

std::optional<CrashNotice> CrashSuspects::RecordProgress(
    TimePoint now,
    const Exchange& exchange,
    bool complete) {
  const TimePoint begun_at = exchange.attempt->begun_at;
  if (m_parts.IsEmpty() || begun_at == kNever)
    return std::nullopt;
  // The end of a connection may be taken for the end of a stream that a crash
  // has cut off.
  const bool is_whole =
      complete && exchange.route->kind != RequestKind::kStream;
  if (!is_whole && !HasSettled(now, begun_at))
    return std::nullopt;
  std::vector<PromptPartId> cleared =
      m_parts.RecordAnswer(begun_at, SharedParts(exchange));
  if (cleared.empty())
    return std::nullopt;
  ExcludeExplainedCrashes();
  return CrashNotice{
      .cleared = true, .parts = std::move(cleared), .age = now - begun_at};
}

std::optional<CrashNotice> CrashSuspects::RecordCompletedRun(
    TimePoint now,
    const Exchange& exchange) {
  if (m_quarantine.Size() == 0)
    return std::nullopt;
  CrashNotice notice{.fingerprint = FingerprintOf(exchange), .cleared = true};
  if (!m_quarantine.Apply(now, notice))
    return std::nullopt;
  return notice;
}

void CrashSuspects::ApplyNotice(TimePoint now, const CrashNotice& notice) {
  if (notice.probed)
    return m_parts.RecordClaim(now, *notice.probed);
  const TimePoint at =
      now - std::clamp(notice.age, Duration::zero(), kMaxNoticeAge);
  if (notice.cleared)
    m_parts.RecordAnswer(at, notice.parts);
  else if (notice.parts.size() <= kMaxSharedParts)
    m_parts.RecordBrokenRun(at, notice.crash, notice.parts);
  ExcludeExplainedCrashes();
  if (notice.fingerprint != 0)
    m_quarantine.Apply(now, notice);
}

bool CrashSuspects::IsConvicted(TimePoint now, const Exchange& exchange) {
  return m_quarantine.Size() > 0 && IsConvicted(now, FingerprintOf(exchange));
}

bool CrashSuspects::IsConvicted(TimePoint now, Fingerprint fingerprint) {
  return m_quarantine.VerdictFor(now, fingerprint) ==
         QuarantineVerdict::kConvicted;
}

bool CrashSuspects::IsSuspect(TimePoint now, const Exchange& exchange) {
  return m_quarantine.Size() > 0 &&
         m_quarantine.VerdictFor(now, FingerprintOf(exchange)) ==
             QuarantineVerdict::kSuspect;
}

std::optional<PromptPartId> CrashSuspects::FindConvictedPart(
    TimePoint now,
    const Exchange& exchange,
    const ProbeGroup& group) {
  if (m_parts.IsEmpty())
    return std::nullopt;
  return m_parts.FindConvicted(now, exchange.request->id, SharedParts(exchange),
                               group);
}

std::vector<CrashNotice> CrashSuspects::ConvictionNotices(TimePoint now) const {
  std::vector<CrashNotice> notices = m_quarantine.EvidenceNotices(now);
  for (const PromptPartId part : m_parts.ConvictedParts()) {
    const std::vector<PartEvidence> evidence = m_parts.EvidenceAgainst(part);
    const std::size_t first =
        evidence.size() - std::min(evidence.size(), kMaxSentCrashes);
    for (std::size_t i = first; i < evidence.size(); ++i) {
      notices.push_back({.crash = evidence[i].crash,
                         .parts = {part},
                         .age = now - evidence[i].at});
    }
  }
  return notices;
}

void CrashSuspects::ExcludeExplainedCrashes() {
  m_quarantine.SetExcludedCrashes(m_parts.explained_crashes());
}

}  // namespace boragepick
