// Reads HTTP/1.1 messages as their bytes come, with Boost.Beast's parser. It
// refuses what could be read in two ways (both framings, odd transfer codings).
#pragma once

#include <cstdint>
#include <memory>
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
  // 0: any size.
  std::uint64_t max_body_bytes = 0;
  // The answer to a HEAD request has no body whatever its head says.
  bool without_body = false;
};

// Parses one message; take a new one for the next.
template <HttpDirection kDirection>
class HttpParser {
 public:
  explicit HttpParser(const ParserLimits& limits);
  ~HttpParser();
  HttpParser(HttpParser&&) noexcept;
  HttpParser& operator=(HttpParser&&) noexcept;

  // Takes what it can from the front of `bytes`; the rest is left there.
  void Consume(std::string& bytes);
  // The connection ended in order: completes a message without a length.
  void EndOfStream();

  bool head_done() const;
  bool done() const;
  ParseError error() const;
  const HttpHead& head() const;
  // Body bytes since the last call.
  std::string TakeBody();

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

using RequestParser = HttpParser<HttpDirection::kRequest>;
using ResponseParser = HttpParser<HttpDirection::kResponse>;

}  // namespace boragepick
