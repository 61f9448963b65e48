// A caller's request and the answers to it, apart from any protocol.
#pragma once

#include <cstdint>
#include <string>

#include "common/enum_table.h"
#include "common/time.h"
#include "core/scheduling/fair_queue.h"

namespace boragepick {

// Numbers a request at its router.
using RequestId = std::uint64_t;

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
  // Path and query, without any key.
  std::string path;
  // SHA-256 of the caller's key; empty without one. The key itself never comes
  // here.
  std::string key_sha256;
  std::string idempotency_key;
  Priority priority = Priority::kInteractive;
  // Time left when the request came.
  Duration timeout = std::chrono::seconds(60);
  std::string content_type;
  std::string body;

  // From the body of a request to a model.
  std::string model;
  bool stream = false;
  // Estimated tokens of the prompt and at most to be generated.
  std::int64_t prompt_tokens = 0;
  std::int64_t max_tokens = 0;
  // Hash of the beginning of the prompt.
  std::uint64_t affinity = 0;
};

// Whether a refused request ran.
enum class ExecutionStatus { kNotRun, kRan, kUnknown };

inline constexpr EnumTable kExecutionStatusNames{std::array{
    EnumName<ExecutionStatus>{ExecutionStatus::kNotRun, "not_run"},
    EnumName<ExecutionStatus>{ExecutionStatus::kRan, "ran"},
    EnumName<ExecutionStatus>{ExecutionStatus::kUnknown, "unknown"},
}};

// The stable codes of refusals; docs/INTERFACES.md lists them.
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

// Name and HTTP status of each code.
const RefusalCodeRow& RefusalInfo(RefusalCode code);

struct Refusal {
  RefusalCode code = RefusalCode::kBadRequest;
  ExecutionStatus execution = ExecutionStatus::kNotRun;
  std::string message;
  // 0 for none.
  Duration retry_after = Duration::zero();
};

struct ResponseHead {
  std::uint32_t status = 200;
  std::string content_type;
};

}  // namespace boragepick
