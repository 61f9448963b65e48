// Routers that divide a team's quota, in virtual time, with the platform's
// store and a network that loses and delays messages.
#pragma once

#include <algorithm>
#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "common/random.h"
#include "core/quota/quota_manager.h"
#include "unit_tests/core/fake_network.h"

namespace boragepick::quota_test {

using std::chrono::milliseconds;
using std::chrono::seconds;

inline constexpr const char* kTeam = "casters";
inline constexpr Duration kStep = milliseconds(10);

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
  // Number of messages sent between routers.
  std::size_t sent() const { return m_sent; }
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
    SetWaiting(vm, {.next_cost = first, .total_cost = all});
  }
  void SetWaiting(const std::string& vm, const WaitingDemand& waiting) {
    m_holders.at(vm).manager->SetWaiting(kTeam, waiting);
  }
  // As a router does when a request is queued.
  void RequestForQueue(const std::string& vm) {
    Holder& holder = m_holders.at(vm);
    if (CanAct(holder))
      SendAll(holder, holder.manager->RequestForQueue(m_now, kTeam));
  }
  QuotaManager& manager(const std::string& vm) {
    return *m_holders.at(vm).manager;
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
    SendAll(holder, holder.manager->Poll(m_now));
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

  void SendAll(const Holder& from,
               const std::vector<OutgoingQuotaMessage>& messages) {
    for (const OutgoingQuotaMessage& outgoing : messages)
      m_network.Send(m_now, from.vm, from.run, outgoing.vm, outgoing.message);
    m_sent += messages.size();
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
        const ProcessId borrower{.vm = message.from,
                                 .incarnation = message.from_run};
        SendAll(to, to.manager->HandleLoanRequest(m_now, borrower, *request));
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
  std::size_t m_sent = 0;
};

// Returns whether admitted <= burst + rate x window over every window: a bucket
// that starts full and is drained by the admissions must never go below empty.
inline bool IsWithinBound(const std::vector<Admission>& admissions,
                          std::uint32_t burst,
                          std::uint32_t rate) {
  if (admissions.empty())
    return true;
  // Holders count fractions of a token and round down.
  constexpr double kRounding = 1e-6;
  double level = burst;
  TimePoint at = admissions.front().at;
  for (const Admission& admission : admissions) {
    level =
        std::min<double>(burst, level + rate * ToSeconds(admission.at - at));
    at = admission.at;
    level -= static_cast<double>(admission.tokens);
    if (level < -kRounding)
      return false;
  }
  return true;
}

}  // namespace boragepick::quota_test
