// Simulates routers and workers in virtual time, with workers that crash when
// they begin an answer on a deadly part of a prompt or to a deadly request. The
// routers are the production code. Their messages are delayed and may be lost
// or duplicated.
#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "common/hashing.h"
#include "common/random.h"
#include "unit_tests/core/serving/serving_fixture.h"

namespace boragepick {

class CrashFleet {
 public:
  struct Options {
    std::size_t routers = 4;
    std::size_t workers = 8;
    std::uint64_t seed = 1;
    double message_loss = 0;
    double message_duplication = 0;
  };
  // A request that was sent to a worker.
  struct Sent {
    TimePoint at;
    std::vector<PromptPartId> parts;
    std::string target;
  };
  enum class Outcome { kOpen, kServed, kRefused, kFailed };

  explicit CrashFleet(const Options& options)
      : m_options(options),
        m_random(options.seed),
        m_slot_random(options.seed) {
    for (std::size_t i = 0; i < options.routers; ++i) {
      m_routers.emplace_back();
      StartRouter(i);
    }
    for (std::size_t i = 0; i < options.workers; ++i) {
      m_workers.emplace_back();
      StartWorker(i);
    }
    Advance(std::chrono::milliseconds(100));
  }

  // Sends a request with the parts and one more part of its own.
  std::size_t Request(std::size_t router,
                      std::vector<PromptPartId> parts,
                      PromptPartId last = 0) {
    const std::size_t number = m_outcomes.size();
    parts.push_back(last != 0 ? last : kOwnParts + number);
    return Arrive(router, "/ask/" + std::to_string(number), parts);
  }

  // Sends a copy of one request: all copies with the name are equal.
  std::size_t RequestCopy(std::size_t router,
                          const std::string& name,
                          std::vector<PromptPartId> parts) {
    parts.push_back(StableHash(name));
    return Arrive(router, CopyTarget(name), parts);
  }

  void Advance(Duration duration) {
    const TimePoint until = now + duration;
    while (now < until) {
      now += kStep;
      while (!m_queue.empty() && m_queue.top().at <= now) {
        const auto action = m_queue.top().action;
        m_queue.pop();
        action();
      }
      for (std::size_t i = 0; i < m_routers.size(); ++i) {
        Handle(i, ConfigConfirmed{.at = now});
        Handle(i, ServingTicked{});
      }
    }
  }

