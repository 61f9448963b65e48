// The durable record of requests that may not be repeated: one page holds the
// claims of many keys. A claim is written before the request is dispatched; its
// outcome and answer afterwards.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "common/enum_table.h"
#include "core/config/resources.h"
#include "core/roster/roster.h"

namespace boragepick {

inline constexpr std::uint32_t kIdempotencyPageCount = 128;
// A page refuses new claims beyond this, so that its record stays under the
// service's megabyte.
inline constexpr std::size_t kMaxIdempotencyPageBytes = 600'000;
// The oldest finished claims are dropped beyond this.
inline constexpr std::size_t kIdempotencyTrimBytes = 400'000;
// Larger answers are not kept: a retry is told that the request ran.
inline constexpr std::size_t kMaxKeptAnswerBytes = 16'384;

// kClaimed: granted to a runner. kDone: it ran; the answer may be kept. kLost:
// it may have run.
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
  // Hash of method, path and body: the same key with another request is
  // refused.
  std::string request_hash;
  // The run of the router that dispatches it, and the number of its grant
  // there.
  ProcessId runner;
  std::uint64_t token = 0;
  bool answer_kept = false;
  KeptAnswer answer;
  // Grows with each entry of the page: the order in which they are dropped.
  std::uint64_t order = 0;
};

struct IdempotencyPage {
  std::uint32_t page = 0;
  Revision revision = 0;
  // The only router that may add claims; empty after a graceful release.
  ProcessId owner;
  std::uint64_t last_order = 0;
  // By claim id.
  std::map<std::string, IdempotencyEntry> entries;
};

// Team and caller's key together; teams can't meet in one claim.
std::string ClaimIdOf(const std::string& team, const std::string& key);
std::uint32_t IdempotencyPageOf(const std::string& claim_id);

// Estimate of the encoded size, in bytes.
std::size_t SizeOf(const IdempotencyPage& page);

// Drops the oldest finished claims until the page is small enough.
void TrimIdempotencyPage(IdempotencyPage& page);

}  // namespace boragepick
