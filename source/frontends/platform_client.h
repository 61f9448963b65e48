// The task that calls the platform: the key-value service and the VM list. It
// carries out calls and reports their outcomes; the router's state machine
// makes all decisions.
#pragma once

#include <libsoup/soup.h>

#include <functional>
#include <string>
#include <variant>

#include "core/router/router_messages.h"
#include "frontends/glib_task.h"
#include "frontends/soup_call.h"

namespace boragepick {

using PlatformMessage = std::variant<WriteRecord,
                                     DeleteRecord,
                                     ReadIdempotencyPage,
                                     ReadResource,
                                     StartWatch,
                                     StopWatch,
                                     ProbeFeed,
                                     PollVmList>;

struct PlatformOptions {
  std::string key_value_url;
  std::string vm_list_url;
  unsigned timeout_ms = 1000;
};

struct PlatformCallbacks {
  std::function<void(RouterEvent)> event;
  std::function<void(LogRecord)> log;
};

class PlatformClient {
 public:
  PlatformClient(GlibLoop& loop,
                 PlatformOptions options,
                 PlatformCallbacks callbacks);
  ~PlatformClient();
  PlatformClient(const PlatformClient&) = delete;
  PlatformClient& operator=(const PlatformClient&) = delete;

  void Handle(PlatformMessage message);

 private:
  void On(const WriteRecord& message);
  void On(const DeleteRecord& message);
  void On(const ReadIdempotencyPage& message);
  void On(const ReadResource& message);
  void On(const StartWatch& message);
  void On(const StopWatch& message);
  void On(const ProbeFeed& message);
  void On(const PollVmList& message);

  void SendCall(const char* path, std::string body, HttpReplyHandler handler);
  void SendTxn(std::uint64_t call, std::string body);
  // Calls `decode` with the body of a successful reply. Returns false, and
  // reports the failure, if there is none or if `decode` throws Error.
  template <typename Decode>
  bool TryDecode(const HttpReply& reply, Decode decode);
  void ReportFailure(const std::string& detail);

  void ReadSnapshot(std::uint64_t generation);
  void OpenWatch(std::uint64_t generation, Revision start_revision);
  void HandleWatchFailure(std::uint64_t generation, const std::string& detail);
  void ReadNextLine(std::uint64_t generation);
  void HandleLine(const std::string& line);
  void CloseWatch();
  static void OnWatchOpened(GObject* session,
                            GAsyncResult* result,
                            gpointer data);
  static void OnLine(GObject* stream, GAsyncResult* result, gpointer data);

  GlibLoop& m_loop;
  PlatformOptions m_options;
  PlatformCallbacks m_callbacks;
  SoupSession* m_session;
  SoupSession* m_watch_session;
  // Incremented whenever a watch is closed, to ignore replies that belong to an
  // earlier one.
  std::uint64_t m_generation = 0;
  GCancellable* m_watch_cancellable = nullptr;
  GDataInputStream* m_watch_stream = nullptr;
  bool m_reachable = true;
};

}  // namespace boragepick
