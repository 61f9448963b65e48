// Stand-ins for the cases of the second review: the platform's store, workers
// and clients, as threads of the case's process, and the project's gateways as
// child processes. Everything listens on loopback addresses.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <strings.h>
#include <thread>
#include <vector>

namespace review {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

// --- Record

inline const Clock::time_point kStart = Clock::now();
inline std::mutex g_record_mutex;
inline FILE* g_record = nullptr;

inline std::int64_t NowMs() {
  return std::chrono::duration_cast<milliseconds>(Clock::now() - kStart)
      .count();
}

inline void SleepMs(std::int64_t ms) {
  if (ms > 0)
    std::this_thread::sleep_for(milliseconds(ms));
}

inline void SleepUntilMs(std::int64_t at) {
  SleepMs(at - NowMs());
}

__attribute__((format(printf, 1, 2))) inline void Record(const char* format,
                                                         ...) {
  std::lock_guard lock(g_record_mutex);
  if (g_record == nullptr)
    return;
  std::fprintf(g_record, "%8.3f  ", static_cast<double>(NowMs()) / 1000);
  va_list arguments;
  va_start(arguments, format);
  std::vfprintf(g_record, format, arguments);
  va_end(arguments);
  std::fputc('\n', g_record);
  std::fflush(g_record);
}

// --- Sockets

struct Address {
  std::string ip;
  int port = 0;
  std::string Text() const { return ip + ":" + std::to_string(port); }
};

inline sockaddr_in ToSockaddr(const Address& address) {
  sockaddr_in result{};
  result.sin_family = AF_INET;
  result.sin_port = htons(static_cast<std::uint16_t>(address.port));
  inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr);
  return result;
}

// Listens on `ip`; a port of 0 chooses a free one, which is stored.
inline int Listen(Address& address) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int one = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
  sockaddr_in name = ToSockaddr(address);
  if (bind(fd, reinterpret_cast<sockaddr*>(&name), sizeof(name)) != 0 ||
      listen(fd, 512) != 0) {
    close(fd);
    return -1;
  }
  socklen_t size = sizeof(name);
  getsockname(fd, reinterpret_cast<sockaddr*>(&name), &size);
  address.port = ntohs(name.sin_port);
  return fd;
}

inline int FreePort(const std::string& ip) {
  Address address{ip, 0};
  const int fd = Listen(address);
  if (fd >= 0)
    close(fd);
  return address.port;
}

inline int Connect(const Address& address) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in name = ToSockaddr(address);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&name), sizeof(name)) !=
      0) {
    close(fd);
    return -1;
  }
  const int one = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
  return fd;
}

inline bool SendAll(int fd, std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t count = send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (count <= 0)
      return false;
    bytes.remove_prefix(static_cast<std::size_t>(count));
  }
  return true;
}

