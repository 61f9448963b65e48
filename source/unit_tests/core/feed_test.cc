// Tests the configuration feed: the revision never decreases on any node, and
// updates reach all nodes, also if relays stop, a watch stops delivering, or
// the platform's store is unavailable when a node starts.

#include <gtest/gtest.h>

#include <rapidcheck.h>
#include <rapidcheck/gtest.h>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "common/random.h"
#include "core/config/config_view.h"
#include "core/feed/feed_node.h"
#include "unit_tests/core/fake_network.h"

namespace boragepick {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kStep = milliseconds(50);

struct Service {
  bool down = false;
  Revision revision = 1;
  std::map<std::string, FeedItem> items;

  void Put(const std::string& name) {
    const Resource team{
        .name = name,
        .spec = TeamSpec{.rate_tokens_per_second = 1, .burst_tokens = 1},
        .resource_version = ++revision};
    items["team/" + name] = {
        .key = "team/" + name, .revision = revision, .value = team};
  }
  void Delete(const std::string& name) {
    if (items.erase("team/" + name) > 0)
      deleted.push_back({.key = "team/" + name,
                         .revision = ++revision,
                         .value = DeletedItem{}});
  }
  FeedUpdate Snapshot() const {
    FeedUpdate update{.snapshot = true, .revision = revision};
    for (const auto& [key, item] : items)
      update.items.push_back(item);
    return update;
  }
  FeedUpdate After(Revision since) const {
    FeedUpdate update{.base = since, .revision = revision};
    for (const auto& [key, item] : items) {
      if (item.revision > since)
        update.items.push_back(item);
    }
    for (const FeedItem& item : deleted) {
      if (item.revision > since && !items.contains(item.key))
        update.items.push_back(item);
    }
    return update;
  }
  std::vector<FeedItem> deleted;
};

struct Node {
  std::string vm;
  NodeRole role = NodeRole::kRouter;
  Incarnation run = 1;
  std::unique_ptr<FeedNode> feed;
  Roster roster;
  bool alive = true;
  bool watching = false;
  // The watch is open but no longer delivers changes.
  bool silent = false;
  Revision watched = 0;
  Revision highest = 0;
  std::map<std::string, FeedItem> view;
};

class Fleet {
 public:
  Fleet(std::size_t routers,
        std::size_t agents,
        std::uint64_t seed,
        NetworkFaults faults)
      : m_random(seed), m_network(faults, m_random) {
    m_list.version = 1;
    for (std::size_t i = 0; i < routers + agents; ++i) {
      const NodeRole role = i < routers ? NodeRole::kRouter : NodeRole::kAgent;
      const std::string vm = (i < routers ? "r" : "w") + std::to_string(i);
      m_list.entries.push_back({.vm = vm,
                                .data_centre = i % 2 == 0 ? "a" : "b",
                                .role = role,
                                .peer_endpoint = vm});
      m_nodes[vm].vm = vm;
      m_nodes[vm].role = role;
    }
    for (auto& [vm, node] : m_nodes)
      Boot(node);
  }

  Service service;

  std::vector<std::string> Vms() const {
    std::vector<std::string> vms;
    for (const auto& [vm, node] : m_nodes)
      vms.push_back(vm);
    return vms;
  }
  Node& At(const std::string& vm) { return m_nodes.at(vm); }
  void Restart(const std::string& vm) {
    ++m_nodes.at(vm).run;
    Boot(m_nodes.at(vm));
  }
  void Silence(const std::string& vm) { m_nodes.at(vm).silent = true; }
  void Stop(const std::string& vm) { m_nodes.at(vm).alive = false; }

  void Advance(Duration duration) {
    for (const TimePoint end = m_now + duration; m_now < end; m_now += kStep)
      Step();
  }

  // A VM that isn't a node of this fleet is added to or removed from the list.
  void ChangeList(std::uint64_t number) {
    const std::string vm = "other-" + std::to_string(number);
    const auto gone =
        std::erase_if(m_list.entries,
                      [&](const RosterEntry& entry) { return entry.vm == vm; });
    if (gone == 0)
      m_list.entries.push_back({.vm = vm,
                                .data_centre = "c",
                                .role = NodeRole::kAgent,
                                .peer_endpoint = vm});
    ++m_list.version;
  }

