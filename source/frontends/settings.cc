#include "frontends/settings.h"

#include <charconv>
#include <fstream>
#include <sstream>

#include "common/error.h"
#include "core/roster/roster_entry.h"
#include "frontends/settings_reader.h"

namespace boragepick {

namespace {

constexpr std::size_t kSha256HexLength = 64;
constexpr std::size_t kCurveKeyLength = 40;

std::vector<std::string> SplitList(const std::string& text) {
  std::vector<std::string> parts;
  std::istringstream stream(text);
  std::string part;
  while (std::getline(stream, part, ',')) {
    const std::size_t first = part.find_first_not_of(' ');
    if (first == std::string::npos)
      continue;
    parts.push_back(part.substr(first, part.find_last_not_of(' ') - first + 1));
  }
  return parts;
}

bool IsEndpoint(const std::string& text) {
  try {
    ParseEndpoint(text);
    return true;
  } catch (const Error&) {
    return false;
  }
}

bool IsHttpUrl(const std::string& text) {
  return text.starts_with("http://") || text.starts_with("https://");
}

DaemonSettings ReadValues(SettingsReader& reader) {
  using namespace settings;
  return {.role = reader.ReadText(kRole),
          .vm = reader.ReadText(kVm),
          .data_centre = reader.ReadText(kDataCentre),
          .peer_endpoint = reader.ReadText(kPeerEndpoint),
          .seeds = SplitList(reader.ReadText(kSeeds)),
          .curve_public_key = reader.ReadText(kCurvePublicKey),
          .curve_secret_key = reader.ReadText(kCurveSecretKey),
          .http_endpoint = reader.ReadText(kHttpEndpoint),
          .max_body_bytes = reader.ReadNumber(kMaxBodyBytes),
          .default_timeout_ms = reader.ReadNumber(kDefaultTimeoutMs),
          .operator_token_sha256 = reader.ReadText(kOperatorTokenSha256),
          .platform_url = reader.ReadText(kPlatformUrl),
          .vm_list_url = reader.ReadText(kVmListUrl),
          .platform_timeout_ms = reader.ReadNumber(kPlatformTimeoutMs),
          .upstream_url = reader.ReadText(kUpstreamUrl),
          .upstream_pool = reader.ReadText(kUpstreamPool),
          .upstream_memory_mb = reader.ReadNumber(kUpstreamMemoryMb),
          .upstream_slots = reader.ReadNumber(kUpstreamSlots),
          .upstream_max_waiting = reader.ReadNumber(kUpstreamMaxWaiting),
          .upstream_progress_timeout_ms =
              reader.ReadNumber(kUpstreamProgressTimeoutMs),
          .load_timeout_ms = reader.ReadNumber(kLoadTimeoutMs),
          .memory_mb = reader.ReadNumber(kMemoryMb),
          .drain_grace_ms = reader.ReadNumber(kDrainGraceMs),
          .log_file = reader.ReadText(kLogFile),
          .log_decisions = reader.ReadFlag(kLogDecisions)};
}

void CheckValues(SettingsReader& reader, const DaemonSettings& values) {
  const auto role = kNodeRoleNames.Find(values.role);
  reader.Check(role.has_value(), "node", "role",
               "one of " + kNodeRoleNames.Choices());
  reader.Check(IsEndpoint(values.peer_endpoint), "peers", "endpoint",
               "ip:port");
  reader.Check(IsEndpoint(values.http_endpoint), "http", "endpoint", "ip:port");
  for (const std::string& seed : values.seeds)
    reader.Check(IsEndpoint(seed), "peers", "seeds",
                 "a list of ip:port, found '" + seed + "'");
  const bool both_or_no_keys =
      values.curve_public_key.empty() == values.curve_secret_key.empty();
  reader.Check(both_or_no_keys, "peers", "curve_secret_key",
               "both CURVE keys or none");
  const bool valid_key_length =
      values.curve_public_key.empty() ||
      (values.curve_public_key.size() == kCurveKeyLength &&
       values.curve_secret_key.size() == kCurveKeyLength);
  reader.Check(valid_key_length, "peers", "curve_public_key",
               "keys of 40 characters in Z85");
  const std::size_t token_length = values.operator_token_sha256.size();
  reader.Check(token_length == 0 || token_length == kSha256HexLength, "http",
               "operator_token_sha256", "64 hexadecimal digits");
  if (role == NodeRole::kRouter) {
    reader.Check(IsHttpUrl(values.platform_url), "platform", "key_value_url",
                 "an http:// URL");
    reader.Check(IsHttpUrl(values.vm_list_url), "platform", "vm_list_url",
                 "an http:// URL");
  }
  if (role == NodeRole::kAgent) {
    reader.Check(IsHttpUrl(values.upstream_url), "upstream", "url",
                 "an http:// URL");
    const bool has_memory =
        values.upstream_pool != "models" || values.upstream_memory_mb > 0;
    reader.Check(has_memory, "upstream", "memory_mb",
                 "the engine's memory, at least 1");
  }
}

}  // namespace

DaemonSettings ParseSettings(const std::string& text, const std::string& file) {
  SettingsReader reader(text, file);
  DaemonSettings values = ReadValues(reader);
  reader.CheckUnknown();
  CheckValues(reader, values);
  reader.ThrowIfInvalid();
  return values;
}

std::string ReadWholeFile(const std::string& file) {
  std::ifstream stream(file);
  if (!stream)
    throw Error(Step::kReadFile, file, "can't be opened");
  std::ostringstream text;
  text << stream.rdbuf();
  return text.str();
}

DaemonSettings ReadSettings(const std::string& file) {
  return ParseSettings(ReadWholeFile(file), file);
}

std::string DefaultSettingsText() {
  const std::string empty_text;
  SettingsReader reader(empty_text, "defaults");
  ReadValues(reader);
  return FormatDefaultSettings(reader.declared());
}

Endpoint ParseEndpoint(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  std::uint16_t port = 0;
  if (colon == std::string::npos || colon == 0)
    throw Error(Step::kSettings, text, "expected ip:port");
  const char* end = text.data() + text.size();
  const auto [stop, error] =
      std::from_chars(text.data() + colon + 1, end, port);
  if (error != std::errc{} || stop != end || port == 0)
    throw Error(Step::kSettings, text, "expected a port from 1 to 65535");
  return {.ip = text.substr(0, colon), .port = port};
}

}  // namespace boragepick
