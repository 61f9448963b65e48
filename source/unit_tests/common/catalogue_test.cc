// The documented log events and refusal codes match the code. Also tests log
// line formatting and Summary.

#include <gtest/gtest.h>

#include <fstream>
#include <sstream>
#include <string>

#include "common/log_event.h"
#include "common/summary.h"
#include "core/scheduling/request.h"

namespace boragepick {
namespace {

std::string ReadPage(const std::string& name) {
  std::ifstream stream(std::string(SOURCE_FOLDER) + "/docs/" + name);
  std::ostringstream text;
  text << stream.rdbuf();
  return text.str();
}

TEST(EventCatalogue, DocumentationMatchesCode) {
  const std::string page = ReadPage("EVENTS.md");
  std::size_t rows = 0;
  for (const LogEventRow& row : LogEventCatalogue()) {
    std::ostringstream line;
    line << "| " << static_cast<int>(row.event) << " | "
         << kLogLevelNames.Name(row.level) << " | "
         << kLogCategoryNames.Name(row.category) << " | " << row.name << " | "
         << row.description << " |\n";
    EXPECT_NE(page.find(line.str()), std::string::npos) << line.str();
    ++rows;
  }
  std::istringstream lines(page);
  std::size_t documented = 0;
  for (std::string line; std::getline(lines, line);)
    documented += line.size() > 2 && line[0] == '|' &&
                          std::isdigit(static_cast<unsigned char>(line[2]))
                      ? 1
                      : 0;
  EXPECT_EQ(documented, rows);
}

TEST(Interfaces, EveryRefusalCodeIsDocumented) {
  const std::string page = ReadPage("INTERFACES.md");
  for (int code = 0; code <= static_cast<int>(RefusalCode::kKeyRevoked);
       ++code) {
    const RefusalCodeRow& row = RefusalInfo(static_cast<RefusalCode>(code));
    const std::string cell = "| `" + std::string(row.name) + "` | " +
                             std::to_string(row.http_status) + " |";
    EXPECT_NE(page.find(cell), std::string::npos) << cell;
  }
}

TEST(LogLine, RecordIsFormattedAsOneLine) {
  const std::string line =
      FormatLogRecord({.event = LogEvent::kRequestRouted,
                       .fields = {{"agent", "w1"}, {"why", "a\nb \"c\""}}});
  EXPECT_EQ(line,
            "E0201 routing request_routed agent=w1 why=\"a b \\\"c\\\"\"");
}

TEST(Summary, EstimatesQuantiles) {
  Summary summary;
  for (int i = 1; i <= 10'000; ++i)
    summary.Add(i * 7919 % 10'000);
  EXPECT_NEAR(summary.Quantile(0), 5000, 100);
  EXPECT_NEAR(summary.Quantile(2), 9900, 100);
}

}  // namespace
}  // namespace boragepick
