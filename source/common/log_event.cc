#include "common/log_event.h"

#include <algorithm>
#include <cstdio>
#include <stdexcept>

namespace boragepick {

namespace {

// A record is always one line, even if a peer's text contains line breaks, and
// shows no control characters to a terminal.
bool IsControl(char c) {
  constexpr char kDelete = 0x7f;
  return (c >= 0 && c < ' ') || c == kDelete;
}

std::string Quoted(const std::string& value) {
  const bool plain = !value.empty() &&
                     value.find_first_of(" \"=") == std::string::npos &&
                     std::ranges::none_of(value, IsControl);
  if (plain)
    return value;
  std::string quoted = "\"";
  for (const char c : value) {
    if (c == '"' || c == '\\')
      quoted += '\\';
    quoted += IsControl(c) ? ' ' : c;
  }
  return quoted + '"';
}

}  // namespace

const std::vector<LogEventRow>& LogEventCatalogue() {
  using enum LogLevel;
  using enum LogCategory;
  static const std::vector<LogEventRow> kCatalogue = {
      {LogEvent::kStarted, kInfo, kDaemon, "started",
       "The process has started; fields give its role and addresses."},
      {LogEvent::kDraining, kInfo, kDaemon, "draining",
       "A shutdown was requested; the process reports itself as not ready and "
       "completes its remaining work."},
      {LogEvent::kStopped, kInfo, kDaemon, "stopped",
       "The process exits; no request was interrupted."},
      {LogEvent::kLogDropped, kWarning, kDaemon, "log_dropped",
       "The log output was blocked for a while; the field gives the number of "
       "dropped records."},
      {LogEvent::kReloaded, kInfo, kDaemon, "reloaded",
       "The settings file was reloaded; fields list the changes that were "
       "applied and those that need a restart."},
      {LogEvent::kReloadRejected, kWarning, kDaemon, "reload_rejected",
       "The settings file is invalid; the current settings remain in effect."},
      {LogEvent::kLimitsAdjusted, kWarning, kDaemon, "limits_adjusted",
       "Limits in the settings file were rounded down, moved into their range, "
       "or empty; the field lists the values given and used."},
      {LogEvent::kRequestRefused, kInfo, kRouting, "request_refused",
       "A request was refused; the fields code and ran give the reason and "
       "whether it ran."},
      {LogEvent::kRequestRouted, kInfo, kRouting, "request_routed",
       "A request was sent to an agent or worker; fields give the candidates "
       "and the reason."},
      {LogEvent::kRequestRetried, kWarning, kRouting, "request_retried",
       "An attempt failed or was rejected; the request is retried."},
      {LogEvent::kRequestFinished, kInfo, kRouting, "request_finished",
       "The response was sent to the caller completely."},
      {LogEvent::kFingerprintConvicted, kWarning, kRouting,
       "fingerprint_convicted",
       "A request crashed upstreams repeatedly; requests with its fingerprint "
       "are refused from now on; fields give the crashes."},
      {LogEvent::kRequestHeld, kInfo, kRouting, "request_held",
       "A request waits until a worker has loaded its model or becomes "
       "usable."},
      {LogEvent::kRequestResumed, kWarning, kRouting, "request_resumed",
       "An interrupted stream resumes on another worker after the last "
       "delivered event."},
      {LogEvent::kRequestCancelled, kInfo, kRouting, "request_cancelled",
       "The caller's connection ended; the run on the worker was cancelled. "
       "The field why tells a caller that left from one that doesn't read."},
      {LogEvent::kRequestBroken, kWarning, kRouting, "request_broken",
       "A response that had already started was aborted."},
      {LogEvent::kRequestTimedOut, kWarning, kRouting, "request_timed_out",
       "The timeout of the route or the deadline of the caller expired."},
      {LogEvent::kUnansweredClose, kWarning, kFront, "unanswered_close",
       "The server closed a connection with a request unread, unparsed or "
       "unanswered; fields give the reason and the bytes."},
      {LogEvent::kAcceptPaused, kWarning, kFront, "accept_paused",
       "New connections wait because the connection limit is reached or "
       "accept() failed; repeated at most every ten seconds."},
      {LogEvent::kRunBroken, kWarning, kRouting, "run_broken",
       "The connection to a worker broke while a request ran there; fields "
       "give the worker process, whether the answer had begun, the request's "
       "fingerprint and the number of crashes known of it, and the parts of "
       "the prompt."},
      {LogEvent::kPartConvicted, kWarning, kRouting, "part_convicted",
       "A part of prompts crashed workers repeatedly; requests with it are "
       "refused from now on; fields give the crashes."},
      {LogEvent::kPartCleared, kInfo, kRouting, "part_cleared",
       "An answer with a suspected or convicted part of a prompt began and "
       "went on; crashes before it no longer count against the part."},
      {LogEvent::kPartProbed, kInfo, kRouting, "part_probed",
       "One request with a convicted part of a prompt is let through, to "
       "find out whether the part still crashes workers."},
      {LogEvent::kWorkerCold, kInfo, kRouting, "worker_cold",
       "A worker is cold or is taken for cold and gets requests only within "
       "its limit; fields give the reason and the time left."},
      {LogEvent::kWorkerWarm, kInfo, kRouting, "worker_warm",
       "The entry of a worker that was cold shows that it no longer is."},
      {LogEvent::kColdPlacesShort, kWarning, kRouting, "cold_places_short",
       "Requests waited for places at cold workers; fields count the workers, "
       "the requests, and the places asked for and received since the last "
       "line, which is repeated at most every second."},
      {LogEvent::kLoadStarted, kInfo, kPlacement, "load_started",
       "The agent ordered the engine to load a model."},
      {LogEvent::kLoadFinished, kInfo, kPlacement, "load_finished",
       "The engine reported the model as loaded."},
      {LogEvent::kLoadFailed, kWarning, kPlacement, "load_failed",
       "A load order failed; its memory counts as allocated until it is "
       "reported as free."},
      {LogEvent::kModelEvicted, kInfo, kPlacement, "model_evicted",
       "The agent ordered the engine to unload a model."},
      {LogEvent::kPermitsPlanned, kInfo, kPlacement, "permits_planned",
       "The planner wrote which agents may have a model loaded."},
      {LogEvent::kPermitsConflict, kInfo, kPlacement, "permits_conflict",
       "Another planner changed the permits first; this one plans again from "
       "the new state."},
      {LogEvent::kUnpermittedUnloaded, kWarning, kPlacement,
       "unpermitted_unloaded",
       "A model that is loaded without a permit is being unloaded."},
      {LogEvent::kLoadAsked, kInfo, kPlacement, "load_asked",
       "A router sent a load request for a model or adapter to the controller "
       "of a worker."},
      {LogEvent::kOrderSent, kInfo, kPlacement, "order_sent",
       "The controller sent its engine an order."},
      {LogEvent::kOrderEnded, kInfo, kPlacement, "order_ended",
       "The engine replied to an order or failed to; the field outcome gives "
       "the result."},
      {LogEvent::kEngineRestarted, kWarning, kPlacement, "engine_restarted",
       "The engine restarted and lost everything it had loaded."},
      {LogEvent::kWeightsLoaded, kInfo, kPlacement, "weights_loaded",
       "The engine reports ordered weights as loaded; fields give their source "
       "and the load time."},
      {LogEvent::kLoadDelayed, kInfo, kPlacement, "load_delayed",
       "A load request has waited for a while without an order to the engine; "
       "fields give the reason."},
      {LogEvent::kSharePlanned, kInfo, kQuota, "share_planned",
       "This router changed its share of a quota page."},
      {LogEvent::kShareConflict, kInfo, kQuota, "share_conflict",
       "Another router changed the quota page first; this one plans again."},
      {LogEvent::kIdempotencyConflict, kWarning, kIdempotency,
       "idempotency_conflict",
       "Another writer changed a page of idempotency claims; the page is read "
       "again."},
      {LogEvent::kConfigApplied, kInfo, kFeed, "config_applied",
       "A new configuration revision was applied on this node."},
      {LogEvent::kConfigRejected, kWarning, kFeed, "config_rejected",
       "A stored item could not be decoded and is ignored."},
      {LogEvent::kRelayChanged, kInfo, kFeed, "relay_changed",
       "This node now receives the configuration from another relay."},
      {LogEvent::kPlatformUnreachable, kWarning, kFeed, "platform_unreachable",
       "A call to the platform failed."},
      {LogEvent::kRosterChanged, kInfo, kFeed, "roster_changed",
       "The list of VMs has changed."},
      {LogEvent::kWorkerListed, kInfo, kFeed, "worker_listed",
       "A worker was added to the list or restarted under the same ID."},
      {LogEvent::kWorkerLeaving, kInfo, kFeed, "worker_leaving",
       "A worker is draining and gets no new requests."},
      {LogEvent::kWorkerGone, kInfo, kFeed, "worker_gone",
       "A worker was removed from the list."},
      {LogEvent::kKeysStale, kWarning, kFeed, "keys_stale",
       "The local keys could not be confirmed as current; requests with keys "
       "are refused."},
      {LogEvent::kKeysCurrent, kInfo, kFeed, "keys_current",
       "The local keys are confirmed as current again."},
      {LogEvent::kPlatformRegained, kInfo, kFeed, "platform_regained",
       "Calls to the platform succeed again; the field outage_ms gives how "
       "long it may have been away at most."},
      {LogEvent::kWorkerSuspected, kWarning, kRouting, "worker_suspected",
       "A worker failed a request and is avoided during its backoff."},
      {LogEvent::kWorkerPaused, kInfo, kRouting, "worker_paused",
       "A worker asked for no requests from this process for a while."},
      {LogEvent::kWatchCut, kInfo, kFeed, "watch_cut",
       "The platform ended a watch without an answer; all keys are read "
       "again."},
      {LogEvent::kWorkerMissing, kInfo, kFeed, "worker_missing",
       "A worker is not in the list after an outage of the platform in which "
       "its entry may have expired; it is used for a moment longer."},
      {LogEvent::kStoreReverted, kWarning, kFeed, "store_reverted",
       "The store came back from an older copy; fields give its eras and the "
       "time since its last answer under the old one."},
      {LogEvent::kEvacuationRequested, kInfo, kFeed, "evacuation_requested",
       "An operator asked to evacuate a data centre; in_effect_ms tells after "
       "how long its workers get no more requests."},
      {LogEvent::kEvacuationEnded, kInfo, kFeed, "evacuation_ended",
       "The evacuation of a data centre was taken back."},
      {LogEvent::kPeerFrameRejected, kWarning, kPeers, "peer_frame_rejected",
       "A frame on the peer port could not be decoded and was dropped."},
      {LogEvent::kUpstreamSilent, kWarning, kPeers, "upstream_silent",
       "An open connection made no progress and was replaced by a new one."},
  };
  return kCatalogue;
}

const LogEventRow& LogEventInfo(LogEvent event) {
  const std::vector<LogEventRow>& catalogue = LogEventCatalogue();
  const auto row = std::ranges::find(catalogue, event, &LogEventRow::event);
  if (row == catalogue.end())
    throw std::logic_error("log event is missing from the catalogue");
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
