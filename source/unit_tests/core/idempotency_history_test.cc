// Tests that a request with an idempotency key runs at most once, over random
// histories of retries at several routers, lost, duplicated and delayed
// messages, pauses, restarts, removed VMs, and outages of the platform's store.

#include <gtest/gtest.h>

#include <rapidcheck.h>
#include <rapidcheck/gtest.h>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "common/hashing.h"
#include "common/random.h"
#include "core/idempotency/idempotency_store.h"
#include "unit_tests/core/fake_network.h"

namespace boragepick {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

using IdempotencyMessage = std::variant<IdempotencyClaim,
                                        IdempotencyVerdict,
                                        IdempotencyOutcome,
                                        IdempotencyOutcomeStored>;

constexpr Duration kStep = milliseconds(20);

std::string AnswerTo(const std::string& key) {
  return "receipt of " + key;
}

// One attempt of a caller at one router.
struct Attempt {
  std::string key;
  std::string claim_id;
  std::string owner;
  TimePoint next_send = TimePoint{};
  bool granted = false;
  // When the granted execution ends.
  TimePoint ends = kNever;
  std::optional<IdempotencyOutcome> outcome;
  bool answered = false;
};

struct Node {
  std::string vm;
  Incarnation run = 1;
  std::unique_ptr<IdempotencyStore> owner;
  Roster roster;
  bool alive = true;
  TimePoint paused_until = TimePoint{};
  TimePoint next_tick = TimePoint{};
  TimePoint next_roster = TimePoint{};
  std::map<std::uint64_t, Attempt> attempts;
  std::uint64_t last_token = 0;
};

class Fleet {
 public:
  Fleet(std::size_t routers, std::uint64_t seed, NetworkFaults faults)
      : m_random(seed), m_network(faults, m_random) {
    for (std::size_t i = 0; i < routers; ++i)
      m_list.entries.push_back({.vm = "r" + std::to_string(i),
                                .data_centre = "a",
                                .peer_endpoint = "e" + std::to_string(i)});
    m_list.version = 1;
    for (const RosterEntry& entry : m_list.entries) {
      m_nodes[entry.vm].vm = entry.vm;
      Boot(m_nodes[entry.vm]);
    }
  }

  bool down = false;

  std::vector<std::string> Vms() const {
    std::vector<std::string> vms;
    for (const auto& [vm, node] : m_nodes)
      vms.push_back(vm);
    return vms;
  }

  void Call(const std::string& vm, const std::string& key) {
    Node& node = m_nodes.at(vm);
    if (!CanAct(node))
      return;
    Attempt& attempt = node.attempts[++node.last_token];
    attempt.key = key;
    attempt.claim_id = ClaimIdOf("casters", key);
    ++m_attempts;
  }

  void Restart(const std::string& vm) {
    Node& node = m_nodes.at(vm);
    ++node.run;
    Boot(node);
  }

  void Kill(const std::string& vm) {
    m_nodes.at(vm).alive = false;
    m_nodes.at(vm).attempts.clear();
    std::erase_if(m_list.entries,
                  [&](const RosterEntry& e) { return e.vm == vm; });
    ++m_list.version;
  }

  void Pause(const std::string& vm, Duration duration) {
    m_nodes.at(vm).paused_until = m_now + duration;
  }

  void Advance(Duration duration) {
    for (const TimePoint end = m_now + duration; m_now < end; m_now += kStep)
      Step();
  }

  int Executions(const std::string& key) const {
    const auto found = m_executions.find(key);
    return found == m_executions.end() ? 0 : found->second;
  }
  int writes() const { return m_writes; }
  int reads() const { return m_reads; }
  int attempts() const { return m_attempts; }
  int Verdicts(IdempotencyVerdictKind kind) const {
    const auto found = m_verdicts.find(kind);
    return found == m_verdicts.end() ? 0 : found->second;
  }

 private:
  bool CanAct(const Node& node) const {
    return node.alive && m_now >= node.paused_until;
  }

  void Boot(Node& node) {
    node.alive = true;
    node.attempts.clear();
    node.roster = Roster();
    node.roster.Apply(m_now, m_list);
    node.owner = std::make_unique<IdempotencyStore>(
        ProcessId{.vm = node.vm, .incarnation = node.run});
    node.owner->SetSelfListedVersion(m_list.version);
  }

  void Step() {
    const auto due = m_network.RemoveDue(m_now, [this](const std::string& vm) {
      const Node& node = m_nodes.at(vm);
      if (!node.alive)
        return Delivery::kNever;
      return CanAct(node) ? Delivery::kNow : Delivery::kLater;
    });
    for (const auto& message : due)
      Deliver(m_nodes.at(message.to), message);
    for (auto& [vm, node] : m_nodes) {
      if (CanAct(node))
        Run(node);
    }
  }

