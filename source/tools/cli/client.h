// A blocking HTTP client for the command-line tool, the end-to-end tests and
// the benchmarks.
#pragma once

#include <libsoup/soup.h>

#include <functional>
#include <string>
#include <vector>

namespace boragepick {

struct ClientResponse {
  unsigned status = 0;
  std::string body;
};

struct ClientHeader {
  std::string name;
  std::string value;
};

struct ClientRequest {
  std::string method = "GET";
  std::string url;
  std::vector<ClientHeader> headers;
  std::string body;
  // Allows libsoup to reuse a persistent connection and to send the request
  // again if that connection breaks.
  bool idempotent = false;
};

class Client {
 public:
  explicit Client(unsigned timeout_seconds);
  ~Client();
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  // Both throw Error at Step::kCallRouter if the response is not received
  // completely.
  ClientResponse Send(const ClientRequest& request);
  // Passes the body to `on_bytes` as it is received; returns the status.
  unsigned Stream(const ClientRequest& request,
                  const std::function<void(std::string_view)>& on_bytes);

 private:
  SoupSession* m_session;
};

}  // namespace boragepick
