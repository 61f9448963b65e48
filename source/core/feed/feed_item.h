// What the configuration feed carries: operators' resources, permits of
// placement and standing shares of quota, each as one item with the revision of
// the platform's service.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "core/config/resources.h"
#include "core/placement/permit_record.h"
#include "core/quota/share_page.h"

namespace boragepick {

// A tombstone; kept in deltas only.
struct DeletedItem {};

struct FeedItem {
  // The key in the platform's service.
  std::string key;
  // The revision of this item's last change.
  Revision revision = 0;
  std::variant<DeletedItem, Resource, PermitRecord, SharePage> value;
};

// A whole state (`snapshot`) or the changes after `base`. Applied whole or not
// at all.
struct FeedUpdate {
  bool snapshot = false;
  // A delta applies to a node whose revision is at least `base`.
  Revision base = 0;
  Revision revision = 0;
  std::vector<FeedItem> items;
};

}  // namespace boragepick
