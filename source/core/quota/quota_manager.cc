#include "core/quota/quota_manager.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "common/hashing.h"

namespace boragepick {

namespace {

// The reserve aims to cover the spending of this period at the current rate.
constexpr Duration kReserveHorizon = std::chrono::milliseconds(800);
// Weight of the newest measurement in the smoothed spend rate.
constexpr double kSpendSmoothing = 0.3;
// A router borrows from its own share for this many requests at a time. Unspent
// tokens are returned.
constexpr Tokens kSelfLoanRequests = 4;
constexpr Duration kUnknownWriteRetryDelay = std::chrono::seconds(1);

std::string BorrowerName(const ProcessId& process) {
  return process.vm + "#" + std::to_string(process.incarnation);
}

}  // namespace

void QuotaManager::SetTeam(TimePoint now,
                           const std::string& team,
                           const TeamSpec& spec,
                           TeamOrigin origin) {
  Team& entry = m_teams[team];
  entry.spec = spec;
  entry.page = SharePageOf(team);
  const bool full = origin == TeamOrigin::kCreated;
  ConfigureBucket(now, entry,
                  full ? TokenBucket::InitialLevel::kFull
                       : TokenBucket::InitialLevel::kEmpty);
}

void QuotaManager::RemoveTeam(const std::string& team) {
  m_teams.erase(team);
}

void QuotaManager::ApplyPage(TimePoint now, const SharePage& page) {
  const auto known = m_pages.find(page.page);
  if (known != m_pages.end() && known->second.revision >= page.revision)
    return;
  m_pages[page.page] = page;
  // The stored revision is newer than the base of the unanswered write, so the
  // write has either taken effect or can no longer do so.
  if (m_pending_write && m_pending_write->page == page.page &&
      page.revision > m_pending_write->revision)
    m_pending_write.reset();
  ConfigureBucketsOfPage(now, page.page, TokenBucket::InitialLevel::kEmpty);
}

std::uint32_t QuotaManager::EffectiveUnits(std::uint32_t page) const {
  const auto stored = m_pages.find(page);
  std::uint32_t units =
      stored == m_pages.end()
          ? 0
          : m_recovery.UsableUnits(stored->second,
                                   UnitsOf(stored->second, m_self));
  // While shares are reclaimed, no write changes what may be used.
  const bool reclaiming = m_recovery.IsReclaiming();
  if (!reclaiming && m_pending_write && m_pending_write->page == page)
    units = std::min(units, UnitsOf(*m_pending_write, m_self));
  return units;
}

void QuotaManager::ConfigureBucket(TimePoint now,
                                   Team& team,
                                   TokenBucket::InitialLevel initial_level) {
  const std::uint32_t units = EffectiveUnits(team.page);
  if (team.bucket) {
    team.bucket->Configure(now, team.spec, units);
    return;
  }
  if (units > 0)
    team.bucket.emplace(now, team.spec, units, initial_level,
                        m_early_burst_fraction);
}

void QuotaManager::ConfigureBucketsOfPage(
    TimePoint now,
    std::uint32_t page,
    TokenBucket::InitialLevel initial_level) {
  for (auto& [name, team] : m_teams) {
    if (team.page == page)
      ConfigureBucket(now, team, initial_level);
  }
}

bool QuotaManager::Admit(TimePoint now, const std::string& team, Tokens cost) {
  const auto found = m_teams.find(team);
  if (found == m_teams.end())
    return false;
  Team& entry = found->second;
  const Tokens available = entry.reserve.Available(now);
  if (available < cost)
    BorrowFromSelf(now, entry, kSelfLoanRequests * cost - available);
  if (!entry.reserve.Spend(now, cost))
    return false;
  entry.spent_since_poll += cost;
  return true;
}

void QuotaManager::SetWaiting(const std::string& team,
                              Tokens first_cost,
                              Tokens total_cost) {
  const auto found = m_teams.find(team);
  if (found == m_teams.end())
    return;
  found->second.first_queued_cost = first_cost;
  found->second.total_queued_cost = total_cost;
}

std::vector<OutgoingLoanRequest> QuotaManager::RequestForQueue(
    TimePoint now,
    const std::string& team) {
  std::vector<OutgoingLoanRequest> out;
  const auto found = m_teams.find(team);
  if (found == m_teams.end())
    return out;
  Team& entry = found->second;
  const Tokens wanted =
      std::min<Tokens>(entry.total_queued_cost, entry.spec.burst_tokens);
  const Tokens held =
      entry.reserve.Available(now) + entry.reserve.RequestedTokens(now);
  RequestLoans(now, team, entry, wanted - held, out);
  return out;
}

void QuotaManager::Refund(const std::string& team, Tokens unused) {
  const auto found = m_teams.find(team);
  if (found != m_teams.end() && unused > 0)
    found->second.refund += unused;
}

QuotaLoan QuotaManager::HandleLoanRequest(TimePoint now,
                                          const std::string& borrower,
                                          const QuotaLoanRequest& request) {
  QuotaLoan reply{.team = request.team, .number = request.number, .tokens = 0};
  const auto found = m_teams.find(request.team);
  if (found == m_teams.end() || !found->second.bucket)
    return reply;
  Team& team = found->second;
  for (const ClosedLoan& loan : request.closed)
    team.bucket->CloseLoan(now, {.borrower = borrower, .number = loan.number},
                           loan.unspent);
  std::uint64_t& last_refund = team.last_refunds[borrower];
  if (request.refund_number > last_refund) {
    last_refund = request.refund_number;
    team.bucket->Refund(now, request.refund);
  }
  if (request.wanted > 0) {
    const LoanId loan{.borrower = borrower, .number = request.number};
    reply.tokens = team.bucket->Lend(now, loan, request.wanted);
  }
  return reply;
}

void QuotaManager::HandleLoan(TimePoint now,
                              const std::string& lender,
                              const QuotaLoan& loan) {
  const auto found = m_teams.find(loan.team);
  if (found != m_teams.end())
    found->second.reserve.AddLoan(now, lender, loan.number, loan.tokens);
}

void QuotaManager::BorrowFromSelf(TimePoint now, Team& team, Tokens wanted) {
  if (!team.bucket || wanted <= 0)
    return;
  const LoanRequest request =
      team.reserve.StartLoanRequest(now, m_self.vm, wanted);
  const LoanId loan{.borrower = BorrowerName(m_self), .number = request.number};
  team.reserve.AddLoan(now, m_self.vm, request.number,
                       team.bucket->Lend(now, loan, wanted));
}

std::vector<OutgoingLoanRequest> QuotaManager::Poll(TimePoint now) {
  EndRecovery(now);
  std::vector<OutgoingLoanRequest> out;
  for (auto& [name, team] : m_teams)
    PollTeam(now, name, team, out);
  return out;
}

Tokens QuotaManager::MissingTokens(TimePoint now, Team& team) {
  const double elapsed = ToSeconds(now - team.last_poll);
  if (elapsed > 0) {
    const double measured =
        static_cast<double>(team.spent_since_poll) / elapsed;
    team.spend_rate += kSpendSmoothing * (measured - team.spend_rate);
    team.spent_since_poll = 0;
    team.last_poll = now;
  }
  const auto expected_spend = static_cast<Tokens>(
      std::llround(team.spend_rate * ToSeconds(kReserveHorizon)));
  const Tokens wanted = std::max(
      {expected_spend, team.first_queued_cost, team.total_queued_cost});
  const Tokens target = std::min<Tokens>(wanted, team.spec.burst_tokens);
  team.reserve.CloseIdleLoans(now, target);
  const Tokens held =
      team.reserve.Available(now) + team.reserve.RequestedTokens(now);
  // Requests are sent only below half of the target, because topping up at each
  // poll would cost one message per poll.
  const bool enough = held >= target / 2 && held >= team.total_queued_cost;
  return enough ? 0 : target - held;
}

void QuotaManager::PollTeam(TimePoint now,
                            const std::string& name,
                            Team& team,
                            std::vector<OutgoingLoanRequest>& out) {
  Tokens missing = MissingTokens(now, team);
  if (missing > 0 && team.bucket) {
    const Tokens before = team.reserve.Available(now);
    BorrowFromSelf(now, team, missing);
    missing -= team.reserve.Available(now) - before;
  }
  ReportClosedLoans(now, name, team, out);
  if (missing <= 0)
    return;
  RequestLoans(now, name, team, missing, out);
}

void QuotaManager::RequestLoans(TimePoint now,
                                const std::string& name,
                                Team& team,
                                Tokens missing,
                                std::vector<OutgoingLoanRequest>& out) {
  if (missing <= 0)
    return;
  const std::vector<std::string> lenders = OtherLenders(name, team);
  const std::size_t first = team.next_lender;
  for (std::size_t i = 0; i < lenders.size() && missing > 0; ++i) {
    const std::size_t index = (first + i) % lenders.size();
    const std::string& lender = lenders[index];
    if (team.reserve.HasOpenRequest(now, lender))
      continue;
    team.next_lender = (index + 1) % lenders.size();
    const Tokens wanted = std::min(missing, MostToLend(team, lender));
    if (wanted <= 0)
      continue;
    missing -= wanted;
    const LoanRequest request =
        team.reserve.StartLoanRequest(now, lender, wanted);
    out.push_back({.vm = lender,
                   .request = {.team = name,
                               .number = request.number,
                               .wanted = request.wanted}});
  }
}

Tokens QuotaManager::MostToLend(const Team& team,
                                const std::string& lender) const {
  const auto page = m_pages.find(team.page);
  if (page == m_pages.end())
    return 0;
  double units = 0;
  for (const ShareHolder& holder : page->second.holders) {
    if (holder.process.vm == lender)
      units += holder.units;
  }
  return static_cast<Tokens>(static_cast<double>(team.spec.burst_tokens) *
                             units / kShareUnits);
}

std::vector<std::string> QuotaManager::OtherLenders(const std::string& name,
                                                    const Team& team) const {
  std::vector<std::string> lenders;
  const auto page = m_pages.find(team.page);
  if (page == m_pages.end())
    return lenders;
  for (const ShareHolder& holder : page->second.holders) {
    if (holder.process.vm != m_self.vm)
      lenders.push_back(holder.process.vm);
  }
  // Each router begins with a different holder, so that the loan requests of
  // one team are spread over the holders.
  return RendezvousOrder(name + "/" + m_self.vm, lenders);
}

void QuotaManager::ReportClosedLoans(TimePoint now,
                                     const std::string& name,
                                     Team& team,
                                     std::vector<OutgoingLoanRequest>& out) {
  std::map<std::string, QuotaLoanRequest> reports;
  for (const ClosedLoan& loan : team.reserve.TakeClosedLoans())
    reports[loan.lender].closed.push_back(loan);
  if (team.refund > 0) {
    const std::vector<std::string> lenders =
        team.bucket ? std::vector<std::string>{} : OtherLenders(name, team);
    QuotaLoanRequest& report =
        reports[lenders.empty() ? m_self.vm : lenders.front()];
    report.refund = std::exchange(team.refund, 0);
    report.refund_number = ++team.refund_number;
  }
  for (auto& [lender, report] : reports) {
    report.team = name;
    if (lender == m_self.vm)
      HandleLoanRequest(now, BorrowerName(m_self), report);
    else
      out.push_back({.vm = lender, .request = std::move(report)});
  }
}

bool QuotaManager::PageHasTeams(std::uint32_t page) const {
  return std::ranges::any_of(
      m_teams, [&](const auto& team) { return team.second.page == page; });
}

std::optional<SharePage> QuotaManager::RetryWrite(TimePoint now) {
  if (now < m_write_retry_at)
    return std::nullopt;
  m_write_retry_at = kNever;
  return m_pending_write;
}

void QuotaManager::OnStoreReverted(TimePoint now, StoreEra era) {
  std::map<std::uint32_t, std::uint32_t> held;
  for (auto& [number, page] : m_pages) {
    held[number] = EffectiveUnits(number);
    // Any stored page replaces this one. If there is none, it is written again.
    page.revision = 0;
  }
  m_pending_write.reset();
  m_recovery.OnStoreReverted(now, era, std::move(held));
}

void QuotaManager::EndRecovery(TimePoint now) {
  if (!m_recovery.EndSettling(now))
    return;
  for (const auto& [number, page] : m_pages)
    ConfigureBucketsOfPage(now, number, TokenBucket::InitialLevel::kEmpty);
}

std::optional<SharePage> QuotaManager::PlanNext(TimePoint now,
                                                const SharePage& page,
                                                const Roster& roster,
                                                bool draining) {
  if (m_recovery.IsReclaiming()) {
    if (draining)
      m_recovery.GiveUp(page.page);
    return PlanReclaimedShare(now, m_self, page, roster,
                              m_recovery.HeldBefore(page.page));
  }
  if (m_recovery.IsUnsettled(page))
    return std::nullopt;
  std::optional<SharePage> next =
      PlanSharePage(now, m_self, page, roster, draining);
  const bool settles =
      page.settled_era < m_recovery.era() && UnitsOf(page, m_self) > 0;
  if (!next && settles)
    next = page;
  if (next)
    next->settled_era = m_recovery.era();
  return next;
}

std::optional<SharePage> QuotaManager::PlanPage(TimePoint now,
                                                const Roster& roster,
                                                bool draining) {
  // A router that isn't on the VM list yet must not hold a share: others could
  // treat it as gone and free the share.
  const bool listed = roster.Find(m_self.vm) != nullptr;
  if (!listed)
    return std::nullopt;
  if (m_pending_write)
    return RetryWrite(now);
  // Each router begins with a different page, so that routers that start
  // together don't contend for the same one.
  const auto first = static_cast<std::uint32_t>(StableHash(m_self.vm));
  for (std::uint32_t i = 0; i < kSharePageCount; ++i) {
    const std::uint32_t number = (first + i) % kSharePageCount;
    if (!PageHasTeams(number))
      continue;
    SharePage page{.page = number};
    if (const auto known = m_pages.find(number); known != m_pages.end())
      page = known->second;
    std::optional<SharePage> next = PlanNext(now, page, roster, draining);
    if (!next)
      continue;
    m_pending_write = next;
    m_write_retry_at = kNever;
    ConfigureBucketsOfPage(now, number, TokenBucket::InitialLevel::kEmpty);
    return next;
  }
  return std::nullopt;
}

void QuotaManager::HandlePageWritten(TimePoint now,
                                     WriteOutcome outcome,
                                     Revision revision) {
  if (!m_pending_write)
    return;
  const std::uint32_t page = m_pending_write->page;
  // A write without a reply may have taken effect, and after a conflict the
  // stored record differs from the known one. The lower share stays in effect
  // until the feed delivers the current record.
  if (outcome == WriteOutcome::kConflict)
    return;
  if (outcome == WriteOutcome::kUnknown) {
    m_write_retry_at = now + kUnknownWriteRetryDelay;
    return;
  }
  const bool first_ever = m_pending_write->revision == 0;
  SharePage written = *m_pending_write;
  written.revision = revision;
  m_pending_write.reset();
  const auto known = m_pages.find(page);
  if (known == m_pages.end() || known->second.revision < revision)
    m_pages[page] = written;
  // No loans can have been granted from a page that did not exist.
  ConfigureBucketsOfPage(now, page,
                         first_ever ? TokenBucket::InitialLevel::kFull
                                    : TokenBucket::InitialLevel::kEmpty);
}

bool QuotaManager::HoldsShares() const {
  return std::ranges::any_of(m_pages, [&](const auto& page) {
    return UnitsOf(page.second, m_self) > 0;
  });
}

double QuotaManager::ShareOf(const std::string& team) const {
  const auto found = m_teams.find(team);
  if (found == m_teams.end())
    return 0;
  const double units = EffectiveUnits(found->second.page);
  return found->second.spec.rate_tokens_per_second * units / kShareUnits;
}

Tokens QuotaManager::LevelOf(TimePoint now, const std::string& team) {
  const auto found = m_teams.find(team);
  return found == m_teams.end() || !found->second.bucket
             ? 0
             : found->second.bucket->Level(now);
}

Tokens QuotaManager::OutstandingOf(const std::string& team) const {
  const auto found = m_teams.find(team);
  return found == m_teams.end() || !found->second.bucket
             ? 0
             : found->second.bucket->Outstanding();
}

Tokens QuotaManager::AvailableOf(TimePoint now, const std::string& team) {
  const auto found = m_teams.find(team);
  return found == m_teams.end() ? 0 : found->second.reserve.Available(now);
}

}  // namespace boragepick
