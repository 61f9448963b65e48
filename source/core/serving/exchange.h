// One caller's request while a router serves it.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "common/enum_table.h"
#include "common/time.h"
#include "core/serving/event_splitter.h"
#include "core/serving/serving_config.h"
#include "core/serving/serving_messages.h"
#include "core/serving/serving_request.h"

namespace boragepick {

enum class ExchangeStage {
  kWaitingTokens,  // for its team's quota
  kHeld,           // waits for a worker, or for one that has its model
  kRunning,        // at a worker
};

inline constexpr EnumTable kExchangeStageNames{std::array{
    EnumName<ExchangeStage>{ExchangeStage::kWaitingTokens, "waiting_tokens"},
    EnumName<ExchangeStage>{ExchangeStage::kHeld, "held"},
    EnumName<ExchangeStage>{ExchangeStage::kRunning, "running"},
}};

// Why a request has no answer of a worker, or no whole one.
enum class ServingRefusal {
  kNoConfiguration,
  kRouteUnknown,
  kKeyMissing,
  kKeyUnknown,
  kKeysStale,
  kOverQuota,
  kNoWorker,
  kWorkersFull,
  kModelNotLoaded,
  kTimedOutBeforeRun,
  kTimedOut,
  kWorkerFailed,
  kBreaksWorkers,
  kStopping,
};

struct ServingRefusalRow {
  ServingRefusal value;
  std::string_view name;
  unsigned status;
};

// Name and status of each refusal. 429 and 503 promise that the request has not
// run and will not; 502 and 504 promise nothing.
const ServingRefusalRow& ServingRefusalInfo(ServingRefusal refusal);

// The present sending of a request to a worker.
struct Attempt {
  AttemptNumber number = 0;
  std::string worker;
  TimePoint sent;
  // Prompt tokens counted as unread at the worker until it answers.
  std::int64_t unread_tokens = 0;
  std::optional<UpstreamHead> head;
  // Bytes of an answer that is not passed on before it is whole.
  std::string buffered;
  EventSplitter events;
  // Whether any event or byte of the answer has come.
  bool began = false;
  TimePoint last_progress;
};

struct Exchange {
  std::shared_ptr<const ServingRequest> request;
  // The configuration under which it was last routed; `route` points into it.
  std::shared_ptr<const ConfigIndex> config;
  const ServingRoute* route = nullptr;
  std::string team;
  int urgency = 5;
  std::string service;
  // Model and adapter as one name; empty for a plain service.
  std::string weights;
  std::int64_t cost = 0;
  bool cost_taken = false;

  ExchangeStage stage = ExchangeStage::kWaitingTokens;
  TimePoint arrived;
  TimePoint deadline = kNever;
  TimePoint held_since = kNever;
  TimePoint next_check = kNever;

  std::optional<Attempt> attempt;
  // Sendings that may have run, and all of them.
  std::uint32_t runs = 0;
  std::uint32_t sends = 0;
  std::set<std::string> tried;

  // The caller has the head of its answer.
  bool committed = false;
  // The last event that the caller has.
  std::optional<std::uint64_t> last_event;
};

}  // namespace boragepick
