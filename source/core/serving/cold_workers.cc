#include "core/serving/cold_workers.h"

#include <algorithm>

#include "common/random.h"

namespace boragepick {

namespace {

// A request for places that is not answered is repeated after this time, and
// after the shorter time if more requests wait since.
constexpr Duration kRepeatPeriod = std::chrono::milliseconds(100);
constexpr Duration kMinAskPeriod = std::chrono::milliseconds(20);
// A request that is held repeats its wish for a place more often than this.
constexpr Duration kWaitingExpiry = std::chrono::milliseconds(250);
// An owner that has given no place for this long may be gone.
constexpr Duration kOwnerSilence = std::chrono::milliseconds(400);
constexpr Duration kLogPeriod = std::chrono::seconds(1);
constexpr int kHeartbeatsToTellCold = 2;

}  // namespace

ColdWorkers::ColdWorkers(ColdWorkersOptions options)
    : m_options(std::move(options)),
      m_owners(m_options.vm),
      // The grant for a request of an earlier process must not fit one of this
      // process. Half of the numbers are left to count up.
      m_last_number(Random(m_options.random_seed).Next() / 2) {}

void ColdWorkers::Configure(
    const std::map<std::string, ServingService>& services) {
  m_limits.clear();
  if (m_options.overage <= 0)
    return;
  for (const auto& [name, service] : services) {
    if (service.cold_requests_per_second > 0)
      m_limits[name] = MakeColdLimit(service.cold_requests_per_second,
                                     m_options.overage, m_options.slack);
  }
}

void ColdWorkers::OnWorkerListed(TimePoint now, const WorkerEntry& entry) {
  const bool was_cold = IsCold(now, entry.id);
  Known& known = m_known[entry.id];
  known.service = entry.service;
  known.data_centre = entry.data_centre;
  known.cold_until = now + entry.cold_remaining;
  known.suspected_until = TimePoint{};
  const bool is_cold = IsCold(now, entry.id);
  if (is_cold == was_cold)
    return;
  if (!is_cold) {
    m_log.push_back(
        {.event = LogEvent::kWorkerWarm, .fields = {{"worker", entry.id}}});
    return;
  }
  ++m_metrics.turned_cold;
  // Routers that learn of it later have sent requests as to a warm worker.
  const auto places = m_places.find(entry.id);
  if (places != m_places.end())
    places->second.Restart(now);
  m_log.push_back(
      {.event = LogEvent::kWorkerCold,
       .fields = {{"worker", entry.id},
                  {"why", "entry"},
                  {"remaining_ms", FormatMilliseconds(entry.cold_remaining)}}});
}

void ColdWorkers::OnWorkerRemoved(const std::string& id) {
  m_known.erase(id);
  std::erase_if(m_waits_at,
                [&id](const auto& entry) { return entry.second == id; });
  m_asked.erase(id);
  m_places.erase(id);
}

void ColdWorkers::SuspectCold(TimePoint now, const std::string& data_centre) {
  const Duration lasts = m_options.heartbeat * kHeartbeatsToTellCold;
  for (auto& [id, known] : m_known) {
    if (known.data_centre != data_centre || !IsLimited(known.service))
      continue;
    if (!IsCold(now, id))
      m_log.push_back(
          {.event = LogEvent::kWorkerCold,
           .fields = {{"worker", id},
                      {"why", "suspected"},
                      {"remaining_ms", FormatMilliseconds(lasts)}}});
    known.suspected_until = now + lasts;
  }
}

const ColdLimit* ColdWorkers::FindLimit(const std::string& worker) const {
  if (m_limits.empty())
    return nullptr;
  const auto known = m_known.find(worker);
  if (known == m_known.end())
    return nullptr;
  const auto limit = m_limits.find(known->second.service);
  return limit == m_limits.end() ? nullptr : &limit->second;
}

bool ColdWorkers::IsCold(TimePoint now, const std::string& worker) const {
  if (FindLimit(worker) == nullptr)
    return false;
  const Known& known = m_known.at(worker);
  return now < known.cold_until || now < known.suspected_until ||
         now - m_owners.confirmed_at() >= m_options.knowledge_lifetime;
}

std::size_t ColdWorkers::CountCold(TimePoint now) const {
  return static_cast<std::size_t>(std::ranges::count_if(
      m_known,
      [this, now](const auto& entry) { return IsCold(now, entry.first); }));
}

bool ColdWorkers::MaySend(TimePoint now, const std::string& worker) const {
  if (!IsCold(now, worker))
    return true;
  const auto asked = m_asked.find(worker);
  return asked != m_asked.end() && !asked->second.places.empty() &&
         *asked->second.places.rbegin() > now;
}

bool ColdWorkers::TakePlace(TimePoint now, const std::string& worker) {
  if (!IsCold(now, worker))
    return true;
  if (!MaySend(now, worker))
    return false;
  std::multiset<TimePoint>& places = m_asked.at(worker).places;
  // The place that ends first.
  places.erase(places.upper_bound(now));
  ++m_metrics.places_used;
  return true;
}

void ColdWorkers::Await(TimePoint now,
                        const std::string& worker,
                        const ColdRequest& request) {
  if (!IsWaiting(worker, request.id))
    Forget(request.id);
  m_waits_at[request.id] = worker;
  Asked& asked = m_asked[worker];
  Waiting& waiting =
      asked.waiting.try_emplace(request.id, Waiting{.since = now})
          .first->second;
  waiting.request = request;
  waiting.repeated_at = now;
  AskIfDue(now, worker, asked);
}

bool ColdWorkers::IsWaiting(const std::string& worker, RequestId id) const {
  const auto found = m_waits_at.find(id);
  return found != m_waits_at.end() && found->second == worker;
}

void ColdWorkers::Forget(RequestId id) {
  const auto found = m_waits_at.find(id);
  if (found == m_waits_at.end())
    return;
  const auto asked = m_asked.find(found->second);
  if (asked != m_asked.end())
    asked->second.waiting.erase(id);
  m_waits_at.erase(found);
}

std::uint32_t ColdWorkers::Wanted(const Asked& asked) {
  return static_cast<std::uint32_t>(
      std::max(asked.waiting.size(), asked.places.size()) -
      asked.places.size());
}

bool ColdWorkers::IsAskDue(TimePoint now, const Asked& asked) const {
  const std::uint32_t wanted = Wanted(asked);
  if (wanted == 0)
    return false;
  // An answered request left some of the waiting requests without a place.
  if (asked.open.empty())
    return true;
  const Duration since = now - asked.sent_at;
  return since >= kRepeatPeriod ||
         (since >= kMinAskPeriod && wanted > asked.wanted);
}

void ColdWorkers::AskIfDue(TimePoint now,
                           const std::string& worker,
                           Asked& asked) {
  std::erase_if(asked.waiting, [this, now](const auto& entry) {
    const bool expired = now - entry.second.repeated_at > kWaitingExpiry;
    if (expired)
      m_waits_at.erase(entry.first);
    return expired;
  });
  std::erase_if(asked.open, [now](const auto& entry) {
    return now - entry.second >= kPlaceLifetime;
  });
  asked.places.erase(asked.places.begin(), asked.places.upper_bound(now));
  if (asked.waiting.empty())
    asked.unanswered_since = kNever;
  if (!IsAskDue(now, asked))
    return;
  const std::string owner = m_owners.OwnerOf(worker);
  if (owner.empty())
    return;
  const auto first =
      std::ranges::min_element(asked.waiting, {}, [](const auto& entry) {
        const ColdRequest& request = entry.second.request;
        return std::pair(request.urgency, request.prompt_tokens);
      });
  const ColdPlaceRequest request{
      .worker = worker,
      .number = ++m_last_number,
      .wanted = Wanted(asked),
      .urgency = first->second.request.urgency,
      .prompt_tokens = first->second.request.prompt_tokens};
  asked.open[request.number] = now;
  asked.sent_at = now;
  asked.wanted = request.wanted;
  asked.unanswered_since = std::min(asked.unanswered_since, now);
  m_metrics.places_asked += request.wanted;
  if (owner != m_options.vm) {
    m_outgoing.push_back({.vm = owner, .message = request});
    return;
  }
  Handle(now, {.vm = owner}, request);
}

Duration ColdWorkers::RemainingTime(TimePoint now,
                                    const std::string& worker) const {
  const auto known = m_known.find(worker);
  if (known == m_known.end())
    return Duration::zero();
  return std::max(
      Duration::zero(),
      std::max(known->second.cold_until, known->second.suspected_until) - now);
}

Duration ColdWorkers::ExpectedWait(TimePoint now,
                                   const std::string& worker) const {
  const ColdLimit* limit = FindLimit(worker);
  const auto asked = m_asked.find(worker);
  if (limit == nullptr || asked == m_asked.end())
    return Duration::zero();
  const Duration warm_in = RemainingTime(now, worker);
  if (limit->places_per_second <= 0)
    return warm_in;
  const double waiting = static_cast<double>(asked->second.waiting.size());
  auto wait = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(waiting / limit->places_per_second));
  for (const auto& [id, request] : asked->second.waiting)
    wait = std::max(wait, now - request.since);
  return std::min(wait, warm_in);
}

