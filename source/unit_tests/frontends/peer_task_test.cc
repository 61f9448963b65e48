// The peer task delivers messages whatever the endpoints of other messages are.

#include <gtest/gtest.h>

#include <future>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "common/error.h"
#include "frontends/peer_task.h"

namespace boragepick {
namespace {

// Starts a task at a free port of the loopback interface.
std::unique_ptr<PeerTask> StartPeer(const std::string& vm,
                                    PeerCallbacks callbacks,
                                    std::string& endpoint) {
  constexpr int kFirstPort = 21'700;
  constexpr int kLastPort = 21'800;
  for (int port = kFirstPort; port < kLastPort; ++port) {
    endpoint = "127.0.0.1:" + std::to_string(port);
    try {
      auto task = std::make_unique<PeerTask>(
          PeerOptions{
              .self = {.vm = vm, .incarnation = 1, .endpoint = endpoint}},
          callbacks);
      task->Start();
      return task;
    } catch (const Error&) {
      // The port is in use.
      continue;
    }
  }
  return nullptr;
}

TEST(PeerTask, AnInvalidEndpointDoesNotStopOtherMessages) {
  std::promise<std::string> received;
  std::string receiver_endpoint;
  const auto receiver =
      StartPeer("receiver",
                {.received =
                     [&received](const PeerMessageReceived& message) {
                       received.set_value(message.from.vm);
                     },
                 .log = [](const LogRecord&) {}},
                receiver_endpoint);
  std::mutex mutex;
  std::vector<LogRecord> logged;
  std::string sender_endpoint;
  const auto sender = StartPeer("sender",
                                {.received = [](const PeerMessageReceived&) {},
                                 .log =
                                     [&](LogRecord record) {
                                       const std::lock_guard lock(mutex);
                                       logged.push_back(std::move(record));
                                     }},
                                sender_endpoint);
  ASSERT_TRUE(receiver && sender);
  const std::vector<std::string> invalid{
      "",
      ":",
      ":80",
      "10.0.0.1",
      "10.0.0.1:99999",
      "10.0.0.1:18446744073709551616",
      "10.0.0.1:-1",
      "10.0.0.1:0",
      "10.0.0.1 :80",
      "host.example:80",
      std::string("10.0.0.1:8\0"
                  "0",
                  12),
      "10.0.0.1:80\r\n",
      std::string(200'000, '1') + ":80",
      "10.0.0.1:" + std::string(200'000, '1')};
  for (const std::string& endpoint : invalid)
    sender->Post(
        SendToEndpoint{.endpoint = endpoint, .message = EngineUpdate{}});
  sender->Post(
      SendToEndpoint{.endpoint = receiver_endpoint, .message = EngineUpdate{}});
  std::future<std::string> first = received.get_future();
  ASSERT_EQ(first.wait_for(std::chrono::seconds(10)),
            std::future_status::ready);
  EXPECT_EQ(first.get(), "sender");
  sender->Stop();
  const std::lock_guard lock(mutex);
  EXPECT_EQ(logged.size(), invalid.size());
}

}  // namespace
}  // namespace boragepick
