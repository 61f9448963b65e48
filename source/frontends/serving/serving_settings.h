// The settings of gateways, which send requests directly to their upstreams,
// and of the controllers beside engines.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "common/enum_table.h"
#include "frontends/settings.h"

namespace boragepick {

// kGateway: serves callers' requests. kController: sends orders to one engine.
enum class ServingRole { kGateway, kController };

inline constexpr EnumTable kServingRoleNames{std::array{
    EnumName<ServingRole>{ServingRole::kGateway, "gateway"},
    EnumName<ServingRole>{ServingRole::kController, "controller"},
}};

namespace serving_settings {

inline constexpr TextSetting kRole{"node", "role", "", true,
                                   "gateway or controller"};
inline constexpr TextSetting kVm{"node", "vm", "", true, "name of this VM"};
inline constexpr TextSetting kDataCentre{"node", "data_centre", "", true,
                                         "data centre of this VM"};
inline constexpr TextSetting kHttpEndpoint{"http", "endpoint", "", false,
                                           "ip:port for callers (gateway)"};
inline constexpr TextSetting kReadyEndpoint{
    "http", "ready_endpoint", "", false,
    "ip:port for the balancer's readiness checks (gateway)"};
inline constexpr TextSetting kMetricsEndpoint{"http", "metrics_endpoint", "",
                                              true, "ip:port for metrics"};
inline constexpr TextSetting kPeerEndpoint{
    "peers", "endpoint", "", true,
    "ip:port at which other processes of the system reach this one"};
inline constexpr NumberSetting kControllerPort{
    "peers", "controller_port",
    0,       0,
    65'535,  "port of the controllers beside engines (gateway)"};
inline constexpr TextSetting kStoreEndpoint{
    "platform", "store_endpoint", "", true,
    "ip:port of the platform's key-value service"};
inline constexpr TextSetting kEngineEndpoint{
    "engine", "endpoint", "", false, "ip:port of the engine (controller)"};
inline constexpr LimitSetting kKeyRevocationMs{
    "limits",  "key_revocation_ms",
    5'000,     100,
    3'600'000, "a withdrawn key stops working within this time"};
inline constexpr LimitSetting kConfigApplyMs{
    "limits",  "config_apply_ms",
    2'000,     100,
    3'600'000, "a change of the configuration is in force within this time"};
inline constexpr LimitSetting kWorkerDrainMs{
    "limits",  "worker_drain_ms",
    2'000,     100,
    3'600'000, "a worker that is leaving gets no new requests after this time"};
inline constexpr LimitSetting kEvacuationMs{
    "limits",  "evacuation_ms",
    5'000,     100,
    3'600'000, "an evacuation of a data centre takes effect within this time"};
inline constexpr LimitSetting kWorkerHeartbeatMs{
    "limits", "worker_heartbeat_ms",
    1'200,    10,
    600'000,  "workers renew their entries in the list once in this time"};
inline constexpr NumberSetting kRetryPercent{
    "limits", "retry_percent",
    20,       0,
    100,      "retries of the whole fleet, as a percentage of first attempts"};
inline constexpr LimitSetting kRetryReserve{
    "limits",  "retry_reserve",
    50,        0,
    1'000'000, "retries of the whole fleet beyond retry_percent, in a window"};
inline constexpr LimitSetting kQuotaSlack{
    "limits",
    "quota_slack_tokens",
    0,
    0,
    1'000'000'000,
    "tokens that the fleet may admit for a team beyond its quota"};
inline constexpr DecimalSetting kColdOverage{
    "limits",
    "cold_overage",
    0,
    0,
    1'000,
    "a cold worker may get this many times its rate, over all routers; 0: "
    "cold workers are not limited (gateway)"};
inline constexpr DecimalSetting kColdSlack{
    "limits",  "cold_slack",
    0,         0,
    1'000'000, "requests to a cold worker in a second beyond cold_overage"};
inline constexpr NumberSetting kWeightStoreLoads{
    "limits",
    "weight_store_loads",
    0,
    0,
    10'000,
    "concurrent loads that the weight store serves at full speed, for "
    "the whole fleet; 0: determined from load times (gateway)"};
inline constexpr LimitSetting kGraceS{
    "limits", "grace_s", 8,
    1,        3600,      "time from SIGTERM until the process is killed"};
inline constexpr LimitSetting kMemoryMb{
    "limits", "memory_mb", 256,
    16,       1'048'576,   "memory that the process may use, in MiB"};
inline constexpr FlagSetting kLogDecisions{
    "log", "decisions", true, false,
    "a line for each decision about a request"};

inline constexpr TableSetting kRegions{
    "regions", "the region of each data centre, one a line (gateway)"};

}  // namespace serving_settings

struct ServingSettings {
  // The file from which the settings were read.
  std::string file;
  ServingRole role = ServingRole::kGateway;
  std::string vm;
  std::string data_centre;
  std::string http_endpoint;
  std::string ready_endpoint;
  std::string metrics_endpoint;
  std::string peer_endpoint;
  std::uint16_t controller_port = 0;
  std::string store_endpoint;
  std::string engine_endpoint;
  std::int64_t key_revocation_ms = 0;
  std::int64_t config_apply_ms = 0;
  std::int64_t worker_drain_ms = 0;
  std::int64_t evacuation_ms = 0;
  std::int64_t worker_heartbeat_ms = 0;
  std::int64_t retry_percent = 0;
  std::int64_t retry_reserve = 0;
  std::int64_t quota_slack = 0;
  double cold_overage = 0;
  double cold_slack = 0;
  std::int64_t weight_store_loads = 0;
  std::int64_t grace_s = 0;
  std::int64_t memory_mb = 0;
  bool log_decisions = true;
  // By data centre.
  std::map<std::string, std::string> regions;
  // The limits whose values in the file could not be used as they are, as
  // comma-separated "section.key: 'given' used as 1".
  std::string adjusted;
};

// Throws Error at Step::kSettings with all errors found, one per line.
ServingSettings ParseServingSettings(const std::string& text,
                                     const std::string& file);

// The settings that differ between two files, as comma-separated lists of
// "section.key".
struct SettingChanges {
  // Settings that take effect in the running process.
  std::string applied;
  // Settings that take effect after a restart only.
  std::string need_restart;
};
SettingChanges CompareSettings(const ServingSettings& running,
                               const ServingSettings& next);

// Returns a commented settings file with all default values.
std::string DefaultServingSettingsText();

}  // namespace boragepick
