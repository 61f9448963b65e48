// Stand-ins for the clients, the workers and the platform's store that the cases
// of this review use, and helpers to run the project's processes. Everything
// listens and connects on loopback addresses.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace review {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

// Exit codes of a case.
inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kCouldNotRun = 2;

// True unless TROUBLE=0, which runs the case without its disruption.
inline bool WithTrouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

// Writes record.txt: one line for each thing that was sent, answered or run.
class Record {
 public:
  explicit Record(const std::string& file)
      : m_file(file), m_start(Clock::now()) {}
  void Add(const std::string& line) {
    const std::lock_guard lock(m_mutex);
    char time[32];
    std::snprintf(time, sizeof(time), "%9.3f  ",
                  std::chrono::duration<double>(Clock::now() - m_start).count());
    m_file << time << line << std::endl;
  }

 private:
  std::mutex m_mutex;
  std::ofstream m_file;
  Clock::time_point m_start;
};

inline void SleepMs(int ms) {
  std::this_thread::sleep_for(milliseconds(ms));
}
inline void SleepUntil(Clock::time_point when) {
  std::this_thread::sleep_until(when);
}

// --- Sockets

inline sockaddr_in LoopbackAddress(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

// Returns a listening socket on 127.0.0.1; port 0 stands for a free one.
// `window` bytes are kept for a connection whose input is not read; 0 leaves
// that to the system.
inline int Listen(int& port, int window = 0) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int one = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
  if (window > 0)
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &window, sizeof(window));
  sockaddr_in address = LoopbackAddress(port);
  socklen_t size = sizeof(address);
  if (bind(fd, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
      listen(fd, 512) != 0)
    return -1;
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  port = ntohs(address.sin_port);
  return fd;
}

// Returns ports that were free a moment ago, below the range from which the
// system takes those of outgoing connections.
inline std::vector<int> FreePorts(std::size_t count) {
  std::vector<int> ports;
  int candidate = 20'000 + static_cast<int>(getpid() * 16L % 11'000);
  while (ports.size() < count && candidate < 32'000) {
    int port = candidate++;
    const int fd = Listen(port);
    if (fd < 0)
      continue;
    close(fd);
    ports.push_back(port);
  }
  return ports;
}

inline int Connect(int port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int one = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
  sockaddr_in address = LoopbackAddress(port);
  if (connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0) {
    close(fd);
    return -1;
  }
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

// --- HTTP

inline std::string Lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return text;
}

struct Message {
  // Method and target of a request, status of a response.
  std::string method;
  std::string target;
  int status = 0;
  // By lower-case name.
  std::map<std::string, std::string> fields;
  std::string body;
  // A response ended as its framing says.
  bool complete = false;

  std::string Field(const std::string& name) const {
    const auto found = fields.find(Lower(name));
    return found == fields.end() ? "" : found->second;
  }
};

// Reads messages from one connection.
class Reader {
 public:
  explicit Reader(int fd) : m_fd(fd) {}

  // Reads the next head. Returns false at the end of the connection, after
  // `limit` without bytes, or on bytes that are no head.
  bool ReadHead(Message& message, milliseconds limit) {
    std::size_t end = 0;
    while ((end = m_input.find("\r\n\r\n")) == std::string::npos) {
      if (!Receive(limit))
        return false;
    }
    ParseHead(m_input.substr(0, end + 2), message);
    m_input.erase(0, end + 4);
    return true;
  }

  // Reads the body that the head announces; `until_close` is the framing of a
  // response without length. Returns whether it is complete.
  bool ReadBody(Message& message, milliseconds limit, bool until_close) {
    if (Lower(message.Field("transfer-encoding")) == "chunked")
      return ReadChunks(message, limit);
    const std::string length = message.Field("content-length");
    if (length.empty() && until_close) {
      while (Receive(limit)) {
      }
      message.body = std::exchange(m_input, {});
      return m_closed_in_order;
    }
    const std::size_t size = length.empty() ? 0 : std::stoul(length);
    while (m_input.size() < size) {
      if (!Receive(limit)) {
        message.body = std::exchange(m_input, {});
        return false;
      }
    }
    message.body = m_input.substr(0, size);
    m_input.erase(0, size);
    return true;
  }

