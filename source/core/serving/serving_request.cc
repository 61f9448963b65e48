#include "core/serving/serving_request.h"

#include <array>
#include <charconv>

namespace boragepick {

std::string PromptPartName(PromptPartId id) {
  std::array<char, 16> digits{};
  const auto end =
      std::to_chars(digits.data(), digits.data() + digits.size(), id, 16).ptr;
  return {digits.data(), end};
}

}  // namespace boragepick
