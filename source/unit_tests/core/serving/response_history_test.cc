// Property test with workers that repeat refusals, break off responses at any
// byte and answer resumed runs with errors: what callers receive is a prefix of
// the true response, complete only if it is whole, and a status that guarantees
// no run only if there was none.

#include <gtest/gtest.h>

#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <utility>

#include "common/random.h"
#include "unit_tests/core/serving/serving_fixture.h"

namespace boragepick {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// How a worker handles an attempt.
enum class Behaviour {
  kComplete,
  kRefuse,
  kReset,
  kCloseInsideAnEvent,
  kCloseBeforeAnyEvent,
  kError,
  kUnprovenRefusal,
  kUnsigned,
  kErrorText,
  kRestart,
  kSilent,
};
constexpr std::uint64_t kBehaviourCount = 11;
constexpr unsigned kRefusals[] = {421, 429, 503};
constexpr unsigned kUnprovenRefusals[] = {408, 429, 503};
constexpr unsigned kErrors[] = {204, 302, 400, 404, 500, 502, 504};
constexpr const char* kErrorTexts[] = {
    "upstream error\n\n", "{\"error\":1}\n\n", "event: error\ndata: lost\n\n",
    "HTTP/1.1 503 Busy\r\nContent-Length: 2\r\n\r\n{}"};
constexpr int kEvents = 6;
constexpr std::size_t kSmallBody = 1'000;
// More than a router buffers before it sends the head.
constexpr std::size_t kLargeBody = 2 << 20;
// One plain response in this many is large.
constexpr std::uint64_t kLargeBodyPeriod = 5;

struct Kind {
  const char* path;
  const char* model;
  bool repeatable;
  bool stream;
};
constexpr Kind kKinds[] = {{"/ask/1", "m1", true, true},
                           {"/review/1", "m1", false, true},
                           {"/book/1", "", false, false},
                           {"/read/1", "", true, false}};

struct Caller {
  Kind kind{};
  // The response of a run that completes.
  std::string expected;
  int runs = 0;
  // What the caller received.
  std::string body;
  std::optional<unsigned> status;
  bool complete = false;
  bool aborted = false;
};

class ResponseHistory {
 public:
  explicit ResponseHistory(std::uint64_t seed) : m_random(seed) {
    m_fixture.Start();
  }

  void Run(int requests) {
    for (int i = 0; i < requests; ++i) {
      SendRandomRequest();
      HandleEffects();
      m_fixture.Advance(milliseconds(m_random.Below(60)));
      HandleEffects();
      if (m_random.Below(3) == 0)
        ListEngines();
      if (m_random.Below(4) == 0)
        ChangeRouteForAMoment();
    }
    for (int i = 0; i < 250; ++i) {
      m_fixture.Advance(milliseconds(100));
      HandleEffects();
    }
  }

  void Check() const {
    for (const auto& [id, caller] : m_callers) {
      RC_ASSERT(caller.complete || caller.aborted || caller.status);
      RC_ASSERT(caller.expected.starts_with(caller.body));
      if (caller.complete)
        RC_ASSERT(caller.body == caller.expected);
      if (!caller.kind.repeatable)
        RC_ASSERT(caller.runs <= 1);
      const unsigned status = caller.status.value_or(0);
      if (status == 408 || status == 421 || status == 429 || status == 503)
        RC_ASSERT(caller.runs == 0);
    }
    RC_ASSERT(m_fixture.router().requests().open() == 0U);
  }

 private:
  static std::string EventText(int id) {
    return "id: " + std::to_string(id) + "\ndata: event " + std::to_string(id) +
           "\n\n";
  }
  static std::string EventsFrom(int first) {
    std::string text;
    for (int id = first; id <= kEvents; ++id)
      text += EventText(id);
    return text;
  }
  template <typename T, std::size_t N>
  T Pick(const T (&values)[N]) {
    return values[m_random.Below(N)];
  }

