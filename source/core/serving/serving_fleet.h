// What the routers share: who they are, and the teams' quota divided between
// them. Each router writes its own record into the platform's service, and
// changes the pages of shares there by compare-and-swap.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "common/log_event.h"
#include "common/time.h"
#include "core/peer_messages.h"
#include "core/platform_call.h"
#include "core/quota/quota_manager.h"
#include "core/roster/roster.h"
#include "core/serving/serving_config.h"

namespace boragepick {

// One router's record.
struct RouterRecord {
  std::string vm;
  std::string data_centre;
  std::string endpoint;
  Incarnation incarnation = 0;
  bool operator==(const RouterRecord&) const = default;
};

// --- Events
// This run of the router has its number, greater than that of any before.
struct IncarnationReceived {
  Incarnation incarnation = 0;
};
struct RouterSeen {
  RouterRecord record;
  Revision revision = 0;
};
struct RouterGone {
  std::string vm;
  Revision revision = 0;
};
// All records were read: other routers are gone.
struct RoutersSynced {
  std::vector<std::string> vms;
  Revision revision = 0;
};
struct SharePageSeen {
  SharePage page;
};
struct SharePageWritten {
  WriteOutcome outcome = WriteOutcome::kUnknown;
  Revision revision = 0;
};

// --- Effects
struct WriteSharePage {
  SharePage page;
};
// Keep this record in the service while the process runs.
struct KeepRecord {
  RouterRecord record;
};

using FleetEffect =
    std::variant<WriteSharePage, KeepRecord, SendToEndpoint, LogEffect>;

struct FleetOptions {
  std::string vm;
  std::string data_centre;
  std::string endpoint;
  // Tokens of a team that may run beyond its quota over the fleet; each new
  // run of a router opens with a part of them, until it has its share.
  std::int64_t quota_slack = 0;
};

class ServingFleet {
 public:
  explicit ServingFleet(FleetOptions options) : m_options(std::move(options)) {}

  void Take(TimePoint now, const IncarnationReceived& event);
  void Take(TimePoint now, const RouterSeen& event);
  void Take(TimePoint now, const RouterGone& event);
  void Take(TimePoint now, const RoutersSynced& event);
  void Take(TimePoint now, const SharePageSeen& event);
  void Take(TimePoint now, const SharePageWritten& event);
  void Take(TimePoint now,
            const std::string& from,
            const QuotaLoanRequest& ask);
  void Take(TimePoint now, const std::string& from, const QuotaLoan& loan);

  void Configure(TimePoint now,
                 const std::map<std::string, ServingTeam>& teams);
  void Tick(TimePoint now);
  void Drain() { m_draining = true; }

  // Takes `cost` tokens of the team, or returns false.
  bool Admit(TimePoint now, const std::string& team, std::int64_t cost);
  // A request that did not run gives its cost back.
  void Refund(const std::string& team, std::int64_t cost);
  // What waits for tokens: the cost of the first request, and of all.
  void SetWaiting(const std::string& team, Tokens first, Tokens all);
  bool IsLimited(const std::string& team) const;

  // Endpoints of the routers that keep the places at the weight store: the
  // first one, and who takes over when it is silent.
  std::vector<std::string> SlotKeepers() const;

  // Tells all other routers.
  void Broadcast(const PeerMessage& message);

  // Routers that share the fleet's limits; 0 while they are not known.
  std::size_t RouterCount() const { return m_roster.LiveRouters().size(); }
  std::vector<FleetEffect> TakeEffects() {
    return std::exchange(m_effects, {});
  }

  static constexpr Duration kPollInterval = QuotaManager::kPollInterval;

 private:
  struct Team {
    ServingTeam spec;
    // Tokens of this run's opening part.
    std::int64_t opening = 0;
  };

  void ApplyRoster(TimePoint now, Revision revision);
  void SetTeams(TimePoint now);
  std::int64_t OpeningTokens() const;
  void SendToVm(const std::string& vm, PeerMessage message);
  void Emit(FleetEffect effect) { m_effects.push_back(std::move(effect)); }

  FleetOptions m_options;
  std::map<std::string, RouterRecord> m_records;
  Revision m_records_revision = 0;
  Roster m_roster;
  std::map<std::string, Team> m_teams;
  std::optional<QuotaManager> m_quota;
  std::map<std::uint32_t, SharePage> m_early_pages;
  // Whether all records were read once.
  bool m_synced = false;
  bool m_draining = false;
  TimePoint m_next_poll = TimePoint{};
  TimePoint m_next_plan = TimePoint{};
  std::vector<FleetEffect> m_effects;
};

}  // namespace boragepick
