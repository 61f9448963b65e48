// The parts of an HTTP/1.1 message, as they stand on the wire.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "common/header_field.h"

namespace boragepick {

struct HttpHead {
  // Requests.
  std::string method;
  std::string target;
  // Responses.
  unsigned status = 0;
  std::string reason;

  // 10 or 11.
  int version = 11;
  bool keep_alive = true;
  std::vector<HeaderField> fields;
};

struct HttpMessage {
  HttpHead head;
  std::string body;
};

// The value of the first field of that name, whatever its case.
const std::string* FindField(const std::vector<HeaderField>& fields,
                             std::string_view name);
bool SameFieldName(std::string_view left, std::string_view right);

// Whether a field concerns one connection only and is never passed on:
// Connection and its kin, framing, and what Connection names.
bool IsConnectionField(std::string_view name, const HttpHead& head);

// A whole request or response with a Content-Length; `fields` must hold no
// framing.
std::string SerializeRequest(std::string_view method,
                             std::string_view target,
                             const std::vector<HeaderField>& fields,
                             std::string_view body);

// How the body of a response is marked on the wire.
enum class BodyFraming { kLength, kChunked, kNone };

std::string SerializeResponseHead(unsigned status,
                                  const std::vector<HeaderField>& fields,
                                  BodyFraming framing,
                                  std::size_t length,
                                  bool keep_alive);
std::string SerializeChunk(std::string_view bytes);
inline constexpr std::string_view kLastChunk = "0\r\n\r\n";

// The reason phrase of a status.
std::string_view ReasonOf(unsigned status);

}  // namespace boragepick