// Closes the connection with a reset.
inline void Reset(int fd) {
  const linger option{1, 0};
  setsockopt(fd, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
  close(fd);
}

// --- HTTP

struct Headers {
  std::vector<std::pair<std::string, std::string>> fields;
  const std::string* Find(const char* name) const {
    for (const auto& [key, value] : fields) {
      if (strcasecmp(key.c_str(), name) == 0)
        return &value;
    }
    return nullptr;
  }
  std::string Get(const char* name) const {
    const std::string* value = Find(name);
    return value == nullptr ? "" : *value;
  }
};

struct Message {
  std::string first_line;
  Headers headers;
  std::string body;
  // The whole message has arrived.
  bool whole = false;

  // Of a request.
  std::string Method() const {
    return first_line.substr(0, first_line.find(' '));
  }
  std::string Target() const {
    const std::size_t begin = first_line.find(' ') + 1;
    return first_line.substr(begin, first_line.find(' ', begin) - begin);
  }
  // Of a response; 0 without one.
  int Status() const {
    return first_line.size() < 12 ? 0 : std::atoi(first_line.c_str() + 9);
  }
};

// Reads messages from a blocking socket.
class Reader {
 public:
  explicit Reader(int fd) : m_fd(fd) {}

  // Fills `message`; false if the connection ended before it was whole or
  // `timeout_ms` has passed. A response without a length ends with the
  // connection.
  bool Read(Message& message, bool is_response, std::int64_t timeout_ms) {
    const std::int64_t deadline = NowMs() + timeout_ms;
    std::size_t end = 0;
    while ((end = m_buffer.find("\r\n\r\n")) == std::string::npos) {
      if (!Fill(deadline))
        return false;
    }
    ParseHead(m_buffer.substr(0, end), message);
    m_buffer.erase(0, end + 4);
    if (is_response && message.Status() / 100 == 1)
      return Read(message, is_response, deadline - NowMs());
    const std::string* length = message.headers.Find("content-length");
    const std::string coding = message.headers.Get("transfer-encoding");
    if (strcasecmp(coding.c_str(), "chunked") == 0)
      return ReadChunks(message, deadline);
    if (length == nullptr && is_response) {
      while (Fill(deadline)) {
      }
      message.body = std::exchange(m_buffer, {});
      message.whole = m_ended;
      return m_ended;
    }
    const std::size_t size =
        length == nullptr ? 0 : std::strtoull(length->c_str(), nullptr, 10);
    while (m_buffer.size() < size) {
      if (!Fill(deadline)) {
        message.body = m_buffer;
        return false;
      }
    }
    message.body = m_buffer.substr(0, size);
    m_buffer.erase(0, size);
    message.whole = true;
    return true;
  }

  // The peer has closed its side in order.
  bool ended() const { return m_ended; }

 private:
  static void ParseHead(const std::string& head, Message& message) {
    message = {};
    std::size_t begin = 0;
    while (begin <= head.size()) {
      std::size_t end = head.find("\r\n", begin);
      if (end == std::string::npos)
        end = head.size();
      const std::string line = head.substr(begin, end - begin);
      begin = end + 2;
      const std::size_t colon = line.find(':');
      if (message.first_line.empty()) {
        message.first_line = line;
      } else if (colon != std::string::npos) {
        std::size_t value = colon + 1;
        while (value < line.size() && line[value] == ' ')
          ++value;
        message.headers.fields.emplace_back(line.substr(0, colon),
                                            line.substr(value));
      }
    }
  }

  bool ReadChunks(Message& message, std::int64_t deadline) {
    while (true) {
      std::size_t end = 0;
      while ((end = m_buffer.find("\r\n")) == std::string::npos) {
        if (!Fill(deadline))
          return false;
      }
      const std::size_t size =
          std::strtoull(m_buffer.substr(0, end).c_str(), nullptr, 16);
      while (m_buffer.size() < end + 2 + size + 2) {
        if (!Fill(deadline))
          return false;
      }
      message.body += m_buffer.substr(end + 2, size);
      m_buffer.erase(0, end + 2 + size + 2);
      if (size == 0) {
        message.whole = true;
        return true;
      }
    }
  }

  bool Fill(std::int64_t deadline) {
    pollfd item{m_fd, POLLIN, 0};
    const std::int64_t left = deadline - NowMs();
    if (left <= 0 || poll(&item, 1, static_cast<int>(left)) <= 0)
      return false;
    char bytes[16384];
    const ssize_t count = recv(m_fd, bytes, sizeof(bytes), 0);
    m_ended = count == 0;
    if (count <= 0)
      return false;
    m_buffer.append(bytes, static_cast<std::size_t>(count));
    return true;
  }

  int m_fd;
  bool m_ended = false;
  std::string m_buffer;
};

inline std::string Response(int status,
                            const std::string& fields,
                            const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) + " S\r\n" + fields +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// Accepts connections and serves each one on a thread of its own, until the
// process ends.
class Server {
 public:
  // `serve` handles one connection and leaves closing it to the server, unless
  // it returns false.
  Server(Address address, std::function<bool(int)> serve)
      : m_address(std::move(address)), m_serve(std::move(serve)) {
    m_listener = Listen(m_address);
    if (m_listener < 0) {
      std::fprintf(stderr, "can't listen on %s\n", m_address.Text().c_str());
      std::exit(2);
    }
    std::thread([this] {
      while (true) {
        const int fd = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0)
          continue;
        const int one = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
        std::thread([this, fd] {
          if (m_serve(fd))
            close(fd);
        }).detach();
      }
    }).detach();
  }
  const Address& address() const { return m_address; }

 private:
  Address m_address;
  std::function<bool(int)> m_serve;
  int m_listener = -1;
};

