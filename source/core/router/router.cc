#include "core/router/router.h"

#include <algorithm>
#include <type_traits>
#include <utility>

#include "common/hashing.h"

namespace boragepick {

namespace {

constexpr Duration kBusyTick = std::chrono::milliseconds(10);
constexpr Duration kIdleTick = std::chrono::milliseconds(100);
// Period of the tasks that no caller waits for.
constexpr Duration kSlowTick = std::chrono::milliseconds(100);
// Idempotency pages checked for adoption in each slow tick; low, so that all
// routers together make only a few calls per second to the platform's store.
constexpr std::uint32_t kMaxAdoptionsPerTick = 1;
constexpr Duration kAdoptionPassPeriod = std::chrono::seconds(30);
constexpr Duration kReleaseTimeout = std::chrono::seconds(5);
// Call numbers of idempotency page writes: this tag in the upper half, the page
// in the lower.
constexpr std::uint64_t kIdempotencyCallTag = 0x4f6e6365;

}  // namespace

Router::Router(const RouterOptions& options)
    : m_state(options),
      m_requests(m_state, m_agents),
      m_operators(m_state, m_agents, m_requests),
      m_planner(m_state, m_agents) {}

std::vector<RouterEffect> Router::Handle(TimePoint now, RouterEvent event) {
  std::visit(
      [&](auto&& alternative) {
        On(now, std::forward<decltype(alternative)>(alternative));
      },
      std::move(event));
  ProcessFeedEffects(now);
  ProcessIdempotencyEffects(now);
  return std::exchange(m_state.effects, {});
}

TimePoint Router::NextTick(TimePoint now) const {
  const bool busy =
      m_requests.HasWaitingRequests() || m_operators.HasOpenWrites();
  return now + (busy ? kBusyTick : kIdleTick);
}

void Router::On(TimePoint now, CallerRequestReceived event) {
  m_requests.HandleCallerRequest(now, std::move(event.request));
}

void Router::On(TimePoint /*now*/, const CallerResponseWritten& event) {
  m_requests.Handle(event);
}

void Router::On(TimePoint now, const CallerConnectionClosed& event) {
  m_requests.HandleCallerDisconnect(now, event.id);
}

void Router::On(TimePoint now, const OperatorRequestReceived& event) {
  m_operators.HandleRequest(now, event.request);
}

void Router::On(TimePoint now, const RecordWritten& event) {
  if (event.call == m_share_call) {
    m_share_call = 0;
    m_state.quota.HandlePageWritten(now, event.outcome, event.revision);
    if (event.outcome == WriteOutcome::kConflict)
      m_state.Log(LogEvent::kShareConflict, {});
    m_requests.AdmitAndDispatch(now);
    return;
  }
  const auto page = static_cast<std::uint32_t>(event.call & 0xffffffffU);
  if ((event.call >> 32U) == kIdempotencyCallTag) {
    m_state.idempotency.HandlePageWritten(now, page, event.outcome,
                                          event.revision, m_state.roster);
    if (event.outcome == WriteOutcome::kConflict)
      m_state.Log(LogEvent::kIdempotencyConflict,
                  {{"page", std::to_string(page)}});
    return;
  }
  if (m_planner.HandleWritten(now, event))
    return;
  m_operators.HandleWritten(now, event);
}

void Router::On(TimePoint now, IdempotencyPageRead event) {
  if (event.answered)
    m_state.idempotency.HandlePageRead(now, event.page, std::move(event.record),
                                       m_state.roster);
  else
    m_state.idempotency.HandlePageReadFailed(now, event.page);
}

void Router::On(TimePoint now, const ResourceRead& event) {
  m_operators.HandleRead(now, event);
}

void Router::On(TimePoint now, const FeedReceived& event) {
  m_state.feed.HandlePlatformUpdate(now, event.update);
}

void Router::On(TimePoint now, const FeedProbed& event) {
  m_state.feed.HandleProbeResult(now, event.newest, event.items);
}

void Router::On(TimePoint now, const WatchLost& /*event*/) {
  m_state.feed.HandlePlatformLost(now);
}

void Router::On(TimePoint now, const VmListReceived& event) {
  m_state.feed.HandleRosterList(now, event.list, m_state.roster);
}

// --- Peer messages ---

void Router::On(TimePoint now, PeerMessageReceived event) {
  m_state.roster.RecordRun(event.from.vm, event.from.incarnation);
  std::visit(
      [&](auto&& message) {
        OnPeerMessage(now, event.from,
                      std::forward<decltype(message)>(message));
      },
      std::move(event.message));
}

template <typename Message>
void Router::OnPeerMessage(TimePoint now,
                           const PeerSender& from,
                           Message message) {
  [[maybe_unused]] const ProcessId process{
      .vm = from.vm,
      .incarnation = from.incarnation,
      .listed_version = m_state.roster.version()};
  if constexpr (std::is_same_v<Message, RunProgress> ||
                std::is_same_v<Message, RunHead> ||
                std::is_same_v<Message, RunChunk>) {
    m_requests.Handle(now, from, std::move(message));
  } else if constexpr (std::is_same_v<Message, RunEnded>) {
    m_planner.ApplyReport(from.vm, message.report);
    m_requests.Handle(now, from, message);
  } else if constexpr (std::is_same_v<Message, AgentReport>) {
    m_agents.ApplyReport(now, from.vm, message);
    m_planner.ApplyReport(from.vm, message);
  } else if constexpr (std::is_same_v<Message, FeedSubscribe>) {
    m_state.feed.HandleSubscribe(now, from, message, m_state.roster);
  } else if constexpr (std::is_same_v<Message, FeedFreshness>) {
    m_state.feed.HandleFresh(now, from, message);
  } else if constexpr (std::is_same_v<Message, FeedUpdate>) {
    m_state.feed.HandleUpdate(now, from, message);
  } else if constexpr (std::is_same_v<Message, RosterList>) {
    m_state.feed.HandleRosterList(now, message, m_state.roster);
  } else if constexpr (std::is_same_v<Message, QuotaLoanRequest>) {
    SendQuota(m_state.quota.HandleLoanRequest(now, process, message));
  } else if constexpr (std::is_same_v<Message, QuotaLoan>) {
    m_state.quota.HandleLoan(now, from.vm, message);
    m_requests.AdmitAndDispatch(now);
  } else if constexpr (std::is_same_v<Message, IdempotencyClaim>) {
    m_state.idempotency.HandleClaim(now, process, message, m_state.roster);
  } else if constexpr (std::is_same_v<Message, IdempotencyOutcome>) {
    m_state.idempotency.HandleOutcome(now, process, message);
  } else if constexpr (std::is_same_v<Message, IdempotencyVerdict> ||
                       std::is_same_v<Message, IdempotencyOutcomeStored> ||
                       std::is_same_v<Message, CrashNotice> ||
                       std::is_same_v<Message, SlotGrant>) {
    m_requests.Handle(now, message);
  } else if constexpr (std::is_same_v<Message, SlotRequest>) {
    SendGrants(m_slots.HandleRequest(now, from, message));
  }
}

void Router::SendGrants(const std::vector<SlotSemaphore::Grant>& grants) {
  for (const SlotSemaphore::Grant& grant : grants)
    m_state.SendToVm(grant.vm, grant.grant);
}

// --- Effects of the parts ---

void Router::ProcessFeedEffects(TimePoint now) {
  // Applying a roster publishes it, which produces further feed effects.
  std::vector<FeedEffect> effects = m_state.feed.TakeEffects();
  while (!effects.empty()) {
    for (FeedEffect& effect : effects)
      ApplyFeedEffect(now, std::move(effect));
    effects = m_state.feed.TakeEffects();
  }
}

void Router::ApplyFeedEffect(TimePoint now, FeedEffect effect) {
  std::visit(
      [&](auto&& alternative) {
        using Alternative = std::remove_cvref_t<decltype(alternative)>;
        if constexpr (std::is_same_v<Alternative, FeedChanged>)
          ApplyConfig(now, alternative);
        else if constexpr (std::is_same_v<Alternative, RosterReplaced>)
          ApplyRoster(now, alternative.list);
        else if constexpr (std::is_same_v<Alternative, RelayReplaced>)
          m_state.Log(LogEvent::kRelayChanged, {{"relay", alternative.relay}});
        else
          m_state.Emit(std::forward<decltype(alternative)>(alternative));
      },
      std::move(effect));
}

void Router::ApplyConfig(TimePoint now, const FeedChanged& changed) {
  using Origin = QuotaManager::TeamOrigin;
  const Origin origin =
      changed.from_snapshot ? Origin::kFound : Origin::kCreated;
  for (const FeedItem& item : changed.items) {
    if (const auto* page = std::get_if<SharePage>(&item.value)) {
      m_state.quota.ApplyPage(now, *page);
      continue;
    }
    if (const auto* resource = std::get_if<Resource>(&item.value)) {
      if (const auto* team = std::get_if<TeamSpec>(&resource->spec))
        m_state.quota.SetTeam(now, resource->name, *team, origin);
    }
    m_state.view.Apply(item);
  }
  m_state.Log(LogEvent::kConfigApplied,
              {{"revision", std::to_string(m_state.feed.revision())},
               {"items", std::to_string(changed.items.size())}});
  m_requests.RefuseRevokedKeys(now);
  m_requests.AdmitAndDispatch(now);
}

void Router::ApplyRoster(TimePoint now, const RosterList& list) {
  if (!m_state.roster.Apply(now, list))
    return;
  m_state.feed.PublishRoster(m_state.roster);
  m_state.quota.SetSelfListedVersion(list.version);
  m_state.idempotency.SetSelfListedVersion(list.version);
  m_state.Log(LogEvent::kRosterChanged,
              {{"version", std::to_string(list.version)},
               {"vms", std::to_string(list.entries.size())}});
}

void Router::ProcessIdempotencyEffects(TimePoint now) {
  // Handling replies to this router's own claims can produce further effects.
  for (auto effects = m_state.idempotency.TakeEffects(); !effects.empty();
       effects = m_state.idempotency.TakeEffects()) {
    for (IdempotencyEffect& effect : effects) {
      if (const auto* read = std::get_if<IdempotencyReadPage>(&effect)) {
        m_state.Emit(ReadIdempotencyPage{.page = read->page});
      } else if (auto* write = std::get_if<IdempotencyWritePage>(&effect)) {
        const std::uint64_t call =
            (kIdempotencyCallTag << 32U) | write->page.page;
        m_state.Emit(WriteRecord{.call = call,
                                 .base = write->page.revision,
                                 .record = std::move(write->page)});
      } else if (auto* send = std::get_if<IdempotencySend>(&effect)) {
        if (send->vm == m_state.options.vm) {
          std::visit(
              [&](const auto& message) { m_requests.Handle(now, message); },
              send->message);
        } else {
          std::visit(
              [&](auto& message) {
                m_state.SendToVm(send->vm, std::move(message));
              },
              send->message);
        }
      }
    }
  }
}

// --- Periodic tasks ---

void Router::On(TimePoint now, const Ticked& /*event*/) {
  PollQuota(now);
  m_requests.Tick(now);
  m_operators.Tick(now);
  if (now >= m_next_slow_tick) {
    m_next_slow_tick = now + kSlowTick;
    m_state.feed.Tick(now, m_state.roster);
    m_state.idempotency.Tick(now);
    m_planner.Tick(now);
    PlanShares(now);
    AdoptIdempotencyPages(now);
    SendGrants(m_slots.Tick(now));
  }
  CheckDrain(now);
}

void Router::PollQuota(TimePoint now) {
  if (now < m_next_quota_poll)
    return;
  m_next_quota_poll = now + QuotaManager::kPollInterval;
  SendQuota(m_state.quota.Poll(now));
}

void Router::SendQuota(std::vector<OutgoingQuotaMessage> messages) {
  for (OutgoingQuotaMessage& outgoing : messages) {
    std::visit(
        [&](auto& message) {
          m_state.SendToVm(outgoing.vm, std::move(message));
        },
        outgoing.message);
  }
}

void Router::PlanShares(TimePoint now) {
  if (!m_state.feed.HasView())
    return;
  std::optional<SharePage> page =
      m_state.quota.PlanPage(now, m_state.roster, m_state.draining);
  if (!page)
    return;
  m_share_call = m_state.NextCall();
  m_state.Log(LogEvent::kSharePlanned,
              {{"page", std::to_string(page->page)},
               {"units", std::to_string(UnitsOf(*page, m_state.self()))},
               {"base", std::to_string(page->revision)}});
  m_state.Emit(WriteRecord{
      .call = m_share_call, .base = page->revision, .record = *page});
}

void Router::AdoptIdempotencyPages(TimePoint now) {
  const bool listed = m_state.roster.Find(m_state.options.vm) != nullptr;
  if (!listed || m_state.draining)
    return;
  // Passes repeat, since an owner is proven gone only some seconds after the
  // roster has changed.
  const bool pass_due = m_adoption_roster_version != m_state.roster.version() ||
                        now >= m_next_adoption_pass;
  if (pass_due) {
    m_adoption_roster_version = m_state.roster.version();
    m_next_adoption_pass = now + kAdoptionPassPeriod;
    m_pages_to_adopt = kIdempotencyPageCount;
  }
  for (std::uint32_t i = 0; i < kMaxAdoptionsPerTick && m_pages_to_adopt > 0;
       ++i) {
    const std::uint32_t page = --m_pages_to_adopt;
    const std::vector<std::string> order =
        RendezvousOrder("idempotency-page/" + std::to_string(page),
                        m_state.roster.LiveRouters());
    if (!order.empty() && order.front() == m_state.options.vm)
      m_state.idempotency.AcquirePage(now, page);
  }
}

// --- Drain ---

void Router::On(TimePoint now, const DrainRequested& /*event*/) {
  if (m_state.draining)
    return;
  m_state.draining = true;
  m_drain_started = now;
  m_state.Log(LogEvent::kDraining,
              {{"open", std::to_string(m_requests.OpenRequests())}});
}

void Router::CheckDrain(TimePoint now) {
  if (!m_state.draining || m_drain_done)
    return;
  const bool open =
      m_requests.OpenRequests() > 0 || m_operators.HasOpenWrites();
  if (now - m_drain_started < m_state.options.drain_grace || open)
    return;
  if (m_release_started == kNever) {
    m_release_started = now;
    m_state.idempotency.ReleasePages();
    m_state.idempotency.Tick(now);
  }
  // Pages and shares that can't be released while the platform's store is
  // down are taken over later by routers that see this one missing from the
  // roster.
  const bool released =
      !m_state.idempotency.IsBusy() && !m_state.quota.HoldsShares();
  if (!released && now - m_release_started < kReleaseTimeout)
    return;
  m_drain_done = true;
  m_state.Emit(DrainCompleted{});
}

}  // namespace boragepick
