// Answers the balancer's readiness checks and serves metrics as text.
#pragma once

#include <functional>
#include <string>

#include "frontends/http/http_server.h"

namespace boragepick {

class StatusServer {
 public:
  // Any path is answered with what `body` gives, and with 503 unless `ready`.
  struct Content {
    std::function<bool()> ready;
    std::function<std::string()> body;
  };

  StatusServer(EventLoop& loop, const Endpoint& endpoint, Content content)
      : m_content(std::move(content)),
        m_server(loop,
                 endpoint,
                 ServerLimits{},
                 {.request = [this](ExchangeId id,
                                    const HttpMessage&) { Answer(id); },
                  .gone = [](ExchangeId) {}}) {}

 private:
  void Answer(ExchangeId id) {
    constexpr unsigned kOk = 200;
    constexpr unsigned kUnavailable = 503;
    m_server.Post(ServeWhole{.id = id,
                             .status = m_content.ready() ? kOk : kUnavailable,
                             .fields = {{"Content-Type", "text/plain"}},
                             .body = m_content.body()});
  }

  Content m_content;
  HttpServer m_server;
};

}  // namespace boragepick
