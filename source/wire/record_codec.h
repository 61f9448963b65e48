// The encoding of resources and records: to and from their protobuf form, and
// as the values and keys of the platform's key-value service.
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

// Everything that the feed carries stands under this prefix; other records
// stand outside it.
inline constexpr const char* kFeedPrefix = "/boragepick/feed/";
inline constexpr const char* kIdempotencyPrefix = "/boragepick/idempotency/";

// The records of routers, each under a lease of its own.
inline constexpr const char* kRouterPrefix = "/boragepick/routers/";
// One key for each process; each run writes it and takes the write's revision
// for its number.
inline constexpr const char* kRunPrefix = "/boragepick-runs/";

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

// Works on wire::Resource and wire::ResourceDocument alike.
template <typename Message>
void SpecToWire(const ResourceSpec& spec, Message& out);
// Nothing when the message holds no spec. Throws Error at
// Step::kDecodeDocument.
template <typename Message>
std::optional<ResourceSpec> SpecFromWire(const Message& in);

// Values in the service are readable: protobuf's JSON form.
std::string EncodeValue(const Resource& resource);
std::string EncodeValue(const PermitRecord& record);
std::string EncodeValue(const SharePage& page);
std::string EncodeValue(const RouterRecord& record);
// Pages of claims are large and written often: protobuf's binary form.
std::string EncodeValue(const IdempotencyPage& page);

// Throws Error at Step::kDecodePlatformReply.
FeedItem DecodeFeedValue(const std::string& key,
                         const std::string& value,
                         Revision revision);
Resource DecodeResource(const std::string& value, Revision revision);
RouterRecord DecodeRouterRecord(const std::string& value);
IdempotencyPage DecodeIdempotencyPage(const std::string& value,
                                      Revision revision);

// Protobuf's JSON form, with the field names of the .proto file.
std::string ToJson(const google::protobuf::Message& message);
enum class UnknownFields { kReject, kIgnore };
// Throws Error at `step`.
void FromJson(std::string_view json,
              google::protobuf::Message& out,
              UnknownFields unknown,
              Step step,
              const std::string& peer);

}  // namespace boragepick
