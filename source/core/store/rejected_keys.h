// The keys whose items could not be decoded, so that an item that is written
// again and again is reported once.
#pragma once

#include <algorithm>
#include <set>
#include <string>
#include <vector>

namespace boragepick {

class RejectedKeys {
 public:
  // Returns whether the rejection is to be reported: the key is new, or its
  // last item was accepted.
  bool Add(const std::string& key) { return m_keys.insert(key).second; }
  // The key's item was accepted or removed.
  void Remove(const std::string& key) { m_keys.erase(key); }
  // No other keys than these exist.
  void Retain(const std::vector<std::string>& existing) {
    std::erase_if(m_keys, [&existing](const std::string& key) {
      return std::ranges::find(existing, key) == existing.end();
    });
  }

 private:
  std::set<std::string> m_keys;
};

}  // namespace boragepick
