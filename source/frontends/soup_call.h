// Asynchronous HTTP calls through libsoup, each with its own timeout and a
// callback for the reply.
#pragma once

#include <libsoup/soup.h>

#include <cstdint>
#include <functional>
#include <string>

namespace boragepick {

// Creates a session that ignores proxies set in the environment and opens at
// most `max_connections`. Connections that are idle for `idle_timeout_seconds`
// are closed.
SoupSession* NewDirectSession(int max_connections,
                              unsigned idle_timeout_seconds);

struct HttpReply {
  // Whether a complete reply was received.
  bool received = false;
  // Whether it is certain that the call did not reach the server.
  bool not_sent = false;
  std::uint32_t status = 0;
  std::string body;
  // The error, if no reply was received.
  std::string detail;
};

struct HttpRequest {
  std::string method = "POST";
  std::string url;
  std::string content_type = "application/json";
  std::string body;
  unsigned timeout_ms = 1000;
  // A larger reply fails the call.
  std::size_t max_reply_bytes = 32 << 20;
  // Allows libsoup to reuse a kept-alive connection, on which it may send the
  // request a second time.
  bool idempotent = false;
};

using HttpReplyHandler = std::function<void(HttpReply)>;

// Must be called in the loop thread of `session`, in which the handler runs,
// too.
void CallHttp(SoupSession* session,
              const HttpRequest& request,
              HttpReplyHandler handler);

// Returns whether `error` means that the call did not reach the server.
bool IsNotSentError(const GError* error);

}  // namespace boragepick
