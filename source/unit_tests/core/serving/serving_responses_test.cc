// Tests of responses that workers repeat, break off or replace by an error.

#include <gtest/gtest.h>

#include <optional>

#include "unit_tests/core/serving/serving_fixture.h"

namespace boragepick {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

std::string EventText(int id) {
  return "id: " + std::to_string(id) + "\ndata: x\n\n";
}

// A started router with one request sent to a worker.
class ServingResponses : public testing::Test {
 protected:
  SendAttempt SendRequest(const std::string& path,
                          const std::string& model = "") {
    m_fixture->Start();
    m_fixture->ReceiveRequest(path, model);
    return TakeAttempt();
  }
  SendAttempt TakeAttempt() {
    auto sent = m_fixture->TakeEffects<SendAttempt>();
    EXPECT_EQ(sent.size(), 1U);
    return sent.empty() ? SendAttempt{} : sent.front();
  }
  void RefuseAttempt(const SendAttempt& sent, unsigned status = 503) {
    m_fixture->Handle(
        AttemptHeadReceived{.attempt = sent.attempt,
                            .head = {.status = status, .not_executed = true}});
  }
  void RespondBytes(const SendAttempt& sent, std::string bytes) {
    m_fixture->Handle(AttemptBodyReceived{.attempt = sent.attempt,
                                          .bytes = std::move(bytes)});
  }
  void Reset(const SendAttempt& sent) {
    m_fixture->Handle(AttemptFailed{.attempt = sent.attempt,
                                    .failure = AttemptFailure::kReset});
  }
  // Sends a resumable stream, breaks it after its second event and returns the
  // attempt that resumes it.
  SendAttempt BreakStream() {
    const SendAttempt first = SendRequest("/ask/1", "m1");
    m_fixture->RespondHead(first.attempt);
    RespondBytes(first, EventText(1) + EventText(2));
    Reset(first);
    SendAttempt second = TakeAttempt();
    EXPECT_EQ(second.resume_after, 2U);
    return second;
  }
  // Whether the stream that BreakStream() began was aborted, with no other
  // bytes sent than its first two events.
  bool IsAbortedAfterTwoEvents() {
    return TakeBody() == EventText(1) + EventText(2) &&
           m_fixture->TakeEffects<EndResponse>().empty() &&
           m_fixture->TakeEffects<SendResponse>().empty() &&
           m_fixture->TakeEffects<AbortResponse>().size() == 1;
  }
  unsigned RefusalStatus() {
    const auto refused = m_fixture->TakeEffects<RefuseRequest>();
    return refused.empty() ? 0 : refused.front().status;
  }
  std::string TakeBody() {
    std::string body;
    for (const SendResponseBody& part :
         m_fixture->TakeEffects<SendResponseBody>())
      body += part.bytes;
    return body;
  }

