// Histories of requests and failing workers: whatever workers do, a request
// that may not be repeated runs once, a refusal tells the truth, and a stream
// is whole or visibly broken.

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

// What a worker makes of one attempt.
enum class Fate {
  kServe,
  kReject,
  kBreakBefore,
  kBreakMidway,
  kSilent,
  kError
};
constexpr std::uint64_t kFates = 6;
constexpr int kEvents = 5;

struct Seen {
  bool repeatable = false;
  bool stream = false;
  int runs = 0;
  std::optional<unsigned> refused;
  bool ended = false;
  bool aborted = false;
  std::string body;
};

// Plays workers at random against a router and keeps account.
class History {
 public:
  explicit History(std::uint64_t seed) : m_random(seed) { m_fixture.Begin(); }

  void Play(int requests) {
    for (int i = 0; i < requests; ++i) {
      ArriveOne();
      Carry();
      m_fixture.Pass(milliseconds(m_random.Below(40)));
      Carry();
    }
    for (int i = 0; i < 400; ++i) {
      m_fixture.Pass(milliseconds(50));
      Carry();
    }
  }

  void Check() const {
    for (const auto& [id, seen] : m_seen) {
      RC_ASSERT(seen.ended || seen.aborted || seen.refused);
      if (!seen.repeatable)
        RC_ASSERT(seen.runs <= 1);
      const bool promises = seen.refused == 429U || seen.refused == 503U;
      if (promises && !seen.repeatable)
        RC_ASSERT(seen.runs == 0);
      if (seen.stream && seen.ended)
        RC_ASSERT(seen.body == WholeBody());
      RC_ASSERT(WholeBody().starts_with(seen.body) || !seen.stream);
    }
    RC_ASSERT(OpenRequests() == 0U);
  }

 private:
  static std::string EventText(int id) {
    return "id: " + std::to_string(id) + "\ndata: x\n\n";
  }
  static std::string WholeBody() {
    std::string body;
    for (int id = 1; id <= kEvents; ++id)
      body += EventText(id);
    return body;
  }
  std::size_t OpenRequests() const {
    return m_fixture.router().requests().open();
  }

  void ArriveOne() {
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
    const RequestId id = m_fixture.Arrive(kind.path, kind.model);
    m_seen[id].repeatable = kind.repeatable;
    m_seen[id].stream = kind.stream;
  }

  void Carry() {
    while (!m_fixture.effects.empty()) {
      std::vector<ServingEffect> effects = std::move(m_fixture.effects);
      m_fixture.effects.clear();
      for (ServingEffect& effect : effects)
        std::visit([this](auto& held) { On(held); }, effect);
    }
  }

  void On(const SendAttempt& sent) {
    Seen& seen = m_seen.at(sent.request->id);
    const auto fate = static_cast<Fate>(m_random.Below(kFates));
    switch (fate) {
      case Fate::kReject:
        m_fixture.Feed(
            AttemptHeadReceived{.attempt = sent.attempt,
                                .head = {.status = 503, .not_executed = true}});
        return;
      case Fate::kBreakBefore:
        ++seen.runs;
        m_fixture.Feed(AttemptFailed{.attempt = sent.attempt,
                                     .failure = AttemptFailure::kReset});
        return;
      case Fate::kSilent:
        ++seen.runs;
        return;
      case Fate::kError:
        ++seen.runs;
        m_fixture.Answer(sent.attempt, 500);
        m_fixture.Feed(AttemptCompleted{.attempt = sent.attempt});
        return;
      case Fate::kServe:
      case Fate::kBreakMidway:
        ++seen.runs;
        Serve(sent, fate == Fate::kServe);
        return;
    }
  }

  void Serve(const SendAttempt& sent, bool whole) {
    m_fixture.Answer(sent.attempt);
    if (!m_seen.at(sent.request->id).stream) {
      m_fixture.Feed(
          AttemptBodyReceived{.attempt = sent.attempt, .bytes = "answer"});
    } else {
      const int first = static_cast<int>(sent.resume_after.value_or(0)) + 1;
      const int last =
          whole ? kEvents : first + static_cast<int>(m_random.Below(2));
      for (int id = first; id <= std::min(last, kEvents); ++id)
        m_fixture.Event(sent.attempt, id);
    }
    if (whole)
      m_fixture.Feed(AttemptCompleted{.attempt = sent.attempt});
    else
      m_fixture.Feed(AttemptFailed{.attempt = sent.attempt,
                                   .failure = AttemptFailure::kReset});
  }

  void On(const RefuseRequest& refused) {
    m_seen.at(refused.id).refused = refused.status;
  }
  void On(const SendResponse& answer) {
    // a worker's own failure is passed on as it came
    if (answer.head.status == 200)
      m_seen.at(answer.id).ended = true;
    else
      m_seen.at(answer.id).refused = answer.head.status;
  }
  void On(const SendResponseBody& bytes) {
    m_seen.at(bytes.id).body += bytes.bytes;
  }
  void On(const EndResponse& end) { m_seen.at(end.id).ended = true; }
  void On(const AbortResponse& abort) { m_seen.at(abort.id).aborted = true; }
  template <typename Other>
  void On(const Other&) {}

  ServingFixture m_fixture;
  Random m_random;
  std::map<RequestId, Seen> m_seen;
};

RC_GTEST_PROP(ServingHistory, AnswersAreWholeAndRefusalsTrue, ()) {
  History history(*rc::gen::arbitrary<std::uint64_t>());
  history.Play(60);
  history.Check();
}

}  // namespace
}  // namespace boragepick
