// The calls of the etcd v3 JSON gateway that boragepick uses, apart from any
// socket. Each change compares one key's revision and writes that key alone.
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
// Key and value of the record of a write.
StoredRecord EncodeRecord(const WriteRecord& write);

std::string EncodeRange(const std::string& key);
std::string EncodeFeedRange();
// Asks for the newest item's revision and the number of items only.
std::string EncodeFeedProbe();
std::string EncodeFeedWatch(Revision start);
std::string EncodeCompareAndPut(const StoredRecord& record, Revision base);
std::string EncodeCompareAndDelete(const std::string& key, Revision base);

// All of these throw Error at Step::kDecodePlatformReply.
RecordWritten DecodeTxn(const std::string& json, std::uint64_t call);
struct RangeValue {
  std::string value;
  Revision revision = 0;
};
std::optional<RangeValue> DecodeRange(const std::string& json);
FeedProbed DecodeProbe(const std::string& json);

struct DecodedFeed {
  FeedUpdate update;
  // Keys of items that could not be decoded, with the reasons.
  std::vector<std::string> rejected;
};
DecodedFeed DecodeFeedSnapshot(const std::string& json);
// One line of the watch. Empty for lines that carry no change; throws when the
// watch was cancelled by the service.
std::optional<DecodedFeed> DecodeWatchLine(const std::string& line);

}  // namespace boragepick
