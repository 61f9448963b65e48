// The events and effects of the agent's state machine.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "common/enum_table.h"
#include "core/feed/feed_node.h"
#include "core/operator_messages.h"
#include "core/peer_messages.h"
#include "core/placement/memory_accounting.h"
#include "core/router/router_messages.h"

namespace boragepick {

// Identifies one call to the upstream.
using RunNumber = std::uint64_t;

// --- Events
// ---------------------------------------------------------------------------------------

struct UpstreamHead {
  RunNumber run = 0;
  ResponseHead head;
};
struct UpstreamBytes {
  RunNumber run = 0;
  std::string bytes;
};
// kNotSent: the upstream cannot have received the request. kFailed: the
// connection broke after the request was sent.
enum class UpstreamEnd { kComplete, kNotSent, kFailed };

inline constexpr EnumTable kUpstreamEndNames{std::array{
    EnumName<UpstreamEnd>{UpstreamEnd::kComplete, "complete"},
    EnumName<UpstreamEnd>{UpstreamEnd::kNotSent, "not_sent"},
    EnumName<UpstreamEnd>{UpstreamEnd::kFailed, "failed"},
}};

struct UpstreamEnded {
  RunNumber run = 0;
  UpstreamEnd end = UpstreamEnd::kComplete;
  std::string detail;
};

// kDone: the order was carried out. kRefused: it was certainly not carried out.
// kUnknown: the engine did not answer.
enum class OrderResult { kDone, kRefused, kUnknown };

inline constexpr EnumTable kOrderResultNames{std::array{
    EnumName<OrderResult>{OrderResult::kDone, "done"},
    EnumName<OrderResult>{OrderResult::kRefused, "refused"},
    EnumName<OrderResult>{OrderResult::kUnknown, "unknown"},
}};

struct OrderAnswered {
  std::uint64_t fence = 0;
  OrderResult result = OrderResult::kUnknown;
  std::string detail;
};
struct InventoryReceived {
  // The last fence that was issued before the inventory was requested.
  std::uint64_t fence_at_request = 0;
  // Whether the engine answered.
  bool answered = false;
  // Identifies the engine's process; changes when the engine restarts.
  std::string engine_run;
  std::vector<InventoryItem> items;
};

using AgentEvent = std::variant<PeerMessageReceived,
                                UpstreamHead,
                                UpstreamBytes,
                                UpstreamEnded,
                                OrderAnswered,
                                InventoryReceived,
                                OperatorRequestReceived,
                                DrainRequested,
                                Ticked>;

// --- Effects
// --------------------------------------------------------------------------------------

struct StartRun {
  RunNumber run = 0;
  RunRequest request;
};
struct CancelUpstreamRun {
  RunNumber run = 0;
};
// Permits to read the response up to `response_limit` bytes in all; see
// RunRequest.
struct ExtendUpstreamRun {
  RunNumber run = 0;
  std::uint64_t response_limit = 0;
};

enum class OrderKind { kLoadModel, kUnloadModel, kLoadAdapter, kUnloadAdapter };

inline constexpr EnumTable kOrderKindNames{std::array{
    EnumName<OrderKind>{OrderKind::kLoadModel, "load_model"},
    EnumName<OrderKind>{OrderKind::kUnloadModel, "unload_model"},
    EnumName<OrderKind>{OrderKind::kLoadAdapter, "load_adapter"},
    EnumName<OrderKind>{OrderKind::kUnloadAdapter, "unload_adapter"},
}};

// An order to the engine. Its fence is higher than that of every earlier order.
struct SendOrder {
  std::uint64_t fence = 0;
  OrderKind kind = OrderKind::kLoadModel;
  std::string name;
  std::string weights;
  // Set for adapters only.
  std::string base_model;
  std::uint64_t memory_mb = 0;
};
struct RequestInventory {
  std::uint64_t fence = 0;
};

using AgentEffect = std::variant<SendToEndpoint,
                                 ReconnectPeer,
                                 StartRun,
                                 CancelUpstreamRun,
                                 ExtendUpstreamRun,
                                 SendOrder,
                                 RequestInventory,
                                 OperatorReplied,
                                 LogEffect,
                                 DrainCompleted>;

}  // namespace boragepick