// --- The platform's store

inline std::string Base64(const std::string& bytes) {
  static const char kDigits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    std::uint32_t group = 0;
    for (std::size_t j = 0; j < 3; ++j)
      group = group << 8 | (i + j < bytes.size()
                                ? static_cast<unsigned char>(bytes[i + j])
                                : 0U);
    for (std::size_t j = 0; j < 4; ++j)
      text += i + j <= bytes.size() ? kDigits[group >> (18 - 6 * j) & 63] : '=';
  }
  return text;
}

inline std::string UnescapeUri(const std::string& text) {
  std::string result;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      result += static_cast<char>(
          std::strtoul(text.substr(i + 1, 2).c_str(), nullptr, 16));
      i += 2;
    } else {
      result += text[i];
    }
  }
  return result;
}

inline std::string QueryValue(const std::string& target, const char* name) {
  std::size_t at = target.find('?');
  while (at != std::string::npos) {
    const std::size_t begin = at + 1;
    at = target.find('&', begin);
    const std::string item = target.substr(begin, at - begin);
    if (item.starts_with(std::string(name) + "="))
      return UnescapeUri(item.substr(std::strlen(name) + 1));
  }
  return "";
}

class Store {
 public:
  explicit Store(const std::string& ip)
      : m_server({ip, 0}, [this](int fd) { return Serve(fd); }) {
    std::thread([this] { ExpireLeases(); }).detach();
  }

  const Address& address() const { return m_server.address(); }

  // What the operator and the workers write. Returns the revision, with which
  // the write is acknowledged.
  std::int64_t Put(const std::string& key, const std::string& value) {
    std::lock_guard lock(m_mutex);
    return PutLocked(key, Base64(value), 0);
  }
  void Remove(const std::string& key) {
    std::lock_guard lock(m_mutex);
    RemoveLocked(key);
  }

  // Takes a copy, from which the store can come back.
  void TakeCopy() {
    std::lock_guard lock(m_mutex);
    m_copy = m_items;
    m_copy_revision = m_revision;
  }
  // The store is away: it resets its connections.
  void GoAway() {
    std::lock_guard lock(m_mutex);
    m_away = true;
    m_changed.notify_all();
  }
  // The store comes back from the copy, in its next era. All leases are gone.
  void ComeBackFromCopy() {
    std::lock_guard lock(m_mutex);
    m_items = m_copy;
    std::erase_if(m_items,
                  [](const auto& entry) { return entry.second.lease != 0; });
    m_leases.clear();
    m_revision = m_copy_revision;
    std::erase_if(m_history, [this](const Change& change) {
      return change.revision > m_revision;
    });
    ++m_era;
    m_away = false;
  }

 private:
  struct Item {
    std::string value;  // in base64
    std::int64_t revision = 0;
    std::int64_t created = 0;
    std::int64_t lease = 0;
  };
  struct Change {
    std::int64_t revision = 0;
    std::string key;
    bool removed = false;
    Item item;
  };
  struct Lease {
    std::int64_t ttl_ms = 0;
    std::int64_t ends_at = 0;
  };

  static Json ToJson(const std::string& key, const Item& item) {
    return {{"key", key},
            {"value", item.value},
            {"revision", item.revision},
            {"created-rev", item.created},
            {"lease", item.lease}};
  }

  std::int64_t PutLocked(const std::string& key,
                         const std::string& base64,
                         std::int64_t lease) {
    Item& item = m_items[key];
    item.value = base64;
    item.revision = ++m_revision;
    if (item.created == 0)
      item.created = m_revision;
    item.lease = lease;
    m_history.push_back({m_revision, key, false, item});
    m_changed.notify_all();
    return m_revision;
  }
  void RemoveLocked(const std::string& key) {
    if (m_items.erase(key) == 0)
      return;
    m_history.push_back({++m_revision, key, true, {}});
    m_changed.notify_all();
  }

