// One HTTP call through libsoup with a time limit of its own, as an owned
// callback. Used by the tasks that talk to the platform and to upstreams.
#pragma once

#include <libsoup/soup.h>

#include <cstdint>
#include <functional>
#include <string>

namespace boragepick {

// A session that connects directly, whatever proxy the environment names, and
// keeps at most `connections` open; idle ones are closed after `idle_seconds`.
SoupSession* NewDirectSession(int connections, unsigned idle_seconds);

struct HttpReply {
  // Whether a whole answer came.
  bool answered = false;
  // Whether the other end can't have seen the call.
  bool not_sent = false;
  std::uint32_t status = 0;
  std::string body;
  // What went wrong without an answer.
  std::string detail;
};

struct HttpRequest {
  std::string method = "POST";
  std::string url;
  std::string content_type = "application/json";
  std::string body;
  unsigned timeout_ms = 1000;
  // A read: it may use a kept connection, on which it might be sent again.
  bool repeatable = false;
};

using HttpReplyHandler = std::function<void(HttpReply)>;

// Must be called in the loop thread of `session`; the handler runs there, too.
void CallHttp(SoupSession* session,
              const HttpRequest& request,
              HttpReplyHandler handler);

// Whether `error` says that nothing reached the other end.
bool MeansNotSent(const GError* error);

}  // namespace boragepick
