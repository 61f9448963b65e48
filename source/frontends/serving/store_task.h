// The client of the platform's key-value service: watches key prefixes, writes
// single keys and maintains a leased record. `Codec` implements the service's
// protocol, in which revisions have no era: this task adds it to those it
// receives and removes it from those it sends.
#pragma once

#include <algorithm>
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
#include "core/store/store_revision.h"
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
                                 const HttpHead& head,
                                 std::string_view body) {
  // Throws if the era is malformed; 0 if the answer has none.
  { W::DecodeEra(head) } -> std::same_as<StoreEra>;
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

// An update that a watcher delivers for the keys under its prefix.
using StoreUpdate = std::variant<KeyChanged,
                                 KeyRemoved,
                                 KeysSynced,
                                 KeysVerified,
                                 StoreUnreachable,
                                 StoreReachable,
                                 StoreWatchCut,
                                 StoreEraObserved,
                                 StoreReverted>;

inline constexpr ClientOptions kStoreClientOptions{
    .keepalive = {.user_timeout = std::chrono::milliseconds(1'000),
                  .probe_interval = std::chrono::seconds(1)},
    .max_idle_per_pool = 2};
inline constexpr Duration kStoreConnectTimeout = std::chrono::milliseconds(500);
// A read or write that is not answered within this time has failed.
inline constexpr Duration kStoreCallTimeout = std::chrono::milliseconds(1'200);
// A watch has failed if it is not answered within this time after its
// wait.
inline constexpr Duration kWatchMargin = std::chrono::milliseconds(700);

template <StoreProtocol Codec>
class StoreTask {
 public:
  using UpdateCallback =
      std::function<void(const std::string& prefix, StoreUpdate)>;
  using WriteCallback = std::function<void(StoreWriteReply)>;

  // A reply with more than `max_reply_bytes` fails its call.
  StoreTask(EventLoop& loop,
            std::string endpoint,
            std::size_t max_reply_bytes,
            UpdateCallback callback)
      : m_loop(loop),
        m_endpoint(std::move(endpoint)),
        m_max_reply_bytes(max_reply_bytes),
        m_update_callback(std::move(callback)),
        m_client(loop, kStoreClientOptions, [this](ClientEvent event) {
          std::visit([this](auto& value) { Handle(std::move(value)); }, event);
        }) {}

  void Watch(WatcherOptions options) {
    m_watchers.push_back(std::make_unique<KeyWatcher>(std::move(options)));
    TickWatcher(*m_watchers.back());
  }

  // A conditional write whose expected revision is of an older era is a
  // conflict and not sent. The outcome of a write is unknown if the store has
  // come back from a copy since it was sent.
  void Write(StoreWrite write, WriteCallback callback) {
    if (write.expected_revision && *write.expected_revision != 0) {
      if (EraOf(*write.expected_revision) != m_era.era())
        return callback({.outcome = WriteOutcome::kConflict});
      write.expected_revision = BareRevisionOf(*write.expected_revision);
    }
    SendCall(
        {.on_complete =
             [this, sent_era = m_era.era(), callback = std::move(callback)](
                 bool complete, const Call& call) {
               const bool reverted = sent_era && sent_era != m_era.era();
               callback(complete && !reverted ? DecodeWriteReply(call)
                                              : StoreWriteReply{});
             }},
        "writes", Codec::EncodeWrite(m_endpoint, write), kStoreCallTimeout);
  }

  // Maintains `value` at `key`, attached to a lease, while this task exists.
  void MaintainRecord(std::string key, std::string value) {
    m_leased_record.emplace(std::move(key), std::move(value));
    TickLeasedRecord();
  }

  std::uint64_t calls_sent() const { return m_last_call_id; }
  // 0 before the first answer.
  StoreEra era() const { return m_era.era().value_or(0); }

 private:
  static constexpr unsigned kOk = 200;

  // A read or watch has a `watcher`, any other call has `on_complete`.
  struct Call {
    KeyWatcher* watcher = nullptr;
    bool is_watch = false;
    std::function<void(bool complete, const Call&)> on_complete;
    unsigned status = 0;
    StoreEra era = 0;
    std::string body;
  };

  void SendCall(Call call,
                const std::string& pool,
                std::string request,
                Duration timeout) {
    const CallId id = ++m_last_call_id;
    m_calls.emplace(id, std::move(call));
    m_client.Post(StartCall{.id = id,
                            .address = m_endpoint,
                            .pool = pool,
                            .request = std::move(request),
                            .connect_timeout = kStoreConnectTimeout,
                            .timeout = timeout,
                            .max_response_bytes = m_max_reply_bytes});
  }

  void TickWatcher(KeyWatcher& watcher) {
    ExecuteAll(watcher, watcher.Tick(ReadBootClock()));
  }

  void ExecuteAll(KeyWatcher& watcher, std::vector<WatcherEffect> effects) {
    for (WatcherEffect& effect : effects)
      std::visit([&](auto& value) { Execute(watcher, std::move(value)); },
                 effect);
    const TimePoint next = watcher.NextTick();
    if (next != kNever)
      m_loop.StartTimer(next, [this, &watcher] { TickWatcher(watcher); });
  }

  void TickLeasedRecord() {
    if (auto effect = m_leased_record->Tick(ReadBootClock()))
      std::visit([this](const auto& value) { Execute(value); }, *effect);
    if (m_leased_record->NextTick() != kNever)
      m_loop.StartTimer(m_leased_record->NextTick(),
                        [this] { TickLeasedRecord(); });
  }
  void Execute(const GrantLease& grant) {
    SendCall({.on_complete =
                  [this](bool complete, const Call& call) {
                    m_leased_record->OnLeaseGranted(
                        ReadBootClock(),
                        complete && call.status == kOk
                            ? TryDecode(&Codec::DecodeLeaseId, call.body)
                            : std::nullopt);
                    TickLeasedRecord();
                  }},
             "writes", Codec::EncodeLeaseGrant(m_endpoint, grant),
             kStoreCallTimeout);
  }
  void Execute(const RenewLease& renew) {
    SendCall({.on_complete =
                  [this](bool complete, const Call& call) {
                    m_leased_record->OnRenewed(ReadBootClock(),
                                               ToLeaseOutcome(complete, call));
                    TickLeasedRecord();
                  }},
             "writes", Codec::EncodeLeaseRenewal(m_endpoint, renew),
             kStoreCallTimeout);
  }
  void Execute(const WriteLeased& write) {
    SendCall({.on_complete =
                  [this](bool complete, const Call& call) {
                    m_leased_record->OnWritten(ReadBootClock(),
                                               ToLeaseOutcome(complete, call));
                    TickLeasedRecord();
                  }},
             "writes",
             Codec::EncodeWrite(m_endpoint, {.key = write.key,
                                             .value = write.value,
                                             .lease = write.lease}),
             kStoreCallTimeout);
  }
  static StoreWriteReply DecodeWriteReply(const Call& call) {
    if (call.status == Codec::kConflictStatus)
      return {.outcome = WriteOutcome::kConflict,
              .current = TryDecodeRevisions(&Codec::DecodeConflict, call)
                             .value_or(std::vector<StoreItem>())};
    const auto revision =
        call.status == kOk
            ? TryDecodeRevisions(&Codec::DecodeWriteRevision, call)
            : std::nullopt;
    if (!revision)
      return {};
    return {.outcome = WriteOutcome::kWritten, .revision = *revision};
  }
  static LeaseOutcome ToLeaseOutcome(bool complete, const Call& call) {
    if (complete && call.status == kOk)
      return LeaseOutcome::kDone;
    const bool lease_expired =
        complete && call.status == Codec::kLeaseNotFoundStatus;
    return lease_expired ? LeaseOutcome::kLeaseExpired : LeaseOutcome::kFailed;
  }

  void Execute(KeyWatcher& watcher, const ReadStorePage& read) {
    SendCall({.watcher = &watcher}, watcher.prefix(),
             Codec::EncodeRead(m_endpoint, read), kStoreCallTimeout);
  }
  void Execute(KeyWatcher& watcher, WatchStore watch) {
    watch.after = BareRevisionOf(watch.after);
    SendCall({.watcher = &watcher, .is_watch = true}, watcher.prefix(),
             Codec::EncodeWatch(m_endpoint, watch), watch.wait + kWatchMargin);
  }
  template <typename Update>
  void Execute(KeyWatcher& watcher, Update update) {
    m_update_callback(watcher.prefix(), StoreUpdate(std::move(update)));
  }

  void Handle(const CallHeadReceived& event) {
    const auto found = m_calls.find(event.id);
    if (found == m_calls.end())
      return;
    try {
      found->second.era = Codec::DecodeEra(event.head);
      found->second.status = event.head.status;
    } catch (const Error&) {
      // The answer has no status that its call could succeed with.
      return;
    }
    ObserveEra(found->second.era);
  }

  void ObserveEra(StoreEra era) {
    const TimePoint now = ReadBootClock();
    switch (m_era.Observe(now, era)) {
      case StoreEraTracker::Change::kNone:
        return;
      case StoreEraTracker::Change::kFirst:
        return m_update_callback("", StoreEraObserved{.era = era});
      case StoreEraTracker::Change::kReverted:
        break;
    }
    m_update_callback("", m_era.last_revert());
    for (const auto& watcher : m_watchers) {
      watcher->OnEra(now, era);
      ExecuteAll(*watcher, {});
    }
    if (!m_leased_record)
      return;
    m_leased_record->OnStoreReverted(now);
    TickLeasedRecord();
  }

  void Handle(const CallBodyReceived& event) {
    const auto found = m_calls.find(event.id);
    if (found != m_calls.end())
      found->second.body += event.bytes;
  }
  void Handle(const CallCompleted& event) {
    CompleteCall(event.id, std::nullopt);
  }
  void Handle(const CallFailed& event) {
    CompleteCall(event.id, event.failure);
  }

  void CompleteCall(CallId id, std::optional<CallFailure> failure) {
    const auto found = m_calls.find(id);
    if (found == m_calls.end())
      return;
    Call call = std::move(found->second);
    m_calls.erase(found);
    if (call.on_complete)
      return call.on_complete(!failure && call.era == m_era.era(), call);
    const bool ok = !failure && call.status == kOk;
    KeyWatcher& watcher = *call.watcher;
    const TimePoint now = ReadBootClock();
    if (!call.is_watch)
      return ExecuteAll(
          watcher, watcher.OnPageRead(
                       now, ok ? TryDecodeRevisions(&Codec::DecodePage, call)
                               : std::nullopt));
    const auto changes =
        ok ? TryDecodeRevisions(&Codec::DecodeChanges, call) : std::nullopt;
    if (changes)
      return ExecuteAll(watcher, watcher.OnChanges(now, *changes));
    ExecuteAll(watcher,
               watcher.OnWatchFailed(now, ToWatchFailure(failure, call)));
  }
  static WatchFailure ToWatchFailure(std::optional<CallFailure> failure,
                                     const Call& call) {
    if (failure == CallFailure::kReset)
      return WatchFailure::kCut;
    const bool history_gone =
        !failure && call.status == Codec::kHistoryGoneStatus;
    return history_gone ? WatchFailure::kHistoryGone
                        : WatchFailure::kUnreachable;
  }

  template <typename Reply>
  static std::optional<Reply> TryDecode(Reply (*decode)(std::string_view),
                                        const std::string& body) {
    try {
      return decode(body);
    } catch (const Error&) {
      // An unreadable reply is handled like a missing one. If it was the reply
      // to a watcher, the watcher's StoreUnreachable is logged.
      return std::nullopt;
    }
  }

  // The same for replies with revisions, to which the era is added. A revision
  // that is out of range makes the reply unreadable.
  template <typename Reply>
  static std::optional<Reply> TryDecodeRevisions(
      Reply (*decode)(std::string_view),
      const Call& call) {
    std::optional<Reply> reply = TryDecode(decode, call.body);
    if (reply && !AddEra(call.era, *reply))
      return std::nullopt;
    return reply;
  }
  static bool AddEra(StoreEra era, StoreRevision& revision) {
    const std::optional<StoreRevision> whole = MakeStoreRevision(era, revision);
    revision = whole.value_or(revision);
    return whole.has_value();
  }
  static bool AddEra(StoreEra era, std::vector<StoreItem>& items) {
    return std::ranges::all_of(
        items, [era](StoreItem& item) { return AddEra(era, item.revision); });
  }
  static bool AddEra(StoreEra era, StorePage& page) {
    return AddEra(era, page.revision) && AddEra(era, page.items);
  }
  static bool AddEra(StoreEra era, StoreChanges& changes) {
    return AddEra(era, changes.revision) &&
           std::ranges::all_of(changes.changes, [era](StoreChange& change) {
             return AddEra(era, change.item.revision);
           });
  }

  EventLoop& m_loop;
  std::string m_endpoint;
  std::size_t m_max_reply_bytes;
  UpdateCallback m_update_callback;
  HttpClient m_client;
  std::vector<std::unique_ptr<KeyWatcher>> m_watchers;
  std::optional<LeasedRecord> m_leased_record;
  std::map<CallId, Call> m_calls;
  CallId m_last_call_id = 0;
  StoreEraTracker m_era;
};

}  // namespace boragepick
