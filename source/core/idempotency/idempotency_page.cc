#include "core/idempotency/idempotency_page.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "common/hashing.h"

namespace boragepick {

namespace {

constexpr std::size_t kEntryOverheadBytes = 96;

std::size_t SizeOfEntry(const std::string& id, const IdempotencyEntry& entry) {
  return kEntryOverheadBytes + id.size() + entry.request_hash.size() +
         entry.runner.vm.size() + entry.answer.body.size() +
         entry.answer.content_type.size();
}

}  // namespace

std::string ClaimIdOf(const std::string& team, const std::string& key) {
  return Sha256Hex(team + '\n' + key);
}

std::uint32_t IdempotencyPageOf(const std::string& claim_id) {
  return static_cast<std::uint32_t>(StableHash(claim_id) %
                                    kIdempotencyPageCount);
}

std::size_t SizeOf(const IdempotencyPage& page) {
  std::size_t bytes = 0;
  for (const auto& [id, entry] : page.entries)
    bytes += SizeOfEntry(id, entry);
  return bytes;
}

void TrimIdempotencyPage(IdempotencyPage& page) {
  std::size_t bytes = SizeOf(page);
  if (bytes <= kIdempotencyTrimBytes)
    return;
  std::vector<std::pair<std::uint64_t, std::string>> finished;
  for (const auto& [id, entry] : page.entries) {
    if (entry.state == ClaimState::kDone)
      finished.emplace_back(entry.order, id);
  }
  std::ranges::sort(finished);
  for (const auto& [order, id] : finished) {
    if (bytes <= kIdempotencyTrimBytes)
      return;
    bytes -= SizeOfEntry(id, page.entries.at(id));
    page.entries.erase(id);
  }
}

}  // namespace boragepick
