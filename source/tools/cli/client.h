// A blocking HTTP client for the command-line tools.
#pragma once

#include <libsoup/soup.h>

#include <functional>
#include <string>
#include <vector>

namespace boragepick {

struct ClientReply {
  unsigned status = 0;
  std::string body;
};

struct ClientHeader {
  std::string name;
  std::string value;
};

struct ClientCall {
  std::string method = "GET";
  std::string url;
  std::vector<ClientHeader> headers;
  std::string body;
  // Uses a kept connection, on which the library may send the call again.
  bool repeatable = false;
};

class Client {
 public:
  explicit Client(unsigned timeout_seconds);
  ~Client();
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  // Throws Error at Step::kCallRouter when no answer comes.
  ClientReply Call(const ClientCall& call);
  // Hands the body on as it comes; returns the status.
  unsigned Stream(const ClientCall& call,
                  const std::function<void(std::string_view)>& on_bytes);

 private:
  SoupSession* m_session;
};

}  // namespace boragepick
