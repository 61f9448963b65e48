// What goes into the serving router and what comes out of it.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "common/log_event.h"
#include "core/engine/engine_messages.h"
#include "core/peer_messages.h"
#include "core/serving/serving_config.h"
#include "core/serving/serving_fleet.h"
#include "core/serving/serving_request.h"
#include "core/serving/worker_entry.h"

namespace boragepick {

// Numbers one sending of a request to a worker.
using AttemptNumber = std::uint64_t;

// --- Events
// ---------------------------------------------------------------------------

struct RequestArrived {
  std::shared_ptr<const ServingRequest> request;
};
// The caller has closed its connection.
struct CallerDisconnected {
  RequestId id = 0;
};

struct AttemptHeadReceived {
  AttemptNumber attempt = 0;
  UpstreamHead head;
};
struct AttemptBodyReceived {
  AttemptNumber attempt = 0;
  std::string bytes;
};
// The answer came whole.
struct AttemptCompleted {
  AttemptNumber attempt = 0;
};
struct AttemptFailed {
  AttemptNumber attempt = 0;
  AttemptFailure failure = AttemptFailure::kReset;
};

struct ConfigReceived {
  std::shared_ptr<const ConfigIndex> config;
};
struct WorkerListed {
  WorkerEntry entry;
};
struct WorkerUnlisted {
  std::string id;
};
// The worker list was read whole: workers that are not in it are gone.
struct WorkersSynced {
  std::vector<std::string> ids;
};
// The list of workers can't be read, or can be read again. Workers that fell
// out of it meanwhile may come back.
struct WorkerListUnavailable {};
struct WorkerListRestored {};
// The configuration in hand was the newest at `at`.
struct ConfigConfirmed {
  TimePoint at;
};
// The settings may have changed, or a stop was asked for.
struct ServingDrainRequested {};
struct ServingTicked {};

using ServingEvent = std::variant<RequestArrived,
                                  CallerDisconnected,
                                  AttemptHeadReceived,
                                  AttemptBodyReceived,
                                  AttemptCompleted,
                                  AttemptFailed,
                                  ConfigReceived,
                                  WorkerListed,
                                  WorkerUnlisted,
                                  WorkersSynced,
                                  WorkerListUnavailable,
                                  WorkerListRestored,
                                  ConfigConfirmed,
                                  IncarnationReceived,
                                  RouterSeen,
                                  RouterGone,
                                  RoutersSynced,
                                  SharePageSeen,
                                  SharePageWritten,
                                  PeerReceived,
                                  ServingDrainRequested,
                                  ServingTicked>;

// --- Effects
// --------------------------------------------------------------------------

struct SendAttempt {
  AttemptNumber attempt = 0;
  std::shared_ptr<const ServingRequest> request;
  std::string worker;
  std::string address;
  // Empty on a route that is open to all.
  std::string team;
  Duration time_left = Duration::zero();
  // 0 is the most urgent, 9 the least.
  int urgency = 5;
  // The events up to this one are with the caller already.
  std::optional<std::uint64_t> resume_after;
  // A lost connection is only a delay; else a kept connection that may have
  // gone stale is not worth its risk.
  bool repeatable = false;
};
struct CancelAttempt {
  AttemptNumber attempt = 0;
};
// Connections to the worker are of no more use.
struct CloseWorkerConnections {
  std::string worker;
};

// An answer: one whole, or a head, bytes and an end. Aborting ends it so that
// it can't be taken for complete.
struct SendResponse {
  RequestId id = 0;
  UpstreamHead head;
  std::string body;
};
struct SendResponseHead {
  RequestId id = 0;
  UpstreamHead head;
};
struct SendResponseBody {
  RequestId id = 0;
  std::string bytes;
};
struct EndResponse {
  RequestId id = 0;
};
struct AbortResponse {
  RequestId id = 0;
};
struct RefuseRequest {
  RequestId id = 0;
  unsigned status = 503;
  std::string code;
  std::string trace_id;
  // 0 for none.
  Duration retry_after = Duration::zero();
};

// The limits of callers have changed.
struct ApplyCallerLimits {
  CallerLimits limits;
};
// The balancer has noticed that this router leaves: connections without a
// request are closed, and no new ones are taken.
struct StopAccepting {};
// Nothing is left to do: the process may end.
struct ServingDrained {};

using ServingEffect = std::variant<SendAttempt,
                                   CancelAttempt,
                                   CloseWorkerConnections,
                                   SendResponse,
                                   SendResponseHead,
                                   SendResponseBody,
                                   EndResponse,
                                   AbortResponse,
                                   RefuseRequest,
                                   ApplyCallerLimits,
                                   WriteSharePage,
                                   KeepRecord,
                                   SendToEndpoint,
                                   LogEffect,
                                   StopAccepting,
                                   ServingDrained>;

}  // namespace boragepick
