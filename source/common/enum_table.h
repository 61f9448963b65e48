// Tables of names for enumerations: one row for each value, usable in both
// directions.
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

  // The name of `value`; "unknown" when the table has no row for it.
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

  // All names, comma separated, for error messages.
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
