// One write to the platform's key-value store.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "core/platform_call.h"
#include "core/store/key_watcher.h"
#include "core/store/leased_record.h"

namespace boragepick {

struct StoreWrite {
  std::string key;
  std::string value;
  // The write is conditional on the key's revision; 0: the key must not exist.
  // Empty: unconditional.
  std::optional<StoreRevision> expected_revision;
  // 0 for no lease.
  LeaseId lease = 0;
};

struct StoreWriteReply {
  WriteOutcome outcome = WriteOutcome::kUnknown;
  // The revision of a successful write.
  StoreRevision revision = 0;
  // The stored item, after a conflict.
  std::vector<StoreItem> current;
};

}  // namespace boragepick
