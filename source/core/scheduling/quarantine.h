// Quarantine of requests that crash upstreams, by fingerprint. A request that
// was running when an upstream crashed is a suspect and runs again only alone.
// After a second crash (or the configured number) it is convicted and refused.
// A suspect that runs to completion is cleared: it only shared a batch with the
// cause.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "common/enum_table.h"
#include "common/time.h"
#include "core/scheduling/request.h"

namespace boragepick {

// Hash of team, path and body.
using Fingerprint = std::uint64_t;

enum class QuarantineVerdict { kClean, kSuspect, kConvicted };

inline constexpr EnumTable kQuarantineVerdictNames{std::array{
    EnumName<QuarantineVerdict>{QuarantineVerdict::kClean, "clean"},
    EnumName<QuarantineVerdict>{QuarantineVerdict::kSuspect, "suspect"},
    EnumName<QuarantineVerdict>{QuarantineVerdict::kConvicted, "convicted"},
}};

// Broadcast to the other routers when an entry changes. Duplicates have no
// effect.
struct CrashNotice {
  Fingerprint fingerprint = 0;
  // Identifies one crash: the agent and the run number of its engine.
  std::string crash;
  // The request has since run to completion; `crash` is empty.
  bool cleared = false;
  // Parts of the prompt of a run that the crash broke, or, with `cleared`,
  // parts with which an answer has begun and gone on. The fingerprint is 0 if
  // only the parts are accused or cleared.
  std::vector<PromptPartId> parts;
  // Time since the crash, or since the beginning of the answer.
  Duration age = Duration::zero();
  // Set alone: the sender has sent a request that probes this convicted part,
  // so that the others don't send one too.
  std::optional<PromptPartId> probed = std::nullopt;
};

class Quarantine {
 public:
  static constexpr Duration kEntryLifetime = std::chrono::minutes(10);
  // Crashes from which on the evidence against a request is sent again.
  static constexpr std::size_t kCrashesToShare = 2;
  // The requests whose evidence is sent again, those with the latest crashes.
  static constexpr std::size_t kMaxSharedRequests = 16;

  explicit Quarantine(std::size_t crashes_to_convict = 2)
      : m_crashes_to_convict(crashes_to_convict) {}

  QuarantineVerdict VerdictFor(TimePoint now, Fingerprint fingerprint);

  // The crashes that count against the request.
  std::set<std::string> CrashesOf(Fingerprint fingerprint) const;

  // Returns whether the notice changed an entry.
  bool Apply(TimePoint now, const CrashNotice& notice);

  // Sets the crashes that have another cause. They count against no request
  // while they are excluded.
  void SetExcludedCrashes(std::set<std::string> crashes) {
    m_excluded = std::move(crashes);
  }

  // Returns notices with the evidence against the requests that crashed several
  // upstreams, for routers that may have missed the first notices.
  std::vector<CrashNotice> EvidenceNotices(TimePoint now) const;

  std::size_t Size() const { return m_entries.size(); }

 private:
  struct Entry {
    std::set<std::string> crashes;
    // Crashes after which the request ran to completion. Evidence that is sent
    // again must not bring them back.
    std::set<std::string> cleared;
    TimePoint last_crash = TimePoint{};
  };

  // The number of crashes that are not excluded.
  std::size_t CountCrashes(const Entry& entry) const;

  void RemoveExpired(TimePoint now);

  std::size_t m_crashes_to_convict;
  std::map<Fingerprint, Entry> m_entries;
  std::set<std::string> m_excluded;
};

}  // namespace boragepick
