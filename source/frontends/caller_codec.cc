#include "frontends/caller_codec.h"

#include <algorithm>
#include <array>
#include <charconv>

#include "common/error.h"
#include "common/hashing.h"
#include "wire/record_codec.h"

namespace boragepick {

namespace {

constexpr std::string_view kBearer = "Bearer ";
constexpr std::size_t kMaxIdempotencyKey = 256;
// The beginning of a prompt that decides which agent may have it cached.
constexpr std::size_t kAffinityBytes = 512;
// A prompt of so many bytes is estimated as one token.
constexpr std::int64_t kBytesPerToken = 4;
constexpr std::int64_t kMaxPatienceMs = 86'400'000;
constexpr std::array<std::string_view, 5> kKeyParameters = {
    "key", "api_key", "api-key", "access_token", "token"};

[[noreturn]] void Reject(const std::string& what) {
  throw Error(Step::kDecodeDocument, "caller", what);
}

Duration DecodePatience(const std::string& text, Duration otherwise) {
  if (text.empty())
    return otherwise;
  std::int64_t ms = 0;
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, ms);
  if (error != std::errc{} || stop != end || ms < 1 || ms > kMaxPatienceMs)
    Reject(
        "Boragepick-Deadline-Ms: expected a whole number from 1 to 86400000");
  return std::chrono::milliseconds(ms);
}

Priority DecodePriority(const std::string& text) {
  if (text.empty())
    return Priority::kInteractive;
  const std::optional<Priority> priority = kPriorityNames.Find(text);
  if (!priority)
    Reject("Boragepick-Priority: expected one of " + kPriorityNames.Choices());
  return *priority;
}

std::string DecodeKey(const std::string& authorization) {
  if (authorization.empty())
    return "";
  const bool bearer = authorization.starts_with(kBearer) &&
                      authorization.size() > kBearer.size();
  if (!bearer)
    Reject("Authorization: expected 'Bearer KEY'");
  return Sha256Hex(authorization.substr(kBearer.size()));
}

bool LooksLikeModelCall(const CallerRequest& request) {
  return request.method == Method::kPost &&
         request.content_type.starts_with("application/json");
}

// Reads what the router needs of a request to a model; other JSON bodies leave
// it empty.
void DecodeModelBody(CallerRequest& request, std::int64_t default_max_tokens) {
  wire::ChatRequest chat;
  FromJson(request.body, chat, UnknownFields::kIgnore, Step::kDecodeDocument,
           "caller");
  request.model = chat.model();
  request.stream = chat.stream();
  const std::int64_t wanted =
      std::max(chat.max_tokens(), chat.max_completion_tokens());
  if (chat.max_tokens() < 0 || chat.max_completion_tokens() < 0)
    Reject("max_tokens: expected at least 1");
  request.max_tokens = wanted > 0 ? wanted : default_max_tokens;
  request.prompt_tokens =
      static_cast<std::int64_t>(request.body.size()) / kBytesPerToken;
  request.affinity =
      StableHash(std::string_view(request.body).substr(0, kAffinityBytes));
}

std::string JsonQuoted(std::string_view text) {
  std::string quoted = "\"";
  for (const char c : text) {
    if (c == '"' || c == '\\')
      quoted += '\\';
    // why: messages are the project's own text; control characters can only
    // come from a peer and carry no meaning
    quoted += static_cast<unsigned char>(c) < 0x20 ? ' ' : c;
  }
  return quoted + '"';
}

}  // namespace

std::string RemoveKeyParameters(std::string_view target) {
  const std::size_t question = target.find('?');
  std::string path(target.substr(0, question));
  if (question == std::string_view::npos)
    return path;
  std::string_view rest = target.substr(question + 1);
  char separator = '?';
  while (!rest.empty()) {
    const std::size_t end = rest.find('&');
    const std::string_view parameter = rest.substr(0, end);
    rest.remove_prefix(end == std::string_view::npos ? rest.size() : end + 1);
    const std::string_view name = parameter.substr(0, parameter.find('='));
    if (std::ranges::find(kKeyParameters, name) != kKeyParameters.end())
      continue;
    path += separator;
    path += parameter;
    separator = '&';
  }
  return path;
}

CallerRequest DecodeCallerRequest(const CallerHttpRequest& call,
                                  RequestId id,
                                  const CallerDefaults& defaults) {
  const std::optional<Method> method = kMethodNames.Find(call.method);
  if (!method)
    Reject("method: expected one of " + kMethodNames.Choices());
  if (call.headers.idempotency_key.size() > kMaxIdempotencyKey)
    Reject("Idempotency-Key: expected at most 256 characters");
  CallerRequest request{
      .id = id,
      .method = *method,
      .path = RemoveKeyParameters(call.target),
      .key_sha256 = DecodeKey(call.headers.authorization),
      .idempotency_key = call.headers.idempotency_key,
      .priority = DecodePriority(call.headers.priority),
      .timeout = DecodePatience(call.headers.deadline_ms, defaults.patience),
      .content_type = call.headers.content_type,
      .body = call.body};
  if (LooksLikeModelCall(request))
    DecodeModelBody(request, defaults.max_tokens);
  return request;
}

std::string EncodeRefusal(const Refusal& refusal) {
  std::string json = "{\"error\":{\"code\":";
  json += JsonQuoted(RefusalInfo(refusal.code).name);
  json += ",\"message\":" + JsonQuoted(refusal.message);
  json +=
      ",\"ran\":" + JsonQuoted(kExecutionStatusNames.Name(refusal.execution));
  return json + "}}\n";
}

std::string EncodeRefusalEvent(const Refusal& refusal) {
  std::string json = EncodeRefusal(refusal);
  json.pop_back();
  return "data: " + json + "\n\n";
}

}  // namespace boragepick
