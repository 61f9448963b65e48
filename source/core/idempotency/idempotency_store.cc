#include "core/idempotency/idempotency_store.h"

#include <algorithm>
#include <iterator>

namespace boragepick {

namespace {

bool IsClaimOf(const IdempotencyEntry& entry,
               const ProcessId& from,
               std::uint64_t token) {
  return entry.runner == from && entry.token == token;
}

IdempotencyVerdict VerdictFor(const IdempotencyEntry& entry,
                              std::uint64_t token) {
  IdempotencyVerdict verdict{.token = token,
                             .kind = IdempotencyVerdictKind::kUnknown};
  if (entry.state == ClaimState::kDone) {
    verdict.kind = entry.answer_kept ? IdempotencyVerdictKind::kReplay
                                     : IdempotencyVerdictKind::kRan;
    verdict.answer = entry.answer;
  }
  return verdict;
}

void ApplyOutcome(const ProcessId& from,
                  const IdempotencyOutcome& outcome,
                  IdempotencyPage& page) {
  const auto found = page.entries.find(outcome.claim_id);
  if (found == page.entries.end() ||
      !IsClaimOf(found->second, from, outcome.token))
    return;
  IdempotencyEntry& entry = found->second;
  if (entry.state != ClaimState::kClaimed)
    return;
  if (outcome.result == IdempotencyResult::kNotRun) {
    page.entries.erase(found);
    return;
  }
  const bool whole = outcome.result == IdempotencyResult::kWhole;
  entry.state = whole ? ClaimState::kDone : ClaimState::kLost;
  entry.answer_kept =
      whole && outcome.answer.body.size() <= kMaxKeptAnswerBytes;
  if (entry.answer_kept)
    entry.answer = outcome.answer;
}

// Whether the stored page already reflects the outcome.
bool IsOutcomeApplied(const IdempotencyPage& page,
                      const ProcessId& from,
                      const IdempotencyOutcome& outcome) {
  const auto found = page.entries.find(outcome.claim_id);
  const bool open = found != page.entries.end() &&
                    IsClaimOf(found->second, from, outcome.token) &&
                    found->second.state == ClaimState::kClaimed;
  return !open;
}

template <typename Element>
void AppendTo(std::vector<Element>& target, std::vector<Element> elements) {
  std::ranges::move(elements, std::back_inserter(target));
}

}  // namespace

IdempotencyStore::PageState& IdempotencyStore::StateOf(
    const std::string& claim_id) {
  const std::uint32_t page = IdempotencyPageOf(claim_id);
  PageState& state = m_pages[page];
  state.stored.page = page;
  return state;
}

void IdempotencyStore::SendVerdict(const ProcessId& to,
                                   IdempotencyVerdict verdict) {
  m_effects.push_back(
      IdempotencySend{.vm = to.vm, .message = std::move(verdict)});
}

bool IdempotencyStore::CanOwn(TimePoint now,
                              const IdempotencyPage& record,
                              const Roster& roster) const {
  // A router that isn't on the VM list must not own a page: others would treat
  // it as gone and take the page over.
  if (m_released || roster.Find(m_self.vm) == nullptr)
    return false;
  if (record.owner.vm.empty() || record.owner.vm == m_self.vm)
    return true;
  return roster.IsProvenGone(now, record.owner);
}

void IdempotencyStore::HandleClaim(TimePoint now,
                                   const ProcessId& from,
                                   const IdempotencyClaim& claim,
                                   const Roster& roster) {
  PageState& state = StateOf(claim.claim_id);
  const PendingClaim pending_claim{
      .from = from, .claim = claim, .arrived = now};
  if (state.status == PageStatus::kOwned) {
    DecideClaim(now, state, pending_claim, roster);
  } else {
    state.claims_before_read.push_back(pending_claim);
    if (state.status == PageStatus::kForeign && now < state.foreign_until) {
      RedirectPending(state);
      return;
    }
  }
  StartNextCall(now, state);
}

void IdempotencyStore::HandleOutcome(TimePoint now,
                                     const ProcessId& from,
                                     const IdempotencyOutcome& outcome) {
  PageState& state = StateOf(outcome.claim_id);
  if (state.status == PageStatus::kForeign && now < state.foreign_until) {
    SendVerdict(from, {.token = outcome.token,
                       .kind = IdempotencyVerdictKind::kRedirect,
                       .owner_vm = state.stored.owner.vm});
    return;
  }
  const auto same = [&](const PendingOutcome& pending_outcome) {
    return pending_outcome.from == from &&
           pending_outcome.outcome.token == outcome.token;
  };
  const bool duplicate =
      std::ranges::any_of(state.changes.outcomes, same) ||
      std::ranges::any_of(state.changes_in_write.outcomes, same);
  if (duplicate)
    return;
  RemoveClaim(state, from, outcome.token);
  const bool being_written = std::ranges::any_of(
      state.changes_in_write.claims, [&](const PendingClaim& other) {
        return other.from == from && other.claim.token == outcome.token;
      });
  const bool certain =
      state.status == PageStatus::kOwned && !state.must_read && !being_written;
  if (certain && IsOutcomeApplied(state.stored, from, outcome)) {
    m_effects.push_back(IdempotencySend{
        .vm = from.vm, .message = IdempotencyOutcomeStored{outcome.token}});
    return;
  }
  state.changes.outcomes.push_back({.from = from, .outcome = outcome});
  StartNextCall(now, state);
}

void IdempotencyStore::RemoveClaim(PageState& state,
                                   const ProcessId& from,
                                   std::uint64_t token) {
  const auto same = [&](const PendingClaim& pending_claim) {
    return pending_claim.from == from && pending_claim.claim.token == token;
  };
  std::erase_if(state.changes.claims, same);
  std::erase_if(state.claims_before_read, same);
  std::erase_if(state.queued_claims,
                [&](const auto& entry) { return same(entry.second); });
}

void IdempotencyStore::DecideClaim(TimePoint now,
                                   PageState& state,
                                   const PendingClaim& pending_claim,
                                   const Roster& roster) {
  const IdempotencyClaim& claim = pending_claim.claim;
  for (const Changes* changes : {&state.changes, &state.changes_in_write}) {
    for (const PendingClaim& other : changes->claims) {
      if (other.claim.claim_id != claim.claim_id)
        continue;
      const bool duplicate =
          other.from == pending_claim.from && other.claim.token == claim.token;
      if (!duplicate)
        EnqueueClaim(state, pending_claim);
      return;
    }
  }
  const auto entry = state.stored.entries.find(claim.claim_id);
  if (entry != state.stored.entries.end()) {
    DecideRecordedClaim(now, state, pending_claim, entry->second, roster);
    return;
  }
  if (SizeOf(state.stored) > kMaxIdempotencyPageBytes) {
    SendVerdict(pending_claim.from,
                {.token = claim.token, .kind = VerdictIfUnclaimed(state)});
    return;
  }
  state.changes.claims.push_back(pending_claim);
}

void IdempotencyStore::EnqueueClaim(PageState& state,
                                    const PendingClaim& pending_claim) {
  const auto [first, last] =
      state.queued_claims.equal_range(pending_claim.claim.claim_id);
  const bool waits = std::any_of(first, last, [&](const auto& entry) {
    const PendingClaim& other = entry.second;
    return other.from == pending_claim.from &&
           other.claim.token == pending_claim.claim.token;
  });
  // A router resends a claim while it waits, so the claim may be queued
  // already.
  if (!waits)
    state.queued_claims.emplace(pending_claim.claim.claim_id, pending_claim);
}

void IdempotencyStore::DecideRecordedClaim(TimePoint now,
                                           PageState& state,
                                           const PendingClaim& pending_claim,
                                           const IdempotencyEntry& entry,
                                           const Roster& roster) {
  const IdempotencyClaim& claim = pending_claim.claim;
  if (entry.request_hash != claim.request_hash) {
    SendVerdict(
        pending_claim.from,
        {.token = claim.token, .kind = IdempotencyVerdictKind::kMismatch});
    return;
  }
  if (entry.state != ClaimState::kClaimed) {
    SendVerdict(pending_claim.from, VerdictFor(entry, claim.token));
    return;
  }
  if (IsClaimOf(entry, pending_claim.from, claim.token)) {
    const auto withdrawn = [&](const PendingOutcome& pending_outcome) {
      return pending_outcome.from == pending_claim.from &&
             pending_outcome.outcome.token == claim.token;
    };
    const bool pending_outcome =
        std::ranges::any_of(state.changes.outcomes, withdrawn) ||
        std::ranges::any_of(state.changes_in_write.outcomes, withdrawn);
    if (!pending_outcome)
      SendVerdict(
          pending_claim.from,
          {.token = claim.token, .kind = IdempotencyVerdictKind::kGranted});
    return;
  }
  if (roster.IsProvenGone(now, entry.runner)) {
    SendVerdict(pending_claim.from, {.token = claim.token,
                                     .kind = IdempotencyVerdictKind::kUnknown});
    return;
  }
  EnqueueClaim(state, pending_claim);
  SendVerdict(
      pending_claim.from,
      {.token = claim.token, .kind = IdempotencyVerdictKind::kInProgress});
}

IdempotencyVerdictKind IdempotencyStore::VerdictIfUnclaimed(
    const PageState& state) const {
  // Unless this router owns the page, another router may have granted the key
  // in the meantime.
  return state.stored.owner == m_self ? IdempotencyVerdictKind::kNotRun
                                      : IdempotencyVerdictKind::kUnknown;
}

void IdempotencyStore::AcquirePage(TimePoint now, std::uint32_t page) {
  PageState& state = m_pages[page];
  state.stored.page = page;
  const bool known =
      state.status == PageStatus::kOwned ||
      (state.status == PageStatus::kForeign && now < state.foreign_until);
  if (known || m_released)
    return;
  state.acquiring = true;
  StartNextCall(now, state);
}

void IdempotencyStore::StartNextCall(TimePoint now, PageState& state) {
  if (state.call != Call::kNone || now < state.call_not_before)
    return;
  const bool wanted = !state.changes.IsEmpty() ||
                      !state.claims_before_read.empty() || state.releasing ||
                      state.acquiring;
  if (!wanted)
    return;
  if (state.must_read || state.status != PageStatus::kOwned)
    StartRead(state);
  else
    StartWrite(state);
}

void IdempotencyStore::StartRead(PageState& state) {
  state.call = Call::kRead;
  m_effects.push_back(IdempotencyReadPage{.page = state.stored.page});
}

void IdempotencyStore::StartWrite(PageState& state) {
  state.written = state.stored;
  state.written.owner = state.releasing ? ProcessId{} : m_self;
  state.changes_in_write = std::exchange(state.changes, {});
  for (const PendingClaim& pending_claim : state.changes_in_write.claims) {
    state.written.entries[pending_claim.claim.claim_id] = {
        .request_hash = pending_claim.claim.request_hash,
        .runner = pending_claim.from,
        .token = pending_claim.claim.token,
        .order = ++state.written.last_order};
  }
  for (const PendingOutcome& pending_outcome : state.changes_in_write.outcomes)
    ApplyOutcome(pending_outcome.from, pending_outcome.outcome, state.written);
  TrimIdempotencyPage(state.written);
  state.call = Call::kWrite;
  m_effects.push_back(IdempotencyWritePage{.page = state.written});
}

void IdempotencyStore::HandlePageRead(TimePoint now,
                                      std::uint32_t page,
                                      std::optional<IdempotencyPage> record,
                                      const Roster& roster) {
  PageState& state = m_pages[page];
  if (state.call != Call::kRead)
    return;
  state.call = Call::kNone;
  state.must_read = false;
  IdempotencyPage found = record.value_or(IdempotencyPage{});
  found.page = page;
  const bool can_own = CanOwn(now, found, roster);
  SetStoredPage(now, state, std::move(found),
                can_own ? PageStatus::kOwned : PageStatus::kForeign, roster);
  StartNextCall(now, state);
}

void IdempotencyStore::SetStoredPage(TimePoint now,
                                     PageState& state,
                                     IdempotencyPage record,
                                     PageStatus status,
                                     const Roster& roster) {
  state.stored = std::move(record);
  state.status = status;
  CompleteStoredChanges(now, state, roster);
  if (status == PageStatus::kForeign || state.stored.owner == m_self)
    state.acquiring = false;
  if (status == PageStatus::kForeign) {
    state.foreign_until = now + kForeignPageLifetime;
    state.must_read = true;
    state.releasing = false;
    RedirectPending(state);
    return;
  }
  for (const PendingClaim& pending_claim :
       std::exchange(state.claims_before_read, {}))
    DecideClaim(now, state, pending_claim, roster);
}

void IdempotencyStore::HandlePageReadFailed(TimePoint now, std::uint32_t page) {
  PageState& state = m_pages[page];
  if (state.call != Call::kRead)
    return;
  state.call = Call::kNone;
  state.call_not_before = now + kCallRetryDelay;
}

void IdempotencyStore::HandlePageWritten(TimePoint now,
                                         std::uint32_t page,
                                         WriteOutcome outcome,
                                         Revision revision,
                                         const Roster& roster) {
  PageState& state = m_pages[page];
  if (state.call != Call::kWrite)
    return;
  state.call = Call::kNone;
  AppendTo(state.changes.claims,
           std::exchange(state.changes_in_write.claims, {}));
  AppendTo(state.changes.outcomes,
           std::exchange(state.changes_in_write.outcomes, {}));
  if (outcome == WriteOutcome::kWritten) {
    IdempotencyPage written = std::move(state.written);
    written.revision = revision;
    const bool released = state.releasing;
    state.releasing = false;
    SetStoredPage(now, state, std::move(written),
                  released ? PageStatus::kForeign : PageStatus::kOwned, roster);
  } else {
    // Only the stored record shows whether the write took effect.
    state.must_read = true;
    if (outcome == WriteOutcome::kUnknown)
      state.call_not_before = now + kCallRetryDelay;
  }
  StartNextCall(now, state);
}

void IdempotencyStore::CompleteStoredChanges(TimePoint now,
                                             PageState& state,
                                             const Roster& roster) {
  std::vector<PendingOutcome> completed;
  for (PendingOutcome& pending_outcome :
       std::exchange(state.changes.outcomes, {})) {
    const bool done = IsOutcomeApplied(state.stored, pending_outcome.from,
                                       pending_outcome.outcome);
    (done ? completed : state.changes.outcomes)
        .push_back(std::move(pending_outcome));
  }
  // A claim that was granted and released in one write isn't in the page, and
  // must not be written again.
  for (const PendingOutcome& pending_outcome : completed)
    RemoveClaim(state, pending_outcome.from, pending_outcome.outcome.token);
  for (PendingClaim& pending_claim : std::exchange(state.changes.claims, {})) {
    const auto entry = state.stored.entries.find(pending_claim.claim.claim_id);
    if (entry == state.stored.entries.end())
      state.changes.claims.push_back(std::move(pending_claim));
    else
      DecideRecordedClaim(now, state, pending_claim, entry->second, roster);
  }
  for (const PendingOutcome& pending_outcome : completed)
    CompleteOutcome(now, state, pending_outcome, roster);
}

void IdempotencyStore::CompleteOutcome(TimePoint now,
                                       PageState& state,
                                       const PendingOutcome& pending_outcome,
                                       const Roster& roster) {
  m_effects.push_back(IdempotencySend{
      .vm = pending_outcome.from.vm,
      .message = IdempotencyOutcomeStored{pending_outcome.outcome.token}});
  const auto [first, last] =
      state.queued_claims.equal_range(pending_outcome.outcome.claim_id);
  std::vector<PendingClaim> waiting;
  for (auto it = first; it != last; ++it)
    waiting.push_back(it->second);
  state.queued_claims.erase(first, last);
  for (const PendingClaim& pending_claim : waiting)
    DecideClaim(now, state, pending_claim, roster);
}

void IdempotencyStore::RedirectPending(PageState& state) {
  const std::string owner = state.stored.owner.vm;
  std::vector<PendingClaim> claims =
      std::exchange(state.claims_before_read, {});
  AppendTo(claims, std::exchange(state.changes.claims, {}));
  for (const auto& [id, pending_claim] : std::exchange(state.queued_claims, {}))
    claims.push_back(pending_claim);
  for (const PendingClaim& pending_claim : claims) {
    SendVerdict(pending_claim.from, {.token = pending_claim.claim.token,
                                     .kind = IdempotencyVerdictKind::kRedirect,
                                     .owner_vm = owner});
  }
  for (const PendingOutcome& pending_outcome :
       std::exchange(state.changes.outcomes, {})) {
    SendVerdict(pending_outcome.from,
                {.token = pending_outcome.outcome.token,
                 .kind = IdempotencyVerdictKind::kRedirect,
                 .owner_vm = owner});
  }
}

void IdempotencyStore::ExpireClaims(TimePoint now, PageState& state) {
  const auto expired = [&](const PendingClaim& c) {
    return now - c.arrived >= kClaimTimeout;
  };
  for (const PendingClaim& pending_claim : state.claims_before_read) {
    // The content of an unread page is unknown, so the request may have run
    // before.
    if (expired(pending_claim))
      SendVerdict(pending_claim.from,
                  {.token = pending_claim.claim.token,
                   .kind = IdempotencyVerdictKind::kUnknown});
  }
  std::erase_if(state.claims_before_read, expired);
  // Claims of a write in progress don't expire, because the write may still
  // grant them.
  for (const PendingClaim& pending_claim : state.changes.claims) {
    if (!expired(pending_claim))
      continue;
    SendVerdict(pending_claim.from, {.token = pending_claim.claim.token,
                                     .kind = VerdictIfUnclaimed(state)});
    // An earlier write may have stored the claim, in which case it has to be
    // removed from the page.
    if (state.must_read) {
      state.changes.outcomes.push_back(
          {.from = pending_claim.from,
           .outcome = {.claim_id = pending_claim.claim.claim_id,
                       .token = pending_claim.claim.token,
                       .result = IdempotencyResult::kNotRun}});
    }
  }
  std::erase_if(state.changes.claims, expired);
}

void IdempotencyStore::Tick(TimePoint now) {
  for (auto& [page, state] : m_pages) {
    ExpireClaims(now, state);
    StartNextCall(now, state);
  }
}

void IdempotencyStore::ReleasePages() {
  m_released = true;
  for (auto& [page, state] : m_pages) {
    if (state.status == PageStatus::kOwned && state.stored.owner == m_self)
      state.releasing = true;
  }
}

bool IdempotencyStore::IsBusy() const {
  return std::ranges::any_of(m_pages, [](const auto& entry) {
    const PageState& state = entry.second;
    return state.call != Call::kNone || !state.changes.IsEmpty() ||
           !state.claims_before_read.empty() || state.releasing;
  });
}

}  // namespace boragepick
