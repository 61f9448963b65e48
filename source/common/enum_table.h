// Tables that map the values of an enumeration to names and back. A table has
// one row for each value.
#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace boragepick {

template <typename Enum>
struct EnumName {
  Enum value;
  std::string_view name;
};

template <typename Enum, std::size_t kRows>
struct EnumTable {
  std::array<EnumName<Enum>, kRows> rows;

  // Returns the name of `value`, or "unknown" when the table has no row for it.
  constexpr std::string_view Name(Enum value) const {
    for (const EnumName<Enum>& row : rows) {
      if (row.value == value)
        return row.name;
    }
    return "unknown";
  }

  constexpr std::optional<Enum> Find(std::string_view name) const {
    for (const EnumName<Enum>& row : rows) {
      if (row.name == name)
        return row.value;
    }
    return std::nullopt;
  }

  // Returns all names, separated by commas, for error messages.
  std::string Choices() const {
    std::string choices;
    for (const EnumName<Enum>& row : rows) {
      if (!choices.empty())
        choices += ", ";
      choices += row.name;
    }
    return choices;
  }
};

template <typename Enum, std::size_t kRows>
EnumTable(std::array<EnumName<Enum>, kRows>) -> EnumTable<Enum, kRows>;

}  // namespace boragepick
