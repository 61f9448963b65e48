// Reads the settings in an INI file. Everything in the file that is not a
// declared setting is an error, and all errors are reported together.
#pragma once

#include <glib.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdlib>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <string_view>
#include <vector>

#include "common/error.h"
#include "frontends/settings.h"

namespace boragepick {

struct KeyFileDeleter {
  void operator()(GKeyFile* file) const { g_key_file_free(file); }
};
using KeyFile = std::unique_ptr<GKeyFile, KeyFileDeleter>;

struct GStringDeleter {
  void operator()(gchar* text) const { g_free(text); }
};
using GStringPtr = std::unique_ptr<gchar, GStringDeleter>;

inline std::string FormatDecimal(double number) {
  std::ostringstream text;
  text << number;
  return text.str();
}

// A declared setting of any type, as it appears in a settings file.
struct DeclaredSetting {
  std::string section;
  // Empty for a section whose keys the file chooses.
  std::string key = {};
  std::string default_text = {};
  std::string help;
};

inline DeclaredSetting ToDeclaredSetting(const TextSetting& setting) {
  return {std::string(setting.section), std::string(setting.key),
          std::string(setting.default_value), std::string(setting.help)};
}

inline DeclaredSetting ToDeclaredSetting(const FlagSetting& setting) {
  return {std::string(setting.section), std::string(setting.key),
          setting.default_value ? "true" : "false", std::string(setting.help)};
}

inline DeclaredSetting ToDeclaredSetting(const NumberSetting& setting) {
  return {std::string(setting.section), std::string(setting.key),
          std::to_string(setting.default_value), std::string(setting.help)};
}

inline DeclaredSetting ToDeclaredSetting(const LimitSetting& setting) {
  return {std::string(setting.section), std::string(setting.key),
          std::to_string(setting.default_value), std::string(setting.help)};
}

inline DeclaredSetting ToDeclaredSetting(const DecimalSetting& setting) {
  return {std::string(setting.section), std::string(setting.key),
          FormatDecimal(setting.default_value), std::string(setting.help)};
}

// A limit that is used with another value than the file has.
struct AdjustedSetting {
  // "section.key".
  std::string name;
  std::string given;
  std::int64_t used = 0;
};

// Reads one file and collects its errors. Each setting that is read counts as
// declared.
class SettingsReader {
 public:
  SettingsReader(const std::string& text, std::string file)
      : m_text(text), m_file(std::move(file)), m_key_file(g_key_file_new()) {
    GError* error = nullptr;
    if (g_key_file_load_from_data(m_key_file.get(), text.data(), text.size(),
                                  G_KEY_FILE_NONE, &error))
      return;
    const std::string message = error->message;
    g_error_free(error);
    throw Error(Step::kSettings, m_file,
                m_file + ":1: not an INI file: " + message);
  }

  const std::string& file() const { return m_file; }

  std::string ReadText(const TextSetting& setting) {
    Declare(ToDeclaredSetting(setting));
    const std::optional<std::string> value =
        FindValue(setting.section, setting.key);
    if (!value && setting.required)
      AddError(setting.section, setting.key,
               "is missing; expected " + std::string(setting.help));
    return value.value_or(std::string(setting.default_value));
  }

  bool ReadFlag(const FlagSetting& setting) {
    Declare(ToDeclaredSetting(setting));
    const std::optional<std::string> value =
        FindValue(setting.section, setting.key);
    if (!value)
      return setting.default_value;
    if (*value != "true" && *value != "false")
      AddError(setting.section, setting.key,
               "is '" + *value + "'; expected true or false");
    return *value == "true";
  }

  std::int64_t ReadNumber(const NumberSetting& setting) {
    Declare(ToDeclaredSetting(setting));
    const std::optional<std::string> value =
        FindValue(setting.section, setting.key);
    if (!value)
      return setting.default_value;
    std::int64_t number = 0;
    const char* end = value->data() + value->size();
    const auto [stop, error] = std::from_chars(value->data(), end, number);
    const bool valid = error == std::errc{} && stop == end &&
                       number >= setting.min_value &&
                       number <= setting.max_value;
    if (!valid) {
      AddError(setting.section, setting.key,
               "is '" + *value + "'; expected a whole number from " +
                   std::to_string(setting.min_value) + " to " +
                   std::to_string(setting.max_value));
    }
    return number;
  }

