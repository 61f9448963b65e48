#include "frontends/serving/serving_settings.h"

#include "frontends/settings_reader.h"

namespace boragepick {

namespace {

bool IsEndpoint(const std::string& text) {
  try {
    ParseEndpoint(text);
    return true;
  } catch (const Error&) {
    // The caller reports the error with the name and line of the key.
    return false;
  }
}

ServingSettings ReadSettings(SettingsReader& reader) {
  using namespace serving_settings;
  const auto role = kServingRoleNames.Find(reader.ReadText(kRole));
  reader.Check(role.has_value(), "node", "role",
               "one of " + kServingRoleNames.Choices());
  return {.file = reader.file(),
          .role = role.value_or(ServingRole::kGateway),
          .vm = reader.ReadText(kVm),
          .data_centre = reader.ReadText(kDataCentre),
          .http_endpoint = reader.ReadText(kHttpEndpoint),
          .ready_endpoint = reader.ReadText(kReadyEndpoint),
          .metrics_endpoint = reader.ReadText(kMetricsEndpoint),
          .peer_endpoint = reader.ReadText(kPeerEndpoint),
          .controller_port =
              static_cast<std::uint16_t>(reader.ReadNumber(kControllerPort)),
          .store_endpoint = reader.ReadText(kStoreEndpoint),
          .engine_endpoint = reader.ReadText(kEngineEndpoint),
          .key_revocation_ms = reader.ReadLimit(kKeyRevocationMs),
          .config_apply_ms = reader.ReadLimit(kConfigApplyMs),
          .worker_drain_ms = reader.ReadLimit(kWorkerDrainMs),
          .evacuation_ms = reader.ReadLimit(kEvacuationMs),
          .worker_heartbeat_ms = reader.ReadLimit(kWorkerHeartbeatMs),
          .retry_percent = reader.ReadNumber(kRetryPercent),
          .retry_reserve = reader.ReadLimit(kRetryReserve),
          .quota_slack = reader.ReadLimit(kQuotaSlack),
          .cold_overage = reader.ReadDecimal(kColdOverage),
          .cold_slack = reader.ReadDecimal(kColdSlack),
          .weight_store_loads = reader.ReadNumber(kWeightStoreLoads),
          .grace_s = reader.ReadLimit(kGraceS),
          .memory_mb = reader.ReadLimit(kMemoryMb),
          .log_decisions = reader.ReadFlag(kLogDecisions),
          .regions = reader.ReadTable(kRegions)};
}

struct NamedValue {
  std::string name;
  std::string value;
};

template <typename Setting>
NamedValue MakeNamedValue(const Setting& setting, std::string value) {
  return {.name = std::string(setting.section) + "." + std::string(setting.key),
          .value = std::move(value)};
}

std::string FormatTable(const std::map<std::string, std::string>& table) {
  std::string text;
  for (const auto& [key, value] : table)
    text.append(key).append("=").append(value).append("\n");
  return text;
}

std::vector<NamedValue> ListValues(const ServingSettings& values) {
  using namespace serving_settings;
  return {
      MakeNamedValue(kRole, std::string(kServingRoleNames.Name(values.role))),
      MakeNamedValue(kVm, values.vm),
      MakeNamedValue(kDataCentre, values.data_centre),
      MakeNamedValue(kHttpEndpoint, values.http_endpoint),
      MakeNamedValue(kReadyEndpoint, values.ready_endpoint),
      MakeNamedValue(kMetricsEndpoint, values.metrics_endpoint),
      MakeNamedValue(kPeerEndpoint, values.peer_endpoint),
      MakeNamedValue(kControllerPort, std::to_string(values.controller_port)),
      MakeNamedValue(kStoreEndpoint, values.store_endpoint),
      MakeNamedValue(kEngineEndpoint, values.engine_endpoint),
      MakeNamedValue(kKeyRevocationMs,
                     std::to_string(values.key_revocation_ms)),
      MakeNamedValue(kConfigApplyMs, std::to_string(values.config_apply_ms)),
      MakeNamedValue(kWorkerDrainMs, std::to_string(values.worker_drain_ms)),
      MakeNamedValue(kEvacuationMs, std::to_string(values.evacuation_ms)),
      MakeNamedValue(kWorkerHeartbeatMs,
                     std::to_string(values.worker_heartbeat_ms)),
      MakeNamedValue(kRetryPercent, std::to_string(values.retry_percent)),
      MakeNamedValue(kRetryReserve, std::to_string(values.retry_reserve)),
      MakeNamedValue(kQuotaSlack, std::to_string(values.quota_slack)),
      MakeNamedValue(kColdOverage, FormatDecimal(values.cold_overage)),
      MakeNamedValue(kColdSlack, FormatDecimal(values.cold_slack)),
      MakeNamedValue(kWeightStoreLoads,
                     std::to_string(values.weight_store_loads)),
      MakeNamedValue(kGraceS, std::to_string(values.grace_s)),
      MakeNamedValue(kMemoryMb, std::to_string(values.memory_mb)),
      MakeNamedValue(kLogDecisions, values.log_decisions ? "true" : "false"),
      {.name = std::string(kRegions.section),
       .value = FormatTable(values.regions)}};
}

void CheckEndpoints(SettingsReader& reader, const ServingSettings& values) {
  const auto check = [&reader](const std::string& value,
                               const TextSetting& setting) {
    reader.Check(IsEndpoint(value), setting.section, setting.key, "ip:port");
  };
  using namespace serving_settings;
  check(values.metrics_endpoint, kMetricsEndpoint);
  check(values.peer_endpoint, kPeerEndpoint);
  check(values.store_endpoint, kStoreEndpoint);
  if (values.role == ServingRole::kController)
    return check(values.engine_endpoint, kEngineEndpoint);
  check(values.http_endpoint, kHttpEndpoint);
  check(values.ready_endpoint, kReadyEndpoint);
  reader.Check(values.controller_port > 0, kControllerPort.section,
               kControllerPort.key, "a port from 1 to 65535");
}

std::string FormatAdjusted(const std::vector<AdjustedSetting>& adjusted) {
  std::string list;
  for (const AdjustedSetting& setting : adjusted) {
    list += (list.empty() ? "" : ", ") + setting.name + ": '" + setting.given +
            "' used as " + std::to_string(setting.used);
  }
  return list;
}

}  // namespace

ServingSettings ParseServingSettings(const std::string& text,
                                     const std::string& file) {
  SettingsReader reader(text, file);
  ServingSettings values = ReadSettings(reader);
  reader.CheckUnknown();
  CheckEndpoints(reader, values);
  reader.ThrowIfInvalid();
  values.adjusted = FormatAdjusted(reader.adjusted());
  return values;
}

SettingChanges CompareSettings(const ServingSettings& running,
                               const ServingSettings& next) {
  const std::string reloadable =
      MakeNamedValue(serving_settings::kLogDecisions, "").name;
  const std::vector<NamedValue> before = ListValues(running);
  const std::vector<NamedValue> after = ListValues(next);
  SettingChanges changes;
  for (std::size_t i = 0; i < after.size(); ++i) {
    if (after[i].value == before[i].value)
      continue;
    std::string& list =
        after[i].name == reloadable ? changes.applied : changes.need_restart;
    list += (list.empty() ? "" : ",") + after[i].name;
  }
  return changes;
}

std::string DefaultServingSettingsText() {
  const std::string empty_text;
  SettingsReader reader(empty_text, "defaults");
  ReadSettings(reader);
  return FormatDefaultSettings(reader.declared());
}

}  // namespace boragepick
