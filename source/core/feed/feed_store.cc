#include "core/feed/feed_store.h"

#include <algorithm>
#include <set>
#include <variant>

namespace boragepick {

bool FeedStore::Apply(const FeedUpdate& update,
                      std::vector<FeedItem>& changed) {
  if (update.snapshot) {
    if (update.revision > m_revision || m_revision == 0)
      ApplySnapshot(update, changed);
    return true;
  }
  if (update.base > m_revision)
    return false;
  for (const FeedItem& item : update.items)
    ApplyItem(item, changed);
  m_revision = std::max(m_revision, update.revision);
  return true;
}

void FeedStore::ApplySnapshot(const FeedUpdate& update,
                              std::vector<FeedItem>& changed) {
  std::set<std::string> present;
  for (const FeedItem& item : update.items) {
    present.insert(item.key);
    ApplyItem(item, changed);
  }
  std::vector<std::string> dropped;
  for (const auto& [key, item] : m_items) {
    if (!present.contains(key) && item.revision <= update.revision)
      dropped.push_back(key);
  }
  for (const std::string& key : dropped) {
    Erase(key, update.revision);
    changed.push_back(
        {.key = key, .revision = update.revision, .value = DeletedItem{}});
  }
  m_revision = update.revision;
  m_tombstones.clear();
  m_lowest_delta_base = update.revision;
}

void FeedStore::ApplyItem(const FeedItem& item,
                          std::vector<FeedItem>& changed) {
  const auto held = m_items.find(item.key);
  if (held != m_items.end() && held->second.revision >= item.revision)
    return;
  // A duplicated delta may contain items that a later tombstone has deleted.
  if (held == m_items.end() && item.revision <= m_revision)
    return;
  if (held != m_items.end())
    m_by_revision.erase(held->second.revision);
  if (std::holds_alternative<DeletedItem>(item.value)) {
    Erase(item.key, item.revision);
  } else {
    m_items[item.key] = item;
    m_by_revision[item.revision] = item.key;
  }
  changed.push_back(item);
}

void FeedStore::Erase(const std::string& key, Revision revision) {
  const auto held = m_items.find(key);
  if (held != m_items.end()) {
    m_by_revision.erase(held->second.revision);
    m_items.erase(held);
  }
  m_tombstones.emplace(revision, key);
  if (m_tombstones.size() > kMaxTombstones) {
    m_lowest_delta_base = m_tombstones.begin()->first;
    m_tombstones.erase(m_tombstones.begin());
  }
}

FeedUpdate FeedStore::Since(Revision revision) const {
  FeedUpdate update{.base = revision, .revision = m_revision};
  if (revision == 0 || revision < m_lowest_delta_base) {
    update.snapshot = true;
    update.base = 0;
    for (const auto& [key, item] : m_items)
      update.items.push_back(item);
    return update;
  }
  for (auto it = m_by_revision.upper_bound(revision); it != m_by_revision.end();
       ++it)
    update.items.push_back(m_items.at(it->second));
  for (auto it = m_tombstones.upper_bound(revision); it != m_tombstones.end();
       ++it) {
    if (!m_items.contains(it->second))
      update.items.push_back(
          {.key = it->second, .revision = it->first, .value = DeletedItem{}});
  }
  return update;
}

}  // namespace boragepick
