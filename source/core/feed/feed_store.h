// The feed items that one node holds, and the revision up to which they are
// complete. The revision never decreases: an older update has no effect.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "core/feed/feed_item.h"

namespace boragepick {

class FeedStore {
 public:
  // Applies a snapshot or a delta. Appends the changed items to `changed`, with
  // tombstones for items that a snapshot no longer contains. Returns false for
  // a delta whose base is later than the current revision.
  bool Apply(const FeedUpdate& update, std::vector<FeedItem>& changed);

  // Returns the update for a node at `revision`: a delta if the tombstones
  // since then are still known, else a snapshot.
  FeedUpdate Since(Revision revision) const;

  Revision revision() const { return m_revision; }
  std::size_t Size() const { return m_items.size(); }
  const std::map<std::string, FeedItem>& items() const { return m_items; }

 private:
  static constexpr std::size_t kMaxTombstones = 10'000;

  void ApplySnapshot(const FeedUpdate& update, std::vector<FeedItem>& changed);
  void ApplyItem(const FeedItem& item, std::vector<FeedItem>& changed);
  void Erase(const std::string& key, Revision revision);

  Revision m_revision = 0;
  std::map<std::string, FeedItem> m_items;
  std::map<Revision, std::string> m_by_revision;
  std::multimap<Revision, std::string> m_tombstones;
  // The lowest revision that a delta can be based on.
  Revision m_lowest_delta_base = 0;
};

}  // namespace boragepick
