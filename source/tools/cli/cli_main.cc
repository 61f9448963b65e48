// boragepick: the operators' command-line tool, a client of any router's
// operator API.

#include <boost/program_options.hpp>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>
#include <map>
#include <optional>
#include <sstream>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "common/error.h"
#include "common/hashing.h"
#include "core/config/config_view.h"
#include "core/config/resources.h"
#include "core/explain/request_trace.h"
#include "frontends/operator_codec.h"
#include "tools/cli/client.h"
#include "tools/cli/documents.h"
#include "wire/generated/boragepick.pb.h"
#include "wire/record_codec.h"

namespace boragepick {
namespace {

namespace po = boost::program_options;

constexpr int kExitOk = 0;
constexpr int kExitRefused = 1;
constexpr int kExitUsage = 2;
constexpr int kExitUnreachable = 3;
constexpr unsigned kTimeoutSeconds = 30;
constexpr unsigned kRequestTimeoutSeconds = 600;
constexpr auto kWatchPeriod = std::chrono::seconds(1);

constexpr const char* kUsage =
    R"(boragepick [options] COMMAND

Commands
  apply -f FILE...        create or update resources from files of concatenated
                          JSON documents ('-' reads standard input)
  check -f FILE...        validate documents without a router
  get KIND [NAME]         list resources
  delete KIND NAME        delete a resource
  watch KIND              print changes as they take effect, until interrupted
  status                  show the configuration revision, permits, loaded
                          models and teams
  top                     show rates and queues of all teams, until interrupted
  request PATH            send a request as a caller (-d BODY, --key KEY)
  explain ID FILE...      trace a request through the log files of all
                          processes ('-' reads standard input)
  hash-key                read a key from standard input, print its SHA-256

Kinds: model, version, adapter, route, team, key

Exit codes: 0 success; 1 refused, the reason is printed; 2 usage error;
3 the router could not be reached

Options)";

struct Arguments {
  std::string command;
  std::vector<std::string> operands;
  std::string router;
  std::string token;
  std::vector<std::string> files;
  std::string output;
  std::string data;
  std::string key;
  std::string idempotency_key;
  std::string deadline_ms;
  bool dry_run = false;
  // Number of polls by watch and top; 0 means unlimited.
  unsigned rounds = 0;
};

class Tool {
 public:
  explicit Tool(Arguments arguments)
      : m_arguments(std::move(arguments)), m_client(kTimeoutSeconds) {}

  int Run() {
    const std::string& command = m_arguments.command;
    if (command == "apply")
      return Apply();
    if (command == "check")
      return Check();
    if (command == "get")
      return Get();
    if (command == "delete")
      return Delete();
    if (command == "watch")
      return Watch();
    if (command == "status")
      return Status();
    if (command == "top")
      return Top();
    if (command == "request")
      return SendRequest();
    if (command == "explain")
      return Explain();
    if (command == "hash-key")
      return HashKey();
    std::cerr << "boragepick: unknown command '" << command
              << "'; see --help\n";
    return kExitUsage;
  }

 private:
  std::string Url(const std::string& path) const {
    return m_arguments.router + kOperatorPrefix + path;
  }

  ClientResponse CallOperatorApi(const std::string& method,
                                 const std::string& path,
                                 const std::string& body = "") {
    return m_client.Send(
        {.method = method,
         .url = Url(path),
         .headers = {{"Authorization", "Bearer " + m_arguments.token}},
         .body = body});
  }

  // Prints the reason of a refusal; returns the exit code.
  static int PrintRefusal(const std::string& subject,
                          const ClientResponse& response) {
    std::cerr << "boragepick: " << subject << ": " << ErrorText(response.body)
              << '\n';
    return kExitRefused;
  }

  int Apply() {
    if (m_arguments.files.empty()) {
      std::cerr << "boragepick: apply: expected -f FILE\n";
      return kExitUsage;
    }
    for (const std::string& file : m_arguments.files) {
      const int code = ApplyFile(file);
      if (code != kExitOk)
        return code;
    }
    return kExitOk;
  }

