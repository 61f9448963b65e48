// Routers and agents beside upstreams that send bytes without end, and callers
// that read slowly or not at all.

#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "frontends/settings.h"
#include "unit_tests/end_to_end/deployment.h"
#include "unit_tests/frontends/http/blocking_socket.h"

namespace boragepick {
namespace {

using std::chrono::milliseconds;

constexpr int kMemoryMb = 96;
constexpr milliseconds kDeadline{4'000};

std::string JsonText(const std::string& body) {
  return "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
         "Content-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

// An engine that has model m, whose responses the test writes.
class TestedEngine {
 public:
  using Handler = std::function<void(BlockingSocket&)>;

  explicit TestedEngine(Handler respond)
      : m_respond(std::move(respond)),
        m_server([this](BlockingSocket& socket, const HttpMessage& request) {
          Answer(socket, request.head.target);
        }) {}
  std::string url() const { return "http://" + m_server.address(); }

 private:
  void Answer(BlockingSocket& socket, const std::string& target) {
    if (target == "/inventory")
      socket.Send(JsonText(
          R"({"run":"1","units":[{"name":"m-v1","memory_mb":400,"loaded":true}]})"));
    else if (target.starts_with("/orders"))
      socket.Send(JsonText("{}"));
    else
      m_respond(socket);
  }

  Handler m_respond;
  BlockingServer m_server;
};

std::string Events(int count, std::size_t size) {
  std::string events;
  for (int i = 0; i < count; ++i)
    events += "data: {\"t\":\"" + std::string(size, 'x') + "\"}\n\n";
  return events;
}

const std::string kStreamHead =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
    "Transfer-Encoding: chunked\r\n\r\n";

void SendWithoutEnd(BlockingSocket& socket,
                    const std::string& head,
                    const std::string& part) {
  bool open = socket.Send(head);
  while (open)
    open = socket.Send(part);
}

std::string CallerRequest(const std::string& path, const std::string& body) {
  return "POST " + path +
         " HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key-a\r\n"
         "Content-Type: application/json\r\nBoragepick-Deadline-Ms: " +
         std::to_string(kDeadline.count()) +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

class RouterMemory : public testing::Test {
 protected:
  void Start(const std::string& engine_url, const std::string& service_url) {
    m_deployment = std::make_unique<Deployment>(
        Deployment::Options{.routers = 1,
                            .engines = 0,
                            .services = 1,
                            .engine_url = engine_url,
                            .service_url = service_url,
                            .memory_mb = kMemoryMb});
    m_deployment->Apply(
        "route", "sound",
        R"("route":{"path_prefix":"/sound","target":"service","pool":"orders","idempotent":true})");
    const std::string url = m_deployment->HttpUrl("r0");
    m_port = ParseEndpoint(url.substr(url.rfind('/') + 1)).port;
    m_daemons = {"r0", engine_url.empty() ? "u0" : "t0"};
  }

  BlockingSocket Connect() { return BlockingSocket::Connect(m_port); }

  // Runs `caller` on `count` threads. Meanwhile, checks that sound requests are
  // served and that the daemons stay within their memory.
  void RunCallers(int count, const std::function<void(int)>& caller) {
    std::atomic<int> running = count;
    std::vector<std::thread> threads;
    threads.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i)
      threads.emplace_back([&, i] {
        caller(i);
        --running;
      });
    constexpr int kMinSoundRequests = 10;
    int sound = 0;
    std::map<std::string, std::int64_t> peaks;
    while (running > 0 || sound < kMinSoundRequests) {
      const auto response = m_deployment->SendRequest(
          "r0", {.path = "/sound/" + std::to_string(sound), .body = "{}"});
      EXPECT_EQ(response.status, 200U) << response.body;
      ++sound;
      for (const std::string& daemon : m_daemons)
        peaks[daemon] =
            std::max(peaks[daemon], m_deployment->OwnMemoryKb(daemon));
    }
    for (std::thread& thread : threads)
      thread.join();
    for (const auto& [daemon, peak] : peaks) {
      EXPECT_GT(peak, 0) << daemon;
      EXPECT_LE(peak / 1'024, kMemoryMb) << daemon;
    }
  }

  std::unique_ptr<Deployment> m_deployment;
  std::uint16_t m_port = 0;
  std::vector<std::string> m_daemons;
};

const std::string kChat =
    R"({"model":"m","stream":true,"max_tokens":8,"messages":[{"role":"user","content":"x"}]})";

// The agent kept all that its engine sent, and the router all that its callers
// had not read.
TEST_F(RouterMemory, StreamsWithoutEndStayWithinTheMemory) {
  const std::string part = SerializeChunk(Events(500, 100));
  TestedEngine engine([&](BlockingSocket& socket) {
    SendWithoutEnd(socket, kStreamHead, part);
  });
  Start(engine.url(), "");
  std::atomic<int> begun = 0;
  RunCallers(24, [&](int i) {
    BlockingSocket socket = Connect();
    socket.Send(CallerRequest("/v1/chat/completions", kChat));
    begun += socket.Receive().starts_with("HTTP/1.1 200") ? 1 : 0;
    // Some callers read, some don't.
    const auto end = std::chrono::steady_clock::now() + kDeadline;
    while (i % 2 == 0 && !socket.Receive().empty() &&
           std::chrono::steady_clock::now() < end) {
    }
    std::this_thread::sleep_until(end);
  });
  EXPECT_GE(begun, 16);
}

TEST_F(RouterMemory, AnEventWithoutEndStaysWithinTheMemory) {
  const std::string part = SerializeChunk(std::string(60'000, 'x'));
  TestedEngine engine([&](BlockingSocket& socket) {
    SendWithoutEnd(socket, kStreamHead + SerializeChunk("data: "), part);
  });
  Start(engine.url(), "");
  RunCallers(24, [&](int) {
    BlockingSocket socket = Connect();
    socket.Send(CallerRequest("/v1/chat/completions", kChat));
    ResponseParser parser(ParserLimits{});
    socket.Read(parser);
  });
}

TEST_F(RouterMemory, PlainResponsesWithoutEndStayWithinTheMemory) {
  const std::string part(60'000, 'x');
  BlockingServer service([&](BlockingSocket& socket, const HttpMessage&) {
    SendWithoutEnd(socket,
                   "HTTP/1.1 200 OK\r\nContent-Length: 1000000000000\r\n\r\n",
                   part);
  });
  Start("", "http://" + service.address());
  std::atomic<int> refused = 0;
  RunCallers(24, [&](int) {
    BlockingSocket socket = Connect();
    socket.Send(CallerRequest("/tested/x", "{}"));
    ResponseParser parser(ParserLimits{});
    if (socket.Read(parser) && parser.head().status >= 500)
      ++refused;
  });
  EXPECT_EQ(refused, 24);
}

// Parts of a response that libsoup parses for the agent.
struct EndlessHead {
  std::string name;
  std::string begin;
  std::string part;
};

std::vector<EndlessHead> EndlessHeads() {
  const std::string filler(60'000, 'x');
  std::string fields;
  std::string interim;
  for (int i = 0; i < 2'000; ++i) {
    fields += "Name: value\r\n";
    interim += "HTTP/1.1 100 Continue\r\n\r\n";
  }
  return {{"Status", "HTTP/1.1 200 ", filler},
          {"Field", "HTTP/1.1 200 OK\r\nName: ", filler},
          {"Fields", "HTTP/1.1 200 OK\r\n", fields},
          {"Interim", "", interim},
          {"ChunkExtension", kStreamHead + "5;", filler},
          {"Trailers", kStreamHead + "0\r\n", fields}};
}

class RouterMemoryHeads : public RouterMemory,
                          public testing::WithParamInterface<EndlessHead> {};

TEST_P(RouterMemoryHeads, StayWithinTheMemory) {
  const EndlessHead& head = GetParam();
  std::atomic<int> begun = 0;
  TestedEngine engine([&](BlockingSocket& socket) {
    ++begun;
    SendWithoutEnd(socket, head.begin, head.part);
  });
  Start(engine.url(), "");
  RunCallers(24, [&](int) {
    BlockingSocket socket = Connect();
    socket.Send(CallerRequest("/v1/chat/completions", kChat));
    ResponseParser parser(ParserLimits{});
    socket.Read(parser);
  });
  EXPECT_GE(begun, 1);
}

INSTANTIATE_TEST_SUITE_P(Responses,
                         RouterMemoryHeads,
                         testing::ValuesIn(EndlessHeads()),
                         [](const auto& info) { return info.param.name; });

// The agent reads its engine's inventory again and again.
TEST_F(RouterMemory, AnInventoryWithoutEndStaysWithinTheMemory) {
  const std::string part(60'000, ' ');
  BlockingServer engine([&](BlockingSocket& socket, const HttpMessage&) {
    SendWithoutEnd(socket, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
                   part);
  });
  Start("http://" + engine.address(), "");
  RunCallers(1, [](int) { std::this_thread::sleep_for(kDeadline); });
}

TEST_F(RouterMemory, SlowReadersGetTheWholeStream) {
  constexpr int kParts = 60;
  const std::string part = SerializeChunk(Events(500, 100));
  TestedEngine engine([&](BlockingSocket& socket) {
    socket.Send(kStreamHead);
    for (int i = 0; i < kParts; ++i)
      socket.Send(part);
    socket.Send(SerializeChunk("data: [DONE]\n\n") + std::string(kLastChunk));
  });
  Start(engine.url(), "");
  std::atomic<int> whole = 0;
  RunCallers(12, [&](int) {
    BlockingSocket socket = Connect();
    socket.Send(CallerRequest("/v1/chat/completions", kChat));
    ResponseParser parser(ParserLimits{});
    std::string input;
    std::string body;
    while (!parser.done() && parser.error() == ParseError::kNone) {
      const std::string bytes = socket.Receive();
      if (bytes.empty())
        return;
      input += bytes;
      parser.Consume(input);
      body += parser.TakeBody();
      std::this_thread::sleep_for(milliseconds(5));
    }
    const std::string expected = Events(500, 100);
    if (body.size() == kParts * expected.size() + 14 &&
        body.ends_with("data: [DONE]\n\n"))
      ++whole;
  });
  EXPECT_EQ(whole, 12);
}

// The router kept the bodies of requests that it had rejected by their
// announced length.
TEST_F(RouterMemory, RejectedRequestsStayWithinTheMemory) {
  constexpr int kParts = 200;
  const std::string part(256 << 10, 'b');
  BlockingServer service([](BlockingSocket& socket, const HttpMessage&) {
    socket.Send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  });
  Start("", "http://" + service.address());
  std::atomic<int> rejected = 0;
  RunCallers(4, [&](int) {
    BlockingSocket socket = Connect();
    socket.Send(
        "POST /sound/x HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key-a\r\n"
        "Content-Length: " +
        std::to_string(kParts * part.size()) + "\r\n\r\n");
    for (int i = 0; i < kParts; ++i)
      socket.Send(part);
    ResponseParser parser(ParserLimits{});
    if (socket.Read(parser) && parser.head().status == 413)
      ++rejected;
  });
  EXPECT_EQ(rejected, 4);
}

// More requests at once than the memory holds are rejected, and the router
// serves others. It cut connections that it had admitted together.
TEST_F(RouterMemory, LargeRequestsAtOnceAreAnswered) {
  BlockingServer service([](BlockingSocket& socket, const HttpMessage&) {
    std::this_thread::sleep_for(milliseconds(300));
    socket.Send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  });
  Start("", "http://" + service.address());
  const std::string body = R"({"x":")" + std::string(4 << 20, 'b') + R"("})";
  std::mutex mutex;
  std::map<int, int> counts;
  RunCallers(30, [&](int) {
    BlockingSocket socket = Connect();
    const std::string request = CallerRequest("/tested/x", body);
    for (std::size_t at = 0; at < request.size(); at += 256 << 10) {
      if (!socket.Send(std::string_view(request).substr(at, 256 << 10)))
        break;
      std::this_thread::sleep_for(milliseconds(10));
    }
    ResponseParser parser(ParserLimits{});
    const bool answered = socket.Read(parser);
    const std::scoped_lock lock(mutex);
    ++counts[answered ? parser.head().status : 0];
  });
  EXPECT_GE(counts[200], 2);
  EXPECT_EQ(counts[200] + counts[503], 30) << testing::PrintToString(counts);
}

// Callers of a burst were reset, as only ten connections could wait.
TEST_F(RouterMemory, ABurstOfCallersIsAnswered) {
  constexpr int kCallers = 200;
  BlockingServer service([](BlockingSocket& socket, const HttpMessage&) {
    socket.Send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  });
  Start("", "http://" + service.address());
  const std::string body(64 << 10, ' ');
  std::atomic<int> answered = 0;
  RunCallers(kCallers, [&](int) {
    BlockingSocket socket = Connect();
    socket.Send(CallerRequest("/sound/x", body));
    ResponseParser parser(ParserLimits{});
    answered += socket.Read(parser) ? 1 : 0;
  });
  EXPECT_EQ(answered, kCallers);
}

// A request holds the memory that it announced until its body stalls.
TEST_F(RouterMemory, AStalledRequestReleasesItsMemory) {
  BlockingServer service([](BlockingSocket& socket, const HttpMessage&) {
    socket.Send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  });
  Start("", "http://" + service.address());
  constexpr std::size_t kRequestMemory = kMemoryMb * (std::size_t{1} << 20) / 8;
  constexpr std::size_t kLargestBody = 8 << 20;
  const auto announce = [](BlockingSocket& socket, std::size_t length) {
    socket.Send(
        "POST /sound/x HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key-a\r\n"
        "Content-Length: " +
        std::to_string(length) + "\r\n\r\nbody");
  };
  BlockingSocket first = Connect();
  announce(first, kLargestBody);
  BlockingSocket second = Connect();
  announce(second, kRequestMemory - kLargestBody);
  const auto send_sound = [this] {
    return m_deployment->SendRequest("r0", {.path = "/sound/y", .body = "{}"});
  };
  EXPECT_TRUE(WaitUntil([&] { return send_sound().status == 503; }));
  EXPECT_TRUE(WaitUntil([&] { return send_sound().status == 200; }));
}

}  // namespace
}  // namespace boragepick
