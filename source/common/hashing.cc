#include "common/hashing.h"

#include <glib.h>

#include <algorithm>
#include <array>
#include <charconv>

namespace boragepick {

namespace {

struct WeightedMember {
  std::uint64_t weight;
  const std::string* member;
};

bool HasHigherWeight(const WeightedMember& left, const WeightedMember& right) {
  if (left.weight != right.weight)
    return left.weight > right.weight;
  return *left.member < *right.member;
}

}  // namespace

std::string HexNumber(std::uint64_t number) {
  std::array<char, 16> digits{};
  const auto end =
      std::to_chars(digits.data(), digits.data() + digits.size(), number, 16)
          .ptr;
  return {digits.data(), end};
}

std::vector<std::string> RendezvousOrder(std::string_view key,
                                         std::span<const std::string> members) {
  const std::uint64_t seed = StableHash(key);
  std::vector<WeightedMember> ranked;
  ranked.reserve(members.size());
  for (const std::string& member : members)
    ranked.push_back({.weight = StableHash(member, seed), .member = &member});
  std::ranges::sort(ranked, HasHigherWeight);
  std::vector<std::string> order;
  order.reserve(ranked.size());
  for (const WeightedMember& entry : ranked)
    order.push_back(*entry.member);
  return order;
}

std::string Sha256Hex(std::string_view data) {
  gchar* digest = g_compute_checksum_for_data(
      G_CHECKSUM_SHA256, reinterpret_cast<const guchar*>(data.data()),
      data.size());
  std::string hex(digest);
  g_free(digest);
  return hex;
}

}  // namespace boragepick