  void SendRandomRequest() {
    const Kind kind = Pick(kKinds);
    const RequestId id = m_fixture.ReceiveRequest(kind.path, kind.model);
    Caller& caller = m_callers[id];
    caller.kind = kind;
    const bool large = m_random.Below(kLargeBodyPeriod) == 0;
    caller.expected = kind.stream
                          ? EventsFrom(1)
                          : std::string(large ? kLargeBody : kSmallBody, 'x');
  }

  void ListEngines() {
    m_fixture.Handle(WorkerListed{.entry = EngineWorker("w1", {"m1", "m2"})});
    m_fixture.Handle(WorkerListed{.entry = EngineWorker("w2", {"m1"})});
    HandleEffects();
  }

  // The resumable route is not a stream's for a moment, so that held streams
  // are dispatched with the other kind.
  void ChangeRouteForAMoment() {
    for (const RequestKind kind :
         {RequestKind::kIdempotent, RequestKind::kStream}) {
      ServingConfig config = SmallConfig();
      config.version = ++m_config_version;
      config.routes[0].kind = kind;
      m_is_stream_route = kind == RequestKind::kStream;
      m_fixture.Handle(ConfigReceived{
          .config = std::make_shared<const ConfigIndex>(std::move(config))});
      ListEngines();
    }
  }

  void HandleEffects() {
    while (!m_fixture.effects.empty()) {
      std::vector<ServingEffect> effects = std::exchange(m_fixture.effects, {});
      for (ServingEffect& effect : effects)
        std::visit([this](auto& value) { On(value); }, effect);
    }
  }

  void On(const SendAttempt& sent) {
    Caller& caller = m_callers.at(sent.request->id);
    const std::pair<RequestId, std::string> contact{sent.request->id,
                                                    sent.worker};
    // The worker runs the request, but its earlier refusal of the same request
    // comes first on the connection.
    if (m_refused.contains(contact) && !sent.new_connection) {
      ++caller.runs;
      return Refuse(sent);
    }
    // A plain response of another kind of route would be another response.
    const bool must_complete =
        !m_is_stream_route && caller.kind.stream && caller.body.empty();
    const auto behaviour =
        must_complete ? Behaviour::kComplete
                      : static_cast<Behaviour>(m_random.Below(kBehaviourCount));
    if (behaviour == Behaviour::kRefuse) {
      m_refused.insert(contact);
      return Refuse(sent);
    }
    ++caller.runs;
    Respond(sent, caller, behaviour);
  }

  void Refuse(const SendAttempt& sent) {
    m_fixture.Handle(AttemptHeadReceived{
        .attempt = sent.attempt,
        .head = {.status = Pick(kRefusals), .not_executed = true}});
  }

  void Respond(const SendAttempt& sent,
               const Caller& caller,
               Behaviour behaviour) {
    const bool stream = caller.kind.stream;
    const int first = static_cast<int>(sent.resume_after.value_or(0)) + 1;
    const std::string rest = stream ? EventsFrom(first) : caller.expected;
    switch (behaviour) {
      case Behaviour::kRefuse:
      case Behaviour::kSilent:
        return;
      case Behaviour::kComplete:
        m_fixture.RespondHead(sent.attempt);
        SendBytes(sent, rest);
        return Complete(sent, m_random.Below(2) == 0);
      case Behaviour::kReset:
        if (m_random.Below(3) > 0) {
          m_fixture.RespondHead(sent.attempt);
          SendBytes(sent, rest.substr(0, m_random.Below(rest.size() + 1)));
        }
        return Fail(sent);
      case Behaviour::kCloseInsideAnEvent:
        // A plain response that ends with its connection is whole.
        if (!stream || rest.empty())
          return Fail(sent);
        m_fixture.RespondHead(sent.attempt);
        SendBytes(sent, CutInsideAnEvent(first));
        return Complete(sent, true);
      case Behaviour::kCloseBeforeAnyEvent:
        if (!stream)
          return Fail(sent);
        m_fixture.RespondHead(sent.attempt);
        return Complete(sent, true);
      case Behaviour::kError:
      case Behaviour::kUnprovenRefusal:
        return RespondError(sent, caller,
                            behaviour == Behaviour::kError
                                ? Pick(kErrors)
                                : Pick(kUnprovenRefusals));
      case Behaviour::kUnsigned:
        m_fixture.Handle(AttemptHeadReceived{.attempt = sent.attempt,
                                             .head = {.status = 200}});
        SendBytes(sent, Pick(kErrorTexts));
        return Complete(sent, false);
      case Behaviour::kErrorText:
        if (!stream)
          return Fail(sent);
        m_fixture.RespondHead(sent.attempt);
        SendBytes(sent, Pick(kErrorTexts));
        return Complete(sent, m_random.Below(2) == 0);
      case Behaviour::kRestart:
        m_fixture.RespondHead(sent.attempt);
        SendBytes(sent, caller.expected);
        return Complete(sent, false);
    }
  }

