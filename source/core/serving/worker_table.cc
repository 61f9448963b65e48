#include "core/serving/worker_table.h"

#include <algorithm>

#include "common/hashing.h"

namespace boragepick {

namespace {

// Weight of the latest request in the running averages.
constexpr double kFailureWeight = 0.15;
constexpr double kSlownessWeight = 0.1;
constexpr double kMaxSlowness = 20;
// After failures in a row a worker rests for so long, doubled with each more.
constexpr Duration kFirstRest = std::chrono::milliseconds(300);
constexpr Duration kLongestRest = std::chrono::seconds(3);
constexpr std::uint32_t kMaxDoublings = 4;

std::uint64_t PartKey(std::uint64_t weights,
                      std::uint64_t before,
                      std::uint64_t part) {
  std::uint64_t key = weights ^ (before * 0x9e3779b97f4a7c15ULL) ^ part;
  key ^= key >> 29;
  key *= 0xbf58476d1ce4e5b9ULL;
  return key ^ (key >> 32);
}

// "model/adapter" and its "model"; nothing for a plain service.
std::vector<std::string> NamesWithin(const std::string& weights) {
  const std::size_t slash = weights.find('/');
  if (weights.empty())
    return {};
  if (slash == std::string::npos)
    return {weights};
  return {weights.substr(0, slash), weights};
}

// An entry of the list may be as old as this when it comes: until then what the
// controller said goes before it.
constexpr Duration kListLag = std::chrono::milliseconds(2'500);

// Adapters come and go without a new entry; the controller tells of them.
void KeepKnownAdapters(const EngineContents& known, EngineContents& listed) {
  for (LoadedModel& model : listed.models) {
    if (const LoadedModel* before = known.Find(model.name))
      model.adapters = before->adapters;
  }
}

}  // namespace

std::uint32_t PromptMemory::KnownTokens(
    const std::string& weights,
    const std::vector<PromptPart>& prompt) const {
  const std::uint64_t base = StableHash(weights);
  std::uint64_t before = 0;
  std::uint32_t tokens = 0;
  for (const PromptPart& part : prompt) {
    before = PartKey(base, before, part.id);
    if (!m_known.contains(before))
      break;
    tokens += part.tokens;
  }
  return tokens;
}

void PromptMemory::Remember(const std::string& weights,
                            const std::vector<PromptPart>& prompt) {
  const std::uint64_t base = StableHash(weights);
  std::uint64_t before = 0;
  for (const PromptPart& part : prompt) {
    before = PartKey(base, before, part.id);
    if (m_known.insert(before).second)
      m_order.push_back(before);
  }
  while (m_order.size() > kMaxParts) {
    m_known.erase(m_order.front());
    m_order.pop_front();
  }
}

void PromptMemory::Clear() {
  m_known.clear();
  m_order.clear();
}

bool WorkerTable::List(TimePoint now, const WorkerEntry& entry) {
  Worker& worker = m_workers[entry.id];
  const bool first = worker.entry.id.empty();
  const bool restarted =
      !first && entry.contents.born != worker.entry.contents.born;
  if (restarted) {
    // why: a restarted worker holds and knows nothing of before
    worker.prompts.Clear();
    worker.avoid_until = TimePoint{};
    worker.failures_in_a_row = 0;
    worker.failure_share = 0;
    worker.news_at = TimePoint{};
  }
  const bool state_changed = worker.entry.state != entry.state;
  worker.entry = entry;
  EngineContents listed = entry.contents;
  const bool told = !first && !restarted && worker.news_at != TimePoint{};
  if (told && now - worker.news_at < kListLag)
    listed.models = worker.contents.models;
  else if (told)
    KeepKnownAdapters(worker.contents, listed);
  const bool changed = first || restarted || state_changed ||
                       listed.models != worker.contents.models;
  worker.contents = std::move(listed);
  return changed;
}

bool WorkerTable::Unlist(const std::string& id) {
  return m_workers.erase(id) > 0;
}

std::vector<std::string> WorkerTable::Missing(
    const std::vector<std::string>& ids) const {
  const std::unordered_set<std::string> listed(ids.begin(), ids.end());
  std::vector<std::string> missing;
  for (const auto& [id, worker] : m_workers) {
    if (!listed.contains(id))
      missing.push_back(id);
  }
  return missing;
}

Worker* WorkerTable::TakeNews(TimePoint now,
                              const std::string& ip,
                              const EngineNews& news) {
  for (auto& [id, worker] : m_workers) {
    if (IpOf(worker.entry.address) != ip)
      continue;
    // why: it speaks of an earlier or later run than the list knows
    if (worker.contents.born != news.contents.born)
      return nullptr;
    worker.contents.models = news.contents.models;
    // why: adapters take a hundredth of a model's time
    worker.queued_loads = static_cast<std::size_t>(
        std::ranges::count_if(news.queued, [](const std::string& name) {
          return name.find('/') == std::string::npos;
        }));
    worker.engine_waiting = news.waiting;
    worker.news_at = now;
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

std::vector<Worker*> WorkerTable::OfService(const std::string& service) {
  std::vector<Worker*> workers;
  for (auto& [id, worker] : m_workers) {
    if (worker.entry.service == service)
      workers.push_back(&worker);
  }
  return workers;
}

void WorkerTable::CountRun(Worker& worker, const std::string& weights) {
  ++worker.running;
  for (const std::string& name : NamesWithin(weights))
    ++worker.running_by_weights[name];
}

void WorkerTable::EndRun(Worker& worker, const std::string& weights) {
  // why: the entry may be of a later run of the worker
  if (worker.running > 0)
    --worker.running;
  for (const std::string& name : NamesWithin(weights)) {
    const auto found = worker.running_by_weights.find(name);
    if (found != worker.running_by_weights.end() && --found->second == 0)
      worker.running_by_weights.erase(found);
  }
}

void WorkerTable::RecordSuccess(Worker& worker,
                                Duration took,
                                Duration expected) {
  worker.failures_in_a_row = 0;
  worker.failure_share *= 1 - kFailureWeight;
  const double ratio = ToSeconds(took) / std::max(ToSeconds(expected), 0.001);
  worker.slowness +=
      kSlownessWeight * (std::min(ratio, kMaxSlowness) - worker.slowness);
}

void WorkerTable::RecordFailure(TimePoint now, Worker& worker) {
  worker.failure_share += kFailureWeight * (1 - worker.failure_share);
  const std::uint32_t doublings =
      std::min(worker.failures_in_a_row, kMaxDoublings);
  ++worker.failures_in_a_row;
  worker.avoid_until =
      now + std::min(kLongestRest, kFirstRest * (1 << doublings));
}

std::string IpOf(const std::string& address) {
  return address.substr(0, address.rfind(':'));
}

}  // namespace boragepick
