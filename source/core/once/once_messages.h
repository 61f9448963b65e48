// What routers say to the owner of a page of once-claims, and what it answers.
#pragma once

#include <cstdint>
#include <string>

#include "common/enum_table.h"
#include "core/once/once_page.h"

namespace boragepick {

// Asks for the right to dispatch. `token` numbers the claim at its router; a
// doubled message gets the same verdict.
struct OnceClaim {
  std::string claim_id;
  std::string request_hash;
  std::uint64_t token = 0;
};

enum class OnceVerdictKind {
  kGranted,     // dispatch it, once
  kReplay,      // it has run; the kept answer comes along
  kRan,         // it has run; the answer was not kept
  kMismatch,    // the key stands for another request
  kUnknown,     // it may have run
  kNotRun,      // it has not run, and can't be granted now
  kInProgress,  // another copy is running; the verdict follows
  kRedirect,    // another router owns the page
};

inline constexpr EnumTable kOnceVerdictNames{std::array{
    EnumName<OnceVerdictKind>{OnceVerdictKind::kGranted, "granted"},
    EnumName<OnceVerdictKind>{OnceVerdictKind::kReplay, "replay"},
    EnumName<OnceVerdictKind>{OnceVerdictKind::kRan, "ran"},
    EnumName<OnceVerdictKind>{OnceVerdictKind::kMismatch, "mismatch"},
    EnumName<OnceVerdictKind>{OnceVerdictKind::kUnknown, "unknown"},
    EnumName<OnceVerdictKind>{OnceVerdictKind::kNotRun, "not_run"},
    EnumName<OnceVerdictKind>{OnceVerdictKind::kInProgress, "in_progress"},
    EnumName<OnceVerdictKind>{OnceVerdictKind::kRedirect, "redirect"},
}};

struct OnceVerdict {
  std::uint64_t token = 0;
  OnceVerdictKind kind = OnceVerdictKind::kNotRun;
  // With kReplay.
  KeptAnswer answer;
  // With kRedirect.
  std::string owner_vm;
};

enum class OnceResult { kWhole, kNotRun, kUnknown };

inline constexpr EnumTable kOnceResultNames{std::array{
    EnumName<OnceResult>{OnceResult::kWhole, "whole"},
    EnumName<OnceResult>{OnceResult::kNotRun, "not_run"},
    EnumName<OnceResult>{OnceResult::kUnknown, "unknown"},
}};

// How a granted request ended. Sent again until it is acknowledged.
struct OnceOutcome {
  std::string claim_id;
  std::uint64_t token = 0;
  OnceResult result = OnceResult::kUnknown;
  KeptAnswer answer;
};

struct OnceOutcomeStored {
  std::uint64_t token = 0;
};

}  // namespace boragepick
