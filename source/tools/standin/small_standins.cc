// Stand for a plain service, the weight store, and the platform's list of VMs.

#include <algorithm>
#include <map>
#include <memory>
#include <vector>

#include "frontends/boot_clock.h"
#include "tools/standin/standin_server.h"
#include "tools/standin/standins.h"
#include "wire/record_codec.h"

namespace boragepick::standin {

namespace {

class Service {
 public:
  Service(GlibLoop& loop, const StandinOptions& options)
      : m_loop(loop),
        m_options(options),
        m_server(loop, options.endpoint, [this](const Request& r) { On(r); }) {}

 private:
  void On(const Request& request) {
    if (request.path == "/stats") {
      RespondStats(request);
      return;
    }
    if (!request.Header("Authorization").empty() ||
        !request.Header("Cookie").empty())
      ++m_keys_seen;
    const std::int64_t execution = ++m_executions[request.body];
    const std::string answer = "{\"execution\":" + std::to_string(execution) +
                               ",\"receipt\":\"" + std::to_string(++m_total) +
                               "\"}\n";
    if (m_server.faults().Use("lose_answers")) {
      Cut(request.message);
      return;
    }
    auto deferred = std::make_shared<Deferred>(request.message);
    if (m_server.faults().Get("freeze") != 0) {
      m_frozen.push_back(deferred);
      return;
    }
    m_loop.After(m_options.service_ms, [deferred, answer] {
      deferred->Respond(SOUP_STATUS_OK, answer);
    });
  }

  void RespondStats(const Request& request) {
    std::int64_t most = 0;
    for (const auto& [body, count] : m_executions)
      most = std::max(most, count);
    Respond(request.message, SOUP_STATUS_OK,
            "{\"executions\":" + std::to_string(m_total) +
                ",\"distinct\":" + std::to_string(m_executions.size()) +
                ",\"most\":" + std::to_string(most) +
                ",\"keys_seen\":" + std::to_string(m_keys_seen) + "}\n");
  }

  GlibLoop& m_loop;
  StandinOptions m_options;
  std::map<std::string, std::int64_t> m_executions;
  std::int64_t m_total = 0;
  std::int64_t m_keys_seen = 0;
  std::vector<std::shared_ptr<Deferred>> m_frozen;
  Server m_server;
};

// Four loads at full speed; more slow each other down. Starts are spaced.
class Store {
 public:
  Store(GlibLoop& loop, const StandinOptions& options)
      : m_loop(loop),
        m_options(options),
        m_server(loop, options.endpoint, [this](const Request& r) { On(r); }) {}

 private:
  static constexpr unsigned kFullSpeed = 4;

  void On(const Request& request) {
    if (request.path == "/stats") {
      Respond(request.message, SOUP_STATUS_OK,
              "{\"fetches\":" + std::to_string(m_fetches) +
                  ",\"most_at_once\":" + std::to_string(m_most) + "}\n");
      return;
    }
    ++m_fetches;
    m_most = std::max(m_most, ++m_open);
    const unsigned slowdown =
        std::max(1U, (m_open + kFullSpeed - 1) / kFullSpeed);
    const TimePoint now = ReadBootClock();
    m_next_start = std::max(m_next_start, now);
    const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(
        m_next_start - now);
    if (m_options.fetches_per_second > 0)
      m_next_start +=
          Duration(std::chrono::seconds(1)) / m_options.fetches_per_second;
    auto deferred = std::make_shared<Deferred>(request.message);
    m_loop.After(
        static_cast<unsigned>(wait.count()) + m_options.fetch_ms * slowdown,
        [this, deferred] {
          --m_open;
          deferred->Respond(SOUP_STATUS_OK, "{}\n");
        });
  }

  GlibLoop& m_loop;
  StandinOptions m_options;
  unsigned m_open = 0;
  unsigned m_most = 0;
  std::int64_t m_fetches = 0;
  TimePoint m_next_start = TimePoint{};
  Server m_server;
};

class VmList {
 public:
  VmList(GlibLoop& loop, const StandinOptions& options)
      : m_loop(loop),
        m_options(options),
        m_server(loop, options.endpoint, [this](const Request& r) { On(r); }) {}

 private:
  void On(const Request& request) {
    if (request.method == "POST") {
      wire::RosterList list;
      FromJson(request.body, list, UnknownFields::kReject,
               Step::kDecodeDocument, "list of VMs");
      list.set_version(++m_last_version);
      m_loop.After(m_options.lag_ms, [this, list] { m_shown = list; });
      Respond(request.message, SOUP_STATUS_OK, "{}\n");
      return;
    }
    const std::int64_t known = request.QueryNumber("known_version", 0);
    if (static_cast<std::uint64_t>(known) == m_shown.version() && known != 0) {
      soup_server_message_set_status(request.message, SOUP_STATUS_NOT_MODIFIED,
                                     nullptr);
      return;
    }
    Respond(request.message, SOUP_STATUS_OK, ToJson(m_shown));
  }

  GlibLoop& m_loop;
  StandinOptions m_options;
  wire::RosterList m_shown;
  std::uint64_t m_last_version = 0;
  Server m_server;
};

}  // namespace

void RunService(GlibLoop& loop, const StandinOptions& options) {
  Service service(loop, options);
  loop.Run();
}

void RunStore(GlibLoop& loop, const StandinOptions& options) {
  Store store(loop, options);
  loop.Run();
}

void RunVmList(GlibLoop& loop, const StandinOptions& options) {
  VmList list(loop, options);
  loop.Run();
}

}  // namespace boragepick::standin
