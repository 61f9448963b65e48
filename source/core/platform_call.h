// Outcomes of calls to the platform's store.
#pragma once

#include "common/enum_table.h"

namespace boragepick {

// The outcome of a compare-and-swap. kUnknown: it may have been applied.
enum class WriteOutcome { kWritten, kConflict, kUnknown };

inline constexpr EnumTable kWriteOutcomeNames{std::array{
    EnumName<WriteOutcome>{WriteOutcome::kWritten, "written"},
    EnumName<WriteOutcome>{WriteOutcome::kConflict, "conflict"},
    EnumName<WriteOutcome>{WriteOutcome::kUnknown, "unknown"},
}};

}  // namespace boragepick
