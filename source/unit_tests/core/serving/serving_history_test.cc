// Property test with random requests and worker failures: a non-idempotent
// request runs at most once, a refusal that guarantees no run is correct, and a
// stream is complete or visibly aborted.

#include <gtest/gtest.h>

#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <optional>

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
  kError
};
constexpr std::uint64_t kBehaviourCount = 6;
constexpr int kEvents = 5;

struct Outcome {
  bool repeatable = false;
  bool stream = false;
  int runs = 0;
  std::optional<unsigned> refused;
  bool ended = false;
  bool aborted = false;
  std::string body;
};

// Simulates workers with random behaviour and records the outcome of each
// request.
class History {
 public:
  explicit History(std::uint64_t seed) : m_random(seed) { m_fixture.Start(); }

  void Run(int requests) {
    for (int i = 0; i < requests; ++i) {
      SendRandomRequest();
      HandleEffects();
      m_fixture.Advance(milliseconds(m_random.Below(40)));
      HandleEffects();
    }
    for (int i = 0; i < 400; ++i) {
      m_fixture.Advance(milliseconds(50));
      HandleEffects();
    }
  }

  void Check() const {
    for (const auto& [id, outcome] : m_outcomes) {
      RC_ASSERT(outcome.ended || outcome.aborted || outcome.refused);
      if (!outcome.repeatable)
        RC_ASSERT(outcome.runs <= 1);
      const bool promises = outcome.refused == 429U || outcome.refused == 503U;
      if (promises && !outcome.repeatable)
        RC_ASSERT(outcome.runs == 0);
      if (outcome.stream && outcome.ended)
        RC_ASSERT(outcome.body == CompleteBody());
      RC_ASSERT(CompleteBody().starts_with(outcome.body) || !outcome.stream);
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

  void SendRandomRequest() {
    struct Kind {
      const char* path;
      const char* model;
      bool repeatable;
      bool stream;
    };
    static constexpr Kind kKinds[] = {{"/ask/1", "m1", true, true},
                                      {"/review/1", "m1", false, true},
                                      {"/book/1", "", false, false},
                                      {"/read/1", "", true, false}};
    const Kind& kind = kKinds[m_random.Below(4)];
    const RequestId id = m_fixture.ReceiveRequest(kind.path, kind.model);
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
        m_fixture.Handle(AttemptFailed{.attempt = sent.attempt,
                                       .failure = AttemptFailure::kReset});
        return;
      case WorkerBehaviour::kSilent:
        ++outcome.runs;
        return;
      case WorkerBehaviour::kError:
        ++outcome.runs;
        m_fixture.RespondHead(sent.attempt, 500);
        m_fixture.Handle(AttemptCompleted{.attempt = sent.attempt});
        return;
      case WorkerBehaviour::kComplete:
      case WorkerBehaviour::kResetDuringResponse:
        ++outcome.runs;
        Respond(sent, behaviour == WorkerBehaviour::kComplete);
        return;
    }
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
    if (complete)
      m_fixture.Handle(AttemptCompleted{.attempt = sent.attempt});
    else
      m_fixture.Handle(AttemptFailed{.attempt = sent.attempt,
                                     .failure = AttemptFailure::kReset});
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
    m_outcomes.at(abort.id).aborted = true;
  }
  template <typename Other>
  void On(const Other&) {}

  ServingFixture m_fixture;
  Random m_random;
  std::map<RequestId, Outcome> m_outcomes;
};

RC_GTEST_PROP(ServingHistory, ResponsesAreCompleteAndRefusalsCorrect, ()) {
  History history(*rc::gen::arbitrary<std::uint64_t>());
  history.Run(60);
  history.Check();
}

}  // namespace
}  // namespace boragepick
