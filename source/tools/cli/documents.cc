#include "tools/cli/documents.h"

#include <cctype>
#include <cstdio>
#include <iostream>

#include "common/error.h"
#include "wire/record_codec.h"

namespace boragepick {

namespace {

// The spec as JSON, without the name of its kind.
std::string SpecJson(const wire::ResourceDocument& document) {
  wire::ResourceDocument spec = document;
  spec.clear_kind();
  spec.clear_name();
  spec.clear_resource_version();
  spec.clear_conditions();
  std::string json = ToJson(spec);
  const std::size_t begin = json.find(":{");
  const std::size_t end = json.find("},\"conditions\"");
  if (begin == std::string::npos || end == std::string::npos)
    return json;
  return json.substr(begin + 1, end - begin);
}

// The parts joined by commas, or "-" if there are none.
std::string JoinOrDash(
    const google::protobuf::RepeatedPtrField<std::string>& parts) {
  std::string joined;
  for (const std::string& part : parts)
    joined += (joined.empty() ? "" : ",") + part;
  return joined.empty() ? "-" : joined;
}

}  // namespace

std::vector<std::string> SplitDocuments(std::string_view text) {
  std::vector<std::string> documents;
  std::size_t begin = 0;
  int depth = 0;
  bool quoted = false;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const char c = text[i];
    if (quoted) {
      if (c == '\\')
        ++i;
      quoted = c != '"';
      continue;
    }
    if (depth == 0 && c == '{')
      begin = i;
    if (depth == 0 && c != '{' &&
        std::isspace(static_cast<unsigned char>(c)) == 0)
      throw Error(Step::kDecodeDocument, "",
                  "expected concatenated JSON documents");
    quoted = c == '"';
    depth += c == '{' ? 1 : 0;
    depth -= c == '}' ? 1 : 0;
    if (c == '}' && depth == 0)
      documents.emplace_back(text.substr(begin, i + 1 - begin));
  }
  if (depth != 0)
    throw Error(Step::kDecodeDocument, "",
                "the last JSON document is incomplete");
  return documents;
}

std::string ErrorText(const std::string& body) {
  try {
    wire::OperatorErrorDocument document;
    FromJson(body, document, UnknownFields::kIgnore, Step::kCallRouter, "");
    if (!document.message().empty())
      return document.code() + ": " + document.message();
  } catch (const Error&) {
    // The response may come from a proxy and have another format.
  }
  return body;
}

void PrintResources(const wire::ResourceDocuments& documents) {
  std::printf("%-10s %-24s %-10s %s\n", "KIND", "NAME", "VERSION", "SPEC");
  for (const wire::ResourceDocument& document : documents.resources()) {
    std::printf("%-10s %-24s %-10lld %s\n", document.kind().c_str(),
                document.name().c_str(),
                static_cast<long long>(document.resource_version()),
                SpecJson(document).c_str());
    for (const std::string& condition : document.conditions())
      std::printf("%-10s %s\n", "", condition.c_str());
  }
}

std::map<std::string, std::string> PrintChanges(
    const wire::ResourceDocuments& documents,
    const std::map<std::string, std::string>& previous) {
  std::map<std::string, std::string> current;
  for (const wire::ResourceDocument& document : documents.resources())
    current[document.name()] = document.ShortDebugString();
  for (const wire::ResourceDocument& document : documents.resources()) {
    const auto before = previous.find(document.name());
    if (before != previous.end() && before->second == current[document.name()])
      continue;
    std::cout << (before == previous.end() ? "added   " : "changed ")
              << document.kind() << " '" << document.name()
              << "' resource_version " << document.resource_version() << ": "
              << JoinOrDash(document.conditions()) << std::endl;
  }
  for (const auto& [name, text] : previous) {
    if (!current.contains(name))
      std::cout << "deleted '" << name << "'" << std::endl;
  }
  return current;
}

void PrintStatus(const wire::StatusDocument& status) {
  std::printf("router      %s in %s%s\n", status.vm().c_str(),
              status.data_centre().c_str(),
              status.draining() ? ", draining" : "");
  std::printf(
      "revision    %lld, view %.1f s old, from %s\n",
      static_cast<long long>(status.revision()), status.view_age_seconds(),
      status.watching() ? "the platform's service" : status.relay().c_str());
  std::printf(
      "in force    revision %lld or later on all %u nodes behind the relay\n",
      static_cast<long long>(status.lowest_in_force()), status.nodes());
  std::printf("roster      version %llu: %llu routers, %llu agents\n",
              static_cast<unsigned long long>(status.roster_version()),
              static_cast<unsigned long long>(status.routers()),
              static_cast<unsigned long long>(status.agents()));
  std::printf("requests    %llu open here\n\n",
              static_cast<unsigned long long>(status.open_requests()));
  std::printf("%-24s %-9s %-28s %s\n", "MODEL", "REPLICAS", "PERMITTED",
              "LOADED");
  for (const wire::ModelStatus& model : status.models()) {
    std::printf("%-24s %-9u %-28s %s\n", model.model().c_str(),
                model.replicas_decided(),
                JoinOrDash(model.permitted_vms()).c_str(),
                JoinOrDash(model.resident_vms()).c_str());
  }
  std::printf("\n%-24s %14s %10s %10s %14s\n", "TEAM", "ADMITTED", "REFUSED",
              "WAITING", "SHARE (t/s)");
  for (const wire::TeamStatus& team : status.teams()) {
    std::printf("%-24s %14llu %10llu %10llu %14.0f\n", team.team().c_str(),
                static_cast<unsigned long long>(team.admitted_tokens()),
                static_cast<unsigned long long>(team.refused_requests()),
                static_cast<unsigned long long>(team.waiting_requests()),
                team.share_tokens_per_second());
  }
}

void PrintTop(const wire::StatusDocument& status,
              const std::optional<wire::StatusDocument>& previous) {
  std::printf("%s: revision %lld, %llu open requests\n", status.vm().c_str(),
              static_cast<long long>(status.revision()),
              static_cast<unsigned long long>(status.open_requests()));
  std::printf("%-24s %12s %10s %10s\n", "TEAM", "TOKENS/s", "REFUSED/s",
              "WAITING");
  for (int i = 0; i < status.teams_size(); ++i) {
    const wire::TeamStatus& team = status.teams(i);
    const bool known = previous && i < previous->teams_size() &&
                       previous->teams(i).team() == team.team();
    const auto tokens =
        known ? team.admitted_tokens() - previous->teams(i).admitted_tokens()
              : 0;
    const auto refused =
        known ? team.refused_requests() - previous->teams(i).refused_requests()
              : 0;
    std::printf("%-24s %12llu %10llu %10llu\n", team.team().c_str(),
                static_cast<unsigned long long>(tokens),
                static_cast<unsigned long long>(refused),
                static_cast<unsigned long long>(team.waiting_requests()));
  }
  std::fflush(stdout);
}

}  // namespace boragepick