  // The worker ends and is back after `down`.
  void CrashWorker(std::size_t index,
                   Duration down = std::chrono::milliseconds(2'000)) {
    Worker& worker = m_workers[index];
    if (!worker.up)
      return;
    worker.up = false;
    for (const auto& [attempt, target] : std::exchange(worker.attempts, {})) {
      if (IsDeadlyCopy(target))
        broken_copies.push_back(now);
      After(std::chrono::milliseconds(1), [this, attempt = attempt] {
        Fail(attempt.first, attempt.second, AttemptFailure::kReset);
      });
    }
    After(std::chrono::milliseconds(300), [this, id = worker.id] {
      for (std::size_t i = 0; i < m_routers.size(); ++i)
        Handle(i, WorkerUnlisted{.id = id});
    });
    After(down, [this, index] { StartWorker(index); });
  }

  void RestartRouter(std::size_t index) {
    for (Worker& worker : m_workers)
      std::erase_if(worker.attempts, [&](const auto& attempt) {
        return attempt.first.first == m_routers[index].run;
      });
    StartRouter(index);
  }

  std::size_t workers() const { return m_workers.size(); }
  std::size_t routers() const { return m_routers.size(); }
  Outcome outcome(std::size_t request) const { return m_outcomes[request]; }
  // The requests with the part that were sent from `since` on.
  std::size_t SentWith(PromptPartId part, TimePoint since = TimePoint{}) const {
    return static_cast<std::size_t>(
        std::ranges::count_if(sent, [&](const Sent& entry) {
          return entry.at >= since &&
                 std::ranges::find(entry.parts, part) != entry.parts.end();
        }));
  }
  // The copies that were sent to workers from `since` on.
  std::size_t SentCopies(const std::string& name,
                         TimePoint since = TimePoint{}) const {
    return static_cast<std::size_t>(
        std::ranges::count_if(sent, [&](const Sent& entry) {
          return entry.at >= since && entry.target == CopyTarget(name);
        }));
  }
  // The requests that the running routers refused because they crash workers.
  std::uint64_t RefusedAsCrashing() const {
    std::uint64_t count = 0;
    for (const Router& router : m_routers) {
      const auto& refused = router.router->requests().metrics().refused;
      const auto found = refused.find(ServingRefusal::kBreaksWorkers);
      count += found == refused.end() ? 0 : found->second;
    }
    return count;
  }

  TimePoint now = TimePoint(std::chrono::seconds(1'000));
  std::set<PromptPartId> deadly;
  // Names of requests whose copies crash workers.
  std::set<std::string> deadly_copies;
  // Routers that neither send nor receive messages.
  std::set<std::size_t> cut_off;
  std::vector<Sent> sent;
  // The times at which a deadly part or request crashed a worker.
  std::vector<TimePoint> crashes;
  // The times at which the runs of deadly copies were broken by crashes.
  std::vector<TimePoint> broken_copies;

 private:
  static constexpr Duration kStep = std::chrono::milliseconds(5);
  static constexpr PromptPartId kOwnParts = 1'000'000;
  static constexpr int kEvents = 10;

  struct Router {
    std::unique_ptr<ServingRouter> router;
    // Identifies the process among all that were started.
    std::size_t run = 0;
  };
  struct Worker {
    std::string id;
    std::int64_t born = 0;
    bool up = false;
    // Open attempts by run of their router, with their targets.
    std::map<std::pair<std::size_t, AttemptNumber>, std::string> attempts;
  };
  struct Action {
    TimePoint at;
    std::uint64_t number = 0;
    std::function<void()> action;
    bool operator<(const Action& other) const {
      return std::pair(at, number) > std::pair(other.at, other.number);
    }
  };

  static std::string CopyTarget(const std::string& name) {
    return "/ask/copies/" + name;
  }
  bool IsDeadlyCopy(const std::string& target) const {
    return std::ranges::any_of(deadly_copies, [&](const std::string& name) {
      return target == CopyTarget(name);
    });
  }

  std::size_t Arrive(std::size_t router,
                     const std::string& target,
                     const std::vector<PromptPartId>& parts) {
    const std::size_t number = m_outcomes.size();
    m_outcomes.push_back(Outcome::kOpen);
    ServingRequest request{.id = number + 1,
                           .trace_id = "t" + std::to_string(number),
                           .method = "POST",
                           .target = target,
                           .host = "h.example",
                           .key_sha256 = "key",
                           .model = "m1",
                           .prompt_tokens = 100,
                           .max_tokens = 50};
    for (const PromptPartId part : parts)
      request.prompt.push_back({.id = part, .tokens = 50});
    Handle(router,
           RequestArrived{.request = std::make_shared<const ServingRequest>(
                              std::move(request))});
    return number;
  }

  static std::string Endpoint(std::size_t router) {
    return "10.1.0." + std::to_string(router) + ":7";
  }
  static std::string Vm(std::size_t router) {
    return "r" + std::to_string(router);
  }

  void After(Duration delay, std::function<void()> action) {
    m_queue.push({.at = now + delay,
                  .number = ++m_actions,
                  .action = std::move(action)});
  }

  void StartRouter(std::size_t index) {
    Router& started = m_routers[index];
    started.run = m_runs.size();
    m_runs.push_back(index);
    started.router = std::make_unique<ServingRouter>(
        ServingOptions{.vm = Vm(index),
                       .data_centre = "a",
                       .endpoint = Endpoint(index),
                       .random_seed = m_options.seed + started.run,
                       .controller_port = 7});
    Handle(index, ConfigReceived{.config = std::make_shared<const ConfigIndex>(
                                     SmallConfig())});
    Handle(index, ConfigConfirmed{.at = now});
    for (std::size_t i = 0; i < m_workers.size(); ++i) {
      if (m_workers[i].up)
        Handle(index, WorkerListed{.entry = Entry(m_workers[i])});
    }
    for (std::size_t i = 0; i < m_routers.size(); ++i) {
      Handle(index, RecordOf(i));
      if (i != index)
        Handle(i, RecordOf(index));
    }
  }

  RouterRecordReceived RecordOf(std::size_t index) const {
    return {.record = {.vm = Vm(index),
                       .data_centre = "a",
                       .endpoint = Endpoint(index),
                       .incarnation = m_routers[index].run + 1}};
  }

  static WorkerEntry Entry(const Worker& worker) {
    WorkerEntry entry = EngineWorker(worker.id, {"m1"});
    entry.contents.born = worker.born;
    return entry;
  }

  void StartWorker(std::size_t index) {
    Worker& worker = m_workers[index];
    ++worker.born;
    worker.id = "w" + std::to_string(index) + "-" + std::to_string(worker.born);
    worker.up = true;
    for (std::size_t i = 0; i < m_routers.size(); ++i)
      Handle(i, WorkerListed{.entry = Entry(worker)});
  }

  void Handle(std::size_t index, ServingEvent event) {
    const std::size_t run = m_routers[index].run;
    for (ServingEffect& effect :
         m_routers[index].router->Handle(now, std::move(event)))
      std::visit([&](auto& value) { Perform(run, value); }, effect);
  }
  // Handles an event of one run of a router, unless it has ended.
  void HandleInRun(std::size_t run, ServingEvent event) {
    if (m_routers[m_runs[run]].run == run)
      Handle(m_runs[run], std::move(event));
  }

  void Fail(std::size_t run, AttemptNumber attempt, AttemptFailure failure) {
    HandleInRun(run, AttemptFailed{.attempt = attempt, .failure = failure});
  }

  template <typename Effect>
  void Perform(std::size_t /*run*/, const Effect& /*effect*/) {}
  void Perform(std::size_t run, const SendAttempt& effect) {
    std::vector<PromptPartId> parts;
    for (const PromptPart& part : effect.request->prompt)
      parts.push_back(part.id);
    const std::string& target = effect.request->target;
    sent.push_back({.at = now, .parts = parts, .target = target});
    const auto worker =
        std::ranges::find(m_workers, effect.worker, &Worker::id);
    if (worker == m_workers.end() || !worker->up) {
      After(std::chrono::milliseconds(1), [this, run, id = effect.attempt] {
        Fail(run, id, AttemptFailure::kNotSent);
      });
      return;
    }
    worker->attempts.emplace(std::pair(run, effect.attempt), target);
    const auto index = static_cast<std::size_t>(worker - m_workers.begin());
    parts.pop_back();
    After(std::chrono::milliseconds(30 + m_random.Below(150)),
          [this, run, id = effect.attempt, index, name = effect.worker, parts] {
            Begin(run, id, index, name, parts);
          });
  }
  void Perform(std::size_t run, const CancelAttempt& effect) {
    for (Worker& worker : m_workers)
      worker.attempts.erase({run, effect.attempt});
  }
  void Perform(std::size_t run, const SendToEndpoint& effect) {
    const bool is_passed_on =
        std::holds_alternative<CrashNotice>(effect.message) ||
        std::holds_alternative<SlotRequest>(effect.message) ||
        std::holds_alternative<SlotGrant>(effect.message);
    if (!is_passed_on || cut_off.contains(m_runs[run]))
      return;
    for (std::size_t i = 0; i < m_routers.size(); ++i) {
      if (Endpoint(i) != effect.endpoint || cut_off.contains(i))
        continue;
      Random& random = std::holds_alternative<CrashNotice>(effect.message)
                           ? m_random
                           : m_slot_random;
      if (!Chance(random, m_options.message_loss))
        Deliver(random, run, i, effect.message);
      if (Chance(random, m_options.message_duplication))
        Deliver(random, run, i, effect.message);
    }
  }
  void Perform(std::size_t /*run*/, const SendResponse& effect) {
    End(effect.id, Outcome::kServed);
  }
  void Perform(std::size_t /*run*/, const EndResponse& effect) {
    End(effect.id, Outcome::kServed);
  }
  void Perform(std::size_t /*run*/, const AbortResponse& effect) {
    End(effect.id, Outcome::kFailed);
  }
  void Perform(std::size_t /*run*/, const RefuseRequest& effect) {
    End(effect.id, Outcome::kRefused);
  }

  static bool Chance(Random& random, double probability) {
    return random.Below(1'000) < static_cast<std::uint64_t>(probability * 1e3);
  }
  void Deliver(Random& random,
               std::size_t run,
               std::size_t index,
               const PeerMessage& message) {
    const PeerSender from{.vm = Vm(m_runs[run]),
                          .incarnation = run + 1,
                          .endpoint = Endpoint(m_runs[run])};
    After(std::chrono::milliseconds(1 + random.Below(20)), [this, index, from,
                                                            message] {
      Handle(index, PeerMessageReceived{.from = from, .message = message});
    });
  }
  void End(RequestId id, Outcome outcome) { m_outcomes[id - 1] = outcome; }

  bool IsOpen(std::size_t run,
              AttemptNumber attempt,
              std::size_t index,
              const std::string& name) const {
    const Worker& worker = m_workers[index];
    return worker.up && worker.id == name &&
           worker.attempts.contains({run, attempt});
  }
  void Begin(std::size_t run,
             AttemptNumber attempt,
             std::size_t index,
             const std::string& name,
             const std::vector<PromptPartId>& parts) {
    if (!IsOpen(run, attempt, index, name))
      return;
    const bool has_deadly_part = std::ranges::any_of(
        parts, [this](PromptPartId part) { return deadly.contains(part); });
    if (has_deadly_part ||
        IsDeadlyCopy(m_workers[index].attempts.at({run, attempt}))) {
      crashes.push_back(now);
      return CrashWorker(index);
    }
    HandleInRun(
        run, AttemptHeadReceived{.attempt = attempt,
                                 .head = {.status = 200, .is_signed = true}});
    SendEvent(run, attempt, index, name, 1);
  }
  void SendEvent(std::size_t run,
                 AttemptNumber attempt,
                 std::size_t index,
                 const std::string& name,
                 int event) {
    if (!IsOpen(run, attempt, index, name))
      return;
    if (event > kEvents) {
      m_workers[index].attempts.erase({run, attempt});
      return HandleInRun(run, AttemptCompleted{.attempt = attempt});
    }
    HandleInRun(run,
                AttemptBodyReceived{
                    .attempt = attempt,
                    .bytes = "id: " + std::to_string(event) + "\ndata: x\n\n"});
    After(std::chrono::milliseconds(30),
          [this, run, attempt, index, name, event] {
            SendEvent(run, attempt, index, name, event + 1);
          });
  }

  Options m_options;
  Random m_random;
  // Of slot messages, whose number doesn't change the rest of a history.
  Random m_slot_random;
  std::vector<Router> m_routers;
  // The router of each run.
  std::vector<std::size_t> m_runs;
  std::vector<Worker> m_workers;
  std::vector<Outcome> m_outcomes;
  std::priority_queue<Action> m_queue;
  std::uint64_t m_actions = 0;
};

}  // namespace boragepick
