// Encodes and decodes resources and records: as protobuf messages, and as keys
// and values in the platform's store.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "common/error.h"
#include "core/feed/feed_item.h"
#include "core/idempotency/idempotency_page.h"
#include "core/roster/roster_entry.h"
#include "core/serving/serving_fleet.h"
#include "wire/generated/boragepick.pb.h"

namespace boragepick {

// The prefix of the records that processes share.
inline constexpr const char* kRecordPrefix = "/boragepick/";

// The prefix of all keys that the feed distributes. Other records use other
// prefixes.
inline constexpr const char* kFeedPrefix = "/boragepick/feed/";
inline constexpr const char* kIdempotencyPrefix = "/boragepick/idempotency/";

// The prefix of router records. Each record has its own lease.
inline constexpr const char* kRouterPrefix = "/boragepick/routers/";
// The prefix of one key per process. A process writes its key at each start and
// uses the revision of the write as its incarnation.
inline constexpr const char* kIncarnationPrefix = "/boragepick-runs/";

std::string ResourceKey(ResourceKind kind, const std::string& name);
std::string PermitKey(const std::string& model);
std::string ShareKey(std::uint32_t page);
std::string IdempotencyKey(std::uint32_t page);

void ToWire(const ProcessId& process, wire::ProcessId& out);
ProcessId FromWire(const wire::ProcessId& in);
void ToWire(const KeptAnswer& answer, wire::KeptAnswer& out);
KeptAnswer FromWire(const wire::KeptAnswer& in);
void ToWire(const FeedItem& item, wire::FeedItem& out);
FeedItem FromWire(const wire::FeedItem& in);
void ToWire(const RosterList& list, wire::RosterList& out);
RosterList FromWire(const wire::RosterList& in);

// Instantiated for wire::Resource and wire::ResourceDocument.
template <typename Message>
void SpecToWire(const ResourceSpec& spec, Message& out);
// Returns nullopt if the message has no spec. Throws Error at
// Step::kDecodeDocument if the spec is invalid.
template <typename Message>
std::optional<ResourceSpec> SpecFromWire(const Message& in);

// Returns the value in the platform's store: protobuf's JSON form, so that
// people can read it.
std::string EncodeValue(const Resource& resource);
std::string EncodeValue(const PermitRecord& record);
std::string EncodeValue(const SharePage& page);
std::string EncodeValue(const RouterRecord& record);
// Uses protobuf's binary form because pages of claims are large and written
// often.
std::string EncodeValue(const IdempotencyPage& page);

// These throw Error at Step::kDecodePlatformReply if the value is invalid.
FeedItem DecodeFeedValue(const std::string& key,
                         const std::string& value,
                         Revision revision);
Resource DecodeResource(const std::string& value, Revision revision);
RouterRecord DecodeRouterRecord(const std::string& value);
IdempotencyPage DecodeIdempotencyPage(const std::string& value,
                                      Revision revision);

// Returns protobuf's JSON form with the field names of the .proto file.
std::string ToJson(const google::protobuf::Message& message);
enum class UnknownFields { kReject, kIgnore };
// Throws Error at `step` if the JSON is invalid.
void FromJson(std::string_view json,
              google::protobuf::Message& out,
              UnknownFields unknown,
              Step step,
              const std::string& peer);

}  // namespace boragepick
