// One write to the platform's key-value service.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "core/platform_call.h"
#include "core/store/key_watcher.h"
#include "core/store/record_keeper.h"

namespace boragepick {

struct StoreWrite {
  std::string key;
  std::string value;
  // Only if the key has this revision; 0: only if there is none. Nothing:
  // whatever stands there.
  std::optional<StoreRevision> base;
  // 0 for none.
  LeaseId lease = 0;
};

struct StoreWriteReply {
  WriteOutcome outcome = WriteOutcome::kUnknown;
  // Of the write, when it was done.
  StoreRevision revision = 0;
  // What stands there instead, after a conflict.
  std::vector<StoreItem> current;
};

}  // namespace boragepick
