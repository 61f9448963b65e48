// Finds the parts of prompts that crash workers. Requests with such a part have
// nothing else in common, so each crash is evidence against all parts of the
// prompts whose answers were still to begin, and an answer that begins and goes
// on is evidence for all parts of its prompt. The last part of a prompt is
// never a suspect: it belongs to one request or session.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "common/time.h"
#include "core/scheduling/request.h"

namespace boragepick {

// This router and all routers, for the choice of the one that may probe a part.
struct ProbeGroup {
  const std::string& self;
  std::span<const std::string> routers;
};

struct PartEvidence {
  std::string crash;
  TimePoint at;
};

class PromptPartSuspects {
 public:
  // Workers that end within this time of each other may have one cause outside
  // of the requests, such as a power failure, and count as one crash.
  static constexpr Duration kCommonCauseWindow = std::chrono::milliseconds(100);
  static constexpr std::size_t kCrashesToConvict = 4;
  // Bursts of crashes that convict a part although they are fewer.
  static constexpr std::size_t kMinBursts = 3;
  // An answer that goes on for this long has not crashed its worker.
  static constexpr Duration kSettleTime = std::chrono::milliseconds(100);
  static constexpr Duration kEvidenceLifetime = std::chrono::minutes(10);
  // The first probe of a convicted part, after its last crash. Each failed
  // probe delays the next one further.
  static constexpr Duration kFirstProbeDelay = std::chrono::minutes(1);
  static constexpr int kProbeBackoffFactor = 10;
  static constexpr Duration kMaxProbeDelay = std::chrono::hours(24);
  // The routers take turns of this length. A probe is sent in the first half of
  // a turn, so that its outcome is known before the next turn.
  static constexpr Duration kProbeTurn = std::chrono::seconds(20);
  // While the evidence is against several parts, requests with some of them
  // tell the parts apart.
  static constexpr Duration kComparisonDelay = std::chrono::milliseconds(200);
  static constexpr Duration kComparisonTurn = std::chrono::seconds(1);
  static constexpr std::size_t kMaxCrashes = 64;
  static constexpr std::size_t kMaxRunsPerCrash = 128;
  // The parts of further runs are added to the last one, up to this number.
  static constexpr std::size_t kMaxMergedParts = 1'024;

  // Records that a run with these parts was broken by a crash at `at`. Returns
  // whether this is new evidence.
  bool RecordBrokenRun(TimePoint at,
                       const std::string& crash,
                       std::vector<PromptPartId> parts);
  // Records that an answer with these parts began at `begun_at` and went on.
  // Returns the parts that it clears of evidence.
  std::vector<PromptPartId> RecordAnswer(TimePoint begun_at,
                                         std::span<const PromptPartId> parts);

  // Returns the part for which a request must be refused.
  std::optional<PromptPartId> FindConvicted(TimePoint now,
                                            RequestId request,
                                            std::span<const PromptPartId> parts,
                                            const ProbeGroup& group);

  // Another router has sent a request that probes the part.
  void RecordClaim(TimePoint now, PromptPartId part);

  // Returns the parts that were convicted since the last call.
  std::vector<PromptPartId> TakeNewConvictions();
  // Returns the part for which a probe was allowed since the last call.
  std::optional<PromptPartId> TakeNewProbe();
  std::set<PromptPartId> ConvictedParts() const;
  // Returns the evidence against the part in order of time.
  std::vector<PartEvidence> EvidenceAgainst(PromptPartId part) const;
  // Whether a convicted part explains the crash.
  bool IsExplained(const std::string& crash) const {
    return m_explained.contains(crash);
  }
  const std::set<std::string>& explained_crashes() const { return m_explained; }

  bool IsEmpty() const { return m_crashes.empty(); }
  std::size_t crashes() const { return m_crashes.size(); }

 private:
  struct BrokenRun {
    TimePoint at;
    std::vector<PromptPartId> parts;
  };
  struct Crash {
    std::vector<BrokenRun> runs;
    // Parts that an answer has cleared. A delayed notice must not accuse them
    // again.
    std::set<PromptPartId> cleared;
  };
  struct Conviction {
    // Several if the evidence hardly tells them apart.
    std::set<PromptPartId> parts;
    std::set<std::string> crashes;
    TimePoint last_crash = TimePoint{};
    Duration probe_delay = kFirstProbeDelay;
  };
  struct Probe {
    TimePoint turn;
    RequestId request = 0;
    // Until when another router's probe keeps this one from sending its own.
    TimePoint claimed_until = TimePoint{};
  };

  using CrashTimes = std::map<PromptPartId, std::vector<TimePoint>>;

  static TimePoint LastRun(const Crash& crash);
  // Removes the oldest crash if the table is full. Returns whether it did.
  bool MakeRoom();
  // Returns the number of crashes that broke a run with the part.
  std::size_t CountCrashes(PromptPartId part) const;
  void RemoveOldCrashes(TimePoint now);
  // The times of the crashes that neither a convicted part nor `other`
  // explains, by part.
  CrashTimes UnexplainedCrashTimes(std::optional<PromptPartId> other) const;
  // Returns the part with the most unexplained crashes, if they convict it, and
  // the parts that are about as likely to have caused them.
  std::set<PromptPartId> FindMostSuspected() const;
  // Derives the convictions from the evidence.
  void Convict();
  Conviction MakeConviction(std::set<PromptPartId> parts) const;
  // Whether the request may be sent, to find out whether it crashes its worker.
  bool MayProbe(TimePoint now,
                RequestId request,
                std::span<const PromptPartId> parts,
                const Conviction& conviction,
                const ProbeGroup& group);

  std::map<std::string, Crash> m_crashes;
  // The earliest evidence against each part.
  std::map<PromptPartId, TimePoint> m_suspected_since;
  std::vector<Conviction> m_convictions;
  std::set<std::string> m_explained;
  std::vector<PromptPartId> m_new_convictions;
  // By the first part of the conviction.
  std::map<PromptPartId, Probe> m_probes;
  std::optional<PromptPartId> m_new_probe;
  TimePoint m_next_cleanup = TimePoint{};
};

}  // namespace boragepick