  static std::vector<PutResource> DecodeAndValidate(
      const std::vector<std::string>& documents) {
    std::vector<PutResource> puts;
    for (const std::string& document : documents) {
      puts.push_back(DecodeResourceDocument(document));
      ValidateResource(puts.back().resource);
    }
    return puts;
  }

  // Validates each document, and that the resources it refers to come before
  // it.
  int Check() {
    ConfigView view;
    for (const std::string& file : m_arguments.files) {
      for (const PutResource& put :
           DecodeAndValidate(SplitDocuments(ReadAll(file)))) {
        view.CheckReferences(put.resource);
        const std::string key =
            ResourceKey(KindOf(put.resource.spec), put.resource.name);
        view.Apply({.key = key, .revision = 1, .value = put.resource});
      }
      std::cout << file << ": valid\n";
    }
    return kExitOk;
  }

  int ApplyFile(const std::string& file) {
    // All documents are validated before the first is sent, so that an error in
    // the last one leaves nothing applied.
    const std::vector<std::string> documents = SplitDocuments(ReadAll(file));
    const std::vector<PutResource> puts = DecodeAndValidate(documents);
    for (std::size_t i = 0; i < documents.size(); ++i) {
      const int code = ApplyOne(puts[i].resource, documents[i]);
      if (code != kExitOk)
        return code;
    }
    return kExitOk;
  }

  int ApplyOne(const Resource& resource, const std::string& document) {
    const std::string kind(kResourceKindNames.Name(KindOf(resource.spec)));
    const std::string path = "resources/" + kind + "/" + resource.name +
                             (m_arguments.dry_run ? "?dry_run=true" : "");
    const ClientResponse response = PutWithRetries(path, document);
    if (response.status != 200)
      return PrintRefusal(kind + " '" + resource.name + "'", response);
    wire::AcceptedDocument accepted;
    FromJson(response.body, accepted, UnknownFields::kIgnore, Step::kCallRouter,
             m_arguments.router);
    std::cout << kind << " '" << resource.name << "' "
              << (m_arguments.dry_run ? "would be accepted" : "accepted")
              << ", resource_version " << accepted.resource_version() << '\n';
    return kExitOk;
  }

  // Retries while a referenced resource is unknown: one that this command wrote
  // just before may not be in force at the router yet. The router's message
  // contains "there is no" then; see ConfigView::CheckReferences.
  ClientResponse PutWithRetries(const std::string& path,
                                const std::string& document) {
    constexpr int kMaxAttempts = 20;
    constexpr auto kRetryDelay = std::chrono::milliseconds(100);
    ClientResponse response = CallOperatorApi("PUT", path, document);
    for (int i = 1; i < kMaxAttempts; ++i) {
      const bool missing =
          response.status == 400 &&
          response.body.find("there is no") != std::string::npos;
      if (!missing || m_arguments.dry_run)
        break;
      std::this_thread::sleep_for(kRetryDelay);
      response = CallOperatorApi("PUT", path, document);
    }
    return response;
  }

  std::optional<wire::ResourceDocuments> FetchResources(const std::string& path,
                                                        int& code) {
    const ClientResponse response = CallOperatorApi("GET", path);
    if (response.status != 200) {
      code = PrintRefusal("get", response);
      return std::nullopt;
    }
    if (m_arguments.output == "json") {
      std::cout << response.body;
      code = kExitOk;
      return std::nullopt;
    }
    wire::ResourceDocuments documents;
    FromJson(response.body, documents, UnknownFields::kIgnore,
             Step::kCallRouter, m_arguments.router);
    return documents;
  }

