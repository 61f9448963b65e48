#include "frontends/settings.h"

#include <glib.h>

#include <charconv>
#include <fstream>
#include <map>
#include <memory>
#include <set>
#include <sstream>

#include "common/error.h"
#include "core/roster/roster_entry.h"

namespace boragepick {

namespace {

struct KeyFileCloser {
  void operator()(GKeyFile* file) const { g_key_file_free(file); }
};
using KeyFile = std::unique_ptr<GKeyFile, KeyFileCloser>;

struct StringFreer {
  void operator()(gchar* text) const { g_free(text); }
};
using OwnedString = std::unique_ptr<gchar, StringFreer>;

constexpr std::size_t kSha256HexLength = 64;
constexpr std::size_t kCurveKeyLength = 40;

// One declared setting, whatever its type.
struct Declared {
  std::string section;
  std::string key;
  std::string default_text;
  std::string help;
};

Declared Describe(const TextSetting& setting) {
  return {std::string(setting.section), std::string(setting.key),
          std::string(setting.default_value), std::string(setting.help)};
}

Declared Describe(const FlagSetting& setting) {
  return {std::string(setting.section), std::string(setting.key),
          setting.default_value ? "true" : "false", std::string(setting.help)};
}

Declared Describe(const NumberSetting& setting) {
  return {std::string(setting.section), std::string(setting.key),
          std::to_string(setting.default_value), std::string(setting.help)};
}

// Reads one file; remembers what was declared and collects faults.
class Reader {
 public:
  Reader(const std::string& text, std::string file)
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

  std::string Text(const TextSetting& setting) {
    Declare(Describe(setting));
    const std::optional<std::string> value =
        Value(setting.section, setting.key);
    if (!value && setting.required)
      Fault(setting.section, setting.key,
            "is missing; expected " + std::string(setting.help));
    return value.value_or(std::string(setting.default_value));
  }

  bool Flag(const FlagSetting& setting) {
    Declare(Describe(setting));
    const std::optional<std::string> value =
        Value(setting.section, setting.key);
    if (!value)
      return setting.default_value;
    if (*value != "true" && *value != "false")
      Fault(setting.section, setting.key,
            "is '" + *value + "'; expected true or false");
    return *value == "true";
  }

  std::int64_t Number(const NumberSetting& setting) {
    Declare(Describe(setting));
    const std::optional<std::string> value =
        Value(setting.section, setting.key);
    if (!value)
      return setting.default_value;
    std::int64_t number = 0;
    const char* end = value->data() + value->size();
    const auto [stop, error] = std::from_chars(value->data(), end, number);
    const bool valid = error == std::errc{} && stop == end &&
                       number >= setting.lowest && number <= setting.highest;
    if (!valid) {
      Fault(setting.section, setting.key,
            "is '" + *value + "'; expected a whole number from " +
                std::to_string(setting.lowest) + " to " +
                std::to_string(setting.highest));
    }
    return number;
  }

  void Check(bool holds,
             std::string_view section,
             std::string_view key,
             const std::string& expected) {
    if (!holds)
      Fault(section, key, "expected " + expected);
  }

  // Faults everything in the file that was not declared.
  void CheckUnknown() {
    gsize section_count = 0;
    gchar** sections = g_key_file_get_groups(m_key_file.get(), &section_count);
    for (gsize i = 0; i < section_count; ++i)
      CheckSection(sections[i]);
    g_strfreev(sections);
  }

  void ThrowFaults() const {
    if (!m_faults.empty())
      throw Error(Step::kSettings, m_file, m_faults);
  }

  const std::vector<Declared>& declared() const { return m_declared; }

 private:
  void Declare(Declared declared) {
    m_known[declared.section].insert(declared.key);
    m_declared.push_back(std::move(declared));
  }

  std::optional<std::string> Value(std::string_view section,
                                   std::string_view key) const {
    const OwnedString value(
        g_key_file_get_string(m_key_file.get(), std::string(section).c_str(),
                              std::string(key).c_str(), nullptr));
    if (!value)
      return std::nullopt;
    return std::string(value.get());
  }

  void CheckSection(const std::string& section) {
    const auto known = m_known.find(section);
    if (known == m_known.end()) {
      Fault(section, "",
            "is not a known section; expected one of " + Sections());
      return;
    }
    gsize key_count = 0;
    gchar** keys = g_key_file_get_keys(m_key_file.get(), section.c_str(),
                                       &key_count, nullptr);
    for (gsize i = 0; i < key_count; ++i) {
      if (!known->second.contains(keys[i]))
        Fault(section, keys[i],
              "is not a known key; expected one of " + Join(known->second));
    }
    g_strfreev(keys);
  }