  bool IsAppliedEverywhere() const {
    for (const auto& [vm, node] : m_nodes) {
      if (node.alive && !SameList(node.roster.list()))
        return false;
      const bool same = node.view.size() == service.items.size();
      if (node.alive && (!same || node.highest < service.revision))
        return false;
    }
    return true;
  }
  std::size_t Watchers() const {
    std::size_t watchers = 0;
    for (const auto& [vm, node] : m_nodes)
      watchers += node.alive && node.watching ? 1 : 0;
    return watchers;
  }

 private:
  bool SameList(const RosterList& list) const {
    std::set<std::string> left;
    std::set<std::string> right;
    for (const RosterEntry& entry : list.entries)
      left.insert(entry.vm);
    for (const RosterEntry& entry : m_list.entries)
      right.insert(entry.vm);
    return left == right && list.version == m_list.version;
  }

  void Boot(Node& node) {
    const RosterEntry* entry = nullptr;
    for (const RosterEntry& each : m_list.entries) {
      if (each.vm == node.vm)
        entry = &each;
    }
    node.feed = std::make_unique<FeedNode>(
        FeedNodeOptions{.vm = node.vm,
                        .data_centre = entry->data_centre,
                        .role = node.role,
                        .seeds = {"r0"}});
    node.roster = Roster();
    node.alive = true;
    node.watching = false;
    node.silent = false;
    node.highest = 0;
    node.view.clear();
  }

  void Step() {
    const auto due = m_network.RemoveDue(m_now, [this](const std::string& vm) {
      return m_nodes.at(vm).alive ? Delivery::kNow : Delivery::kNever;
    });
    for (const auto& message : due)
      Deliver(m_nodes.at(message.to), message);
    for (auto& [vm, node] : m_nodes) {
      if (!node.alive)
        continue;
      if (node.watching && !node.silent && !service.down &&
          node.watched < service.revision) {
        node.feed->HandlePlatformUpdate(m_now, service.After(node.watched));
        node.watched = service.revision;
      }
      node.feed->Tick(m_now, node.roster);
      ApplyEffects(node);
    }
  }

  void Deliver(Node& node, const FakeNetwork<PeerMessage>::Message& message) {
    const PeerSender from{.vm = message.from,
                          .incarnation = message.from_run,
                          .endpoint = message.from};
    if (const auto* subscribe = std::get_if<FeedSubscribe>(&message.payload))
      node.feed->HandleSubscribe(m_now, from, *subscribe, node.roster);
    else if (const auto* fresh = std::get_if<FeedFreshness>(&message.payload))
      node.feed->HandleFresh(m_now, from, *fresh);
    else if (const auto* update = std::get_if<FeedUpdate>(&message.payload))
      node.feed->HandleUpdate(m_now, from, *update);
    else if (const auto* list = std::get_if<RosterList>(&message.payload))
      node.feed->HandleRosterList(m_now, *list, node.roster);
    ApplyEffects(node);
  }

  void ApplyEffects(Node& node) {
    for (FeedEffect& effect : node.feed->TakeEffects()) {
      if (auto* send = std::get_if<SendToEndpoint>(&effect)) {
        m_network.Send(m_now, node.vm, node.run, send->endpoint, send->message);
      } else if (auto* changed = std::get_if<FeedChanged>(&effect)) {
        for (const FeedItem& item : changed->items)
          Apply(node, item);
      } else if (auto* roster = std::get_if<RosterReplaced>(&effect)) {
        if (node.roster.Apply(m_now, roster->list))
          node.feed->PublishRoster(node.roster);
      } else if (std::holds_alternative<StartWatch>(effect)) {
        node.watching = true;
        node.silent = false;
        node.watched = 0;
        if (!service.down) {
          node.feed->HandlePlatformUpdate(m_now, service.Snapshot());
          node.watched = service.revision;
        }
      } else if (std::holds_alternative<StopWatch>(effect)) {
        node.watching = false;
      } else if (std::holds_alternative<ProbeFeed>(effect) && !service.down) {
        Revision newest = 0;
        for (const auto& [key, item] : service.items)
          newest = std::max(newest, item.revision);
        node.feed->HandleProbeResult(m_now, newest, service.items.size());
      } else if (std::holds_alternative<PollVmList>(effect)) {
        node.feed->HandleRosterList(m_now, m_list, node.roster);
      }
    }
    RC_ASSERT(node.feed->revision() >= node.highest);
    node.highest = node.feed->revision();
  }

  // Checks that the revision of an item only increases.
  static void Apply(Node& node, const FeedItem& item) {
    const auto held = node.view.find(item.key);
    if (held != node.view.end())
      RC_ASSERT(item.revision > held->second.revision);
    if (std::holds_alternative<DeletedItem>(item.value))
      node.view.erase(item.key);
    else
      node.view[item.key] = item;
  }

