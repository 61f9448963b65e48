// A small HTTP server for the load balancer's readiness checks and for metrics.
#pragma once

#include <functional>
#include <string>

#include "frontends/http/http_server.h"

namespace boragepick {

class StatusServer {
 public:
  // Every request gets the response body that `body` returns, whatever its
  // path, with status 200 if `ready` returns true and 503 otherwise.
  struct Content {
    std::function<bool()> ready;
    std::function<std::string()> body;
  };

  StatusServer(EventLoop& loop, const Endpoint& endpoint, Content content)
      : m_content(std::move(content)),
        m_server(loop,
                 endpoint,
                 ServerLimits{},
                 {.on_request = [this](ExchangeId id,
                                       const HttpMessage&) { Respond(id); },
                  .on_disconnected = [](ExchangeId, ConnectionEnd) {}}) {}

 private:
  void Respond(ExchangeId id) {
    constexpr unsigned kOk = 200;
    constexpr unsigned kUnavailable = 503;
    m_server.Post(
        SendHttpResponse{.id = id,
                         .status = m_content.ready() ? kOk : kUnavailable,
                         .fields = {{"Content-Type", "text/plain"}},
                         .body = m_content.body()});
  }

  Content m_content;
  HttpServer m_server;
};

}  // namespace boragepick
