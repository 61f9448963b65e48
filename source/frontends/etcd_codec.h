// Encodes and decodes the calls of the etcd v3 JSON gateway, without any
// socket. Each write is a transaction that compares the revision of one key and
// changes only that key.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "core/feed/feed_item.h"
#include "core/router/router_messages.h"

namespace boragepick {

inline constexpr const char* kRangePath = "/v3/kv/range";
inline constexpr const char* kTxnPath = "/v3/kv/txn";
inline constexpr const char* kWatchPath = "/v3/watch";

struct StoredRecord {
  std::string key;
  std::string value;
};
// Returns the key and the encoded value of the record that `write` stores.
StoredRecord EncodeStoredRecord(const WriteRecord& write);

std::string EncodeKeyRange(const std::string& key);
std::string EncodeFeedRange();
// Requests only the newest item's revision and the number of items.
std::string EncodeFeedProbe();
std::string EncodeFeedWatch(Revision start_revision);
std::string EncodeCompareAndPut(const StoredRecord& record,
                                Revision expected_revision);
std::string EncodeCompareAndDelete(const std::string& key,
                                   Revision expected_revision);

// The decoding functions throw Error at Step::kDecodePlatformReply.
RecordWritten DecodeTxn(const std::string& json, std::uint64_t call);
struct RangeValue {
  std::string value;
  Revision revision = 0;
};
std::optional<RangeValue> DecodeRange(const std::string& json);
FeedProbed DecodeProbe(const std::string& json);

struct DecodedFeed {
  FeedUpdate update;
  // Items that could not be decoded, each as "key: reason".
  std::vector<std::string> rejected;
};
DecodedFeed DecodeFeedSnapshot(const std::string& json);
// Decodes one line of the watch stream. Returns nothing for a line without
// changes; throws if the service cancelled the watch.
std::optional<DecodedFeed> DecodeWatchLine(const std::string& line);

}  // namespace boragepick
