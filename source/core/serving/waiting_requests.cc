#include "core/serving/waiting_requests.h"

#include <algorithm>

namespace boragepick {

namespace {

// A request's urgency at `now`: its own when it begins to wait, and 0 when its
// permitted time is over.
int AgedUrgency(TimePoint now, const WaitingRequest& request) {
  const double permitted = ToSeconds(request.until - request.since);
  const double waited = ToSeconds(now - request.since);
  if (permitted <= 0)
    return 0;
  const double left = std::clamp(1 - waited / permitted, 0.0, 1.0);
  return static_cast<int>(request.urgency * left);
}

}  // namespace

WaitingRequests::WaitKey WaitingRequests::KeyOf(const WaitingRequest& request) {
  switch (request.reason) {
    case WaitReason::kWeights:
      return {.reason = request.reason,
              .service = request.service,
              .model = request.model};
    case WaitReason::kTurn:
    case WaitReason::kColdPlace:
      return {.reason = request.reason};
    case WaitReason::kWorker:
    case WaitReason::kRetryBudget:
      break;
  }
  return {.reason = request.reason, .service = request.service};
}

WaitingRequests::Kind WaitingRequests::KindOf(const WaitingRequest& request) {
  return {request.reason, request.service, request.weights, request.route,
          request.team};
}

void WaitingRequests::Put(TimePoint now, WaitingRequest request) {
  const RequestId id = request.id;
  const WaitKey key = KeyOf(request);
  const auto found = m_requests.find(id);
  const bool is_same = found != m_requests.end() &&
                       KeyOf(found->second) == key &&
                       found->second.team == request.team &&
                       found->second.weights == request.weights;
  if (is_same) {
    found->second = std::move(request);
    return;
  }
  Remove(id);
  const auto [entry, is_new_key] = m_by_key.try_emplace(key);
  if (is_new_key)
    SetCheck(key, entry->second, now + kCheckPeriod);
  entry->second.requests.insert(id);
  ++m_by_weights[request.weights];
  const auto [team, is_new_team] = m_teams.try_emplace(request.team);
  if (is_new_team)
    team->second.sent = m_sent;
  ++team->second.waiting;
  m_requests.insert_or_assign(id, std::move(request));
}

void WaitingRequests::RecordSent(RequestId id) {
  const auto found = m_requests.find(id);
  if (found == m_requests.end())
    return;
  m_sent = ++m_teams.at(found->second.team).sent;
  Remove(id);
}

void WaitingRequests::Remove(RequestId id) {
  const auto found = m_requests.find(id);
  if (found == m_requests.end())
    return;
  const WaitingRequest& request = found->second;
  const auto entry = m_by_key.find(KeyOf(request));
  entry->second.requests.erase(id);
  if (entry->second.requests.empty()) {
    m_checks.erase({entry->second.next_check, entry->first});
    m_by_key.erase(entry);
  }
  const auto weights = m_by_weights.find(request.weights);
  if (--weights->second == 0)
    m_by_weights.erase(weights);
  const auto team = m_teams.find(request.team);
  if (--team->second.waiting == 0)
    m_teams.erase(team);
  m_requests.erase(found);
}

void WaitingRequests::SetCheck(const WaitKey& key,
                               WaitEntry& entry,
                               TimePoint when) {
  m_checks.erase({entry.next_check, key});
  entry.next_check = when;
  m_checks.emplace(when, key);
}

void WaitingRequests::Mark(const WaitKey& key) {
  if (m_by_key.contains(key))
    m_marked.insert(key);
}

void WaitingRequests::OnWorkerChanged(const Worker& worker) {
  if (m_by_key.empty())
    return;
  Mark({.reason = WaitReason::kWorker, .service = worker.entry.service});
  // The worker may no longer be cold.
  Mark({.reason = WaitReason::kColdPlace});
  for (const LoadedModel& model : worker.contents.models)
    Mark({.reason = WaitReason::kWeights,
          .service = worker.entry.service,
          .model = model.name});
}

void WaitingRequests::OnWorkerAvoided(const std::string& worker,
                                      TimePoint when) {
  m_avoided.emplace(when, worker);
}

void WaitingRequests::OnRetriesEarned(const std::string& service) {
  Mark({.reason = WaitReason::kRetryBudget, .service = service});
}

void WaitingRequests::OnTurnsChanged() {
  Mark({.reason = WaitReason::kTurn});
}

void WaitingRequests::OnColdPlacesArrived() {
  Mark({.reason = WaitReason::kColdPlace});
}

void WaitingRequests::OnConfigChanged() {
  m_all_marked = true;
}

void WaitingRequests::MarkDue(TimePoint now, WorkerTable& workers) {
  while (!m_avoided.empty() && m_avoided.begin()->first <= now) {
    if (const Worker* worker = workers.Find(m_avoided.begin()->second))
      OnWorkerChanged(*worker);
    m_avoided.erase(m_avoided.begin());
  }
  for (const auto& [when, key] : m_checks) {
    if (when > now)
      break;
    m_marked.insert(key);
  }
}

std::set<RequestId> WaitingRequests::TakeMarked(TimePoint now) {
  std::set<RequestId> ids;
  if (std::exchange(m_all_marked, false)) {
    m_marked.clear();
    for (const auto& [key, entry] : m_by_key)
      m_marked.insert(key);
  }
  for (const WaitKey& key : std::exchange(m_marked, {})) {
    const auto entry = m_by_key.find(key);
    if (entry == m_by_key.end())
      continue;
    ids.insert(entry->second.requests.begin(), entry->second.requests.end());
    SetCheck(key, entry->second, now + kCheckPeriod);
  }
  return ids;
}

std::vector<RequestId> WaitingRequests::Sort(
    TimePoint now,
    const std::set<RequestId>& ids) const {
  struct Place {
    int urgency;
    const WaitingRequest* request;
    // The number of requests of its team that will have been sent before it.
    std::uint64_t sent;
  };
  std::vector<Place> places;
  places.reserve(ids.size());
  for (const RequestId id : ids) {
    const WaitingRequest& request = m_requests.at(id);
    places.push_back({.urgency = AgedUrgency(now, request),
                      .request = &request,
                      .sent = m_teams.at(request.team).sent});
  }
  std::ranges::sort(places, {}, [](const Place& place) {
    return std::tuple(place.urgency, place.request->until, place.request->id);
  });
  std::map<std::pair<int, std::string_view>, std::uint64_t> before;
  for (Place& place : places)
    place.sent += before[{place.urgency, place.request->team}]++;
  std::ranges::sort(places, {}, [](const Place& place) {
    return std::tuple(place.urgency, place.sent, place.request->until,
                      place.request->id);
  });
  std::vector<RequestId> sorted;
  sorted.reserve(places.size());
  for (const Place& place : places)
    sorted.push_back(place.request->id);
  return sorted;
}

TimePoint WaitingRequests::NextCheck() const {
  TimePoint next = kNever;
  if (!m_checks.empty())
    next = m_checks.begin()->first;
  if (!m_requests.empty() && !m_avoided.empty())
    next = std::min(next, m_avoided.begin()->first);
  return next;
}

std::uint32_t WaitingRequests::CountOf(const std::string& weights) const {
  const auto found = m_by_weights.find(weights);
  return found == m_by_weights.end() ? 0 : found->second;
}

std::map<WaitReason, WaitCount> WaitingRequests::CountByReason() const {
  std::map<WaitReason, WaitCount> counts;
  for (const auto& [id, request] : m_requests) {
    WaitCount& count = counts[request.reason];
    ++count.requests;
    count.since = std::min(count.since, request.since);
  }
  return counts;
}

}  // namespace boragepick
