#include "frontends/http/http_message.h"

#include <strings.h>

#include <algorithm>
#include <array>
#include <charconv>

namespace boragepick {

namespace {

constexpr std::array<std::string_view, 9> kHopByHopFields{
    "connection",       "keep-alive",
    "proxy-connection", "te",
    "trailer",          "transfer-encoding",
    "upgrade",          "proxy-authenticate",
    "content-length"};

struct StatusReason {
  unsigned status;
  std::string_view reason;
};

constexpr std::array<StatusReason, 16> kReasons{{
    {200, "OK"},
    {400, "Bad Request"},
    {401, "Unauthorized"},
    {403, "Forbidden"},
    {404, "Not Found"},
    {405, "Method Not Allowed"},
    {408, "Request Timeout"},
    {413, "Content Too Large"},
    {421, "Misdirected Request"},
    {429, "Too Many Requests"},
    {431, "Request Header Fields Too Large"},
    {500, "Internal Server Error"},
    {501, "Not Implemented"},
    {502, "Bad Gateway"},
    {503, "Service Unavailable"},
    {504, "Gateway Timeout"},
}};

// Whether a comma-separated list contains `name`.
bool ListContains(std::string_view list, std::string_view name) {
  while (!list.empty()) {
    const std::size_t comma = list.find(',');
    std::string_view item = list.substr(0, comma);
    while (!item.empty() && item.front() == ' ')
      item.remove_prefix(1);
    while (!item.empty() && item.back() == ' ')
      item.remove_suffix(1);
    if (IsSameFieldName(item, name))
      return true;
    if (comma == std::string_view::npos)
      return false;
    list.remove_prefix(comma + 1);
  }
  return false;
}

void AppendFields(std::string& out, const std::vector<HeaderField>& fields) {
  for (const HeaderField& field : fields) {
    out += field.name;
    out += ": ";
    out += field.value;
    out += "\r\n";
  }
}

}  // namespace

bool IsSameFieldName(std::string_view left, std::string_view right) {
  return left.size() == right.size() &&
         strncasecmp(left.data(), right.data(), left.size()) == 0;
}

const std::string* FindField(const std::vector<HeaderField>& fields,
                             std::string_view name) {
  for (const HeaderField& field : fields) {
    if (IsSameFieldName(field.name, name))
      return &field.value;
  }
  return nullptr;
}

bool IsHopByHopField(std::string_view name, const HttpHead& head) {
  const auto has_name = [name](std::string_view other) {
    return IsSameFieldName(name, other);
  };
  if (std::ranges::any_of(kHopByHopFields, has_name))
    return true;
  return std::ranges::any_of(head.fields, [name](const HeaderField& field) {
    return IsSameFieldName(field.name, "connection") &&
           ListContains(field.value, name);
  });
}

std::string SerializeRequestHead(std::string_view method,
                                 std::string_view target,
                                 const std::vector<HeaderField>& fields,
                                 std::size_t body_bytes) {
  std::string out;
  out.reserve(512);
  out.append(method).append(" ").append(target).append(" HTTP/1.1\r\n");
  AppendFields(out, fields);
  const bool method_expects_body =
      method != "GET" && method != "HEAD" && method != "DELETE";
  if (body_bytes > 0 || method_expects_body)
    out += "Content-Length: " + std::to_string(body_bytes) + "\r\n";
  out += "\r\n";
  return out;
}

std::string SerializeRequest(std::string_view method,
                             std::string_view target,
                             const std::vector<HeaderField>& fields,
                             std::string_view body) {
  std::string out = SerializeRequestHead(method, target, fields, body.size());
  out += body;
  return out;
}

std::string SerializeResponseHead(unsigned status,
                                  const std::vector<HeaderField>& fields,
                                  BodyFraming framing,
                                  std::size_t length,
                                  bool keep_alive) {
  std::string out;
  out.reserve(512);
  out += "HTTP/1.1 " + std::to_string(status) + " ";
  out += ReasonPhrase(status);
  out += "\r\n";
  AppendFields(out, fields);
  if (framing == BodyFraming::kChunked)
    out += "Transfer-Encoding: chunked\r\n";
  else if (framing == BodyFraming::kLength)
    out += "Content-Length: " + std::to_string(length) + "\r\n";
  if (!keep_alive)
    out += "Connection: close\r\n";
  out += "\r\n";
  return out;
}

std::string SerializeChunk(std::string_view bytes) {
  std::array<char, 16> size;
  const auto [end, error] =
      std::to_chars(size.data(), size.data() + size.size(), bytes.size(), 16);
  std::string out(size.data(), end);
  out += "\r\n";
  out += bytes;
  out += "\r\n";
  return out;
}

std::string_view ReasonPhrase(unsigned status) {
  const auto row = std::ranges::find(kReasons, status, &StatusReason::status);
  return row == kReasons.end() ? "Status" : row->reason;
}

}  // namespace boragepick
