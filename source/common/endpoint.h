// The address of a socket.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace boragepick {

struct Endpoint {
  std::string ip;
  std::uint16_t port = 0;
};

// Returns nothing unless `text` is "ip:port" with the IPv4 address of a single
// host and a port from 1.
std::optional<Endpoint> ParseHostEndpoint(std::string_view text);

}  // namespace boragepick
