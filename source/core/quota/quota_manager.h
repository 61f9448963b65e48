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
#include "core/quota/loan_queue.h"
#include "core/quota/quota_messages.h"
#include "core/quota/share_page.h"
#include "core/quota/share_recovery.h"
#include "core/quota/token_bucket.h"
#include "core/quota/token_reserve.h"
#include "core/roster/roster.h"

namespace boragepick {

// The requests of a team that wait for tokens at a router.
struct WaitingDemand {
  // Cost of the request that is admitted next, and of all of them.
  Tokens next_cost = 0;
  Tokens total_cost = 0;
  // Urgency of the next request, 0 being the most urgent.
  std::uint32_t urgency = 0;
  // Tokens per second that callers ask for, refused requests included; 0 if it
  // is not measured.
  Tokens demand = 0;
};

class QuotaManager {
 public:
  // How this router learned of a team: kCreated in an update received while it
  // was following the feed, or kFound in a snapshot, in which case tokens may
  // have been spent already.
  enum class TeamOrigin { kFound, kCreated };

  // `early_burst_fraction`: see TokenBucket.
  explicit QuotaManager(ProcessId self, double early_burst_fraction = 0);

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

  void SetWaiting(const std::string& team, const WaitingDemand& waiting);
  // Returns the loan requests for the team's queue that are not sent yet, so
  // that a request that has just been queued needn't wait for the next poll.
  std::vector<OutgoingQuotaMessage> RequestForQueue(TimePoint now,
                                                    const std::string& team);

  // Returns the tokens that were deducted for a request but not used by it.
  void Refund(const std::string& team, Tokens unused);

  // Returns the loans that can be granted now, to this borrower or to others.
  // Requests for which tokens have to accrue are answered by Poll().
  std::vector<OutgoingQuotaMessage> HandleLoanRequest(
      TimePoint now,
      const ProcessId& borrower,
      const QuotaLoanRequest& request);
  void HandleLoan(TimePoint now,
                  const std::string& lender,
                  const QuotaLoan& loan);

  // Returns the loan requests and loans that are due. To be called every
  // kPollInterval while tokens are in use.
  std::vector<OutgoingQuotaMessage> Poll(TimePoint now);

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
  // The same as of the last change.
  Tokens KnownLevelOf(const std::string& team) const;
  Tokens OutstandingOf(const std::string& team) const;
  Tokens AvailableOf(TimePoint now, const std::string& team);
  // Number of routers whose loan requests wait at this router.
  std::size_t WaitingLoansOf(const std::string& team) const;

  static constexpr Duration kPollInterval = std::chrono::milliseconds(50);

 private:
  struct Team {
    TeamSpec spec;
    std::uint32_t page = 0;
    std::optional<TokenBucket> bucket;
    TokenReserve reserve;
    // Requests for loans from `bucket`, this router's own included.
    LoanQueue loan_queue;
    // The number of the last loan request handled, by borrower.
    std::map<std::string, std::uint64_t> last_requests;
    WaitingDemand waiting;
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
  // The holders of shares other than this router.
  std::vector<std::string> OtherLenders(const std::string& name,
                                        const Team& team) const;
  // The most that the share of a router can lend of the team's burst.
  Tokens MostToLend(const Team& team, const std::string& lender) const;
  // The part of the team's share page that `lender` holds, from 0 to 1.
  double PartHeldBy(const Team& team, const std::string& lender) const;
  LoanRequest NewRequest(const std::string& lender, Tokens wanted);
  void BorrowFromSelf(TimePoint now, Team& team, Tokens wanted);
  void PollTeam(TimePoint now,
                const std::string& name,
                Team& team,
                std::vector<OutgoingQuotaMessage>& all);
  void MeasureSpending(TimePoint now, Team& team);
  // The tokens that this router will soon spend at its present rate.
  static Tokens SoonSpent(const Team& team);
  // Requests tokens, up to `target`, for which no request waits yet.
  void RequestAhead(TimePoint now,
                    const std::string& name,
                    Team& team,
                    Tokens target,
                    std::vector<OutgoingQuotaMessage>& out);
  // Requests loans for what waits here, from all holders without an open
  // request that is as urgent.
  void RequestForWaiting(TimePoint now,
                         const std::string& name,
                         Team& team,
                         std::vector<OutgoingQuotaMessage>& out);
  void SendRequest(TimePoint now,
                   Team& team,
                   const std::string& lender,
                   QuotaLoanRequest request,
                   std::vector<OutgoingQuotaMessage>& out);
  void QueueLoan(TimePoint now,
                 Team& team,
                 const std::string& vm,
                 const std::string& borrower,
                 const QuotaLoanRequest& request);
  // Grants waiting loans as far as the level of the bucket permits.
  void GrantLoans(TimePoint now,
                  const std::string& name,
                  Team& team,
                  std::vector<OutgoingQuotaMessage>& out);
  // Adds the closed loans and refunds to the messages to their lenders.
  void ReportClosedLoans(TimePoint now,
                         const std::string& name,
                         Team& team,
                         std::vector<OutgoingQuotaMessage>& out);
  void ApplyReturns(TimePoint now,
                    Team& team,
                    const std::string& borrower,
                    const QuotaLoanRequest& request);
  bool PageHasTeams(std::uint32_t page) const;
  // The next content of one page, if it has to change.
  std::optional<SharePage> PlanNext(TimePoint now,
                                    const SharePage& page,
                                    const Roster& roster,
                                    bool draining);
  void EndRecovery(TimePoint now);
  std::optional<SharePage> RetryWrite(TimePoint now);

  ProcessId m_self;
  std::string m_self_name;
  double m_early_burst_fraction = 0;
  std::uint64_t m_last_loan_number = 0;
  std::map<std::string, Team> m_teams;
  std::map<std::uint32_t, SharePage> m_pages;
  std::optional<SharePage> m_pending_write;
  ShareRecovery m_recovery;
  // When to retry a write whose outcome is unknown.
  TimePoint m_write_retry_at = kNever;
};

}  // namespace boragepick
