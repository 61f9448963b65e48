// Tests distributed quota against a reference, a single bucket in one process,
// over random histories of requests, lost, duplicated and delayed messages,
// pauses, restarts, rate changes and outages of the platform's store.

#include <gtest/gtest.h>

#include <rapidcheck.h>
#include <rapidcheck/gtest.h>
#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "common/random.h"
#include "core/quota/quota_manager.h"
#include "unit_tests/core/fake_network.h"

namespace boragepick {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* kTeam = "casters";
constexpr Duration kStep = milliseconds(10);

struct Admission {
  TimePoint at;
  Tokens tokens = 0;
};

// The platform's store: share pages that are changed by compare-and-swap.
struct FakeService {
  bool down = false;
  Revision revision = 1;
  std::map<std::uint32_t, SharePage> pages;

  // `lose_answer`: the write takes effect, but its outcome is reported as
  // unknown.
  WriteOutcome Write(const SharePage& page,
                     bool lose_answer,
                     Revision& result) {
    if (down)
      return WriteOutcome::kUnknown;
    const auto stored = pages.find(page.page);
    const Revision base = stored == pages.end() ? 0 : stored->second.revision;
    if (base != page.revision)
      return lose_answer ? WriteOutcome::kUnknown : WriteOutcome::kConflict;
    SharePage written = page;
    written.revision = ++revision;
    result = written.revision;
    pages[page.page] = written;
    return lose_answer ? WriteOutcome::kUnknown : WriteOutcome::kWritten;
  }
};

using QuotaMessage = std::variant<QuotaLoanRequest, QuotaLoan>;

struct Holder {
  std::string vm;
  Incarnation run = 1;
  std::unique_ptr<QuotaManager> manager;
  Roster roster;
  bool alive = true;
  // A paused process handles no messages; they are delivered afterwards.
  TimePoint paused_until = TimePoint{};
  // Until when the process is cut off from the platform's store.
  TimePoint cut_until = TimePoint{};
  TimePoint next_poll = TimePoint{};
  TimePoint next_feed = TimePoint{};
};

class Fleet {
 public:
  Fleet(std::size_t routers,
        TeamSpec team,
        std::uint64_t seed,
        NetworkFaults faults)
      : m_random(seed), m_network(faults, m_random), m_team(team) {
    for (std::size_t i = 0; i < routers; ++i)
      m_list.entries.push_back({.vm = "r" + std::to_string(i),
                                .data_centre = "a",
                                .peer_endpoint = "e" + std::to_string(i)});
    m_list.version = 1;
    for (const RosterEntry& entry : m_list.entries) {
      m_holders[entry.vm].vm = entry.vm;
      Boot(m_holders[entry.vm]);
    }
  }

  TimePoint now() const { return m_now; }
  FakeService& service() { return m_service; }
  const std::vector<Admission>& admissions() const { return m_admissions; }
  std::vector<std::string> Vms() const {
    std::vector<std::string> vms;
    for (const auto& [vm, holder] : m_holders)
      vms.push_back(vm);
    return vms;
  }

  bool Admit(const std::string& vm, Tokens cost) {
    Holder& holder = m_holders.at(vm);
    if (!CanAct(holder) || !holder.manager->Admit(m_now, kTeam, cost))
      return false;
    m_admissions.push_back({.at = m_now, .tokens = cost});
    return true;
  }

  void SetWaiting(const std::string& vm, Tokens first, Tokens all) {
    m_holders.at(vm).manager->SetWaiting(kTeam, first, all);
  }

  void Restart(const std::string& vm) {
    Holder& holder = m_holders.at(vm);
    ++holder.run;
    Boot(holder);
  }

  // The VM doesn't come back; the others see it on the list after a delay.
  void Kill(const std::string& vm) {
    m_holders.at(vm).alive = false;
    std::erase_if(m_list.entries,
                  [&](const RosterEntry& e) { return e.vm == vm; });
    ++m_list.version;
  }

  // A new VM joins; the holders must give up part of their shares to it.
  void Join(const std::string& vm) {
    m_list.entries.push_back(
        {.vm = vm, .data_centre = "a", .peer_endpoint = "e" + vm});
    ++m_list.version;
    m_holders[vm].vm = vm;
    Boot(m_holders[vm]);
  }

