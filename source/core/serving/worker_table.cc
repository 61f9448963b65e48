#include "core/serving/worker_table.h"

#include <algorithm>

#include "common/hashing.h"

namespace boragepick {

namespace {

// Weight of the latest request in the moving averages.
constexpr double kFailureWeight = 0.15;
constexpr double kLatencyWeight = 0.1;
constexpr double kMaxLatencyRatio = 20;
// Backoff after a failed request; it doubles with each consecutive failure.
constexpr Duration kInitialBackoff = std::chrono::milliseconds(300);
constexpr Duration kMaxBackoff = std::chrono::seconds(3);
constexpr std::uint32_t kMaxBackoffDoublings = 4;
// A worker that asks for a longer pause is tried again after this time.
constexpr Duration kMaxPause = std::chrono::hours(1);
// A worker that is leaving exits within seconds, at times within a minute.
constexpr Duration kLeavingLifetime = std::chrono::minutes(10);

// Hashes a prompt part together with all parts before it, whose hash is
// `prefix`.
std::uint64_t PrefixKey(std::uint64_t weights,
                        std::uint64_t prefix,
                        std::uint64_t part) {
  std::uint64_t key = weights ^ (prefix * 0x9e3779b97f4a7c15ULL) ^ part;
  key ^= key >> 29;
  key *= 0xbf58476d1ce4e5b9ULL;
  return key ^ (key >> 32);
}

// Returns "model" and "model/adapter" for "model/adapter"; nothing for a plain
// service.
std::vector<std::string> ModelAndAdapterNames(const std::string& weights) {
  const std::size_t slash = weights.find('/');
  if (weights.empty())
    return {};
  if (slash == std::string::npos)
    return {weights};
  return {weights.substr(0, slash), weights};
}

// An entry of the worker list can be this old when it arrives. An engine update
// that is younger takes precedence over it.
constexpr Duration kMaxListLag = std::chrono::milliseconds(2'500);

// Loading or unloading an adapter does not change the worker's entry in the
// list, so that the adapters of the last engine update stay valid.
void KeepReportedAdapters(const EngineContents& reported,
                          EngineContents& listed) {
  for (LoadedModel& model : listed.models) {
    if (const LoadedModel* previous = reported.Find(model.name))
      model.adapters = previous->adapters;
  }
}

}  // namespace

std::uint32_t PrefixCacheEstimate::CachedTokens(
    const std::string& weights,
    const std::vector<PromptPart>& prompt) const {
  const std::uint64_t base = StableHash(weights);
  std::uint64_t prefix = 0;
  std::uint32_t tokens = 0;
  for (const PromptPart& part : prompt) {
    prefix = PrefixKey(base, prefix, part.id);
    if (!m_prefixes.contains(prefix))
      break;
    tokens += part.tokens;
  }
  return tokens;
}

void PrefixCacheEstimate::RecordPrompt(const std::string& weights,
                                       const std::vector<PromptPart>& prompt) {
  const std::uint64_t base = StableHash(weights);
  std::uint64_t prefix = 0;
  for (const PromptPart& part : prompt) {
    prefix = PrefixKey(base, prefix, part.id);
    if (m_prefixes.insert(prefix).second)
      m_insertion_order.push_back(prefix);
  }
  while (m_insertion_order.size() > kMaxParts) {
    m_prefixes.erase(m_insertion_order.front());
    m_insertion_order.pop_front();
  }
}

void PrefixCacheEstimate::Clear() {
  m_prefixes.clear();
  m_insertion_order.clear();
}

bool WorkerTable::AddOrUpdate(TimePoint now, const WorkerEntry& entry) {
  Worker& worker = m_workers[entry.id];
  const bool is_new = worker.entry.id.empty();
  const bool restarted =
      !is_new && entry.contents.born != worker.entry.contents.born;
  if (restarted) {
    // A restarted worker has lost its caches, and its earlier failures say
    // nothing about the new process.
    worker.prefix_cache.Clear();
    worker.backoff_until = TimePoint{};
    worker.paused_until = TimePoint{};
    worker.consecutive_failures = 0;
    worker.failure_rate = 0;
    worker.last_engine_update = TimePoint{};
  }
  const bool state_changed = worker.entry.state != entry.state;
  worker.entry = entry;
  worker.is_leaving = IsLeaving(entry);
  EngineContents listed = entry.contents;
  const bool has_update =
      !is_new && !restarted && worker.last_engine_update != TimePoint{};
  if (has_update && now - worker.last_engine_update < kMaxListLag)
    listed.models = worker.contents.models;
  else if (has_update)
    KeepReportedAdapters(worker.contents, listed);
  const bool changed = is_new || restarted || state_changed ||
                       listed.models != worker.contents.models;
  worker.contents = std::move(listed);
  return changed;
}

bool WorkerTable::Remove(const std::string& id) {
  return m_workers.erase(id) > 0;
}

std::vector<std::string> WorkerTable::FindUnlisted(
    const std::vector<std::string>& ids) const {
  const std::unordered_set<std::string> listed(ids.begin(), ids.end());
  std::vector<std::string> missing;
  for (const auto& [id, worker] : m_workers) {
    if (!listed.contains(id))
      missing.push_back(id);
  }
  return missing;
}

Worker* WorkerTable::ApplyEngineUpdate(TimePoint now,
                                       const std::string& ip,
                                       const EngineUpdate& update) {
  for (auto& [id, worker] : m_workers) {
    if (IpFromAddress(worker.entry.address) != ip)
      continue;
    // The update is about an earlier or later process than the listed one.
    if (worker.contents.born != update.contents.born)
      return nullptr;
    worker.contents.models = update.contents.models;
    // Adapters are not counted: they load in a hundredth of a model's time.
    worker.queued_loads = static_cast<std::size_t>(
        std::ranges::count_if(update.queued, [](const std::string& name) {
          return name.find('/') == std::string::npos;
        }));
    worker.engine_waiting = update.waiting;
    worker.last_engine_update = now;
    return &worker;
  }
  return nullptr;
}

Worker* WorkerTable::Find(const std::string& id) {
  const auto found = m_workers.find(id);
  return found == m_workers.end() ? nullptr : &found->second;
}

const Worker* WorkerTable::Find(const std::string& id) const {
  const auto found = m_workers.find(id);
  return found == m_workers.end() ? nullptr : &found->second;
}

std::vector<Worker*> WorkerTable::FindByService(const std::string& service) {
  std::vector<Worker*> workers;
  for (auto& [id, worker] : m_workers) {
    if (worker.entry.service == service)
      workers.push_back(&worker);
  }
  return workers;
}

void WorkerTable::RecordRunStart(Worker& worker, const std::string& weights) {
  ++worker.running;
  for (const std::string& name : ModelAndAdapterNames(weights))
    ++worker.running_by_weights[name];
}

void WorkerTable::RecordRunEnd(Worker& worker, const std::string& weights) {
  // The worker may have been removed and listed again since the attempt
  // started; the new entry does not count that attempt.
  if (worker.running > 0)
    --worker.running;
  for (const std::string& name : ModelAndAdapterNames(weights)) {
    const auto found = worker.running_by_weights.find(name);
    if (found != worker.running_by_weights.end() && --found->second == 0)
      worker.running_by_weights.erase(found);
  }
}

bool WorkerTable::IsLeaving(const WorkerEntry& entry) const {
  const auto leaving = m_leaving.find(entry.id);
  return leaving != m_leaving.end() &&
         leaving->second.born == entry.contents.born;
}

bool WorkerTable::RecordLeaving(TimePoint now,
                                const std::string& id,
                                std::int64_t born) {
  Worker* worker = Find(id);
  const bool is_current =
      worker != nullptr && worker->entry.contents.born == born;
  if (!is_current || worker->is_leaving)
    return false;
  std::erase_if(m_leaving, [now](const auto& entry) {
    return now - entry.second.said_at > kLeavingLifetime;
  });
  m_leaving[id] = {.born = born, .said_at = now};
  worker->is_leaving = true;
  return true;
}

void WorkerTable::RecordPause(TimePoint now,
                              const std::string& id,
                              std::int64_t born,
                              Duration pause) {
  Worker* worker = Find(id);
  if (worker == nullptr || worker->entry.contents.born != born)
    return;
  worker->paused_until =
      std::max(worker->paused_until, now + std::min(pause, kMaxPause));
}

void WorkerTable::RecordSuccess(Worker& worker,
                                Duration took,
                                Duration expected) {
  worker.consecutive_failures = 0;
  worker.failure_rate *= 1 - kFailureWeight;
  const double ratio = ToSeconds(took) / std::max(ToSeconds(expected), 0.001);
  worker.latency_ratio += kLatencyWeight * (std::min(ratio, kMaxLatencyRatio) -
                                            worker.latency_ratio);
}

void WorkerTable::RecordFailure(TimePoint now, Worker& worker) {
  worker.failure_rate += kFailureWeight * (1 - worker.failure_rate);
  const std::uint32_t doublings =
      std::min(worker.consecutive_failures, kMaxBackoffDoublings);
  ++worker.consecutive_failures;
  worker.backoff_until =
      now + std::min(kMaxBackoff, kInitialBackoff * (1 << doublings));
}

std::string IpFromAddress(const std::string& address) {
  return address.substr(0, address.rfind(':'));
}

}  // namespace boragepick
