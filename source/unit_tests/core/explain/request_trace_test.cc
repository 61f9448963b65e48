// RequestTrace on log records that a serving router and an engine controller
// actually emit.

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

// A gateway that writes its log records to a LogFile.
class Gateway : public ServingFixture {
 public:
  // Writes the records since the last call.
  void Flush() {
    for (const LogEffect& effect : TakeEffects<LogEffect>())
      m_log.Write(now, effect.record);
  }
  const std::string& log() const { return m_log.text(); }

 private:
  LogFile m_log{"gateway-1"};
};

TEST(RequestTrace, ParsesFormattedRecords) {
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

TEST(RequestTrace, ReportsUnparsableLines) {
  RequestTrace trace("t1");
  trace.AddLog("a.log",
               "2026-01-01T00:00:00.000 INFO E0201 routing request_routed "
               "request=t1\ngarbage\n");
  EXPECT_TRUE(trace.Found());
  ASSERT_EQ(trace.unparsed_lines().size(), 1U);
  EXPECT_EQ(trace.unparsed_lines()[0], "a.log:2");
}

// A request refused with 503 while its model was queued for a load.
TEST(RequestTrace, ShowsTheLoadOrderOfARefusedRequest) {
  Gateway gateway;
  gateway.Start();
  LogFile controller_log("side-3");
  EngineController controller("side-3");
  const auto handle = [&](ControllerEvent event) {
    for (const ControllerEffect& effect :
         controller.Handle(gateway.now, std::move(event))) {
      if (const auto* logged = std::get_if<LogEffect>(&effect))
        controller_log.Write(gateway.now, logged->record);
    }
  };
  handle(EngineSpecReceived{.spec = *SmallConfig().services["engines"].engine});
  handle(FenceReceived{.fence = 7});
  handle(ReportRead{
      .report = EngineReport{.contents = {.born = 1, .on_disk = {"m3"}}}});
  gateway.ReceiveRequest("/review/1", "m3");
  for (const SendToEndpoint& sent : gateway.TakeEffects<SendToEndpoint>())
    handle(PeerMessageReceived{.from = {.vm = "r1", .endpoint = "10.1.0.1:7"},
                               .message = sent.message});
  gateway.Flush();
  gateway.Advance(seconds(12));
  gateway.Flush();
  RequestTrace trace("t1");
  trace.AddLog("gateway.log", gateway.log());
  trace.AddLog("side.log", controller_log.text());
  const std::string text = trace.Text();
  EXPECT_TRUE(trace.unparsed_lines().empty());
  const std::size_t held = text.find("gateway-1  E0205 routing request_held");
  const std::size_t order = text.find("side-3  E0308 placement order_sent");
  const std::size_t refused = text.find("code=model_not_loaded status=503");
  ASSERT_NE(held, std::string::npos) << text;
  ASSERT_NE(order, std::string::npos) << text;
  ASSERT_NE(refused, std::string::npos) << text;
  EXPECT_LT(order, refused);
  // Lines of other requests are not part of the trace.
  EXPECT_EQ(text.find("request=t2"), std::string::npos);
}

// A stream is aborted after its worker fails and no other worker has its model.
TEST(RequestTrace, ShowsTheFailedWorkerOfAnAbortedStream) {
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
  RequestTrace trace("t1");
  trace.AddLog("gateway.log", gateway.log());
  const std::string text = trace.Text();
  const std::size_t suspected =
      text.find("worker_suspected worker=w1 request=t1 why=reset");
  const std::size_t broken = text.find("request_broken request=t1 why=reset");
  ASSERT_NE(suspected, std::string::npos) << text;
  ASSERT_NE(broken, std::string::npos) << text;
  EXPECT_LT(suspected, broken);
}

// A non-idempotent request of unknown outcome: sent once, no answer in time.
TEST(RequestTrace, ShowsTheAttemptOfARequestOfUnknownOutcome) {
  Gateway gateway;
  gateway.Start();
  gateway.ReceiveRequest("/book/1");
  gateway.Flush();
  gateway.Advance(milliseconds(700));
  gateway.Flush();
  RequestTrace trace("t1");
  trace.AddLog("gateway.log", gateway.log());
  const std::string text = trace.Text();
  EXPECT_NE(text.find("request_routed request=t1 route=book"),
            std::string::npos)
      << text;
  EXPECT_NE(text.find("code=timed_out status=504"), std::string::npos) << text;
  EXPECT_NE(text.find("runs=1"), std::string::npos) << text;
}

}  // namespace
}  // namespace boragepick
