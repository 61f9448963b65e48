#include "frontends/http/http_parser.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>
#include <limits>
#include <utility>

#include "common/http_status.h"

namespace boragepick {

namespace {

namespace http = boost::beast::http;
// Memory is not reserved for the rest of an announced body before it arrives.
constexpr std::uint64_t kMaxReservedBytes = 64 << 10;

using boost::beast::error_code;
using boost::beast::string_view;

std::string ToString(string_view text) {
  return {text.data(), text.size()};
}

ParseError ToParseError(const error_code& error) {
  if (error == http::error::header_limit)
    return ParseError::kHeaderTooLarge;
  if (error == http::error::body_limit)
    return ParseError::kBodyTooLarge;
  return ParseError::kMalformed;
}

}  // namespace

template <HttpDirection kDirection>
class HttpParser<kDirection>::Impl final
    : public http::basic_parser<kDirection == HttpDirection::kRequest> {
 public:
  explicit Impl(const ParserLimits& limits) {
    this->eager(true);
    this->header_limit(limits.max_header_bytes);
    max_unparsed_bytes = limits.max_header_bytes;
    // Boost.Beast compares the length with an absent limit as if it were less
    // than any length.
    this->body_limit(limits.max_body_bytes == 0
                         ? std::numeric_limits<std::uint64_t>::max()
                         : limits.max_body_bytes);
    this->skip(limits.skip_body);
  }

  HttpHead head;
  std::string body;
  ParseError failure = ParseError::kNone;
  // Limit on unparsed bytes of an incomplete line.
  std::size_t max_unparsed_bytes = 0;

 private:
  void on_request_impl(http::verb /*method*/,
                       string_view method,
                       string_view target,
                       int version,
                       error_code& error) override {
    error = {};
    head.method = ToString(method);
    head.target = ToString(target);
    head.version = version;
  }

  void on_response_impl(int status,
                        string_view reason,
                        int version,
                        error_code& error) override {
    error = {};
    head.status = static_cast<unsigned>(status);
    if (!IsValidStatus(head.status))
      error = http::error::bad_status;
    head.reason = ToString(reason);
    head.version = version;
  }

  void on_field_impl(http::field field,
                     string_view name,
                     string_view value,
                     error_code& error) override {
    error = {};
    // With any other coding the end of the body is ambiguous.
    const bool unsupported_coding = field == http::field::transfer_encoding &&
                                    !boost::beast::iequals(value, "chunked");
    if (unsupported_coding) {
      error = http::error::bad_transfer_encoding;
      return;
    }
    head.fields.push_back({ToString(name), ToString(value)});
  }

  void on_header_impl(error_code& error) override { error = {}; }

  void on_body_init_impl(const boost::optional<std::uint64_t>& length,
                         error_code& error) override {
    error = {};
    if (length)
      body.reserve(std::min(*length, kMaxReservedBytes));
  }

  std::size_t on_body_impl(string_view bytes, error_code& error) override {
    error = {};
    body.append(bytes.data(), bytes.size());
    return bytes.size();
  }

  void on_chunk_header_impl(std::uint64_t /*size*/,
                            string_view /*extensions*/,
                            error_code& error) override {
    error = {};
  }

  std::size_t on_chunk_body_impl(std::uint64_t /*remain*/,
                                 string_view bytes,
                                 error_code& error) override {
    return on_body_impl(bytes, error);
  }

  void on_finish_impl(error_code& error) override { error = {}; }
};

template <HttpDirection kDirection>
HttpParser<kDirection>::HttpParser(const ParserLimits& limits)
    : m_impl(std::make_unique<Impl>(limits)) {}

template <HttpDirection kDirection>
HttpParser<kDirection>::~HttpParser() = default;
template <HttpDirection kDirection>
HttpParser<kDirection>::HttpParser(HttpParser&&) noexcept = default;
template <HttpDirection kDirection>
HttpParser<kDirection>& HttpParser<kDirection>::operator=(
    HttpParser&&) noexcept = default;

template <HttpDirection kDirection>
void HttpParser<kDirection>::Consume(std::string& bytes) {
  std::size_t consumed = 0;
  while (consumed < bytes.size() && !m_impl->is_done() &&
         m_impl->failure == ParseError::kNone) {
    error_code error;
    const std::size_t parsed =
        m_impl->put(boost::asio::const_buffer(bytes.data() + consumed,
                                              bytes.size() - consumed),
                    error);
    consumed += parsed;
    if (error == http::error::need_more)
      break;
    if (error)
      m_impl->failure = ToParseError(error);
  }
  bytes.erase(0, consumed);
  // Boost.Beast limits the size of the header, but not of the lines between
  // chunks.
  const bool too_long = !m_impl->is_done() &&
                        m_impl->failure == ParseError::kNone &&
                        bytes.size() > m_impl->max_unparsed_bytes;
  if (too_long)
    m_impl->failure = ParseError::kHeaderTooLarge;
  if (m_impl->is_header_done())
    m_impl->head.keep_alive = m_impl->keep_alive();
}

template <HttpDirection kDirection>
void HttpParser<kDirection>::HandleEndOfStream() {
  error_code error;
  if (m_impl->is_done() || m_impl->failure != ParseError::kNone)
    return;
  m_impl->put_eof(error);
  if (error)
    m_impl->failure = ParseError::kMalformed;
}

template <HttpDirection kDirection>
bool HttpParser<kDirection>::head_done() const {
  return m_impl->is_header_done();
}

template <HttpDirection kDirection>
bool HttpParser<kDirection>::done() const {
  return m_impl->is_done();
}

template <HttpDirection kDirection>
ParseError HttpParser<kDirection>::error() const {
  return m_impl->failure;
}

template <HttpDirection kDirection>
const HttpHead& HttpParser<kDirection>::head() const {
  return m_impl->head;
}

template <HttpDirection kDirection>
std::optional<std::uint64_t> HttpParser<kDirection>::content_length() const {
  const auto length = m_impl->content_length();
  return length ? std::optional<std::uint64_t>(*length) : std::nullopt;
}

template <HttpDirection kDirection>
std::string HttpParser<kDirection>::TakeBody() {
  return std::exchange(m_impl->body, {});
}

template class HttpParser<HttpDirection::kRequest>;
template class HttpParser<HttpDirection::kResponse>;

}  // namespace boragepick
