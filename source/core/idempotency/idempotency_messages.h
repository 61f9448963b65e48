// Messages between routers and the owner of a page of idempotency claims.
#pragma once

#include <cstdint>
#include <string>

#include "common/enum_table.h"
#include "core/idempotency/idempotency_page.h"

namespace boragepick {

// Requests the right to dispatch a request. `token` is the number of the claim
// at its router; a duplicated message gets the same verdict.
struct IdempotencyClaim {
  std::string claim_id;
  std::string request_hash;
  std::uint64_t token = 0;
};

enum class IdempotencyVerdictKind {
  kGranted,     // the request may be dispatched once
  kReplay,      // the request has run; the stored answer is included
  kRan,         // the request has run; its answer was not stored
  kMismatch,    // the key belongs to a different request
  kUnknown,     // the request may have run
  kNotRun,      // the request has not run, but can't be granted now
  kInProgress,  // another claim on the key is running; the verdict follows
  kRedirect,    // another router owns the page
};

inline constexpr EnumTable kIdempotencyVerdictNames{std::array{
    EnumName<IdempotencyVerdictKind>{IdempotencyVerdictKind::kGranted,
                                     "granted"},
    EnumName<IdempotencyVerdictKind>{IdempotencyVerdictKind::kReplay, "replay"},
    EnumName<IdempotencyVerdictKind>{IdempotencyVerdictKind::kRan, "ran"},
    EnumName<IdempotencyVerdictKind>{IdempotencyVerdictKind::kMismatch,
                                     "mismatch"},
    EnumName<IdempotencyVerdictKind>{IdempotencyVerdictKind::kUnknown,
                                     "unknown"},
    EnumName<IdempotencyVerdictKind>{IdempotencyVerdictKind::kNotRun,
                                     "not_run"},
    EnumName<IdempotencyVerdictKind>{IdempotencyVerdictKind::kInProgress,
                                     "in_progress"},
    EnumName<IdempotencyVerdictKind>{IdempotencyVerdictKind::kRedirect,
                                     "redirect"},
}};

struct IdempotencyVerdict {
  std::uint64_t token = 0;
  IdempotencyVerdictKind kind = IdempotencyVerdictKind::kNotRun;
  // With kReplay.
  KeptAnswer answer;
  // With kRedirect.
  std::string owner_vm;
};

enum class IdempotencyResult { kWhole, kNotRun, kUnknown };

inline constexpr EnumTable kIdempotencyResultNames{std::array{
    EnumName<IdempotencyResult>{IdempotencyResult::kWhole, "whole"},
    EnumName<IdempotencyResult>{IdempotencyResult::kNotRun, "not_run"},
    EnumName<IdempotencyResult>{IdempotencyResult::kUnknown, "unknown"},
}};

// How a granted request ended. Resent until it is acknowledged.
struct IdempotencyOutcome {
  std::string claim_id;
  std::uint64_t token = 0;
  IdempotencyResult result = IdempotencyResult::kUnknown;
  KeptAnswer answer;
};

// Acknowledges an outcome that the stored page holds.
struct IdempotencyOutcomeStored {
  std::uint64_t token = 0;
};

}  // namespace boragepick
