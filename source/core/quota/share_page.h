// The durable record of shares: how the rate and the burst of all teams on one
// page are divided between holders. A holder changes only its own share, and
// increases it only from free units; the share of another holder is freed only
// after that holder is proven gone.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/config/resources.h"
#include "core/roster/roster.h"
#include "core/store/store_revision.h"

namespace boragepick {

// The number of units that make up the whole of a page.
inline constexpr std::uint32_t kShareUnits = 1'000'000;
inline constexpr std::uint32_t kSharePageCount = 64;

// A page has one holder for every kRoutersPerShareHolder routers, but at least
// kMinShareHolders and at most kMaxShareHolders; the other routers borrow. The
// number of holders is limited because each one that starts causes about three
// writes of the page.
inline constexpr std::size_t kMinShareHolders = 6;
inline constexpr std::size_t kMaxShareHolders = 32;
inline constexpr std::size_t kRoutersPerShareHolder = 64;

struct ShareHolder {
  ProcessId process;
  std::uint32_t units = 0;
  bool operator==(const ShareHolder&) const = default;
};

struct SharePage {
  std::uint32_t page = 0;
  // The revision of this record in the platform's store, which the next write
  // is compared with. 0: never written.
  Revision revision = 0;
  std::vector<ShareHolder> holders;
  // The era of the store in which all holders were last known to be on the
  // page. In a later era, holders may be missing: see ShareRecovery.
  StoreEra settled_era = 0;
};

// Returns the number of the page that holds `team`.
std::uint32_t SharePageOf(const std::string& team);

// The routers that should hold a share of `page`.
std::vector<std::string> DesiredShareHolders(std::uint32_t page,
                                             const Roster& roster);

// Returns the units that `process` holds. Units of an earlier run on the
// same VM are not included.
std::uint32_t UnitsOf(const SharePage& page, const ProcessId& process);

// Returns the page that `self` should write next, or nothing if no change is
// needed. A draining router returns all its units. Before the write, the caller
// must limit itself to the lower of the old and the new units.
std::optional<SharePage> PlanSharePage(TimePoint now,
                                       const ProcessId& self,
                                       const SharePage& page,
                                       const Roster& roster,
                                       bool draining);

// The same while shares are reclaimed after the store has come back from an
// older copy: the share becomes `wanted`, or as much of it as is free.
std::optional<SharePage> PlanReclaimedShare(TimePoint now,
                                            const ProcessId& self,
                                            const SharePage& page,
                                            const Roster& roster,
                                            std::uint32_t wanted);

}  // namespace boragepick
