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
  static StoreEra DecodeEra(const HttpHead& head) {
    const std::string* era = FindField(head.fields, "Era");
    return era == nullptr ? 0 : std::stoul(*era);
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

// The store comes back from a copy while a watch waits and a record is leased.
class StoreTaskEraTest : public StoreTaskTest {
 protected:
  StoreTaskEraTest() {
    m_server.OnRequest([this](const RawServer::Request& request) {
      m_calls.push_back(request.head.target);
      if (request.head.target == m_held)
        m_held_connection = request.connection;
      else
        Respond(request.connection);
    });
  }
  void Respond(std::size_t connection) {
    m_server.Write(connection,
                   "HTTP/1.1 200 OK\r\nEra: " + std::to_string(m_era) +
                       "\r\nContent-Length: 0\r\n\r\n");
  }
  void Write(std::optional<StoreRevision> expected) {
    m_store.Write(
        {.key = "k", .expected_revision = expected},
        [this](StoreWriteReply reply) { m_reply = std::move(reply); });
  }

  StoreEra m_era = 1;
  // Calls to this path get no reply.
  std::string m_held = "/watch";
  std::size_t m_held_connection = 0;
  std::optional<StoreWriteReply> m_reply;
};

TEST_F(StoreTaskEraTest, AnyReplyOfANewEraStartsOver) {
  m_store.Watch({.prefix = "p/", .watch_timeout = seconds(5)});
  m_store.MaintainRecord("r", "v");
  RunFor(milliseconds(200));
  EXPECT_EQ(Count("/read"), 1U);
  EXPECT_EQ(Count("/grant"), 1U);
  EXPECT_EQ(CountUpdates<StoreEraObserved>(), 1U);
  m_era = 2;
  Write(std::nullopt);
  RunFor(milliseconds(200));
  // The write was sent under the old era.
  EXPECT_EQ(m_reply->outcome, WriteOutcome::kUnknown);
  EXPECT_EQ(CountUpdates<StoreReverted>(), 1U);
  EXPECT_EQ(Count("/grant"), 2U);
  EXPECT_EQ(Count("/renew"), 0U);
  // The waiting watch followed a revision of the old era.
  Respond(m_held_connection);
  RunFor(milliseconds(200));
  EXPECT_EQ(Count("/read"), 2U);
  EXPECT_EQ(CountUpdates<KeysSynced>(), 2U);
  EXPECT_EQ(CountUpdates<StoreReverted>(), 1U);
}

TEST_F(StoreTaskEraTest, AWriteIsOfOneEra) {
  Write(std::nullopt);
  RunFor(milliseconds(100));
  const StoreRevision old = m_reply->revision;
  // The outcome of a write that is on its way is unknown, also if a reply
  // comes.
  m_held = "/write";
  Write(old);
  RunFor(milliseconds(100));
  m_era = 2;
  m_store.Watch({.prefix = "p/"});
  RunFor(milliseconds(100));
  Respond(m_held_connection);
  RunFor(milliseconds(100));
  EXPECT_EQ(m_reply->outcome, WriteOutcome::kUnknown);
  // A condition on the old era does not hold in the new one.
  const std::size_t sent = Count("/write");
  Write(old);
  EXPECT_EQ(m_reply->outcome, WriteOutcome::kConflict);
  m_held = "";
  Write(MakeStoreRevision(2, 1));
  RunFor(milliseconds(100));
  EXPECT_EQ(m_reply->outcome, WriteOutcome::kWritten);
  EXPECT_EQ(m_reply->revision, MakeStoreRevision(2, 1));
  EXPECT_EQ(Count("/write"), sent + 1);
}

}  // namespace
}  // namespace boragepick