  void Run(Node& node) {
    if (m_now >= node.next_roster) {
      // The list lags by a different time at each router.
      node.next_roster = m_now + milliseconds(m_random.Below(4000));
      node.roster.Apply(m_now, m_list);
    }
    if (m_now >= node.next_tick) {
      node.next_tick = m_now + milliseconds(100);
      node.owner->Tick(m_now);
    }
    std::vector<std::uint64_t> done;
    for (auto& [token, attempt] : node.attempts) {
      AdvanceAttempt(node, token, attempt);
      if (attempt.answered && !attempt.outcome)
        done.push_back(token);
    }
    for (const std::uint64_t token : done)
      node.attempts.erase(token);
    ApplyEffects(node);
  }

  void AdvanceAttempt(Node& node, std::uint64_t token, Attempt& attempt) {
    if (attempt.granted && m_now >= attempt.ends && !attempt.outcome) {
      attempt.outcome = IdempotencyOutcome{
          .claim_id = attempt.claim_id,
          .token = token,
          .result = IdempotencyResult::kWhole,
          .answer = {.status = 200, .body = AnswerTo(attempt.key)}};
      attempt.next_send = m_now;
    }
    if (m_now < attempt.next_send || (attempt.granted && !attempt.outcome))
      return;
    attempt.next_send = m_now + milliseconds(300);
    if (attempt.outcome)
      Send(node, OwnerOf(node, attempt), *attempt.outcome);
    else
      Send(node, OwnerOf(node, attempt),
           IdempotencyClaim{.claim_id = attempt.claim_id,
                            .request_hash = "hash of " + attempt.key,
                            .token = token});
  }

  std::string OwnerOf(const Node& node, const Attempt& attempt) const {
    if (!attempt.owner.empty())
      return attempt.owner;
    const std::uint32_t page = IdempotencyPageOf(attempt.claim_id);
    return RendezvousOrder("idempotency-page/" + std::to_string(page),
                           node.roster.LiveRouters())
        .front();
  }

  void Send(const Node& from,
            const std::string& to,
            const IdempotencyMessage& message) {
    m_network.Send(m_now, from.vm, from.run, to, message);
  }

  void Deliver(Node& node,
               const FakeNetwork<IdempotencyMessage>::Message& message) {
    node.roster.RecordRun(message.from, message.from_run);
    const ProcessId from{.vm = message.from,
                         .incarnation = message.from_run,
                         .listed_version = node.roster.version()};
    if (const auto* claim = std::get_if<IdempotencyClaim>(&message.payload))
      node.owner->HandleClaim(m_now, from, *claim, node.roster);
    else if (const auto* outcome =
                 std::get_if<IdempotencyOutcome>(&message.payload))
      node.owner->HandleOutcome(m_now, from, *outcome);
    else if (const auto* verdict =
                 std::get_if<IdempotencyVerdict>(&message.payload))
      HandleVerdict(node, *verdict);
    else
      HandleStored(node, std::get<IdempotencyOutcomeStored>(message.payload));
    ApplyEffects(node);
  }

  void HandleStored(Node& node, const IdempotencyOutcomeStored& stored) {
    const auto found = node.attempts.find(stored.token);
    if (found != node.attempts.end() && found->second.outcome)
      node.attempts.erase(found);
  }

  void HandleVerdict(Node& node, const IdempotencyVerdict& verdict) {
    const auto found = node.attempts.find(verdict.token);
    if (found == node.attempts.end())
      return;
    Attempt& attempt = found->second;
    if (verdict.kind == IdempotencyVerdictKind::kRedirect) {
      attempt.owner = verdict.owner_vm;
      return;
    }
    if (attempt.granted || verdict.kind == IdempotencyVerdictKind::kInProgress)
      return;
    ++m_verdicts[verdict.kind];
    if (verdict.kind == IdempotencyVerdictKind::kGranted) {
      attempt.granted = true;
      attempt.ends = m_now + milliseconds(m_random.Below(400));
      const int executions = ++m_executions[attempt.key];
      RC_ASSERT(executions == 1);
      return;
    }
    // A retry gets the complete answer of the only run.
    if (verdict.kind == IdempotencyVerdictKind::kReplay) {
      RC_ASSERT(Executions(attempt.key) == 1);
      RC_ASSERT(verdict.answer.body == AnswerTo(attempt.key));
    }
    RC_ASSERT(verdict.kind != IdempotencyVerdictKind::kMismatch);
    node.attempts.erase(found);
  }

