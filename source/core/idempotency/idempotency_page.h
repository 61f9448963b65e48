// The durable record of requests that must not run twice. One page holds the
// claims of many idempotency keys. A claim is written before the request is
// dispatched, its outcome and answer afterwards.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "common/enum_table.h"
#include "core/config/resources.h"
#include "core/roster/roster.h"

namespace boragepick {

inline constexpr std::uint32_t kIdempotencyPageCount = 128;
// Page size above which new claims are refused, so that the record stays below
// the limit of 1 MB of the platform's store.
inline constexpr std::size_t kMaxIdempotencyPageBytes = 600'000;
// Page size above which the oldest completed claims are dropped.
inline constexpr std::size_t kIdempotencyTrimBytes = 400'000;
// Larger answers are not stored; a retry gets the verdict kRan.
inline constexpr std::size_t kMaxKeptAnswerBytes = 16'384;

// kClaimed: granted to a router. kDone: the request ran; its answer may be
// stored. kLost: the request may have run.
enum class ClaimState { kClaimed, kDone, kLost };

inline constexpr EnumTable kClaimStateNames{std::array{
    EnumName<ClaimState>{ClaimState::kClaimed, "claimed"},
    EnumName<ClaimState>{ClaimState::kDone, "done"},
    EnumName<ClaimState>{ClaimState::kLost, "lost"},
}};

struct KeptAnswer {
  std::uint32_t status = 0;
  std::string content_type;
  std::string body;
  bool operator==(const KeptAnswer&) const = default;
};

struct IdempotencyEntry {
  ClaimState state = ClaimState::kClaimed;
  // Hash of method, path and body. A different request with the same key is
  // refused.
  std::string request_hash;
  // The router process that dispatches the request, and the number of the claim
  // there.
  ProcessId runner;
  std::uint64_t token = 0;
  bool answer_kept = false;
  KeptAnswer answer;
  // Increases with each entry of the page; entries are dropped in this order.
  std::uint64_t order = 0;
};

struct IdempotencyPage {
  std::uint32_t page = 0;
  Revision revision = 0;
  // The only router process that may add claims; empty after a release.
  ProcessId owner;
  std::uint64_t last_order = 0;
  // By claim ID.
  std::map<std::string, IdempotencyEntry> entries;
};

// Returns a claim ID made of the team and the caller's key, so that equal keys
// of different teams don't collide.
std::string ClaimIdOf(const std::string& team, const std::string& key);
std::uint32_t IdempotencyPageOf(const std::string& claim_id);

// Returns an estimate of the encoded size, in bytes.
std::size_t SizeOf(const IdempotencyPage& page);

// Drops the oldest completed claims until the page is no larger than
// kIdempotencyTrimBytes.
void TrimIdempotencyPage(IdempotencyPage& page);

}  // namespace boragepick
