// A caller's request that is sent straight to an upstream, and the answers to
// it, apart from any protocol.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "common/header_field.h"
#include "common/time.h"
#include "core/scheduling/request.h"

namespace boragepick {

// A part of a prompt; equal ids stand for equal text.
struct PromptPart {
  std::uint64_t id = 0;
  std::uint32_t tokens = 0;
};

struct ServingRequest {
  RequestId id = 0;
  // The caller's own name for this attempt, for logs and for the upstream.
  std::string trace_id;
  std::string method;
  // Path and query.
  std::string target;
  std::string host;
  // SHA-256 of the caller's key; empty without one.
  std::string key_sha256;
  // The time that the caller will wait; nothing if it does not say.
  std::optional<Duration> patience;

  // Requests to engines; empty for a plain service.
  std::string model;
  std::string adapter;
  // Absent where the caller does not count.
  std::optional<std::int64_t> prompt_tokens;
  std::optional<std::int64_t> max_tokens;
  std::vector<PromptPart> prompt;
  // The caller has the stream's events up to this one.
  std::optional<std::uint64_t> resume_after;

  // Passed on as they came.
  std::vector<HeaderField> headers;
  std::string body;
};

// The beginning of an upstream's answer.
struct UpstreamHead {
  unsigned status = 0;
  // The upstream says that it did not run the request.
  bool not_executed = false;
  // It comes from another worker than the one that was meant, which is gone.
  bool other_worker = false;
  // It carries the upstream's signature; a success without one is none.
  bool is_signed = false;
  // Passed on as they came.
  std::vector<HeaderField> headers;
};

// Why an attempt failed without an answer.
enum class AttemptFailure { kNotSent, kReset, kMalformed };

inline constexpr EnumTable kAttemptFailureNames{std::array{
    EnumName<AttemptFailure>{AttemptFailure::kNotSent, "not_sent"},
    EnumName<AttemptFailure>{AttemptFailure::kReset, "reset"},
    EnumName<AttemptFailure>{AttemptFailure::kMalformed, "malformed"},
}};

}  // namespace boragepick
