// Decodes operators' HTTP requests and encodes the responses as JSON, without
// any socket.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "core/operator_messages.h"

namespace boragepick {

inline constexpr const char* kOperatorPrefix = "/boragepick/v1/";

struct OperatorHttpRequest {
  std::string method;
  // Path and query as received.
  std::string target;
  std::string body;
};

// Throws Error at Step::kDecodeDocument; the message names the invalid field.
OperatorAction DecodeOperatorRequest(const OperatorHttpRequest& request);

// Decodes one resource document. Throws Error at Step::kDecodeDocument.
PutResource DecodeResourceDocument(std::string_view json);

struct OperatorHttpResponse {
  std::uint32_t status = 200;
  std::string content_type = "application/json";
  std::string body;
};
OperatorHttpResponse EncodeOperatorReply(const OperatorReply& reply);

}  // namespace boragepick
