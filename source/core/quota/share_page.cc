#include "core/quota/share_page.h"

#include <algorithm>

#include "common/hashing.h"

namespace boragepick {

namespace {

// Excess over the target share, in percent, that a holder keeps. Without it
// each router that joins or leaves would cause every holder to write.
constexpr std::uint32_t kRebalanceSlackPercent = 10;

std::uint32_t HeldUnits(const SharePage& page) {
  std::uint32_t held = 0;
  for (const ShareHolder& holder : page.holders)
    held += holder.units;
  return held;
}

bool Contains(const std::vector<std::string>& names, const std::string& name) {
  return std::ranges::find(names, name) != names.end();
}

// Removes the holders that are proven gone and earlier runs on this VM.
bool RemoveGoneHolders(TimePoint now,
                       const ProcessId& self,
                       const Roster& roster,
                       SharePage& page) {
  const auto gone = [&](const ShareHolder& holder) {
    const bool earlier_run =
        holder.process.vm == self.vm && holder.process != self;
    return earlier_run || roster.IsProvenGone(now, holder.process);
  };
  return std::erase_if(page.holders, gone) > 0;
}

bool IsAnyHolderShort(const SharePage& page,
                      const std::vector<std::string>& desired,
                      std::uint32_t target) {
  return std::ranges::any_of(desired, [&](const std::string& vm) {
    const auto holder = std::ranges::find_if(
        page.holders,
        [&](const ShareHolder& entry) { return entry.process.vm == vm; });
    return holder == page.holders.end() || holder->units < target / 2;
  });
}

void SetUnits(SharePage& page, const ProcessId& self, std::uint32_t units) {
  std::erase_if(page.holders, [&](const ShareHolder& entry) {
    return entry.process == self;
  });
  if (units > 0)
    page.holders.push_back({.process = self, .units = units});
}

std::uint32_t TargetUnits(const SharePage& page,
                          const ProcessId& self,
                          const std::vector<std::string>& desired) {
  const std::uint32_t own = UnitsOf(page, self);
  const std::uint32_t free = kShareUnits - HeldUnits(page);
  const auto target = static_cast<std::uint32_t>(kShareUnits / desired.size());
  if (own < target)
    return own + std::min(free, target - own);
  const std::uint32_t ceiling = target + target / 100 * kRebalanceSlackPercent;
  if (own > ceiling && IsAnyHolderShort(page, desired, target))
    return target;
  return own;
}

}  // namespace

std::uint32_t SharePageOf(const std::string& team) {
  return static_cast<std::uint32_t>(StableHash(team) % kSharePageCount);
}

std::vector<std::string> DesiredShareHolders(std::uint32_t page,
                                             const Roster& roster) {
  std::vector<std::string> order = RendezvousOrder(
      "share-page/" + std::to_string(page), roster.LiveRouters());
  const std::size_t wanted = std::clamp(order.size() / kRoutersPerShareHolder,
                                        kMinShareHolders, kMaxShareHolders);
  if (order.size() > wanted)
    order.resize(wanted);
  return order;
}

std::uint32_t UnitsOf(const SharePage& page, const ProcessId& process) {
  for (const ShareHolder& holder : page.holders) {
    if (holder.process == process)
      return holder.units;
  }
  return 0;
}

std::optional<SharePage> PlanSharePage(TimePoint now,
                                       const ProcessId& self,
                                       const SharePage& page,
                                       const Roster& roster,
                                       bool draining) {
  SharePage next = page;
  const bool freed = RemoveGoneHolders(now, self, roster, next);
  const std::vector<std::string> desired =
      DesiredShareHolders(page.page, roster);
  const bool is_holder = !draining && Contains(desired, self.vm);
  const std::uint32_t units = is_holder ? TargetUnits(next, self, desired) : 0;
  if (!freed && units == UnitsOf(page, self))
    return std::nullopt;
  // Only holders free the units of others; otherwise all routers would write
  // the page.
  if (!is_holder && UnitsOf(page, self) == 0)
    return std::nullopt;
  SetUnits(next, self, units);
  return next;
}

std::optional<SharePage> PlanReclaimedShare(TimePoint now,
                                            const ProcessId& self,
                                            const SharePage& page,
                                            const Roster& roster,
                                            std::uint32_t wanted) {
  SharePage next = page;
  RemoveGoneHolders(now, self, roster, next);
  const std::uint32_t own = UnitsOf(next, self);
  const std::uint32_t free = kShareUnits - HeldUnits(next);
  const std::uint32_t units = std::min(wanted, own + free);
  if (units == UnitsOf(page, self))
    return std::nullopt;
  SetUnits(next, self, units);
  return next;
}

}  // namespace boragepick
