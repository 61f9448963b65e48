// Embeds two parts of the library into another program: a quota shared by two
// admission points, and idempotency claims in a page that the program stores
// itself. Uses no daemon, socket or clock.

#include <boragepick/core/idempotency/idempotency_store.h>
#include <boragepick/core/quota/quota_manager.h>

#include <chrono>
#include <iostream>
#include <optional>

namespace {

using namespace boragepick;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kExitFailed = 1;

// Two admission points share the rate of one team. The second has no share and
// borrows from the first.
bool ShareQuota() {
  const TimePoint start = TimePoint(seconds(1000));
  const TeamSpec team{.rate_tokens_per_second = 100, .burst_tokens = 1000};
  Roster roster;
  roster.Apply(start, {.version = 1, .entries = {{.vm = "a"}}});
  QuotaManager holder({.vm = "a", .incarnation = 1, .listed_version = 1});
  QuotaManager borrower({.vm = "b", .incarnation = 1, .listed_version = 1});
  holder.SetTeam(start, "team", team, QuotaManager::TeamOrigin::kCreated);
  borrower.SetTeam(start, "team", team, QuotaManager::TeamOrigin::kCreated);

  std::optional<SharePage> page = holder.PlanPage(start, roster, false);
  // A real program would write the page with compare-and-swap. Here the write
  // always succeeds.
  page->revision = 1;
  holder.HandlePageWritten(start, WriteOutcome::kWritten, page->revision);
  borrower.ApplyPage(start, *page);

  borrower.SetWaiting("team", {.next_cost = 300, .total_cost = 300});
  for (const OutgoingQuotaMessage& asked : borrower.Poll(start)) {
    const auto& request = std::get<QuotaLoanRequest>(asked.message);
    for (const OutgoingQuotaMessage& granted : holder.HandleLoanRequest(
             start, {.vm = "b", .incarnation = 1}, request))
      borrower.HandleLoan(start, asked.vm,
                          std::get<QuotaLoan>(granted.message));
  }
  const bool borrowed = borrower.Admit(start + milliseconds(1), "team", 300);
  const bool rest = holder.Admit(start + milliseconds(1), "team", 700);
  const bool too_much = holder.Admit(start + milliseconds(1), "team", 100);
  std::cout << "borrowed 300: " << borrowed << ", rest 700: " << rest
            << ", 100 more: " << too_much << '\n';
  return borrowed && rest && !too_much;
}

// A claim is granted once. A retry gets the stored response.
bool RunOnce() {
  const TimePoint now = TimePoint(seconds(1000));
  const ProcessId self{.vm = "a", .incarnation = 1, .listed_version = 1};
  Roster roster;
  roster.Apply(now, {.version = 1, .entries = {{.vm = "a"}}});
  IdempotencyStore owner(self);
  IdempotencyPage stored;
  int granted = 0;
  int replayed = 0;
  const auto run_effects = [&] {
    for (auto effects = owner.TakeEffects(); !effects.empty();
         effects = owner.TakeEffects()) {
      for (IdempotencyEffect& effect : effects) {
        if (const auto* read = std::get_if<IdempotencyReadPage>(&effect)) {
          owner.HandlePageRead(now, read->page, std::nullopt, roster);
        } else if (auto* write = std::get_if<IdempotencyWritePage>(&effect)) {
          stored = std::move(write->page);
          owner.HandlePageWritten(now, stored.page, WriteOutcome::kWritten,
                                  ++stored.revision, roster);
        } else if (const auto* send = std::get_if<IdempotencySend>(&effect)) {
          const auto* verdict = std::get_if<IdempotencyVerdict>(&send->message);
          granted +=
              verdict && verdict->kind == IdempotencyVerdictKind::kGranted;
          replayed +=
              verdict && verdict->kind == IdempotencyVerdictKind::kReplay;
        }
      }
    }
  };
  const std::string claim = ClaimIdOf("team", "booking-1");
  owner.HandleClaim(
      now, self, {.claim_id = claim, .request_hash = "h", .token = 1}, roster);
  run_effects();
  owner.HandleOutcome(now, self,
                      {.claim_id = claim,
                       .token = 1,
                       .result = IdempotencyResult::kWhole,
                       .answer = {.status = 200, .body = "receipt"}});
  run_effects();
  owner.HandleClaim(
      now, self, {.claim_id = claim, .request_hash = "h", .token = 2}, roster);
  run_effects();
  std::cout << "granted " << granted << ", replayed " << replayed << '\n';
  return granted == 1 && replayed == 1;
}

}  // namespace

int main() {
  return ShareQuota() && RunOnce() ? 0 : kExitFailed;
}