  std::string Sections() const {
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

  // Where the key stands, or its section, or the end of the file.
  int LineOf(std::string_view section, std::string_view key) const {
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

  void Fault(std::string_view section,
             std::string_view key,
             const std::string& what) {
    if (!m_faults.empty())
      m_faults += '\n';
    m_faults += m_file + ":" + std::to_string(LineOf(section, key)) + ": [" +
                std::string(section) + "] " + std::string(key) +
                (key.empty() ? "" : " ") + what;
  }

  const std::string& m_text;
  std::string m_file;
  KeyFile m_key_file;
  std::map<std::string, std::set<std::string>> m_known;
  std::vector<Declared> m_declared;
  std::string m_faults;
};

std::vector<std::string> SplitList(const std::string& text) {
  std::vector<std::string> parts;
  std::istringstream stream(text);
  std::string part;
  while (std::getline(stream, part, ',')) {
    const std::size_t first = part.find_first_not_of(' ');
    if (first == std::string::npos)
      continue;
    parts.push_back(part.substr(first, part.find_last_not_of(' ') - first + 1));
  }
  return parts;
}

bool IsEndpoint(const std::string& text) {
  try {
    ParseEndpoint(text);
    return true;
  } catch (const Error&) {
    return false;
  }
}

bool IsUrl(const std::string& text) {
  return text.starts_with("http://") || text.starts_with("https://");
}

DaemonSettings ReadAll(Reader& reader) {
  using namespace settings;
  return {.role = reader.Text(kRole),
          .vm = reader.Text(kVm),
          .data_centre = reader.Text(kDataCentre),
          .peer_endpoint = reader.Text(kPeerEndpoint),
          .seeds = SplitList(reader.Text(kSeeds)),
          .curve_public_key = reader.Text(kCurvePublicKey),
          .curve_secret_key = reader.Text(kCurveSecretKey),
          .http_endpoint = reader.Text(kHttpEndpoint),
          .max_body_bytes = reader.Number(kMaxBodyBytes),
          .default_patience_ms = reader.Number(kDefaultPatienceMs),
          .operator_token_sha256 = reader.Text(kOperatorTokenSha256),
          .platform_url = reader.Text(kPlatformUrl),
          .vm_list_url = reader.Text(kVmListUrl),
          .platform_timeout_ms = reader.Number(kPlatformTimeoutMs),
          .upstream_url = reader.Text(kUpstreamUrl),
          .upstream_pool = reader.Text(kUpstreamPool),
          .upstream_memory_mb = reader.Number(kUpstreamMemoryMb),
          .upstream_slots = reader.Number(kUpstreamSlots),
          .upstream_max_waiting = reader.Number(kUpstreamMaxWaiting),
          .upstream_progress_ms = reader.Number(kUpstreamProgressMs),
          .load_timeout_ms = reader.Number(kLoadTimeoutMs),
          .drain_grace_ms = reader.Number(kDrainGraceMs),
          .log_file = reader.Text(kLogFile),
          .log_decisions = reader.Flag(kLogDecisions)};
}

void CheckWhole(Reader& reader, const DaemonSettings& values) {
  const auto role = kNodeRoleNames.Find(values.role);
  reader.Check(role.has_value(), "node", "role",
               "one of " + kNodeRoleNames.Choices());
  reader.Check(IsEndpoint(values.peer_endpoint), "peers", "endpoint",
               "ip:port");
  reader.Check(IsEndpoint(values.http_endpoint), "http", "endpoint", "ip:port");
  for (const std::string& seed : values.seeds)
    reader.Check(IsEndpoint(seed), "peers", "seeds",
                 "a list of ip:port, found '" + seed + "'");
  const bool keys_match =
      values.curve_public_key.empty() == values.curve_secret_key.empty();
  reader.Check(keys_match, "peers", "curve_secret_key",
               "both CURVE keys or none");
  const bool key_length = values.curve_public_key.empty() ||
                          (values.curve_public_key.size() == kCurveKeyLength &&
                           values.curve_secret_key.size() == kCurveKeyLength);
  reader.Check(key_length, "peers", "curve_public_key",
               "keys of 40 characters in Z85");
  const std::size_t token = values.operator_token_sha256.size();
  reader.Check(token == 0 || token == kSha256HexLength, "http",
               "operator_token_sha256", "64 hexadecimal digits");
  if (role == NodeRole::kRouter) {
    reader.Check(IsUrl(values.platform_url), "platform", "key_value_url",
                 "an http:// URL");
    reader.Check(IsUrl(values.vm_list_url), "platform", "vm_list_url",
                 "an http:// URL");
  }
  if (role == NodeRole::kAgent) {
    reader.Check(IsUrl(values.upstream_url), "upstream", "url",
                 "an http:// URL");
    const bool sized =
        values.upstream_pool != "models" || values.upstream_memory_mb > 0;
    reader.Check(sized, "upstream", "memory_mb",
                 "the engine's memory, at least 1");
  }
}

}  // namespace

DaemonSettings ParseSettings(const std::string& text, const std::string& file) {
  Reader reader(text, file);
  DaemonSettings values = ReadAll(reader);
  reader.CheckUnknown();
  CheckWhole(reader, values);
  reader.ThrowFaults();
  return values;
}

DaemonSettings ReadSettings(const std::string& file) {
  std::ifstream stream(file);
  if (!stream)
    throw Error(Step::kReadFile, file, "can't be opened");
  std::ostringstream text;
  text << stream.rdbuf();
  return ParseSettings(text.str(), file);
}

std::string DefaultSettingsText() {
  const std::string nothing;
  Reader reader(nothing, "defaults");
  ReadAll(reader);
  std::string text;
  std::string section;
  for (const Declared& declared : reader.declared()) {
    if (declared.section != section) {
      section = declared.section;
      text += (text.empty() ? "[" : "\n[") + section + "]\n";
    }
    text += "# " + declared.help + "\n" + declared.key + " = " +
            declared.default_text + "\n";
  }
  return text;
}

Endpoint ParseEndpoint(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  std::uint16_t port = 0;
  if (colon == std::string::npos || colon == 0)
    throw Error(Step::kSettings, text, "expected ip:port");
  const char* end = text.data() + text.size();
  const auto [stop, error] =
      std::from_chars(text.data() + colon + 1, end, port);
  if (error != std::errc{} || stop != end || port == 0)
    throw Error(Step::kSettings, text, "expected a port from 1 to 65535");
  return {.ip = text.substr(0, colon), .port = port};
}

}  // namespace boragepick
