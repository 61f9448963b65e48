// Distributes the configuration feed at one node. In each data centre one
// router, chosen by rendezvous hashing, watches the platform's store. The other
// routers subscribe to it in a tree, and the agents subscribe to the routers. A
// relay that doesn't answer is skipped; any router can watch the store itself.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "common/time.h"
#include "core/feed/feed_store.h"
#include "core/peer_messages.h"
#include "core/roster/roster.h"

namespace boragepick {

// Effects, to be carried out by the caller.
struct StartWatch {
  // Watch changes after this revision; 0 requests a snapshot first.
  Revision revision = 0;
};
struct StopWatch {};
// Read the newest revision and the number of items under the feed's prefix from
// the store.
struct ProbeFeed {};
struct PollVmList {
  std::uint64_t known_version = 0;
};
// These items have taken effect.
struct FeedChanged {
  std::vector<FeedItem> items;
  bool from_snapshot = false;
};
struct RosterReplaced {
  RosterList list;
};
struct RelayReplaced {
  std::string relay;
};
using FeedEffect = std::variant<StartWatch,
                                StopWatch,
                                ProbeFeed,
                                PollVmList,
                                SendToEndpoint,
                                FeedChanged,
                                RosterReplaced,
                                RelayReplaced>;

struct FeedNodeOptions {
  std::string vm;
  std::string data_centre;
  NodeRole role = NodeRole::kRouter;
  // Routers to subscribe to while no VM list is known: "ip:port".
  std::vector<std::string> seeds;
};

class FeedNode {
 public:
  // The number of routers that subscribe to one router.
  static constexpr std::size_t kFanOut = 4;
  static constexpr Duration kSubscribePeriod = std::chrono::seconds(1);
  // A relay that has not answered for this time is skipped.
  static constexpr Duration kRelayTimeout = std::chrono::milliseconds(2500);
  // A skipped relay is tried again after this time.
  static constexpr Duration kRelayRetryDelay = std::chrono::seconds(10);
  static constexpr Duration kProbePeriod = std::chrono::seconds(2);
  static constexpr Duration kVmListPeriod = std::chrono::seconds(1);
  // A node whose view is older than this also subscribes to other routers, in
  // any data centre.
  static constexpr Duration kStaleAge = std::chrono::seconds(3);
  static constexpr Duration kSubscriberTimeout = std::chrono::seconds(5);

  explicit FeedNode(FeedNodeOptions options) : m_options(std::move(options)) {}

  void Tick(TimePoint now, const Roster& roster);

  void HandleSubscribe(TimePoint now,
                       const PeerSender& from,
                       const FeedSubscribe& subscribe,
                       const Roster& roster);
  void HandleFresh(TimePoint now,
                   const PeerSender& from,
                   const FeedFreshness& fresh);
  void HandleUpdate(TimePoint now,
                    const PeerSender& from,
                    const FeedUpdate& update);
  void HandleRosterList(TimePoint now,
                        const RosterList& list,
                        const Roster& roster);

  // Sends the roster to the subscribers. To be called after it has changed.
  void PublishRoster(const Roster& roster);

  // Events of this node's watch on the platform's store.
  void HandlePlatformUpdate(TimePoint now, const FeedUpdate& update);
  void HandlePlatformLost(TimePoint now);
  // The result of a ProbeFeed.
  void HandleProbeResult(TimePoint now, Revision newest, std::size_t items);

  bool HasView() const { return m_fresh_at != kNever; }
  // Upper bound of the age of the view.
  Duration Age(TimePoint now) const;
  Revision revision() const { return m_store.revision(); }
  const FeedStore& store() const { return m_store; }
  bool watching() const { return m_watching; }
  const std::string& relay() const { return m_relay; }

  struct Progress {
    std::uint32_t nodes = 1;
    Revision lowest = 0;
  };
  // Progress of this node and all nodes that follow it, directly or not.
  Progress SubtreeProgress(TimePoint now) const;
  // The progress last reported by this node's relay.
  const Progress& relay_progress() const { return m_relay_progress; }

  std::vector<FeedEffect> TakeEffects() { return std::exchange(m_effects, {}); }

 private:
  struct Subscriber {
    std::string endpoint;
    Revision applied_revision = 0;
    // The revision sent last, so that each delta is sent once.
    Revision sent_revision = 0;
    std::uint64_t sent_roster_version = 0;
    TimePoint last_subscribe;
    Progress progress;
  };

  // The relays that this node may follow, in order of preference. A router's
  // own name means that it watches the store itself.
  std::vector<std::string> AncestorsInTree(
      const std::vector<std::string>& order) const;
  std::vector<std::string> RelayOrder(const Roster& roster) const;
  void ChooseRelay(TimePoint now, const Roster& roster);
  void FollowRelay(TimePoint now, const Roster& roster);
  void Watch(TimePoint now);
  void Unwatch();
  // Whether a subscription is to the node's relay. Each node is counted in the
  // progress of its relay only.
  enum class Following { kYes, kNo };
  void Subscribe(TimePoint now,
                 const std::string& endpoint,
                 Following following);
  void SubscribeToSeeds(TimePoint now, const Roster& roster);
  void SubscribeToOtherRouter(TimePoint now, const Roster& roster);
  void ApplyUpdate(TimePoint now, const FeedUpdate& update);
  void PublishFeed();
  void SendFeedUpdate(Subscriber& subscriber);
  void SendRosterUpdate(Subscriber& subscriber, const Roster& roster);

  FeedNodeOptions m_options;
  FeedStore m_store;
  TimePoint m_fresh_at = kNever;
  std::vector<FeedEffect> m_effects;

  bool m_watching = false;
  bool m_snapshot_received = false;
  std::uint32_t m_probe_mismatches = 0;
  TimePoint m_next_probe = TimePoint{};
  TimePoint m_next_vm_list = TimePoint{};

  std::string m_relay;
  // Skipped relays, and until when they are skipped.
  std::map<std::string, TimePoint> m_skipped_until;
  TimePoint m_relay_answered_at = kNever;
  TimePoint m_next_subscribe = TimePoint{};
  std::size_t m_next_other_router = 0;
  Progress m_relay_progress;

  std::uint64_t m_roster_version = 0;
  std::map<std::string, Subscriber> m_subscribers;
};

}  // namespace boragepick
