// Maintains one key in the platform's key-value store for as long as this
// process runs: the key is attached to a lease that is renewed, and is written
// again under a new lease when the old one has expired or the store has come
// back from an older copy. A state machine without input or output.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "common/time.h"

namespace boragepick {

using LeaseId = std::uint64_t;

struct GrantLease {
  Duration ttl = Duration::zero();
};
struct RenewLease {
  LeaseId lease = 0;
};
struct WriteLeased {
  std::string key;
  std::string value;
  LeaseId lease = 0;
};

using LeaseEffect = std::variant<GrantLease, RenewLease, WriteLeased>;

// The outcome of a call.
enum class LeaseOutcome { kDone, kLeaseExpired, kFailed };

class LeasedRecord {
 public:
  // A lease that is not renewed for this time expires.
  static constexpr Duration kLeaseTtl = std::chrono::seconds(6);
  static constexpr Duration kRenewPeriod = std::chrono::seconds(2);
  static constexpr Duration kRetryDelay = std::chrono::milliseconds(300);

  LeasedRecord(std::string key, std::string value)
      : m_key(std::move(key)), m_value(std::move(value)) {}

  // The next call, if one is due and none is pending.
  std::optional<LeaseEffect> Tick(TimePoint now);
  void OnLeaseGranted(TimePoint now, std::optional<LeaseId> lease);
  void OnRenewed(TimePoint now, LeaseOutcome outcome);
  void OnWritten(TimePoint now, LeaseOutcome outcome);

  // The store may have given the lease's number to somebody else since, so the
  // lease is not renewed. The reply to a pending call is ignored.
  void OnStoreReverted(TimePoint now);

  TimePoint NextTick() const { return m_next_tick; }

 private:
  // Returns whether the reply is to a call from before the store came back.
  bool IsReplyOutdated(TimePoint now);

  enum class Phase { kNoLease, kUnwritten, kWritten };

  std::string m_key;
  std::string m_value;
  Phase m_phase = Phase::kNoLease;
  LeaseId m_lease = 0;
  TimePoint m_next_tick = TimePoint{};
  bool m_ignore_reply = false;
};

}  // namespace boragepick
