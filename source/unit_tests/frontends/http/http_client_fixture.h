// An HTTP client and a server whose bytes the test chooses, on one event loop.
#pragma once

#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "frontends/boot_clock.h"
#include "frontends/http/http_client.h"
#include "unit_tests/frontends/http/raw_server.h"

namespace boragepick {

// A refusal with the echoed id of a call, or with none.
inline std::string Refusal(const std::string& echo) {
  return "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\n" +
         (echo.empty() ? "" : "Echo: " + echo + "\r\n") +
         "Content-Length: 4\r\n\r\nfull";
}

inline std::string Success(const std::string& echo, const std::string& body) {
  return "HTTP/1.1 200 OK\r\nEcho: " + echo +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

class HttpClientTest : public testing::Test {
 protected:
  HttpClientTest()
      : m_server(m_loop), m_client(m_loop, {}, [this](ClientEvent event) {
          std::visit([this](auto& alternative) { Handle(alternative); }, event);
        }) {}

  struct Outcome {
    unsigned status = 0;
    std::string body;
    bool completed = false;
    bool ended_by_close = false;
    std::optional<CallFailed> failed;
  };

  // Runs the loop until `done` returns true or five seconds have passed.
  bool RunUntil(const std::function<bool()>& done) {
    const TimePoint deadline = ReadBootClock() + std::chrono::seconds(5);
    std::function<void()> check = [&] {
      if (done() || ReadBootClock() > deadline)
        m_loop.Quit();
      else
        m_loop.StartTimer(ReadBootClock() + std::chrono::milliseconds(2),
                          check);
    };
    m_loop.Defer(check);
    m_loop.Run();
    return done();
  }
  void RunFor(Duration duration) {
    const TimePoint until = ReadBootClock() + duration;
    RunUntil([until] { return ReadBootClock() >= until; });
  }
  void After(Duration delay, std::function<void()> action) {
    m_loop.StartTimer(ReadBootClock() + delay, std::move(action));
  }

  StartCall MakeCall(const std::string& body = "") {
    const CallId id = ++m_last_call_id;
    return StartCall{
        .id = id,
        .address = m_server.address(),
        .pool = "p",
        .request = SerializeRequest(
            "POST", "/x", {{"Host", "h"}, {"Request-Id", std::to_string(id)}},
            body),
        .echo_name = "Echo",
        .echo_value = std::to_string(id)};
  }
  // Performs the call and returns its outcome.
  Outcome Perform(StartCall call) {
    const CallId id = call.id;
    m_client.Post(std::move(call));
    EXPECT_TRUE(RunUntil([&] { return HasEnded(id); }));
    return m_outcomes[id];
  }
  bool HasEnded(CallId id) {
    return m_outcomes[id].completed || m_outcomes[id].failed.has_value();
  }
  static std::string IdOf(const RawServer::Request& request) {
    return *FindField(request.head.fields, "Request-Id");
  }

  EventLoop m_loop;
  RawServer m_server;
  HttpClient m_client;
  std::map<CallId, Outcome> m_outcomes;

 private:
  void Handle(const CallHeadReceived& event) {
    m_outcomes[event.id].status = event.head.status;
  }
  void Handle(const CallBodyReceived& event) {
    m_outcomes[event.id].body += event.bytes;
  }
  void Handle(const CallCompleted& event) {
    m_outcomes[event.id].completed = true;
    m_outcomes[event.id].ended_by_close = event.ended_by_close;
  }
  void Handle(const CallFailed& event) { m_outcomes[event.id].failed = event; }

  CallId m_last_call_id = 0;
};

}  // namespace boragepick
