#include "common/endpoint.h"

#include <charconv>

namespace boragepick {

namespace {

// Removes a decimal number from the start of `text`. Returns nothing if there
// is none that fits, or one with a leading zero.
template <typename Number>
std::optional<Number> TakeNumber(std::string_view& text) {
  Number number = 0;
  const auto [stop, error] =
      std::from_chars(text.data(), text.data() + text.size(), number);
  const auto length = static_cast<std::size_t>(stop - text.data());
  if (error != std::errc{} || (length > 1 && text.front() == '0'))
    return std::nullopt;
  text.remove_prefix(length);
  return number;
}

bool TakeCharacter(std::string_view& text, char expected) {
  if (!text.starts_with(expected))
    return false;
  text.remove_prefix(1);
  return true;
}

bool IsHostAddress(std::string_view ip) {
  // 0 stands for this host, 224 and above for groups and broadcasts.
  constexpr std::uint8_t kMinFirst = 1;
  constexpr std::uint8_t kMaxFirst = 223;
  const auto first = TakeNumber<std::uint8_t>(ip);
  if (!first || *first < kMinFirst || *first > kMaxFirst)
    return false;
  constexpr int kOtherOctets = 3;
  for (int i = 0; i < kOtherOctets; ++i) {
    if (!TakeCharacter(ip, '.') || !TakeNumber<std::uint8_t>(ip))
      return false;
  }
  return ip.empty();
}

}  // namespace

std::optional<Endpoint> ParseHostEndpoint(std::string_view text) {
  const std::size_t colon = text.find(':');
  if (colon == std::string_view::npos)
    return std::nullopt;
  const std::string_view ip = text.substr(0, colon);
  std::string_view rest = text.substr(colon + 1);
  const auto port = TakeNumber<std::uint16_t>(rest);
  if (!port || *port == 0 || !rest.empty() || !IsHostAddress(ip))
    return std::nullopt;
  return Endpoint{.ip = std::string(ip), .port = *port};
}

}  // namespace boragepick
