// A caller's request, its response head and its refusal, independent of the
// protocol.
#pragma once

#include <cstdint>
#include <string>

#include "common/enum_table.h"
#include "common/time.h"
#include "core/scheduling/fair_queue.h"

namespace boragepick {

// Unique within one router.
using RequestId = std::uint64_t;

// Identifies a part of a prompt; parts with equal ids have equal text.
using PromptPartId = std::uint64_t;

enum class Method { kGet, kHead, kPost, kPut, kPatch, kDelete };

inline constexpr EnumTable kMethodNames{std::array{
    EnumName<Method>{Method::kGet, "GET"},
    EnumName<Method>{Method::kHead, "HEAD"},
    EnumName<Method>{Method::kPost, "POST"},
    EnumName<Method>{Method::kPut, "PUT"},
    EnumName<Method>{Method::kPatch, "PATCH"},
    EnumName<Method>{Method::kDelete, "DELETE"},
}};

struct CallerRequest {
  RequestId id = 0;
  Method method = Method::kPost;
  // Path and query; a key in the query is removed.
  std::string path;
  // SHA-256 of the caller's key; empty without one. The key itself is never
  // passed to the core.
  std::string key_sha256;
  std::string idempotency_key;
  Priority priority = Priority::kInteractive;
  // Time to the deadline on arrival.
  Duration timeout = std::chrono::seconds(60);
  std::string content_type;
  std::string body;

  // From the body of a request to a model.
  std::string model;
  bool stream = false;
  // Estimated length of the prompt.
  std::int64_t prompt_tokens = 0;
  // Most tokens to generate.
  std::int64_t max_tokens = 0;
  // Hash of the prompt's prefix.
  std::uint64_t affinity = 0;
};

// Whether a refused request has been executed.
enum class ExecutionStatus { kNotRun, kRan, kUnknown };

inline constexpr EnumTable kExecutionStatusNames{std::array{
    EnumName<ExecutionStatus>{ExecutionStatus::kNotRun, "not_run"},
    EnumName<ExecutionStatus>{ExecutionStatus::kRan, "ran"},
    EnumName<ExecutionStatus>{ExecutionStatus::kUnknown, "unknown"},
}};

// Stable codes of refusals; docs/INTERFACES.md lists them.
enum class RefusalCode {
  kBadRequest,
  kKeyMissing,
  kKeyUnknown,
  kRouteForbidden,
  kRouteUnknown,
  kModelUnknown,
  kIdempotencyKeyMissing,
  kIdempotencyKeyReused,
  kOverBurst,
  kRateLimited,
  kDeadline,
  kNoCapacity,
  kUpstreamFailed,
  kPoisoned,
  kIdempotencyUnavailable,
  kIdempotencyOutcomeUnknown,
  kIdempotencyAnswerNotKept,
  kConfigurationMissing,
  kKeyRevoked,
};

struct RefusalCodeRow {
  RefusalCode value;
  std::string_view name;
  std::uint32_t http_status;
};

// Returns the name and the HTTP status of `code`.
const RefusalCodeRow& RefusalInfo(RefusalCode code);

struct Refusal {
  RefusalCode code = RefusalCode::kBadRequest;
  ExecutionStatus execution = ExecutionStatus::kNotRun;
  std::string message;
  // Zero if the caller gets no advice to retry.
  Duration retry_after = Duration::zero();
};

struct ResponseHead {
  std::uint32_t status = 200;
  std::string content_type;
};

}  // namespace boragepick
