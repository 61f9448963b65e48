// A stand-in for the platform's key-value service with the protocol of etcd's
// v3 JSON gateway.

#include <algorithm>
#include <deque>
#include <list>
#include <map>
#include <memory>

#include "common/error.h"
#include "tools/standin/standin_server.h"
#include "tools/standin/standins.h"
#include "wire/generated/platform.pb.h"
#include "wire/record_codec.h"

namespace boragepick::standin {

namespace {

using namespace wire::etcd;

struct StoredValue {
  std::string value;
  std::int64_t created = 0;
  std::int64_t modified = 0;
};

struct Watch {
  std::unique_ptr<DeferredResponse> response;
  std::string begin;
  std::string end;
};

class KeyValue {
 public:
  KeyValue(GlibLoop& loop, const StandinOptions& options)
      : m_loop(loop),
        m_server(loop, options.endpoint, [this](const Request& r) {
          HandleRequest(r);
        }) {}

 private:
  void HandleRequest(const Request& request) {
    if (request.path == "/stats") {
      RespondStats(request);
      return;
    }
    ++m_calls[request.path];
    const std::int64_t slow_ms = m_server.faults().Get("slow_ms");
    if (m_server.faults().Get("down") != 0) {
      CloseConnection(request.message);
      return;
    }
    if (request.path == "/v3/watch") {
      OpenWatch(request);
      return;
    }
    const std::string response = HandleCall(request);
    if (m_server.faults().Consume("lose_answers")) {
      CloseConnection(request.message);
      return;
    }
    if (slow_ms == 0) {
      Respond(request.message, SOUP_STATUS_OK, response);
      return;
    }
    auto deferred = std::make_shared<DeferredResponse>(request.message);
    m_loop.RunAfter(static_cast<unsigned>(slow_ms), [deferred, response] {
      deferred->Respond(SOUP_STATUS_OK, response);
    });
  }

  // The body of the response.
  std::string HandleCall(const Request& request) {
    if (request.path == "/v3/kv/range")
      return Range(Parse<RangeRequest>(request.body));
    if (request.path == "/v3/kv/txn")
      return Txn(Parse<TxnRequest>(request.body));
    return "{}";
  }

  template <typename Message>
  static Message Parse(const std::string& json) {
    Message message;
    FromJson(json, message, UnknownFields::kIgnore, Step::kDecodePlatformReply,
             "stand-in");
    return message;
  }

  std::string Range(const RangeRequest& request) {
    RangeResponse response;
    response.mutable_header()->set_revision(m_revision);
    std::vector<std::map<std::string, StoredValue>::const_iterator> found;
    for (auto it = m_items.lower_bound(request.key()); it != m_items.end();
         ++it) {
      const bool inside = request.range_end().empty()
                              ? it->first == request.key()
                              : it->first < request.range_end();
      if (!inside)
        break;
      found.push_back(it);
    }
    response.set_count(static_cast<std::int64_t>(found.size()));
    if (request.sort_target() == RangeRequest::MOD) {
      std::ranges::sort(found, [](auto left, auto right) {
        return left->second.modified > right->second.modified;
      });
    }
    if (request.limit() > 0 &&
        found.size() > static_cast<std::size_t>(request.limit()))
      found.resize(static_cast<std::size_t>(request.limit()));
    for (const auto& it : found) {
      FillKeyValue(it->first, it->second, *response.add_kvs());
      if (request.keys_only())
        response.mutable_kvs()->rbegin()->clear_value();
    }
    return ToJson(response);
  }

  static void FillKeyValue(const std::string& key,
                           const StoredValue& stored,
                           wire::etcd::KeyValue& out) {
    out.set_key(key);
    out.set_value(stored.value);
    out.set_create_revision(stored.created);
    out.set_mod_revision(stored.modified);
  }

  std::string Txn(const TxnRequest& request) {
    TxnResponse response;
    const bool conditions_hold =
        std::ranges::all_of(request.compare(), [&](const Compare& compare) {
          const auto it = m_items.find(compare.key());
          const std::int64_t found =
              it == m_items.end() ? 0 : it->second.modified;
          return found == compare.mod_revision();
        });
    response.set_succeeded(conditions_hold);
    if (conditions_hold && request.success_size() > 0)
      Apply(request);
    response.mutable_header()->set_revision(m_revision);
    return ToJson(response);
  }

  void Apply(const TxnRequest& request) {
    ++m_revision;
    for (const RequestOp& operation : request.success()) {
      Event event;
      if (operation.has_request_put()) {
        const PutRequest& put = operation.request_put();
        StoredValue& stored = m_items[put.key()];
        if (stored.created == 0)
          stored.created = m_revision;
        stored.modified = m_revision;
        stored.value = put.value();
        FillKeyValue(put.key(), stored, *event.mutable_kv());
      } else {
        const std::string& key = operation.request_delete_range().key();
        m_items.erase(key);
        event.set_type(Event::DELETE);
        event.mutable_kv()->set_key(key);
        event.mutable_kv()->set_mod_revision(m_revision);
      }
      m_history.push_back(event);
      NotifyWatches(event);
    }
  }

  void OpenWatch(const Request& request) {
    const auto create = Parse<WatchRequest>(request.body).create_request();
    Watch& watch = m_watches.emplace_back();
    watch.response = std::make_unique<DeferredResponse>(request.message);
    watch.begin = create.key();
    watch.end = create.range_end();
    watch.response->StartStream("application/json");
    WatchStreamLine created;
    created.mutable_result()->set_created(true);
    watch.response->Write(ToJson(created) + "\n");
    for (const Event& event : m_history) {
      if (event.kv().mod_revision() >= create.start_revision())
        NotifyWatch(watch, event);
    }
  }

  void NotifyWatches(const Event& event) {
    m_watches.remove_if(
        [](const Watch& watch) { return watch.response->finished(); });
    if (m_server.faults().Get("silent_watch") != 0 ||
        m_server.faults().Get("down") != 0)
      return;
    for (Watch& watch : m_watches)
      NotifyWatch(watch, event);
  }

  static void NotifyWatch(Watch& watch, const Event& event) {
    const std::string& key = event.kv().key();
    if (key < watch.begin || key >= watch.end)
      return;
    WatchStreamLine line;
    line.mutable_result()->mutable_header()->set_revision(
        event.kv().mod_revision());
    *line.mutable_result()->add_events() = event;
    watch.response->Write(ToJson(line) + "\n");
  }

  void RespondStats(const Request& request) {
    std::string json = "{\"revision\":" + std::to_string(m_revision);
    for (const auto& [path, count] : m_calls)
      json += ",\"" + path + "\":" + std::to_string(count);
    Respond(request.message, SOUP_STATUS_OK, json + "}\n");
  }

  GlibLoop& m_loop;
  std::map<std::string, StoredValue> m_items;
  std::int64_t m_revision = 1;
  std::deque<Event> m_history;
  std::list<Watch> m_watches;
  std::map<std::string, std::int64_t> m_calls;
  Server m_server;
};

}  // namespace

void RunKeyValue(GlibLoop& loop, const StandinOptions& options) {
  KeyValue key_value(loop, options);
  loop.Run();
}

}  // namespace boragepick::standin
