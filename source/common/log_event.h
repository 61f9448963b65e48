// The catalogue of log events. Each event has a number, a level, a category and
// a description. docs/EVENTS.md contains the same table; a unit test compares
// the two.
#pragma once

#include <array>
#include <string>
#include <string_view>
#include <vector>

#include "common/enum_table.h"

namespace boragepick {

enum class LogLevel { kInfo, kWarning, kError };
enum class LogCategory {
  kDaemon,
  kFront,
  kRouting,
  kPlacement,
  kQuota,
  kIdempotency,
  kFeed,
  kPeers
};

inline constexpr EnumTable kLogLevelNames{std::array{
    EnumName<LogLevel>{LogLevel::kInfo, "info"},
    EnumName<LogLevel>{LogLevel::kWarning, "warning"},
    EnumName<LogLevel>{LogLevel::kError, "error"},
}};

inline constexpr EnumTable kLogCategoryNames{std::array{
    EnumName<LogCategory>{LogCategory::kDaemon, "daemon"},
    EnumName<LogCategory>{LogCategory::kFront, "front"},
    EnumName<LogCategory>{LogCategory::kRouting, "routing"},
    EnumName<LogCategory>{LogCategory::kPlacement, "placement"},
    EnumName<LogCategory>{LogCategory::kQuota, "quota"},
    EnumName<LogCategory>{LogCategory::kIdempotency, "idempotency"},
    EnumName<LogCategory>{LogCategory::kFeed, "feed"},
    EnumName<LogCategory>{LogCategory::kPeers, "peers"},
}};

enum class LogEvent {
  kStarted = 100,
  kDraining = 101,
  kStopped = 102,
  kLogDropped = 103,
  kReloaded = 104,
  kReloadRejected = 105,
  kLimitsAdjusted = 106,
  kRequestRefused = 200,
  kRequestRouted = 201,
  kRequestRetried = 202,
  kRequestFinished = 203,
  kFingerprintConvicted = 204,
  kRequestHeld = 205,
  kRequestResumed = 206,
  kRequestCancelled = 207,
  kRequestBroken = 208,
  kRequestTimedOut = 209,
  kUnansweredClose = 210,
  kAcceptPaused = 211,
  kRunBroken = 212,
  kPartConvicted = 213,
  kPartCleared = 214,
  kPartProbed = 215,
  kWorkerCold = 216,
  kWorkerWarm = 217,
  kColdPlacesShort = 218,
  kLoadStarted = 300,
  kLoadFinished = 301,
  kLoadFailed = 302,
  kModelEvicted = 303,
  kPermitsPlanned = 304,
  kPermitsConflict = 305,
  kUnpermittedUnloaded = 306,
  kLoadAsked = 307,
  kOrderSent = 308,
  kOrderEnded = 309,
  kEngineRestarted = 310,
  kWeightsLoaded = 311,
  kLoadDelayed = 312,
  kSharePlanned = 400,
  kShareConflict = 401,
  kIdempotencyConflict = 501,
  kConfigApplied = 600,
  kConfigRejected = 601,
  kRelayChanged = 602,
  kPlatformUnreachable = 603,
  kRosterChanged = 604,
  kWorkerListed = 605,
  kWorkerLeaving = 606,
  kWorkerGone = 607,
  kKeysStale = 608,
  kKeysCurrent = 609,
  kPlatformRegained = 610,
  kWorkerSuspected = 611,
  kWorkerPaused = 612,
  kWatchCut = 613,
  kWorkerMissing = 614,
  kStoreReverted = 615,
  kEvacuationRequested = 620,
  kEvacuationEnded = 621,
  kPeerFrameRejected = 700,
  kUpstreamSilent = 701,
};

struct LogEventRow {
  LogEvent event;
  LogLevel level;
  LogCategory category;
  std::string_view name;
  std::string_view description;
};

// Returns all events, ordered by number.
const std::vector<LogEventRow>& LogEventCatalogue();

// Returns the row of `event`; every value of LogEvent has one.
const LogEventRow& LogEventInfo(LogEvent event);

struct LogField {
  std::string name;
  std::string value;
};

// One line of the log before formatting.
struct LogRecord {
  LogEvent event;
  std::vector<LogField> fields;
};

// Effect of the state machines: writes a record to the log.
struct LogEffect {
  LogRecord record;
};

// Formats a record without level and time, for example
// "E0201 routing request_routed request=7 agent=w1".
std::string FormatLogRecord(const LogRecord& record);

}  // namespace boragepick
