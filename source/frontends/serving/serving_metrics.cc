#include "frontends/serving/serving_process.h"

namespace boragepick {

namespace {

class MetricsWriter {
 public:
  template <typename Value>
  void Add(std::string_view name, Value value, std::string_view labels = "") {
    m_text += "boragepick_";
    m_text += name;
    m_text += labels;
    m_text += ' ';
    m_text += std::to_string(value);
    m_text += '\n';
  }
  // `label` is added to each line, in the form `name="value"`.
  void Add(std::string_view name,
           const LatencyHistogram& histogram,
           const std::string& label = "") {
    const std::string bucket = std::string(name) + "_bucket";
    const std::string label_prefix = label.empty() ? "{" : "{" + label + ",";
    histogram.ForEachBound([&](double bound, std::uint64_t count) {
      Add(bucket, count,
          label_prefix + "le=\"" + std::to_string(bound) + "\"}");
    });
    Add(bucket, histogram.Count(), label_prefix + "le=\"+Inf\"}");
    const std::string labels = label.empty() ? "" : "{" + label + "}";
    Add(std::string(name) + "_sum", histogram.SumSeconds(), labels);
    Add(std::string(name) + "_count", histogram.Count(), labels);
  }
  std::string TakeText() { return std::move(m_text); }

 private:
  std::string m_text;
};

void AddQuotaMetrics(const ServingRouter& router, MetricsWriter& writer) {
  const auto& quota = router.state().fleet.quota();
  for (const auto& [team, counts] : router.requests().metrics().quota_by_team) {
    if (!router.state().fleet.IsLimited(team))
      continue;
    const std::string label = "{team=\"" + team + "\"}";
    writer.Add("quota_admitted_tokens_total", counts.admitted_tokens, label);
    writer.Add("quota_queued_total", counts.queued, label);
    writer.Add("quota_refused_total", counts.refused, label);
    writer.Add("quota_waiting_requests",
               router.requests().WaitingForQuota(team), label);
    if (!quota)
      continue;
    writer.Add("quota_level_tokens", quota->KnownLevelOf(team), label);
    writer.Add("quota_lent_tokens", quota->OutstandingOf(team), label);
    writer.Add("quota_waiting_routers", quota->WaitingLoansOf(team), label);
  }
}

}  // namespace

std::string FormatGatewayMetrics(const ServingRouter& router,
                                 const GatewayCounters& counters) {
  const ServingMetrics& metrics = router.requests().metrics();
  const ServingState& state = router.state();
  MetricsWriter writer;
  writer.Add("requests_total", metrics.requests);
  writer.Add("answered_total", metrics.answered);
  writer.Add("held_total", metrics.held);
  writer.Add("retried_total", metrics.retried);
  writer.Add("resumed_total", metrics.resumed);
  writer.Add("cancelled_total", metrics.cancelled);
  writer.Add("aborted_total", metrics.aborted);
  writer.Add("broken_runs_total", metrics.broken_runs);
  writer.Add("paused_responses_total", metrics.paused);
  writer.Add("requests_convicted_total", metrics.requests_convicted);
  writer.Add("prompt_parts_convicted_total", metrics.parts_convicted);
  writer.Add("prompt_part_probes_total", metrics.part_probes);
  writer.Add("prompt_parts_cleared_total", metrics.parts_cleared);
  const ColdMetrics& cold = state.cold_workers.metrics();
  writer.Add("cold_workers", state.cold_workers.CountCold(ReadBootClock()));
  writer.Add("workers_turned_cold_total", cold.turned_cold);
  writer.Add("cold_places_asked_total", cold.places_asked);
  writer.Add("cold_places_received_total", cold.places_received);
  writer.Add("cold_places_used_total", cold.places_used);
  writer.Add("cold_places_granted_total", cold.places_granted);
  for (const auto& [refusal, count] : metrics.refused) {
    writer.Add(
        "refused_total", count,
        "{code=\"" + std::string(ServingRefusalInfo(refusal).name) + "\"}");
  }
  writer.Add("first_byte_seconds", metrics.first_byte);
  writer.Add("whole_answer_seconds", metrics.whole_answer);
  writer.Add("quota_wait_seconds", metrics.quota_wait);
  writer.Add("hold_seconds", metrics.hold);
  AddQuotaMetrics(router, writer);
  writer.Add("open_requests", router.requests().open());
  const WaitingRequests& waiting = router.requests().waiting();
  writer.Add("held_requests", waiting.size());
  const TimePoint now = ReadBootClock();
  for (const auto& [reason, count] : waiting.CountByReason()) {
    const std::string label =
        "{why=\"" + std::string(kWaitReasonNames.Name(reason)) + "\"}";
    writer.Add("waiting_requests", count.requests, label);
    writer.Add("oldest_wait_seconds", ToSeconds(now - count.since), label);
  }
  writer.Add("workers", state.workers.size());
  for (const auto& [data_centre, evacuation] : state.evacuations.active()) {
    writer.Add("evacuation_seconds",
               ToSeconds(ReadBootClock() - evacuation.known_since),
               "{data_centre=\"" + data_centre + "\"}");
    writer.Add("evacuation_revision", evacuation.revision,
               "{data_centre=\"" + data_centre + "\"}");
  }
  writer.Add("config_version",
             state.config ? state.config->config().version : 0);
  writer.Add("key_proof_age_seconds",
             ToSeconds(ReadBootClock() - state.config_confirmed_at));
  writer.Add("store_calls_total", counters.store_calls);
  writer.Add("store_era", counters.store_era);
  writer.Add("store_reverts_total", counters.store_reverts);
  writer.Add("upstream_connections_total", counters.upstream_connections);
  writer.Add("caller_connections", counters.caller_connections);
  writer.Add("request_bytes", counters.request_bytes);
  writer.Add("unsent_response_bytes", counters.unsent_response_bytes);
  writer.Add("held_response_bytes",
             router.requests().response_flow().held_bytes());
  for (const auto& [fault, count] : counters.rejected_requests) {
    writer.Add("rejected_requests_total", count,
               "{why=\"" + std::string(RequestFaultInfo(fault).name) + "\"}");
  }
  for (const auto& [reason, count] : counters.unanswered_closes) {
    writer.Add(
        "unanswered_closes_total", count,
        "{why=\"" + std::string(kConnectionEndNames.Name(reason)) + "\"}");
  }
  return writer.TakeText();
}

std::string FormatControllerMetrics(const EngineController& controller,
                                    std::uint64_t store_calls) {
  MetricsWriter writer;
  writer.Add("orders_total", controller.orders_sent());
  writer.Add("open_asks", controller.pending_loads());
  writer.Add("loads_from_store", controller.IsLoadingFromStore() ? 1 : 0);
  for (const auto& [source, histogram] : controller.load_times()) {
    writer.Add(
        "load_seconds", histogram,
        "from=\"" + std::string(kWeightsSourceNames.Name(source)) + "\"");
  }
  writer.Add("store_calls_total", store_calls);
  return writer.TakeText();
}

}  // namespace boragepick
