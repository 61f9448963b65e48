// Routers that share cold workers, in virtual time: with a store of leased
// records, watches of it, and messages that may be lost, late or doubled.
#pragma once

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "common/random.h"
#include "core/serving/cold_workers.h"

namespace boragepick {

class ColdFleet {
 public:
  struct Options {
    std::size_t routers = 5;
    std::uint64_t seed = 1;
    // Per thousand messages.
    std::uint64_t lost = 0;
    std::uint64_t doubled = 0;
    Duration max_delay = std::chrono::milliseconds(5);
    // The longest time between two confirmations of a router's list. Without
    // any change in the store it is that of a watch.
    Duration confirmation = std::chrono::milliseconds(1'500);
    // Requests that each router has for the cold worker in each step.
    std::size_t demand = 2;
  };
  static constexpr double kRate = 21;
  static constexpr double kOverage = 1.5;
  static constexpr double kSlack = 5;
  static constexpr Duration kStep = std::chrono::milliseconds(10);
  static constexpr const char* kWorker = "w1";

  explicit ColdFleet(Options options)
      : m_options(options), m_random(options.seed) {
    for (std::size_t i = 0; i < options.routers; ++i) {
      m_routers.emplace_back().vm = "r" + std::to_string(i);
      Restart(i);
    }
  }

  void Restart(std::size_t i) {
    Router& router = m_routers[i];
    ++router.incarnation;
    router.cold = std::make_unique<ColdWorkers>(
        ColdWorkersOptions{.vm = router.vm,
                           .random_seed = m_random.Next(),
                           .overage = kOverage,
                           .slack = kSlack});
    router.cold->Configure(
        {{"s", {.name = "s", .cold_requests_per_second = kRate}}});
    router.cold->OnWorkerListed(
        m_now, {.id = kWorker, .service = "s", .cold_remaining = m_cold_for});
    router.records.clear();
    router.full_read = true;
    router.read_sent = kNever;
    router.next_id = 0;
  }
  // The worker is warm, and its entry says so.
  void WarmUp() {
    m_cold_for = Duration::zero();
    for (Router& router : m_routers)
      router.cold->OnWorkerListed(m_now, {.id = kWorker, .service = "s"});
  }
  void Freeze(std::size_t i, Duration duration) {
    m_routers[i].frozen_until = m_now + duration;
    // Its watch fails meanwhile.
    m_routers[i].full_read = true;
  }
  void CutFromStore(std::size_t i, Duration duration) {
    m_routers[i].store_cut_until = m_now + duration;
    m_routers[i].full_read = true;
  }
  void CutFromPeers(std::size_t i, Duration duration) {
    m_routers[i].peers_cut_until = m_now + duration;
  }
  void Remove(std::size_t i) { Freeze(i, std::chrono::hours(1)); }

  void Run(Duration duration) {
    for (const TimePoint end = m_now + duration; m_now < end; m_now += kStep) {
      ExpireRecords();
      DeliverMessages();
      for (Router& router : m_routers) {
        if (m_now < router.frozen_until)
          continue;
        UseStore(router);
        router.cold->Tick(m_now);
        SendRequests(router);
        PostMessages(router);
      }
    }
  }

  // The most requests that reached the worker in one second.
  std::size_t MostInOneSecond() const {
    std::size_t most = 0;
    for (auto first = m_sent.begin(); first != m_sent.end(); ++first) {
      const auto end = std::lower_bound(first, m_sent.end(),
                                        *first + std::chrono::seconds(1));
      most = std::max(most, static_cast<std::size_t>(end - first));
    }
    return most;
  }
  std::size_t SentSince(TimePoint when) const {
    return static_cast<std::size_t>(m_sent.end() -
                                    std::ranges::lower_bound(m_sent, when));
  }
  static constexpr double Bound() { return kRate * kOverage + kSlack; }
  // The router that a router asks.
  std::size_t Owner(std::size_t i) const {
    return std::stoul(m_routers[i].cold->owners().OwnerOf(kWorker).substr(1));
  }
  TimePoint now() const { return m_now; }
  Random& random() { return m_random; }
  std::size_t size() const { return m_routers.size(); }
  void SetDemand(std::size_t demand) { m_options.demand = demand; }

