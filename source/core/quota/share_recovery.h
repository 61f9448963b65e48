// Limits a router's use of quota shares after the store has come back from an
// older copy. Shares that were handed out under the old era stay valid: for
// kSettlingTime no holder uses more than it held before, and nobody takes units
// that only look free.
#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "common/time.h"
#include "core/quota/share_page.h"
#include "core/roster/roster.h"
#include "core/store/leased_record.h"
#include "core/store/store_revision.h"

namespace boragepick {

class ShareRecovery {
 public:
  // After this time, every holder of a share has noticed the new era, or has
  // lost its lease and counts as gone.
  static constexpr Duration kSettlingTime =
      LeasedRecord::kLeaseTtl + kGoneConfirmation;

  // The first era that this process sees. It knows nothing of earlier returns.
  void OnEraObserved(TimePoint now, StoreEra era);
  // `held`: the units that this process used of each page.
  void OnStoreReverted(TimePoint now,
                       StoreEra era,
                       std::map<std::uint32_t, std::uint32_t> held);
  // Returns whether the settling time has ended since the last call.
  bool EndSettling(TimePoint now);
  // This process gives up its share of the page.
  void GiveUp(std::uint32_t page) { m_held.erase(page); }

  // Whether this process limits itself to the units that it held before.
  bool IsReclaiming() const { return m_reclaiming; }
  std::uint32_t HeldBefore(std::uint32_t page) const;
  // Whether holders of the page's units may be missing from it.
  bool IsUnsettled(const SharePage& page) const;
  // The units that this process may use if the page gives it `units`.
  std::uint32_t UsableUnits(const SharePage& page, std::uint32_t units) const;

  StoreEra era() const { return m_era; }

 private:
  StoreEra m_era = 0;
  TimePoint m_settled_at = kNever;
  bool m_reclaiming = false;
  std::map<std::uint32_t, std::uint32_t> m_held;
};

}  // namespace boragepick