  void ExpireLeases() {
    while (true) {
      SleepMs(50);
      std::lock_guard lock(m_mutex);
      for (auto lease = m_leases.begin(); lease != m_leases.end();) {
        if (lease->second.ends_at > NowMs()) {
          ++lease;
          continue;
        }
        EndLeaseLocked(lease->first);
        lease = m_leases.erase(lease);
      }
    }
  }
  void EndLeaseLocked(std::int64_t id) {
    std::vector<std::string> keys;
    for (const auto& [key, item] : m_items) {
      if (item.lease == id)
        keys.push_back(key);
    }
    for (const std::string& key : keys)
      RemoveLocked(key);
  }

  bool Serve(int fd) {
    Reader reader(fd);
    Message request;
    while (reader.Read(request, false, 600'000)) {
      const std::int64_t era = m_era;
      std::string body;
      const int status = m_away ? 0 : Handle(request, body);
      if (m_away || era != m_era) {
        Reset(fd);
        return false;
      }
      if (!SendAll(fd, Response(status,
                                "Content-Type: application/json\r\nStore-Era: " +
                                    std::to_string(era) + "\r\n",
                                body)))
        break;
    }
    return true;
  }

  int Handle(const Message& request, std::string& body) {
    const std::string target = request.Target();
    const std::string path = target.substr(0, target.find('?'));
    if (path == "/-/kv-watch")
      return Watch(target, body);
    SleepMs(2);
    std::lock_guard lock(m_mutex);
    if (path == "/-/kv-key") {
      const auto found = m_items.find(QueryValue(target, "key"));
      if (found == m_items.end())
        return 404;
      Json json = ToJson(found->first, found->second);
      json["store-revision"] = m_revision;
      body = json.dump();
      return 200;
    }
    if (path == "/-/kv-range")
      return Range(target, body);
    if (path == "/-/kv-txn")
      return Transact(Json::parse(request.body), body);
    if (path == "/-/kv-lease") {
      const std::int64_t ttl =
          Json::parse(request.body).at("ttl-ms").get<std::int64_t>();
      m_leases[++m_last_lease] = {ttl, NowMs() + ttl};
      body = Json{{"lease", m_last_lease}, {"ttl-ms", ttl}}.dump();
      return 200;
    }
    if (path.starts_with("/-/kv-keep/")) {
      const auto lease = m_leases.find(std::atoll(path.c_str() + 11));
      if (lease == m_leases.end())
        return 404;
      lease->second.ends_at = NowMs() + lease->second.ttl_ms;
      body = "{}";
      return 200;
    }
    if (path.starts_with("/-/kv-lease-end/")) {
      const std::int64_t id = std::atoll(path.c_str() + 16);
      EndLeaseLocked(id);
      m_leases.erase(id);
      body = "{}";
      return 200;
    }
    return 404;
  }

  int Range(const std::string& target, std::string& body) {
    constexpr std::size_t kPage = 50;
    const std::string prefix = QueryValue(target, "prefix");
    const std::string after = QueryValue(target, "after");
    Json items = Json::array();
    bool more = false;
    for (const auto& [key, item] : m_items) {
      if (!key.starts_with(prefix) || key <= after)
        continue;
      more = items.size() == kPage;
      if (more)
        break;
      items.push_back(ToJson(key, item));
    }
    body = Json{{"items", items},
                {"more-pages", more},
                {"store-revision", m_revision}}
               .dump();
    return 200;
  }

  int Watch(const std::string& target, std::string& body) {
    const std::string prefix = QueryValue(target, "prefix");
    const std::int64_t after = std::atoll(QueryValue(target, "after").c_str());
    const std::int64_t wait = std::atoll(QueryValue(target, "wait-ms").c_str());
    std::unique_lock lock(m_mutex);
    if (after > m_revision)
      return 410;
    const auto end = Clock::now() + milliseconds(wait);
    Json events = Json::array();
    const auto collect = [&] {
      for (const Change& change : m_history) {
        if (change.revision <= after || !change.key.starts_with(prefix))
          continue;
        events.push_back(change.removed ? Json{{"key", change.key},
                                               {"revision", change.revision},
                                               {"tombstone", true}}
                                        : ToJson(change.key, change.item));
      }
      return !events.empty();
    };
    m_changed.wait_until(lock, end, [&] { return m_away || collect(); });
    body = Json{{"events", events}, {"store-revision", m_revision}}.dump();
    return 200;
  }

  int Transact(const Json& json, std::string& body) {
    Json current = Json::array();
    bool holds = true;
    for (const Json& row : json.value("precondition", Json::array())) {
      const std::string key = row.at("key");
      const auto found = m_items.find(key);
      const std::int64_t revision =
          found == m_items.end() ? 0 : found->second.revision;
      holds = holds && revision == row.at("revision").get<std::int64_t>();
      current.push_back(found == m_items.end()
                            ? Json{{"key", key}, {"revision", 0}}
                            : ToJson(key, found->second));
    }
    if (!holds) {
      body = Json{{"items", current}}.dump();
      return 412;
    }
    for (const Json& put : json.value("put", Json::array())) {
      const std::int64_t lease = put.value("lease", std::int64_t{0});
      if (lease != 0 && !m_leases.contains(lease))
        return 404;
      const std::string key = put.at("key");
      if (key.starts_with("op/") || key.starts_with("servers/"))
        return 403;
    }
    for (const Json& put : json.value("put", Json::array()))
      PutLocked(put.at("key"), put.at("value"),
                put.value("lease", std::int64_t{0}));
    for (const Json& key : json.value("remove", Json::array()))
      RemoveLocked(key);
    body = Json{{"revision", m_revision}}.dump();
    return 200;
  }

  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::int64_t m_revision = 1;
  std::map<std::string, Item> m_items;
  std::vector<Change> m_history;
  std::map<std::int64_t, Lease> m_leases;
  std::int64_t m_last_lease = 0;
  std::map<std::string, Item> m_copy;
  std::int64_t m_copy_revision = 0;
  std::atomic<bool> m_away = false;
  // How often the store has come back from a copy.
  std::atomic<std::int64_t> m_era = 0;
  Server m_server;
};

// --- Workers

inline std::int64_t UnixMs() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

// A worker of a plain service. Each request is recorded, works for `work_ms`
// and is answered with 200, unless `behave` handles it.
class Worker {
 public:
  struct Options {
    std::string id;
    std::string service;
    std::string ip;
    std::string zone = "za";
    std::int64_t work_ms = 15;
    // Handles a request that has arrived whole. Returns false if the worker
    // shall answer it as usual, else whether the connection stays open is left
    // in `keep`.
    std::function<bool(int fd, const Message&, bool& keep)> behave;
  };
  struct Run {
    std::string id;
    std::int64_t begun_ms = 0;
    Headers headers;
    std::string body;
  };