 private:
  struct Router {
    std::string vm;
    Incarnation incarnation = 0;
    std::unique_ptr<ColdWorkers> cold;
    // The records that the router has seen.
    std::map<std::string, std::uint64_t> records;
    bool full_read = true;
    TimePoint read_sent = kNever;
    TimePoint read_due = TimePoint{};
    TimePoint frozen_until = TimePoint{};
    TimePoint store_cut_until = TimePoint{};
    TimePoint peers_cut_until = TimePoint{};
    RequestId next_id = 0;
  };
  struct Record {
    // The revision with which it was written after it was missing.
    std::uint64_t created = 0;
    TimePoint expires_at;
  };
  struct Message {
    std::string to;
    PeerSender from;
    PeerMessage message;
  };

  static constexpr Duration kLease = std::chrono::seconds(6);

  void ExpireRecords() {
    std::erase_if(m_records, [this](const auto& entry) {
      return entry.second.expires_at <= m_now;
    });
  }

  void UseStore(Router& router) {
    if (m_now < router.store_cut_until) {
      router.read_sent = kNever;
      return;
    }
    const auto record = m_records.find(router.vm);
    if (record == m_records.end())
      m_records[router.vm].created = ++m_revision;
    m_records[router.vm].expires_at = m_now + kLease;
    if (router.read_sent == kNever) {
      router.read_sent = m_now;
      router.read_due = m_now + RandomUpTo(m_options.confirmation);
    }
    if (m_now < router.read_due)
      return;
    ApplyRecords(router);
    router.cold->owners().Confirm(router.read_sent);
    router.read_sent = kNever;
  }

  void ApplyRecords(Router& router) {
    ColdOwners& owners = router.cold->owners();
    std::vector<std::string> vms;
    for (const auto& [vm, record] : m_records) {
      vms.push_back(vm);
      if (std::exchange(router.records[vm], record.created) == record.created)
        continue;
      owners.RemoveRouter(m_now, vm);
      owners.AddRouter(m_now, vm);
    }
    std::erase_if(router.records, [&](const auto& entry) {
      const bool gone = !m_records.contains(entry.first);
      if (gone)
        owners.RemoveRouter(m_now, entry.first);
      return gone;
    });
    if (std::exchange(router.full_read, false))
      owners.Retain(m_now, vms);
  }

  void SendRequests(Router& router) {
    for (std::size_t i = 0; i < m_options.demand; ++i) {
      const RequestId id = ++router.next_id % 50;
      if (router.cold->TakePlace(m_now, kWorker)) {
        router.cold->Forget(id);
        m_sent.push_back(m_now);
        continue;
      }
      router.cold->Await(
          m_now, kWorker,
          {.id = id, .urgency = static_cast<std::uint32_t>(m_random.Below(3))});
    }
  }

  void PostMessages(Router& router) {
    for (ColdWorkers::Outgoing& outgoing : router.cold->TakeOutgoing()) {
      if (m_random.Below(1'000) < m_options.lost ||
          m_now < router.peers_cut_until)
        continue;
      const Message message{
          .to = outgoing.vm,
          .from = {.vm = router.vm, .incarnation = router.incarnation},
          .message = std::move(outgoing.message)};
      m_messages.emplace(m_now + RandomUpTo(m_options.max_delay), message);
      if (m_random.Below(1'000) < m_options.doubled)
        m_messages.emplace(m_now + RandomUpTo(m_options.max_delay), message);
    }
  }

  void DeliverMessages() {
    while (!m_messages.empty() && m_messages.begin()->first <= m_now) {
      const Message message = std::move(m_messages.begin()->second);
      m_messages.erase(m_messages.begin());
      Router& to = m_routers[std::stoul(message.to.substr(1))];
      if (m_now < to.peers_cut_until)
        continue;
      if (m_now < to.frozen_until) {
        m_messages.emplace(to.frozen_until, message);
        continue;
      }
      if (const auto* ask = std::get_if<ColdPlaceRequest>(&message.message))
        to.cold->Handle(m_now, message.from, *ask);
      else
        to.cold->Handle(m_now, std::get<ColdPlaceGrant>(message.message));
    }
  }

  Duration RandomUpTo(Duration limit) {
    return Duration(static_cast<Duration::rep>(
        m_random.Below(static_cast<std::uint64_t>(limit.count()) + 1)));
  }

  Options m_options;
  Random m_random;
  TimePoint m_now = TimePoint(std::chrono::seconds(1'000));
  Duration m_cold_for = std::chrono::hours(1);
  std::vector<Router> m_routers;
  std::map<std::string, Record> m_records;
  std::uint64_t m_revision = 0;
  std::multimap<TimePoint, Message> m_messages;
  std::vector<TimePoint> m_sent;
};

}  // namespace boragepick
