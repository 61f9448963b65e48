// The idempotency pages that one router owns. A router becomes the owner of a
// page by compare-and-swap if the page has no owner, or if its last owner is
// proven gone. Until the owner is gone no other router may add claims, so the
// owner knows which keys are unclaimed even while the platform's store is
// unavailable.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "common/time.h"
#include "core/idempotency/idempotency_messages.h"
#include "core/idempotency/idempotency_page.h"
#include "core/platform_call.h"
#include "core/roster/roster.h"

namespace boragepick {

// Effects, to be carried out by the caller.
struct IdempotencyReadPage {
  std::uint32_t page = 0;
};
// To be written if the stored revision is still `page.revision`.
struct IdempotencyWritePage {
  IdempotencyPage page;
};
struct IdempotencySend {
  std::string vm;
  std::variant<IdempotencyVerdict, IdempotencyOutcomeStored> message;
};
using IdempotencyEffect =
    std::variant<IdempotencyReadPage, IdempotencyWritePage, IdempotencySend>;

class IdempotencyStore {
 public:
  // A claim that can't be written within this time is answered without a grant.
  static constexpr Duration kClaimTimeout = std::chrono::milliseconds(800);
  // A page found to belong to another owner is read again after this time.
  static constexpr Duration kForeignPageLifetime = std::chrono::seconds(1);
  // Delay before a failed call is retried.
  static constexpr Duration kCallRetryDelay = std::chrono::milliseconds(300);

  explicit IdempotencyStore(ProcessId self) : m_self(std::move(self)) {}

  void SetSelfListedVersion(std::uint64_t version) {
    m_self.listed_version = version;
  }

  void HandleClaim(TimePoint now,
                   const ProcessId& from,
                   const IdempotencyClaim& claim,
                   const Roster& roster);
  void HandleOutcome(TimePoint now,
                     const ProcessId& from,
                     const IdempotencyOutcome& outcome);

  // `record` is empty if the page doesn't exist.
  void HandlePageRead(TimePoint now,
                      std::uint32_t page,
                      std::optional<IdempotencyPage> record,
                      const Roster& roster);
  void HandlePageReadFailed(TimePoint now, std::uint32_t page);
  void HandlePageWritten(TimePoint now,
                         std::uint32_t page,
                         WriteOutcome outcome,
                         Revision revision,
                         const Roster& roster);

  // Becomes the owner of a page before its first claim, so that claims can be
  // decided while the platform's store is unavailable. Does nothing if the
  // owner of the page is already known.
  void AcquirePage(TimePoint now, std::uint32_t page);

  // Answers claims that have timed out and retries failed calls. To be called
  // every 100 ms while IsBusy().
  void Tick(TimePoint now);

  // Releases all pages; later claims are redirected.
  void ReleasePages();
  // Whether claims, outcomes or calls to the platform are pending.
  bool IsBusy() const;

  std::vector<IdempotencyEffect> TakeEffects() {
    return std::exchange(m_effects, {});
  }

 private:
  enum class PageStatus { kUnread, kOwned, kForeign };
  enum class Call { kNone, kRead, kWrite };

  struct PendingClaim {
    ProcessId from;
    IdempotencyClaim claim;
    TimePoint arrived;
  };
  struct PendingOutcome {
    ProcessId from;
    IdempotencyOutcome outcome;
  };
  // Claims and outcomes that the stored page doesn't hold yet.
  struct Changes {
    std::vector<PendingClaim> claims;
    std::vector<PendingOutcome> outcomes;
    bool IsEmpty() const { return claims.empty() && outcomes.empty(); }
  };
  struct PageState {
    PageStatus status = PageStatus::kUnread;
    IdempotencyPage stored;
    Changes changes;
    // The write in progress and its changes.
    IdempotencyPage written;
    Changes changes_in_write;
    // Whether `stored` may differ from the stored record: before the first
    // read, and after a write that failed or whose outcome is unknown.
    bool must_read = true;
    bool releasing = false;
    bool acquiring = false;
    Call call = Call::kNone;
    TimePoint call_not_before = TimePoint{};
    TimePoint foreign_until = TimePoint{};
    // Claims that arrived before the page was read.
    std::vector<PendingClaim> claims_before_read;
    // Claims that wait for an earlier claim on the same key, by claim ID.
    std::multimap<std::string, PendingClaim> queued_claims;
  };

  void StartNextCall(TimePoint now, PageState& state);
  void StartRead(PageState& state);
  void StartWrite(PageState& state);
  void DecideClaim(TimePoint now,
                   PageState& state,
                   const PendingClaim& pending_claim,
                   const Roster& roster);
  static void EnqueueClaim(PageState& state, const PendingClaim& pending_claim);
  void DecideRecordedClaim(TimePoint now,
                           PageState& state,
                           const PendingClaim& pending_claim,
                           const IdempotencyEntry& entry,
                           const Roster& roster);
  void SetStoredPage(TimePoint now,
                     PageState& state,
                     IdempotencyPage record,
                     PageStatus status,
                     const Roster& roster);
  // Answers and removes all changes that the stored page now holds.
  void CompleteStoredChanges(TimePoint now,
                             PageState& state,
                             const Roster& roster);
  static void RemoveClaim(PageState& state,
                          const ProcessId& from,
                          std::uint64_t token);
  void CompleteOutcome(TimePoint now,
                       PageState& state,
                       const PendingOutcome& pending_outcome,
                       const Roster& roster);
  void RedirectPending(PageState& state);
  void ExpireClaims(TimePoint now, PageState& state);
  bool CanOwn(TimePoint now,
              const IdempotencyPage& record,
              const Roster& roster) const;
  void SendVerdict(const ProcessId& to, IdempotencyVerdict verdict);
  IdempotencyVerdictKind VerdictIfUnclaimed(const PageState& state) const;
  PageState& StateOf(const std::string& claim_id);

  ProcessId m_self;
  bool m_released = false;
  std::map<std::uint32_t, PageState> m_pages;
  std::vector<IdempotencyEffect> m_effects;
};

}  // namespace boragepick
