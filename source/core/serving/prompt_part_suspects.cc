#include "core/serving/prompt_part_suspects.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "common/hashing.h"

namespace boragepick {

namespace {

// Interval between removals of old evidence.
constexpr Duration kCleanupPeriod = std::chrono::seconds(10);

// Adds `added` to the sorted `parts`.
void MergeParts(std::vector<PromptPartId>& parts,
                const std::vector<PromptPartId>& added) {
  std::vector<PromptPartId> merged;
  std::ranges::set_union(parts, added, std::back_inserter(merged));
  parts = std::move(merged);
}

// Counts crashes that are too far apart to have one common cause.
std::size_t CountSeparate(
    std::vector<TimePoint> times,
    Duration apart = PromptPartSuspects::kCommonCauseWindow) {
  std::ranges::sort(times);
  std::size_t count = 0;
  std::optional<TimePoint> counted_at;
  for (const TimePoint at : times) {
    if (counted_at && at - *counted_at < apart)
      continue;
    counted_at = at;
    ++count;
  }
  return count;
}

// Returns the number of separate crashes, as evidence against a part. Bursts of
// crashes that keep breaking runs with the part count as one more: answers to
// other requests with a sound part would have cleared it between them.
std::size_t WeighCrashes(std::vector<TimePoint> times) {
  const std::size_t crashes = times.size();
  const std::size_t separate = CountSeparate(std::move(times));
  const bool are_bursts =
      separate >= PromptPartSuspects::kMinBursts && crashes >= 2 * separate;
  return are_bursts ? separate + 1 : separate;
}

// The number of routers that may send a request that tells parts apart, in the
// given turn. Only a few routers may have such a request.
std::size_t ComparingRouters(std::size_t turn, std::size_t routers) {
  constexpr std::size_t kGrowth = 4;
  std::size_t count = 1;
  for (std::size_t i = 0; i < turn && count < routers; ++i)
    count *= kGrowth;
  return std::min(count, routers);
}

}  // namespace

bool PromptPartSuspects::RecordBrokenRun(TimePoint at,
                                         const std::string& crash,
                                         std::vector<PromptPartId> parts) {
  const auto known = m_crashes.find(crash);
  if (known != m_crashes.end()) {
    std::erase_if(parts, [&known](PromptPartId part) {
      return known->second.cleared.contains(part);
    });
  }
  std::ranges::sort(parts);
  parts.erase(std::unique(parts.begin(), parts.end()), parts.end());
  if (parts.empty())
    return false;
  const bool has_evicted = known == m_crashes.end() && MakeRoom();
  std::vector<BrokenRun>& runs = m_crashes[crash].runs;
  const bool is_known =
      std::ranges::any_of(runs, [&parts](const BrokenRun& run) {
        return std::ranges::includes(run.parts, parts);
      });
  const bool is_full = runs.size() >= kMaxRunsPerCrash;
  if (is_known || (is_full && runs.back().parts.size() >= kMaxMergedParts))
    return false;
  for (const PromptPartId part : parts) {
    TimePoint& since = m_suspected_since.emplace(part, at).first->second;
    since = std::min(since, at);
  }
  const bool may_convict =
      has_evicted || std::ranges::any_of(parts, [this](PromptPartId part) {
        return CountCrashes(part) + 1 >= kCrashesToConvict;
      });
  if (is_full)
    MergeParts(runs.back().parts, parts);
  else
    runs.push_back({.at = at, .parts = std::move(parts)});
  if (may_convict)
    Convict();
  return true;
}

std::size_t PromptPartSuspects::CountCrashes(PromptPartId part) const {
  return static_cast<std::size_t>(
      std::ranges::count_if(m_crashes, [part](const auto& entry) {
        return std::ranges::any_of(
            entry.second.runs, [part](const BrokenRun& run) {
              return std::ranges::binary_search(run.parts, part);
            });
      }));
}

std::vector<PromptPartId> PromptPartSuspects::RecordAnswer(
    TimePoint begun_at,
    std::span<const PromptPartId> parts) {
  std::vector<PromptPartId> cleared;
  for (const PromptPartId part : parts) {
    const auto since = m_suspected_since.find(part);
    if (since != m_suspected_since.end() && since->second < begun_at)
      cleared.push_back(part);
  }
  if (cleared.empty())
    return cleared;
  for (auto& [id, crash] : m_crashes) {
    for (BrokenRun& run : crash.runs) {
      if (run.at >= begun_at)
        continue;
      for (const PromptPartId part : cleared) {
        if (std::erase(run.parts, part) > 0)
          crash.cleared.insert(part);
      }
    }
  }
  Convict();
  return cleared;
}

TimePoint PromptPartSuspects::LastRun(const Crash& crash) {
  return crash.runs.empty()
             ? TimePoint{}
             : std::ranges::max(crash.runs, {}, &BrokenRun::at).at;
}

bool PromptPartSuspects::MakeRoom() {
  if (m_crashes.size() < kMaxCrashes)
    return false;
  // The evidence for a conviction is kept longest.
  m_crashes.erase(
      std::ranges::min_element(m_crashes, {}, [this](const auto& entry) {
        return std::pair(IsExplained(entry.first), LastRun(entry.second));
      }));
  return true;
}

void PromptPartSuspects::RemoveOldCrashes(TimePoint now) {
  if (m_crashes.empty() || now < m_next_cleanup)
    return;
  m_next_cleanup = now + kCleanupPeriod;
  const std::size_t removed = std::erase_if(m_crashes, [&](const auto& entry) {
    return !IsExplained(entry.first) &&
           now - LastRun(entry.second) >= kEvidenceLifetime;
  });
  if (removed > 0)
    Convict();
}

PromptPartSuspects::CrashTimes PromptPartSuspects::UnexplainedCrashTimes(
    std::optional<PromptPartId> other) const {
  CrashTimes times;
  for (const auto& [id, crash] : m_crashes) {
    if (IsExplained(id))
      continue;
    std::map<PromptPartId, TimePoint> first;
    for (const BrokenRun& run : crash.runs) {
      for (const PromptPartId part : run.parts) {
        TimePoint& at = first.emplace(part, run.at).first->second;
        at = std::min(at, run.at);
      }
    }
    if (other && first.contains(*other))
      continue;
    for (const auto& [part, at] : first)
      times[part].push_back(at);
  }
  return times;
}

std::set<PromptPartId> PromptPartSuspects::FindMostSuspected() const {
  std::map<PromptPartId, std::size_t> counts;
  for (auto& [part, times] : UnexplainedCrashTimes(std::nullopt))
    counts[part] = WeighCrashes(std::move(times));
  if (counts.empty())
    return {};
  const auto [most, most_count] = *std::ranges::max_element(
      counts, {}, [](const auto& entry) { return entry.second; });
  if (most_count < kCrashesToConvict)
    return {};
  CrashTimes without_most = UnexplainedCrashTimes(most);
  std::set<PromptPartId> parts = {most};
  for (const auto& [part, count] : counts) {
    // One crash without either part may have another cause.
    const bool is_similar = count >= kCrashesToConvict &&
                            count + 1 >= most_count &&
                            CountSeparate(without_most[part]) <= 1;
    if (is_similar)
      parts.insert(part);
  }
  return parts;
}

void PromptPartSuspects::Convict() {
  const std::set<PromptPartId> before = ConvictedParts();
  m_convictions.clear();
  m_explained.clear();
  m_suspected_since.clear();
  for (const auto& [part, times] : UnexplainedCrashTimes(std::nullopt))
    m_suspected_since[part] = std::ranges::min(times);
  // The part with the most crashes is convicted first, and the crashes that it
  // explains are no evidence against the others.
  while (true) {
    std::set<PromptPartId> parts = FindMostSuspected();
    if (parts.empty())
      break;
    const Conviction& conviction =
        m_convictions.emplace_back(MakeConviction(std::move(parts)));
    m_explained.insert(conviction.crashes.begin(), conviction.crashes.end());
  }
  for (const PromptPartId part : ConvictedParts()) {
    if (!before.contains(part))
      m_new_convictions.push_back(part);
  }
}

PromptPartSuspects::Conviction PromptPartSuspects::MakeConviction(
    std::set<PromptPartId> parts) const {
  Conviction conviction{.parts = std::move(parts)};
  std::vector<TimePoint> times;
  for (const auto& [id, crash] : m_crashes) {
    if (IsExplained(id))
      continue;
    for (const BrokenRun& run : crash.runs) {
      const bool matches =
          std::ranges::any_of(run.parts, [&conviction](PromptPartId part) {
            return conviction.parts.contains(part);
          });
      if (!matches)
        continue;
      conviction.crashes.insert(id);
      times.push_back(run.at);
    }
  }
  conviction.last_crash = std::ranges::max(times);
  // The first crashes were no probes.
  std::size_t probes = CountSeparate(std::move(times), kFirstProbeDelay) - 1;
  for (; probes > 0 && conviction.probe_delay < kMaxProbeDelay; --probes)
    conviction.probe_delay *= kProbeBackoffFactor;
  conviction.probe_delay = std::min(conviction.probe_delay, kMaxProbeDelay);
  return conviction;
}

std::optional<PromptPartId> PromptPartSuspects::FindConvicted(
    TimePoint now,
    RequestId request,
    std::span<const PromptPartId> parts,
    const ProbeGroup& group) {
  RemoveOldCrashes(now);
  for (const Conviction& conviction : m_convictions) {
    const auto matched = std::ranges::find_if(parts, [&](PromptPartId part) {
      return conviction.parts.contains(part);
    });
    if (matched != parts.end() &&
        !MayProbe(now, request, parts, conviction, group))
      return *matched;
  }
  return std::nullopt;
}

bool PromptPartSuspects::MayProbe(TimePoint now,
                                  RequestId request,
                                  std::span<const PromptPartId> parts,
                                  const Conviction& conviction,
                                  const ProbeGroup& group) {
  if (group.routers.empty())
    return false;
  const bool tells_apart =
      std::ranges::any_of(conviction.parts, [parts](PromptPartId part) {
        return std::ranges::find(parts, part) == parts.end();
      });
  const Duration turn_time = tells_apart ? kComparisonTurn : kProbeTurn;
  const TimePoint due =
      conviction.last_crash +
      (tells_apart ? kComparisonDelay : conviction.probe_delay);
  if (now < due)
    return false;
  const auto turn = static_cast<std::size_t>((now - due) / turn_time);
  const TimePoint turn_start = due + turn * turn_time;
  if (now - turn_start >= turn_time / 2)
    return false;
  const PromptPartId part = *conviction.parts.begin();
  const auto order = RendezvousOrder(std::to_string(part), group.routers);
  const std::size_t allowed =
      tells_apart ? ComparingRouters(turn, order.size()) : 1;
  const auto self = std::ranges::find(order, group.self);
  const auto rank = static_cast<std::size_t>(self - order.begin());
  // Another router is the first in each turn.
  const bool is_allowed =
      self != order.end() &&
      (rank + order.size() - turn % order.size()) % order.size() < allowed;
  if (!is_allowed)
    return false;
  Probe& probe = m_probes[part];
  if (probe.turn == turn_start)
    return probe.request == request;
  if (now < probe.claimed_until)
    return false;
  probe = {.turn = turn_start, .request = request};
  m_new_probe = part;
  return true;
}

void PromptPartSuspects::RecordClaim(TimePoint now, PromptPartId part) {
  const bool is_convicted =
      std::ranges::any_of(m_convictions, [part](const Conviction& conviction) {
        return *conviction.parts.begin() == part;
      });
  if (is_convicted)
    m_probes[part].claimed_until = now + kComparisonTurn / 2;
}

std::vector<PromptPartId> PromptPartSuspects::TakeNewConvictions() {
  return std::exchange(m_new_convictions, {});
}

std::optional<PromptPartId> PromptPartSuspects::TakeNewProbe() {
  return std::exchange(m_new_probe, std::nullopt);
}

std::set<PromptPartId> PromptPartSuspects::ConvictedParts() const {
  std::set<PromptPartId> parts;
  for (const Conviction& conviction : m_convictions)
    parts.insert(conviction.parts.begin(), conviction.parts.end());
  return parts;
}

std::vector<PartEvidence> PromptPartSuspects::EvidenceAgainst(
    PromptPartId part) const {
  std::vector<PartEvidence> evidence;
  for (const auto& [id, crash] : m_crashes) {
    for (const BrokenRun& run : crash.runs) {
      if (std::ranges::find(run.parts, part) == run.parts.end())
        continue;
      evidence.push_back({.crash = id, .at = run.at});
      break;
    }
  }
  std::ranges::sort(evidence, {}, &PartEvidence::at);
  return evidence;
}

}  // namespace boragepick