  // The bytes of some events from `first` and of a part of the next.
  std::string CutInsideAnEvent(int first) {
    const int count = kEvents - first + 1;
    const int whole =
        static_cast<int>(m_random.Below(static_cast<std::uint64_t>(count)));
    std::string text;
    for (int id = first; id < first + whole; ++id)
      text += EventText(id);
    const std::string next = EventText(first + whole);
    return text + next.substr(0, 1 + m_random.Below(next.size() - 1));
  }

  void RespondError(const SendAttempt& sent,
                    const Caller& caller,
                    unsigned status) {
    // 204 is the success of a plain request.
    if (status == 204 && !caller.kind.stream)
      status = 500;
    m_fixture.RespondHead(sent.attempt, status);
    if (status != 204)
      SendBytes(sent, Pick(kErrorTexts));
    Complete(sent, false);
  }

  void SendBytes(const SendAttempt& sent, const std::string& bytes) {
    std::size_t at = 0;
    while (at < bytes.size()) {
      const std::size_t size = 1 + m_random.Below(bytes.size() - at);
      m_fixture.Handle(AttemptBodyReceived{.attempt = sent.attempt,
                                           .bytes = bytes.substr(at, size)});
      at += size;
    }
  }
  void Complete(const SendAttempt& sent, bool ended_by_close) {
    m_fixture.Handle(AttemptCompleted{.attempt = sent.attempt,
                                      .ended_by_close = ended_by_close});
  }
  void Fail(const SendAttempt& sent) {
    m_fixture.Handle(AttemptFailed{.attempt = sent.attempt,
                                   .failure = AttemptFailure::kReset});
  }

  void On(const RefuseRequest& refused) {
    m_callers.at(refused.id).status = refused.status;
  }
  void On(const SendResponse& response) {
    Caller& caller = m_callers.at(response.id);
    caller.status = response.head.status;
    if (response.head.status != 200)
      return;
    caller.complete = true;
    caller.body = response.body;
  }
  void On(const SendResponseBody& part) {
    m_callers.at(part.id).body += part.bytes;
  }
  void On(const EndResponse& end) { m_callers.at(end.id).complete = true; }
  void On(const AbortResponse& abort) { m_callers.at(abort.id).aborted = true; }
  template <typename Other>
  void On(const Other& /*effect*/) {}

  ServingFixture m_fixture;
  Random m_random;
  std::map<RequestId, Caller> m_callers;
  // Workers that refused a request.
  std::set<std::pair<RequestId, std::string>> m_refused;
  std::uint64_t m_config_version = 1;
  bool m_is_stream_route = true;
};

RC_GTEST_PROP(ResponseHistory, CallersReceivePrefixesOfTrueResponses, ()) {
  ResponseHistory history(*rc::gen::arbitrary<std::uint64_t>());
  history.Run(50);
  history.Check();
}

}  // namespace
}  // namespace boragepick
