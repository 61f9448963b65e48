// Documents that the command-line tool reads, and tables that it prints.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "wire/generated/boragepick.pb.h"

namespace boragepick {

// Splits concatenated JSON objects. Throws Error at Step::kDecodeDocument if
// there is other text between them or the last object is incomplete.
std::vector<std::string> SplitDocuments(std::string_view text);

// The code and message of a router's error response, or the whole body if it is
// not such a response.
std::string ErrorText(const std::string& body);

void PrintResources(const wire::ResourceDocuments& documents);
// Prints the differences from `previous`, which an earlier call returned.
std::map<std::string, std::string> PrintChanges(
    const wire::ResourceDocuments& documents,
    const std::map<std::string, std::string>& previous);
void PrintStatus(const wire::StatusDocument& status);
// Prints the rates since `previous`; zeros without it.
void PrintTop(const wire::StatusDocument& status,
              const std::optional<wire::StatusDocument>& previous);

}  // namespace boragepick
