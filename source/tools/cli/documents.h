// What the command-line tool reads and prints.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "wire/generated/boragepick.pb.h"

namespace boragepick {

// The JSON documents in `text`, one after another. Throws Error at
// Step::kDecodeDocument for text outside of them.
std::vector<std::string> SplitDocuments(std::string_view text);

// The message of a router's refusal.
std::string ErrorText(const std::string& body);

void PrintResources(const wire::ResourceDocuments& documents);
// Prints what differs from `shown`; returns what is shown now.
std::map<std::string, std::string> PrintChanges(
    const wire::ResourceDocuments& documents,
    const std::map<std::string, std::string>& shown);
void PrintStatus(const wire::StatusDocument& status);
// Figures a second since `before`, if there is one.
void PrintTop(const wire::StatusDocument& status,
              const std::optional<wire::StatusDocument>& before);

}  // namespace boragepick