  Worker(Store& store, Options options)
      : m_store(store),
        m_options(std::move(options)),
        m_born(UnixMs()),
        m_server({m_options.ip, 0}, [this](int fd) { return Serve(fd); }) {
    std::thread([this] {
      while (true) {
        Register();
        SleepMs(1'200);
      }
    }).detach();
  }

  std::vector<Run> Runs() {
    std::lock_guard lock(m_mutex);
    return m_runs;
  }
  const Address& address() const { return m_server.address(); }
  const std::string& id() const { return m_options.id; }
  void set_state(const std::string& state) {
    {
      std::lock_guard lock(m_mutex);
      m_state = state;
    }
    Register();
  }

  std::string Fields(const Message& request) const {
    return "X-Boragepick-Request-Id: " +
           request.headers.Get("x-boragepick-request-id") +
           "\r\nX-Boragepick-Response-Signature: sig." + m_options.id + "\r\n";
  }

 private:
  void Register() {
    std::lock_guard lock(m_mutex);
    if (m_state.empty())
      return;
    const Json entry{{"service", m_options.service},
                     {"address", m_server.address().Text()},
                     {"zone", m_options.zone},
                     {"version", "1"},
                     {"slots", 16},
                     {"state", m_state},
                     {"cold-remaining-ms", 0},
                     {"sequence", ++m_beats},
                     {"born", m_born},
                     {"models", Json::array()}};
    m_store.Put("servers/" + m_options.id, entry.dump());
  }

  bool Serve(int fd) {
    Reader reader(fd);
    Message request;
    while (reader.Read(request, false, 60'000)) {
      const std::string expected =
          request.headers.Get("x-boragepick-expect-instance");
      if (!expected.empty() && expected != m_options.id) {
        SendAll(fd, Response(421,
                             "X-Boragepick-Not-Executed: 1\r\n"
                             "X-Boragepick-Instance-Id: " +
                                 m_options.id + "\r\n",
                             ""));
        continue;
      }
      const std::string id = request.headers.Get("x-boragepick-request-id");
      {
        std::lock_guard lock(m_mutex);
        m_runs.push_back({id, NowMs(), request.headers, request.body});
      }
      Record("worker %s runs %s (%s)", m_options.id.c_str(), id.c_str(),
             request.first_line.c_str());
      bool keep = true;
      if (m_options.behave && m_options.behave(fd, request, keep)) {
        if (!keep)
          return false;
        continue;
      }
      SleepMs(m_options.work_ms);
      if (!SendAll(fd, Response(200, Fields(request), "done " + id)))
        Record("worker %s can't answer %s: the connection has ended",
               m_options.id.c_str(), id.c_str());
      else
        Record("worker %s has answered %s with 200", m_options.id.c_str(),
               id.c_str());
    }
    return true;
  }

  Store& m_store;
  Options m_options;
  std::int64_t m_born;
  std::mutex m_mutex;
  std::string m_state = "ready";
  std::int64_t m_beats = 0;
  std::vector<Run> m_runs;
  Server m_server;
};

// --- The project's processes

// A process that is started as the deploy file says.
class Process {
 public:
  Process(const std::string& folder, std::string name)
      : m_name(std::move(name)),
        m_settings(folder + "/" + m_name + ".ini"),
        m_log(folder + "/" + m_name + ".log") {}
  ~Process() {
    if (m_pid > 0) {
      kill(m_pid, SIGKILL);
      waitpid(m_pid, nullptr, 0);
    }
  }
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  void Start() {
    std::string setting = "BORAGEPICK_BOOT=" + m_settings;
    std::vector<char*> environment;
    for (char** variable = environ; *variable != nullptr; ++variable)
      environment.push_back(*variable);
    environment.push_back(setting.data());
    environment.push_back(nullptr);
    const pid_t parent = getpid();
    m_pid = fork();
    if (m_pid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      if (getppid() != parent)
        _exit(127);
      const int fd =
          open(m_log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
      dup2(fd, 1);
      dup2(fd, 2);
      char program[] = "target/bin/boragepick-platformd";
      char* arguments[] = {program, nullptr};
      execve(program, arguments, environment.data());
      _exit(127);
    }
    Record("%s started as process %d", m_name.c_str(), m_pid);
  }
  void Signal(int signal) {
    Record("%s gets signal %s", m_name.c_str(), strsignal(signal));
    kill(m_pid, signal);
  }
  // Waits for the process to end. Returns false after `timeout_ms`.
  bool WaitForEnd(std::int64_t timeout_ms) {
    const std::int64_t deadline = NowMs() + timeout_ms;
    while (m_pid > 0 && NowMs() < deadline) {
      int status = 0;
      if (waitpid(m_pid, &status, WNOHANG) == m_pid) {
        Record("%s has ended, status %#x", m_name.c_str(), status);
        m_pid = -1;
        return true;
      }
      SleepMs(2);
    }
    return m_pid <= 0;
  }
  pid_t pid() const { return m_pid; }

 protected:
  void WriteSettings(const std::string& text) const {
    FILE* file = std::fopen(m_settings.c_str(), "w");
    std::fputs(text.c_str(), file);
    std::fclose(file);
  }

 private:
  std::string m_name;
  std::string m_settings;
  std::string m_log;
  pid_t m_pid = -1;
};

struct GatewayOptions {
  std::string name;
  std::string ip;
  std::string zone = "za";
  std::string store;
  int controller_port = 0;
};

// The bounds are those of the sheets of kitami-bells and mirisnet.
class Gateway : public Process {
 public:
  Gateway(const std::string& folder, const GatewayOptions& options)
      : Process(folder, options.name),
        m_front{options.ip, FreePort(options.ip)},
        m_ready{options.ip, FreePort(options.ip)} {
    const int peers = FreePort(options.ip);
    const int metrics = FreePort(options.ip);
    const int controllers =
        options.controller_port == 0 ? peers : options.controller_port;
    WriteSettings(
        "[node]\nrole = gateway\nvm = " + options.name +
        "\ndata_centre = " + options.zone + "\n\n[http]\nendpoint = " +
        m_front.Text() + "\nready_endpoint = " + m_ready.Text() +
        "\nmetrics_endpoint = " + Address{options.ip, metrics}.Text() +
        "\n\n[peers]\nendpoint = " + Address{options.ip, peers}.Text() +
        "\ncontroller_port = " + std::to_string(controllers) +
        "\n\n[platform]\nstore_endpoint = " + options.store +
        "\n\n[limits]\nkey_revocation_ms = 5000\nconfig_apply_ms = 2000\n"
        "worker_drain_ms = 2000\nworker_heartbeat_ms = 1200\ngrace_s = 8\n"
        "memory_mb = 260\nretry_reserve = 56\nquota_slack_tokens = 72000\n\n"
        "[regions]\nza = r\nzb = r\n");
  }

  bool IsReady() const {
    const int fd = Connect(m_ready);
    if (fd < 0)
      return false;
    SendAll(fd, "GET /-/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    Message response;
    Reader(fd).Read(response, true, 1'000);
    close(fd);
    return response.Status() == 200;
  }
  bool WaitUntilReady(std::int64_t timeout_ms) const {
    const std::int64_t deadline = NowMs() + timeout_ms;
    while (NowMs() < deadline) {
      if (IsReady())
        return true;
      SleepMs(20);
    }
    return false;
  }

  const Address& front() const { return m_front; }

 private:
  Address m_front;
  Address m_ready;
};

struct ControllerOptions {
  std::string name;
  std::string ip;
  int port = 0;
  std::string engine;
  std::string store;
};

class Controller : public Process {
 public:
  Controller(const std::string& folder, const ControllerOptions& options)
      : Process(folder, options.name) {
    const int metrics = FreePort(options.ip);
    WriteSettings(
        "[node]\nrole = controller\nvm = " + options.name +
        "\ndata_centre = za\n\n[http]\nmetrics_endpoint = " +
        Address{options.ip, metrics}.Text() + "\n\n[peers]\nendpoint = " +
        Address{options.ip, options.port}.Text() +
        "\n\n[platform]\nstore_endpoint = " + options.store +
        "\n\n[engine]\nendpoint = " + options.engine +
        "\n\n[limits]\ngrace_s = 8\nmemory_mb = 192\n");
  }
};

// A temporary folder, removed with the object.
class TemporaryFolder {
 public:
  TemporaryFolder() {
    const char* base = std::getenv("TMPDIR");
    m_path = std::string(base == nullptr ? "/tmp" : base) + "/review-XXXXXX";
    if (mkdtemp(m_path.data()) == nullptr)
      std::exit(2);
  }
  ~TemporaryFolder() {
    if (std::getenv("KEEP") == nullptr)
      (void)!std::system(("rm -r '" + m_path + "'").c_str());
    else
      std::fprintf(stderr, "kept %s\n", m_path.c_str());
  }
  const std::string& path() const { return m_path; }

 private:
  std::string m_path;
};

// Ends the process without destroying objects that threads still use.
[[noreturn]] inline void Exit(int status) {
  std::fflush(nullptr);
  _exit(status);
}

inline void OpenRecord(const char* path) {
  signal(SIGPIPE, SIG_IGN);
  g_record = std::fopen(path, "w");
}

}  // namespace review