  // Checks that kNotRun is true when it is decided. It can't be checked on
  // arrival, because another open attempt with the same key may be granted
  // while the verdict is on its way.
  void CheckNotRun(const IdempotencySend& send) {
    const auto* verdict = std::get_if<IdempotencyVerdict>(&send.message);
    if (verdict == nullptr || verdict->kind != IdempotencyVerdictKind::kNotRun)
      return;
    const Node& claimant = m_nodes.at(send.vm);
    const auto attempt = claimant.attempts.find(verdict->token);
    if (attempt != claimant.attempts.end())
      RC_ASSERT(Executions(attempt->second.key) == 0);
  }

  void ApplyEffects(Node& node) {
    for (IdempotencyEffect& effect : node.owner->TakeEffects()) {
      if (const auto* read = std::get_if<IdempotencyReadPage>(&effect)) {
        ReadPage(node, read->page);
      } else if (auto* write = std::get_if<IdempotencyWritePage>(&effect)) {
        WritePage(node, std::move(write->page));
      } else if (auto* send = std::get_if<IdempotencySend>(&effect)) {
        CheckNotRun(*send);
        std::visit([&](const auto& m) { Send(node, send->vm, m); },
                   send->message);
      }
    }
  }

  void ReadPage(Node& node, std::uint32_t page) {
    ++m_reads;
    if (down) {
      node.owner->HandlePageReadFailed(m_now, page);
      return;
    }
    const auto stored = m_stored.find(page);
    std::optional<IdempotencyPage> record;
    if (stored != m_stored.end())
      record = stored->second;
    node.owner->HandlePageRead(m_now, page, record, node.roster);
  }

  void WritePage(Node& node, IdempotencyPage page) {
    ++m_writes;
    const std::uint32_t number = page.page;
    const auto stored = m_stored.find(number);
    const Revision base =
        stored == m_stored.end() ? 0 : stored->second.revision;
    WriteOutcome outcome = WriteOutcome::kUnknown;
    if (!down && base == page.revision) {
      page.revision = ++m_revision;
      m_stored[number] = std::move(page);
      outcome = WriteOutcome::kWritten;
    } else if (!down) {
      outcome = WriteOutcome::kConflict;
    }
    // The reply may be lost after the write took effect.
    if (m_network.DropsMessage())
      outcome = WriteOutcome::kUnknown;
    node.owner->HandlePageWritten(m_now, number, outcome, m_revision,
                                  node.roster);
  }

