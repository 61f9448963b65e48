#include "wire/record_codec.h"

#include <google/protobuf/util/json_util.h>

#include <charconv>

#include "common/endpoint.h"

namespace boragepick {

namespace {

constexpr std::string_view kResourceSubprefix = "resource/";
constexpr std::string_view kPermitSubprefix = "permits/";
constexpr std::string_view kShareSubprefix = "shares/";

void ToWire(const PermitRecord& record, wire::PermitRecord& out) {
  out.set_model(record.model);
  for (const Permit& permit : record.permits) {
    wire::Permit& added = *out.add_permits();
    added.set_vm(permit.vm);
    added.set_listed_version(permit.listed_version);
    added.set_revoked(permit.state == PermitState::kRevoked);
  }
}

PermitRecord RecordFromWire(const wire::PermitRecord& in, Revision revision) {
  PermitRecord record{.model = in.model(), .revision = revision};
  for (const wire::Permit& permit : in.permits()) {
    record.permits.push_back({.vm = permit.vm(),
                              .listed_version = permit.listed_version(),
                              .state = permit.revoked()
                                           ? PermitState::kRevoked
                                           : PermitState::kActive});
  }
  return record;
}

void ToWire(const SharePage& page, wire::SharePage& out) {
  out.set_page(page.page);
  for (const ShareHolder& holder : page.holders) {
    wire::ShareHolder& added = *out.add_holders();
    ToWire(holder.process, *added.mutable_process());
    added.set_units(holder.units);
  }
  out.set_settled_era(page.settled_era);
}

SharePage RecordFromWire(const wire::SharePage& in, Revision revision) {
  SharePage page{.page = in.page(), .revision = revision};
  for (const wire::ShareHolder& holder : in.holders())
    page.holders.push_back(
        {.process = FromWire(holder.process()), .units = holder.units()});
  page.settled_era = in.settled_era();
  return page;
}

void ToWire(const Resource& resource, wire::Resource& out) {
  out.set_name(resource.name);
  out.set_resource_version(resource.resource_version);
  out.set_writer_token(resource.writer_token);
  SpecToWire(resource.spec, out);
}

Resource RecordFromWire(const wire::Resource& in, Revision revision) {
  const std::optional<ResourceSpec> spec = SpecFromWire(in);
  if (!spec)
    throw Error(Step::kDecodeDocument, "",
                "resource has no spec of a known kind");
  return {.name = in.name(),
          .spec = *spec,
          .resource_version = revision,
          .writer_token = in.writer_token()};
}

}  // namespace

std::string ResourceKey(ResourceKind kind, const std::string& name) {
  return std::string(kFeedPrefix) + std::string(kResourceSubprefix) +
         std::string(kResourceKindNames.Name(kind)) + "/" + name;
}

std::string PermitKey(const std::string& model) {
  return std::string(kFeedPrefix) + std::string(kPermitSubprefix) + model;
}

std::string ShareKey(std::uint32_t page) {
  return std::string(kFeedPrefix) + std::string(kShareSubprefix) +
         std::to_string(page);
}

std::string IdempotencyKey(std::uint32_t page) {
  return kIdempotencyPrefix + std::to_string(page);
}

void ToWire(const ProcessId& process, wire::ProcessId& out) {
  out.set_vm(process.vm);
  out.set_incarnation(process.incarnation);
  out.set_listed_version(process.listed_version);
}

ProcessId FromWire(const wire::ProcessId& in) {
  return {.vm = in.vm(),
          .incarnation = in.incarnation(),
          .listed_version = in.listed_version()};
}

void ToWire(const KeptAnswer& answer, wire::KeptAnswer& out) {
  out.set_status(answer.status);
  out.set_content_type(answer.content_type);
  out.set_body(answer.body);
}

KeptAnswer FromWire(const wire::KeptAnswer& in) {
  return {.status = in.status(),
          .content_type = in.content_type(),
          .body = in.body()};
}

void ToWire(const FeedItem& item, wire::FeedItem& out) {
  out.set_key(item.key);
  out.set_revision(item.revision);
  if (const auto* resource = std::get_if<Resource>(&item.value))
    ToWire(*resource, *out.mutable_resource());
  else if (const auto* permits = std::get_if<PermitRecord>(&item.value))
    ToWire(*permits, *out.mutable_permits());
  else if (const auto* shares = std::get_if<SharePage>(&item.value))
    ToWire(*shares, *out.mutable_shares());
}

FeedItem FromWire(const wire::FeedItem& in) {
  FeedItem item{
      .key = in.key(), .revision = in.revision(), .value = DeletedItem{}};
  if (in.has_resource())
    item.value = RecordFromWire(in.resource(), in.revision());
  else if (in.has_permits())
    item.value = RecordFromWire(in.permits(), in.revision());
  else if (in.has_shares())
    item.value = RecordFromWire(in.shares(), in.revision());
  return item;
}

void ToWire(const RosterList& list, wire::RosterList& out) {
  out.set_version(list.version);
  out.set_base(list.base);
  for (const std::string& vm : list.gone)
    out.add_gone(vm);
  for (const RosterEntry& entry : list.entries) {
    wire::RosterEntry& added = *out.add_entries();
    added.set_vm(entry.vm);
    added.set_data_centre(entry.data_centre);
    added.set_role(std::string(kNodeRoleNames.Name(entry.role)));
    added.set_state(std::string(kVmStateNames.Name(entry.state)));
    added.set_peer_endpoint(entry.peer_endpoint);
    added.set_pool(entry.pool);
    added.set_memory_mb(entry.memory_mb);
  }
}

RosterList FromWire(const wire::RosterList& in) {
  RosterList list{.version = in.version(),
                  .base = in.base(),
                  .gone = {in.gone().begin(), in.gone().end()}};
  for (const wire::RosterEntry& entry : in.entries()) {
    const std::optional<NodeRole> role = kNodeRoleNames.Find(entry.role());
    const std::optional<VmState> state = kVmStateNames.Find(entry.state());
    if (!role || !state)
      throw Error(Step::kDecodePlatformReply, entry.vm(),
                  "unknown role or state of the VM");
    list.entries.push_back({.vm = entry.vm(),
                            .data_centre = entry.data_centre(),
                            .role = *role,
                            .state = *state,
                            .peer_endpoint = entry.peer_endpoint(),
                            .pool = entry.pool(),
                            .memory_mb = entry.memory_mb()});
  }
  return list;
}

template <typename Message>
void SpecToWire(const ResourceSpec& spec, Message& out) {
  if (const auto* model = std::get_if<ModelSpec>(&spec)) {
    out.mutable_model()->set_version(model->version);
    out.mutable_model()->set_replicas(model->replicas);
    out.mutable_model()->set_idle_unload_seconds(model->idle_unload_seconds);
  } else if (const auto* version = std::get_if<VersionSpec>(&spec)) {
    out.mutable_version()->set_model(version->model);
    out.mutable_version()->set_weights(version->weights);
    out.mutable_version()->set_memory_mb(version->memory_mb);
  } else if (const auto* adapter = std::get_if<AdapterSpec>(&spec)) {
    out.mutable_adapter()->set_model(adapter->model);
    out.mutable_adapter()->set_weights(adapter->weights);
    out.mutable_adapter()->set_memory_mb(adapter->memory_mb);
  } else if (const auto* route = std::get_if<RouteSpec>(&spec)) {
    out.mutable_route()->set_path_prefix(route->path_prefix);
    out.mutable_route()->set_target(
        std::string(kRouteTargetNames.Name(route->target)));
    out.mutable_route()->set_pool(route->pool);
    out.mutable_route()->set_idempotent(route->idempotent);
    out.mutable_route()->set_open(route->open);
    for (const std::string& team : route->teams)
      out.mutable_route()->add_teams(team);
  } else if (const auto* team = std::get_if<TeamSpec>(&spec)) {
    out.mutable_team()->set_rate_tokens_per_second(
        team->rate_tokens_per_second);
    out.mutable_team()->set_burst_tokens(team->burst_tokens);
  } else if (const auto* key = std::get_if<KeySpec>(&spec)) {
    out.mutable_key()->set_team(key->team);
    out.mutable_key()->set_sha256(key->sha256);
  }
}

template <typename Message>
std::optional<ResourceSpec> SpecFromWire(const Message& in) {
  if (in.has_model()) {
    ModelSpec spec{.version = in.model().version()};
    if (in.model().has_replicas())
      spec.replicas = in.model().replicas();
    if (in.model().has_idle_unload_seconds())
      spec.idle_unload_seconds = in.model().idle_unload_seconds();
    return spec;
  }
  if (in.has_version()) {
    return VersionSpec{.model = in.version().model(),
                       .weights = in.version().weights(),
                       .memory_mb = in.version().memory_mb()};
  }
  if (in.has_adapter()) {
    return AdapterSpec{.model = in.adapter().model(),
                       .weights = in.adapter().weights(),
                       .memory_mb = in.adapter().memory_mb()};
  }
  if (in.has_route()) {
    const std::string target =
        in.route().target().empty() ? "models" : in.route().target();
    const std::optional<RouteTarget> found = kRouteTargetNames.Find(target);
    if (!found) {
      throw Error(
          Step::kDecodeDocument, "",
          "spec.target: expected one of " + kRouteTargetNames.Choices());
    }
    return RouteSpec{
        .path_prefix = in.route().path_prefix(),
        .target = *found,
        .pool = in.route().pool(),
        .idempotent = in.route().idempotent(),
        .open = in.route().open(),
        .teams = {in.route().teams().begin(), in.route().teams().end()}};
  }
  if (in.has_team()) {
    return TeamSpec{
        .rate_tokens_per_second = in.team().rate_tokens_per_second(),
        .burst_tokens = in.team().burst_tokens()};
  }
  if (in.has_key())
    return KeySpec{.team = in.key().team(), .sha256 = in.key().sha256()};
  return std::nullopt;
}

template void SpecToWire<wire::Resource>(const ResourceSpec&, wire::Resource&);
template void SpecToWire<wire::ResourceDocument>(const ResourceSpec&,
                                                 wire::ResourceDocument&);
template std::optional<ResourceSpec> SpecFromWire<wire::Resource>(
    const wire::Resource&);
template std::optional<ResourceSpec> SpecFromWire<wire::ResourceDocument>(
    const wire::ResourceDocument&);

std::string EncodeValue(const Resource& resource) {
  wire::Resource out;
  ToWire(resource, out);
  // The version is the revision of the store; a stored copy could differ from
  // it.
  out.clear_resource_version();
  return ToJson(out);
}

std::string EncodeValue(const PermitRecord& record) {
  wire::PermitRecord out;
  ToWire(record, out);
  return ToJson(out);
}

std::string EncodeValue(const SharePage& page) {
  wire::SharePage out;
  ToWire(page, out);
  return ToJson(out);
}

std::string EncodeValue(const RouterRecord& record) {
  wire::RouterRecord out;
  out.set_vm(record.vm);
  out.set_data_centre(record.data_centre);
  out.set_endpoint(record.endpoint);
  out.set_incarnation(record.incarnation);
  return ToJson(out);
}

RouterRecord DecodeRouterRecord(const std::string& value) {
  wire::RouterRecord in;
  FromJson(value, in, UnknownFields::kIgnore, Step::kDecodePlatformReply,
           "router record");
  if (!ParseHostEndpoint(in.endpoint()))
    throw Error(Step::kDecodePlatformReply, "router record",
                "the endpoint is not ip:port: " + in.endpoint());
  return {.vm = in.vm(),
          .data_centre = in.data_centre(),
          .endpoint = in.endpoint(),
          .incarnation = in.incarnation()};
}

std::string EncodeValue(const IdempotencyPage& page) {
  wire::IdempotencyPage out;
  out.set_page(page.page);
  ToWire(page.owner, *out.mutable_owner());
  out.set_last_order(page.last_order);
  for (const auto& [id, entry] : page.entries) {
    wire::IdempotencyEntry& added = *out.add_entries();
    added.set_claim_id(id);
    added.set_state(static_cast<std::uint32_t>(entry.state));
    added.set_request_hash(entry.request_hash);
    ToWire(entry.runner, *added.mutable_runner());
    added.set_token(entry.token);
    added.set_answer_kept(entry.answer_kept);
    if (entry.answer_kept)
      ToWire(entry.answer, *added.mutable_answer());
    added.set_order(entry.order);
  }
  return out.SerializeAsString();
}

FeedItem DecodeFeedValue(const std::string& key,
                         const std::string& value,
                         Revision revision) {
  FeedItem item{.key = key, .revision = revision, .value = DeletedItem{}};
  const std::string_view subkey =
      std::string_view(key).substr(std::string_view(kFeedPrefix).size());
  if (subkey.starts_with(kResourceSubprefix)) {
    item.value = DecodeResource(value, revision);
  } else if (subkey.starts_with(kPermitSubprefix)) {
    wire::PermitRecord record;
    FromJson(value, record, UnknownFields::kIgnore, Step::kDecodePlatformReply,
             key);
    item.value = RecordFromWire(record, revision);
  } else if (subkey.starts_with(kShareSubprefix)) {
    wire::SharePage page;
    FromJson(value, page, UnknownFields::kIgnore, Step::kDecodePlatformReply,
             key);
    item.value = RecordFromWire(page, revision);
  } else {
    throw Error(Step::kDecodePlatformReply, key, "unknown kind of key");
  }
  return item;
}

Resource DecodeResource(const std::string& value, Revision revision) {
  wire::Resource resource;
  FromJson(value, resource, UnknownFields::kIgnore, Step::kDecodePlatformReply,
           "resource");
  return RecordFromWire(resource, revision);
}

IdempotencyPage DecodeIdempotencyPage(const std::string& value,
                                      Revision revision) {
  wire::IdempotencyPage in;
  if (!in.ParseFromString(value))
    throw Error(Step::kDecodePlatformReply, "idempotency page",
                "cannot parse the page of idempotency claims");
  IdempotencyPage page{.page = in.page(),
                       .revision = revision,
                       .owner = FromWire(in.owner()),
                       .last_order = in.last_order()};
  for (const wire::IdempotencyEntry& entry : in.entries()) {
    if (entry.state() >= kClaimStateNames.rows.size())
      throw Error(Step::kDecodePlatformReply, "idempotency page",
                  "unknown claim state");
    page.entries[entry.claim_id()] = {
        .state = static_cast<ClaimState>(entry.state()),
        .request_hash = entry.request_hash(),
        .runner = FromWire(entry.runner()),
        .token = entry.token(),
        .answer_kept = entry.answer_kept(),
        .answer = FromWire(entry.answer()),
        .order = entry.order()};
  }
  return page;
}

std::string ToJson(const google::protobuf::Message& message) {
  google::protobuf::util::JsonPrintOptions options;
  options.preserve_proto_field_names = true;
  options.always_print_primitive_fields = true;
  std::string json;
  const auto status =
      google::protobuf::util::MessageToJsonString(message, &json, options);
  if (!status.ok())
    throw Error(Step::kDecodeDocument, "", status.ToString());
  return json;
}

void FromJson(std::string_view json,
              google::protobuf::Message& out,
              UnknownFields unknown,
              Step step,
              const std::string& peer) {
  google::protobuf::util::JsonParseOptions options;
  options.ignore_unknown_fields = unknown == UnknownFields::kIgnore;
  const auto status = google::protobuf::util::JsonStringToMessage(
      google::protobuf::StringPiece(json.data(), json.size()), &out, options);
  if (!status.ok())
    throw Error(step, peer, std::string(status.message()));
}

}  // namespace boragepick
