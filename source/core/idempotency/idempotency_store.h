// The owner of pages of idempotency claims. A router becomes a page's owner by
// compare-and-swap when the page has none, or when the last one is proven gone;
// while it lives nobody else may add claims, so it can say for certain what has
// not been claimed, also while the platform's service is down.
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

// Effects, carried out by the owner's process.
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
  // A claim that can't be written for so long is answered.
  static constexpr Duration kClaimPatience = std::chrono::milliseconds(800);
  // A page found to be another's is read again after so long.
  static constexpr Duration kForeignLife = std::chrono::seconds(1);
  // Wait between a failed call and the next one.
  static constexpr Duration kCallAgain = std::chrono::milliseconds(300);

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

  // `record` is empty when the page doesn't exist.
  void PageRead(TimePoint now,
                std::uint32_t page,
                std::optional<IdempotencyPage> record,
                const Roster& roster);
  void PageReadFailed(TimePoint now, std::uint32_t page);
  void PageWritten(TimePoint now,
                   std::uint32_t page,
                   WriteOutcome outcome,
                   Revision revision,
                   const Roster& roster);

  // Becomes the owner of a page ahead of its first claim, so that claims can be
  // judged while the service is down. Does nothing for a page that is known
  // already.
  void Adopt(TimePoint now, std::uint32_t page);

  // Answers what waited too long and repeats failed calls. Call it every 100 ms
  // while Busy().
  void Tick(TimePoint now);

  // Gives up all pages; claims that come later are redirected.
  void Release();
  // Whether claims, outcomes or calls to the platform are under way.
  bool Busy() const;

  std::vector<IdempotencyEffect> TakeEffects() {
    return std::exchange(m_effects, {});
  }

 private:
  enum class PageStatus { kUnread, kOwned, kForeign };
  enum class Call { kNone, kRead, kWrite };

  struct Claimant {
    ProcessId from;
    IdempotencyClaim claim;
    TimePoint arrived;
  };
  struct Ending {
    ProcessId from;
    IdempotencyOutcome outcome;
  };
  // Claims and endings that the stored page doesn't hold yet.
  struct Changes {
    std::vector<Claimant> claims;
    std::vector<Ending> endings;
    bool Empty() const { return claims.empty() && endings.empty(); }
  };
  struct PageState {
    PageStatus status = PageStatus::kUnread;
    IdempotencyPage stored;
    Changes changes;
    // The write under way.
    IdempotencyPage written;
    Changes writing;
    // Changes of a write whose outcome only the record can tell.
    bool must_read = true;
    bool releasing = false;
    bool adopting = false;
    Call call = Call::kNone;
    TimePoint call_not_before = TimePoint{};
    TimePoint foreign_until = TimePoint{};
    // Claims that came before the page was read.
    std::vector<Claimant> unread;
    // Claims of keys whose first copy is still running.
    std::multimap<std::string, Claimant> running;
  };

  void Advance(TimePoint now, PageState& state);
  void Read(PageState& state);
  void Write(PageState& state);
  void Decide(TimePoint now,
              PageState& state,
              const Claimant& claimant,
              const Roster& roster);
  static void WaitForRunning(PageState& state, const Claimant& claimant);
  void DecideKnown(TimePoint now,
                   PageState& state,
                   const Claimant& claimant,
                   const IdempotencyEntry& entry,
                   const Roster& roster);
  void Become(TimePoint now,
              PageState& state,
              IdempotencyPage record,
              PageStatus status,
              const Roster& roster);
  // Answers all changes that the stored page now holds, and forgets them.
  void FinishStored(TimePoint now, PageState& state, const Roster& roster);
  static void WithdrawClaim(PageState& state,
                            const ProcessId& from,
                            std::uint64_t token);
  void FinishEnding(TimePoint now,
                    PageState& state,
                    const Ending& ending,
                    const Roster& roster);
  void RedirectAll(PageState& state);
  void ExpireClaims(TimePoint now, PageState& state);
  bool MayOwn(TimePoint now,
              const IdempotencyPage& record,
              const Roster& roster) const;
  void SendVerdict(const ProcessId& to, IdempotencyVerdict verdict);
  IdempotencyVerdictKind KindIfUnclaimed(const PageState& state) const;
  PageState& StateOf(const std::string& claim_id);

  ProcessId m_self;
  bool m_released = false;
  std::map<std::uint32_t, PageState> m_pages;
  std::vector<IdempotencyEffect> m_effects;
};

}  // namespace boragepick
