#include "core/store/leased_record.h"

#include <utility>

namespace boragepick {

std::optional<LeaseEffect> LeasedRecord::Tick(TimePoint now) {
  if (now < m_next_tick)
    return std::nullopt;
  m_next_tick = kNever;
  switch (m_phase) {
    case Phase::kNoLease:
      return GrantLease{.ttl = kLeaseTtl};
    case Phase::kUnwritten:
      return WriteLeased{.key = m_key, .value = m_value, .lease = m_lease};
    case Phase::kWritten:
      return RenewLease{.lease = m_lease};
  }
  return std::nullopt;
}

void LeasedRecord::OnStoreReverted(TimePoint now) {
  m_phase = Phase::kNoLease;
  m_lease = 0;
  const bool pending = m_next_tick == kNever;
  m_ignore_reply = m_ignore_reply || pending;
  if (!pending)
    m_next_tick = now;
}

bool LeasedRecord::IsReplyOutdated(TimePoint now) {
  if (!std::exchange(m_ignore_reply, false))
    return false;
  m_next_tick = now;
  return true;
}

void LeasedRecord::OnLeaseGranted(TimePoint now, std::optional<LeaseId> lease) {
  if (IsReplyOutdated(now))
    return;
  if (!lease) {
    m_next_tick = now + kRetryDelay;
    return;
  }
  m_lease = *lease;
  m_phase = Phase::kUnwritten;
  m_next_tick = now;
}

void LeasedRecord::OnWritten(TimePoint now, LeaseOutcome outcome) {
  if (IsReplyOutdated(now))
    return;
  switch (outcome) {
    case LeaseOutcome::kDone:
      m_phase = Phase::kWritten;
      m_next_tick = now + kRenewPeriod;
      return;
    case LeaseOutcome::kLeaseExpired:
      m_phase = Phase::kNoLease;
      m_next_tick = now;
      return;
    case LeaseOutcome::kFailed:
      m_next_tick = now + kRetryDelay;
      return;
  }
}

void LeasedRecord::OnRenewed(TimePoint now, LeaseOutcome outcome) {
  if (IsReplyOutdated(now))
    return;
  if (outcome == LeaseOutcome::kLeaseExpired)
    m_phase = Phase::kNoLease;
  m_next_tick = outcome == LeaseOutcome::kDone           ? now + kRenewPeriod
                : outcome == LeaseOutcome::kLeaseExpired ? now
                                                         : now + kRetryDelay;
}

}  // namespace boragepick
