// What routers say to the owner of a page of idempotency claims, and what it
// answers.
#pragma once

#include <cstdint>
#include <string>

#include "common/enum_table.h"
#include "core/idempotency/idempotency_page.h"

namespace boragepick {

// Asks for the right to dispatch. `token` numbers the claim at its router; a
// doubled message gets the same verdict.
struct IdempotencyClaim {
  std::string claim_id;
  std::string request_hash;
  std::uint64_t token = 0;
};

enum class IdempotencyVerdictKind {
  kGranted,     // dispatch it, once
  kReplay,      // it has run; the kept answer comes along
  kRan,         // it has run; the answer was not kept
  kMismatch,    // the key stands for another request
  kUnknown,     // it may have run
  kNotRun,      // it has not run, and can't be granted now
  kInProgress,  // another copy is running; the verdict follows
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

// How a granted request ended. Sent again until it is acknowledged.
struct IdempotencyOutcome {
  std::string claim_id;
  std::uint64_t token = 0;
  IdempotencyResult result = IdempotencyResult::kUnknown;
  KeptAnswer answer;
};

struct IdempotencyOutcomeStored {
  std::uint64_t token = 0;
};

}  // namespace boragepick