  void Pause(const std::string& vm, Duration duration) {
    m_holders.at(vm).paused_until = m_now + duration;
  }

  void CutOff(const std::string& vm, Duration duration) {
    m_holders.at(vm).cut_until = m_now + duration;
  }

  void ChangeTeam(const TeamSpec& team) {
    m_team = team;
    for (auto& [vm, holder] : m_holders)
      holder.manager->SetTeam(m_now, kTeam, team,
                              QuotaManager::TeamOrigin::kCreated);
  }

  void Advance(Duration duration) {
    for (const TimePoint end = m_now + duration; m_now < end; m_now += kStep)
      Step();
  }

 private:
  bool CanAct(const Holder& holder) const {
    return holder.alive && m_now >= holder.paused_until;
  }

  void Boot(Holder& holder) {
    holder.alive = true;
    holder.roster = Roster();
    holder.roster.Apply(m_now, m_list);
    holder.manager = std::make_unique<QuotaManager>(
        ProcessId{.vm = holder.vm, .incarnation = holder.run});
    holder.manager->SetSelfListedVersion(m_list.version);
    holder.manager->SetTeam(m_now, kTeam, m_team,
                            QuotaManager::TeamOrigin::kFound);
  }

  void Step() {
    Deliver();
    for (auto& [vm, holder] : m_holders) {
      if (CanAct(holder))
        Run(holder);
    }
  }

