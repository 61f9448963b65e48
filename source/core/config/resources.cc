#include "core/config/resources.h"

#include <algorithm>

#include "common/error.h"

namespace boragepick {

namespace {

constexpr std::size_t kMaxNameLength = 128;
constexpr std::size_t kSha256HexLength = 64;
constexpr std::uint32_t kMaxReplicas = 10'000;

[[noreturn]] void Reject(const std::string& field,
                         const std::string& expected) {
  throw Error(Step::kValidateDocument, "", field + ": " + expected);
}

bool IsNameCharacter(char c) {
  const bool alphanumeric = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
                            (c >= '0' && c <= '9');
  return alphanumeric || c == '-' || c == '_' || c == '.' || c == ':';
}

void CheckName(const std::string& field, const std::string& name) {
  if (name.empty() || name.size() > kMaxNameLength ||
      !std::ranges::all_of(name, IsNameCharacter))
    Reject(field,
           "expected 1 to 128 of letters, digits, '-', '_', '.' and ':'");
}

void CheckSpec(const ModelSpec& spec) {
  CheckName("spec.version", spec.version);
  if (spec.replicas > kMaxReplicas)
    Reject("spec.replicas", "expected at most 10000");
}

void CheckSpec(const VersionSpec& spec) {
  CheckName("spec.model", spec.model);
  if (spec.memory_mb == 0)
    Reject("spec.memory_mb",
           "expected the memory of the loaded weights, at least 1");
}

void CheckSpec(const AdapterSpec& spec) {
  CheckName("spec.model", spec.model);
}

void CheckSpec(const RouteSpec& spec) {
  if (!spec.path_prefix.starts_with('/'))
    Reject("spec.path_prefix", "expected a path that begins with '/'");
  if (spec.path_prefix.starts_with("/boragepick/"))
    Reject("spec.path_prefix", "/boragepick/ is kept for operators");
  if (spec.target == RouteTarget::kService)
    CheckName("spec.pool", spec.pool);
  if (spec.target == RouteTarget::kModels && !spec.pool.empty())
    Reject("spec.pool", "expected none on a route to models");
}

void CheckSpec(const TeamSpec& spec) {
  if (spec.rate_tokens_per_second == 0)
    Reject("spec.rate_tokens_per_second", "expected at least 1");
  if (spec.burst_tokens == 0)
    Reject("spec.burst_tokens", "expected at least 1");
}

void CheckSpec(const KeySpec& spec) {
  CheckName("spec.team", spec.team);
  const auto is_hex = [](char c) {
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
  };
  if (spec.sha256.size() != kSha256HexLength ||
      !std::ranges::all_of(spec.sha256, is_hex))
    Reject("spec.sha256", "expected 64 lower-case hexadecimal digits");
}

}  // namespace

void ValidateResource(const Resource& resource) {
  CheckName("name", resource.name);
  std::visit([](const auto& spec) { CheckSpec(spec); }, resource.spec);
}

}  // namespace boragepick
