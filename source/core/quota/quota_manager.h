// All of quota at one router: the shares it holds, the loans it gives, and the
// reserves from which it admits requests. One owner, no locks; asks and page
// writes leave as return values.
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
#include "core/quota/token_bucket.h"
#include "core/quota/token_reserve.h"
#include "core/roster/roster.h"

namespace boragepick {

// A question to be sent to the router `vm`.
struct OutgoingAsk {
  std::string vm;
  QuotaAsk ask;
};

class QuotaManager {
 public:
  // How a team came to this node's view: kCreated while it watched, or kFound
  // in a snapshot, when tokens may have been spent before.
  enum class TeamOrigin { kFound, kCreated };

  // `early_part`: see TokenBucket.
  explicit QuotaManager(ProcessId self, double early_part = 0)
      : m_self(std::move(self)), m_early_part(early_part) {}

  void SetSelfListedVersion(std::uint64_t version) {
    m_self.listed_version = version;
  }
  void SetTeam(TimePoint now,
               const std::string& team,
               const TeamSpec& spec,
               TeamOrigin origin);
  void RemoveTeam(const std::string& team);

  // The page as stored; older ones than known are passed over.
  void SetPage(TimePoint now, const SharePage& page);

  // Takes `cost` from the reserve, or returns false when the request has to
  // wait.
  bool Admit(TimePoint now, const std::string& team, Tokens cost);

  // What waits for tokens: the cost of the first request, and of all together.
  void SetWaiting(const std::string& team, Tokens first, Tokens all);

  // A request used `unused` tokens less than was taken for it.
  void Settle(const std::string& team, Tokens unused);

  QuotaLoan HandleAsk(TimePoint now,
                      const std::string& borrower,
                      const QuotaAsk& ask);
  void HandleLoan(TimePoint now,
                  const std::string& lender,
                  const QuotaLoan& loan);

  // Asks that are due now. Call it every kPollInterval while tokens are in use.
  std::vector<OutgoingAsk> Poll(TimePoint now);

  // The next page to be written, if any. Until the write is decided this router
  // lives by the lower of the old and the new share, and no other page is
  // planned.
  std::optional<SharePage> PlanPage(TimePoint now,
                                    const Roster& roster,
                                    bool draining);

  // `revision` is the page's new one when it was written.
  void PageWritten(TimePoint now, WriteOutcome outcome, Revision revision);

  bool HoldsShares() const;
  // The tokens a second that this router may lend or admit of a team's rate,
  // for status.
  double ShareOf(const std::string& team) const;
  // Tokens over all loans and levels at this router, for tests and metrics.
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
    Tokens waiting_first = 0;
    Tokens waiting_all = 0;
    // Smoothed tokens a second admitted here, so that loans are asked for ahead
    // of need.
    double spend_rate = 0;
    Tokens spent_since_poll = 0;
    TimePoint last_poll = TimePoint{};
    Tokens refund = 0;
    std::uint64_t refund_number = 0;
    // The last refund taken from each borrower.
    std::map<std::string, std::uint64_t> refunds_seen;
    // Where the next ask goes.
    std::size_t next_lender = 0;
  };

  std::uint32_t EffectiveUnits(std::uint32_t page) const;
  void Reconfigure(TimePoint now, Team& team, TokenBucket::Start start);
  void ReconfigurePage(TimePoint now,
                       std::uint32_t page,
                       TokenBucket::Start start);
  std::vector<std::string> OtherLenders(const std::string& name,
                                        const Team& team) const;
  void BorrowFromSelf(TimePoint now, Team& team, Tokens wanted);
  void PollTeam(TimePoint now,
                const std::string& name,
                Team& team,
                std::vector<OutgoingAsk>& out);
  Tokens MissingTokens(TimePoint now, Team& team);
  void ReportClosed(TimePoint now,
                    const std::string& name,
                    Team& team,
                    std::vector<OutgoingAsk>& out);
  bool PageHasTeams(std::uint32_t page) const;
  std::optional<SharePage> WriteAgain(TimePoint now);

  ProcessId m_self;
  double m_early_part = 0;
  std::map<std::string, Team> m_teams;
  std::map<std::uint32_t, SharePage> m_pages;
  std::optional<SharePage> m_writing;
  // When a write whose outcome is unknown is sent again.
  TimePoint m_write_again_at = kNever;
};

}  // namespace boragepick
