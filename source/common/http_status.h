// Status codes of HTTP responses.
#pragma once

namespace boragepick {

// Whether an HTTP response can have this status (RFC 9110, section 15). A
// response with any other one is malformed.
constexpr bool IsValidStatus(unsigned status) {
  constexpr unsigned kFirst = 100;
  constexpr unsigned kLast = 599;
  return status >= kFirst && status <= kLast;
}

}  // namespace boragepick
