// The common part of the stand-ins: a small HTTP server in one thread whose
// faults are set over HTTP. Test tools only.
#pragma once

#include <libsoup/soup.h>

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "frontends/glib_task.h"
#include "frontends/settings.h"

namespace boragepick::standin {

// Numbers set by POST /faults?name=value&...; 0 when never set.
class Faults {
 public:
  std::int64_t Get(const std::string& name) const;
  void Set(const std::string& name, std::int64_t value) {
    m_values[name] = value;
  }
  // Counts a fault down; false when it is used up.
  bool Use(const std::string& name);

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
                           std::int64_t otherwise) const;
};

void Respond(SoupServerMessage* message,
             unsigned status,
             const std::string& body);
// Closes the connection without an answer.
void Cut(SoupServerMessage* message);

// An answer that comes later, or piece by piece.
class Deferred {
 public:
  explicit Deferred(SoupServerMessage* message);
  ~Deferred();
  Deferred(const Deferred&) = delete;
  Deferred& operator=(const Deferred&) = delete;

  bool gone() const { return m_gone; }
  void Respond(unsigned status, const std::string& body);
  void StartStream(const char* content_type);
  void Write(const std::string& bytes);
  void End();
  void Cut();

 private:
  static void OnFinished(SoupServerMessage* message, gpointer self);

  SoupServerMessage* m_message;
  gulong m_handler = 0;
  bool m_gone = false;
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
