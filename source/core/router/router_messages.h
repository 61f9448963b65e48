// The events and effects of the router's state machine.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "common/log_event.h"
#include "core/feed/feed_node.h"
#include "core/idempotency/idempotency_page.h"
#include "core/operator_messages.h"
#include "core/peer_messages.h"
#include "core/platform_call.h"
#include "core/scheduling/request.h"

namespace boragepick {

// --- Events ---

struct CallerRequestReceived {
  CallerRequest request;
};
// The caller closed its connection.
struct CallerConnectionClosed {
  RequestId id = 0;
};
// Bytes of the response that the caller's connection has accepted so far, and
// bytes that wait for all callers.
struct CallerResponseWritten {
  RequestId id = 0;
  std::uint64_t written = 0;
  std::size_t total_unsent = 0;
};
struct OperatorRequestReceived {
  OperatorRequest request;
};

// Results of calls to the platform's store; `call` is the number in the
// effect.
struct RecordWritten {
  std::uint64_t call = 0;
  WriteOutcome outcome = WriteOutcome::kUnknown;
  Revision revision = 0;
};
struct IdempotencyPageRead {
  std::uint32_t page = 0;
  // Whether the store replied.
  bool answered = false;
  std::optional<IdempotencyPage> record;
};
struct ResourceRead {
  std::uint64_t call = 0;
  bool answered = false;
  std::optional<Resource> resource;
};
struct FeedReceived {
  FeedUpdate update;
};
struct FeedProbed {
  Revision newest = 0;
  std::size_t items = 0;
};
struct WatchLost {};
struct VmListReceived {
  RosterList list;
};

struct DrainRequested {};
struct Ticked {};

using RouterEvent = std::variant<CallerRequestReceived,
                                 CallerConnectionClosed,
                                 CallerResponseWritten,
                                 PeerMessageReceived,
                                 OperatorRequestReceived,
                                 RecordWritten,
                                 IdempotencyPageRead,
                                 ResourceRead,
                                 FeedReceived,
                                 FeedProbed,
                                 WatchLost,
                                 VmListReceived,
                                 DrainRequested,
                                 Ticked>;

// --- Effects ---

// The response to a caller, in this order: one head, bytes, one end; or one
// refusal.
struct CallerResponseHead {
  RequestId id = 0;
  ResponseHead head;
  // A streamed response is forwarded as it arrives.
  bool stream = false;
};
struct CallerResponseBytes {
  RequestId id = 0;
  std::string bytes;
};
struct CallerResponseEnd {
  RequestId id = 0;
};
struct CallerRefused {
  RequestId id = 0;
  Refusal refusal;
  // The head has been sent: the refusal ends the stream as an error.
  bool midway = false;
};
struct OperatorReplied {
  std::uint64_t id = 0;
  OperatorReply reply;
};

// Connections to `endpoint` may be dead: the next message opens a new one.
struct ReconnectPeer {
  std::string endpoint;
};

// Writes by compare-and-swap: only if the stored revision is `base`, where 0
// means that no record is stored.
struct WriteRecord {
  std::uint64_t call = 0;
  Revision base = 0;
  std::variant<Resource, PermitRecord, SharePage, IdempotencyPage> record;
};
struct DeleteRecord {
  std::uint64_t call = 0;
  Revision base = 0;
  ResourceKind kind = ResourceKind::kModel;
  std::string name;
};
struct ReadIdempotencyPage {
  std::uint32_t page = 0;
};
struct ReadResource {
  std::uint64_t call = 0;
  ResourceKind kind = ResourceKind::kModel;
  std::string name;
};

// The drain is complete: the process may exit.
struct DrainCompleted {};

using RouterEffect = std::variant<SendToEndpoint,
                                  CallerResponseHead,
                                  CallerResponseBytes,
                                  CallerResponseEnd,
                                  CallerRefused,
                                  OperatorReplied,
                                  ReconnectPeer,
                                  WriteRecord,
                                  DeleteRecord,
                                  ReadIdempotencyPage,
                                  ReadResource,
                                  StartWatch,
                                  StopWatch,
                                  ProbeFeed,
                                  PollVmList,
                                  LogEffect,
                                  DrainCompleted>;

}  // namespace boragepick
