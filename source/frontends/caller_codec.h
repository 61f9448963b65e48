// Decodes callers' HTTP requests into CallerRequest and encodes refusals as
// JSON, without any socket.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "core/scheduling/request.h"

namespace boragepick {

// The request headers that are used; empty when absent.
struct CallerHeaders {
  std::string authorization;
  std::string idempotency_key;
  std::string deadline_ms;
  std::string priority;
  std::string content_type;
};

struct CallerHttpRequest {
  std::string method;
  // Path and query as received.
  std::string target;
  CallerHeaders headers;
  std::string body;
};

struct CallerDefaults {
  Duration timeout = std::chrono::seconds(300);
  std::int64_t max_tokens = 1024;
};

// Throws Error at Step::kDecodeDocument for a malformed request. The result
// contains the hash of the key, never the key itself.
CallerRequest DecodeCallerRequest(const CallerHttpRequest& http_request,
                                  RequestId id,
                                  const CallerDefaults& defaults);

// Removes the query parameters that may contain an API key from `target`.
std::string RemoveKeyParameters(std::string_view target);

// Returns {"error":{"code":..,"message":..,"ran":..}}.
std::string EncodeRefusal(const Refusal& refusal);
// Returns the refusal as the last event of a server-sent event stream.
std::string EncodeRefusalEvent(const Refusal& refusal);

}  // namespace boragepick
