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

void ApplyEnding(const ProcessId& from,
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
bool IsEnded(const IdempotencyPage& page,
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

bool IdempotencyStore::MayOwn(TimePoint now,
                              const IdempotencyPage& record,
                              const Roster& roster) const {
  // A router that isn't on the VM list must not own a page: others would treat
  // it as gone and take the page over.
  if (m_released || roster.Find(m_self.vm) == nullptr)
    return false;
  if (record.owner.vm.empty() || record.owner.vm == m_self.vm)
    return true;
  return roster.ProvenGone(now, record.owner);
}

void IdempotencyStore::HandleClaim(TimePoint now,
                                   const ProcessId& from,
                                   const IdempotencyClaim& claim,
                                   const Roster& roster) {
  PageState& state = StateOf(claim.claim_id);
  const Claimant claimant{.from = from, .claim = claim, .arrived = now};
  if (state.status == PageStatus::kOwned) {
    Decide(now, state, claimant, roster);
  } else {
    state.unread.push_back(claimant);
    if (state.status == PageStatus::kForeign && now < state.foreign_until) {
      RedirectAll(state);
      return;
    }
  }
  Advance(now, state);
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
  const auto same = [&](const Ending& ending) {
    return ending.from == from && ending.outcome.token == outcome.token;
  };
  const bool doubled = std::ranges::any_of(state.changes.endings, same) ||
                       std::ranges::any_of(state.writing.endings, same);
  if (doubled)
    return;
  WithdrawClaim(state, from, outcome.token);
  const bool being_written =
      std::ranges::any_of(state.writing.claims, [&](const Claimant& other) {
        return other.from == from && other.claim.token == outcome.token;
      });
  const bool certain =
      state.status == PageStatus::kOwned && !state.must_read && !being_written;
  if (certain && IsEnded(state.stored, from, outcome)) {
    m_effects.push_back(IdempotencySend{
        .vm = from.vm, .message = IdempotencyOutcomeStored{outcome.token}});
    return;
  }
  state.changes.endings.push_back({.from = from, .outcome = outcome});
  Advance(now, state);
}

void IdempotencyStore::WithdrawClaim(PageState& state,
                                     const ProcessId& from,
                                     std::uint64_t token) {
  const auto same = [&](const Claimant& claimant) {
    return claimant.from == from && claimant.claim.token == token;
  };
  std::erase_if(state.changes.claims, same);
  std::erase_if(state.unread, same);
  std::erase_if(state.running,
                [&](const auto& entry) { return same(entry.second); });
}

void IdempotencyStore::Decide(TimePoint now,
                              PageState& state,
                              const Claimant& claimant,
                              const Roster& roster) {
  const IdempotencyClaim& claim = claimant.claim;
  for (const Changes* changes : {&state.changes, &state.writing}) {
    for (const Claimant& other : changes->claims) {
      if (other.claim.claim_id != claim.claim_id)
        continue;
      const bool doubled =
          other.from == claimant.from && other.claim.token == claim.token;
      if (!doubled)
        WaitForRunning(state, claimant);
      return;
    }
  }
  const auto entry = state.stored.entries.find(claim.claim_id);
  if (entry != state.stored.entries.end()) {
    DecideKnown(now, state, claimant, entry->second, roster);
    return;
  }
  if (SizeOf(state.stored) > kMaxIdempotencyPageBytes) {
    SendVerdict(claimant.from,
                {.token = claim.token, .kind = KindIfUnclaimed(state)});
    return;
  }
  state.changes.claims.push_back(claimant);
}

void IdempotencyStore::WaitForRunning(PageState& state,
                                      const Claimant& claimant) {
  const auto [first, last] = state.running.equal_range(claimant.claim.claim_id);
  const bool waits = std::any_of(first, last, [&](const auto& entry) {
    const Claimant& other = entry.second;
    return other.from == claimant.from &&
           other.claim.token == claimant.claim.token;
  });
  // A router resends a claim while it waits, so the claim may be queued
  // already.
  if (!waits)
    state.running.emplace(claimant.claim.claim_id, claimant);
}

void IdempotencyStore::DecideKnown(TimePoint now,
                                   PageState& state,
                                   const Claimant& claimant,
                                   const IdempotencyEntry& entry,
                                   const Roster& roster) {
  const IdempotencyClaim& claim = claimant.claim;
  if (entry.request_hash != claim.request_hash) {
    SendVerdict(claimant.from, {.token = claim.token,
                                .kind = IdempotencyVerdictKind::kMismatch});
    return;
  }
  if (entry.state != ClaimState::kClaimed) {
    SendVerdict(claimant.from, VerdictFor(entry, claim.token));
    return;
  }
  if (IsClaimOf(entry, claimant.from, claim.token)) {
    const auto withdrawn = [&](const Ending& ending) {
      return ending.from == claimant.from &&
             ending.outcome.token == claim.token;
    };
    const bool ending = std::ranges::any_of(state.changes.endings, withdrawn) ||
                        std::ranges::any_of(state.writing.endings, withdrawn);
    if (!ending)
      SendVerdict(claimant.from, {.token = claim.token,
                                  .kind = IdempotencyVerdictKind::kGranted});
    return;
  }
  if (roster.ProvenGone(now, entry.runner)) {
    SendVerdict(claimant.from, {.token = claim.token,
                                .kind = IdempotencyVerdictKind::kUnknown});
    return;
  }
  WaitForRunning(state, claimant);
  SendVerdict(claimant.from, {.token = claim.token,
                              .kind = IdempotencyVerdictKind::kInProgress});
}

IdempotencyVerdictKind IdempotencyStore::KindIfUnclaimed(
    const PageState& state) const {
  // Unless this router owns the page, another router may have granted the key
  // in the meantime.
  return state.stored.owner == m_self ? IdempotencyVerdictKind::kNotRun
                                      : IdempotencyVerdictKind::kUnknown;
}

void IdempotencyStore::Adopt(TimePoint now, std::uint32_t page) {
  PageState& state = m_pages[page];
  state.stored.page = page;
  const bool known =
      state.status == PageStatus::kOwned ||
      (state.status == PageStatus::kForeign && now < state.foreign_until);
  if (known || m_released)
    return;
  state.adopting = true;
  Advance(now, state);
}

void IdempotencyStore::Advance(TimePoint now, PageState& state) {
  if (state.call != Call::kNone || now < state.call_not_before)
    return;
  const bool wanted = !state.changes.Empty() || !state.unread.empty() ||
                      state.releasing || state.adopting;
  if (!wanted)
    return;
  if (state.must_read || state.status != PageStatus::kOwned)
    Read(state);
  else
    Write(state);
}

void IdempotencyStore::Read(PageState& state) {
  state.call = Call::kRead;
  m_effects.push_back(IdempotencyReadPage{.page = state.stored.page});
}

void IdempotencyStore::Write(PageState& state) {
  state.written = state.stored;
  state.written.owner = state.releasing ? ProcessId{} : m_self;
  state.writing = std::exchange(state.changes, {});
  for (const Claimant& claimant : state.writing.claims) {
    state.written.entries[claimant.claim.claim_id] = {
        .request_hash = claimant.claim.request_hash,
        .runner = claimant.from,
        .token = claimant.claim.token,
        .order = ++state.written.last_order};
  }
  for (const Ending& ending : state.writing.endings)
    ApplyEnding(ending.from, ending.outcome, state.written);
  TrimIdempotencyPage(state.written);
  state.call = Call::kWrite;
  m_effects.push_back(IdempotencyWritePage{.page = state.written});
}

void IdempotencyStore::PageRead(TimePoint now,
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
  const bool mine = MayOwn(now, found, roster);
  Become(now, state, std::move(found),
         mine ? PageStatus::kOwned : PageStatus::kForeign, roster);
  Advance(now, state);
}

void IdempotencyStore::Become(TimePoint now,
                              PageState& state,
                              IdempotencyPage record,
                              PageStatus status,
                              const Roster& roster) {
  state.stored = std::move(record);
  state.status = status;
  FinishStored(now, state, roster);
  if (status == PageStatus::kForeign || state.stored.owner == m_self)
    state.adopting = false;
  if (status == PageStatus::kForeign) {
    state.foreign_until = now + kForeignLife;
    state.must_read = true;
    state.releasing = false;
    RedirectAll(state);
    return;
  }
  for (const Claimant& claimant : std::exchange(state.unread, {}))
    Decide(now, state, claimant, roster);
}

void IdempotencyStore::PageReadFailed(TimePoint now, std::uint32_t page) {
  PageState& state = m_pages[page];
  if (state.call != Call::kRead)
    return;
  state.call = Call::kNone;
  state.call_not_before = now + kCallAgain;
}

void IdempotencyStore::PageWritten(TimePoint now,
                                   std::uint32_t page,
                                   WriteOutcome outcome,
                                   Revision revision,
                                   const Roster& roster) {
  PageState& state = m_pages[page];
  if (state.call != Call::kWrite)
    return;
  state.call = Call::kNone;
  AppendTo(state.changes.claims, std::exchange(state.writing.claims, {}));
  AppendTo(state.changes.endings, std::exchange(state.writing.endings, {}));
  if (outcome == WriteOutcome::kWritten) {
    IdempotencyPage written = std::move(state.written);
    written.revision = revision;
    const bool released = state.releasing;
    state.releasing = false;
    Become(now, state, std::move(written),
           released ? PageStatus::kForeign : PageStatus::kOwned, roster);
  } else {
    // Only the stored record shows whether the write took effect.
    state.must_read = true;
    if (outcome == WriteOutcome::kUnknown)
      state.call_not_before = now + kCallAgain;
  }
  Advance(now, state);
}

void IdempotencyStore::FinishStored(TimePoint now,
                                    PageState& state,
                                    const Roster& roster) {
  std::vector<Ending> ended;
  for (Ending& ending : std::exchange(state.changes.endings, {})) {
    const bool done = IsEnded(state.stored, ending.from, ending.outcome);
    (done ? ended : state.changes.endings).push_back(std::move(ending));
  }
  // A claim that was granted and released in one write isn't in the page, and
  // must not be written again.
  for (const Ending& ending : ended)
    WithdrawClaim(state, ending.from, ending.outcome.token);
  for (Claimant& claimant : std::exchange(state.changes.claims, {})) {
    const auto entry = state.stored.entries.find(claimant.claim.claim_id);
    if (entry == state.stored.entries.end())
      state.changes.claims.push_back(std::move(claimant));
    else
      DecideKnown(now, state, claimant, entry->second, roster);
  }
  for (const Ending& ending : ended)
    FinishEnding(now, state, ending, roster);
}

void IdempotencyStore::FinishEnding(TimePoint now,
                                    PageState& state,
                                    const Ending& ending,
                                    const Roster& roster) {
  m_effects.push_back(IdempotencySend{
      .vm = ending.from.vm,
      .message = IdempotencyOutcomeStored{ending.outcome.token}});
  const auto [first, last] = state.running.equal_range(ending.outcome.claim_id);
  std::vector<Claimant> waiting;
  for (auto it = first; it != last; ++it)
    waiting.push_back(it->second);
  state.running.erase(first, last);
  for (const Claimant& claimant : waiting)
    Decide(now, state, claimant, roster);
}

void IdempotencyStore::RedirectAll(PageState& state) {
  const std::string owner = state.stored.owner.vm;
  std::vector<Claimant> claims = std::exchange(state.unread, {});
  AppendTo(claims, std::exchange(state.changes.claims, {}));
  for (const auto& [id, claimant] : std::exchange(state.running, {}))
    claims.push_back(claimant);
  for (const Claimant& claimant : claims) {
    SendVerdict(claimant.from, {.token = claimant.claim.token,
                                .kind = IdempotencyVerdictKind::kRedirect,
                                .owner_vm = owner});
  }
  for (const Ending& ending : std::exchange(state.changes.endings, {})) {
    SendVerdict(ending.from, {.token = ending.outcome.token,
                              .kind = IdempotencyVerdictKind::kRedirect,
                              .owner_vm = owner});
  }
}

void IdempotencyStore::ExpireClaims(TimePoint now, PageState& state) {
  const auto expired = [&](const Claimant& c) {
    return now - c.arrived >= kClaimPatience;
  };
  for (const Claimant& claimant : state.unread) {
    // The content of an unread page is unknown, so the request may have run
    // before.
    if (expired(claimant))
      SendVerdict(claimant.from, {.token = claimant.claim.token,
                                  .kind = IdempotencyVerdictKind::kUnknown});
  }
  std::erase_if(state.unread, expired);
  // Claims of a write in progress don't expire, because the write may still
  // grant them.
  for (const Claimant& claimant : state.changes.claims) {
    if (!expired(claimant))
      continue;
    SendVerdict(claimant.from, {.token = claimant.claim.token,
                                .kind = KindIfUnclaimed(state)});
    // An earlier write may have stored the claim, in which case it has to be
    // removed from the page.
    if (state.must_read) {
      state.changes.endings.push_back(
          {.from = claimant.from,
           .outcome = {.claim_id = claimant.claim.claim_id,
                       .token = claimant.claim.token,
                       .result = IdempotencyResult::kNotRun}});
    }
  }
  std::erase_if(state.changes.claims, expired);
}

void IdempotencyStore::Tick(TimePoint now) {
  for (auto& [page, state] : m_pages) {
    ExpireClaims(now, state);
    Advance(now, state);
  }
}

void IdempotencyStore::Release() {
  m_released = true;
  for (auto& [page, state] : m_pages) {
    if (state.status == PageStatus::kOwned && state.stored.owner == m_self)
      state.releasing = true;
  }
}

bool IdempotencyStore::Busy() const {
  return std::ranges::any_of(m_pages, [](const auto& entry) {
    const PageState& state = entry.second;
    return state.call != Call::kNone || !state.changes.Empty() ||
           !state.unread.empty() || state.releasing;
  });
}

}  // namespace boragepick
