// HTTP on the callers' side, apart from any socket: turns the parts of an HTTP
// request into the core's request, and refusals into JSON.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "core/scheduling/request.h"

namespace boragepick {

// The header lines that matter; empty when absent.
struct CallerHeaders {
  std::string authorization;
  std::string idempotency_key;
  std::string deadline_ms;
  std::string priority;
  std::string content_type;
};

struct CallerHttpRequest {
  std::string method;
  // Path and query as sent.
  std::string target;
  CallerHeaders headers;
  std::string body;
};

struct CallerDefaults {
  Duration patience = std::chrono::seconds(300);
  std::int64_t max_tokens = 1024;
};

// Throws Error at Step::kDecodeDocument for a request that is malformed. Keys
// are hashed here and go no further.
CallerRequest DecodeCallerRequest(const CallerHttpRequest& call,
                                  RequestId id,
                                  const CallerDefaults& defaults);

// The target without the query parameters that could carry a key.
std::string RemoveKeyParameters(std::string_view target);

// {"error":{"code":..,"message":..,"ran":..}}
std::string EncodeRefusal(const Refusal& refusal);
// The refusal as the last event of a stream.
std::string EncodeRefusalEvent(const Refusal& refusal);

}  // namespace boragepick
