#include "frontends/etcd_codec.h"

#include <algorithm>

#include "common/error.h"
#include "wire/generated/platform.pb.h"
#include "wire/record_codec.h"

namespace boragepick {

namespace {

using namespace wire::etcd;

constexpr const char* kService = "key-value service";

// Returns the end of the key range that covers all keys with `prefix`.
std::string PrefixEnd(std::string prefix) {
  ++prefix.back();
  return prefix;
}

template <typename Message>
Message Decode(const std::string& json) {
  Message message;
  FromJson(json, message, UnknownFields::kIgnore, Step::kDecodePlatformReply,
           kService);
  return message;
}

RangeRequest MakeFeedRange() {
  RangeRequest request;
  request.set_key(kFeedPrefix);
  request.set_range_end(PrefixEnd(kFeedPrefix));
  return request;
}

TxnRequest MakeCompareRevision(const std::string& key,
                               Revision expected_revision) {
  TxnRequest request;
  Compare& compare = *request.add_compare();
  compare.set_result(Compare::EQUAL);
  compare.set_target(Compare::MOD);
  compare.set_key(key);
  compare.set_mod_revision(expected_revision);
  return request;
}

void AddItem(const KeyValue& kv, DecodedFeed& feed) {
  try {
    feed.update.items.push_back(
        DecodeFeedValue(kv.key(), kv.value(), kv.mod_revision()));
  } catch (const Error& error) {
    feed.rejected.push_back(kv.key() + ": " + error.reason());
  }
}

}  // namespace

StoredRecord EncodeStoredRecord(const WriteRecord& write) {
  if (const auto* resource = std::get_if<Resource>(&write.record))
    return {ResourceKey(KindOf(resource->spec), resource->name),
            EncodeValue(*resource)};
  if (const auto* permits = std::get_if<PermitRecord>(&write.record))
    return {PermitKey(permits->model), EncodeValue(*permits)};
  if (const auto* shares = std::get_if<SharePage>(&write.record))
    return {ShareKey(shares->page), EncodeValue(*shares)};
  const auto& page = std::get<IdempotencyPage>(write.record);
  return {IdempotencyKey(page.page), EncodeValue(page)};
}

std::string EncodeKeyRange(const std::string& key) {
  RangeRequest request;
  request.set_key(key);
  return ToJson(request);
}

std::string EncodeFeedRange() {
  return ToJson(MakeFeedRange());
}

std::string EncodeFeedProbe() {
  RangeRequest request = MakeFeedRange();
  request.set_limit(1);
  request.set_sort_order(RangeRequest::DESCEND);
  request.set_sort_target(RangeRequest::MOD);
  request.set_keys_only(true);
  return ToJson(request);
}

std::string EncodeFeedWatch(Revision start_revision) {
  WatchRequest request;
  WatchCreateRequest& create = *request.mutable_create_request();
  create.set_key(kFeedPrefix);
  create.set_range_end(PrefixEnd(kFeedPrefix));
  create.set_start_revision(start_revision);
  return ToJson(request);
}

std::string EncodeCompareAndPut(const StoredRecord& record,
                                Revision expected_revision) {
  TxnRequest request = MakeCompareRevision(record.key, expected_revision);
  PutRequest& put = *request.add_success()->mutable_request_put();
  put.set_key(record.key);
  put.set_value(record.value);
  return ToJson(request);
}

std::string EncodeCompareAndDelete(const std::string& key,
                                   Revision expected_revision) {
  TxnRequest request = MakeCompareRevision(key, expected_revision);
  request.add_success()->mutable_request_delete_range()->set_key(key);
  return ToJson(request);
}

RecordWritten DecodeTxn(const std::string& json, std::uint64_t call) {
  const auto response = Decode<TxnResponse>(json);
  return {.call = call,
          .outcome = response.succeeded() ? WriteOutcome::kWritten
                                          : WriteOutcome::kConflict,
          .revision = response.header().revision()};
}

std::optional<RangeValue> DecodeRange(const std::string& json) {
  const auto response = Decode<RangeResponse>(json);
  if (response.kvs().empty())
    return std::nullopt;
  return RangeValue{.value = response.kvs(0).value(),
                    .revision = response.kvs(0).mod_revision()};
}

FeedProbed DecodeProbe(const std::string& json) {
  const auto response = Decode<RangeResponse>(json);
  FeedProbed result{.items = static_cast<std::size_t>(response.count())};
  if (!response.kvs().empty())
    result.newest = response.kvs(0).mod_revision();
  return result;
}

DecodedFeed DecodeFeedSnapshot(const std::string& json) {
  const auto response = Decode<RangeResponse>(json);
  DecodedFeed feed;
  feed.update.snapshot = true;
  feed.update.revision = response.header().revision();
  for (const KeyValue& kv : response.kvs())
    AddItem(kv, feed);
  return feed;
}

std::optional<DecodedFeed> DecodeWatchLine(const std::string& line) {
  const auto decoded = Decode<WatchStreamLine>(line);
  const WatchResponse& response = decoded.result();
  if (response.canceled())
    throw Error(Step::kDecodePlatformReply, kService,
                "the watch was cancelled");
  if (response.events().empty())
    return std::nullopt;
  DecodedFeed feed;
  for (const Event& event : response.events()) {
    const KeyValue& kv = event.kv();
    feed.update.revision = std::max(feed.update.revision, kv.mod_revision());
    if (event.type() == Event::DELETE) {
      feed.update.items.push_back({.key = kv.key(),
                                   .revision = kv.mod_revision(),
                                   .value = DeletedItem{}});
    } else {
      AddItem(kv, feed);
    }
  }
  return feed;
}

}  // namespace boragepick