  std::int64_t ReadLimit(const LimitSetting& setting) {
    Declare(ToDeclaredSetting(setting));
    const std::optional<std::string> value =
        FindValue(setting.section, setting.key);
    if (!value)
      return setting.default_value;
    if (value->empty())
      return Adjust(setting, *value, setting.default_value);
    const std::optional<double> number =
        ParseLimit(setting.section, setting.key, *value);
    if (!number)
      return setting.default_value;
    // Both limits of a range are exact as `double`.
    const double used =
        std::clamp(std::floor(*number), static_cast<double>(setting.min_value),
                   static_cast<double>(setting.max_value));
    const auto limit = static_cast<std::int64_t>(used);
    return used == *number ? limit : Adjust(setting, *value, limit);
  }

  double ReadDecimal(const DecimalSetting& setting) {
    Declare(ToDeclaredSetting(setting));
    const std::optional<std::string> value =
        FindValue(setting.section, setting.key);
    // A limit that the platform doesn't have is no adjustment.
    if (!value || value->empty())
      return setting.default_value;
    const std::optional<double> number =
        ParseLimit(setting.section, setting.key, *value);
    if (!number)
      return setting.default_value;
    const double used =
        std::clamp(*number, setting.min_value, setting.max_value);
    if (used != *number)
      Adjust(setting, *value, static_cast<std::int64_t>(used));
    return used;
  }

  // Returns the values of all keys in the section.
  std::map<std::string, std::string> ReadTable(const TableSetting& setting) {
    const std::string section(setting.section);
    m_known[section];
    m_declared.push_back(
        {.section = section, .help = std::string(setting.help)});
    std::map<std::string, std::string> table;
    gsize key_count = 0;
    gchar** keys = g_key_file_get_keys(m_key_file.get(), section.c_str(),
                                       &key_count, nullptr);
    for (gsize i = 0; i < key_count; ++i) {
      m_known[section].insert(keys[i]);
      table[keys[i]] = FindValue(section, keys[i]).value_or("");
    }
    g_strfreev(keys);
    return table;
  }

  void Check(bool valid,
             std::string_view section,
             std::string_view key,
             const std::string& expected) {
    if (!valid)
      AddError(section, key, "expected " + expected);
  }

  // Adds an error for each section and key in the file that was not declared.
  void CheckUnknown() {
    gsize section_count = 0;
    gchar** sections = g_key_file_get_groups(m_key_file.get(), &section_count);
    for (gsize i = 0; i < section_count; ++i)
      CheckSection(sections[i]);
    g_strfreev(sections);
  }

  void ThrowIfInvalid() const {
    if (!m_errors.empty())
      throw Error(Step::kSettings, m_file, m_errors);
  }

  const std::vector<DeclaredSetting>& declared() const { return m_declared; }
  const std::vector<AdjustedSetting>& adjusted() const { return m_adjusted; }

 private:
  // Returns the value of a number that from_chars() could not represent.
  static double OutOfRangeValue(const std::string& text) {
    const double magnitude = text.find("e-") != std::string::npos ||
                                     text.find("E-") != std::string::npos
                                 ? 0
                                 : std::numeric_limits<double>::infinity();
    return text.starts_with('-') ? -magnitude : magnitude;
  }

  // Returns the number, or adds an error.
  std::optional<double> ParseLimit(std::string_view section,
                                   std::string_view key,
                                   const std::string& value) {
    double number = 0;
    const char* end = value.data() + value.size();
    const auto [stop, error] = std::from_chars(value.data(), end, number);
    // A number beyond the range of `double` is either huge or nearly zero.
    const bool out_of_range = error == std::errc::result_out_of_range;
    const bool valid = stop == end && (error == std::errc{} || out_of_range) &&
                       !std::isnan(number);
    if (!valid) {
      AddError(section, key, "is '" + value + "'; expected a number");
      return std::nullopt;
    }
    return out_of_range ? OutOfRangeValue(value) : number;
  }

