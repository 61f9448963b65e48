#include "frontends/serving/serving_settings.h"

#include "frontends/settings_reader.h"

namespace boragepick {

namespace {

bool IsEndpoint(const std::string& text) {
  try {
    ParseEndpoint(text);
    return true;
  } catch (const Error&) {
    // why: the caller reports it with the key's name and line
    return false;
  }
}

ServingSettings ReadAll(SettingsReader& reader) {
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
          .key_revocation_ms = reader.ReadNumber(kKeyRevocationMs),
          .retry_percent = reader.ReadNumber(kRetryPercent),
          .retry_reserve = reader.ReadNumber(kRetryReserve),
          .quota_slack = reader.ReadNumber(kQuotaSlack),
          .weight_store_loads = reader.ReadNumber(kWeightStoreLoads),
          .grace_s = reader.ReadNumber(kGraceS),
          .log_decisions = reader.ReadFlag(kLogDecisions)};
}

struct NamedValue {
  std::string name;
  std::string value;
};

template <typename Setting>
NamedValue Named(const Setting& setting, std::string value) {
  return {.name = std::string(setting.section) + "." + std::string(setting.key),
          .value = std::move(value)};
}

std::vector<NamedValue> ValuesOf(const ServingSettings& values) {
  using namespace serving_settings;
  return {Named(kRole, std::string(kServingRoleNames.Name(values.role))),
          Named(kVm, values.vm),
          Named(kDataCentre, values.data_centre),
          Named(kHttpEndpoint, values.http_endpoint),
          Named(kReadyEndpoint, values.ready_endpoint),
          Named(kMetricsEndpoint, values.metrics_endpoint),
          Named(kPeerEndpoint, values.peer_endpoint),
          Named(kControllerPort, std::to_string(values.controller_port)),
          Named(kStoreEndpoint, values.store_endpoint),
          Named(kEngineEndpoint, values.engine_endpoint),
          Named(kKeyRevocationMs, std::to_string(values.key_revocation_ms)),
          Named(kRetryPercent, std::to_string(values.retry_percent)),
          Named(kRetryReserve, std::to_string(values.retry_reserve)),
          Named(kQuotaSlack, std::to_string(values.quota_slack)),
          Named(kWeightStoreLoads, std::to_string(values.weight_store_loads)),
          Named(kGraceS, std::to_string(values.grace_s)),
          Named(kLogDecisions, values.log_decisions ? "true" : "false")};
}

void CheckWhole(SettingsReader& reader, const ServingSettings& values) {
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

}  // namespace

ServingSettings ParseServingSettings(const std::string& text,
                                     const std::string& file) {
  SettingsReader reader(text, file);
  ServingSettings values = ReadAll(reader);
  reader.CheckUnknown();
  CheckWhole(reader, values);
  reader.ThrowIfInvalid();
  return values;
}

SettingChanges CompareSettings(const ServingSettings& running,
                               const ServingSettings& next) {
  const std::string live = Named(serving_settings::kLogDecisions, "").name;
  const std::vector<NamedValue> before = ValuesOf(running);
  const std::vector<NamedValue> after = ValuesOf(next);
  SettingChanges changes;
  for (std::size_t i = 0; i < after.size(); ++i) {
    if (after[i].value == before[i].value)
      continue;
    std::string& list =
        after[i].name == live ? changes.applied : changes.need_restart;
    list += (list.empty() ? "" : ",") + after[i].name;
  }
  return changes;
}

std::string DefaultServingSettingsText() {
  const std::string nothing;
  SettingsReader reader(nothing, "defaults");
  ReadAll(reader);
  return FormatDefaultSettings(reader.declared());
}

}  // namespace boragepick
