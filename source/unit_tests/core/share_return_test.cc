// Shares of quota when the store comes back from an older copy: no two routers
// use the same units, whatever the copy says and whenever they notice.

#include <gtest/gtest.h>

#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "common/random.h"
#include "core/quota/quota_manager.h"

namespace boragepick {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* kTeam = "casters";
constexpr TeamSpec kSpec{.rate_tokens_per_second = 1'000, .burst_tokens = 500};

// Share pages that are changed by compare-and-swap, and copies of their earlier
// states.
class RevertingPages {
 public:
  StoreRevision NextRevision() {
    m_copies.push_back(m_state);
    return *MakeStoreRevision(m_era, ++m_state.revision);
  }
  std::optional<StoreRevision> Write(const SharePage& page) {
    const auto stored = m_state.pages.find(page.page);
    const auto expected = static_cast<StoreRevision>(page.revision);
    const std::uint64_t current = stored == m_state.pages.end()
                                      ? 0
                                      : BareRevisionOf(stored->second.revision);
    if (BareRevisionOf(expected) != current)
      return std::nullopt;
    const StoreRevision revision = NextRevision();
    m_state.pages[page.page] = page;
    m_state.pages[page.page].revision = static_cast<Revision>(revision);
    return revision;
  }
  std::vector<SharePage> Read() const {
    std::vector<SharePage> pages;
    for (const auto& [number, stored] : m_state.pages) {
      SharePage page = stored;
      page.revision = static_cast<Revision>(*MakeStoreRevision(
          m_era, BareRevisionOf(static_cast<StoreRevision>(page.revision))));
      pages.push_back(std::move(page));
    }
    return pages;
  }
  // States before this call are not copied.
  void StartCopies() { m_copies = {m_state}; }
  void Revert(Random& random) {
    m_state =
        m_copies[m_copies.size() - 1 -
                 random.Below(std::min<std::size_t>(10, m_copies.size()))];
    m_copies.resize(1);
    ++m_era;
  }
  StoreEra era() const { return m_era; }

 private:
  struct State {
    std::uint64_t revision = 10;
    std::map<std::uint32_t, SharePage> pages;
  };
  StoreEra m_era = 1;
  State m_state;
  std::vector<State> m_copies{State()};
};

struct Holder {
  std::string vm;
  std::unique_ptr<QuotaManager> manager;
  Roster roster;
  StoreEra era = 0;
  // Whether all pages of the era have been read.
  bool synced = false;
  TimePoint next_call = TimePoint{};
  TimePoint cut_until = TimePoint{};
};

class ShareFleet {
 public:
  explicit ShareFleet(std::uint64_t seed) : m_random(seed) {
    for (const char* vm : {"r0", "r1", "r2", "r3"})
      Start(vm);
    Advance(seconds(8));
  }

  void Start(const std::string& vm) {
    if (std::ranges::find(m_list.entries, vm, &RosterEntry::vm) ==
        m_list.entries.end())
      m_list.entries.push_back({.vm = vm, .data_centre = "a"});
    ++m_list.version;
    const StoreRevision run = m_store.NextRevision();
    RC_ASSERT(m_runs.insert(run).second);
    Holder& holder = m_holders[vm];
    holder = {.vm = vm,
              .manager = std::make_unique<QuotaManager>(
                  ProcessId{.vm = vm, .incarnation = run}),
              .era = m_store.era()};
    for (auto& [other, each] : m_holders)
      each.roster.RecordRun(vm, run);
    holder.manager->OnStoreEraObserved(m_now, holder.era);
    holder.manager->SetTeam(m_now, kTeam, kSpec,
                            QuotaManager::TeamOrigin::kFound);
  }
  void Kill(const std::string& vm) {
    m_holders.erase(vm);
    std::erase_if(m_list.entries,
                  [&](const RosterEntry& entry) { return entry.vm == vm; });
    ++m_list.version;
  }
  // A router that is cut off for longer would count as gone.
  void CutOff(const std::string& vm) {
    constexpr auto kLongestCut = milliseconds(9'000);
    Holder& holder = m_holders.at(vm);
    if (m_now - holder.cut_until > ShareRecovery::kSettlingTime)
      holder.cut_until =
          m_now + milliseconds(m_random.Below(kLongestCut.count()));
  }
  // Whether the store may also come back between a write and its reply.
  void AllowReverts(bool allowed) { m_reverts_allowed = allowed; }
  RevertingPages& store() { return m_store; }
  std::vector<std::string> Vms() const {
    std::vector<std::string> vms;
    for (const auto& [vm, holder] : m_holders)
      vms.push_back(vm);
    return vms;
  }

  // All routers spend what they can meanwhile.
  void Advance(Duration duration) {
    for (const TimePoint end = m_now + duration; m_now < end;
         m_now += milliseconds(50)) {
      for (auto& [vm, holder] : m_holders) {
        Spend(*holder.manager);
        holder.manager->Poll(m_now);
        if (m_now >= holder.next_call && m_now >= holder.cut_until)
          CallStore(holder);
      }
      // No unit is used by two routers.
      RC_ASSERT(ShareSum() < 1.001 * kSpec.rate_tokens_per_second);
    }
  }

  double ShareSum() const {
    double sum = 0;
    for (const auto& [vm, holder] : m_holders)
      sum += holder.manager->ShareOf(kTeam);
    return sum;
  }

  // Admitted <= burst + rate x window over every window.
  void CheckBound() const {
    double level = kSpec.burst_tokens;
    TimePoint at = m_spent.front().first;
    for (const auto& [spent_at, tokens] : m_spent) {
      level = std::min<double>(
          kSpec.burst_tokens,
          level + kSpec.rate_tokens_per_second * ToSeconds(spent_at - at));
      at = spent_at;
      level -= static_cast<double>(tokens);
      RC_ASSERT(level >= -1e-6);
    }
  }

 private:
  void Spend(QuotaManager& manager) {
    for (Tokens part = kSpec.burst_tokens; part > 0; part /= 2) {
      while (manager.Admit(m_now, kTeam, part))
        m_spent.emplace_back(m_now, part);
    }
  }

  // Notices a return of the store, reads all pages, or writes one.
  void CallStore(Holder& holder) {
    holder.next_call = m_now + milliseconds(m_random.Below(400));
    holder.roster.Apply(m_now, m_list);
    if (holder.era != m_store.era()) {
      holder.era = m_store.era();
      holder.synced = false;
      holder.manager->OnStoreReverted(m_now, holder.era);
      return;
    }
    for (const SharePage& page : m_store.Read())
      holder.manager->ApplyPage(m_now, page);
    holder.synced = true;
    if (const auto page = holder.manager->PlanPage(m_now, holder.roster, false))
      Write(holder, *page);
  }

  void Write(Holder& holder, const SharePage& page) {
    const std::optional<StoreRevision> written = m_store.Write(page);
    const bool reverts = m_reverts_allowed && m_random.Below(12) == 0;
    if (reverts)
      m_store.Revert(m_random);
    if (reverts || m_random.Below(8) == 0)
      return holder.manager->HandlePageWritten(m_now, WriteOutcome::kUnknown,
                                               0);
    holder.manager->HandlePageWritten(
        m_now, written ? WriteOutcome::kWritten : WriteOutcome::kConflict,
        static_cast<Revision>(written.value_or(0)));
  }

  TimePoint m_now = TimePoint(seconds(1000));
  Random m_random;
  RevertingPages m_store;
  RosterList m_list;
  std::map<std::string, Holder> m_holders;
  std::set<StoreRevision> m_runs;
  std::vector<std::pair<TimePoint, Tokens>> m_spent;
  bool m_reverts_allowed = false;
};

RC_GTEST_PROP(ShareReturn, NoTwoRoutersSpendTheSameUnits, ()) {
  const auto seed = *rc::gen::arbitrary<std::uint64_t>();
  // A router that starts doesn't know that a page is missing from the copy.
  const bool page_may_be_lost = *rc::gen::arbitrary<bool>();
  Random random(seed + 1);
  ShareFleet fleet(seed);
  if (!page_may_be_lost)
    fleet.store().StartCopies();
  fleet.AllowReverts(true);
  int started = 0;
  for (int step = 0; step < 60; ++step) {
    const std::vector<std::string> vms = fleet.Vms();
    const std::string& vm = vms[random.Below(vms.size())];
    switch (random.Below(10)) {
      case 0:
        fleet.store().Revert(random);
        break;
      case 1:
        fleet.CutOff(vm);
        break;
      case 2:
        if (!page_may_be_lost)
          fleet.Start(vm);
        break;
      case 3:
        if (!page_may_be_lost && ++started <= 3)
          fleet.Start("j" + std::to_string(started));
        break;
      case 4:
        if (vms.size() > 2)
          fleet.Kill(vm);
        break;
      default:
        fleet.Advance(milliseconds(random.Below(4'000)));
    }
  }
  fleet.AllowReverts(false);
  fleet.Advance(seconds(40));
  fleet.CheckBound();
  RC_ASSERT(fleet.ShareSum() > 0.95 * kSpec.rate_tokens_per_second);
}

}  // namespace
}  // namespace boragepick
