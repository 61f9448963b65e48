#include "core/serving/crash_suspects.h"

#include "common/hashing.h"

namespace boragepick {

namespace {

// Identifies a request by its team, target and body, because a caller's retry
// of the same request has another id.
Fingerprint FingerprintOf(const Exchange& exchange) {
  const ServingRequest& request = *exchange.request;
  return StableHash(request.body,
                    StableHash(request.target, StableHash(exchange.team)));
}

}  // namespace

std::optional<CrashNotice> CrashSuspects::RecordBrokenRun(
    TimePoint now,
    const Exchange& exchange,
    const std::string& worker,
    std::int64_t born) {
  CrashNotice notice{.fingerprint = FingerprintOf(exchange),
                     .crash = worker + "/" + std::to_string(born)};
  if (!m_quarantine.Apply(now, notice))
    return std::nullopt;
  return notice;
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
  m_quarantine.Apply(now, notice);
}

bool CrashSuspects::ShouldRefuse(TimePoint now, const Exchange& exchange) {
  return m_quarantine.Size() > 0 &&
         m_quarantine.VerdictFor(now, FingerprintOf(exchange)) ==
             QuarantineVerdict::kConvicted;
}

}  // namespace boragepick
