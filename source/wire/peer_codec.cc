#include "wire/peer_codec.h"

#include <google/protobuf/stubs/logging.h>

#include "common/error.h"
#include "wire/record_codec.h"

namespace boragepick {

namespace {

[[noreturn]] void Reject(const std::string& reason) {
  throw Error(Step::kDecodePeerFrame, "", reason);
}

// Converts an encoded number to a value of an enumeration with a table of
// names.
template <typename Enum, std::size_t kRows>
Enum CheckedEnum(std::uint32_t number, const EnumTable<Enum, kRows>& table) {
  const auto value = static_cast<Enum>(number);
  if (number >= kRows)
    Reject("enum value out of range: expected one of " + table.Choices());
  return value;
}

template <typename Enum>
std::uint32_t EnumNumber(Enum value) {
  return static_cast<std::uint32_t>(value);
}

void ToWire(const AttemptId& id, wire::AttemptId& out) {
  out.set_request(id.request);
  out.set_attempt(id.attempt);
}

AttemptId AttemptIdFromWire(const wire::AttemptId& in) {
  return {.request = in.request(), .attempt = in.attempt()};
}

// --- EncodeBody and DecodeBody, one pair for each message type ---

void EncodeBody(const RunRequest& message, wire::Envelope& envelope) {
  wire::RunRequest& out = *envelope.mutable_run_request();
  ToWire(message.id, *out.mutable_id());
  out.set_method(EnumNumber(message.method));
  out.set_path(message.path);
  out.set_content_type(message.content_type);
  out.set_body(message.body);
  out.set_model(message.model);
  out.set_adapter(message.adapter);
  out.set_stream(message.stream);
  out.set_cache_salt(message.cache_salt);
  out.set_team(message.team);
  out.set_priority(EnumNumber(message.priority));
  out.set_cost(message.cost);
  out.set_patience_us(message.remaining_time.count());
  out.set_resume_after(message.resume_after);
  out.set_suspect(message.suspect);
  out.set_response_limit(message.response_limit);
}

RunRequest DecodeBody(wire::RunRequest& in) {
  return {.id = AttemptIdFromWire(in.id()),
          .method = CheckedEnum(in.method(), kMethodNames),
          .path = std::move(*in.mutable_path()),
          .content_type = in.content_type(),
          .body = std::move(*in.mutable_body()),
          .model = in.model(),
          .adapter = in.adapter(),
          .stream = in.stream(),
          .cache_salt = in.cache_salt(),
          .team = in.team(),
          .priority = CheckedEnum(in.priority(), kPriorityNames),
          .cost = in.cost(),
          .remaining_time = Duration(in.patience_us()),
          .resume_after = in.resume_after(),
          .suspect = in.suspect(),
          .response_limit = in.response_limit()};
}

void EncodeBody(const CancelRun& message, wire::Envelope& envelope) {
  ToWire(message.id, *envelope.mutable_cancel_run()->mutable_id());
}

CancelRun DecodeBody(wire::CancelRun& in) {
  return {.id = AttemptIdFromWire(in.id())};
}

void EncodeBody(const RunCredit& message, wire::Envelope& envelope) {
  wire::RunCredit& out = *envelope.mutable_run_credit();
  ToWire(message.id, *out.mutable_id());
  out.set_response_limit(message.response_limit);
}

RunCredit DecodeBody(wire::RunCredit& in) {
  return {.id = AttemptIdFromWire(in.id()),
          .response_limit = in.response_limit()};
}

void EncodeBody(const RunProgress& message, wire::Envelope& envelope) {
  ToWire(message.id, *envelope.mutable_run_progress()->mutable_id());
}

RunProgress DecodeBody(wire::RunProgress& in) {
  return {.id = AttemptIdFromWire(in.id())};
}

void EncodeBody(const RunHead& message, wire::Envelope& envelope) {
  wire::RunHead& out = *envelope.mutable_run_head();
  ToWire(message.id, *out.mutable_id());
  out.set_status(message.head.status);
  out.set_content_type(message.head.content_type);
}

RunHead DecodeBody(wire::RunHead& in) {
  return {.id = AttemptIdFromWire(in.id()),
          .head = {.status = in.status(), .content_type = in.content_type()}};
}

void EncodeBody(const RunChunk& message, wire::Envelope& envelope) {
  wire::RunChunk& out = *envelope.mutable_run_chunk();
  ToWire(message.id, *out.mutable_id());
  out.set_sequence(message.sequence);
  out.set_bytes(message.bytes);
}

RunChunk DecodeBody(wire::RunChunk& in) {
  return {.id = AttemptIdFromWire(in.id()),
          .sequence = in.sequence(),
          .bytes = std::move(*in.mutable_bytes())};
}

void ToWire(const AgentReport& report, wire::AgentReport& out) {
  out.set_running(report.running);
  out.set_waiting(report.waiting);
  out.set_slots(report.slots);
  out.set_leaving(report.leaving);
  out.set_feed_revision(report.feed_revision);
  for (const ResidentUnit& unit : report.units) {
    wire::ResidentUnit& added = *out.add_units();
    added.set_name(unit.name);
    added.set_residency(EnumNumber(unit.residency));
  }
}

AgentReport AgentReportFromWire(const wire::AgentReport& in) {
  AgentReport report{.running = in.running(),
                     .waiting = in.waiting(),
                     .slots = in.slots(),
                     .leaving = in.leaving(),
                     .feed_revision = in.feed_revision()};
  for (const wire::ResidentUnit& unit : in.units()) {
    report.units.push_back(
        {.name = unit.name(),
         .residency = CheckedEnum(unit.residency(), kResidencyNames)});
  }
  return report;
}

void EncodeBody(const AgentReport& message, wire::Envelope& envelope) {
  ToWire(message, *envelope.mutable_agent_report());
}

void EncodeBody(const RunEnded& message, wire::Envelope& envelope) {
  wire::RunEnded& out = *envelope.mutable_run_ended();
  ToWire(message.id, *out.mutable_id());
  out.set_end(EnumNumber(message.outcome));
  out.set_chunks(message.chunks);
  out.set_detail(message.detail);
  out.set_crash(message.crash);
  ToWire(message.report, *out.mutable_report());
}

RunEnded DecodeBody(wire::RunEnded& in) {
  return {.id = AttemptIdFromWire(in.id()),
          .outcome = CheckedEnum(in.end(), kRunOutcomeNames),
          .chunks = in.chunks(),
          .detail = in.detail(),
          .crash = in.crash(),
          .report = AgentReportFromWire(in.report())};
}

void EncodeBody(const FeedSubscribe& message, wire::Envelope& envelope) {
  wire::FeedSubscribe& out = *envelope.mutable_feed_subscribe();
  out.set_revision(message.revision);
  out.set_roster_version(message.roster_version);
  out.set_data_centre(message.data_centre);
  out.set_nodes(message.nodes);
  out.set_lowest_in_force(message.lowest_in_force);
}

FeedSubscribe DecodeBody(wire::FeedSubscribe& in) {
  return {.revision = in.revision(),
          .roster_version = in.roster_version(),
          .data_centre = in.data_centre(),
          .nodes = in.nodes(),
          .lowest_in_force = in.lowest_in_force()};
}

void EncodeBody(const FeedFreshness& message, wire::Envelope& envelope) {
  wire::FeedFresh& out = *envelope.mutable_feed_fresh();
  out.set_revision(message.revision);
  out.set_roster_version(message.roster_version);
  out.set_age_us(message.age.count());
  out.set_nodes(message.nodes);
  out.set_lowest_in_force(message.lowest_in_force);
}

FeedFreshness DecodeBody(wire::FeedFresh& in) {
  return {.revision = in.revision(),
          .roster_version = in.roster_version(),
          .age = Duration(in.age_us()),
          .nodes = in.nodes(),
          .lowest_in_force = in.lowest_in_force()};
}

void EncodeBody(const FeedUpdate& message, wire::Envelope& envelope) {
  wire::FeedUpdate& out = *envelope.mutable_feed_update();
  out.set_snapshot(message.snapshot);
  out.set_base(message.base);
  out.set_revision(message.revision);
  for (const FeedItem& item : message.items)
    ToWire(item, *out.add_items());
}

FeedUpdate DecodeBody(wire::FeedUpdate& in) {
  FeedUpdate update{
      .snapshot = in.snapshot(), .base = in.base(), .revision = in.revision()};
  for (const wire::FeedItem& item : in.items())
    update.items.push_back(FromWire(item));
  return update;
}

void EncodeBody(const RosterList& message, wire::Envelope& envelope) {
  ToWire(message, *envelope.mutable_roster_list());
}

RosterList DecodeBody(wire::RosterList& in) {
  return FromWire(in);
}

void EncodeBody(const QuotaLoanRequest& message, wire::Envelope& envelope) {
  wire::QuotaAsk& out = *envelope.mutable_quota_ask();
  out.set_team(message.team);
  out.set_number(message.number);
  out.set_wanted(message.wanted);
  for (const ClosedLoan& loan : message.closed) {
    wire::ClosedLoan& added = *out.add_closed();
    added.set_number(loan.number);
    added.set_unspent(loan.unspent);
  }
  out.set_refund(message.refund);
  out.set_refund_number(message.refund_number);
  out.set_needed(message.needed);
  out.set_urgency(message.urgency);
  out.set_demand(message.demand);
  out.set_patience_us(message.patience.count());
}

QuotaLoanRequest DecodeBody(wire::QuotaAsk& in) {
  QuotaLoanRequest request{.team = in.team(),
                           .number = in.number(),
                           .wanted = in.wanted(),
                           .needed = in.needed(),
                           .urgency = in.urgency(),
                           .demand = in.demand(),
                           .patience = Duration(in.patience_us()),
                           .refund = in.refund(),
                           .refund_number = in.refund_number()};
  for (const wire::ClosedLoan& loan : in.closed())
    request.closed.push_back(
        {.number = loan.number(), .unspent = loan.unspent()});
  return request;
}

void EncodeBody(const QuotaLoan& message, wire::Envelope& envelope) {
  wire::QuotaLoan& out = *envelope.mutable_quota_loan();
  out.set_team(message.team);
  out.set_number(message.number);
  out.set_tokens(message.tokens);
}

QuotaLoan DecodeBody(wire::QuotaLoan& in) {
  return {.team = in.team(), .number = in.number(), .tokens = in.tokens()};
}

void EncodeBody(const IdempotencyClaim& message, wire::Envelope& envelope) {
  wire::IdempotencyClaim& out = *envelope.mutable_idempotency_claim();
  out.set_claim_id(message.claim_id);
  out.set_request_hash(message.request_hash);
  out.set_token(message.token);
}

IdempotencyClaim DecodeBody(wire::IdempotencyClaim& in) {
  return {.claim_id = in.claim_id(),
          .request_hash = in.request_hash(),
          .token = in.token()};
}

void EncodeBody(const IdempotencyVerdict& message, wire::Envelope& envelope) {
  wire::IdempotencyVerdict& out = *envelope.mutable_idempotency_verdict();
  out.set_token(message.token);
  out.set_kind(EnumNumber(message.kind));
  ToWire(message.answer, *out.mutable_answer());
  out.set_owner_vm(message.owner_vm);
}

IdempotencyVerdict DecodeBody(wire::IdempotencyVerdict& in) {
  return {.token = in.token(),
          .kind = CheckedEnum(in.kind(), kIdempotencyVerdictNames),
          .answer = FromWire(in.answer()),
          .owner_vm = in.owner_vm()};
}

void EncodeBody(const IdempotencyOutcome& message, wire::Envelope& envelope) {
  wire::IdempotencyOutcome& out = *envelope.mutable_idempotency_outcome();
  out.set_claim_id(message.claim_id);
  out.set_token(message.token);
  out.set_result(EnumNumber(message.result));
  ToWire(message.answer, *out.mutable_answer());
}

IdempotencyOutcome DecodeBody(wire::IdempotencyOutcome& in) {
  return {.claim_id = in.claim_id(),
          .token = in.token(),
          .result = CheckedEnum(in.result(), kIdempotencyResultNames),
          .answer = FromWire(in.answer())};
}

void EncodeBody(const IdempotencyOutcomeStored& message,
                wire::Envelope& envelope) {
  envelope.mutable_idempotency_outcome_stored()->set_token(message.token);
}

IdempotencyOutcomeStored DecodeBody(wire::IdempotencyOutcomeStored& in) {
  return {.token = in.token()};
}

void EncodeBody(const CrashNotice& message, wire::Envelope& envelope) {
  wire::CrashNotice& out = *envelope.mutable_crash_notice();
  out.set_fingerprint(message.fingerprint);
  out.set_crash(message.crash);
  out.set_cleared(message.cleared);
  out.mutable_parts()->Assign(message.parts.begin(), message.parts.end());
  out.set_age_us(message.age.count());
  if (message.probed)
    out.set_probed(*message.probed);
}

CrashNotice DecodeBody(wire::CrashNotice& in) {
  return {
      .fingerprint = in.fingerprint(),
      .crash = in.crash(),
      .cleared = in.cleared(),
      .parts = {in.parts().begin(), in.parts().end()},
      .age = Duration(in.age_us()),
      .probed = in.has_probed() ? std::optional(in.probed()) : std::nullopt};
}

void EncodeBody(const SlotRequest& message, wire::Envelope& envelope) {
  wire::SlotAsk& out = *envelope.mutable_slot_ask();
  out.set_number(message.number);
  out.set_pool(message.pool);
  out.set_priority(EnumNumber(message.priority));
  out.set_done(message.release);
  out.set_held(message.already_held);
  out.set_name(message.name);
  out.set_waiting(message.waiting_requests);
  out.set_took_us(message.load_time.count());
  out.set_expected_us(message.expected_load_time.count());
}

SlotRequest DecodeBody(wire::SlotAsk& in) {
  return {.number = in.number(),
          .pool = in.pool(),
          .priority = CheckedEnum(in.priority(), kPriorityNames),
          .release = in.done(),
          .already_held = in.held(),
          .name = in.name(),
          .waiting_requests = in.waiting(),
          .load_time = Duration(in.took_us()),
          .expected_load_time = Duration(in.expected_us())};
}

void EncodeBody(const SlotGrant& message, wire::Envelope& envelope) {
  wire::SlotGrant& out = *envelope.mutable_slot_grant();
  out.set_number(message.number);
  out.set_pool(message.pool);
  out.set_granted(message.granted);
}

SlotGrant DecodeBody(wire::SlotGrant& in) {
  return {.number = in.number(), .pool = in.pool(), .granted = in.granted()};
}

void EncodeBody(const ColdPlaceRequest& message, wire::Envelope& envelope) {
  wire::ColdPlaceAsk& out = *envelope.mutable_cold_place_ask();
  out.set_worker(message.worker);
  out.set_number(message.number);
  out.set_wanted(message.wanted);
  out.set_urgency(message.urgency);
  out.set_prompt_tokens(message.prompt_tokens);
}

ColdPlaceRequest DecodeBody(wire::ColdPlaceAsk& in) {
  return {.worker = in.worker(),
          .number = in.number(),
          .wanted = in.wanted(),
          .urgency = in.urgency(),
          .prompt_tokens = in.prompt_tokens()};
}

void EncodeBody(const ColdPlaceGrant& message, wire::Envelope& envelope) {
  wire::ColdPlaceGrant& out = *envelope.mutable_cold_place_grant();
  out.set_worker(message.worker);
  out.set_number(message.number);
  out.set_places(message.places);
}

ColdPlaceGrant DecodeBody(wire::ColdPlaceGrant& in) {
  return {.worker = in.worker(), .number = in.number(), .places = in.places()};
}

void EncodeBody(const LoadRequest& message, wire::Envelope& envelope) {
  wire::LoadAsk& out = *envelope.mutable_load_ask();
  out.set_model(message.model);
  out.set_adapter(message.adapter);
  out.set_waiting(message.waiting);
  out.set_milli_requests(message.milli_requests);
  for (const ModelDemand& demand : message.demands) {
    wire::ModelValue& added = *out.add_values();
    added.set_model(demand.model);
    added.set_milli_requests(demand.milli_requests);
    added.set_running(demand.running);
  }
  for (const std::string& endpoint : message.slot_coordinators)
    out.add_slot_keepers(endpoint);
}

LoadRequest DecodeBody(wire::LoadAsk& in) {
  LoadRequest request{.model = in.model(),
                      .adapter = in.adapter(),
                      .waiting = in.waiting(),
                      .milli_requests = in.milli_requests()};
  for (const wire::ModelValue& value : in.values())
    request.demands.push_back({.model = value.model(),
                               .milli_requests = value.milli_requests(),
                               .running = value.running()});
  request.slot_coordinators.assign(in.slot_keepers().begin(),
                                   in.slot_keepers().end());
  return request;
}

void EncodeBody(const EngineUpdate& message, wire::Envelope& envelope) {
  wire::EngineNews& out = *envelope.mutable_engine_news();
  wire::EngineContents& contents = *out.mutable_contents();
  contents.set_born(message.contents.born);
  for (const LoadedModel& model : message.contents.models) {
    wire::LoadedModel& added = *contents.add_models();
    added.set_name(model.name);
    added.set_version(model.version);
    for (const std::string& adapter : model.adapters)
      added.add_adapters(adapter);
  }
  for (const std::string& name : message.queued)
    out.add_queued(name);
  out.set_busy(message.busy);
  out.set_waiting(message.waiting);
}

EngineUpdate DecodeBody(wire::EngineNews& in) {
  const wire::EngineContents& contents = in.contents();
  EngineUpdate update{.contents = {.born = contents.born()},
                      .queued = {in.queued().begin(), in.queued().end()},
                      .busy = in.busy(),
                      .waiting = in.waiting()};
  for (const wire::LoadedModel& model : contents.models())
    update.contents.models.push_back(
        {.name = model.name(),
         .version = model.version(),
         .adapters = {model.adapters().begin(), model.adapters().end()}});
  return update;
}

PeerMessage DecodeMessage(wire::Envelope& envelope) {
  using Body = wire::Envelope::BodyCase;
  switch (envelope.body_case()) {
    case Body::kRunRequest:
      return DecodeBody(*envelope.mutable_run_request());
    case Body::kCancelRun:
      return DecodeBody(*envelope.mutable_cancel_run());
    case Body::kRunCredit:
      return DecodeBody(*envelope.mutable_run_credit());
    case Body::kRunProgress:
      return DecodeBody(*envelope.mutable_run_progress());
    case Body::kRunHead:
      return DecodeBody(*envelope.mutable_run_head());
    case Body::kRunChunk:
      return DecodeBody(*envelope.mutable_run_chunk());
    case Body::kRunEnded:
      return DecodeBody(*envelope.mutable_run_ended());
    case Body::kAgentReport:
      return AgentReportFromWire(envelope.agent_report());
    case Body::kFeedSubscribe:
      return DecodeBody(*envelope.mutable_feed_subscribe());
    case Body::kFeedFresh:
      return DecodeBody(*envelope.mutable_feed_fresh());
    case Body::kFeedUpdate:
      return DecodeBody(*envelope.mutable_feed_update());
    case Body::kRosterList:
      return DecodeBody(*envelope.mutable_roster_list());
    case Body::kQuotaAsk:
      return DecodeBody(*envelope.mutable_quota_ask());
    case Body::kQuotaLoan:
      return DecodeBody(*envelope.mutable_quota_loan());
    case Body::kIdempotencyClaim:
      return DecodeBody(*envelope.mutable_idempotency_claim());
    case Body::kIdempotencyVerdict:
      return DecodeBody(*envelope.mutable_idempotency_verdict());
    case Body::kIdempotencyOutcome:
      return DecodeBody(*envelope.mutable_idempotency_outcome());
    case Body::kIdempotencyOutcomeStored:
      return DecodeBody(*envelope.mutable_idempotency_outcome_stored());
    case Body::kCrashNotice:
      return DecodeBody(*envelope.mutable_crash_notice());
    case Body::kSlotAsk:
      return DecodeBody(*envelope.mutable_slot_ask());
    case Body::kSlotGrant:
      return DecodeBody(*envelope.mutable_slot_grant());
    case Body::kLoadAsk:
      return DecodeBody(*envelope.mutable_load_ask());
    case Body::kEngineNews:
      return DecodeBody(*envelope.mutable_engine_news());
    case Body::kColdPlaceAsk:
      return DecodeBody(*envelope.mutable_cold_place_ask());
    case Body::kColdPlaceGrant:
      return DecodeBody(*envelope.mutable_cold_place_grant());
    case Body::BODY_NOT_SET:
      break;
  }
  Reject("frame has no known message");
}

}  // namespace

std::string EncodePeerFrame(const PeerSender& from,
                            const PeerMessage& message) {
  wire::Envelope envelope;
  envelope.set_version(kWireVersion);
  envelope.set_vm(from.vm);
  envelope.set_incarnation(from.incarnation);
  envelope.set_endpoint(from.endpoint);
  std::visit([&](const auto& body) { EncodeBody(body, envelope); }, message);
  return envelope.SerializeAsString();
}

PeerFrame DecodePeerFrame(std::string_view frame, const std::string& peer) {
  // Without this, protobuf writes to standard error for each frame that it
  // cannot parse; the caller logs the error as an event.
  [[maybe_unused]] static const auto kPreviousLogHandler =
      google::protobuf::SetLogHandler(nullptr);
  wire::Envelope envelope;
  try {
    if (!envelope.ParseFromArray(frame.data(), static_cast<int>(frame.size())))
      Reject("frame is truncated or not a valid envelope");
    if (envelope.version() != kWireVersion) {
      Reject("expected wire version " + std::to_string(kWireVersion) +
             ", found " + std::to_string(envelope.version()));
    }
    if (envelope.vm().empty() || envelope.endpoint().empty())
      Reject("frame has no sender");
    return {.from = {.vm = envelope.vm(),
                     .incarnation = envelope.incarnation(),
                     .endpoint = envelope.endpoint()},
            .message = DecodeMessage(envelope)};
  } catch (const Error& error) {
    throw Error(Step::kDecodePeerFrame, peer, error.reason());
  }
}

}  // namespace boragepick
