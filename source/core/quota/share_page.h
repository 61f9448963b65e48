// The durable record of standing shares: how the rate and the burst of all
// teams on one page are divided between holders. A holder lowers only its own
// share and raises it only from what is free; the share of another is freed
// only when that other is proven gone.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/config/resources.h"
#include "core/roster/roster.h"

namespace boragepick {

// Shares are counted in parts of this number.
inline constexpr std::uint32_t kShareUnits = 1'000'000;
inline constexpr std::uint32_t kSharePageCount = 64;

// Up to so many routers each hold a share of every page; in larger fleets one
// router in kRoutersPerShareHolder does, and the others borrow. A page is
// written some three times for each holder that starts.
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
  // The platform's revision of this record; the compare value of the next
  // write. 0: never written.
  Revision revision = 0;
  std::vector<ShareHolder> holders;
};

// The page that holds `team`.
std::uint32_t SharePageOf(const std::string& team);

// The routers that should hold a share of `page`.
std::vector<std::string> DesiredShareHolders(std::uint32_t page,
                                             const Roster& roster);

// The units that `process` holds; an earlier run of the same VM holds none for
// this one.
std::uint32_t UnitsOf(const SharePage& page, const ProcessId& process);

// What `self` should write next, or nothing when the page is as it should be. A
// drain gives all units back. The caller must already live by the lower of the
// old and the new units before it writes.
std::optional<SharePage> PlanSharePage(TimePoint now,
                                       const ProcessId& self,
                                       const SharePage& page,
                                       const Roster& roster,
                                       bool draining);

}  // namespace boragepick
