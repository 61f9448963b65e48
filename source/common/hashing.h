// Stable hashes: the same on every node and in every release, since duties are
// found by them.
#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace boragepick {

// FNV-1a, finished with the splitmix64 mixer so that all bits are usable.
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

// Rendezvous hashing: the members in the order in which they should carry
// `duty`.
std::vector<std::string> RendezvousOrder(std::string_view duty,
                                         std::span<const std::string> members);

// Lower-case hexadecimal SHA-256 of `data`.
std::string Sha256Hex(std::string_view data);

}  // namespace boragepick
