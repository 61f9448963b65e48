// The state of one caller's request and its response while a router serves it.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "common/enum_table.h"
#include "common/time.h"
#include "core/serving/allowed_regions.h"
#include "core/serving/event_splitter.h"
#include "core/serving/quota_queue.h"
#include "core/serving/serving_config.h"
#include "core/serving/serving_messages.h"
#include "core/serving/serving_request.h"

namespace boragepick {

enum class ExchangeStage {
  kWaitingTokens,  // queued for its team's quota
  kHeld,           // waits for a usable worker that has its model
  kRunning,        // sent to a worker
};

inline constexpr EnumTable kExchangeStageNames{std::array{
    EnumName<ExchangeStage>{ExchangeStage::kWaitingTokens, "waiting_tokens"},
    EnumName<ExchangeStage>{ExchangeStage::kHeld, "held"},
    EnumName<ExchangeStage>{ExchangeStage::kRunning, "running"},
}};

// Why a router refuses a request or ends it without a worker's response.
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
  kEvacuated,
  kNoAllowedRegion,
};

struct ServingRefusalRow {
  ServingRefusal value;
  std::string_view name;
  unsigned status;
};

// Name and HTTP status of a refusal. 429 and 503 guarantee that the request has
// not run and will not run; 502 and 504 guarantee nothing.
const ServingRefusalRow& ServingRefusalInfo(ServingRefusal refusal);

// The current attempt of a request.
struct Attempt {
  AttemptNumber number = 0;
  std::string worker;
  // Start time of the worker process that the attempt was sent to.
  std::int64_t worker_born = 0;
  TimePoint sent_at;
  // Prompt tokens that the worker probably has to prefill: those that are not
  // in its prefix cache. Part of the worker's load until its first event.
  std::int64_t prefill_tokens = 0;
  std::optional<UpstreamResponseHead> head;
  // Bytes of a response that is not streamed, held back until the response is
  // complete or larger than kMaxBufferedBytes.
  std::string buffered;
  EventSplitter events;
  // The last event received, whether or not the caller already had it.
  std::optional<std::uint64_t> last_event;
  // What this router holds of the response without passing it on: `buffered`
  // and the incomplete event.
  std::size_t held_bytes = 0;
  // The response is not read further until its caller has read more of it.
  bool is_paused = false;
  // Whether an event or a byte of the response body was received.
  bool body_started = false;
  // When the first byte of a successful response's body was received.
  TimePoint begun_at = kNever;
  TimePoint last_progress;
  // The worker was suspected because of its silence since then.
  bool is_suspected = false;
  // Other workers were tried while this one was silent.
  bool was_set_aside = false;
};

struct Exchange {
  std::shared_ptr<const ServingRequest> request;
  // The configuration used to resolve `route`, which points into it.
  std::shared_ptr<const ConfigIndex> config;
  const ServingRoute* route = nullptr;
  std::string team;
  int urgency = 5;
  AllowedRegions allowed_regions;
  std::string service;
  // "model" or "model/adapter"; empty for a plain service.
  std::string weights;
  // Tokens or requests charged to the team's quota.
  std::int64_t cost = 0;
  bool quota_charged = false;
  // Set when the request is refused for lack of tokens.
  std::optional<QuotaRefusal> quota_refusal;

  ExchangeStage stage = ExchangeStage::kWaitingTokens;
  TimePoint arrived;
  TimePoint deadline = kNever;
  TimePoint held_since = kNever;
  TimePoint next_check = kNever;

  std::optional<Attempt> attempt;
  // Ended attempts that may have run, and all attempts sent.
  std::uint32_t possible_runs = 0;
  std::uint32_t attempts_sent = 0;
  // A silent attempt whose worker may still respond. It is cancelled when
  // another worker has accepted the request, or at `replaced_at`, and continues
  // if no other worker accepts it before.
  std::optional<Attempt> silent_attempt;
  TimePoint replaced_at = kNever;
  // The last run was given up because its worker was silent.
  bool last_run_was_silent = false;
  // The next attempt waits until the retry budget allows it.
  bool awaits_retry_budget = false;
  // Workers that failed or rejected this request.
  std::set<std::string> tried_workers;
  // Workers that this request was sent to.
  std::set<std::string> contacted_workers;
  // Identifies the request among the callers' repetitions; computed when first
  // needed, because it is a hash of the whole body.
  mutable std::optional<Fingerprint> fingerprint;
  // The part of the prompt for which the request is refused.
  std::optional<PromptPartId> convicted_part;

  // Bytes passed on that the caller has not read.
  std::size_t unsent_bytes = 0;
  // Whether the response head was sent to the caller.
  bool head_sent = false;
  // Whether the response that was begun is a stream of events. The route may
  // change before another run continues it.
  bool is_stream = false;
  // The id of the last stream event sent to the caller. Until one is sent, the
  // event after which the caller resumes.
  std::optional<std::uint64_t> last_delivered_event;
};

}  // namespace boragepick
