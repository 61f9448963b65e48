// A stand-in for a model engine: loads models, streams tokens, checks fencing
// tokens of orders, and crashes on a marked prompt.

#include <algorithm>
#include <map>
#include <memory>
#include <set>

#include "common/error.h"
#include "common/hashing.h"
#include "frontends/soup_call.h"
#include "tools/standin/standin_server.h"
#include "tools/standin/standins.h"
#include "wire/generated/boragepick.pb.h"
#include "wire/generated/upstream.pb.h"
#include "wire/record_codec.h"

namespace boragepick::standin {

namespace {

constexpr std::string_view kCrashMarker = "CRASH-ENGINE";
constexpr std::int64_t kDefaultTokens = 16;

// The token at `index` of the response to a request body. It is the same on
// every engine, so that tests can compare complete responses.
std::string TokenAt(const std::string& body, std::int64_t index) {
  const std::uint64_t hash =
      StableHash(body, static_cast<std::uint64_t>(index));
  return "t" + std::to_string(hash % 100'000);
}

// A response being generated.
struct Generation {
  std::shared_ptr<DeferredResponse> response;
  std::string body;
  bool stream = false;
  std::int64_t next_token = 0;
  std::int64_t token_count = 0;
};

class Engine {
 public:
  Engine(GlibLoop& loop, StandinOptions options)
      : m_loop(loop),
        m_options(std::move(options)),
        m_session(NewDirectSession(64, 5)),
        m_server(loop, m_options.endpoint, [this](const Request& r) {
          HandleRequest(r);
        }) {}
  ~Engine() { g_object_unref(m_session); }
  Engine(const Engine&) = delete;
  Engine& operator=(const Engine&) = delete;

 private:
  void HandleRequest(const Request& request) {
    if (request.path == "/stats") {
      RespondStats(request);
      return;
    }
    if (m_down) {
      m_requests_while_down += request.path.starts_with("/v1") ? 1 : 0;
      CloseConnection(request.message);
      return;
    }
    if (m_server.faults().Get("freeze") != 0) {
      // Keeps the connection open without a response.
      m_frozen_responses.push_back(
          std::make_shared<DeferredResponse>(request.message));
      return;
    }
    if (request.path == "/inventory")
      RespondInventory(request);
    else if (request.path.starts_with("/orders/"))
      HandleOrder(request);
    else if (request.path == "/v1/chat/completions")
      Generate(request);
    else
      Respond(request.message, SOUP_STATUS_NOT_FOUND, "{}\n");
  }

  // --- Requests ---

  void Generate(const Request& request) {
    wire::ChatRequest chat;
    FromJson(request.body, chat, UnknownFields::kIgnore, Step::kDecodeDocument,
             "engine");
    if (!m_loaded.contains(chat.model())) {
      Respond(request.message, SOUP_STATUS_NOT_FOUND,
              "{\"error\":\"model not loaded\"}\n");
      return;
    }
    ++m_generation_count;
    if (request.body.find(kCrashMarker) != std::string::npos) {
      CloseConnection(request.message);
      Crash();
      return;
    }
    auto generation = std::make_shared<Generation>();
    generation->response = std::make_shared<DeferredResponse>(request.message);
    generation->body = request.body;
    generation->stream = chat.stream();
    generation->token_count =
        chat.max_tokens() > 0 ? chat.max_tokens() : kDefaultTokens;
    const std::string resume = request.Header("X-Resume-After");
    generation->next_token = resume.empty() ? 0 : std::atoll(resume.c_str());
    m_generations.insert(generation);
    if (generation->stream)
      generation->response->StartStream("text/event-stream");
    ContinueGeneration(generation);
  }

  void ContinueGeneration(const std::shared_ptr<Generation>& generation) {
    const bool ended =
        generation->response->finished() || !m_generations.contains(generation);
    if (ended) {
      m_generations.erase(generation);
      return;
    }
    if (m_server.faults().Get("freeze") != 0)
      return;
    const std::int64_t cut_after = m_server.faults().Get("cut_after");
    if (cut_after > 0 && generation->next_token >= cut_after) {
      m_server.faults().Set("cut_after", 0);
      generation->response->CloseConnection();
      m_generations.erase(generation);
      return;
    }
    if (m_options.token_ms > 0 &&
        generation->next_token < generation->token_count) {
      WriteTokens(*generation, 1);
      m_loop.RunAfter(m_options.token_ms,
                      [this, generation] { ContinueGeneration(generation); });
      return;
    }
    WriteTokens(*generation, generation->token_count - generation->next_token);
    EndResponse(*generation);
    m_generations.erase(generation);
  }

  static void WriteTokens(Generation& generation, std::int64_t count) {
    std::string events;
    for (std::int64_t i = 0; i < count; ++i) {
      if (generation.stream)
        events += "data: {\"choices\":[{\"delta\":{\"content\":\"" +
                  TokenAt(generation.body, generation.next_token) +
                  " \"}}]}\n\n";
      ++generation.next_token;
    }
    generation.response->Write(events);
  }

  static void EndResponse(Generation& generation) {
    if (generation.stream) {
      generation.response->Write("data: [DONE]\n\n");
      generation.response->End();
      return;
    }
    std::string text;
    for (std::int64_t i = 0; i < generation.token_count; ++i)
      text += TokenAt(generation.body, i) + " ";
    generation.response->Respond(
        SOUP_STATUS_OK,
        "{\"choices\":[{\"message\":{\"content\":\"" + text + "\"}}]}\n");
  }

  // Closes all connections and drops all models; the engine restarts after
  // crash_ms.
  void Crash() {
    ++m_crash_count;
    ++m_incarnation;
    m_loaded.clear();
    m_loading.clear();
    m_used_mb = 0;
    m_down = true;
    for (const auto& generation : m_generations)
      generation->response->CloseConnection();
    m_generations.clear();
    m_loop.RunAfter(m_options.crash_ms, [this] { m_down = false; });
  }

  // --- Orders ---

  void HandleOrder(const Request& request) {
    wire::upstream::Order order;
    FromJson(request.body, order, UnknownFields::kIgnore, Step::kDecodeDocument,
             "engine");
    const bool outdated = order.fence() < m_last_fence;
    if (outdated && !m_options.ignore_fences) {
      Respond(request.message, SOUP_STATUS_CONFLICT,
              "{\"error\":\"old fence\"}\n");
      return;
    }
    m_last_fence = std::max(m_last_fence, order.fence());
    if (request.path.starts_with("/orders/unload")) {
      Unload(order.name());
      Respond(request.message, SOUP_STATUS_OK, "{}\n");
      return;
    }
    const bool fits = m_used_mb + order.memory_mb() <= m_options.memory_mb;
    if (!fits || m_server.faults().Get("refuse_loads") != 0) {
      m_overcommit_count += fits ? 0 : 1;
      Respond(request.message, SOUP_STATUS_CONFLICT,
              "{\"error\":\"no memory\"}\n");
      return;
    }
    m_used_mb += order.memory_mb();
    m_peak_mb = std::max(m_peak_mb, m_used_mb);
    ++m_load_counts[order.name()];
    m_loading[order.name()] = order.memory_mb();
    Load(order, std::make_shared<DeferredResponse>(request.message));
  }

  void Load(const wire::upstream::Order& order,
            const std::shared_ptr<DeferredResponse>& response) {
    const auto complete = [this, order, response, incarnation = m_incarnation] {
      if (incarnation != m_incarnation)
        return;
      m_loading.erase(order.name());
      m_loaded[order.name()] = order.memory_mb();
      response->Respond(SOUP_STATUS_OK, "{}\n");
    };
    if (m_options.store_url.empty()) {
      m_loop.RunAfter(m_options.load_ms, complete);
      return;
    }
    constexpr unsigned kFetchTimeoutMs = 120'000;
    CallHttp(m_session,
             {.url = m_options.store_url + "/fetch",
              .body = "{}",
              .timeout_ms = kFetchTimeoutMs},
             [complete](const HttpReply& /*reply*/) { complete(); });
  }

  void Unload(const std::string& name) {
    const auto found = m_loaded.find(name);
    if (found == m_loaded.end())
      return;
    m_used_mb -= found->second;
    m_loaded.erase(found);
  }

  void RespondInventory(const Request& request) {
    wire::upstream::Inventory inventory;
    inventory.set_run(std::to_string(m_incarnation));
    for (const auto& [name, memory_mb] : m_loaded) {
      auto& unit = *inventory.add_units();
      unit.set_name(name);
      unit.set_memory_mb(memory_mb);
      unit.set_loaded(true);
    }
    for (const auto& [name, memory_mb] : m_loading) {
      auto& unit = *inventory.add_units();
      unit.set_name(name);
      unit.set_memory_mb(memory_mb);
    }
    Respond(request.message, SOUP_STATUS_OK, ToJson(inventory));
  }

  void RespondStats(const Request& request) {
    std::string json =
        "{\"runs\":" + std::to_string(m_generation_count) +
        ",\"crashes\":" + std::to_string(m_crash_count) +
        ",\"peak_mb\":" + std::to_string(m_peak_mb) +
        ",\"overcommits\":" + std::to_string(m_overcommit_count) +
        ",\"running\":" + std::to_string(m_generations.size());
    json += ",\"while_down\":" + std::to_string(m_requests_while_down);
    std::int64_t loads = 0;
    for (const auto& [name, count] : m_load_counts)
      loads += count;
    json += ",\"loads\":" + std::to_string(loads) +
            ",\"loaded\":" + std::to_string(m_loaded.size());
    Respond(request.message, SOUP_STATUS_OK, json + "}\n");
  }

  GlibLoop& m_loop;
  StandinOptions m_options;
  SoupSession* m_session;
  std::map<std::string, std::uint64_t> m_loaded;
  std::map<std::string, std::uint64_t> m_loading;
  std::map<std::string, std::int64_t> m_load_counts;
  std::set<std::shared_ptr<Generation>> m_generations;
  std::vector<std::shared_ptr<DeferredResponse>> m_frozen_responses;
  std::uint64_t m_used_mb = 0;
  std::uint64_t m_peak_mb = 0;
  std::uint64_t m_last_fence = 0;
  std::int64_t m_overcommit_count = 0;
  std::int64_t m_generation_count = 0;
  std::int64_t m_crash_count = 0;
  std::int64_t m_incarnation = 1;
  std::int64_t m_requests_while_down = 0;
  bool m_down = false;
  Server m_server;
};

}  // namespace

void RunEngine(GlibLoop& loop, const StandinOptions& options) {
  Engine engine(loop, options);
  loop.Run();
}

}  // namespace boragepick::standin
