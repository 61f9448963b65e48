// An incremental HTTP/1.1 parser on top of Boost.Beast's. It rejects messages
// whose length is ambiguous: those with both Content-Length and
// Transfer-Encoding, and those with a transfer coding other than chunked.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "common/enum_table.h"
#include "frontends/http/http_message.h"

namespace boragepick {

enum class HttpDirection { kRequest, kResponse };

enum class ParseError {
  kNone,
  kMalformed,
  kHeaderTooLarge,
  kBodyTooLarge,
};

inline constexpr EnumTable kParseErrorNames{std::array{
    EnumName<ParseError>{ParseError::kNone, "none"},
    EnumName<ParseError>{ParseError::kMalformed, "malformed"},
    EnumName<ParseError>{ParseError::kHeaderTooLarge, "header_too_large"},
    EnumName<ParseError>{ParseError::kBodyTooLarge, "body_too_large"},
}};

struct ParserLimits {
  std::uint32_t max_header_bytes = 64 << 10;
  // 0 for no limit.
  std::uint64_t max_body_bytes = 0;
  // Set for the response to a HEAD request, which has no body whatever its
  // header says.
  bool skip_body = false;
};

// Parses a single message; each message needs a new parser.
template <HttpDirection kDirection>
class HttpParser {
 public:
  explicit HttpParser(const ParserLimits& limits);
  ~HttpParser();
  HttpParser(HttpParser&&) noexcept;
  HttpParser& operator=(HttpParser&&) noexcept;

  // Parses and removes bytes from the front of `bytes`. Bytes of an incomplete
  // element and those after the end of the message stay there.
  void Consume(std::string& bytes);
  // Call when the peer has closed the connection: completes a message without a
  // length, and makes any other unfinished message malformed.
  void HandleEndOfStream();

  bool head_done() const;
  bool done() const;
  ParseError error() const;
  const HttpHead& head() const;
  // The length of the body, if the head gives one.
  std::optional<std::uint64_t> content_length() const;
  // Returns the body bytes parsed since the last call.
  std::string TakeBody();

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

using RequestParser = HttpParser<HttpDirection::kRequest>;
using ResponseParser = HttpParser<HttpDirection::kResponse>;

}  // namespace boragepick