bool ColdWorkers::IsOwnerSilent(TimePoint now,
                                const std::string& worker) const {
  const auto asked = m_asked.find(worker);
  return asked != m_asked.end() && asked->second.unanswered_since != kNever &&
         now - asked->second.unanswered_since >= kOwnerSilence;
}

void ColdWorkers::Handle(TimePoint now,
                         const PeerSender& from,
                         const ColdPlaceRequest& request) {
  if (FindLimit(request.worker) == nullptr ||
      !m_owners.MayAct(now, request.worker))
    return;
  m_places.try_emplace(request.worker, now)
      .first->second.Add(now, from, request);
  Grant(now, request.worker);
}

void ColdWorkers::Grant(TimePoint now, const std::string& worker) {
  const ColdLimit* limit = FindLimit(worker);
  if (limit == nullptr || !m_owners.MayAct(now, worker))
    return;
  ColdPlaces& places = m_places.at(worker);
  places.Restart(m_owners.ActsSince(worker));
  for (ColdPlaces::Grant& granted : places.GrantFree(now, *limit)) {
    m_metrics.places_granted += granted.grant.places;
    if (granted.vm == m_options.vm)
      Handle(now, granted.grant);
    else
      m_outgoing.push_back(
          {.vm = granted.vm, .message = std::move(granted.grant)});
  }
}

