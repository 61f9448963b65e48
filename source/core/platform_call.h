// What the core knows of calls to the platform's service.
#pragma once

#include "common/enum_table.h"

namespace boragepick {

// How a compare-and-swap ended. kUnknown: it may have taken effect.
enum class WriteOutcome { kWritten, kConflict, kUnknown };

inline constexpr EnumTable kWriteOutcomeNames{std::array{
    EnumName<WriteOutcome>{WriteOutcome::kWritten, "written"},
    EnumName<WriteOutcome>{WriteOutcome::kConflict, "conflict"},
    EnumName<WriteOutcome>{WriteOutcome::kUnknown, "unknown"},
}};

}  // namespace boragepick
