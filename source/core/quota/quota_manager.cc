#include "core/quota/quota_manager.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

#include "common/hashing.h"
#include "core/store/store_revision.h"

namespace boragepick {

namespace {

// The reserve aims to cover the spending of this period at the current rate.
constexpr Duration kReserveHorizon = std::chrono::milliseconds(800);
// While requests wait, only what is spent until a loan request is answered.
constexpr Duration kWaitingHorizon = std::chrono::milliseconds(200);
// Weight of the newest measurement in the smoothed spend rate.
constexpr double kSpendSmoothing = 0.3;
// A router borrows from its own share for this many requests at a time. Unspent
// tokens are returned.
constexpr Tokens kSelfLoanRequests = 4;
// The urgency of loans for which no request waits yet.
constexpr std::uint32_t kAheadUrgency =
    std::numeric_limits<std::uint32_t>::max();
// The low bits of a loan request's number count the requests of one process.
// Above them are its incarnation's revision and era.
constexpr unsigned kLoanCountBits = 20;
constexpr unsigned kLoanRevisionBits = 36;
// A request that costs more than this part of what a holder can lend is covered
// by loans from several holders.
constexpr Tokens kLargeRequestParts = 2;
// A loan for a part of a large request is at least this part of what a holder
// was asked for.
constexpr Tokens kLeastPartOfLoan = 4;

std::string BorrowerName(const ProcessId& process) {
  return process.vm + "#" + std::to_string(process.incarnation);
}

// Loan requests of a process are numbered above those of earlier processes of
// the router, so that a late loan to one of these is not accepted.
std::uint64_t FirstLoanNumber(const ProcessId& process) {
  const auto incarnation = static_cast<StoreRevision>(process.incarnation);
  constexpr std::uint64_t kRevisionMask =
      (std::uint64_t{1} << kLoanRevisionBits) - 1;
  const std::uint64_t revision = BareRevisionOf(incarnation) & kRevisionMask;
  return (EraOf(incarnation) << kLoanRevisionBits | revision) << kLoanCountBits;
}

}  // namespace

QuotaManager::QuotaManager(ProcessId self, double early_burst_fraction)
    : m_self(std::move(self)),
      m_self_name(BorrowerName(m_self)),
      m_early_burst_fraction(early_burst_fraction),
      m_last_loan_number(FirstLoanNumber(m_self)) {}

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
                              const WaitingDemand& waiting) {
  const auto found = m_teams.find(team);
  if (found != m_teams.end())
    found->second.waiting = waiting;
}

std::vector<OutgoingQuotaMessage> QuotaManager::RequestForQueue(
    TimePoint now,
    const std::string& team) {
  std::vector<OutgoingQuotaMessage> out;
  const auto found = m_teams.find(team);
  if (found != m_teams.end())
    RequestForWaiting(now, team, found->second, out);
  return out;
}

void QuotaManager::Refund(const std::string& team, Tokens unused) {
  const auto found = m_teams.find(team);
  if (found != m_teams.end() && unused > 0)
    found->second.refund += unused;
}

std::vector<OutgoingQuotaMessage> QuotaManager::HandleLoanRequest(
    TimePoint now,
    const ProcessId& borrower,
    const QuotaLoanRequest& request) {
  std::vector<OutgoingQuotaMessage> out;
  const auto found = m_teams.find(request.team);
  if (found == m_teams.end() || !found->second.bucket)
    return out;
  Team& team = found->second;
  const std::string name = BorrowerName(borrower);
  ApplyReturns(now, team, name, request);
  std::uint64_t& last_request = team.last_requests[name];
  const bool is_new = request.wanted > 0 && request.number > last_request;
  if (is_new) {
    last_request = request.number;
    QueueLoan(now, team, borrower.vm, name, request);
  }
  GrantLoans(now, request.team, team, out);
  if (!is_new || request.needed > 0)
    return out;
  QuotaLoan loan{.team = request.team, .number = request.number};
  if (team.loan_queue.IsEmpty(now))
    loan.tokens = team.bucket->Lend(
        now, {.borrower = name, .number = request.number}, request.wanted);
  out.push_back({.vm = borrower.vm, .message = std::move(loan)});
  return out;
}

void QuotaManager::ApplyReturns(TimePoint now,
                                Team& team,
                                const std::string& borrower,
                                const QuotaLoanRequest& request) {
  for (const ClosedLoan& loan : request.closed)
    team.bucket->CloseLoan(now, {.borrower = borrower, .number = loan.number},
                           loan.unspent);
  std::uint64_t& last_refund = team.last_refunds[borrower];
  if (request.refund_number <= last_refund)
    return;
  last_refund = request.refund_number;
  team.bucket->Refund(now, request.refund);
}

void QuotaManager::QueueLoan(TimePoint now,
                             Team& team,
                             const std::string& vm,
                             const std::string& borrower,
                             const QuotaLoanRequest& request) {
  if (request.needed <= 0)
    return;
  team.loan_queue.Add({.id = {.borrower = borrower, .number = request.number},
                       .vm = vm,
                       .wanted = request.wanted,
                       .needed = request.needed,
                       .urgency = request.urgency,
                       .demand = request.demand,
                       .expires_at = now + request.patience});
}

