// What the system's processes say to each other, apart from the encoding. Every
// message may be lost, doubled or late; none relies on more than that one
// arrived whole.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "common/enum_table.h"
#include "common/time.h"
#include "core/engine/engine_messages.h"
#include "core/feed/feed_item.h"
#include "core/idempotency/idempotency_messages.h"
#include "core/placement/memory_accounting.h"
#include "core/quota/quota_messages.h"
#include "core/roster/roster_entry.h"
#include "core/scheduling/quarantine.h"
#include "core/scheduling/request.h"

namespace boragepick {

// Who sent a message: filled in by the peer task.
struct PeerSender {
  std::string vm;
  Incarnation incarnation = 0;
  std::string endpoint;
};

// Names one attempt to run a request: answers to any other are late or crossed.
struct AttemptId {
  RequestId request = 0;
  std::uint32_t attempt = 0;
  auto operator<=>(const AttemptId&) const = default;
};

// Router to agent: run a request.
struct RunRequest {
  AttemptId id;
  Method method = Method::kPost;
  std::string path;
  std::string content_type;
  std::string body;
  // Model and adapter; empty for a plain service.
  std::string model;
  std::string adapter;
  bool stream = false;
  // Separates the engine's prefix cache of one team from that of another.
  std::string cache_salt;
  std::string team;
  Priority priority = Priority::kInteractive;
  std::int64_t cost = 1;
  // Time left when it was sent.
  Duration patience = Duration::zero();
  // Tokens that the caller has already; the engine goes on behind them.
  std::uint64_t resume_after = 0;
  // Runs alone, as it may have crashed an engine before.
  bool suspect = false;
};

struct CancelRun {
  AttemptId id;
};

// Agent to router: the attempt is in its hands, and again every second while
// nothing else is sent.
struct RunProgress {
  AttemptId id;
};

struct RunHead {
  AttemptId id;
  AnswerHead head;
};

struct RunChunk {
  AttemptId id;
  // Counts chunks from 0: a gap means that one was lost.
  std::uint64_t sequence = 0;
  std::string bytes;
};

// kWhole: all was sent. kNotRun: certain not to have been started. kCut: the
// upstream failed before the end; it may have run. kCrashed: the same, and the
// engine itself went down.
enum class RunEnd { kWhole, kNotRun, kCut, kCrashed };

inline constexpr EnumTable kRunEndNames{std::array{
    EnumName<RunEnd>{RunEnd::kWhole, "whole"},
    EnumName<RunEnd>{RunEnd::kNotRun, "not_run"},
    EnumName<RunEnd>{RunEnd::kCut, "cut"},
    EnumName<RunEnd>{RunEnd::kCrashed, "crashed"},
}};

struct ResidentUnit {
  std::string name;
  Residency residency = Residency::kResident;
  bool operator==(const ResidentUnit&) const = default;
};

// What an agent says of itself: with each end of a run, and to the routers that
// use it on change.
struct AgentReport {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 1;
  bool leaving = false;
  // The configuration in force at the agent when it made the report.
  Revision feed_revision = 0;
  std::vector<ResidentUnit> units;
  bool operator==(const AgentReport&) const = default;
};

struct RunEnded {
  AttemptId id;
  RunEnd end = RunEnd::kWhole;
  // Chunks sent.
  std::uint64_t chunks = 0;
  std::string detail;
  // With kCrashed: names the crash.
  std::string crash;
  AgentReport report;
};

// A node asks a relay for the feed, and says again every second what it has in
// force.
struct FeedSubscribe {
  Revision revision = 0;
  std::uint64_t roster_version = 0;
  std::string data_centre;
  // Nodes behind the subscriber, itself included; 0 from one that follows
  // another relay. And the lowest revision in force among them.
  std::uint32_t nodes = 1;
  Revision lowest_in_force = 0;
};

// The relay's answer, also when there is nothing new: how old its own view is
// at most.
struct FeedFresh {
  Revision revision = 0;
  std::uint64_t roster_version = 0;
  // Since the platform's service was last known to be reached by the relay's
  // view.
  Duration age = Duration::zero();
  // Nodes behind the relay, itself included, and the lowest revision in force
  // among them.
  std::uint32_t nodes = 0;
  Revision lowest_in_force = 0;
};

// Asks for a place among the loads that the weight store bears at once.
struct SlotAsk {
  std::uint64_t number = 0;
  // See core/scheduling/slot_semaphore.
  std::string pool;
  Priority priority = Priority::kInteractive;
  // Gives the place back, or withdraws the ask.
  bool done = false;
  // The asker has the place already, from whoever kept the list before.
  bool held = false;
  // What is to be loaded, and the requests that wait for it.
  std::string name;
  std::uint32_t waiting = 0;
  // With `done`: the time that the load took, and its time at full speed; zero
  // when nothing was loaded.
  Duration took = Duration::zero();
  Duration expected = Duration::zero();
};

// The answer to each ask; one that waits is answered, too.
struct SlotGrant {
  std::uint64_t number = 0;
  std::string pool;
  bool granted = true;
};

using PeerMessage = std::variant<RunRequest,
                                 CancelRun,
                                 RunProgress,
                                 RunHead,
                                 RunChunk,
                                 RunEnded,
                                 AgentReport,
                                 FeedSubscribe,
                                 FeedFresh,
                                 FeedUpdate,
                                 RosterList,
                                 QuotaAsk,
                                 QuotaLoan,
                                 IdempotencyClaim,
                                 IdempotencyVerdict,
                                 IdempotencyOutcome,
                                 IdempotencyOutcomeStored,
                                 CrashNotice,
                                 SlotAsk,
                                 SlotGrant,
                                 LoadRequest,
                                 EngineUpdate>;

// An event of the machines: a peer's message came.
struct PeerReceived {
  PeerSender from;
  PeerMessage message;
};

// An effect of the machines: sent once, perhaps lost.
struct SendToEndpoint {
  std::string endpoint;
  PeerMessage message;
};

}  // namespace boragepick
