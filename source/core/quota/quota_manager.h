// Quota enforcement at one router: the shares that it holds, the loans that it
// grants, and the reserves from which it admits requests. Used by one task,
// without locks; loan requests and page writes are returned to the caller.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "common/time.h"
#include "core/platform_call.h"
#include "core/quota/quota_messages.h"
#include "core/quota/share_page.h"
#include "core/quota/share_recovery.h"
#include "core/quota/token_bucket.h"
#include "core/quota/token_reserve.h"
#include "core/roster/roster.h"

namespace boragepick {

// A loan request to be sent to the router `vm`.
struct OutgoingLoanRequest {
  std::string vm;
  QuotaLoanRequest request;
};

class QuotaManager {
 public:
  // How this router learned of a team: kCreated in an update received while it
  // was following the feed, or kFound in a snapshot, in which case tokens may
  // have been spent already.
  enum class TeamOrigin { kFound, kCreated };

  // `early_burst_fraction`: see TokenBucket.
  explicit QuotaManager(ProcessId self, double early_burst_fraction = 0)
      : m_self(std::move(self)), m_early_burst_fraction(early_burst_fraction) {}

  void SetSelfListedVersion(std::uint64_t version) {
    m_self.listed_version = version;
  }
  void SetTeam(TimePoint now,
               const std::string& team,
               const TeamSpec& spec,
               TeamOrigin origin);
  void RemoveTeam(const std::string& team);

  // Applies a stored page; a revision older than the known one is ignored.
  void ApplyPage(TimePoint now, const SharePage& page);

  // Deducts `cost` from the reserve, or returns false when the request has to
  // wait.
  bool Admit(TimePoint now, const std::string& team, Tokens cost);

  // Sets the costs of the first request in the team's queue and of the whole
  // queue.
  void SetWaiting(const std::string& team,
                  Tokens first_cost,
                  Tokens total_cost);
  // Returns the loan requests for the team's queue that are not sent yet, so
  // that a request that has just been queued needn't wait for the next poll.
  std::vector<OutgoingLoanRequest> RequestForQueue(TimePoint now,
                                                   const std::string& team);

  // Returns the tokens that were deducted for a request but not used by it.
  void Refund(const std::string& team, Tokens unused);

  QuotaLoan HandleLoanRequest(TimePoint now,
                              const std::string& borrower,
                              const QuotaLoanRequest& request);
  void HandleLoan(TimePoint now,
                  const std::string& lender,
                  const QuotaLoan& loan);

  // Returns the loan requests that are due. To be called every kPollInterval
  // while tokens are in use.
  std::vector<OutgoingLoanRequest> Poll(TimePoint now);

  // Returns the next page to be written, if any. Until the outcome of the write
  // is known, the router uses the lower of the old and the new share and plans
  // no other page.
  std::optional<SharePage> PlanPage(TimePoint now,
                                    const Roster& roster,
                                    bool draining);

  // `revision` is the page's new revision if it was written.
  void HandlePageWritten(TimePoint now,
                         WriteOutcome outcome,
                         Revision revision);

  // The era of the store's first answer to this process.
  void OnStoreEraObserved(TimePoint now, StoreEra era) {
    m_recovery.OnEraObserved(now, era);
  }
  // The store has come back from an older copy. Until all stored pages have
  // been applied again, the caller must not call PlanPage.
  void OnStoreReverted(TimePoint now, StoreEra era);

  bool HoldsShares() const;
  // The part of the team's rate, in tokens per second, that this router may
  // lend or admit. Shown in the status document.
  double ShareOf(const std::string& team) const;
  // Bucket level, unspent loans granted, and reserve of this router; for tests
  // and metrics.
  Tokens LevelOf(TimePoint now, const std::string& team);
  Tokens OutstandingOf(const std::string& team) const;
  Tokens AvailableOf(TimePoint now, const std::string& team);

  static constexpr Duration kPollInterval = std::chrono::milliseconds(50);

 private:
  struct Team {
    TeamSpec spec;
    std::uint32_t page = 0;
    std::optional<TokenBucket> bucket;
    TokenReserve reserve;
    Tokens first_queued_cost = 0;
    Tokens total_queued_cost = 0;
    // Smoothed rate of admission at this router, in tokens per second. Loans
    // are requested ahead of demand according to it.
    double spend_rate = 0;
    Tokens spent_since_poll = 0;
    TimePoint last_poll = TimePoint{};
    Tokens refund = 0;
    std::uint64_t refund_number = 0;
    // The number of the last refund applied, by borrower.
    std::map<std::string, std::uint64_t> last_refunds;
    // Index of the lender that gets the next loan request.
    std::size_t next_lender = 0;
  };

  std::uint32_t EffectiveUnits(std::uint32_t page) const;
  void ConfigureBucket(TimePoint now,
                       Team& team,
                       TokenBucket::InitialLevel initial_level);
  void ConfigureBucketsOfPage(TimePoint now,
                              std::uint32_t page,
                              TokenBucket::InitialLevel initial_level);
  std::vector<std::string> OtherLenders(const std::string& name,
                                        const Team& team) const;
  // The most that the share of a router can lend of the team's burst.
  Tokens MostToLend(const Team& team, const std::string& lender) const;
  void BorrowFromSelf(TimePoint now, Team& team, Tokens wanted);
  void PollTeam(TimePoint now,
                const std::string& name,
                Team& team,
                std::vector<OutgoingLoanRequest>& out);
  Tokens MissingTokens(TimePoint now, Team& team);
  // Requests `missing` tokens from lenders without an open request. Each is
  // asked for no more than its share can hold, so that a large request needs
  // several.
  void RequestLoans(TimePoint now,
                    const std::string& name,
                    Team& team,
                    Tokens missing,
                    std::vector<OutgoingLoanRequest>& out);
  void ReportClosedLoans(TimePoint now,
                         const std::string& name,
                         Team& team,
                         std::vector<OutgoingLoanRequest>& out);
  bool PageHasTeams(std::uint32_t page) const;
  // The next content of one page, if it has to change.
  std::optional<SharePage> PlanNext(TimePoint now,
                                    const SharePage& page,
                                    const Roster& roster,
                                    bool draining);
  void EndRecovery(TimePoint now);
  std::optional<SharePage> RetryWrite(TimePoint now);

  ProcessId m_self;
  double m_early_burst_fraction = 0;
  std::map<std::string, Team> m_teams;
  std::map<std::uint32_t, SharePage> m_pages;
  std::optional<SharePage> m_pending_write;
  ShareRecovery m_recovery;
  // When to retry a write whose outcome is unknown.
  TimePoint m_write_retry_at = kNever;
};

}  // namespace boragepick
