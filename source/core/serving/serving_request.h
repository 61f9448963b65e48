// A caller's request to an upstream and the head of the upstream's response,
// independent of their encoding.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "common/header_field.h"
#include "common/time.h"
#include "core/scheduling/request.h"

namespace boragepick {

struct PromptPart {
  PromptPartId id = 0;
  std::uint32_t tokens = 0;
};

// Returns the id in hexadecimal, as in the callers' requests.
std::string PromptPartName(PromptPartId id);

struct ServingRequest {
  RequestId id = 0;
  // The request id chosen by the caller; logged and passed to the upstream.
  std::string trace_id;
  std::string method;
  // Path and query.
  std::string target;
  std::string host;
  // SHA-256 of the caller's key; empty if it sent none.
  std::string key_sha256;
  // How long the caller waits for its response, if it says so.
  std::optional<Duration> timeout;

  // Set for requests to engines, empty for a plain service.
  std::string model;
  std::string adapter;
  // Absent if the caller doesn't send token counts.
  std::optional<std::int64_t> prompt_tokens;
  std::optional<std::int64_t> max_tokens;
  std::vector<PromptPart> prompt;
  // The last event of the stream that the caller already has.
  std::optional<std::uint64_t> resume_after;

  // Forwarded unchanged.
  std::vector<HeaderField> headers;
  std::string body;
};

// The head of an upstream's response.
struct UpstreamResponseHead {
  unsigned status = 0;
  // The upstream states that it did not run the request.
  bool not_executed = false;
  // Another worker than the intended one responded: the intended one has left
  // and its address was reused.
  bool other_worker = false;
  // The response carries the upstream's signature. A success without one is
  // treated as a failure.
  bool is_signed = false;
  // The upstream says that it is leaving: it wants no further request.
  bool leaving = false;
  // The upstream rejected the request and wants no request from this router for
  // this long.
  std::optional<Duration> retry_after;
  // Forwarded unchanged.
  std::vector<HeaderField> headers;
};

constexpr bool IsSuccess(unsigned status) {
  return status >= 200 && status < 300;
}

// Why a caller gets no complete response.
enum class DisconnectReason { kClosedByCaller, kNotReading };

inline constexpr EnumTable kDisconnectReasonNames{std::array{
    EnumName<DisconnectReason>{DisconnectReason::kClosedByCaller,
                               "closed_by_caller"},
    EnumName<DisconnectReason>{DisconnectReason::kNotReading, "not_reading"},
}};

// Why an attempt failed without a complete response.
enum class AttemptFailure { kNotSent, kReset, kMalformed };

inline constexpr EnumTable kAttemptFailureNames{std::array{
    EnumName<AttemptFailure>{AttemptFailure::kNotSent, "not_sent"},
    EnumName<AttemptFailure>{AttemptFailure::kReset, "reset"},
    EnumName<AttemptFailure>{AttemptFailure::kMalformed, "malformed"},
}};

}  // namespace boragepick
