#include "frontends/caller_codec.h"

#include <algorithm>
#include <array>
#include <charconv>

#include "common/error.h"
#include "common/hashing.h"
#include "wire/record_codec.h"

namespace boragepick {

namespace {

constexpr std::string_view kBearerPrefix = "Bearer ";
constexpr std::size_t kMaxIdempotencyKeyLength = 256;
// Requests with the same leading bytes prefer the same agents, which may have
// the prompt prefix cached.
constexpr std::size_t kAffinityPrefixBytes = 512;
// Estimate used for the prompt length in tokens.
constexpr std::int64_t kBytesPerPromptToken = 4;
constexpr std::int64_t kMaxTimeoutMs = 86'400'000;
constexpr std::array<std::string_view, 5> kKeyParameters = {
    "key", "api_key", "api-key", "access_token", "token"};

[[noreturn]] void ThrowInvalid(const std::string& what) {
  throw Error(Step::kDecodeDocument, "caller", what);
}

Duration DecodeTimeout(const std::string& text, Duration default_timeout) {
  if (text.empty())
    return default_timeout;
  std::int64_t ms = 0;
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, ms);
  if (error != std::errc{} || stop != end || ms < 1 || ms > kMaxTimeoutMs)
    ThrowInvalid(
        "Boragepick-Deadline-Ms: expected a whole number from 1 to 86400000");
  return std::chrono::milliseconds(ms);
}

Priority DecodePriority(const std::string& text) {
  if (text.empty())
    return Priority::kInteractive;
  const std::optional<Priority> priority = kPriorityNames.Find(text);
  if (!priority)
    ThrowInvalid("Boragepick-Priority: expected one of " +
                 kPriorityNames.Choices());
  return *priority;
}

std::string DecodeKey(const std::string& authorization) {
  if (authorization.empty())
    return "";
  const bool bearer = authorization.starts_with(kBearerPrefix) &&
                      authorization.size() > kBearerPrefix.size();
  if (!bearer)
    ThrowInvalid("Authorization: expected 'Bearer KEY'");
  return Sha256Hex(authorization.substr(kBearerPrefix.size()));
}

bool IsJsonPost(const CallerRequest& request) {
  return request.method == Method::kPost &&
         request.content_type.starts_with("application/json");
}

// Reads the fields of a model request that routing needs. They stay empty for
// other JSON bodies.
void DecodeModelRequest(CallerRequest& request,
                        std::int64_t default_max_tokens) {
  wire::ChatRequest chat;
  FromJson(request.body, chat, UnknownFields::kIgnore, Step::kDecodeDocument,
           "caller");
  request.model = chat.model();
  request.stream = chat.stream();
  const std::int64_t requested_tokens =
      std::max(chat.max_tokens(), chat.max_completion_tokens());
  if (chat.max_tokens() < 0 || chat.max_completion_tokens() < 0)
    ThrowInvalid("max_tokens: expected at least 1");
  request.max_tokens =
      requested_tokens > 0 ? requested_tokens : default_max_tokens;
  request.prompt_tokens =
      static_cast<std::int64_t>(request.body.size()) / kBytesPerPromptToken;
  request.affinity = StableHash(
      std::string_view(request.body).substr(0, kAffinityPrefixBytes));
}

std::string QuoteJson(std::string_view text) {
  std::string quoted = "\"";
  for (const char c : text) {
    if (c == '"' || c == '\\')
      quoted += '\\';
    // Control characters are replaced, not escaped: messages are fixed texts,
    // so only details received from a peer can contain them, without meaning.
    quoted += static_cast<unsigned char>(c) < 0x20 ? ' ' : c;
  }
  return quoted + '"';
}

}  // namespace

std::string RemoveKeyParameters(std::string_view target) {
  const std::size_t query_start = target.find('?');
  std::string kept(target.substr(0, query_start));
  if (query_start == std::string_view::npos)
    return kept;
  std::string_view rest = target.substr(query_start + 1);
  char separator = '?';
  while (!rest.empty()) {
    const std::size_t end = rest.find('&');
    const std::string_view parameter = rest.substr(0, end);
    rest.remove_prefix(end == std::string_view::npos ? rest.size() : end + 1);
    const std::string_view name = parameter.substr(0, parameter.find('='));
    if (std::ranges::find(kKeyParameters, name) != kKeyParameters.end())
      continue;
    kept += separator;
    kept += parameter;
    separator = '&';
  }
  return kept;
}

CallerRequest DecodeCallerRequest(const CallerHttpRequest& http_request,
                                  RequestId id,
                                  const CallerDefaults& defaults) {
  const std::optional<Method> method = kMethodNames.Find(http_request.method);
  if (!method)
    ThrowInvalid("method: expected one of " + kMethodNames.Choices());
  if (http_request.headers.idempotency_key.size() > kMaxIdempotencyKeyLength)
    ThrowInvalid("Idempotency-Key: expected at most 256 characters");
  CallerRequest request{
      .id = id,
      .method = *method,
      .path = RemoveKeyParameters(http_request.target),
      .key_sha256 = DecodeKey(http_request.headers.authorization),
      .idempotency_key = http_request.headers.idempotency_key,
      .priority = DecodePriority(http_request.headers.priority),
      .timeout =
          DecodeTimeout(http_request.headers.deadline_ms, defaults.timeout),
      .content_type = http_request.headers.content_type,
      .body = http_request.body};
  if (IsJsonPost(request))
    DecodeModelRequest(request, defaults.max_tokens);
  return request;
}

std::string EncodeRefusal(const Refusal& refusal) {
  std::string json = "{\"error\":{\"code\":";
  json += QuoteJson(RefusalInfo(refusal.code).name);
  json += ",\"message\":" + QuoteJson(refusal.message);
  json +=
      ",\"ran\":" + QuoteJson(kExecutionStatusNames.Name(refusal.execution));
  return json + "}}\n";
}

std::string EncodeRefusalEvent(const Refusal& refusal) {
  std::string json = EncodeRefusal(refusal);
  json.pop_back();
  return "data: " + json + "\n\n";
}

}  // namespace boragepick
