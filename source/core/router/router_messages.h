// The events and effects of the router machine.
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

// --- Events
// ---------------------------------------------------------------------------------------

struct CallerArrived {
  CallerRequest request;
};
// The caller closed its connection.
struct CallerGone {
  RequestId id = 0;
};
struct OperatorAsked {
  OperatorRequest request;
};

// What the platform's service answered; `call` repeats the number of the
// effect.
struct RecordWritten {
  std::uint64_t call = 0;
  WriteOutcome outcome = WriteOutcome::kUnknown;
  Revision revision = 0;
};
struct IdempotencyPageRead {
  std::uint32_t page = 0;
  // Whether the service answered.
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

struct DrainAsked {};
struct Ticked {};

using RouterEvent = std::variant<CallerArrived,
                                 CallerGone,
                                 PeerReceived,
                                 OperatorAsked,
                                 RecordWritten,
                                 IdempotencyPageRead,
                                 ResourceRead,
                                 FeedReceived,
                                 FeedProbed,
                                 WatchLost,
                                 VmListReceived,
                                 DrainAsked,
                                 Ticked>;

// --- Effects
// --------------------------------------------------------------------------------------

// The caller's answer, in this order: one head, bytes, one end; or one refusal.
struct CallerHead {
  RequestId id = 0;
  AnswerHead head;
  // Streamed answers are sent as they come.
  bool stream = false;
};
struct CallerBytes {
  RequestId id = 0;
  std::string bytes;
};
struct CallerEnd {
  RequestId id = 0;
};
struct CallerRefused {
  RequestId id = 0;
  Refusal refusal;
  // The head was sent already: the refusal ends the stream as an error.
  bool midway = false;
};
struct OperatorAnswered {
  std::uint64_t id = 0;
  OperatorReply reply;
};

// Open connections to `endpoint` may have gone silent: the next message takes a
// new one.
struct RenewPeer {
  std::string endpoint;
};

// A write by compare-and-swap: only if the stored revision is `base`; 0: only
// if there is none.
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

// Nothing is left to do: the process may end.
struct DrainDone {};

using RouterEffect = std::variant<SendToEndpoint,
                                  CallerHead,
                                  CallerBytes,
                                  CallerEnd,
                                  CallerRefused,
                                  OperatorAnswered,
                                  RenewPeer,
                                  WriteRecord,
                                  DeleteRecord,
                                  ReadIdempotencyPage,
                                  ReadResource,
                                  StartWatch,
                                  StopWatch,
                                  ProbeFeed,
                                  PollVmList,
                                  LogEffect,
                                  DrainDone>;

}  // namespace boragepick