  template <typename Setting>
  std::int64_t Adjust(const Setting& setting,
                      const std::string& given,
                      std::int64_t used) {
    m_adjusted.push_back(
        {.name = std::string(setting.section) + "." + std::string(setting.key),
         .given = given,
         .used = used});
    return used;
  }

  void Declare(DeclaredSetting declared) {
    m_known[declared.section].insert(declared.key);
    m_declared.push_back(std::move(declared));
  }

  std::optional<std::string> FindValue(std::string_view section,
                                       std::string_view key) const {
    const GStringPtr value(
        g_key_file_get_string(m_key_file.get(), std::string(section).c_str(),
                              std::string(key).c_str(), nullptr));
    if (!value)
      return std::nullopt;
    return std::string(value.get());
  }

  void CheckSection(const std::string& section) {
    const auto known = m_known.find(section);
    if (known == m_known.end()) {
      AddError(section, "",
               "is not a known section; expected one of " + SectionNames());
      return;
    }
    gsize key_count = 0;
    gchar** keys = g_key_file_get_keys(m_key_file.get(), section.c_str(),
                                       &key_count, nullptr);
    for (gsize i = 0; i < key_count; ++i) {
      if (!known->second.contains(keys[i]))
        AddError(section, keys[i],
                 "is not a known key; expected one of " + Join(known->second));
    }
    g_strfreev(keys);
  }

  std::string SectionNames() const {
    std::set<std::string> names;
    for (const auto& [section, keys] : m_known)
      names.insert(section);
    return Join(names);
  }

  static std::string Join(const std::set<std::string>& names) {
    std::string joined;
    for (const std::string& name : names)
      joined += (joined.empty() ? "" : ", ") + name;
    return joined;
  }

  // Returns the line of the key, else that of its section, else the last line.
  int FindLine(std::string_view section, std::string_view key) const {
    std::istringstream lines(m_text);
    std::string line;
    int number = 0;
    int section_line = 0;
    while (std::getline(lines, line)) {
      ++number;
      if (line.starts_with("[" + std::string(section) + "]"))
        section_line = number;
      else if (line.starts_with('['))
        section_line = section_line > 0 ? -section_line : 0;
      const bool here = section_line > 0 && !key.empty() &&
                        line.starts_with(key) &&
                        line.find('=') != std::string::npos;
      const std::string name = line.substr(0, line.find_first_of(" ="));
      if (here && name == key)
        return number;
    }
    return section_line != 0 ? std::abs(section_line) : number;
  }

  void AddError(std::string_view section,
                std::string_view key,
                const std::string& problem) {
    if (!m_errors.empty())
      m_errors += '\n';
    m_errors += m_file + ":" + std::to_string(FindLine(section, key)) + ": [" +
                std::string(section) + "] " + std::string(key) +
                (key.empty() ? "" : " ") + problem;
  }

  const std::string& m_text;
  std::string m_file;
  KeyFile m_key_file;
  std::map<std::string, std::set<std::string>> m_known;
  std::vector<DeclaredSetting> m_declared;
  std::vector<AdjustedSetting> m_adjusted;
  std::string m_errors;
};

// Returns a commented settings file with the defaults of `all`.
inline std::string FormatDefaultSettings(
    const std::vector<DeclaredSetting>& all) {
  std::string text;
  std::string section;
  for (const DeclaredSetting& declared : all) {
    if (declared.section != section) {
      section = declared.section;
      text += (text.empty() ? "[" : "\n[") + section + "]\n";
    }
    text += "# " + declared.help + "\n";
    if (!declared.key.empty())
      text += declared.key + " = " + declared.default_text + "\n";
  }
  return text;
}

}  // namespace boragepick
