#include "core/store/record_keeper.h"

namespace boragepick {

std::optional<KeeperEffect> RecordKeeper::Tick(TimePoint now) {
  if (now < m_next_call)
    return std::nullopt;
  m_next_call = kNever;
  switch (m_phase) {
    case Phase::kNoLease:
      return GrantLease{.life = kLeaseLife};
    case Phase::kUnwritten:
      return WriteLeased{.key = m_key, .value = m_value, .lease = m_lease};
    case Phase::kKept:
      return RenewLease{.lease = m_lease};
  }
  return std::nullopt;
}

void RecordKeeper::LeaseGranted(TimePoint now, std::optional<LeaseId> lease) {
  if (!lease) {
    m_next_call = now + kRetryPause;
    return;
  }
  m_lease = *lease;
  m_phase = Phase::kUnwritten;
  m_next_call = now;
}

void RecordKeeper::Written(TimePoint now, KeeperOutcome outcome) {
  switch (outcome) {
    case KeeperOutcome::kDone:
      m_phase = Phase::kKept;
      m_next_call = now + kRenewPeriod;
      return;
    case KeeperOutcome::kLeaseEnded:
      m_phase = Phase::kNoLease;
      m_next_call = now;
      return;
    case KeeperOutcome::kFailed:
      m_next_call = now + kRetryPause;
      return;
  }
}

void RecordKeeper::Renewed(TimePoint now, KeeperOutcome outcome) {
  if (outcome == KeeperOutcome::kLeaseEnded)
    m_phase = Phase::kNoLease;
  m_next_call = outcome == KeeperOutcome::kDone         ? now + kRenewPeriod
                : outcome == KeeperOutcome::kLeaseEnded ? now
                                                        : now + kRetryPause;
}

}  // namespace boragepick
