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
  const auto role = kServingRoleNames.Find(reader.Text(kRole));
  reader.Check(role.has_value(), "node", "role",
               "one of " + kServingRoleNames.Choices());
  return {.role = role.value_or(ServingRole::kGateway),
          .vm = reader.Text(kVm),
          .data_centre = reader.Text(kDataCentre),
          .http_endpoint = reader.Text(kHttpEndpoint),
          .ready_endpoint = reader.Text(kReadyEndpoint),
          .metrics_endpoint = reader.Text(kMetricsEndpoint),
          .peer_endpoint = reader.Text(kPeerEndpoint),
          .controller_port =
              static_cast<std::uint16_t>(reader.Number(kControllerPort)),
          .store_endpoint = reader.Text(kStoreEndpoint),
          .engine_endpoint = reader.Text(kEngineEndpoint),
          .key_revocation_ms = reader.Number(kKeyRevocationMs),
          .retry_percent = reader.Number(kRetryPercent),
          .retry_reserve = reader.Number(kRetryReserve),
          .quota_slack = reader.Number(kQuotaSlack),
          .grace_s = reader.Number(kGraceS),
          .log_decisions = reader.Flag(kLogDecisions)};
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
  reader.ThrowFaults();
  return values;
}

std::string DefaultServingSettingsText() {
  const std::string nothing;
  SettingsReader reader(nothing, "defaults");
  ReadAll(reader);
  return DescribeSettings(reader.declared());
}

}  // namespace boragepick