  TimePoint m_now = TimePoint(seconds(1000));
  Random m_random;
  FakeNetwork<IdempotencyMessage> m_network;
  RosterList m_list;
  std::map<std::string, Node> m_nodes;
  std::map<std::uint32_t, IdempotencyPage> m_stored;
  Revision m_revision = 0;
  std::map<std::string, int> m_executions;
  std::map<IdempotencyVerdictKind, int> m_verdicts;
  int m_writes = 0;
  int m_reads = 0;
  int m_attempts = 0;
};

RC_GTEST_PROP(IdempotencyHistory, RunsAtMostOnceWithCorrectVerdicts, ()) {
  const auto seed = *rc::gen::arbitrary<std::uint64_t>();
  const auto routers = *rc::gen::inRange<std::size_t>(1, 6);
  const NetworkFaults faults{
      .loss_percent = *rc::gen::inRange(0U, 40U),
      .duplicate_percent = *rc::gen::inRange(0U, 40U),
      .max_delay = milliseconds(*rc::gen::inRange(1, 2000))};
  Fleet fleet(routers, seed, faults);
  Random random(seed + 1);
  const std::vector<std::string> vms = fleet.Vms();
  std::size_t killed = 0;
  for (int step = 0; step < 120; ++step) {
    const std::string& vm = vms[random.Below(vms.size())];
    switch (random.Below(16)) {
      case 0:
        fleet.Restart(vm);
        break;
      case 1:
        fleet.Pause(vm, milliseconds(random.Below(4000)));
        break;
      case 2:
        fleet.down = !fleet.down;
        break;
      case 3:
        if (++killed < vms.size())
          fleet.Kill(vm);
        break;
      default:
        fleet.Call(vm, "key-" + std::to_string(random.Below(12)));
        fleet.Advance(milliseconds(random.Below(500)));
    }
  }
}

TEST(IdempotencyHistory, RetriesOfFinishedRequestsCostNoPlatformCalls) {
  Fleet fleet(3, 5, {});
  for (int i = 0; i < 20; ++i)
    fleet.Call("r" + std::to_string(i % 3), "key-" + std::to_string(i));
  fleet.Advance(seconds(3));
  const int calls = fleet.writes() + fleet.reads();
  for (int i = 0; i < 200; ++i)
    fleet.Call("r" + std::to_string(i % 3), "key-" + std::to_string(i % 20));
  fleet.Advance(seconds(3));
  EXPECT_EQ(fleet.writes() + fleet.reads(), calls);
  EXPECT_EQ(fleet.Verdicts(IdempotencyVerdictKind::kGranted), 20);
  EXPECT_EQ(fleet.Verdicts(IdempotencyVerdictKind::kReplay), 200);
}

TEST(IdempotencyHistory,
     StoreOutageRefusesFirstAttemptsAndReplaysFinishedOnes) {
  Fleet fleet(3, 6, {});
  // A single key, so that only its page is owned before the outage.
  fleet.Call("r0", "done");
  fleet.Advance(seconds(3));
  fleet.down = true;
  fleet.Call("r1", "done");
  fleet.Advance(seconds(3));
  EXPECT_EQ(fleet.Verdicts(IdempotencyVerdictKind::kReplay), 1);
  EXPECT_EQ(fleet.Executions("done"), 1);
  // A key whose page has not been read: it may have run before.
  fleet.Call("r1", "never-seen");
  fleet.Advance(seconds(3));
  EXPECT_EQ(fleet.Executions("never-seen"), 0);
  EXPECT_EQ(fleet.Verdicts(IdempotencyVerdictKind::kUnknown), 1);
}

TEST(IdempotencyStore, PageOwnerAnswersNotRunDuringAStoreOutage) {
  const TimePoint start = TimePoint(seconds(100));
  const ProcessId self{.vm = "r0", .incarnation = 1, .listed_version = 1};
  Roster roster;
  roster.Apply(start, {.version = 1, .entries = {{.vm = "r0"}}});
  IdempotencyStore owner(self);
  const std::string claim_id = ClaimIdOf("team", "key");
  const std::uint32_t page = IdempotencyPageOf(claim_id);
  owner.AcquirePage(start, page);
  owner.HandlePageRead(start, page, std::nullopt, roster);
  owner.HandlePageWritten(start, page, WriteOutcome::kWritten, 7, roster);
  owner.TakeEffects();
  // The store is unavailable from here on: the outcome of the write is unknown.
  owner.HandleClaim(start, self,
                    {.claim_id = claim_id, .request_hash = "h", .token = 1},
                    roster);
  owner.HandlePageWritten(start, page, WriteOutcome::kUnknown, 0, roster);
  owner.Tick(start + IdempotencyStore::kClaimTimeout);
  std::optional<IdempotencyVerdict> verdict;
  for (const IdempotencyEffect& effect : owner.TakeEffects()) {
    if (const auto* send = std::get_if<IdempotencySend>(&effect))
      verdict = std::get<IdempotencyVerdict>(send->message);
  }
  ASSERT_TRUE(verdict);
  EXPECT_EQ(verdict->kind, IdempotencyVerdictKind::kNotRun);
}

TEST(IdempotencyStore, DifferentRequestWithTheSameKeyIsRefused) {
  const TimePoint start = TimePoint(seconds(100));
  const ProcessId self{.vm = "r0", .incarnation = 1, .listed_version = 1};
  Roster roster;
  roster.Apply(start, {.version = 1, .entries = {{.vm = "r0"}}});
  IdempotencyStore owner(self);
  const std::string claim_id = ClaimIdOf("team", "key");
  const std::uint32_t page = IdempotencyPageOf(claim_id);
  owner.HandleClaim(start, self,
                    {.claim_id = claim_id, .request_hash = "a", .token = 1},
                    roster);
  owner.HandlePageRead(start, page, std::nullopt, roster);
  owner.HandlePageWritten(start, page, WriteOutcome::kWritten, 7, roster);
  owner.TakeEffects();
  owner.HandleClaim(start, self,
                    {.claim_id = claim_id, .request_hash = "b", .token = 2},
                    roster);
  const std::vector<IdempotencyEffect> effects = owner.TakeEffects();
  ASSERT_EQ(effects.size(), 1U);
  const auto& verdict = std::get<IdempotencyVerdict>(
      std::get<IdempotencySend>(effects[0]).message);
  EXPECT_EQ(verdict.kind, IdempotencyVerdictKind::kMismatch);
}

}  // namespace
}  // namespace boragepick
