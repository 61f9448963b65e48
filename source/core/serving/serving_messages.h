// Events handled by the serving router and effects that it returns.
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
#include "core/store/store_revision.h"

namespace boragepick {

// Identifies one attempt: one sending of a request to a worker.
using AttemptNumber = std::uint64_t;

// --- Events
// ---------------------------------------------------------------------------

struct RequestArrived {
  std::shared_ptr<const ServingRequest> request;
};
// The caller's connection ended before its response was complete.
struct CallerDisconnected {
  RequestId id = 0;
  DisconnectReason reason = DisconnectReason::kClosedByCaller;
};

// Events of an attempt. Events of unknown attempts are ignored.
struct AttemptHeadReceived {
  AttemptNumber attempt = 0;
  UpstreamResponseHead head;
};
struct AttemptBodyReceived {
  AttemptNumber attempt = 0;
  std::string bytes;
};
// What the caller has not read of the response passed on to it, and what all
// callers have not read of theirs, in bytes.
struct ResponseUnsent {
  RequestId id = 0;
  std::size_t bytes = 0;
  std::size_t total = 0;
};
// The response was received completely.
struct AttemptCompleted {
  AttemptNumber attempt = 0;
  // The response had neither a length nor chunks and ended with its connection,
  // as it also does if the worker crashes.
  bool ended_by_close = false;
};
// The attempt failed before its response was complete.
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
// The worker list was read completely; workers not in it have left.
struct WorkersSynced {
  std::vector<std::string> ids;
};
// The worker list can't be read, or can be read again. Workers whose entries
// expired in between may be listed again.
struct WorkerListUnavailable {};
struct WorkerListRestored {
  // How long the list's store may have been away at most.
  Duration outage = Duration::zero();
};
// The operator asks that no request be sent to the data centre's workers, by
// the given revision of the store, or no longer asks so.
struct EvacuationRequested {
  std::string data_centre;
  Revision revision = 0;
};
struct EvacuationEnded {
  std::string data_centre;
};
// All evacuations were read: others than these have ended.
struct EvacuationsSynced {
  std::vector<std::string> data_centres;
};
// The current configuration was confirmed to be the newest at `at`.
struct ConfigConfirmed {
  TimePoint at;
};
// The process was asked to stop.
struct ServingDrainRequested {};
struct ServingTicked {};

using ServingEvent = std::variant<RequestArrived,
                                  CallerDisconnected,
                                  ResponseUnsent,
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
                                  EvacuationRequested,
                                  EvacuationEnded,
                                  EvacuationsSynced,
                                  StoreEraObserved,
                                  StoreReverted,
                                  IncarnationReceived,
                                  RouterRecordReceived,
                                  RouterRecordRemoved,
                                  RouterRecordsSynced,
                                  SharePageReceived,
                                  SharePageWritten,
                                  PeerMessageReceived,
                                  ServingDrainRequested,
                                  ServingTicked>;

// --- Effects
// --------------------------------------------------------------------------

struct SendAttempt {
  AttemptNumber attempt = 0;
  std::shared_ptr<const ServingRequest> request;
  std::string worker;
  std::string address;
  // Empty on a route that needs no key.
  std::string team;
  Duration time_left = Duration::zero();
  // 0 is the most urgent, 9 the least.
  int urgency = 5;
  // The last event that the caller already has, to resume a stream after it.
  std::optional<std::uint64_t> resume_after;
  // Whether the request may be sent again after a lost connection. If not, a
  // reused connection that may have gone stale must be avoided.
  bool repeatable = false;
  // The worker may repeat its response to an earlier attempt of this request,
  // which bears the same id, so that attempt's connection must not be used.
  bool new_connection = false;
};
struct CancelAttempt {
  AttemptNumber attempt = 0;
};
// Stops and continues to read the attempt's response; its worker has to wait.
struct PauseAttempt {
  AttemptNumber attempt = 0;
};
struct ResumeAttempt {
  AttemptNumber attempt = 0;
};
// Closes the idle connections to a worker that has left.
struct CloseWorkerConnections {
  std::string worker;
};

// A response to the caller is sent either whole, or as head, body parts and
// end. An aborted response ends so that the caller can't take it for complete.
struct SendResponse {
  RequestId id = 0;
  UpstreamResponseHead head;
  std::string body;
};
struct SendResponseHead {
  RequestId id = 0;
  UpstreamResponseHead head;
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
// Sends an error response of the router itself.
struct RefuseRequest {
  RequestId id = 0;
  unsigned status = 503;
  std::string code;
  std::string trace_id;
  // 0: no Retry-After header.
  Duration retry_after = Duration::zero();
};

// Sets the limits for callers' requests and connections.
struct ApplyCallerLimits {
  CallerLimits limits;
};
// Closes idle connections and accepts no new ones. By then the load balancer
// sends no new requests to this router.
struct StopAccepting {};
// All requests are complete; the process may exit.
struct ServingDrained {};

using ServingEffect = std::variant<SendAttempt,
                                   CancelAttempt,
                                   PauseAttempt,
                                   ResumeAttempt,
                                   CloseWorkerConnections,
                                   SendResponse,
                                   SendResponseHead,
                                   SendResponseBody,
                                   EndResponse,
                                   AbortResponse,
                                   RefuseRequest,
                                   ApplyCallerLimits,
                                   WriteSharePage,
                                   PublishRouterRecord,
                                   SendToEndpoint,
                                   LogEffect,
                                   StopAccepting,
                                   ServingDrained>;

}  // namespace boragepick
