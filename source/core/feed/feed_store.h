// The items of the feed that one node holds, and the revision up to which it
// holds them. A revision never goes back: an older update changes nothing.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "core/feed/feed_item.h"

namespace boragepick {

class FeedStore {
 public:
  // Applies a snapshot or a delta and returns the items that changed,
  // tombstones for those that a snapshot no longer has. A delta that begins
  // after what is held is refused: returns false.
  bool Apply(const FeedUpdate& update, std::vector<FeedItem>& changed);

  // What a node at `revision` lacks: a delta when the tombstones since then are
  // still known, else a snapshot.
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
  // Deltas can be given to nodes that are at least here.
  Revision m_deltas_since = 0;
};

}  // namespace boragepick