  int Get() {
    if (m_arguments.operands.empty()) {
      std::cerr << "boragepick: get: expected KIND [NAME]\n";
      return kExitUsage;
    }
    std::string path = "resources/" + m_arguments.operands[0];
    if (m_arguments.operands.size() > 1)
      path += "/" + m_arguments.operands[1];
    int code = kExitOk;
    if (const auto documents = FetchResources(path, code))
      PrintResources(*documents);
    return code;
  }

  int Delete() {
    if (m_arguments.operands.size() != 2) {
      std::cerr << "boragepick: delete: expected KIND NAME\n";
      return kExitUsage;
    }
    const std::string subject =
        m_arguments.operands[0] + " '" + m_arguments.operands[1] + "'";
    const ClientResponse response =
        CallOperatorApi("DELETE", "resources/" + m_arguments.operands[0] + "/" +
                                      m_arguments.operands[1]);
    if (response.status != 200)
      return PrintRefusal(subject, response);
    std::cout << subject << " deleted\n";
    return kExitOk;
  }

  int Watch() {
    if (m_arguments.operands.size() != 1) {
      std::cerr << "boragepick: watch: expected KIND\n";
      return kExitUsage;
    }
    std::map<std::string, std::string> previous;
    for (unsigned round = 0;
         m_arguments.rounds == 0 || round < m_arguments.rounds; ++round) {
      int code = kExitOk;
      const auto documents =
          FetchResources("resources/" + m_arguments.operands[0], code);
      if (!documents)
        return code;
      previous = PrintChanges(*documents, previous);
      std::this_thread::sleep_for(kWatchPeriod);
    }
    return kExitOk;
  }

  std::optional<wire::StatusDocument> FetchStatus(int& code) {
    const ClientResponse response = CallOperatorApi("GET", "status");
    if (response.status != 200) {
      code = PrintRefusal("status", response);
      return std::nullopt;
    }
    if (m_arguments.output == "json") {
      std::cout << response.body;
      code = kExitOk;
      return std::nullopt;
    }
    wire::StatusDocument status;
    FromJson(response.body, status, UnknownFields::kIgnore, Step::kCallRouter,
             m_arguments.router);
    return status;
  }

  int Status() {
    int code = kExitOk;
    if (const auto status = FetchStatus(code))
      PrintStatus(*status);
    return code;
  }

  int Top() {
    std::optional<wire::StatusDocument> previous;
    for (unsigned round = 0;
         m_arguments.rounds == 0 || round < m_arguments.rounds; ++round) {
      int code = kExitOk;
      auto status = FetchStatus(code);
      if (!status)
        return code;
      PrintTop(*status, previous);
      previous = std::move(status);
      std::this_thread::sleep_for(kWatchPeriod);
    }
    return kExitOk;
  }

  int SendRequest() {
    if (m_arguments.operands.size() != 1) {
      std::cerr << "boragepick: request: expected PATH\n";
      return kExitUsage;
    }
    ClientRequest request{.method = m_arguments.data.empty() ? "GET" : "POST",
                          .url = m_arguments.router + m_arguments.operands[0],
                          .body = m_arguments.data};
    if (!m_arguments.key.empty())
      request.headers.push_back({"Authorization", "Bearer " + m_arguments.key});
    if (!m_arguments.idempotency_key.empty())
      request.headers.push_back(
          {"Idempotency-Key", m_arguments.idempotency_key});
    if (!m_arguments.deadline_ms.empty())
      request.headers.push_back(
          {"Boragepick-Deadline-Ms", m_arguments.deadline_ms});
    Client client(kRequestTimeoutSeconds);
    const unsigned status = client.Stream(request, [](std::string_view bytes) {
      std::cout << bytes << std::flush;
    });
    return status < 400 ? kExitOk : kExitRefused;
  }

