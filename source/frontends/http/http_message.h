// HTTP/1.1 messages: header fields and serialization.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "common/header_field.h"

namespace boragepick {

struct HttpHead {
  // Set for requests.
  std::string method;
  std::string target;
  // Set for responses.
  unsigned status = 0;
  std::string reason;

  // 10 for HTTP/1.0, 11 for HTTP/1.1.
  int version = 11;
  bool keep_alive = true;
  std::vector<HeaderField> fields;
};

struct HttpMessage {
  HttpHead head;
  std::string body;
};

// The value of the first field with that name, or null. Names are compared
// without regard to case.
const std::string* FindField(const std::vector<HeaderField>& fields,
                             std::string_view name);
bool IsSameFieldName(std::string_view left, std::string_view right);

// Whether a field applies to a single connection and must not be forwarded:
// Connection and related fields, framing fields, and the fields that Connection
// lists.
bool IsHopByHopField(std::string_view name, const HttpHead& head);

// Returns the head of a request, with a Content-Length if it has a body or its
// method expects one. `fields` must not contain framing fields.
std::string SerializeRequestHead(std::string_view method,
                                 std::string_view target,
                                 const std::vector<HeaderField>& fields,
                                 std::size_t body_bytes);
// The same with the body.
std::string SerializeRequest(std::string_view method,
                             std::string_view target,
                             const std::vector<HeaderField>& fields,
                             std::string_view body);

// How the length of a response body is given on the wire.
enum class BodyFraming { kLength, kChunked, kNone };

std::string SerializeResponseHead(unsigned status,
                                  const std::vector<HeaderField>& fields,
                                  BodyFraming framing,
                                  std::size_t length,
                                  bool keep_alive);
std::string SerializeChunk(std::string_view bytes);
inline constexpr std::string_view kLastChunk = "0\r\n\r\n";

std::string_view ReasonPhrase(unsigned status);

}  // namespace boragepick
