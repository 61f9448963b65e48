#include "frontends/operator_codec.h"

#include <charconv>
#include <cstdio>
#include <map>

#include "common/error.h"
#include "wire/record_codec.h"

namespace boragepick {

namespace {

constexpr std::string_view kStatusPath = "status";
constexpr std::string_view kResourcesPath = "resources/";

[[noreturn]] void Reject(const std::string& what) {
  throw Error(Step::kDecodeDocument, "operator", what);
}

struct Target {
  std::string path;
  std::map<std::string, std::string> query;
};

Target ParseTarget(std::string_view target) {
  Target parsed;
  const std::size_t question = target.find('?');
  parsed.path = target.substr(0, question);
  std::string_view rest =
      question == std::string_view::npos ? "" : target.substr(question + 1);
  while (!rest.empty()) {
    const std::size_t end = rest.find('&');
    const std::string_view parameter = rest.substr(0, end);
    rest.remove_prefix(end == std::string_view::npos ? rest.size() : end + 1);
    const std::size_t equals = parameter.find('=');
    const std::string_view value =
        equals == std::string_view::npos ? "" : parameter.substr(equals + 1);
    parsed.query[std::string(parameter.substr(0, equals))] = value;
  }
  return parsed;
}

ResourceKind ParseKind(std::string_view name) {
  const std::optional<ResourceKind> kind = kResourceKindNames.Find(name);
  if (!kind)
    Reject("kind: expected one of " + kResourceKindNames.Choices());
  return *kind;
}

Revision ParseVersion(const std::string& text) {
  Revision version = 0;
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, version);
  if (error != std::errc{} || stop != end)
    Reject("resource_version: expected a whole number");
  return version;
}

wire::ResourceDocument ToDocument(const ResourceState& state) {
  wire::ResourceDocument document;
  const ResourceKind kind = KindOf(state.resource.spec);
  document.set_kind(std::string(kResourceKindNames.Name(kind)));
  document.set_name(state.resource.name);
  document.set_resource_version(state.resource.resource_version);
  SpecToWire(state.resource.spec, document);
  for (const std::string& condition : state.conditions)
    document.add_conditions(condition);
  return document;
}

OperatorHttpResponse Encode(const OperatorError& error) {
  const OperatorErrorRow& row = OperatorErrorInfo(error.code);
  wire::OperatorErrorDocument document;
  document.set_code(std::string(row.name));
  document.set_message(error.message);
  return {.status = row.http_status, .body = ToJson(document) + "\n"};
}

OperatorHttpResponse Encode(const ResourceList& list) {
  wire::ResourceDocuments documents;
  for (const ResourceState& state : list.resources)
    *documents.add_resources() = ToDocument(state);
  return {.body = ToJson(documents) + "\n"};
}

OperatorHttpResponse Encode(const Accepted& accepted) {
  wire::AcceptedDocument document;
  document.set_kind(std::string(kResourceKindNames.Name(accepted.kind)));
  document.set_name(accepted.name);
  document.set_resource_version(accepted.resource_version);
  document.set_dry_run(accepted.dry_run);
  return {.body = ToJson(document) + "\n"};
}

void AddModel(const ModelStatus& model, wire::StatusDocument& document) {
  wire::ModelStatus& out = *document.add_models();
  out.set_model(model.model);
  out.set_replicas_decided(model.replicas_decided);
  for (const std::string& vm : model.permitted_vms)
    out.add_permitted_vms(vm);
  for (const std::string& vm : model.revoked_vms)
    out.add_revoked_vms(vm);
  for (const std::string& vm : model.resident_vms)
    out.add_resident_vms(vm);
}

void AddTeam(const TeamStatus& team, wire::StatusDocument& document) {
  wire::TeamStatus& out = *document.add_teams();
  out.set_team(team.team);
  out.set_admitted_tokens(team.admitted_tokens);
  out.set_refused_requests(team.refused_requests);
  out.set_waiting_requests(team.waiting_requests);
  out.set_share_tokens_per_second(team.share_tokens_per_second);
}

OperatorHttpResponse Encode(const StatusReport& report) {
  wire::StatusDocument document;
  document.set_vm(report.vm);
  document.set_data_centre(report.data_centre);
  document.set_incarnation(report.incarnation);
  document.set_draining(report.draining);
  document.set_revision(report.revision);
  document.set_view_age_seconds(ToSeconds(report.view_age));
  document.set_watching(report.watching);
  document.set_relay(report.relay);
  document.set_nodes(report.nodes);
  document.set_lowest_in_force(report.lowest_in_force);
  document.set_roster_version(report.roster_version);
  document.set_routers(report.routers);
  document.set_agents(report.agents);
  document.set_open_requests(report.open_requests);
  for (const ModelStatus& model : report.models)
    AddModel(model, document);
  for (const TeamStatus& team : report.teams)
    AddTeam(team, document);
  return {.body = ToJson(document) + "\n"};
}

OperatorHttpResponse Encode(const MetricsReport& report) {
  OperatorHttpResponse answer{.content_type = "text/plain; version=0.0.4"};
  for (const Metric& metric : report.metrics) {
    char value[32];
    std::snprintf(value, sizeof(value), "%.9g", metric.value);
    answer.body += metric.name;
    if (!metric.labels.empty())
      answer.body += "{" + metric.labels + "}";
    answer.body += std::string(" ") + value + "\n";
  }
  return answer;
}

}  // namespace

