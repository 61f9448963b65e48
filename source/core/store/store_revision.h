// Revisions of the platform's store that also grow when the store comes back
// from an older copy, after which it gives out the same numbers again. Each
// such return raises the store's era. A store without eras is always in era 0.
#pragma once

#include <cstdint>
#include <optional>

#include "common/time.h"

namespace boragepick {

using StoreEra = std::uint64_t;

// The era and, in the low kRevisionBits bits, the store's own revision.
using StoreRevision = std::uint64_t;

inline constexpr unsigned kRevisionBits = 44;
inline constexpr StoreRevision kMaxBareRevision =
    (StoreRevision{1} << kRevisionBits) - 1;
// Revisions are also stored as signed numbers.
inline constexpr StoreEra kMaxStoreEra =
    (StoreEra{1} << (63U - kRevisionBits)) - 1;

// Returns nothing if the era or the store's own revision is out of range.
constexpr std::optional<StoreRevision> MakeStoreRevision(
    StoreEra era,
    std::uint64_t bare_revision) {
  if (era > kMaxStoreEra || bare_revision > kMaxBareRevision)
    return std::nullopt;
  return era << kRevisionBits | bare_revision;
}
constexpr StoreEra EraOf(StoreRevision revision) {
  return revision >> kRevisionBits;
}
constexpr std::uint64_t BareRevisionOf(StoreRevision revision) {
  return revision & kMaxBareRevision;
}

// The era of the store's first answer to this process.
struct StoreEraObserved {
  StoreEra era = 0;
};
// The store has come back from an older copy.
struct StoreReverted {
  StoreEra old_era = 0;
  StoreEra era = 0;
  // Time since the latest answer under the old era. What was written before
  // that may be lost as well.
  Duration silence = Duration::zero();
};

// The store's era according to its answers.
class StoreEraTracker {
 public:
  enum class Change { kNone, kFirst, kReverted };

  Change Observe(TimePoint now, StoreEra era) {
    if (m_era && era < *m_era)
      return Change::kNone;
    const Change change = !m_era          ? Change::kFirst
                          : era == *m_era ? Change::kNone
                                          : Change::kReverted;
    if (change == Change::kReverted)
      m_last_revert = {
          .old_era = *m_era, .era = era, .silence = now - m_last_answer};
    m_era = era;
    m_last_answer = now;
    return change;
  }

  // Empty before the first answer.
  const std::optional<StoreEra>& era() const { return m_era; }
  const StoreReverted& last_revert() const { return m_last_revert; }

 private:
  std::optional<StoreEra> m_era;
  TimePoint m_last_answer;
  StoreReverted m_last_revert;
};

}  // namespace boragepick
