// The settings of the daemon. Each is declared here once, as a typed constant
// with its default, and read from an INI file. The whole file is validated at
// start.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "common/endpoint.h"

namespace boragepick {

template <typename Value>
struct Setting {
  std::string_view section;
  std::string_view key;
  Value default_value;
  // Whether a file without this setting is invalid.
  bool required = false;
  std::string_view help;
};

// An integer with its range, both limits included.
struct NumberSetting {
  std::string_view section;
  std::string_view key;
  std::int64_t default_value = 0;
  std::int64_t min_value = 0;
  std::int64_t max_value = 0;
  std::string_view help;
};

// A limit that the platform fills in, with its range, both limits included. Any
// number is accepted, because a process that doesn't start serves nobody:
// fractions are rounded down, since the lower limit is the safe one, and a
// number outside the range is replaced by the nearest one in it. An empty value
// stands for the default.
struct LimitSetting {
  std::string_view section;
  std::string_view key;
  std::int64_t default_value = 0;
  std::int64_t min_value = 0;
  std::int64_t max_value = 0;
  std::string_view help;
};

// A section whose keys are names that the file chooses.
struct TableSetting {
  std::string_view section;
  std::string_view help;
};

// A limit as above whose fraction counts.
struct DecimalSetting {
  std::string_view section;
  std::string_view key;
  double default_value = 0;
  double min_value = 0;
  double max_value = 0;
  std::string_view help;
};

using TextSetting = Setting<std::string_view>;
using FlagSetting = Setting<bool>;

namespace settings {

inline constexpr TextSetting kRole{"node", "role", "", true, "router or agent"};
inline constexpr TextSetting kVm{
    "node", "vm", "", true,
    "name of this VM in the platform's list; never reused"};
inline constexpr TextSetting kDataCentre{"node", "data_centre", "", true,
                                         "data centre of this VM"};
inline constexpr TextSetting kPeerEndpoint{
    "peers", "endpoint", "", true,
    "ip:port at which other processes of the system reach this one"};
inline constexpr TextSetting kSeeds{"peers", "seeds", "", false,
                                    "comma-separated ip:port of some routers, "
                                    "contacted until the VM list is known"};
inline constexpr TextSetting kCurvePublicKey{
    "peers", "curve_public_key", "", false,
    "CURVE public key of the fleet in Z85; empty for unencrypted messages"};
inline constexpr TextSetting kCurveSecretKey{
    "peers", "curve_secret_key", "", false,
    "CURVE secret key of the fleet in Z85"};
inline constexpr TextSetting kHttpEndpoint{
    "http", "endpoint", "", true,
    "ip:port for callers and operators (router), health and metrics"};
inline constexpr NumberSetting kMaxBodyBytes{
    "http", "max_body_bytes", 8 << 20, 1024, 1 << 30, "largest request body"};
inline constexpr NumberSetting kDefaultTimeoutMs{
    "http",    "default_patience_ms",
    300'000,   10,
    3'600'000, "time for a request without a deadline header"};
inline constexpr TextSetting kOperatorTokenSha256{
    "http", "operator_token_sha256", "", false,
    "SHA-256 (hex) of the operators' token; empty refuses all operators' "
    "requests"};
inline constexpr TextSetting kPlatformUrl{
    "platform", "key_value_url", "", false,
    "URL of the key-value service's JSON gateway (routers)"};
inline constexpr TextSetting kVmListUrl{
    "platform", "vm_list_url", "", false,
    "URL of the platform's list of VMs (routers)"};
inline constexpr NumberSetting kPlatformTimeoutMs{
    "platform", "call_timeout_ms",
    1'000,      50,
    60'000,     "time for one call to the platform"};
inline constexpr TextSetting kUpstreamUrl{
    "upstream", "url", "", false,
    "URL of the engine or service beside this agent"};
inline constexpr TextSetting kUpstreamPool{
    "upstream", "pool", "models", false,
    "models for an engine, else the pool of the service"};
inline constexpr NumberSetting kUpstreamMemoryMb{
    "upstream", "memory_mb", 0,
    0,          100'000'000, "memory for models (agents beside engines)"};
inline constexpr NumberSetting kUpstreamSlots{
    "upstream",
    "slots",
    16,
    1,
    100'000,
    "maximum number of requests that the upstream runs concurrently"};
inline constexpr NumberSetting kUpstreamMaxWaiting{
    "upstream", "max_waiting",
    256,        0,
    1'000'000,  "maximum number of requests queued at the agent"};
inline constexpr NumberSetting kUpstreamProgressTimeoutMs{
    "upstream",
    "progress_timeout_ms",
    20'000,
    100,
    3'600'000,
    "time without progress after which a started request is cancelled"};
inline constexpr NumberSetting kLoadTimeoutMs{
    "upstream",
    "load_timeout_ms",
    600'000,
    100,
    86'400'000,
    "time after which the outcome of an unanswered load order is unknown"};
inline constexpr NumberSetting kMemoryMb{
    "limits", "memory_mb", 256,
    16,       1 << 20,     "memory that the process may use, in MiB"};
inline constexpr NumberSetting kDrainGraceMs{
    "drain", "grace_ms",
    2'000,   0,
    600'000, "time after SIGTERM during which new requests are still accepted"};
inline constexpr TextSetting kLogFile{"log", "file", "", false,
                                      "log file; empty for standard output"};
inline constexpr FlagSetting kLogDecisions{
    "log", "decisions", true, false,
    "log a line for each decision about a request"};

}  // namespace settings

// The values of all settings of a process.
struct DaemonSettings {
  std::string role;
  std::string vm;
  std::string data_centre;
  std::string peer_endpoint;
  std::vector<std::string> seeds;
  std::string curve_public_key;
  std::string curve_secret_key;
  std::string http_endpoint;
  std::int64_t max_body_bytes = 0;
  std::int64_t default_timeout_ms = 0;
  std::string operator_token_sha256;
  std::string platform_url;
  std::string vm_list_url;
  std::int64_t platform_timeout_ms = 0;
  std::string upstream_url;
  std::string upstream_pool;
  std::int64_t upstream_memory_mb = 0;
  std::int64_t upstream_slots = 0;
  std::int64_t upstream_max_waiting = 0;
  std::int64_t upstream_progress_timeout_ms = 0;
  std::int64_t load_timeout_ms = 0;
  std::int64_t memory_mb = 0;
  std::int64_t drain_grace_ms = 0;
  std::string log_file;
  bool log_decisions = true;
};

// Throws Error at Step::kSettings. The message lists all errors of the file,
// one per line, each of which begins with "file:line:".
DaemonSettings ParseSettings(const std::string& text, const std::string& file);
DaemonSettings ReadSettings(const std::string& file);
// Throws Error at Step::kReadFile.
std::string ReadWholeFile(const std::string& file);

// Returns a commented settings file with all defaults.
std::string DefaultSettingsText();

// Parses "ip:port". Throws Error at Step::kSettings.
Endpoint ParseEndpoint(const std::string& text);

}  // namespace boragepick
