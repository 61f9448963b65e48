// Property test with random requests, worker failures, pauses and changes of
// the configuration: a non-idempotent request runs at most once, a refusal that
// guarantees no run is correct, a stream is complete or visibly aborted, and
// neither silence nor a change of the configuration aborts it.

#include <gtest/gtest.h>

#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <optional>
#include <string>

#include "common/random.h"
#include "unit_tests/core/serving/serving_fixture.h"

namespace boragepick {
namespace {

using std::chrono::milliseconds;

// How a worker handles an attempt.
enum class WorkerBehaviour {
  kComplete,
  kReject,
  kResetBeforeResponse,
  kResetDuringResponse,
  kSilent,
  kError,
  // Begins its response, sends nothing for a while and completes it.
  kPause,
  // Begins its response and sends nothing more.
  kSilentDuringResponse
};
constexpr std::uint64_t kBehaviourCount = 8;
constexpr int kEvents = 5;
// A sound worker may fall silent for about a second. A stream is given up as
// silent after 1.5 s.
constexpr Duration kMaxPause = milliseconds(1'300);
// One of this many requests repeats an earlier one.
constexpr std::uint64_t kRepeatPeriod = 4;
constexpr Duration kMinTimeout = milliseconds(8'000);

struct Outcome {
  std::string path;
  bool repeatable = false;
  bool stream = false;
  int runs = 0;
  TimePoint arrived;
  // A worker reset the connection or responded with an error.
  bool worker_failed = false;
  // When the response was aborted.
  std::optional<TimePoint> aborted_at;
  std::optional<unsigned> refused;
  bool ended = false;
  std::string body;
};

// Simulates workers with random behaviour and records the outcome of each
// request.
class History {
 public:
  explicit History(std::uint64_t seed) : m_random(seed) { m_fixture.Start(); }

  void Run(int requests) {
    for (int i = 0; i < requests; ++i) {
      if (m_random.Below(5) == 0)
        ChangeConfig();
      SendRandomRequest();
      HandleEffects();
      Advance(milliseconds(m_random.Below(40)));
    }
    for (int i = 0; i < 400; ++i)
      Advance(milliseconds(50));
  }

  std::uint64_t RefusedAsCrashing() const {
    const auto& refused = m_fixture.router().requests().metrics().refused;
    const auto found = refused.find(ServingRefusal::kBreaksWorkers);
    return found == refused.end() ? 0 : found->second;
  }

  void Check() const {
    for (const auto& [id, outcome] : m_outcomes) {
      RC_ASSERT(outcome.ended || outcome.aborted_at || outcome.refused);
      if (!outcome.repeatable)
        RC_ASSERT(outcome.runs <= 1);
      const bool guarantees_no_run =
          outcome.refused == 429U || outcome.refused == 503U;
      if (guarantees_no_run && !outcome.repeatable)
        RC_ASSERT(outcome.runs == 0);
      if (outcome.stream && outcome.ended)
        RC_ASSERT(outcome.body == CompleteBody());
      RC_ASSERT(CompleteBody().starts_with(outcome.body) || !outcome.stream);
      const auto resets = m_resets_by_path.find(outcome.path);
      const bool breaks_workers =
          resets != m_resets_by_path.end() &&
          resets->second >= CrashSuspects::kCrashesToRefuse;
      if (outcome.aborted_at && !outcome.worker_failed && !breaks_workers)
        RC_ASSERT(*outcome.aborted_at - outcome.arrived >= kMinTimeout);
    }
    RC_ASSERT(OpenRequests() == 0U);
  }

 private:
  static std::string EventText(int id) {
    return "id: " + std::to_string(id) + "\ndata: x\n\n";
  }
  static std::string CompleteBody() {
    std::string body;
    for (int id = 1; id <= kEvents; ++id)
      body += EventText(id);
    return body;
  }
  std::size_t OpenRequests() const {
    return m_fixture.router().requests().open();
  }

  void Advance(Duration duration) {
    m_fixture.Advance(duration);
    HandleEffects();
    while (!m_pauses.empty() && m_pauses.begin()->first <= m_fixture.now) {
      const SendAttempt sent = std::move(m_pauses.begin()->second);
      m_pauses.erase(m_pauses.begin());
      FinishResponse(sent, /*first_event=*/2);
      HandleEffects();
    }
  }

  // Each change keeps some routes and the key, so that most requests are
  // admitted.
  void ChangeConfig() {
    ServingConfig config = SmallConfig();
    config.version = ++m_version;
    ServingRoute& route = config.routes[m_random.Below(config.routes.size())];
    switch (m_random.Below(6)) {
      case 0:
        config.routes.erase(config.routes.begin());
        break;
      case 1:
        config.teams["team"].key_sha256 = {"new"};
        break;
      case 2:
        route.splits = {{.service = "plain"}};
        break;
      case 3:
        route.timeout = kMinTimeout;
        break;
      case 4:
        config.limits.idle_timeout = milliseconds(500);
        break;
      default:
        break;
    }
    m_fixture.Handle(ConfigReceived{
        .config = std::make_shared<const ConfigIndex>(std::move(config))});
    m_fixture.ConfirmConfig();
    HandleEffects();
  }

  void SendRandomRequest() {
    struct Kind {
      const char* path;
      const char* model;
      bool repeatable;
      bool stream;
    };
    static constexpr Kind kKinds[] = {{"/ask/", "m1", true, true},
                                      {"/review/", "m1", false, true},
                                      {"/book/", "", false, false},
                                      {"/read/", "", true, false}};
    const Kind& kind = kKinds[m_random.Below(4)];
    // Equal requests are refused together if they crash workers.
    const bool repeats = m_random.Below(kRepeatPeriod) == 0;
    const std::string path =
        kind.path + (repeats ? "same" : std::to_string(m_outcomes.size()));
    const RequestId id = m_fixture.ReceiveRequest(path, kind.model);
    m_outcomes[id].path = path;
    m_outcomes[id].arrived = m_fixture.now;
    m_outcomes[id].repeatable = kind.repeatable;
    m_outcomes[id].stream = kind.stream;
  }

  void HandleEffects() {
    while (!m_fixture.effects.empty()) {
      std::vector<ServingEffect> effects = std::move(m_fixture.effects);
      m_fixture.effects.clear();
      for (ServingEffect& effect : effects)
        std::visit([this](auto& value) { On(value); }, effect);
    }
  }

  void On(const SendAttempt& sent) {
    Outcome& outcome = m_outcomes.at(sent.request->id);
    const auto behaviour =
        static_cast<WorkerBehaviour>(m_random.Below(kBehaviourCount));
    switch (behaviour) {
      case WorkerBehaviour::kReject:
        m_fixture.Handle(
            AttemptHeadReceived{.attempt = sent.attempt,
                                .head = {.status = 503, .not_executed = true}});
        return;
      case WorkerBehaviour::kResetBeforeResponse:
        ++outcome.runs;
        ResetConnection(sent);
        return;
      case WorkerBehaviour::kSilent:
        ++outcome.runs;
        return;
      case WorkerBehaviour::kError:
        ++outcome.runs;
        outcome.worker_failed = true;
        m_fixture.RespondHead(sent.attempt, 500);
        m_fixture.Handle(AttemptCompleted{.attempt = sent.attempt});
        return;
      case WorkerBehaviour::kComplete:
      case WorkerBehaviour::kResetDuringResponse:
        ++outcome.runs;
        Respond(sent, behaviour == WorkerBehaviour::kComplete);
        return;
      case WorkerBehaviour::kPause:
        ++outcome.runs;
        BeginResponse(sent);
        m_pauses.emplace(m_fixture.now + milliseconds(m_random.Below(
                                             ToMilliseconds(kMaxPause))),
                         sent);
        return;
      case WorkerBehaviour::kSilentDuringResponse:
        ++outcome.runs;
        BeginResponse(sent);
        return;
    }
  }

  static std::uint64_t ToMilliseconds(Duration duration) {
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<milliseconds>(duration).count());
  }
  static int FirstEvent(const SendAttempt& sent) {
    return static_cast<int>(sent.resume_after.value_or(0)) + 1;
  }

  void BeginResponse(const SendAttempt& sent) {
    m_fixture.RespondHead(sent.attempt);
    if (m_outcomes.at(sent.request->id).stream)
      m_fixture.RespondEvent(sent.attempt, FirstEvent(sent));
  }

  // Sends the events of a response from the given one on, counted from the
  // first of this run.
  void FinishResponse(const SendAttempt& sent, int first_event) {
    if (m_outcomes.at(sent.request->id).stream) {
      for (int id = FirstEvent(sent) + first_event - 1; id <= kEvents; ++id)
        m_fixture.RespondEvent(sent.attempt, id);
    }
    m_fixture.Handle(AttemptCompleted{.attempt = sent.attempt});
  }

  void Respond(const SendAttempt& sent, bool complete) {
    m_fixture.RespondHead(sent.attempt);
    if (!m_outcomes.at(sent.request->id).stream) {
      m_fixture.Handle(
          AttemptBodyReceived{.attempt = sent.attempt, .bytes = "answer"});
    } else {
      const int first = static_cast<int>(sent.resume_after.value_or(0)) + 1;
      const int last =
          complete ? kEvents : first + static_cast<int>(m_random.Below(2));
      for (int id = first; id <= std::min(last, kEvents); ++id)
        m_fixture.RespondEvent(sent.attempt, id);
    }
    if (complete) {
      m_fixture.Handle(AttemptCompleted{.attempt = sent.attempt});
      return;
    }
    ResetConnection(sent);
  }

  // The worker crashes and starts again.
  void ResetConnection(const SendAttempt& sent) {
    Outcome& outcome = m_outcomes.at(sent.request->id);
    outcome.worker_failed = true;
    ++m_resets_by_path[outcome.path];
    m_fixture.Handle(AttemptFailed{.attempt = sent.attempt,
                                   .failure = AttemptFailure::kReset});
    WorkerEntry restarted = m_workers.at(sent.worker);
    restarted.contents.born = ++m_last_start;
    m_fixture.Handle(WorkerListed{.entry = std::move(restarted)});
  }

  void On(const RefuseRequest& refused) {
    m_outcomes.at(refused.id).refused = refused.status;
  }
  void On(const SendResponse& response) {
    // A worker's own error response is forwarded unchanged.
    if (response.head.status == 200)
      m_outcomes.at(response.id).ended = true;
    else
      m_outcomes.at(response.id).refused = response.head.status;
  }
  void On(const SendResponseBody& bytes) {
    m_outcomes.at(bytes.id).body += bytes.bytes;
  }
  void On(const EndResponse& end) { m_outcomes.at(end.id).ended = true; }
  void On(const AbortResponse& abort) {
    m_outcomes.at(abort.id).aborted_at = m_fixture.now;
  }
  template <typename Other>
  void On(const Other&) {}

  ServingFixture m_fixture;
  Random m_random;
  std::map<RequestId, Outcome> m_outcomes;
  // Paused responses by the time at which they go on.
  std::multimap<TimePoint, SendAttempt> m_pauses;
  // Crashes of workers by the path of the request.
  std::map<std::string, std::size_t> m_resets_by_path;
  const std::map<std::string, WorkerEntry> m_workers = {
      {"w1", EngineWorker("w1", {"m1", "m2"})},
      {"w2", EngineWorker("w2", {"m1"})},
      {"w3", EngineWorker("w3", {})},
      {"p1", PlainWorker("p1")},
      {"p2", PlainWorker("p2")}};
  std::int64_t m_last_start = 1;
  std::uint64_t m_version = 1;
};

RC_GTEST_PROP(ServingHistory, ResponsesAreCompleteAndRefusalsCorrect, ()) {
  History history(*rc::gen::arbitrary<std::uint64_t>());
  history.Run(60);
  history.Check();
  RC_CLASSIFY(history.RefusedAsCrashing() > 0, "refused as crashing workers");
}

TEST(ServingHistory, RefusesRepeatedRequestsThatCrashWorkers) {
  std::uint64_t refused = 0;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    History history(seed);
    history.Run(60);
    refused += history.RefusedAsCrashing();
  }
  EXPECT_GT(refused, 0U);
}

}  // namespace
}  // namespace boragepick
