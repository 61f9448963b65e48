#include "core/feed/feed_node.h"

#include <algorithm>

#include "common/hashing.h"

namespace boragepick {

namespace {

// The watch is restarted after this many consecutive probes that showed changes
// which it had not delivered.
constexpr std::uint32_t kMismatchesToRestart = 2;

}  // namespace

Duration FeedNode::Age(TimePoint now) const {
  return HasView() ? now - m_fresh_at : Duration::max();
}

std::vector<std::string> FeedNode::RelayOrder(const Roster& roster) const {
  std::vector<std::string> routers =
      roster.LiveRoutersIn(m_options.data_centre);
  if (routers.empty())
    routers = roster.LiveRouters();
  if (m_options.role == NodeRole::kAgent)
    return RendezvousOrder("feed-relay-of/" + m_options.vm, routers);
  return AncestorsInTree(
      RendezvousOrder("feed-relay/" + m_options.data_centre, routers));
}

std::vector<std::string> FeedNode::AncestorsInTree(
    const std::vector<std::string>& order) const {
  const auto self = std::ranges::find(order, m_options.vm);
  // A router that isn't on the VM list yet may follow any router. It begins
  // with the last ones, so that new routers don't all subscribe to the first.
  if (self == order.end())
    return {order.rbegin(), order.rend()};
  std::vector<std::string> ancestors;
  auto index = static_cast<std::size_t>(self - order.begin());
  while (index > 0) {
    index = (index - 1) / kFanOut;
    ancestors.push_back(order[index]);
  }
  ancestors.push_back(m_options.vm);
  return ancestors;
}

void FeedNode::Tick(TimePoint now, const Roster& roster) {
  std::erase_if(m_subscribers, [&](const auto& s) {
    return now - s.second.last_subscribe > kSubscriberTimeout;
  });
  ChooseRelay(now, roster);
  FollowRelay(now, roster);
  if (m_watching && now >= m_next_probe) {
    m_next_probe = now + kProbePeriod;
    m_effects.push_back(ProbeFeed{});
  }
  const bool polls = m_watching || (roster.version() == 0 &&
                                    m_options.role == NodeRole::kRouter);
  if (polls && now >= m_next_vm_list) {
    m_next_vm_list = now + kVmListPeriod;
    m_effects.push_back(PollVmList{.known_version = roster.version()});
  }
}

void FeedNode::ChooseRelay(TimePoint now, const Roster& roster) {
  if (!m_relay.empty() && m_relay_answered_at != kNever &&
      now - m_relay_answered_at > kRelayTimeout) {
    m_skipped_until[m_relay] = now + kRelayRetryDelay;
    m_relay.clear();
  }
  std::erase_if(m_skipped_until,
                [&](const auto& entry) { return entry.second <= now; });
  const std::vector<std::string> order = RelayOrder(roster);
  std::string chosen;
  for (const std::string& vm : order) {
    if (vm == m_options.vm || !m_skipped_until.contains(vm)) {
      chosen = vm;
      break;
    }
  }
  const bool watches_itself = chosen.empty() || chosen == m_options.vm;
  if (watches_itself && m_options.role == NodeRole::kRouter) {
    m_relay.clear();
    Watch(now);
    return;
  }
  if (chosen.empty() || chosen == m_relay)
    return;
  m_relay = chosen;
  m_relay_answered_at = now;
  m_next_subscribe = now;
  m_effects.push_back(RelayReplaced{.relay = chosen});
}

void FeedNode::FollowRelay(TimePoint now, const Roster& roster) {
  if (now < m_next_subscribe)
    return;
  m_next_subscribe = now + kSubscribePeriod;
  if (!m_relay.empty()) {
    const RosterEntry* relay = roster.Find(m_relay);
    if (relay != nullptr)
      Subscribe(now, relay->peer_endpoint, Following::kYes);
  }
  if (roster.version() == 0 || !HasView())
    SubscribeToSeeds(now, roster);
  if (!HasView() || Age(now) > kStaleAge)
    SubscribeToOtherRouter(now, roster);
}

void FeedNode::Subscribe(TimePoint now,
                         const std::string& endpoint,
                         Following following) {
  const Progress progress = SubtreeProgress(now);
  const bool counts = following == Following::kYes;
  m_effects.push_back(SendToEndpoint{
      .endpoint = endpoint,
      .message = FeedSubscribe{.revision = m_store.revision(),
                               .roster_version = m_roster_version,
                               .data_centre = m_options.data_centre,
                               .nodes = counts ? progress.nodes : 0,
                               .lowest_in_force = progress.lowest}});
}

void FeedNode::SubscribeToSeeds(TimePoint now, const Roster& roster) {
  const RosterEntry* relay = roster.Find(m_relay);
  for (const std::string& seed : m_options.seeds) {
    const bool followed = relay != nullptr && relay->peer_endpoint == seed;
    if (!followed)
      Subscribe(now, seed, Following::kNo);
  }
}

void FeedNode::SubscribeToOtherRouter(TimePoint now, const Roster& roster) {
  const std::vector<std::string>& routers = roster.LiveRouters();
  if (routers.empty())
    return;
  const std::string& vm = routers[m_next_other_router++ % routers.size()];
  if (vm != m_options.vm && vm != m_relay)
    Subscribe(now, roster.Find(vm)->peer_endpoint, Following::kNo);
}

void FeedNode::Watch(TimePoint now) {
  if (m_watching)
    return;
  m_watching = true;
  m_snapshot_received = false;
  m_probe_mismatches = 0;
  m_next_probe = now + kProbePeriod;
  m_effects.push_back(StartWatch{.revision = 0});
}

void FeedNode::Unwatch() {
  if (!m_watching)
    return;
  m_watching = false;
  m_effects.push_back(StopWatch{});
}

void FeedNode::HandleSubscribe(TimePoint now,
                               const PeerSender& from,
                               const FeedSubscribe& subscribe,
                               const Roster& roster) {
  Subscriber& subscriber = m_subscribers[from.vm];
  // A restarted subscriber has lost what was sent to its earlier run.
  if (subscriber.endpoint != from.endpoint ||
      subscribe.revision < subscriber.applied_revision)
    subscriber = {};
  subscriber.endpoint = from.endpoint;
  subscriber.applied_revision = subscribe.revision;
  // Updates that were sent earlier but have not been applied are taken as lost.
  subscriber.sent_revision = subscribe.revision;
  subscriber.sent_roster_version = subscribe.roster_version;
  subscriber.last_subscribe = now;
  subscriber.progress = {.nodes = subscribe.nodes,
                         .lowest = subscribe.lowest_in_force};
  SendFeedUpdate(subscriber);
  SendRosterUpdate(subscriber, roster);
  const Progress progress = SubtreeProgress(now);
  if (HasView()) {
    m_effects.push_back(SendToEndpoint{
        .endpoint = from.endpoint,
        .message = FeedFreshness{.revision = m_store.revision(),
                                 .roster_version = roster.version(),
                                 .age = Age(now),
                                 .nodes = progress.nodes,
                                 .lowest_in_force = progress.lowest}});
  }
}

void FeedNode::SendFeedUpdate(Subscriber& subscriber) {
  if (!HasView() || subscriber.sent_revision >= m_store.revision())
    return;
  m_effects.push_back(
      SendToEndpoint{.endpoint = subscriber.endpoint,
                     .message = m_store.Since(subscriber.sent_revision)});
  subscriber.sent_revision = m_store.revision();
}

void FeedNode::SendRosterUpdate(Subscriber& subscriber, const Roster& roster) {
  if (subscriber.sent_roster_version >= roster.version())
    return;
  m_effects.push_back(
      SendToEndpoint{.endpoint = subscriber.endpoint,
                     .message = roster.Since(subscriber.sent_roster_version)});
  subscriber.sent_roster_version = roster.version();
}

void FeedNode::PublishFeed() {
  for (auto& [vm, subscriber] : m_subscribers)
    SendFeedUpdate(subscriber);
}

void FeedNode::PublishRoster(const Roster& roster) {
  for (auto& [vm, subscriber] : m_subscribers)
    SendRosterUpdate(subscriber, roster);
}

void FeedNode::HandleFresh(TimePoint now,
                           const PeerSender& from,
                           const FeedFreshness& fresh) {
  if (from.vm == m_relay) {
    m_relay_answered_at = now;
    m_relay_progress = {.nodes = fresh.nodes, .lowest = fresh.lowest_in_force};
    // A router whose relay answers doesn't need a watch of its own.
    if (m_options.role == NodeRole::kRouter)
      Unwatch();
  }
  if (fresh.revision > m_store.revision())
    return;
  const TimePoint fresh_at = now - fresh.age;
  if (m_fresh_at == kNever || fresh_at > m_fresh_at)
    m_fresh_at = fresh_at;
}

void FeedNode::HandleUpdate(TimePoint now,
                            const PeerSender& /*from*/,
                            const FeedUpdate& update) {
  ApplyUpdate(now, update);
}

void FeedNode::ApplyUpdate(TimePoint now, const FeedUpdate& update) {
  std::vector<FeedItem> changed;
  const bool first = !HasView();
  if (!m_store.Apply(update, changed))
    return;
  if (first)
    m_fresh_at = now;
  if (!changed.empty()) {
    m_effects.push_back(FeedChanged{.items = std::move(changed),
                                    .from_snapshot = update.snapshot});
  }
  PublishFeed();
}

void FeedNode::HandleRosterList(TimePoint /*now*/,
                                const RosterList& list,
                                const Roster& roster) {
  const bool known = list.version <= roster.version() && roster.version() != 0;
  // Changes based on a version other than the current one are ignored; the next
  // subscription requests them again from the current version.
  if (known || (list.base != 0 && list.base != roster.version()))
    return;
  m_roster_version = list.version;
  m_effects.push_back(RosterReplaced{.list = list});
}

void FeedNode::HandlePlatformUpdate(TimePoint now, const FeedUpdate& update) {
  if (!m_watching)
    return;
  m_snapshot_received = m_snapshot_received || update.snapshot;
  if (update.snapshot || update.revision >= m_store.revision())
    m_fresh_at = now;
  ApplyUpdate(now, update);
}

void FeedNode::HandlePlatformLost(TimePoint /*now*/) {
  m_probe_mismatches = 0;
}

void FeedNode::HandleProbeResult(TimePoint now,
                                 Revision newest,
                                 std::size_t items) {
  if (!m_watching)
    return;
  const bool agrees = m_snapshot_received && newest <= m_store.revision() &&
                      items == m_store.Size();
  if (agrees) {
    m_probe_mismatches = 0;
    m_fresh_at = now;
    return;
  }
  ++m_probe_mismatches;
  if (m_probe_mismatches < kMismatchesToRestart)
    return;
  m_probe_mismatches = 0;
  m_effects.push_back(StartWatch{.revision = 0});
}

FeedNode::Progress FeedNode::SubtreeProgress(TimePoint now) const {
  Progress all{.nodes = 1, .lowest = m_store.revision()};
  for (const auto& [vm, subscriber] : m_subscribers) {
    const bool alive = now - subscriber.last_subscribe <= kSubscriberTimeout;
    if (!alive || subscriber.progress.nodes == 0)
      continue;
    all.nodes += subscriber.progress.nodes;
    all.lowest = std::min(
        {all.lowest, subscriber.applied_revision, subscriber.progress.lowest});
  }
  return all;
}

}  // namespace boragepick
