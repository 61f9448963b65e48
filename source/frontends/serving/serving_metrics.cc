#include "frontends/serving/serving_process.h"

namespace boragepick {

namespace {

class MetricsText {
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
  // `label` goes with each line, as `name="value"`.
  void Add(std::string_view name,
           const LatencyHistogram& histogram,
           const std::string& label = "") {
    const std::string bucket = std::string(name) + "_bucket";
    const std::string before = label.empty() ? "{" : "{" + label + ",";
    histogram.ForEachBound([&](double bound, std::uint64_t count) {
      Add(bucket, count, before + "le=\"" + std::to_string(bound) + "\"}");
    });
    Add(bucket, histogram.Count(), before + "le=\"+Inf\"}");
    const std::string labels = label.empty() ? "" : "{" + label + "}";
    Add(std::string(name) + "_sum", histogram.SumSeconds(), labels);
    Add(std::string(name) + "_count", histogram.Count(), labels);
  }
  std::string Take() { return std::move(m_text); }

 private:
  std::string m_text;
};

}  // namespace

std::string ServingMetricsText(const ServingRouter& router,
                               std::uint64_t store_calls,
                               std::uint64_t upstream_connections) {
  const ServingMetrics& metrics = router.requests().metrics();
  const ServingState& state = router.state();
  MetricsText text;
  text.Add("requests_total", metrics.requests);
  text.Add("answered_total", metrics.answered);
  text.Add("held_total", metrics.held);
  text.Add("retried_total", metrics.retried);
  text.Add("resumed_total", metrics.resumed);
  text.Add("cancelled_total", metrics.cancelled);
  text.Add("aborted_total", metrics.aborted);
  for (const auto& [refusal, count] : metrics.refused) {
    text.Add(
        "refused_total", count,
        "{code=\"" + std::string(ServingRefusalInfo(refusal).name) + "\"}");
  }
  text.Add("first_byte_seconds", metrics.first_byte);
  text.Add("whole_answer_seconds", metrics.whole_answer);
  text.Add("quota_wait_seconds", metrics.quota_wait);
  text.Add("hold_seconds", metrics.hold);
  text.Add("open_requests", router.requests().open());
  text.Add("held_requests", router.requests().held());
  text.Add("workers", state.workers.size());
  text.Add("config_version", state.config ? state.config->config().version : 0);
  text.Add("key_proof_age_seconds",
           ToSeconds(ReadBootClock() - state.config_confirmed_at));
  text.Add("store_calls_total", store_calls);
  text.Add("upstream_connections_total", upstream_connections);
  return text.Take();
}

std::string ControllerMetricsText(const EngineController& controller,
                                  std::uint64_t store_calls) {
  MetricsText text;
  text.Add("orders_total", controller.orders_sent());
  text.Add("open_asks", controller.pending_loads());
  text.Add("loads_from_store", controller.IsLoadingFromStore() ? 1 : 0);
  for (const auto& [source, times] : controller.load_times()) {
    text.Add("load_seconds", times,
             "from=\"" + std::string(kWeightsSourceNames.Name(source)) + "\"");
  }
  text.Add("store_calls_total", store_calls);
  return text.Take();
}

}  // namespace boragepick