  bool ReadRequest(Message& message, milliseconds limit) {
    return ReadHead(message, limit) && ReadBody(message, limit, false);
  }
  // Returns false if there is no response at all.
  bool ReadResponse(Message& message, milliseconds limit) {
    do {
      message = {};
      if (!ReadHead(message, limit))
        return false;
    } while (message.status / 100 == 1);
    message.complete = ReadBody(message, limit, true);
    return true;
  }

 private:
  static void ParseHead(const std::string& head, Message& message) {
    std::size_t start = 0;
    bool first = true;
    while (start < head.size()) {
      const std::size_t end = head.find("\r\n", start);
      const std::string line = head.substr(start, end - start);
      start = end + 2;
      if (std::exchange(first, false)) {
        const std::size_t space = line.find(' ');
        const std::size_t second = line.find(' ', space + 1);
        if (line.starts_with("HTTP/")) {
          message.status = std::atoi(line.c_str() + space);
        } else {
          message.method = line.substr(0, space);
          message.target = line.substr(space + 1, second - space - 1);
        }
        continue;
      }
      const std::size_t colon = line.find(':');
      if (colon == std::string::npos)
        continue;
      std::size_t value = colon + 1;
      while (value < line.size() && line[value] == ' ')
        ++value;
      message.fields[Lower(line.substr(0, colon))] = line.substr(value);
    }
  }

  bool ReadChunks(Message& message, milliseconds limit) {
    while (true) {
      std::size_t end = 0;
      while ((end = m_input.find("\r\n")) == std::string::npos) {
        if (!Receive(limit))
          return false;
      }
      const std::size_t size = std::stoul(m_input.substr(0, end), nullptr, 16);
      while (m_input.size() < end + 2 + size + 2) {
        if (!Receive(limit))
          return false;
      }
      message.body += m_input.substr(end + 2, size);
      m_input.erase(0, end + 2 + size + 2);
      if (size == 0)
        return true;
    }
  }

  bool Receive(milliseconds limit) {
    pollfd descriptor{.fd = m_fd, .events = POLLIN, .revents = 0};
    if (poll(&descriptor, 1, static_cast<int>(limit.count())) <= 0)
      return false;
    char bytes[65536];
    const ssize_t count = recv(m_fd, bytes, sizeof(bytes), 0);
    m_closed_in_order = count == 0;
    if (count <= 0)
      return false;
    m_input.append(bytes, static_cast<std::size_t>(count));
    return true;
  }

  int m_fd;
  std::string m_input;
  bool m_closed_in_order = false;
};

inline std::string ResponseText(int status,
                                const std::string& fields,
                                const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) + " Status\r\n" + fields +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// Accepts connections on a port of 127.0.0.1 and runs `handle` for each in a
// thread of its own.
class Server {
 public:
  explicit Server(std::function<void(int fd)> handle, int port = 0, int window = 0)
      : m_port(port),
        m_handle(std::move(handle)),
        m_listener(Listen(m_port, window)) {
    std::thread([this] {
      while (true) {
        const int fd = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0)
          continue;
        const int one = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
        std::thread([this, fd] {
          m_handle(fd);
          close(fd);
        }).detach();
      }
    }).detach();
  }
  int port() const { return m_port; }
  std::string address() const { return "127.0.0.1:" + std::to_string(m_port); }

 private:
  int m_port;
  std::function<void(int fd)> m_handle;
  int m_listener;
};

// --- The platform's store

inline std::string Base64(std::string_view bytes) {
  static constexpr char kDigits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    std::uint32_t group = 0;
    for (std::size_t j = 0; j < 3; ++j)
      group = group << 8U |
              (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j])
                                    : 0U);
    for (std::size_t j = 0; j < 4; ++j)
      text += i + j <= bytes.size() ? kDigits[group >> (18 - 6 * j) & 63U] : '=';
  }
  return text;
}

// The store of PROTOCOL.md: items with revisions, reads in pages, watches,
// conditional writes and leases. It acknowledges every call within milliseconds
// and forgets no history.
class Store {
 public:
  Store() : m_server([this](int fd) { Serve(fd); }) {}

  std::string address() const { return m_server.address(); }

  // A write by the operator or a worker. Returns when it is acknowledged.
  void Put(const std::string& key, const Json& value) {
    const std::lock_guard lock(m_mutex);
    Write(key, Base64(value.dump()), 0);
    m_changed.notify_all();
  }
  // Closes the connections of the watches that are waiting, without an answer.
  void CutWatches() {
    const std::lock_guard lock(m_mutex);
    ++m_cuts;
    m_changed.notify_all();
  }
  void Remove(const std::string& key) {
    const std::lock_guard lock(m_mutex);
    Erase(key);
    m_changed.notify_all();
  }

