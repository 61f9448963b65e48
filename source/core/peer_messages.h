// The messages between the system's processes, independent of their encoding.
// A message may be lost, duplicated or delayed, but one that arrives is
// complete.
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

// The sender of a message; filled in by the peer task.
struct PeerSender {
  std::string vm;
  Incarnation incarnation = 0;
  std::string endpoint;
};

// Identifies one attempt to run a request. Replies for any other attempt are
// stale and are ignored.
struct AttemptId {
  RequestId request = 0;
  std::uint32_t attempt = 0;
  auto operator<=>(const AttemptId&) const = default;
};

// Router to agent: runs a request.
struct RunRequest {
  AttemptId id;
  Method method = Method::kPost;
  std::string path;
  std::string content_type;
  std::string body;
  // Both are empty for a plain service.
  std::string model;
  std::string adapter;
  bool stream = false;
  // Keeps the teams' entries in the engine's prefix cache apart.
  std::string cache_salt;
  std::string team;
  Priority priority = Priority::kInteractive;
  std::int64_t cost = 1;
  // Time to the deadline when the message was sent.
  Duration remaining_time = Duration::zero();
  // Tokens that the caller has already received; generation resumes after them.
  std::uint64_t resume_after = 0;
  // The request may have crashed an engine and must run alone.
  bool suspect = false;
  // Bytes of the response that the agent may send before a RunCredit permits
  // more; 0 for no limit.
  std::uint64_t response_limit = 0;
};

// Router to agent: the caller has read a part of the response, of which the
// agent may send `response_limit` bytes in all. Repeated in reply to
// RunProgress.
struct RunCredit {
  AttemptId id;
  std::uint64_t response_limit = 0;
};

struct CancelRun {
  AttemptId id;
};

// Agent to router: acknowledges the attempt. Repeated every second while no
// other message of the attempt is sent.
struct RunProgress {
  AttemptId id;
};

struct RunHead {
  AttemptId id;
  ResponseHead head;
};

struct RunChunk {
  AttemptId id;
  // Number of the chunk, from 0; a gap means that a chunk was lost.
  std::uint64_t sequence = 0;
  std::string bytes;
};

// kComplete: the whole response was sent. kNotRun: the run was certainly not
// started. kInterrupted: the upstream failed before the end, and the request
// may have run. kCrashed: as kInterrupted, and the engine process crashed.
enum class RunOutcome { kComplete, kNotRun, kInterrupted, kCrashed };

inline constexpr EnumTable kRunOutcomeNames{std::array{
    EnumName<RunOutcome>{RunOutcome::kComplete, "whole"},
    EnumName<RunOutcome>{RunOutcome::kNotRun, "not_run"},
    EnumName<RunOutcome>{RunOutcome::kInterrupted, "cut"},
    EnumName<RunOutcome>{RunOutcome::kCrashed, "crashed"},
}};

struct ResidentUnit {
  std::string name;
  Residency residency = Residency::kResident;
  bool operator==(const ResidentUnit&) const = default;
};

// An agent's load and resident units. Sent with the end of each run, and on
// change to the routers that use the agent.
struct AgentReport {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 1;
  bool leaving = false;
  // The configuration in force at the agent at the time of the report.
  Revision feed_revision = 0;
  std::vector<ResidentUnit> units;
  bool operator==(const AgentReport&) const = default;
};

struct RunEnded {
  AttemptId id;
  RunOutcome outcome = RunOutcome::kComplete;
  // Number of chunks sent.
  std::uint64_t chunks = 0;
  std::string detail;
  // Identifies the crash; only with kCrashed.
  std::string crash;
  AgentReport report;
};

// Subscribes a node to a relay's feed. Repeated every second with the revision
// that the node has in force.
struct FeedSubscribe {
  Revision revision = 0;
  std::uint64_t roster_version = 0;
  std::string data_centre;
  // Nodes that receive the feed through the subscriber, itself included; 0 from
  // a node that follows another relay.
  std::uint32_t nodes = 1;
  // The lowest revision in force among these nodes.
  Revision lowest_in_force = 0;
};

// The relay's reply to each subscription, also without new items: an upper
// bound on the age of its own view.
struct FeedFreshness {
  Revision revision = 0;
  std::uint64_t roster_version = 0;
  // Time since the relay's view was last known to match the platform's store.
  Duration age = Duration::zero();
  // Nodes that receive the feed through the relay, itself included, and the
  // lowest revision in force among them.
  std::uint32_t nodes = 0;
  Revision lowest_in_force = 0;
};

// Requests, renews or releases one of the load slots that limit concurrent
// loads from the weight store.
struct SlotRequest {
  std::uint64_t number = 0;
  // One of the pools in core/scheduling/slot_semaphore.h.
  std::string pool;
  Priority priority = Priority::kInteractive;
  // Releases the slot, or withdraws a request that was not granted.
  bool release = false;
  // The sender holds the slot already, granted by an earlier slot coordinator.
  bool already_held = false;
  // The unit to load, and the number of requests that wait for it.
  std::string name;
  std::uint32_t waiting_requests = 0;
  // With `release`: the measured duration of the load, and its duration at full
  // speed; both are zero when nothing was loaded.
  Duration load_time = Duration::zero();
  Duration expected_load_time = Duration::zero();
};

// The reply to each slot request; `granted` is false while it has to wait.
struct SlotGrant {
  std::uint64_t number = 0;
  std::string pool;
  bool granted = true;
};

// Router to the router that owns a cold worker's places: asks for places, each
// of which permits one request to the worker.
struct ColdPlaceRequest {
  std::string worker;
  // Increases with each request of a process.
  std::uint64_t number = 0;
  std::uint32_t wanted = 0;
  // Of the request that is to be sent first; 0 is the most urgent.
  std::uint32_t urgency = 0;
  std::uint32_t prompt_tokens = 0;
};

// The reply, sent once places are free. They end kPlaceLifetime after the
// request was sent.
struct ColdPlaceGrant {
  std::string worker;
  std::uint64_t number = 0;
  std::uint32_t places = 0;
};

using PeerMessage = std::variant<RunRequest,
                                 CancelRun,
                                 RunProgress,
                                 RunHead,
                                 RunChunk,
                                 RunEnded,
                                 AgentReport,
                                 FeedSubscribe,
                                 FeedFreshness,
                                 FeedUpdate,
                                 RosterList,
                                 QuotaLoanRequest,
                                 QuotaLoan,
                                 IdempotencyClaim,
                                 IdempotencyVerdict,
                                 IdempotencyOutcome,
                                 IdempotencyOutcomeStored,
                                 CrashNotice,
                                 SlotRequest,
                                 SlotGrant,
                                 LoadRequest,
                                 EngineUpdate,
                                 RunCredit,
                                 ColdPlaceRequest,
                                 ColdPlaceGrant>;

// Event of the state machines: a message from a peer was received.
struct PeerMessageReceived {
  PeerSender from;
  PeerMessage message;
};

// Effect of the state machines: a message that is sent once and may be lost.
struct SendToEndpoint {
  std::string endpoint;
  PeerMessage message;
};

}  // namespace boragepick
