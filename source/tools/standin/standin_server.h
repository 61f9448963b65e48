// The single-threaded HTTP server of the stand-ins, with faults that are set
// over HTTP. For tests only.
#pragma once

#include <libsoup/soup.h>

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "frontends/glib_task.h"
#include "frontends/settings.h"

namespace boragepick::standin {

// Named numbers set by POST /faults?name=value&...; 0 until set.
class Faults {
 public:
  std::int64_t Get(const std::string& name) const;
  void Set(const std::string& name, std::int64_t value) {
    m_values[name] = value;
  }
  // Decrements a fault's count; returns false if it was 0.
  bool Consume(const std::string& name);

 private:
  std::map<std::string, std::int64_t> m_values;
};

struct Request {
  SoupServerMessage* message = nullptr;
  std::string method;
  std::string path;
  std::map<std::string, std::string> query;
  std::string body;

  std::string Header(const char* name) const;
  std::int64_t QueryNumber(const std::string& name,
                           std::int64_t default_value) const;
};

void Respond(SoupServerMessage* message,
             unsigned status,
             const std::string& body);
// Closes the connection without a response.
void CloseConnection(SoupServerMessage* message);

// A response that is sent later or in parts. Calls have no effect after the
// client has disconnected.
class DeferredResponse {
 public:
  explicit DeferredResponse(SoupServerMessage* message);
  ~DeferredResponse();
  DeferredResponse(const DeferredResponse&) = delete;
  DeferredResponse& operator=(const DeferredResponse&) = delete;

  bool finished() const { return m_finished; }
  void Respond(unsigned status, const std::string& body);
  void StartStream(const char* content_type);
  void Write(const std::string& bytes);
  void End();
  void CloseConnection();

 private:
  static void OnFinished(SoupServerMessage* message, gpointer self);

  SoupServerMessage* m_message;
  gulong m_handler = 0;
  bool m_finished = false;
};

class Server {
 public:
  using Handler = std::function<void(const Request&)>;

  Server(GlibLoop& loop, const Endpoint& endpoint, Handler handler);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  Faults& faults() { return m_faults; }

 private:
  static void OnRequest(SoupServer* server,
                        SoupServerMessage* message,
                        const char* path,
                        GHashTable* query,
                        gpointer self);

  Handler m_handler;
  Faults m_faults;
  SoupServer* m_server;
};

}  // namespace boragepick::standin