  void Run(Holder& holder) {
    const bool cut = m_service.down || m_now < holder.cut_until;
    if (m_now >= holder.next_feed && !cut) {
      holder.next_feed = m_now + milliseconds(m_random.Below(300));
      holder.roster.Apply(m_now, m_list);
      for (const auto& [number, page] : m_service.pages)
        holder.manager->ApplyPage(m_now, page);
    }
    if (m_now < holder.next_poll)
      return;
    holder.next_poll = m_now + QuotaManager::kPollInterval;
    for (OutgoingLoanRequest& outgoing : holder.manager->Poll(m_now))
      Send(holder, outgoing.vm, std::move(outgoing.request));
    const auto page = holder.manager->PlanPage(m_now, holder.roster, false);
    if (!page)
      return;
    Revision revision = 0;
    const bool lose = m_network.DropsMessage();
    const WriteOutcome outcome =
        cut ? WriteOutcome::kUnknown : m_service.Write(*page, lose, revision);
    // The connection may break while the reply is on its way.
    if (lose && m_random.Below(2) == 0)
      holder.cut_until = m_now + milliseconds(m_random.Below(10'000));
    holder.manager->HandlePageWritten(m_now, outcome, revision);
  }

  void Send(const Holder& from,
            const std::string& to,
            const QuotaMessage& message) {
    m_network.Send(m_now, from.vm, from.run, to, message);
  }

  Delivery ReceptionOf(const std::string& vm) const {
    const Holder& holder = m_holders.at(vm);
    if (!holder.alive)
      return Delivery::kNever;
    return CanAct(holder) ? Delivery::kNow : Delivery::kLater;
  }

  void Deliver() {
    const auto due = m_network.RemoveDue(
        m_now, [this](const std::string& vm) { return ReceptionOf(vm); });
    for (const auto& message : due) {
      Holder& to = m_holders.at(message.to);
      to.roster.RecordRun(message.from, message.from_run);
      if (const auto* request =
              std::get_if<QuotaLoanRequest>(&message.payload)) {
        const std::string borrower =
            message.from + "#" + std::to_string(message.from_run);
        const QuotaLoan loan =
            to.manager->HandleLoanRequest(m_now, borrower, *request);
        if (request->wanted > 0)
          Send(to, message.from, loan);
      } else {
        to.manager->HandleLoan(m_now, message.from,
                               std::get<QuotaLoan>(message.payload));
      }
    }
  }

  TimePoint m_now = TimePoint(seconds(1000));
  Random m_random;
  FakeNetwork<QuotaMessage> m_network;
  TeamSpec m_team;
  RosterList m_list;
  FakeService m_service;
  std::map<std::string, Holder> m_holders;
  std::vector<Admission> m_admissions;
};

// The reference: one bucket that sees all requests at once.
class ReferenceBucket {
 public:
  ReferenceBucket(TeamSpec team, TimePoint now)
      : m_team(team), m_level(team.burst_tokens), m_at(now) {}
  bool Admit(TimePoint now, Tokens cost) {
    m_level = std::min<double>(
        m_team.burst_tokens,
        m_level + m_team.rate_tokens_per_second * ToSeconds(now - m_at));
    m_at = now;
    if (m_level < static_cast<double>(cost))
      return false;
    m_level -= static_cast<double>(cost);
    return true;
  }

 private:
  TeamSpec m_team;
  double m_level;
  TimePoint m_at;
};

// Checks that admitted <= burst + rate x window over every window: a bucket
// that starts full and is drained by the admissions must never go below empty.
void ExpectWithinBound(const std::vector<Admission>& admissions,
                       std::uint32_t burst,
                       std::uint32_t rate) {
  if (admissions.empty())
    return;
  // Holders count fractions of a token and round down.
  constexpr double kRounding = 1e-6;
  double level = burst;
  TimePoint at = admissions.front().at;
  for (const Admission& admission : admissions) {
    level =
        std::min<double>(burst, level + rate * ToSeconds(admission.at - at));
    at = admission.at;
    level -= static_cast<double>(admission.tokens);
    RC_ASSERT(level >= -kRounding);
  }
}

RC_GTEST_PROP(QuotaHistory, NeverMoreThanRateAndBurst, ()) {
  const auto seed = *rc::gen::arbitrary<std::uint64_t>();
  const auto routers = *rc::gen::inRange<std::size_t>(1, 7);
  const NetworkFaults faults{
      .loss_percent = *rc::gen::inRange(0U, 40U),
      .duplicate_percent = *rc::gen::inRange(0U, 30U),
      .max_delay = milliseconds(*rc::gen::inRange(1, 3000))};
  const TeamSpec team{.rate_tokens_per_second = *rc::gen::inRange(50U, 5000U),
                      .burst_tokens = *rc::gen::inRange(500U, 20000U)};
  Fleet fleet(routers, team, seed, faults);
  Random random(seed + 1);
  std::uint32_t rate = team.rate_tokens_per_second;
  std::uint32_t burst = team.burst_tokens;
  std::vector<std::string> vms = fleet.Vms();
  std::size_t killed = 0;
  std::size_t joined = 0;
  for (int step = 0; step < 150; ++step) {
    const std::string& vm = vms[random.Below(vms.size())];
    switch (random.Below(24)) {
      case 0:
        fleet.Restart(vm);
        break;
      case 1:
        fleet.Pause(vm, milliseconds(random.Below(8000)));
        break;
      case 2:
        fleet.service().down = !fleet.service().down;
        break;
      case 3:
        if (++killed < vms.size())
          fleet.Kill(vm);
        break;
      case 5:
        if (++joined <= 3) {
          fleet.Join("j" + std::to_string(joined));
          vms = fleet.Vms();
        }
        break;
      case 9:
        fleet.CutOff(vm, milliseconds(random.Below(10'000)));
        break;
      case 6:
      case 7:
      case 8: {
        // All routers borrow, keep the loans for a while, and spend them at
        // once.
        for (const std::string& each : vms)
          fleet.SetWaiting(each, burst, burst);
        fleet.Advance(milliseconds(random.Below(2500)));
        for (const std::string& each : vms) {
          for (Tokens part = burst; part > 0; part /= 2)
            fleet.Admit(each, part);
          fleet.SetWaiting(each, 0, 0);
        }
        break;
      }
      case 4: {
        // While the routers' views differ, the larger limit applies, so the
        // check uses the largest limits that were ever in effect.
        const TeamSpec changed{
            .rate_tokens_per_second =
                static_cast<std::uint32_t>(50 + random.Below(5000)),
            .burst_tokens =
                static_cast<std::uint32_t>(500 + random.Below(20000))};
        fleet.ChangeTeam(changed);
        rate = std::max(rate, changed.rate_tokens_per_second);
        burst = std::max(burst, changed.burst_tokens);
        break;
      }
      default: {
        const auto cost = static_cast<Tokens>(1 + random.Below(400));
        fleet.SetWaiting(vm, cost, 4 * cost);
        for (int i = 0; i < 40; ++i)
          fleet.Admit(vm, cost);
        fleet.Advance(milliseconds(random.Below(600)));
      }
    }
  }
  ExpectWithinBound(fleet.admissions(), burst, rate);
}

// Offers a saturating load at the routers `vms` and returns the ratio of the
// admitted tokens to those that the reference admits.
double Utilisation(Fleet& fleet,
                   const std::vector<std::string>& vms,
                   const TeamSpec& team,
                   Duration duration) {
  ReferenceBucket reference(team, fleet.now());
  Tokens distributed_tokens = 0;
  Tokens reference_tokens = 0;
  constexpr Tokens kCost = 100;
  for (const TimePoint end = fleet.now() + duration; fleet.now() < end;) {
    for (const std::string& vm : vms) {
      fleet.SetWaiting(vm, kCost, 4 * kCost);
      while (fleet.Admit(vm, kCost))
        distributed_tokens += kCost;
    }
    while (reference.Admit(fleet.now(), kCost))
      reference_tokens += kCost;
    fleet.Advance(kStep);
  }
  return static_cast<double>(distributed_tokens) /
         static_cast<double>(reference_tokens);
}

constexpr TeamSpec kBusyTeam{.rate_tokens_per_second = 10'000,
                             .burst_tokens = 20'000};

TEST(QuotaHistory, SaturatedRateIsUsedInFull) {
  Fleet fleet(6, kBusyTeam, 7, {});
  fleet.Advance(seconds(10));
  const double used = Utilisation(fleet, fleet.Vms(), kBusyTeam, seconds(60));
  EXPECT_GT(used, 0.95);
}

TEST(QuotaHistory, AllDemandAtOneRouterGetsTheWholeRate) {
  Fleet fleet(6, kBusyTeam, 8, {});
  fleet.Advance(seconds(10));
  const double used = Utilisation(fleet, {"r3"}, kBusyTeam, seconds(60));
  EXPECT_GT(used, 0.95);
}

TEST(QuotaHistory, StoreOutageOfAnHourChangesNothing) {
  Fleet fleet(4, kBusyTeam, 9, {});
  fleet.Advance(seconds(10));
  fleet.service().down = true;
  fleet.Advance(std::chrono::minutes(58));
  const double used =
      Utilisation(fleet, fleet.Vms(), kBusyTeam, std::chrono::minutes(2));
  EXPECT_GT(used, 0.95);
}

TEST(QuotaHistory, ShareOfAKilledHolderIsTakenOver) {
  Fleet fleet(4, kBusyTeam, 10, {});
  fleet.Advance(seconds(10));
  fleet.Kill("r1");
  fleet.Advance(seconds(20));
  const double used =
      Utilisation(fleet, {"r0", "r2", "r3"}, kBusyTeam, seconds(60));
  EXPECT_GT(used, 0.95);
}

// A team that stays within its rate; each request may wait until its deadline.
TEST(QuotaHistory, WithinRateNothingIsRefused) {
  Fleet fleet(5, kBusyTeam, 11,
              {.loss_percent = 2, .max_delay = milliseconds(5)});
  fleet.Advance(seconds(10));
  Random random(12);
  constexpr Duration kWaitLimit = seconds(2);
  constexpr Tokens kCost = 100;
  struct Waiting {
    std::string vm;
    TimePoint deadline;
  };
  std::deque<Waiting> waiting;
  std::size_t offered = 0;
  std::size_t refused = 0;
  const std::vector<std::string> vms = fleet.Vms();
  for (int step = 0; step < 12'000; ++step) {
    if (step == 4000)
      fleet.Restart("r2");
    if (step == 6000)
      fleet.service().down = true;
    // 80% of the rate, at random routers.
    if (random.Below(100) < 80) {
      ++offered;
      waiting.push_back(
          {vms[random.Below(vms.size())], fleet.now() + kWaitLimit});
    }
    std::map<std::string, Tokens> waits;
    std::erase_if(waiting, [&](const Waiting& request) {
      if (fleet.Admit(request.vm, kCost))
        return true;
      const bool late = fleet.now() >= request.deadline;
      refused += late ? 1 : 0;
      waits[request.vm] += late ? 0 : kCost;
      return late;
    });
    for (const std::string& vm : vms)
      fleet.SetWaiting(vm, waits[vm] > 0 ? kCost : 0, waits[vm]);
    fleet.Advance(kStep);
  }
  EXPECT_LT(static_cast<double>(refused), 0.001 * static_cast<double>(offered));
}

}  // namespace
}  // namespace boragepick