void QuotaManager::GrantLoans(TimePoint now,
                              const std::string& name,
                              Team& team,
                              std::vector<OutgoingQuotaMessage>& out) {
  if (!team.bucket || team.loan_queue.IsEmpty(now))
    return;
  for (const GrantedLoan& granted : team.loan_queue.Grant(
           now, team.bucket->Level(now), team.bucket->Capacity())) {
    const LoanId& id = granted.loan.id;
    const Tokens tokens = team.bucket->Lend(now, id, granted.tokens);
    if (id.borrower == m_self_name) {
      team.reserve.AddLoan(now, m_self.vm, id.number, tokens);
      continue;
    }
    out.push_back({.vm = granted.loan.vm,
                   .message = QuotaLoan{
                       .team = name, .number = id.number, .tokens = tokens}});
  }
}

void QuotaManager::HandleLoan(TimePoint now,
                              const std::string& lender,
                              const QuotaLoan& loan) {
  const auto found = m_teams.find(loan.team);
  if (found != m_teams.end())
    found->second.reserve.AddLoan(now, lender, loan.number, loan.tokens);
}

LoanRequest QuotaManager::NewRequest(const std::string& lender, Tokens wanted) {
  return {.number = ++m_last_loan_number,
          .lender = lender,
          .wanted = wanted,
          .urgency = kAheadUrgency};
}

void QuotaManager::BorrowFromSelf(TimePoint now, Team& team, Tokens wanted) {
  // Under pressure this router's requests wait among those of the others.
  if (!team.bucket || wanted <= 0 || team.loan_queue.HasOther(now, m_self_name))
    return;
  const LoanRequest request = NewRequest(m_self.vm, wanted);
  const LoanId loan{.borrower = m_self_name, .number = request.number};
  const Tokens tokens = team.bucket->Lend(now, loan, wanted);
  if (tokens <= 0)
    return;
  team.reserve.StartLoanRequest(now, request);
  team.reserve.AddLoan(now, m_self.vm, request.number, tokens);
}

std::vector<OutgoingQuotaMessage> QuotaManager::Poll(TimePoint now) {
  EndRecovery(now);
  std::vector<OutgoingQuotaMessage> out;
  for (auto& [name, team] : m_teams)
    PollTeam(now, name, team, out);
  return out;
}

void QuotaManager::PollTeam(TimePoint now,
                            const std::string& name,
                            Team& team,
                            std::vector<OutgoingQuotaMessage>& all) {
  std::vector<OutgoingQuotaMessage> out;
  MeasureSpending(now, team);
  const Tokens soon_spent = SoonSpent(team);
  team.reserve.CloseIdleLoans(now,
                              std::max(soon_spent, team.waiting.total_cost));
  if (team.waiting.total_cost > 0)
    RequestForWaiting(now, name, team, out);
  else
    RequestAhead(now, name, team, soon_spent, out);
  ReportClosedLoans(now, name, team, out);
  GrantLoans(now, name, team, out);
  std::ranges::move(out, std::back_inserter(all));
}

void QuotaManager::MeasureSpending(TimePoint now, Team& team) {
  const double elapsed = ToSeconds(now - team.last_poll);
  if (elapsed <= 0)
    return;
  const double measured = static_cast<double>(team.spent_since_poll) / elapsed;
  team.spend_rate += kSpendSmoothing * (measured - team.spend_rate);
  team.spent_since_poll = 0;
  team.last_poll = now;
}

Tokens QuotaManager::SoonSpent(const Team& team) {
  const Duration horizon =
      team.waiting.total_cost > 0 ? kWaitingHorizon : kReserveHorizon;
  const auto expected =
      static_cast<Tokens>(std::llround(team.spend_rate * ToSeconds(horizon)));
  return std::min<Tokens>(expected, team.spec.burst_tokens);
}

void QuotaManager::RequestAhead(TimePoint now,
                                const std::string& name,
                                Team& team,
                                Tokens target,
                                std::vector<OutgoingQuotaMessage>& out) {
  // Requests are sent only below half of the target, because topping up at each
  // poll would cost one message per poll.
  const Tokens requested = team.reserve.RequestedTokens(now, kAheadUrgency);
  if (team.reserve.Available(now) + requested >= target / 2)
    return;
  BorrowFromSelf(now, team, target - team.reserve.Available(now));
  Tokens missing = target - team.reserve.Available(now) - requested;
  const std::vector<std::string> lenders = OtherLenders(name, team);
  const std::size_t first = team.next_lender;
  for (std::size_t i = 0; i < lenders.size() && missing > 0; ++i) {
    const std::size_t index = (first + i) % lenders.size();
    const std::string& lender = lenders[index];
    if (team.reserve.HasOpenRequest(now, lender, kAheadUrgency))
      continue;
    team.next_lender = (index + 1) % lenders.size();
    const Tokens wanted = std::min(missing, MostToLend(team, lender));
    if (wanted <= 0)
      continue;
    missing -= wanted;
    SendRequest(now, team, lender,
                {.team = name, .wanted = wanted, .urgency = kAheadUrgency},
                out);
  }
}

