// The content of the configuration feed: resources written by operators,
// placement permits and quota shares, each as one item with its revision in the
// platform's store.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "core/config/resources.h"
#include "core/placement/permit_record.h"
#include "core/quota/share_page.h"

namespace boragepick {

// A tombstone; only part of deltas.
struct DeletedItem {};

struct FeedItem {
  // The key in the platform's store.
  std::string key;
  // The revision of this item's last change.
  Revision revision = 0;
  std::variant<DeletedItem, Resource, PermitRecord, SharePage> value;
};

// A full state (`snapshot`) or the changes after `base`. Applied completely or
// not at all.
struct FeedUpdate {
  bool snapshot = false;
  // A delta applies to a node whose revision is at least `base`.
  Revision base = 0;
  Revision revision = 0;
  std::vector<FeedItem> items;
};

}  // namespace boragepick
