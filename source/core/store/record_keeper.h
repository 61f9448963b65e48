// Keeps one key in the platform's key-value service for as long as this process
// runs: the key hangs on a lease that is renewed, and is written anew when the
// lease has ended. Sans input and output.
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
  Duration life = Duration::zero();
};
struct RenewLease {
  LeaseId lease = 0;
};
struct WriteLeased {
  std::string key;
  std::string value;
  LeaseId lease = 0;
};

using KeeperEffect = std::variant<GrantLease, RenewLease, WriteLeased>;

// How a call of the keeper ended.
enum class KeeperOutcome { kDone, kLeaseEnded, kFailed };

class RecordKeeper {
 public:
  // A lease that is not renewed for so long ends.
  static constexpr Duration kLeaseLife = std::chrono::seconds(6);
  static constexpr Duration kRenewPeriod = std::chrono::seconds(2);
  static constexpr Duration kRetryPause = std::chrono::milliseconds(300);

  RecordKeeper(std::string key, std::string value)
      : m_key(std::move(key)), m_value(std::move(value)) {}

  // The next call, if one is due and none is open.
  std::optional<KeeperEffect> Tick(TimePoint now);
  void LeaseGranted(TimePoint now, std::optional<LeaseId> lease);
  void Renewed(TimePoint now, KeeperOutcome outcome);
  void Written(TimePoint now, KeeperOutcome outcome);

  TimePoint NextTick() const { return m_next_call; }

 private:
  enum class Phase { kNoLease, kUnwritten, kKept };

  std::string m_key;
  std::string m_value;
  Phase m_phase = Phase::kNoLease;
  LeaseId m_lease = 0;
  TimePoint m_next_call = TimePoint{};
};

}  // namespace boragepick