 private:
  // No status of HTTP: the connection is closed instead of an answer.
  static constexpr int kCut = 0;

  struct Item {
    std::string value;
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
    std::uint64_t lease = 0;
  };
  struct Lease {
    milliseconds ttl{0};
    Clock::time_point ends;
  };

  void Serve(int fd) {
    Reader reader(fd);
    Message request;
    while (request = {}, reader.ReadRequest(request, milliseconds(120'000))) {
      int status = 200;
      const Json answer = Handle(request, status);
      if (status == kCut)
        return;
      if (!SendAll(fd, ResponseText(status, "Content-Type: application/json\r\n",
                                    answer.dump())))
        return;
    }
  }

  static std::map<std::string, std::string> Query(const std::string& target) {
    std::map<std::string, std::string> query;
    std::size_t start = target.find('?');
    while (start != std::string::npos) {
      const std::size_t next = target.find('&', start + 1);
      const std::string pair = target.substr(
          start + 1, next == std::string::npos ? next : next - start - 1);
      const std::size_t equals = pair.find('=');
      std::string value;
      for (std::size_t i = equals + 1; i < pair.size(); ++i) {
        if (pair[i] == '%') {
          value += static_cast<char>(std::stoi(pair.substr(i + 1, 2), nullptr, 16));
          i += 2;
        } else {
          value += pair[i];
        }
      }
      query[pair.substr(0, equals)] = value;
      start = next;
    }
    return query;
  }

  Json Handle(const Message& request, int& status) {
    const std::string path = request.target.substr(0, request.target.find('?'));
    auto query = Query(request.target);
    std::unique_lock lock(m_mutex);
    EndLeases();
    if (path == "/-/kv-range")
      return Range(query["prefix"], query["after"]);
    if (path == "/-/kv-watch")
      return Watch(lock, query["prefix"], std::stoull(query["after"]),
                   milliseconds(std::stoul(query["wait-ms"])), status);
    if (path == "/-/kv-txn")
      return Transaction(Json::parse(request.body), status);
    if (path == "/-/kv-lease") {
      const milliseconds ttl(Json::parse(request.body).at("ttl-ms").get<int>());
      m_leases[++m_last_lease] = {.ttl = ttl, .ends = Clock::now() + ttl};
      return {{"lease", m_last_lease}, {"ttl-ms", ttl.count()}};
    }
    if (path.starts_with("/-/kv-keep/")) {
      const auto lease = m_leases.find(std::stoull(path.substr(11)));
      if (lease == m_leases.end()) {
        status = 404;
        return Json::object();
      }
      lease->second.ends = Clock::now() + lease->second.ttl;
      return {{"ttl-ms", lease->second.ttl.count()}};
    }
    status = 404;
    return Json::object();
  }

  static Json ToJson(const std::string& key, const Item& item) {
    return {{"key", key},
            {"value", item.value},
            {"revision", item.revision},
            {"created-rev", item.created},
            {"lease", item.lease}};
  }

  Json Range(const std::string& prefix, const std::string& after) {
    constexpr std::size_t kPage = 50;
    Json items = Json::array();
    bool more = false;
    for (const auto& [key, item] : m_items) {
      if (!key.starts_with(prefix) || (!after.empty() && key <= after))
        continue;
      if (items.size() == kPage) {
        more = true;
        break;
      }
      items.push_back(ToJson(key, item));
    }
    return {{"items", items}, {"more-pages", more}, {"store-revision", m_revision}};
  }

  Json Watch(std::unique_lock<std::mutex>& lock,
             const std::string& prefix,
             std::uint64_t after,
             milliseconds wait,
             int& status) {
    const auto end = Clock::now() + wait;
    const int cuts = m_cuts;
    while (true) {
      Json events = Json::array();
      for (const auto& [revision, event] : m_history) {
        if (revision > after &&
            event.at("key").get<std::string>().starts_with(prefix))
          events.push_back(event);
      }
      if (!events.empty() || Clock::now() >= end)
        return {{"events", events}, {"store-revision", m_revision}};
      m_changed.wait_until(lock, std::min(end, Clock::now() + milliseconds(200)));
      if (m_cuts != cuts) {
        status = kCut;
        return Json::object();
      }
      EndLeases();
    }
  }

  Json Transaction(const Json& call, int& status) {
    Json current = Json::array();
    bool met = true;
    for (const Json& row : call.at("precondition")) {
      const std::string key = row.at("key");
      const auto item = m_items.find(key);
      const std::uint64_t revision =
          item == m_items.end() ? 0 : item->second.revision;
      met = met && revision == row.at("revision").get<std::uint64_t>();
      current.push_back(item == m_items.end() ? Json{{"key", key}, {"revision", 0}}
                                              : ToJson(key, item->second));
    }
    if (!met) {
      status = 412;
      return {{"items", current}};
    }
    for (const Json& put : call.at("put")) {
      const std::uint64_t lease = put.value("lease", std::uint64_t{0});
      if (lease != 0 && !m_leases.contains(lease)) {
        status = 404;
        return Json::object();
      }
    }
    for (const Json& put : call.at("put"))
      Write(put.at("key"), put.at("value"), put.value("lease", std::uint64_t{0}));
    for (const Json& key : call.at("remove"))
      Erase(key);
    m_changed.notify_all();
    return {{"revision", m_revision}};
  }

  void Write(const std::string& key, const std::string& value, std::uint64_t lease) {
    Item& item = m_items[key];
    item.value = value;
    item.revision = ++m_revision;
    if (item.created == 0)
      item.created = m_revision;
    item.lease = lease;
    m_history.emplace(m_revision, ToJson(key, item));
  }
  void Erase(const std::string& key) {
    if (m_items.erase(key) == 0)
      return;
    ++m_revision;
    m_history.emplace(m_revision, Json{{"key", key},
                                       {"revision", m_revision},
                                       {"tombstone", true}});
  }
  void EndLeases() {
    std::vector<std::string> keys;
    const auto now = Clock::now();
    for (auto lease = m_leases.begin(); lease != m_leases.end();) {
      if (lease->second.ends > now) {
        ++lease;
        continue;
      }
      for (const auto& [key, item] : m_items) {
        if (item.lease == lease->first)
          keys.push_back(key);
      }
      lease = m_leases.erase(lease);
    }
    for (const std::string& key : keys)
      Erase(key);
  }

  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::map<std::string, Item> m_items;
  std::map<std::uint64_t, Json> m_history;
  std::map<std::uint64_t, Lease> m_leases;
  int m_cuts = 0;
  std::uint64_t m_revision = 100;
  std::uint64_t m_last_lease = 7'000;
  Server m_server;
};

// --- Documents

inline Json PlainService(const std::string& name) {
  return {{"name", name},
          {"health-path", "/health"},
          {"max-connections", 110},
          {"protocol", "h1"},
          {"tls", false}};
}

inline Json Route(const std::string& name,
                  const std::string& prefix,
                  const std::string& kind,
                  const std::string& service,
                  int timeout_ms) {
  return {{"name", name},
          {"host", "ficu95.example"},
          {"prefix", prefix},
          {"kind", kind},
          {"timeout-ms", timeout_ms},
          {"target-latency-ms", 300},
          {"priority", 2},
          {"service", service},
          {"max-attempts", kind == "idempotent" ? 2 : 1},
          {"public", false}};
}

inline constexpr char kApiKey[] = "i9n73hh2b9wu3fexd9dn";

// A configuration with one tenant, without a quota, and the limits of the
// sheets.
inline Json Config(int version, const Json& routes, const Json& services) {
  return {{"version", version},
          {"routes", routes},
          {"services", services},
          {"tenants", Json::array({{{"name", "hule930"},
                                    {"api-keys", Json::array({kApiKey})},
                                    {"priority", 1},
                                    {"unit", "tokens"},
                                    {"plain-tokens", 200},
                                    {"rate-per-s", 0},
                                    {"burst", 0}}})},
          {"limits",
           {{"max-header-bytes", 16384},
            {"max-body-bytes", 4194304},
            {"header-timeout-ms", 3000},
            {"idle-timeout-ms", 15000}}}};
}

inline std::int64_t UnixMs() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

inline Json WorkerEntry(const std::string& service,
                        const std::string& address,
                        std::int64_t born) {
  return {{"service", service}, {"address", address},
          {"zone", "kitami-a"}, {"version", "v1"},
          {"slots", 6},         {"state", "ready"},
          {"born", born},       {"cold-remaining-ms", 0},
          {"sequence", 1}};
}

// --- Processes

// Called in a process that was just forked: it ends with its parent.
inline void EndWithParent() {
  prctl(PR_SET_PDEATHSIG, SIGKILL);
}

// One process of the project, started as the deploy file says.
class Process {
 public:
  // `settings` is written to a file in `folder`, whose path the process gets in
  // BORAGEPICK_BOOT.
  Process(const std::string& folder, const std::string& name, const std::string& settings)
      : m_name(name) {
    const std::string file = folder + "/" + name + ".ini";
    std::ofstream(file) << settings;
    const std::string log = folder + "/" + name + ".log";
    m_pid = fork();
    if (m_pid != 0)
      return;
    EndWithParent();
    const int output = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(output, 1);
    dup2(output, 2);
    setenv("BORAGEPICK_BOOT", file.c_str(), 1);
    execl("target/bin/boragepick-platformd", "target/bin/boragepick-platformd",
          static_cast<char*>(nullptr));
    _exit(127);
  }
  ~Process() { Kill(); }
  Process(const Process&) = delete;

  void Signal(int signal) const {
    if (m_pid > 0)
      kill(m_pid, signal);
  }
  // Whether the process has ended; `status` is that of waitpid().
  bool HasEnded(int* status = nullptr) {
    if (m_pid <= 0)
      return true;
    int result = 0;
    if (waitpid(m_pid, &result, WNOHANG) != m_pid)
      return false;
    m_pid = -1;
    if (status != nullptr)
      *status = result;
    return true;
  }
  void Kill() {
    if (m_pid <= 0)
      return;
    kill(m_pid, SIGKILL);
    waitpid(m_pid, nullptr, 0);
    m_pid = -1;
  }
  pid_t pid() const { return m_pid; }

 private:
  std::string m_name;
  pid_t m_pid = -1;
};

struct GatewayPorts {
  int front = 0;
  int ready = 0;
  int metrics = 0;
  int peers = 0;
};

// deploy/gateway.ini, filled in with the bounds of the sheets.
inline std::string GatewaySettings(const GatewayPorts& ports,
                                   const std::string& store,
                                   int controller_port,
                                   const std::string& vm = "front-kitami-a-1") {
  const std::string ip = "127.0.0.1:";
  return "[node]\nrole = gateway\nvm = " + vm +
         "\ndata_centre = kitami-a\n\n[http]\nendpoint = " + ip +
         std::to_string(ports.front) + "\nready_endpoint = " + ip +
         std::to_string(ports.ready) + "\nmetrics_endpoint = " + ip +
         std::to_string(ports.metrics) + "\n\n[peers]\nendpoint = " + ip +
         std::to_string(ports.peers) +
         "\ncontroller_port = " + std::to_string(controller_port) +
         "\n\n[platform]\nstore_endpoint = " + store +
         "\n\n[limits]\nkey_revocation_ms = 5000\nconfig_apply_ms = 2000\n"
         "worker_drain_ms = 2000\ngrace_s = 8\nretry_reserve = 56\n"
         "quota_slack_tokens = 72000\n";
}

// Asks GET /-/ready until it is answered with 200.
inline bool AwaitReady(int port, milliseconds limit) {
  const auto end = Clock::now() + limit;
  while (Clock::now() < end) {
    const int fd = Connect(port);
    if (fd >= 0) {
      SendAll(fd, "GET /-/ready HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
      Message response;
      const bool ready = Reader(fd).ReadResponse(response, milliseconds(1'000)) &&
                         response.status == 200;
      close(fd);
      if (ready)
        return true;
    }
    SleepMs(50);
  }
  return false;
}

inline std::string RequestHead(const std::string& method,
                               const std::string& target,
                               const std::string& id,
                               int deadline_ms,
                               std::size_t length) {
  return method + " " + target +
         " HTTP/1.1\r\nHost: ficu95.example\r\nX-Boragepick-Request-Id: " + id +
         "\r\nX-Boragepick-Deadline-Ms: " + std::to_string(deadline_ms) +
         "\r\nAuthorization: Token " + std::string(kApiKey) +
         "\r\nContent-Length: " + std::to_string(length) + "\r\n\r\n";
}

}  // namespace review