void ColdWorkers::Handle(TimePoint now, const ColdPlaceGrant& grant) {
  const auto found = m_asked.find(grant.worker);
  if (found == m_asked.end())
    return;
  Asked& asked = found->second;
  const auto open = asked.open.find(grant.number);
  if (open == asked.open.end())
    return;
  const TimePoint ends_at = open->second + kPlaceLifetime;
  asked.open.erase(open);
  asked.unanswered_since = asked.open.empty() ? kNever : now;
  if (ends_at <= now)
    return;
  m_metrics.places_received += grant.places;
  for (std::uint32_t i = 0; i < grant.places; ++i)
    asked.places.insert(ends_at);
  m_arrived = true;
}

void ColdWorkers::Tick(TimePoint now) {
  if (m_limits.empty())
    return;
  for (auto& [worker, asked] : m_asked)
    AskIfDue(now, worker, asked);
  std::erase_if(m_asked, [](const auto& entry) {
    return entry.second.waiting.empty() && entry.second.open.empty() &&
           entry.second.places.empty();
  });
  for (const auto& [worker, places] : m_places)
    Grant(now, worker);
  LogShortage(now);
}

TimePoint ColdWorkers::NextTick(TimePoint now) const {
  if (m_arrived)
    return now;
  TimePoint next = kNever;
  for (const auto& [worker, asked] : m_asked) {
    if (Wanted(asked) > 0)
      next = std::min(next, std::max(now, asked.sent_at) + kMinAskPeriod);
  }
  for (const auto& [worker, places] : m_places) {
    const ColdLimit* limit = FindLimit(worker);
    if (limit != nullptr)
      next = std::min(next, places.NextGrant(now, *limit));
  }
  return next;
}

void ColdWorkers::LogShortage(TimePoint now) {
  if (now < m_next_log || m_metrics.places_asked == m_logged.places_asked)
    return;
  std::size_t waiting = 0;
  for (const auto& [worker, asked] : m_asked)
    waiting += asked.waiting.size();
  if (waiting == 0)
    return;
  m_log.push_back(
      {.event = LogEvent::kColdPlacesShort,
       .fields = {{"workers", std::to_string(m_asked.size())},
                  {"requests", std::to_string(waiting)},
                  {"asked", std::to_string(m_metrics.places_asked -
                                           m_logged.places_asked)},
                  {"received", std::to_string(m_metrics.places_received -
                                              m_logged.places_received)}}});
  m_logged = m_metrics;
  m_next_log = now + kLogPeriod;
}

}  // namespace boragepick
