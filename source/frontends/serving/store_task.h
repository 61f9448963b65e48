// The client of the platform's key-value service: keeps watchers' copies up to
// date and writes single keys. `Wire` knows the service's calls.
#pragma once

#include <concepts>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "common/error.h"
#include "core/platform_call.h"
#include "core/store/key_watcher.h"
#include "core/store/leased_record.h"
#include "core/store/store_write.h"
#include "frontends/boot_clock.h"
#include "frontends/http/http_client.h"

namespace boragepick {

template <typename W>
concept StoreProtocol = requires(const std::string& host,
                                 const ReadStorePage& read,
                                 const WatchStore& watch,
                                 const StoreWrite& write,
                                 const GrantLease& grant,
                                 const RenewLease& renew,
                                 std::string_view body) {
  { W::EncodeRead(host, read) } -> std::same_as<std::string>;
  { W::EncodeWatch(host, watch) } -> std::same_as<std::string>;
  { W::EncodeWrite(host, write) } -> std::same_as<std::string>;
  { W::EncodeLeaseGrant(host, grant) } -> std::same_as<std::string>;
  { W::EncodeLeaseRenewal(host, renew) } -> std::same_as<std::string>;
  { W::DecodeLeaseId(body) } -> std::same_as<LeaseId>;
  { W::DecodePage(body) } -> std::same_as<StorePage>;
  { W::DecodeChanges(body) } -> std::same_as<StoreChanges>;
  { W::DecodeWriteRevision(body) } -> std::same_as<StoreRevision>;
  { W::DecodeConflict(body) } -> std::same_as<std::vector<StoreItem>>;
  { W::kHistoryGoneStatus } -> std::convertible_to<unsigned>;
  { W::kConflictStatus } -> std::convertible_to<unsigned>;
  { W::kLeaseNotFoundStatus } -> std::convertible_to<unsigned>;
};

// What a watcher has found, with its prefix.
using StoreNews = std::variant<KeyChanged,
                               KeyRemoved,
                               KeysSynced,
                               KeysVerified,
                               StoreUnreachable,
                               StoreReachable>;

inline constexpr ClientOptions kStoreClientOptions{
    .silence = {.unacknowledged = std::chrono::milliseconds(1'000),
                .probe = std::chrono::seconds(1)},
    .max_idle_per_pool = 2};
inline constexpr Duration kStoreConnectTimeout = std::chrono::milliseconds(500);
// A read or write without an answer for so long counts as lost.
inline constexpr Duration kStoreCallTimeout = std::chrono::milliseconds(1'200);
// A watch is answered so much after its wait at the latest.
inline constexpr Duration kWatchMargin = std::chrono::milliseconds(700);

template <StoreProtocol Wire>
class StoreTask {
 public:
  using NewsSink = std::function<void(const std::string& prefix, StoreNews)>;
  using WriteSink = std::function<void(StoreWriteReply)>;

  StoreTask(EventLoop& loop, std::string endpoint, NewsSink sink)
      : m_loop(loop),
        m_endpoint(std::move(endpoint)),
        m_sink(std::move(sink)),
        m_client(loop, kStoreClientOptions, [this](ClientEvent event) {
          std::visit([this](auto& held) { On(std::move(held)); }, event);
        }) {}

  void Watch(WatcherOptions options) {
    m_watchers.push_back(std::make_unique<KeyWatcher>(std::move(options)));
    Tick(*m_watchers.back());
  }

  void Write(const StoreWrite& write, WriteSink sink) {
    Start({.finished =
               [sink = std::move(sink)](bool whole, const Call& call) {
                 sink(whole ? ReplyOf(call) : StoreWriteReply{});
               }},
          "writes", Wire::EncodeWrite(m_endpoint, write), kStoreCallTimeout);
  }

  // Keeps `value` at `key` for as long as this task lives.
  void Keep(std::string key, std::string value) {
    m_keeper.emplace(std::move(key), std::move(value));
    TickKeeper();
  }

  std::uint64_t calls() const { return m_last_call; }

 private:
  static constexpr unsigned kOk = 200;

  struct Call {
    KeyWatcher* watcher = nullptr;
    bool is_watch = false;
    std::function<void(bool whole, const Call&)> finished;
    unsigned status = 0;
    std::string body;
  };

  void Start(Call call,
             const std::string& pool,
             std::string request,
             Duration timeout) {
    const CallId id = ++m_last_call;
    m_calls.emplace(id, std::move(call));
    m_client.Post(StartCall{.id = id,
                            .address = m_endpoint,
                            .pool = pool,
                            .request = std::move(request),
                            .connect_timeout = kStoreConnectTimeout,
                            .timeout = timeout});
  }

  void Tick(KeyWatcher& watcher) {
    Carry(watcher, watcher.Tick(ReadBootClock()));
  }

  void Carry(KeyWatcher& watcher, std::vector<WatcherEffect> effects) {
    for (WatcherEffect& effect : effects)
      std::visit([&](auto& held) { Do(watcher, std::move(held)); }, effect);
    const TimePoint next = watcher.NextTick();
    if (next != kNever)
      m_loop.At(next, [this, &watcher] { Tick(watcher); });
  }

  void TickKeeper() {
    if (auto effect = m_keeper->Tick(ReadBootClock()))
      std::visit([this](const auto& held) { Do(held); }, *effect);
    if (m_keeper->NextTick() != kNever)
      m_loop.At(m_keeper->NextTick(), [this] { TickKeeper(); });
  }
  void Do(const GrantLease& grant) {
    Start({.finished =
               [this](bool whole, const Call& call) {
                 m_keeper->OnLeaseGranted(
                     ReadBootClock(),
                     whole && call.status == kOk
                         ? Decoded(&Wire::DecodeLeaseId, call.body)
                         : std::nullopt);
                 TickKeeper();
               }},
          "writes", Wire::EncodeLeaseGrant(m_endpoint, grant),
          kStoreCallTimeout);
  }
  void Do(const RenewLease& renew) {
    Start({.finished =
               [this](bool whole, const Call& call) {
                 m_keeper->OnRenewed(ReadBootClock(), OutcomeOf(whole, call));
                 TickKeeper();
               }},
          "writes", Wire::EncodeLeaseRenewal(m_endpoint, renew),
          kStoreCallTimeout);
  }
  void Do(const WriteLeased& write) {
    Start({.finished =
               [this](bool whole, const Call& call) {
                 m_keeper->OnWritten(ReadBootClock(), OutcomeOf(whole, call));
                 TickKeeper();
               }},
          "writes",
          Wire::EncodeWrite(
              m_endpoint,
              {.key = write.key, .value = write.value, .lease = write.lease}),
          kStoreCallTimeout);
  }
  static StoreWriteReply ReplyOf(const Call& call) {
    if (call.status == Wire::kConflictStatus)
      return {.outcome = WriteOutcome::kConflict,
              .current = Decoded(&Wire::DecodeConflict, call.body)
                             .value_or(std::vector<StoreItem>())};
    const auto revision = call.status == kOk
                              ? Decoded(&Wire::DecodeWriteRevision, call.body)
                              : std::nullopt;
    if (!revision)
      return {};
    return {.outcome = WriteOutcome::kWritten, .revision = *revision};
  }
  static LeaseOutcome OutcomeOf(bool whole, const Call& call) {
    if (whole && call.status == kOk)
      return LeaseOutcome::kDone;
    const bool ended = whole && call.status == Wire::kLeaseNotFoundStatus;
    return ended ? LeaseOutcome::kLeaseExpired : LeaseOutcome::kFailed;
  }

  void Do(KeyWatcher& watcher, const ReadStorePage& read) {
    Start({.watcher = &watcher}, watcher.prefix(),
          Wire::EncodeRead(m_endpoint, read), kStoreCallTimeout);
  }
  void Do(KeyWatcher& watcher, const WatchStore& watch) {
    Start({.watcher = &watcher, .is_watch = true}, watcher.prefix(),
          Wire::EncodeWatch(m_endpoint, watch), watch.wait + kWatchMargin);
  }
  template <typename News>
  void Do(KeyWatcher& watcher, News news) {
    m_sink(watcher.prefix(), StoreNews(std::move(news)));
  }

  void On(const CallHead& event) {
    const auto found = m_calls.find(event.id);
    if (found != m_calls.end())
      found->second.status = event.head.status;
  }
  void On(const CallBytes& event) {
    const auto found = m_calls.find(event.id);
    if (found != m_calls.end())
      found->second.body += event.bytes;
  }
  void On(const CallEnded& event) { Finish(event.id, /*whole=*/true); }
  void On(const CallFailed& event) { Finish(event.id, /*whole=*/false); }

  void Finish(CallId id, bool whole) {
    const auto found = m_calls.find(id);
    if (found == m_calls.end())
      return;
    Call call = std::move(found->second);
    m_calls.erase(found);
    if (call.finished)
      return call.finished(whole, call);
    const bool ok = whole && call.status == kOk;
    KeyWatcher& watcher = *call.watcher;
    const TimePoint now = ReadBootClock();
    if (!call.is_watch)
      return Carry(watcher, watcher.OnPageRead(
                                now, ok ? Decoded(&Wire::DecodePage, call.body)
                                        : std::nullopt));
    const auto changes =
        ok ? Decoded(&Wire::DecodeChanges, call.body) : std::nullopt;
    if (changes)
      return Carry(watcher, watcher.OnChanges(now, *changes));
    const bool gone = whole && call.status == Wire::kHistoryGoneStatus;
    Carry(watcher,
          watcher.OnWatchFailed(now, gone ? WatchFailure::kHistoryGone
                                          : WatchFailure::kUnreachable));
  }

  template <typename Reply>
  static std::optional<Reply> Decoded(Reply (*decode)(std::string_view),
                                      const std::string& body) {
    try {
      return decode(body);
    } catch (const Error&) {
      // why: an answer that can't be read is treated, and logged by the
      // watcher's loss, like one that did not come
      return std::nullopt;
    }
  }

  EventLoop& m_loop;
  std::string m_endpoint;
  NewsSink m_sink;
  HttpClient m_client;
  std::vector<std::unique_ptr<KeyWatcher>> m_watchers;
  std::optional<LeasedRecord> m_keeper;
  std::map<CallId, Call> m_calls;
  CallId m_last_call = 0;
};

}  // namespace boragepick
