// The client of the key-value service against a server whose bytes and
// connections the test controls.

#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "frontends/serving/store_task.h"
#include "unit_tests/frontends/http/raw_server.h"

namespace boragepick {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// The path names the call; replies have no content.
struct PlainStoreCodec {
  static std::string Encode(const std::string& path) {
    return SerializeRequest("POST", path, {{"Host", "h"}}, "");
  }
  static std::string EncodeRead(const std::string&, const ReadStorePage&) {
    return Encode("/read");
  }
  static std::string EncodeWatch(const std::string&, const WatchStore&) {
    return Encode("/watch");
  }
  static std::string EncodeWrite(const std::string&, const StoreWrite&) {
    return Encode("/write");
  }
  static std::string EncodeLeaseGrant(const std::string&, const GrantLease&) {
    return Encode("/grant");
  }
  static std::string EncodeLeaseRenewal(const std::string&, const RenewLease&) {
    return Encode("/renew");
  }
  static LeaseId DecodeLeaseId(std::string_view) { return 1; }
  static StorePage DecodePage(std::string_view) { return {.revision = 1}; }
  static StoreChanges DecodeChanges(std::string_view) {
    return {.revision = 1};
  }
  static StoreRevision DecodeWriteRevision(std::string_view) { return 1; }
  static std::vector<StoreItem> DecodeConflict(std::string_view) { return {}; }
  static constexpr unsigned kHistoryGoneStatus = 410;
  static constexpr unsigned kConflictStatus = 412;
  static constexpr unsigned kLeaseNotFoundStatus = 404;
};

class StoreTaskTest : public testing::Test {
 protected:
  StoreTaskTest()
      : m_server(m_loop),
        m_store(m_loop,
                m_server.address(),
                kMaxReplyBytes,
                [this](const std::string&, StoreUpdate update) {
                  m_updates.push_back(std::move(update));
                }) {
    m_server.OnRequest([this](const RawServer::Request& request) {
      m_calls.push_back(request.head.target);
      if (request.head.target == "/read")
        m_server.Write(request.connection,
                       "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
      else
        m_watch_connection = request.connection;
    });
  }

  void RunFor(Duration duration) {
    m_loop.StartTimer(ReadBootClock() + duration, [this] { m_loop.Quit(); });
    m_loop.Run();
  }
  std::size_t Count(const std::string& target) const {
    return static_cast<std::size_t>(std::ranges::count(m_calls, target));
  }
  template <typename Update>
  std::size_t CountUpdates() const {
    return static_cast<std::size_t>(
        std::ranges::count_if(m_updates, [](const StoreUpdate& update) {
          return std::holds_alternative<Update>(update);
        }));
  }

  static constexpr std::size_t kMaxReplyBytes = 1 << 20;

  EventLoop m_loop;
  RawServer m_server;
  std::vector<std::string> m_calls;
  std::size_t m_watch_connection = 0;
  std::vector<StoreUpdate> m_updates;
  StoreTask<PlainStoreCodec> m_store;
};

// A waiting watch whose connection the store closes or resets. It was taken for
// an outage of the store.
TEST_F(StoreTaskTest, AWatchThatTheStoreEndsIsNoOutage) {
  m_store.Watch({.prefix = "p/", .watch_timeout = seconds(5)});
  for (std::size_t round = 1; round <= 2; ++round) {
    RunFor(milliseconds(300));
    ASSERT_EQ(Count("/watch"), round);
    if (round == 1)
      m_server.Close(m_watch_connection);
    else
      m_server.Reset(m_watch_connection);
    RunFor(milliseconds(300));
    EXPECT_EQ(Count("/read"), round + 1);
    EXPECT_EQ(CountUpdates<StoreWatchCut>(), round);
    EXPECT_EQ(CountUpdates<KeysSynced>(), round + 1);
  }
  EXPECT_EQ(CountUpdates<StoreUnreachable>(), 0U);
  EXPECT_EQ(CountUpdates<StoreReachable>(), 0U);
}

// A faulty service sends a reply without end.
TEST_F(StoreTaskTest, AReplyBeyondTheLimitFailsItsCall) {
  m_server.OnRequest([this](const RawServer::Request& request) {
    m_server.Write(request.connection,
                   "HTTP/1.1 200 OK\r\nContent-Length: 1000000000000\r\n\r\n" +
                       std::string(kMaxReplyBytes + 1, 'x'));
  });
  m_store.Watch({.prefix = "p/"});
  RunFor(milliseconds(300));
  EXPECT_EQ(CountUpdates<StoreUnreachable>(), 1U);
  EXPECT_EQ(CountUpdates<KeysSynced>(), 0U);
}

// Neither a reply nor an end of the connection.
TEST_F(StoreTaskTest, AWatchWithoutAReplyIsAnOutage) {
  m_store.Watch({.prefix = "p/", .watch_timeout = milliseconds(100)});
  RunFor(milliseconds(100) + kWatchMargin + milliseconds(500));
  EXPECT_EQ(CountUpdates<StoreUnreachable>(), 1U);
  EXPECT_EQ(CountUpdates<StoreReachable>(), 1U);
  EXPECT_EQ(CountUpdates<StoreWatchCut>(), 0U);
}

}  // namespace
}  // namespace boragepick
