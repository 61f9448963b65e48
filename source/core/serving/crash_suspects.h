// Detects requests that crash workers, so that retries and further requests do
// not take down the fleet one worker at a time. A request is refused at every
// router if its attempts broke the connections of several workers and it never
// completed, or if its prompt has a part that crashes workers.
#pragma once

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "common/time.h"
#include "core/scheduling/quarantine.h"
#include "core/serving/exchange.h"
#include "core/serving/prompt_part_suspects.h"

namespace boragepick {

// Identifies a request by its team, weights, target and body, because a
// caller's repetition of the same request has another id.
Fingerprint FingerprintOf(const Exchange& exchange);

class CrashSuspects {
 public:
  // Number of broken workers after which a request is refused. Two can be a
  // coincidence when links and workers fail at the same time.
  static constexpr std::size_t kCrashesToRefuse = 3;

  // Records that the connection to the worker broke during the attempt. Returns
  // the notice to broadcast to the other routers.
  std::optional<CrashNotice> RecordBrokenRun(TimePoint now,
                                             const Exchange& exchange,
                                             const Attempt& attempt);
  // Records that more of the response to the current attempt was received, or
  // that it is complete. Returns the notice to broadcast if it clears parts of
  // the prompt.
  std::optional<CrashNotice> RecordProgress(TimePoint now,
                                            const Exchange& exchange,
                                            bool complete = false);
  // Records that the request completed, which clears it of suspicion.
  std::optional<CrashNotice> RecordCompletedRun(TimePoint now,
                                                const Exchange& exchange);
  // Applies a notice from another router.
  void ApplyNotice(TimePoint now, const CrashNotice& notice);

  // Whether the request itself is convicted.
  bool IsConvicted(TimePoint now, const Exchange& exchange);
  bool IsConvicted(TimePoint now, Fingerprint fingerprint);
  // Whether the request itself has crashed workers, but too few to convict it.
  bool IsSuspect(TimePoint now, const Exchange& exchange);
  // The crashes that count against the request itself.
  std::set<std::string> CrashesOf(Fingerprint fingerprint) const {
    return m_quarantine.CrashesOf(fingerprint);
  }
  // Returns a convicted part of the prompt, unless the request may probe it.
  std::optional<PromptPartId> FindConvictedPart(TimePoint now,
                                                const Exchange& exchange,
                                                const ProbeGroup& group);

  // Returns the parts that were convicted since the last call.
  std::vector<PromptPartId> TakeNewConvictions() {
    return m_parts.TakeNewConvictions();
  }
  // Returns the part for which a probe was allowed since the last call.
  std::optional<PromptPartId> TakeNewProbe() { return m_parts.TakeNewProbe(); }
  // Returns notices from which another router derives the convictions of parts
  // and the evidence against requests.
  std::vector<CrashNotice> ConvictionNotices(TimePoint now) const;

  const PromptPartSuspects& parts() const { return m_parts; }

 private:
  // Excludes the crashes that convicted parts explain from the evidence against
  // whole requests. They count again if the parts are cleared.
  void ExcludeExplainedCrashes();

  Quarantine m_quarantine{kCrashesToRefuse};
  PromptPartSuspects m_parts;
};

}  // namespace boragepick
