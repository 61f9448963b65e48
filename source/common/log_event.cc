#include "common/log_event.h"

#include <algorithm>
#include <cstdio>
#include <stdexcept>

namespace boragepick {

namespace {

std::string Quoted(const std::string& value) {
  const bool plain =
      !value.empty() && value.find_first_of(" \"=\n\r") == std::string::npos;
  if (plain)
    return value;
  std::string quoted = "\"";
  for (const char c : value) {
    if (c == '"' || c == '\\')
      quoted += '\\';
    // why: one record is one line, also when a peer sent a line break
    quoted += (c == '\n' || c == '\r') ? ' ' : c;
  }
  return quoted + '"';
}

}  // namespace

const std::vector<LogEventRow>& LogEventCatalogue() {
  using enum LogLevel;
  using enum LogCategory;
  static const std::vector<LogEventRow> kCatalogue = {
      {LogEvent::kStarted, kInfo, kDaemon, "started",
       "The process serves; fields give its role and addresses."},
      {LogEvent::kDraining, kInfo, kDaemon, "draining",
       "A stop was asked for; the process is not ready any more and finishes "
       "its work."},
      {LogEvent::kStopped, kInfo, kDaemon, "stopped",
       "The process ends; nothing was cut."},
      {LogEvent::kLogDropped, kWarning, kDaemon, "log_dropped",
       "The log's output took nothing for a while; so many records were "
       "dropped."},
      {LogEvent::kReloaded, kInfo, kDaemon, "reloaded",
       "The settings file was read again; fields tell which changes are in "
       "force now and which need a restart."},
      {LogEvent::kReloadRejected, kWarning, kDaemon, "reload_rejected",
       "The settings file has faults; the settings in force stay."},
      {LogEvent::kRequestRefused, kInfo, kRouting, "request_refused",
       "A request was refused; code and ran tell why and whether it ran."},
      {LogEvent::kRequestRouted, kInfo, kRouting, "request_routed",
       "A request was sent to an agent; fields give the candidates and the "
       "reason."},
      {LogEvent::kRequestRetried, kWarning, kRouting, "request_retried",
       "An attempt failed and the request goes to another agent."},
      {LogEvent::kRequestFinished, kInfo, kRouting, "request_finished",
       "The caller has the whole answer."},
      {LogEvent::kFingerprintConvicted, kWarning, kRouting,
       "fingerprint_convicted",
       "A request crashed upstreams repeatedly and is refused from now on."},
      {LogEvent::kRequestHeld, kInfo, kRouting, "request_held",
       "A request waits until a worker has its model, or until one is usable."},
      {LogEvent::kRequestResumed, kWarning, kRouting, "request_resumed",
       "A broken stream goes on at another worker behind its last event."},
      {LogEvent::kRequestCancelled, kInfo, kRouting, "request_cancelled",
       "The caller has gone; the worker's run was ended with it."},
      {LogEvent::kRequestBroken, kWarning, kRouting, "request_broken",
       "An answer that had begun was broken off."},
      {LogEvent::kRequestTimedOut, kWarning, kRouting, "request_timed_out",
       "The route's time or the caller's ran out."},
      {LogEvent::kLoadStarted, kInfo, kPlacement, "load_started",
       "The agent ordered the engine to load a model."},
      {LogEvent::kLoadFinished, kInfo, kPlacement, "load_finished",
       "The engine reported the model as loaded."},
      {LogEvent::kLoadFailed, kWarning, kPlacement, "load_failed",
       "A load order failed; its memory counts as taken until seen free."},
      {LogEvent::kModelEvicted, kInfo, kPlacement, "model_evicted",
       "The agent ordered the engine to unload a model."},
      {LogEvent::kPermitsPlanned, kInfo, kPlacement, "permits_planned",
       "The planner wrote which agents may have a model loaded."},
      {LogEvent::kPermitsConflict, kInfo, kPlacement, "permits_conflict",
       "Another planner wrote first; this one plans again from what it finds."},
      {LogEvent::kUnpermittedUnloaded, kWarning, kPlacement,
       "unpermitted_unloaded",
       "A model found loaded without a permit is being unloaded."},
      {LogEvent::kLoadAsked, kInfo, kPlacement, "load_asked",
       "A router asked the controller beside a worker for a model or adapter."},
      {LogEvent::kOrderSent, kInfo, kPlacement, "order_sent",
       "The controller sent its engine an order."},
      {LogEvent::kOrderEnded, kInfo, kPlacement, "order_ended",
       "The engine answered an order, or did not; the outcome tells which."},
      {LogEvent::kEngineRestarted, kWarning, kPlacement, "engine_restarted",
       "The engine began anew: it holds nothing of before."},
      {LogEvent::kWeightsLoaded, kInfo, kPlacement, "weights_loaded",
       "The engine reports weights that were ordered as loaded; fields tell "
       "where they came from and how long it took."},
      {LogEvent::kLoadDelayed, kInfo, kPlacement, "load_delayed",
       "Weights that routers asked for have not been ordered for a while; the "
       "reason is told."},
      {LogEvent::kSharePlanned, kInfo, kQuota, "share_planned",
       "This router changed its standing share of a quota page."},
      {LogEvent::kShareConflict, kInfo, kQuota, "share_conflict",
       "Another router changed the quota page first; this one plans again."},
      {LogEvent::kIdempotencyConflict, kWarning, kIdempotency,
       "idempotency_conflict",
       "A page of idempotency claims had been changed by another writer; it is "
       "read "
       "again."},
      {LogEvent::kConfigApplied, kInfo, kFeed, "config_applied",
       "A new configuration revision is in force on this node."},
      {LogEvent::kConfigRejected, kWarning, kFeed, "config_rejected",
       "A stored item could not be decoded and is passed over."},
      {LogEvent::kRelayChanged, kInfo, kFeed, "relay_changed",
       "This node takes the configuration from another relay."},
      {LogEvent::kPlatformUnreachable, kWarning, kFeed, "platform_unreachable",
       "A call to the platform's service failed."},
      {LogEvent::kRosterChanged, kInfo, kFeed, "roster_changed",
       "The list of VMs has changed."},
      {LogEvent::kWorkerListed, kInfo, kFeed, "worker_listed",
       "A worker came into the list, or began anew under its id."},
      {LogEvent::kWorkerLeaving, kInfo, kFeed, "worker_leaving",
       "A worker is draining: it gets nothing new."},
      {LogEvent::kWorkerGone, kInfo, kFeed, "worker_gone",
       "A worker has left the list."},
      {LogEvent::kKeysStale, kWarning, kFeed, "keys_stale",
       "Nothing proves that the keys in hand are current; requests with keys "
       "are refused."},
      {LogEvent::kKeysCurrent, kInfo, kFeed, "keys_current",
       "The keys in hand are proven current again."},
      {LogEvent::kPlatformRegained, kInfo, kFeed, "platform_regained",
       "Calls to the platform's service succeed again."},
      {LogEvent::kWorkerSuspected, kWarning, kRouting, "worker_suspected",
       "A worker failed a request and rests for a while."},
      {LogEvent::kPeerFrameRejected, kWarning, kPeers, "peer_frame_rejected",
       "A frame on the peer port could not be decoded and was dropped."},
      {LogEvent::kUpstreamSilent, kWarning, kPeers, "upstream_silent",
       "An open connection made no progress and was left for a new one."},
  };
  return kCatalogue;
}

const LogEventRow& LogEventInfo(LogEvent event) {
  const std::vector<LogEventRow>& catalogue = LogEventCatalogue();
  const auto row = std::ranges::find(catalogue, event, &LogEventRow::event);
  if (row == catalogue.end())
    throw std::logic_error("log event without a row in the catalogue");
  return *row;
}

std::string FormatLogRecord(const LogRecord& record) {
  const LogEventRow& row = LogEventInfo(record.event);
  char number[8];
  std::snprintf(number, sizeof(number), "E%04d", static_cast<int>(row.event));
  std::string line = number;
  line += ' ';
  line += kLogCategoryNames.Name(row.category);
  line += ' ';
  line += row.name;
  for (const LogField& field : record.fields)
    line += ' ' + field.name + '=' + Quoted(field.value);
  return line;
}

}  // namespace boragepick