  std::optional<ServingFixture> m_fixture{std::in_place};
};

// A worker repeated its refusal on the kept connection: the request was
// reported as not run while the worker ran its second attempt.
TEST_F(ServingResponses, SecondAttemptAtAWorkerUsesANewConnection) {
  m_fixture->Start();
  m_fixture->Handle(WorkerUnlisted{.id = "p2"});
  m_fixture->ReceiveRequest("/book/1");
  const SendAttempt first = TakeAttempt();
  EXPECT_FALSE(first.new_connection);
  RefuseAttempt(first);
  const SendAttempt second = TakeAttempt();
  EXPECT_EQ(second.worker, first.worker);
  EXPECT_TRUE(second.new_connection);
}

TEST_F(ServingResponses, RequestHeldAfterAMisdirectionUsesANewConnection) {
  const SendAttempt first = SendRequest("/review/1", "m2");
  RefuseAttempt(first, 421);
  m_fixture->Advance(milliseconds(900));
  m_fixture->Handle(WorkerListed{.entry = EngineWorker("w1", {"m1", "m2"})});
  const SendAttempt second = TakeAttempt();
  EXPECT_EQ(second.worker, first.worker);
  EXPECT_TRUE(second.new_connection);
}

// Callers take these statuses for a guarantee that the request never runs.
TEST_F(ServingResponses, StatusThatGuaranteesNoRunIsAFailureIfUnproven) {
  m_fixture->Start();
  for (const unsigned status : {408U, 429U, 503U}) {
    m_fixture->ReceiveRequest("/book/1");
    const SendAttempt sent = TakeAttempt();
    m_fixture->RespondHead(sent.attempt, status);
    m_fixture->Handle(AttemptCompleted{.attempt = sent.attempt});
    EXPECT_TRUE(m_fixture->TakeEffects<SendResponse>().empty()) << status;
    EXPECT_EQ(RefusalStatus(), 502U) << status;
    m_fixture->Advance(seconds(5));
  }
}

TEST_F(ServingResponses,
       RepeatableRequestIsRetriedAfterAnUnprovenGuaranteeOfNoRun) {
  const SendAttempt first = SendRequest("/read/1");
  m_fixture->RespondHead(first.attempt, 429);
  EXPECT_NE(TakeAttempt().worker, first.worker);
}

// The text of an error arrived in the middle of a caller's stream.
TEST_F(ServingResponses, TextBetweenEventsIsNotForwarded) {
  for (const char* text :
       {"upstream error\n\n", "event: error\ndata: {\"error\":1}\n\n",
        "{\"error\":1}\n\n", "<h1>Bad Gateway</h1>\r\n\r\n",
        "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 2\r\n\r\n{}",
        "id: x\ndata: y\n\n"}) {
    m_fixture.emplace();
    const SendAttempt second = BreakStream();
    m_fixture->RespondHead(second.attempt);
    RespondBytes(second, text);
    m_fixture->Handle(AttemptCompleted{.attempt = second.attempt});
    EXPECT_TRUE(IsAbortedAfterTwoEvents()) << text;
  }
}

TEST_F(ServingResponses, TextInsteadOfAFirstEventIsNotForwarded) {
  const SendAttempt sent = SendRequest("/review/1", "m1");
  m_fixture->RespondHead(sent.attempt);
  RespondBytes(sent, "HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n");
  EXPECT_EQ(RefusalStatus(), 502U);
}

TEST_F(ServingResponses, CommentsBetweenEventsAreForwarded) {
  const SendAttempt sent = SendRequest("/review/1", "m1");
  m_fixture->RespondHead(sent.attempt);
  const std::string bytes =
      ": wait\n\n" + EventText(1) + ":\r\n\r\n" + EventText(2);
  RespondBytes(sent, bytes);
  m_fixture->Handle(AttemptCompleted{.attempt = sent.attempt});
  EXPECT_EQ(TakeBody(), bytes);
  EXPECT_EQ(m_fixture->TakeEffects<EndResponse>().size(), 1U);
}

// A worker that ends without any event has not answered.
TEST_F(ServingResponses, StreamWithoutEventsIsNotComplete) {
  const SendAttempt sent = SendRequest("/review/1", "m1");
  m_fixture->RespondHead(sent.attempt);
  m_fixture->Handle(AttemptCompleted{.attempt = sent.attempt});
  EXPECT_TRUE(m_fixture->TakeEffects<SendResponse>().empty());
  EXPECT_EQ(RefusalStatus(), 502U);
}

TEST_F(ServingResponses, StreamOfCommentsIsNotComplete) {
  const SendAttempt sent = SendRequest("/review/1", "m1");
  m_fixture->RespondHead(sent.attempt);
  RespondBytes(sent, ": wait\n\n");
  m_fixture->Handle(AttemptCompleted{.attempt = sent.attempt});
  EXPECT_TRUE(m_fixture->TakeEffects<EndResponse>().empty());
  EXPECT_EQ(m_fixture->TakeEffects<AbortResponse>().size(), 1U);
}

// A run that ended before the last event that the caller had ended the stream.
TEST_F(ServingResponses, ResumedRunThatFallsShortDoesNotCompleteTheStream) {
  for (const std::string& bytes : {std::string(), EventText(1)}) {
    m_fixture.emplace();
    const SendAttempt second = BreakStream();
    m_fixture->RespondHead(second.attempt);
    RespondBytes(second, bytes);
    m_fixture->Handle(AttemptCompleted{.attempt = second.attempt});
    EXPECT_TRUE(IsAbortedAfterTwoEvents()) << bytes;
  }
}

TEST_F(ServingResponses, RunWhoseEventIdsGoBackDoesNotCompleteTheStream) {
  const SendAttempt sent = SendRequest("/review/1", "m1");
  m_fixture->RespondHead(sent.attempt);
  RespondBytes(sent, EventText(1) + EventText(2) + EventText(1));
  m_fixture->Handle(AttemptCompleted{.attempt = sent.attempt});
  EXPECT_TRUE(IsAbortedAfterTwoEvents());
}

TEST_F(ServingResponses, SkippedEventBreaksTheStream) {
  const SendAttempt sent = SendRequest("/review/1", "m1");
  m_fixture->RespondHead(sent.attempt);
  RespondBytes(sent, EventText(1) + EventText(2) + EventText(4));
  EXPECT_TRUE(IsAbortedAfterTwoEvents());
}

TEST_F(ServingResponses, ErrorInsteadOfAResumedRunIsNotForwarded) {
  for (const unsigned status :
       {204U, 302U, 400U, 404U, 408U, 429U, 500U, 502U, 503U}) {
    m_fixture.emplace();
    const SendAttempt second = BreakStream();
    m_fixture->RespondHead(second.attempt, status);
    if (status != 204)
      RespondBytes(second, EventText(3));
    m_fixture->Handle(AttemptCompleted{.attempt = second.attempt});
    EXPECT_TRUE(IsAbortedAfterTwoEvents()) << status;
  }
}

TEST_F(ServingResponses, UnsignedResumedRunIsNotForwarded) {
  const SendAttempt second = BreakStream();
  m_fixture->Handle(
      AttemptHeadReceived{.attempt = second.attempt, .head = {.status = 200}});
  RespondBytes(second, EventText(3));
  m_fixture->Handle(AttemptCompleted{.attempt = second.attempt});
  EXPECT_TRUE(IsAbortedAfterTwoEvents());
}

TEST_F(ServingResponses, RefusedResumptionEndsAbortedIfNoWorkerCanContinue) {
  for (const unsigned status : {421U, 429U, 503U}) {
    m_fixture.emplace();
    RefuseAttempt(BreakStream(), status);
    m_fixture->Advance(seconds(5));
    EXPECT_TRUE(IsAbortedAfterTwoEvents()) << status;
  }
}

// A second run's body followed the part of the first one's that the caller had.
TEST_F(ServingResponses, LargeBodyThatBreaksOffIsNotContinuedByAnotherRun) {
  const SendAttempt sent = SendRequest("/read/1");
  m_fixture->RespondHead(sent.attempt);
  RespondBytes(sent, std::string((1 << 20) + 1, 'a'));
  Reset(sent);
  EXPECT_TRUE(m_fixture->TakeEffects<SendAttempt>().empty());
  EXPECT_EQ(m_fixture->TakeEffects<AbortResponse>().size(), 1U);
}

TEST_F(ServingResponses, LargeBodyThatPausesIsNotContinuedByAnotherRun) {
  const SendAttempt sent = SendRequest("/open/1");
  m_fixture->RespondHead(sent.attempt);
  RespondBytes(sent, std::string((1 << 20) + 1, 'a'));
  m_fixture->Advance(seconds(3));
  EXPECT_TRUE(m_fixture->TakeEffects<SendAttempt>().empty());
  m_fixture->Handle(AttemptCompleted{.attempt = sent.attempt});
  EXPECT_EQ(m_fixture->TakeEffects<EndResponse>().size(), 1U);
}

// A route that was no longer a stream's passed the second run's events on
// unchecked.
TEST_F(ServingResponses, StreamStaysAStreamWhenItsRouteChanges) {
  const SendAttempt first = SendRequest("/ask/1", "m2");
  m_fixture->RespondHead(first.attempt);
  RespondBytes(first, EventText(1) + EventText(2));
  Reset(first);
  ServingConfig config = SmallConfig();
  config.version = 2;
  config.routes[0].kind = RequestKind::kIdempotent;
  m_fixture->Handle(ConfigReceived{
      .config = std::make_shared<const ConfigIndex>(std::move(config))});
  m_fixture->Handle(WorkerListed{.entry = EngineWorker("w3", {"m2"})});
  for (const SendAttempt& second : m_fixture->TakeEffects<SendAttempt>()) {
    m_fixture->RespondHead(second.attempt);
    RespondBytes(second, EventText(1) + EventText(2) + EventText(3));
    m_fixture->Handle(AttemptCompleted{.attempt = second.attempt});
  }
  m_fixture->Advance(seconds(5));
  const bool complete = !m_fixture->TakeEffects<EndResponse>().empty();
  EXPECT_EQ(TakeBody(),
            EventText(1) + EventText(2) + (complete ? EventText(3) : ""));
  EXPECT_EQ(m_fixture->TakeEffects<AbortResponse>().size(), complete ? 0U : 1U);
}

// A crash in the middle of a response without a length ends like the response.
TEST_F(ServingResponses, CloseInsideAnEventCountsAsACrash) {
  m_fixture->Start();
  for (std::int64_t born = 2; born < 5; ++born) {
    m_fixture->ReceiveRequest("/review/poison", "m1");
    const SendAttempt sent = TakeAttempt();
    m_fixture->RespondHead(sent.attempt);
    RespondBytes(sent, "id: 1\nda");
    m_fixture->Handle(
        AttemptCompleted{.attempt = sent.attempt, .ended_by_close = true});
    WorkerEntry again = EngineWorker(sent.worker, {"m1"});
    again.contents.born = born;
    m_fixture->Handle(WorkerListed{.entry = again});
  }
  m_fixture->effects.clear();
  m_fixture->ReceiveRequest("/review/poison", "m1");
  const auto refused = m_fixture->TakeEffects<RefuseRequest>();
  ASSERT_EQ(refused.size(), 1U);
  EXPECT_EQ(refused[0].code, "breaks_workers");
}

TEST_F(ServingResponses, CloseBeforeAnyEventDoesNotCompleteAStream) {
  for (const bool ended_by_close : {false, true}) {
    m_fixture.emplace();
    m_fixture->Start();
    m_fixture->Handle(
        RequestArrived{.request = std::make_shared<const ServingRequest>(
                           ServingRequest{.id = 1,
                                          .trace_id = "t1",
                                          .method = "POST",
                                          .target = "/review/1",
                                          .host = "h.example",
                                          .key_sha256 = "key",
                                          .model = "m1",
                                          .resume_after = 2})});
    const SendAttempt sent = TakeAttempt();
    m_fixture->RespondHead(sent.attempt);
    m_fixture->Handle(AttemptCompleted{.attempt = sent.attempt,
                                       .ended_by_close = ended_by_close});
    // The caller has all events if the worker says so.
    EXPECT_EQ(m_fixture->TakeEffects<SendResponse>().size(),
              ended_by_close ? 0U : 1U);
    EXPECT_EQ(RefusalStatus(), ended_by_close ? 502U : 0U);
  }
}

TEST_F(ServingResponses, PlainResponseEndedByCloseIsSentWholeOrInParts) {
  constexpr std::size_t kMaxBufferedBytes = 1 << 20;
  for (const std::size_t size :
       {std::size_t{0}, kMaxBufferedBytes, kMaxBufferedBytes + 1}) {
    for (const bool is_reset : {false, true}) {
      m_fixture.emplace();
      const SendAttempt sent = SendRequest("/book/1");
      const std::string body(size, 'a');
      m_fixture->RespondHead(sent.attempt);
      RespondBytes(sent, body);
      if (is_reset)
        Reset(sent);
      else
        m_fixture->Handle(
            AttemptCompleted{.attempt = sent.attempt, .ended_by_close = true});
      const bool in_parts = size > kMaxBufferedBytes;
      const auto whole = m_fixture->TakeEffects<SendResponse>();
      ASSERT_EQ(whole.size(), !in_parts && !is_reset ? 1U : 0U) << size;
      EXPECT_TRUE(whole.empty() || whole[0].body == body) << size;
      EXPECT_EQ(RefusalStatus(), !in_parts && is_reset ? 502U : 0U) << size;
      EXPECT_TRUE(TakeBody() == (in_parts ? body : "")) << size;
      EXPECT_EQ(m_fixture->TakeEffects<EndResponse>().size(),
                in_parts && !is_reset ? 1U : 0U)
          << size;
      EXPECT_EQ(m_fixture->TakeEffects<AbortResponse>().size(),
                in_parts && is_reset ? 1U : 0U)
          << size;
    }
  }
}

}  // namespace
}  // namespace boragepick
