// Stand-ins for a plain service, the weight store and the platform's list of
// VMs.

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
        m_server(loop, options.endpoint, [this](const Request& r) {
          HandleRequest(r);
        }) {}

 private:
  void HandleRequest(const Request& request) {
    if (request.path == "/stats") {
      RespondStats(request);
      return;
    }
    if (!request.Header("Authorization").empty() ||
        !request.Header("Cookie").empty())
      ++m_requests_with_credentials;
    const std::int64_t execution = ++m_executions[request.body];
    const std::string response = "{\"execution\":" + std::to_string(execution) +
                                 ",\"receipt\":\"" +
                                 std::to_string(++m_execution_count) + "\"}\n";
    if (m_server.faults().Consume("lose_answers")) {
      CloseConnection(request.message);
      return;
    }
    auto deferred = std::make_shared<DeferredResponse>(request.message);
    if (m_server.faults().Get("freeze") != 0) {
      m_frozen_responses.push_back(deferred);
      return;
    }
    m_loop.RunAfter(m_options.service_ms, [deferred, response] {
      deferred->Respond(SOUP_STATUS_OK, response);
    });
  }

  void RespondStats(const Request& request) {
    std::int64_t max_count = 0;
    for (const auto& [body, count] : m_executions)
      max_count = std::max(max_count, count);
    Respond(request.message, SOUP_STATUS_OK,
            "{\"executions\":" + std::to_string(m_execution_count) +
                ",\"distinct\":" + std::to_string(m_executions.size()) +
                ",\"most\":" + std::to_string(max_count) + ",\"keys_seen\":" +
                std::to_string(m_requests_with_credentials) + "}\n");
  }

  GlibLoop& m_loop;
  StandinOptions m_options;
  std::map<std::string, std::int64_t> m_executions;
  std::int64_t m_execution_count = 0;
  std::int64_t m_requests_with_credentials = 0;
  std::vector<std::shared_ptr<DeferredResponse>> m_frozen_responses;
  Server m_server;
};

// Up to kFullSpeedFetches concurrent fetches run at full speed; more slow each
// other down. Starts are limited to fetches_per_second.
class WeightStore {
 public:
  WeightStore(GlibLoop& loop, const StandinOptions& options)
      : m_loop(loop),
        m_options(options),
        m_server(loop, options.endpoint, [this](const Request& r) {
          HandleRequest(r);
        }) {}

 private:
  static constexpr unsigned kFullSpeedFetches = 4;

  void HandleRequest(const Request& request) {
    if (request.path == "/stats") {
      Respond(request.message, SOUP_STATUS_OK,
              "{\"fetches\":" + std::to_string(m_fetches) +
                  ",\"most_at_once\":" + std::to_string(m_max_open_fetches) +
                  "}\n");
      return;
    }
    ++m_fetches;
    m_max_open_fetches = std::max(m_max_open_fetches, ++m_open_fetches);
    const unsigned slowdown = std::max(
        1U, (m_open_fetches + kFullSpeedFetches - 1) / kFullSpeedFetches);
    const TimePoint now = ReadBootClock();
    m_next_start = std::max(m_next_start, now);
    const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(
        m_next_start - now);
    if (m_options.fetches_per_second > 0)
      m_next_start +=
          Duration(std::chrono::seconds(1)) / m_options.fetches_per_second;
    auto deferred = std::make_shared<DeferredResponse>(request.message);
    m_loop.RunAfter(
        static_cast<unsigned>(wait.count()) + m_options.fetch_ms * slowdown,
        [this, deferred] {
          --m_open_fetches;
          deferred->Respond(SOUP_STATUS_OK, "{}\n");
        });
  }

  GlibLoop& m_loop;
  StandinOptions m_options;
  unsigned m_open_fetches = 0;
  unsigned m_max_open_fetches = 0;
  std::int64_t m_fetches = 0;
  TimePoint m_next_start = TimePoint{};
  Server m_server;
};

class VmList {
 public:
  VmList(GlibLoop& loop, const StandinOptions& options)
      : m_loop(loop),
        m_options(options),
        m_server(loop, options.endpoint, [this](const Request& r) {
          HandleRequest(r);
        }) {}

 private:
  void HandleRequest(const Request& request) {
    if (request.method == "POST") {
      wire::RosterList list;
      FromJson(request.body, list, UnknownFields::kReject,
               Step::kDecodeDocument, "list of VMs");
      list.set_version(++m_last_version);
      m_loop.RunAfter(m_options.lag_ms, [this, list] { m_served_list = list; });
      Respond(request.message, SOUP_STATUS_OK, "{}\n");
      return;
    }
    const std::int64_t known = request.QueryNumber("known_version", 0);
    if (static_cast<std::uint64_t>(known) == m_served_list.version() &&
        known != 0) {
      soup_server_message_set_status(request.message, SOUP_STATUS_NOT_MODIFIED,
                                     nullptr);
      return;
    }
    Respond(request.message, SOUP_STATUS_OK, ToJson(m_served_list));
  }

  GlibLoop& m_loop;
  StandinOptions m_options;
  wire::RosterList m_served_list;
  std::uint64_t m_last_version = 0;
  Server m_server;
};

}  // namespace

void RunService(GlibLoop& loop, const StandinOptions& options) {
  Service service(loop, options);
  loop.Run();
}

void RunWeightStore(GlibLoop& loop, const StandinOptions& options) {
  WeightStore store(loop, options);
  loop.Run();
}

void RunVmList(GlibLoop& loop, const StandinOptions& options) {
  VmList list(loop, options);
  loop.Run();
}

}  // namespace boragepick::standin
