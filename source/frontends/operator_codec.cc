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

[[noreturn]] void ThrowInvalid(const std::string& what) {
  throw Error(Step::kDecodeDocument, "operator", what);
}

struct RequestTarget {
  std::string path;
  std::map<std::string, std::string> query;
};

RequestTarget ParseRequestTarget(std::string_view target) {
  RequestTarget parsed;
  const std::size_t query_start = target.find('?');
  parsed.path = target.substr(0, query_start);
  std::string_view rest = query_start == std::string_view::npos
                              ? ""
                              : target.substr(query_start + 1);
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
    ThrowInvalid("kind: expected one of " + kResourceKindNames.Choices());
  return *kind;
}

Revision ParseResourceVersion(const std::string& text) {
  Revision version = 0;
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, version);
  if (error != std::errc{} || stop != end)
    ThrowInvalid("resource_version: expected a whole number");
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
  OperatorHttpResponse response{.content_type = "text/plain; version=0.0.4"};
  for (const Metric& metric : report.metrics) {
    char value[32];
    std::snprintf(value, sizeof(value), "%.9g", metric.value);
    response.body += metric.name;
    if (!metric.labels.empty())
      response.body += "{" + metric.labels + "}";
    response.body += std::string(" ") + value + "\n";
  }
  return response;
}

}  // namespace

PutResource DecodeResourceDocument(std::string_view json) {
  wire::ResourceDocument document;
  FromJson(json, document, UnknownFields::kReject, Step::kDecodeDocument,
           "operator");
  const ResourceKind kind = ParseKind(document.kind());
  const std::optional<ResourceSpec> spec = SpecFromWire(document);
  if (!spec)
    ThrowInvalid("expected the field '" + document.kind() + "' with the spec");
  if (KindOf(*spec) != kind)
    ThrowInvalid("kind: is '" + document.kind() + "', but the spec is of a '" +
                 std::string(kResourceKindNames.Name(KindOf(*spec))) + "'");
  PutResource put{.resource = {.name = document.name(), .spec = *spec}};
  if (document.has_resource_version())
    put.expected = document.resource_version();
  return put;
}

OperatorAction DecodeOperatorRequest(const OperatorHttpRequest& request) {
  const RequestTarget target = ParseRequestTarget(request.target);
  std::string_view path = target.path;
  path.remove_prefix(std::string_view(kOperatorPrefix).size());
  if (path == kStatusPath && request.method == "GET")
    return GetStatus{};
  if (!path.starts_with(kResourcesPath))
    ThrowInvalid(
        "path: expected status, resources/KIND or resources/KIND/NAME");
  path.remove_prefix(kResourcesPath.size());
  const std::size_t slash = path.find('/');
  const ResourceKind kind = ParseKind(path.substr(0, slash));
  const std::string name(
      slash == std::string_view::npos ? "" : path.substr(slash + 1));
  if (request.method == "GET")
    return GetResources{.kind = kind, .name = name};
  if (name.empty())
    ThrowInvalid("path: expected resources/KIND/NAME");
  if (request.method == "PUT") {
    PutResource put = DecodeResourceDocument(request.body);
    if (KindOf(put.resource.spec) != kind || put.resource.name != name)
      ThrowInvalid("the document's kind and name are not those of the path");
    const auto dry_run = target.query.find("dry_run");
    put.dry_run = dry_run != target.query.end() && dry_run->second == "true";
    return put;
  }
  if (request.method != "DELETE")
    ThrowInvalid("method: expected GET, PUT or DELETE");
  DeleteResource removal{.kind = kind, .name = name};
  const auto version = target.query.find("resource_version");
  if (version != target.query.end())
    removal.expected = ParseResourceVersion(version->second);
  return removal;
}

OperatorHttpResponse EncodeOperatorReply(const OperatorReply& reply) {
  return std::visit([](const auto& alternative) { return Encode(alternative); },
                    reply);
}

}  // namespace boragepick
