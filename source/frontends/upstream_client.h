// The task that calls the upstream beside an agent: it runs requests, sends
// load and unload orders and reads the inventory. The agent's state machine
// makes all decisions.
#pragma once

#include <libsoup/soup.h>

#include <functional>
#include <map>
#include <string>
#include <variant>

#include "core/agent/agent_messages.h"
#include "frontends/glib_task.h"

namespace boragepick {

using UpstreamMessage = std::variant<StartRun,
                                     CancelUpstreamRun,
                                     ExtendUpstreamRun,
                                     SendOrder,
                                     RequestInventory>;

struct UpstreamOptions {
  std::string url;
  // Whether the upstream is an engine; only engines get the headers for cache,
  // priority and resumption.
  bool is_engine = false;
  unsigned slots = 16;
  unsigned load_timeout_ms = 600'000;
  unsigned inventory_timeout_ms = 1'000;
};

using UpstreamEventHandler = std::function<void(AgentEvent)>;

class UpstreamClient {
 public:
  UpstreamClient(GlibLoop& loop,
                 UpstreamOptions options,
                 UpstreamEventHandler on_event);
  ~UpstreamClient();
  UpstreamClient(const UpstreamClient&) = delete;
  UpstreamClient& operator=(const UpstreamClient&) = delete;

  void Handle(UpstreamMessage message);

 private:
  struct Run {
    UpstreamClient* client = nullptr;
    RunNumber number = 0;
    SoupMessage* message = nullptr;
    GCancellable* cancellable = nullptr;
    GInputStream* stream = nullptr;
    // Bytes received, and the limit beyond which the response isn't read; 0
    // for no limit.
    std::uint64_t received = 0;
    std::uint64_t response_limit = 0;
    // No read is pending until the limit is raised.
    bool is_paused = false;
  };

  void On(const StartRun& message);
  void On(const CancelUpstreamRun& message);
  void On(const ExtendUpstreamRun& message);
  void On(const SendOrder& message);
  void On(const RequestInventory& message);

  static void OnHead(GObject* session, GAsyncResult* result, gpointer data);
  static void OnBytes(GObject* stream, GAsyncResult* result, gpointer data);
  // Reads on, unless the response has reached its limit.
  void ContinueReading(Run* run);
  void ReadNextChunk(Run* run);
  void CompleteRun(Run* run, UpstreamEnd end, const std::string& detail);

  UpstreamOptions m_options;
  UpstreamEventHandler m_on_event;
  SoupSession* m_session;
  std::map<RunNumber, Run*> m_runs;
};

}  // namespace boragepick
