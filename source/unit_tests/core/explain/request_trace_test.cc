// The way from a request's id to its cause, over the logs that the machines of
// a gateway and of a controller really write.

#include "core/explain/request_trace.h"

#include <gtest/gtest.h>

#include <cstdio>

#include "core/engine/engine_controller.h"
#include "unit_tests/core/serving/serving_fixture.h"

namespace boragepick {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// The log file of one process.
class LogFile {
 public:
  explicit LogFile(const std::string& vm) {
    Write(TimePoint(seconds(1'000)),
          {.event = LogEvent::kStarted, .fields = {{"vm", vm}}});
  }
  void Write(TimePoint now, const LogRecord& record) {
    const auto ms =
        std::chrono::duration_cast<milliseconds>(now.time_since_epoch())
            .count();
    char time[64];
    std::snprintf(time, sizeof time, "2026-01-01T00:%02d:%02d.%03d",
                  static_cast<int>(ms / 60'000 % 60),
                  static_cast<int>(ms / 1'000 % 60),
                  static_cast<int>(ms % 1'000));
    m_text += std::string(time) + " INFO " + FormatLogRecord(record) + "\n";
  }
  const std::string& text() const { return m_text; }

 private:
  std::string m_text;
};

// A gateway whose log is kept.
class Gateway : public ServingFixture {
 public:
  // Writes what was logged since the last call.
  void Flush() {
    for (const LogEffect& effect : TakeEffects<LogEffect>())
      m_log.Write(now, effect.record);
  }
  const std::string& log() const { return m_log.text(); }

 private:
  LogFile m_log{"gateway-1"};
};

TEST(RequestTrace, ReadsBackWhatIsWritten) {
  const LogRecord record{
      .event = LogEvent::kWorkerSuspected,
      .fields = {
          {"worker", "w1"}, {"why", "a \"quoted\" \\ text"}, {"empty", ""}}};
  const auto line = ParseLogLine("2026-01-01T00:00:00.000 WARNING " +
                                 FormatLogRecord(record));
  ASSERT_TRUE(line);
  EXPECT_EQ(line->event->event, LogEvent::kWorkerSuspected);
  EXPECT_EQ(line->Field("why"), "a \"quoted\" \\ text");
  EXPECT_EQ(line->Field("empty"), "");
  for (const char* text :
       {"", "no line", "2026-01-01T00:00:00.000 INFO E9999 routing x",
        "2026-01-01T00:00:00.000 INFO E0201 routing other_name a=1",
        "2026-01-01T00:00:00.000 INFO E0201 routing request_routed cut"})
    EXPECT_FALSE(ParseLogLine(text)) << text;
}

TEST(RequestTrace, LinesThatCantBeReadAreNamed) {
  RequestTrace story("t1");
  story.AddLog("a.log",
               "2026-01-01T00:00:00.000 INFO E0201 routing request_routed "
               "request=t1\ngarbage\n");
  EXPECT_TRUE(story.Found());
  ASSERT_EQ(story.unread().size(), 1U);
  EXPECT_EQ(story.unread()[0], "a.log:2");
}

// Refused with 503: its model was being loaded, behind another one.
TEST(RequestTrace, TellsWhatTheControllerDidForARefusedRequest) {
  Gateway gateway;
  gateway.Start();
  LogFile controller_log("side-3");
  EngineController controller("side-3");
  const auto feed = [&](ControllerEvent event) {
    for (const ControllerEffect& effect :
         controller.Handle(gateway.now, std::move(event))) {
      if (const auto* logged = std::get_if<LogEffect>(&effect))
        controller_log.Write(gateway.now, logged->record);
    }
  };
  feed(EngineSpecReceived{.spec = *SmallConfig().services["engines"].engine});
  feed(FenceReceived{.fence = 7});
  feed(ReportRead{
      .report = EngineReport{.contents = {.born = 1, .on_disk = {"m3"}}}});
  gateway.ReceiveRequest("/review/1", "m3");
  for (const SendToEndpoint& sent : gateway.TakeEffects<SendToEndpoint>())
    feed(PeerMessageReceived{.from = {.vm = "r1", .endpoint = "10.1.0.1:7"},
                             .message = sent.message});
  gateway.Flush();
  gateway.Advance(seconds(12));
  gateway.Flush();
  RequestTrace story("t1");
  story.AddLog("gateway.log", gateway.log());
  story.AddLog("side.log", controller_log.text());
  const std::string text = story.Text();
  EXPECT_TRUE(story.unread().empty());
  const std::size_t held = text.find("gateway-1  E0205 routing request_held");
  const std::size_t order = text.find("side-3  E0308 placement order_sent");
  const std::size_t refused = text.find("code=model_not_loaded status=503");
  ASSERT_NE(held, std::string::npos) << text;
  ASSERT_NE(order, std::string::npos) << text;
  ASSERT_NE(refused, std::string::npos) << text;
  EXPECT_LT(order, refused);
  // another request is none of it
  EXPECT_EQ(text.find("request=t2"), std::string::npos);
}

// A stream broken off midway: its worker broke and nobody else has its model.
TEST(RequestTrace, TellsWhichWorkerBrokeAStream) {
  Gateway gateway;
  gateway.Start();
  gateway.ReceiveRequest("/review/1", "m2");
  const auto sent = gateway.TakeEffects<SendAttempt>();
  gateway.RespondHead(sent[0].attempt);
  gateway.RespondEvent(sent[0].attempt, 1);
  gateway.Flush();
  gateway.Advance(milliseconds(100));
  gateway.Handle(AttemptFailed{.attempt = sent[0].attempt});
  gateway.Flush();
  RequestTrace story("t1");
  story.AddLog("gateway.log", gateway.log());
  const std::string text = story.Text();
  const std::size_t suspected =
      text.find("worker_suspected worker=w1 request=t1 why=reset");
  const std::size_t broken = text.find("request_broken request=t1 why=reset");
  ASSERT_NE(suspected, std::string::npos) << text;
  ASSERT_NE(broken, std::string::npos) << text;
  EXPECT_LT(suspected, broken);
}

// A booking whose outcome is unknown: sent once, no answer in time.
TEST(RequestTrace, TellsWhereABookingOfUnknownOutcomeWasSent) {
  Gateway gateway;
  gateway.Start();
  gateway.ReceiveRequest("/book/1");
  gateway.Flush();
  gateway.Advance(milliseconds(700));
  gateway.Flush();
  RequestTrace story("t1");
  story.AddLog("gateway.log", gateway.log());
  const std::string text = story.Text();
  EXPECT_NE(text.find("request_routed request=t1 route=book"),
            std::string::npos)
      << text;
  EXPECT_NE(text.find("code=timed_out status=504"), std::string::npos) << text;
  EXPECT_NE(text.find("runs=1"), std::string::npos) << text;
}

}  // namespace
}  // namespace boragepick
