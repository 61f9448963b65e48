// The decoders of external input: encoded values survive a round trip, and
// truncated, corrupted or arbitrary input never causes anything but an Error.

#include <gtest/gtest.h>

#include <rapidcheck.h>
#include <rapidcheck/gtest.h>
#include <string>
#include <vector>

#include "common/error.h"
#include "common/random.h"
#include "frontends/caller_codec.h"
#include "frontends/etcd_codec.h"
#include "frontends/operator_codec.h"
#include "frontends/settings.h"
#include "wire/peer_codec.h"
#include "wire/record_codec.h"

namespace boragepick {
namespace {

const PeerSender kSelf{.vm = "r1", .incarnation = 7, .endpoint = "127.0.0.1:1"};

std::vector<PeerMessage> AllMessages() {
  const AttemptId id{.request = 5, .attempt = 2};
  const Resource team{
      .name = "t",
      .spec = TeamSpec{.rate_tokens_per_second = 3, .burst_tokens = 4},
      .resource_version = 8};
  return {
      RunRequest{.id = id,
                 .path = "/v1",
                 .body = std::string("\0x", 2),
                 .model = "m",
                 .stream = true,
                 .response_limit = 77},
      RunCredit{.id = id, .response_limit = 1ULL << 40},
      ColdPlaceRequest{.worker = "w",
                       .number = 3,
                       .wanted = 2,
                       .urgency = 4,
                       .prompt_tokens = 700},
      ColdPlaceGrant{.worker = "w", .number = 3, .places = 2},
      CancelRun{.id = id},
      RunProgress{.id = id},
      RunHead{.id = id, .head = {.status = 201, .content_type = "text/plain"}},
      RunChunk{.id = id, .sequence = 9, .bytes = "abc"},
      RunEnded{.id = id,
               .outcome = RunOutcome::kCrashed,
               .chunks = 3,
               .crash = "w/1",
               .report = {.running = 1, .units = {{.name = "m"}}}},
      AgentReport{.waiting = 4, .leaving = true},
      FeedSubscribe{.revision = 4, .nodes = 0},
      FeedFreshness{.revision = 4, .age = std::chrono::milliseconds(3)},
      FeedUpdate{.snapshot = true,
                 .revision = 8,
                 .items = {{.key = "k", .revision = 8, .value = team}}},
      RosterList{.version = 3,
                 .entries = {{.vm = "w", .role = NodeRole::kAgent}}},
      QuotaLoanRequest{.team = "t",
                       .number = 2,
                       .wanted = 3,
                       .closed = {{.number = 1, .unspent = 1}}},
      QuotaLoan{.team = "t", .number = 2, .tokens = 3},
      IdempotencyClaim{.claim_id = "c", .request_hash = "h", .token = 3},
      IdempotencyVerdict{.token = 3,
                         .kind = IdempotencyVerdictKind::kReplay,
                         .answer = {.status = 200, .body = "b"}},
      IdempotencyOutcome{
          .claim_id = "c", .token = 3, .result = IdempotencyResult::kWhole},
      IdempotencyOutcomeStored{.token = 3},
      CrashNotice{.fingerprint = 5,
                  .crash = "w/1",
                  .parts = {7, 8},
                  .age = std::chrono::milliseconds(3),
                  .probed = 9},
      SlotRequest{.number = 1,
                  .pool = "weights",
                  .priority = Priority::kBatch,
                  .already_held = true,
                  .name = "m",
                  .waiting_requests = 3,
                  .load_time = std::chrono::seconds(9),
                  .expected_load_time = std::chrono::seconds(8)},
      SlotGrant{.number = 1, .pool = "weights", .granted = false},
      LoadRequest{
          .model = "m",
          .adapter = "a",
          .waiting = 2,
          .milli_requests = 1'500,
          .demands = {{.model = "n", .milli_requests = 3, .running = 2}},
          .slot_coordinators = {"10.0.0.1:7"}},
      EngineUpdate{.contents = {.born = 4,
                                .models = {{.name = "m",
                                            .version = 2,
                                            .adapters = {"a"}}}},
                   .queued = {"n"},
                   .busy = true,
                   .waiting = 5}};
}

TEST(PeerCodec, EveryMessageRoundTrips) {
  const std::vector<PeerMessage> messages = AllMessages();
  ASSERT_EQ(messages.size(), std::variant_size_v<PeerMessage>);
  for (const PeerMessage& message : messages) {
    const std::string frame = EncodePeerFrame(kSelf, message);
    const PeerFrame decoded = DecodePeerFrame(frame, "peer");
    EXPECT_EQ(decoded.from.vm, kSelf.vm);
    EXPECT_EQ(decoded.message.index(), message.index());
    // Comparing the encodings covers all fields of every message type.
    EXPECT_EQ(EncodePeerFrame(decoded.from, decoded.message), frame);
  }
}

TEST(PeerCodec, ACrashNoticeWithoutPartsIsDecoded) {
  // Fields 1 and 2 of the message, in an envelope with the sender.
  const std::string frame =
      EncodePeerFrame(kSelf, CrashNotice{.fingerprint = 5, .crash = "w/1"});
  const std::string notice("\x08\x05\x12\x03w/1", 7);
  EXPECT_NE(frame.find("\xda\x01\x07" + notice), std::string::npos);
  const auto decoded =
      std::get<CrashNotice>(DecodePeerFrame(frame, "peer").message);
  EXPECT_EQ(decoded.fingerprint, 5U);
  EXPECT_EQ(decoded.crash, "w/1");
  EXPECT_TRUE(decoded.parts.empty());
  EXPECT_EQ(decoded.age, Duration::zero());
}

// Runs a decoder on invalid input; it may throw only Error.
template <typename Decode>
void DecodesOrThrowsError(Decode decode) {
  try {
    decode();
  } catch (const Error& error) {
    RC_ASSERT(!std::string(error.what()).empty());
  }
}

std::string Corrupt(std::string text, Random& random) {
  const auto changes = 1 + random.Below(4);
  for (std::uint64_t i = 0; i < changes && !text.empty(); ++i) {
    const std::size_t at = random.Below(text.size());
    if (random.Below(3) == 0)
      text.resize(at);
    else
      text[at] = static_cast<char>(random.Next());
  }
  return text;
}

RC_GTEST_PROP(PeerCodec, CorruptFramesThrowOnlyError, ()) {
  Random random(*rc::gen::arbitrary<std::uint64_t>());
  for (const PeerMessage& message : AllMessages()) {
    const std::string frame = Corrupt(EncodePeerFrame(kSelf, message), random);
    DecodesOrThrowsError([&] { DecodePeerFrame(frame, "peer"); });
  }
}

RC_GTEST_PROP(Codecs, ArbitraryBytesThrowOnlyError, ()) {
  const auto bytes = *rc::gen::arbitrary<std::string>();
  DecodesOrThrowsError([&] { DecodePeerFrame(bytes, "peer"); });
  DecodesOrThrowsError([&] { DecodeResourceDocument(bytes); });
  DecodesOrThrowsError([&] { DecodeWatchLine(bytes); });
  DecodesOrThrowsError([&] { DecodeFeedSnapshot(bytes); });
  DecodesOrThrowsError([&] { DecodeIdempotencyPage(bytes, 1); });
  DecodesOrThrowsError([&] { ParseSettings(bytes, "file"); });
  DecodesOrThrowsError([&] {
    DecodeCallerRequest({.method = "POST",
                         .target = "/" + bytes,
                         .headers = {.content_type = "application/json"},
                         .body = bytes},
                        1, {});
  });
  DecodesOrThrowsError([&] {
    DecodeOperatorRequest(
        {.method = "PUT", .target = kOperatorPrefix + bytes, .body = bytes});
  });
}

RC_GTEST_PROP(Codecs, CorruptDocumentsThrowOnlyError, ()) {
  Random random(*rc::gen::arbitrary<std::uint64_t>());
  const std::string document =
      R"({"kind":"team","name":"t","team":{"rate_tokens_per_second":5,"burst_tokens":6}})";
  DecodesOrThrowsError(
      [&] { DecodeResourceDocument(Corrupt(document, random)); });
  DecodesOrThrowsError(
      [&] { ParseSettings(Corrupt(DefaultSettingsText(), random), "file"); });
}

TEST(OperatorCodec, ErrorsNameTheInvalidField) {
  const auto reason = [](const std::string& json) {
    try {
      DecodeResourceDocument(json);
      return std::string("accepted");
    } catch (const Error& error) {
      return error.reason();
    }
  };
  EXPECT_NE(
      reason(R"({"kind":"team","name":"t","team":{"rate":5}})").find("rate"),
      std::string::npos);
  EXPECT_NE(
      reason(R"({"kind":"tea","name":"t"})").find("expected one of model"),
      std::string::npos);
  EXPECT_NE(reason(R"({"kind":"team","name":"t","key":{}})").find("spec"),
            std::string::npos);
}

TEST(RecordCodec, IdempotencyPageRoundTrips) {
  IdempotencyPage page{
      .page = 3,
      .owner = {.vm = "r1", .incarnation = 2, .listed_version = 4},
      .last_order = 9};
  page.entries["id"] = {.state = ClaimState::kDone,
                        .request_hash = "h",
                        .token = 5,
                        .answer_kept = true,
                        .answer = {.status = 200, .body = "x"},
                        .order = 9};
  const IdempotencyPage decoded = DecodeIdempotencyPage(EncodeValue(page), 12);
  EXPECT_EQ(decoded.revision, 12);
  EXPECT_EQ(decoded.owner, page.owner);
  EXPECT_EQ(decoded.entries.at("id").answer, page.entries.at("id").answer);
}

TEST(RecordCodec, ARouterRecordWithoutAReachableEndpointIsRejected) {
  const RouterRecord record{.vm = "g1",
                            .data_centre = "a",
                            .endpoint = "10.0.0.1:7000",
                            .incarnation = 7};
  EXPECT_EQ(DecodeRouterRecord(EncodeValue(record)), record);
  for (const std::string endpoint :
       {"", "g1:7000", "10.0.0.1:99999", "10.0.0.1"}) {
    RouterRecord odd = record;
    odd.endpoint = endpoint;
    EXPECT_THROW(DecodeRouterRecord(EncodeValue(odd)), Error) << endpoint;
  }
}

TEST(Codecs, DeeplyNestedJsonThrowsOnlyError) {
  constexpr std::size_t kLevels = 500'000;
  std::string objects;
  for (std::size_t i = 0; i < kLevels; ++i)
    objects += "{\"a\":";
  const std::string arrays(kLevels, '[');
  for (const std::string& nested :
       {arrays + std::string(kLevels, ']'), arrays,
        objects + "1" + std::string(kLevels, '}'), objects}) {
    const std::string text = "{\"kvs\":" + nested + "}";
    DecodesOrThrowsError([&] { DecodeResourceDocument(nested); });
    DecodesOrThrowsError([&] { DecodeResourceDocument(text); });
    DecodesOrThrowsError([&] { DecodeRouterRecord(text); });
    DecodesOrThrowsError([&] { DecodeFeedSnapshot(text); });
    DecodesOrThrowsError([&] { DecodeWatchLine(text); });
    DecodesOrThrowsError([&] { DecodeProbe(text); });
  }
}

TEST(CallerCodec, KeysAreHashedAndNotForwarded) {
  const CallerRequest request =
      DecodeCallerRequest({.method = "GET",
                           .target = "/stock?item=4&key=secret&x=1",
                           .headers = {.authorization = "Bearer secret"}},
                          1, {});
  EXPECT_EQ(request.path, "/stock?item=4&x=1");
  EXPECT_EQ(request.key_sha256.size(), 64U);
  EXPECT_EQ(request.path.find("secret"), std::string::npos);
}

TEST(CallerCodec, RefusalsContainCodeAndRan) {
  const std::string json =
      EncodeRefusal({.code = RefusalCode::kRateLimited, .message = "a \"b\""});
  EXPECT_EQ(json,
            "{\"error\":{\"code\":\"rate_limited\",\"message\":\"a "
            "\\\"b\\\"\",\"ran\":\"not_run\"}}\n");
}

TEST(Settings, AllErrorsAreReportedWithFileAndLine) {
  const std::string text =
      "[node]\nrole = boss\nvm = r1\ncolour = red\n[http]\nendpoint = x\n";
  try {
    ParseSettings(text, "a.ini");
    FAIL() << "accepted";
  } catch (const Error& error) {
    const std::string& what = error.reason();
    EXPECT_NE(what.find("a.ini:2: [node] role expected one of router, agent"),
              std::string::npos);
    EXPECT_NE(what.find("a.ini:4: [node] colour is not a known key"),
              std::string::npos);
    EXPECT_NE(what.find("[http] endpoint expected ip:port"), std::string::npos);
    EXPECT_NE(what.find("[node] data_centre is missing"), std::string::npos);
  }
}

}  // namespace
}  // namespace boragepick