void QuotaManager::RequestForWaiting(TimePoint now,
                                     const std::string& name,
                                     Team& team,
                                     std::vector<OutgoingQuotaMessage>& out) {
  const WaitingDemand& waiting = team.waiting;
  const Tokens wanted_in_all = std::min<Tokens>(
      std::max(waiting.total_cost, SoonSpent(team)), team.spec.burst_tokens);
  const Tokens missing_in_all = wanted_in_all - team.reserve.Available(now);
  // A request that is more urgent than what the open loan requests are for is
  // announced to all holders.
  Tokens missing =
      missing_in_all - team.reserve.RequestedTokens(now, waiting.urgency);
  std::vector<std::string> lenders = OtherLenders(name, team);
  if (team.bucket)
    lenders.insert(lenders.begin(), m_self.vm);
  const std::size_t first = team.next_lender;
  for (std::size_t i = 0; i < lenders.size() && missing > 0; ++i) {
    const std::size_t index = (first + i) % lenders.size();
    const std::string& lender = lenders[index];
    const Tokens most = MostToLend(team, lender);
    if (most <= 0 || team.reserve.HasOpenRequest(now, lender, waiting.urgency))
      continue;
    team.next_lender = (index + 1) % lenders.size();
    const bool is_large = waiting.next_cost > most / kLargeRequestParts;
    const auto part = static_cast<Tokens>(std::ceil(
        static_cast<double>(missing_in_all) * PartHeldBy(team, lender)));
    const Tokens wanted = std::min(
        {missing, most, is_large ? most : std::max(waiting.next_cost, part)});
    const Tokens needed = is_large
                              ? std::max<Tokens>(1, wanted / kLeastPartOfLoan)
                              : std::min(waiting.next_cost, wanted);
    missing -= lender == m_self.vm ? 0 : wanted;
    SendRequest(now, team, lender,
                {.team = name,
                 .wanted = wanted,
                 .needed = needed,
                 .urgency = waiting.urgency,
                 .demand = std::max(waiting.demand, Tokens{1}),
                 .patience = kLoanRequestTimeout},
                out);
  }
  GrantLoans(now, name, team, out);
}

void QuotaManager::SendRequest(TimePoint now,
                               Team& team,
                               const std::string& lender,
                               QuotaLoanRequest request,
                               std::vector<OutgoingQuotaMessage>& out) {
  const bool is_own = lender == m_self.vm;
  // What the own share may grant is not counted on: it has been used up, or
  // others wait for it.
  LoanRequest started = NewRequest(lender, is_own ? 0 : request.wanted);
  started.urgency = request.urgency;
  request.number = started.number;
  team.reserve.StartLoanRequest(now, started);
  if (is_own)
    return QueueLoan(now, team, m_self.vm, m_self_name, request);
  out.push_back({.vm = lender, .message = std::move(request)});
}

double QuotaManager::PartHeldBy(const Team& team,
                                const std::string& lender) const {
  const auto page = m_pages.find(team.page);
  if (page == m_pages.end())
    return 0;
  double units = 0;
  for (const ShareHolder& holder : page->second.holders) {
    if (holder.process.vm == lender)
      units += holder.units;
  }
  return units / kShareUnits;
}

Tokens QuotaManager::MostToLend(const Team& team,
                                const std::string& lender) const {
  return static_cast<Tokens>(static_cast<double>(team.spec.burst_tokens) *
                             PartHeldBy(team, lender));
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
                                     std::vector<OutgoingQuotaMessage>& out) {
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
  for (OutgoingQuotaMessage& outgoing : out) {
    auto* request = std::get_if<QuotaLoanRequest>(&outgoing.message);
    const auto report = reports.find(outgoing.vm);
    if (request == nullptr || report == reports.end())
      continue;
    request->closed = std::move(report->second.closed);
    request->refund = report->second.refund;
    request->refund_number = report->second.refund_number;
    reports.erase(report);
  }
  for (auto& [lender, report] : reports) {
    report.team = name;
    if (lender != m_self.vm)
      out.push_back({.vm = lender, .message = std::move(report)});
    else if (team.bucket)
      ApplyReturns(now, team, m_self_name, report);
  }
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

Tokens QuotaManager::KnownLevelOf(const std::string& team) const {
  const auto found = m_teams.find(team);
  return found == m_teams.end() || !found->second.bucket
             ? 0
             : found->second.bucket->KnownLevel();
}

Tokens QuotaManager::OutstandingOf(const std::string& team) const {
  const auto found = m_teams.find(team);
  return found == m_teams.end() || !found->second.bucket
             ? 0
             : found->second.bucket->Outstanding();
}

std::size_t QuotaManager::WaitingLoansOf(const std::string& team) const {
  const auto found = m_teams.find(team);
  return found == m_teams.end() ? 0 : found->second.loan_queue.size();
}

Tokens QuotaManager::AvailableOf(TimePoint now, const std::string& team) {
  const auto found = m_teams.find(team);
  return found == m_teams.end() ? 0 : found->second.reserve.Available(now);
}

}  // namespace boragepick
