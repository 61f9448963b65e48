// The state that the routers share: the list of routers, and the division of
// the teams' quotas between them. Each router publishes its own record in the
// platform's key-value store, and changes the share pages there by
// compare-and-swap.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
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
#include "core/store/store_revision.h"

namespace boragepick {

// A router's record in the key-value store.
struct RouterRecord {
  std::string vm;
  std::string data_centre;
  std::string endpoint;
  Incarnation incarnation = 0;
  bool operator==(const RouterRecord&) const = default;
};

// --- Events
// The router has received its incarnation, which is greater than that of every
// earlier process of this router.
struct IncarnationReceived {
  Incarnation incarnation = 0;
};
struct RouterRecordReceived {
  RouterRecord record;
  Revision revision = 0;
};
struct RouterRecordRemoved {
  std::string vm;
  Revision revision = 0;
};
// All router records were read: routers that are not among `vms` are gone.
struct RouterRecordsSynced {
  std::vector<std::string> vms;
  Revision revision = 0;
};
struct SharePageReceived {
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
// Keeps the record in the key-value store while the process runs.
struct PublishRouterRecord {
  RouterRecord record;
};

using FleetEffect = std::
    variant<WriteSharePage, PublishRouterRecord, SendToEndpoint, LogEffect>;

struct FleetOptions {
  std::string vm;
  std::string data_centre;
  std::string endpoint;
  // Tokens by which a team may exceed its quota across the fleet. Each router
  // process starts with a part of them to use until it has its share.
  std::int64_t quota_slack = 0;
};

class ServingFleet {
 public:
  explicit ServingFleet(FleetOptions options) : m_options(std::move(options)) {}

  void Handle(TimePoint now, const IncarnationReceived& event);
  // Returns whether the record is new, because its router has started.
  bool Handle(TimePoint now, const RouterRecordReceived& event);
  void Handle(TimePoint now, const RouterRecordRemoved& event);
  void Handle(TimePoint now, const RouterRecordsSynced& event);
  void Handle(TimePoint now, const StoreEraObserved& event);
  void Handle(TimePoint now, const StoreReverted& event);
  void Handle(TimePoint now, const SharePageReceived& event);
  void Handle(TimePoint now, const SharePageWritten& event);
  void Handle(TimePoint now,
              const std::string& from,
              const QuotaLoanRequest& request);
  void Handle(TimePoint now, const std::string& from, const QuotaLoan& loan);

  void Configure(TimePoint now,
                 const std::map<std::string, ServingTeam>& teams);
  void Tick(TimePoint now);
  void Drain() { m_draining = true; }

  // Withdraws `cost` tokens from the team's quota, or returns false.
  bool Admit(TimePoint now, const std::string& team, std::int64_t cost);
  // Returns the cost of a request that did not run.
  void Refund(const std::string& team, std::int64_t cost);
  void SetWaiting(const std::string& team, const WaitingDemand& waiting);
  // Requests the loans that the team's queue needs, without waiting for the
  // next tick.
  void RequestForQueue(TimePoint now, const std::string& team);
  bool IsLimited(const std::string& team) const;
  // The team's rate per second over the whole fleet; 0 without limit.
  Tokens RateOf(const std::string& team) const;
  // Tokens that this router has borrowed and not spent.
  Tokens Available(TimePoint now, const std::string& team);
  const std::optional<QuotaManager>& quota() const { return m_quota; }

  // Returns the endpoints of the slot coordinator of the weight store and,
  // after it, of the routers that replace it if it does not respond.
  std::vector<std::string> SlotCoordinators() const;

  // Sends the message to all other routers.
  void Broadcast(const PeerMessage& message);
  // Sends the message to one router, if its record is known.
  void SendToVm(const std::string& vm, PeerMessage message);

  const std::vector<std::string>& LiveRouters() const {
    return m_roster.LiveRouters();
  }
  // Number of routers that share the fleet's limits; 0 while it is unknown.
  std::size_t RouterCount() const { return m_roster.LiveRouters().size(); }
  std::vector<FleetEffect> TakeEffects() {
    return std::exchange(m_effects, {});
  }

  static constexpr Duration kPollInterval = QuotaManager::kPollInterval;

 private:
  struct Team {
    ServingTeam spec;
    // Tokens that are left of this process's part of the quota slack.
    std::int64_t initial_tokens = 0;
  };

  void Send(std::vector<OutgoingQuotaMessage> messages);
  void ApplyRoster(TimePoint now, Revision revision);
  // Removes the routers whose records were not written again after the store
  // came back from an older copy.
  void RemoveLostRecords(TimePoint now);
  void SetTeams(TimePoint now);
  std::int64_t InitialTokens() const;
  void Emit(FleetEffect effect) { m_effects.push_back(std::move(effect)); }

  FleetOptions m_options;
  std::map<std::string, RouterRecord> m_records;
  Revision m_records_revision = 0;
  // Routers whose records were missing when the store came back from an older
  // copy, and until when they have time to write them again.
  std::set<std::string> m_lost_records;
  TimePoint m_rewrite_deadline = TimePoint{};
  StoreEra m_store_era = 0;
  Roster m_roster;
  std::map<std::string, Team> m_teams;
  std::optional<QuotaManager> m_quota;
  // Share pages that were read before the incarnation was received.
  std::map<std::uint32_t, SharePage> m_early_pages;
  // Whether all router records have been read.
  bool m_synced = false;
  bool m_draining = false;
  TimePoint m_next_poll = TimePoint{};
  TimePoint m_next_plan = TimePoint{};
  std::vector<FleetEffect> m_effects;
};

}  // namespace boragepick
