// Hashes that are the same on every node and in every release, because nodes
// use them to agree on the owners of work and data.
#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace boragepick {

// FNV-1a, followed by the splitmix64 finalizer so that all bits are well mixed.
constexpr std::uint64_t StableHash(std::string_view text,
                                   std::uint64_t seed = 0) {
  std::uint64_t hash = 0xcbf29ce484222325ULL ^ seed;
  for (const char c : text) {
    hash ^= static_cast<unsigned char>(c);
    hash *= 0x100000001b3ULL;
  }
  hash ^= hash >> 30;
  hash *= 0xbf58476d1ce4e5b9ULL;
  hash ^= hash >> 27;
  hash *= 0x94d049bb133111ebULL;
  return hash ^ (hash >> 31);
}

// Rendezvous hashing: returns the members in order of preference for `key`, the
// most preferred first.
std::vector<std::string> RendezvousOrder(std::string_view key,
                                         std::span<const std::string> members);

// Returns the number in lower-case hexadecimal, without leading zeros.
std::string HexNumber(std::uint64_t number);

// Returns the SHA-256 of `data` in lower-case hexadecimal.
std::string Sha256Hex(std::string_view data);

}  // namespace boragepick