  TimePoint m_now = TimePoint(seconds(1000));
  Random m_random;
  FakeNetwork<PeerMessage> m_network;
  RosterList m_list;
  std::map<std::string, Node> m_nodes;
};

RC_GTEST_PROP(FeedHistory, RevisionsNeverDecreaseAndReachAllNodes, ()) {
  const auto seed = *rc::gen::arbitrary<std::uint64_t>();
  const auto routers = *rc::gen::inRange<std::size_t>(1, 6);
  const auto agents = *rc::gen::inRange<std::size_t>(0, 6);
  const NetworkFaults faults{
      .loss_percent = *rc::gen::inRange(0U, 30U),
      .duplicate_percent = *rc::gen::inRange(0U, 30U),
      .max_delay = milliseconds(*rc::gen::inRange(1, 1500))};
  Fleet fleet(routers, agents, seed, faults);
  Random random(seed + 1);
  const std::vector<std::string> vms = fleet.Vms();
  for (int step = 0; step < 60; ++step) {
    const std::string& vm = vms[random.Below(vms.size())];
    const std::string name = "t" + std::to_string(random.Below(8));
    switch (random.Below(14)) {
      case 0:
        fleet.Restart(vm);
        break;
      case 1:
        fleet.service.down = !fleet.service.down;
        break;
      case 2:
        fleet.Silence(vm);
        break;
      case 5:
      case 6:
        fleet.ChangeList(random.Below(4));
        break;
      case 3:
      case 4:
        if (!fleet.service.down)
          fleet.service.Delete(name);
        break;
      default:
        if (!fleet.service.down)
          fleet.service.Put(name);
        fleet.Advance(milliseconds(random.Below(1000)));
    }
  }
  fleet.service.down = false;
  fleet.service.Put("last");
  // With up to 30% of the messages lost, several rounds of subscription may be
  // needed.
  fleet.Advance(seconds(40));
  RC_ASSERT(fleet.IsAppliedEverywhere());
}

TEST(Feed, ChangeIsAppliedEverywhereWithinSeconds) {
  Fleet fleet(6, 12, 3, {});
  fleet.Advance(seconds(10));
  fleet.service.Put("new");
  fleet.Advance(seconds(1));
  EXPECT_TRUE(fleet.IsAppliedEverywhere());
}

TEST(Feed, OneWatchForEachDataCentre) {
  Fleet fleet(8, 20, 4, {});
  fleet.Advance(seconds(15));
  EXPECT_EQ(fleet.Watchers(), 2U);
}

TEST(Feed, SilentWatchIsDetectedWithinTheBound) {
  Fleet fleet(4, 8, 5, {});
  fleet.Advance(seconds(10));
  for (const std::string& vm : fleet.Vms())
    fleet.Silence(vm);
  fleet.service.Put("unseen");
  // The target is 9 s until a change is applied everywhere.
  fleet.Advance(seconds(9));
  EXPECT_TRUE(fleet.IsAppliedEverywhere());
}

TEST(Feed, DeletionMissedByTheWatchIsDetected) {
  Fleet fleet(4, 8, 6, {});
  fleet.service.Put("gone");
  fleet.Advance(seconds(10));
  for (const std::string& vm : fleet.Vms())
    fleet.Silence(vm);
  fleet.service.Delete("gone");
  fleet.Advance(seconds(9));
  EXPECT_TRUE(fleet.IsAppliedEverywhere());
}

TEST(Feed, NodeStartedDuringAStoreOutageGetsTheViewFromAPeer) {
  Fleet fleet(3, 2, 7, {});
  fleet.service.Put("known");
  fleet.Advance(seconds(10));
  fleet.service.down = true;
  fleet.Restart("r1");
  fleet.Restart("w3");
  fleet.Advance(seconds(9));
  EXPECT_EQ(fleet.At("r1").view.size(), 1U);
  EXPECT_EQ(fleet.At("w3").view.size(), 1U);
}

TEST(Feed, DeadRelayIsSkipped) {
  Fleet fleet(6, 12, 8, {});
  fleet.Advance(seconds(10));
  for (const std::string& vm : fleet.Vms()) {
    if (fleet.At(vm).watching) {
      fleet.Stop(vm);
      break;
    }
  }
  fleet.service.Put("new");
  fleet.Advance(seconds(9));
  EXPECT_TRUE(fleet.IsAppliedEverywhere());
}

}  // namespace
}  // namespace boragepick
