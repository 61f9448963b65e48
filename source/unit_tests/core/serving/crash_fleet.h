// Simulates routers and workers in virtual time, with workers that crash when
// they begin an answer on a deadly part of a prompt. The routers are the
// production code. Their messages are delayed and may be lost or duplicated.
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
  };
  enum class Outcome { kOpen, kServed, kRefused, kFailed };

  explicit CrashFleet(const Options& options)
      : m_options(options), m_random(options.seed) {
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
    m_outcomes.push_back(Outcome::kOpen);
    parts.push_back(last != 0 ? last : kOwnParts + number);
    ServingRequest request{.id = number + 1,
                           .trace_id = "t" + std::to_string(number),
                           .method = "POST",
                           .target = "/ask/" + std::to_string(number),
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
    for (const auto& attempt : std::exchange(worker.attempts, {})) {
      After(std::chrono::milliseconds(1), [this, attempt] {
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
        return attempt.first == m_routers[index].run;
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
  // Routers that neither send nor receive messages.
  std::set<std::size_t> cut_off;
  std::vector<Sent> sent;
  // The times at which a deadly part crashed a worker.
  std::vector<TimePoint> crashes;

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
    // Open attempts by run of their router.
    std::set<std::pair<std::size_t, AttemptNumber>> attempts;
  };
  struct Action {
    TimePoint at;
    std::uint64_t number = 0;
    std::function<void()> action;
    bool operator<(const Action& other) const {
      return std::pair(at, number) > std::pair(other.at, other.number);
    }
  };

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
    sent.push_back({.at = now, .parts = parts});
    const auto worker =
        std::ranges::find(m_workers, effect.worker, &Worker::id);
    if (worker == m_workers.end() || !worker->up) {
      After(std::chrono::milliseconds(1), [this, run, id = effect.attempt] {
        Fail(run, id, AttemptFailure::kNotSent);
      });
      return;
    }
    worker->attempts.emplace(run, effect.attempt);
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
    const auto* notice = std::get_if<CrashNotice>(&effect.message);
    if (notice == nullptr || cut_off.contains(m_runs[run]))
      return;
    for (std::size_t i = 0; i < m_routers.size(); ++i) {
      if (Endpoint(i) != effect.endpoint || cut_off.contains(i))
        continue;
      if (!Chance(m_options.message_loss))
        Deliver(i, *notice);
      if (Chance(m_options.message_duplication))
        Deliver(i, *notice);
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

  bool Chance(double probability) {
    return m_random.Below(1'000) <
           static_cast<std::uint64_t>(probability * 1e3);
  }
  void Deliver(std::size_t index, const CrashNotice& notice) {
    After(std::chrono::milliseconds(1 + m_random.Below(20)),
          [this, index, notice] {
            Handle(index, PeerMessageReceived{.from = {.vm = "peer"},
                                              .message = notice});
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
    const bool crashes_worker = std::ranges::any_of(
        parts, [this](PromptPartId part) { return deadly.contains(part); });
    if (crashes_worker) {
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
  std::vector<Router> m_routers;
  // The router of each run.
  std::vector<std::size_t> m_runs;
  std::vector<Worker> m_workers;
  std::vector<Outcome> m_outcomes;
  std::priority_queue<Action> m_queue;
  std::uint64_t m_actions = 0;
};

}  // namespace boragepick