  int Explain() {
    if (m_arguments.operands.size() < 2) {
      std::cerr << "boragepick: explain: expected ID FILE...\n";
      return kExitUsage;
    }
    RequestTrace trace(m_arguments.operands[0]);
    for (std::size_t i = 1; i < m_arguments.operands.size(); ++i)
      trace.AddLog(m_arguments.operands[i], ReadAll(m_arguments.operands[i]));
    for (const std::string& location : trace.unparsed_lines())
      std::cerr << "boragepick: " << location << ": not a log line\n";
    std::cout << trace.Text();
    if (trace.Found())
      return kExitOk;
    std::cerr << "boragepick: no log line contains request '"
              << m_arguments.operands[0] << "'\n";
    return kExitRefused;
  }

  static int HashKey() {
    std::string key;
    std::getline(std::cin, key);
    std::cout << Sha256Hex(key) << '\n';
    return kExitOk;
  }

  static std::string ReadAll(const std::string& file) {
    std::ostringstream text;
    if (file == "-") {
      text << std::cin.rdbuf();
      return text.str();
    }
    std::ifstream stream(file);
    if (!stream)
      throw Error(Step::kReadFile, file, "can't be opened");
    text << stream.rdbuf();
    return text.str();
  }

  Arguments m_arguments;
  Client m_client;
};

std::string FromEnvironment(const char* name,
                            const std::string& default_value) {
  const char* value = std::getenv(name);
  return value == nullptr ? default_value : value;
}

int Main(int argc, char** argv) {
  Arguments arguments;
  po::options_description visible(kUsage);
  visible.add_options()("help,h", "show this help")(
      "router,r",
      po::value(&arguments.router)
          ->default_value(
              FromEnvironment("BORAGEPICK_ROUTER", "http://127.0.0.1:8080")),
      "URL of any router (or BORAGEPICK_ROUTER)")(
      "token,t",
      po::value(&arguments.token)
          ->default_value(FromEnvironment("BORAGEPICK_TOKEN", ""), ""),
      "operators' token (or BORAGEPICK_TOKEN)")(
      "file,f", po::value(&arguments.files)->composing(),
      "apply, check: file of JSON documents")(
      "dry-run", po::bool_switch(&arguments.dry_run),
      "apply: validate at the router without changes")(
      "output,o", po::value(&arguments.output)->default_value("table"),
      "table or json")("rounds", po::value(&arguments.rounds)->default_value(0),
                       "watch, top: number of polls (0: unlimited)")(
      "data,d", po::value(&arguments.data), "request: JSON body")(
      "key", po::value(&arguments.key), "request: the caller's key")(
      "idempotency-key", po::value(&arguments.idempotency_key),
      "request: Idempotency-Key header")(
      "deadline-ms", po::value(&arguments.deadline_ms),
      "request: deadline of the whole response");
  po::options_description all;
  std::vector<std::string> words;
  all.add(visible).add_options()("word", po::value(&words));
  po::positional_options_description positions;
  positions.add("word", -1);
  try {
    po::variables_map values;
    po::store(po::command_line_parser(argc, argv)
                  .options(all)
                  .positional(positions)
                  .run(),
              values);
    po::notify(values);
    if (values.count("help") > 0 || words.empty()) {
      std::cout << visible;
      return words.empty() && values.count("help") == 0 ? kExitUsage : kExitOk;
    }
    if (arguments.output != "table" && arguments.output != "json") {
      std::cerr << "boragepick: --output: expected table or json\n";
      return kExitUsage;
    }
    arguments.command = words.front();
    arguments.operands.assign(words.begin() + 1, words.end());
    return Tool(std::move(arguments)).Run();
  } catch (const po::error& error) {
    std::cerr << "boragepick: " << error.what() << "; see --help\n";
    return kExitUsage;
  } catch (const Error& error) {
    std::cerr << "boragepick: " << error.what() << '\n';
    return error.step() == Step::kCallRouter ? kExitUnreachable : kExitRefused;
  }
}

}  // namespace
}  // namespace boragepick

int main(int argc, char** argv) {
  return boragepick::Main(argc, argv);
}