PutResource DecodeResourceDocument(std::string_view json) {
  wire::ResourceDocument document;
  FromJson(json, document, UnknownFields::kReject, Step::kDecodeDocument,
           "operator");
  const ResourceKind kind = ParseKind(document.kind());
  const std::optional<ResourceSpec> spec = SpecFromWire(document);
  if (!spec)
    Reject("expected the field '" + document.kind() + "' with the spec");
  if (KindOf(*spec) != kind)
    Reject("kind: is '" + document.kind() + "', but the spec is of a '" +
           std::string(kResourceKindNames.Name(KindOf(*spec))) + "'");
  PutResource put{.resource = {.name = document.name(), .spec = *spec}};
  if (document.has_resource_version())
    put.expected = document.resource_version();
  return put;
}

OperatorAction DecodeOperatorRequest(const OperatorHttpRequest& call) {
  const Target target = ParseTarget(call.target);
  std::string_view path = target.path;
  path.remove_prefix(std::string_view(kOperatorPrefix).size());
  if (path == kStatusPath && call.method == "GET")
    return GetStatus{};
  if (!path.starts_with(kResourcesPath))
    Reject("path: expected status, resources/KIND or resources/KIND/NAME");
  path.remove_prefix(kResourcesPath.size());
  const std::size_t slash = path.find('/');
  const ResourceKind kind = ParseKind(path.substr(0, slash));
  const std::string name(
      slash == std::string_view::npos ? "" : path.substr(slash + 1));
  if (call.method == "GET")
    return GetResources{.kind = kind, .name = name};
  if (name.empty())
    Reject("path: expected resources/KIND/NAME");
  if (call.method == "PUT") {
    PutResource put = DecodeResourceDocument(call.body);
    if (KindOf(put.resource.spec) != kind || put.resource.name != name)
      Reject("the document's kind and name are not those of the path");
    const auto dry_run = target.query.find("dry_run");
    put.dry_run = dry_run != target.query.end() && dry_run->second == "true";
    return put;
  }
  if (call.method != "DELETE")
    Reject("method: expected GET, PUT or DELETE");
  DeleteResource deletion{.kind = kind, .name = name};
  const auto version = target.query.find("resource_version");
  if (version != target.query.end())
    deletion.expected = ParseVersion(version->second);
  return deletion;
}

OperatorHttpResponse EncodeOperatorReply(const OperatorReply& reply) {
  return std::visit([](const auto& held) { return Encode(held); }, reply);
}

}  // namespace boragepick
