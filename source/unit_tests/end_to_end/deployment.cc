#include "unit_tests/end_to_end/deployment.h"

#include <arpa/inet.h>
#include <glib/gstdio.h>
#include <gtest/gtest.h>
#include <signal.h>
#include <sys/socket.h>
#include <unistd.h>
#include <zmq.h>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <fstream>
#include <thread>

#include "common/error.h"
#include "common/hashing.h"

namespace boragepick {

namespace {

constexpr auto kWaitTimeout = std::chrono::seconds(60);
constexpr auto kPollInterval = std::chrono::milliseconds(20);
constexpr unsigned kClientTimeoutSeconds = 60;
constexpr const char* kOperatorToken = "operator-token";

}  // namespace

bool WaitUntil(const std::function<bool()>& condition) {
  const auto deadline = std::chrono::steady_clock::now() + kWaitTimeout;
  while (std::chrono::steady_clock::now() < deadline) {
    if (condition())
      return true;
    std::this_thread::sleep_for(kPollInterval);
  }
  return false;
}

std::int64_t JsonNumber(const std::string& json, const std::string& name) {
  const std::string quoted = "\"" + name + "\":";
  const std::size_t at = json.find(quoted);
  if (at == std::string::npos)
    return -1;
  const char* text = json.c_str() + at + quoted.size();
  return std::atoll(*text == '"' ? text + 1 : text);
}

Deployment::Deployment(const Options& options) : m_routers(options.routers) {
  char pattern[] = "/tmp/boragepick-test-XXXXXX";
  m_folder = mkdtemp(pattern);
  if (options.curve) {
    char public_key[41];
    char secret_key[41];
    zmq_curve_keypair(public_key, secret_key);
    m_curve_settings = std::string("curve_public_key = ") + public_key +
                       "\ncurve_secret_key = " + secret_key + "\n";
  }
  if (options.memory_mb > 0)
    m_memory_settings =
        "[limits]\nmemory_mb = " + std::to_string(options.memory_mb) + "\n";
  AddStandin("kv", "kv", {});
  AddStandin("vms", "vms", {});
  std::vector<std::string> router_peers;
  for (int i = 0; i < options.routers; ++i) {
    router_peers.push_back(ReserveEndpoint());
    m_seeds += (i > 0 ? "," : "") + router_peers.back();
  }
  for (int i = 0; i < options.engines; ++i) {
    AddStandin(
        "e" + std::to_string(i), "engine",
        {"--memory-mb", "1000", "--load-ms", std::to_string(options.load_ms),
         "--token-ms", std::to_string(options.token_ms)});
  }
  for (int i = 0; i < options.services; ++i)
    AddStandin("s" + std::to_string(i), "service", {"--service-ms", "30"});
  for (const std::string& name : m_start_order)
    Start(name);
  const std::size_t standin_count = m_start_order.size();
  const auto add_vm_entry =
      [&](const std::string& name, const std::string& role,
          const std::string& peer, const std::string& pool) {
        m_peer_endpoints[name] = peer;
        m_vm_entries[name] = R"({"vm":")" + name +
                             R"(","data_centre":"a","role":")" + role +
                             R"(","state":"live","peer_endpoint":")" + peer +
                             R"(","pool":")" + pool + R"(","memory_mb":1000})";
      };
  for (int i = 0; i < options.routers; ++i) {
    const std::string name = "r" + std::to_string(i);
    add_vm_entry(name, "router", router_peers[static_cast<std::size_t>(i)], "");
    AddDaemon(
        name, "router",
        "[peers]\nendpoint = " + router_peers[static_cast<std::size_t>(i)] +
            "\nseeds = " + m_seeds + "\n" + m_curve_settings +
            "\n[platform]\nkey_value_url = " + m_programs["kv"].http_url +
            "\nvm_list_url = " + m_programs["vms"].http_url + "/vms\n");
  }
  const auto add_agent = [&](const std::string& name, const std::string& url,
                             const std::string& pool,
                             const std::string& memory) {
    const std::string peer = ReserveEndpoint();
    add_vm_entry(name, "agent", peer, pool);
    AddDaemon(name, "agent",
              "[peers]\nendpoint = " + peer + "\nseeds = " + m_seeds + "\n" +
                  m_curve_settings + "\n[upstream]\nurl = " + url +
                  "\npool = " + pool + "\nmemory_mb = " + memory +
                  "\nslots = " + std::to_string(options.engine_slots) +
                  "\nprogress_timeout_ms = 2000\n");
  };
  for (int i = 0; i < options.engines; ++i)
    add_agent("w" + std::to_string(i), HttpUrl("e" + std::to_string(i)),
              "models", "1000");
  for (int i = 0; i < options.services; ++i)
    add_agent("c" + std::to_string(i), HttpUrl("s" + std::to_string(i)),
              "orders", "0");
  if (!options.engine_url.empty())
    add_agent("t0", options.engine_url, "models", "1000");
  if (!options.service_url.empty())
    add_agent("u0", options.service_url, "tested", "0");
  PublishVmList({});
  for (std::size_t i = standin_count; i < m_start_order.size(); ++i)
    Start(m_start_order[i]);
  Apply("team", "team-a",
        R"("team":{"rate_tokens_per_second":100000,"burst_tokens":200000})");
  Apply("key", "key-a",
        R"("key":{"team":"team-a","sha256":")" + Sha256Hex("key-a") + R"("})");
  Apply("version", "m-v1",
        R"("version":{"model":"m","weights":"w","memory_mb":400})");
  Apply("model", "m", R"("model":{"version":"m-v1","replicas":2})");
  Apply("route", "models", R"("route":{"path_prefix":"/v1"})");
  Apply(
      "route", "orders",
      R"("route":{"path_prefix":"/orders","target":"service","pool":"orders"})");
  if (!options.service_url.empty())
    Apply(
        "route", "tested",
        R"("route":{"path_prefix":"/tested","target":"service","pool":"tested","idempotent":true})");
}

Deployment::~Deployment() {
  for (auto& [name, program] : m_programs) {
    if (program.process == nullptr)
      continue;
    // A process that a test has stopped with SIGSTOP must be continued to end.
    g_subprocess_send_signal(program.process, SIGCONT);
    g_subprocess_force_exit(program.process);
    g_subprocess_wait(program.process, nullptr, nullptr);
    g_object_unref(program.process);
  }
  for (const int fd : m_reserved_ports)
    close(fd);
  for (const auto& [name, program] : m_programs)
    g_remove((m_folder + "/" + name + ".ini").c_str());
  for (const auto& [name, program] : m_programs)
    g_remove((m_folder + "/" + name + ".log").c_str());
  g_rmdir(m_folder.c_str());
}

std::string Deployment::ReserveEndpoint() {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  m_reserved_ports.push_back(fd);
  // Permits a program that sets it too, as listeners do, to bind to the port.
  const int reuse = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof(reuse));
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  if (bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0)
    throw Error(Step::kListen, "loopback", "no free port");
  socklen_t size = sizeof(address);
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  return "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
}

void Deployment::AddStandin(const std::string& name,
                            const std::string& kind,
                            std::vector<std::string> options) {
  const std::string endpoint = ReserveEndpoint();
  Program& program = m_programs[name];
  program.http_url = "http://" + endpoint;
  program.arguments = {STANDIN_PROGRAM, "--kind", kind, "--endpoint", endpoint};
  program.arguments.insert(program.arguments.end(), options.begin(),
                           options.end());
  m_start_order.push_back(name);
}

void Deployment::AddDaemon(const std::string& name,
                           const std::string& role,
                           const std::string& settings) {
  const std::string http = ReserveEndpoint();
  const std::string file = m_folder + "/" + name + ".ini";
  std::ofstream(file) << "[node]\nrole = " << role << "\nvm = " << name
                      << "\ndata_centre = a\n[http]\nendpoint = " << http
                      << "\noperator_token_sha256 = "
                      << Sha256Hex(kOperatorToken)
                      << "\n[drain]\ngrace_ms = 300\n[log]\nfile = " << m_folder
                      << "/" << name << ".log\n"
                      << m_memory_settings << settings;
  Program& program = m_programs[name];
  program.http_url = "http://" + http;
  program.arguments = {DAEMON_PROGRAM, "--settings", file};
  m_start_order.push_back(name);
}

void Deployment::Start(const std::string& name) {
  Program& program = m_programs.at(name);
  std::vector<const char*> arguments;
  for (const std::string& argument : program.arguments)
    arguments.push_back(argument.c_str());
  arguments.push_back(nullptr);
  GError* error = nullptr;
  program.process = g_subprocess_newv(
      arguments.data(), G_SUBPROCESS_FLAGS_STDOUT_SILENCE, &error);
  if (program.process == nullptr)
    throw Error(Step::kListen, name, error->message);
  const bool daemon = program.arguments[0] == std::string(DAEMON_PROGRAM);
  const std::string path = daemon ? "/healthz" : "/stats";
  WaitUntil([&] {
    try {
      Client client(1);
      client.Send({.url = program.http_url + path});
      return true;
    } catch (const Error&) {
      return false;
    }
  });
}

void Deployment::Signal(const std::string& name, int signal) {
  g_subprocess_send_signal(m_programs.at(name).process, signal);
}

void Deployment::Kill(const std::string& name) {
  Program& program = m_programs.at(name);
  g_subprocess_force_exit(program.process);
  g_subprocess_wait(program.process, nullptr, nullptr);
  g_clear_object(&program.process);
}

bool Deployment::ExitedCleanly(const std::string& name) {
  GSubprocess* process = m_programs.at(name).process;
  g_subprocess_wait(process, nullptr, nullptr);
  return g_subprocess_get_if_exited(process) != FALSE &&
         g_subprocess_get_exit_status(process) == 0;
}

void Deployment::SetFault(const std::string& standin,
                          const std::string& query) {
  Client client(kClientTimeoutSeconds);
  client.Send({.method = "POST",
               .url = m_programs.at(standin).http_url + "/faults?" + query});
}

std::int64_t Deployment::ReadStat(const std::string& standin,
                                  const std::string& name) {
  Client client(kClientTimeoutSeconds);
  return JsonNumber(
      client.Send({.url = m_programs.at(standin).http_url + "/stats"}).body,
      name);
}

std::string Deployment::HttpUrl(const std::string& name) const {
  return m_programs.at(name).http_url;
}

double Deployment::CpuSeconds(const std::string& name) {
  const char* pid = g_subprocess_get_identifier(m_programs.at(name).process);
  std::ifstream stat(std::string("/proc/") + pid + "/stat");
  std::string word;
  // Fields 14 and 15 of /proc/PID/stat are user and system time in clock ticks.
  double ticks = 0;
  for (int field = 1; stat >> word; ++field) {
    if (field == 14 || field == 15)
      ticks += std::atof(word.c_str());
  }
  return ticks / static_cast<double>(sysconf(_SC_CLK_TCK));
}

std::int64_t Deployment::MemoryKb(const std::string& name) {
  return ReadStatusKb(name, "VmRSS:");
}

std::int64_t Deployment::OwnMemoryKb(const std::string& name) {
  return ReadStatusKb(name, "RssAnon:");
}

std::int64_t Deployment::ReadStatusKb(const std::string& name,
                                      std::string_view field) {
  const char* pid = g_subprocess_get_identifier(m_programs.at(name).process);
  std::ifstream status(std::string("/proc/") + pid + "/status");
  for (std::string line; std::getline(status, line);) {
    if (line.starts_with(field))
      return std::atoll(line.c_str() + field.size());
  }
  return 0;
}

double Deployment::IdleCpuPercent(const std::string& name) {
  constexpr int kSeconds = 10;
  const double before = CpuSeconds(name);
  std::this_thread::sleep_for(std::chrono::seconds(kSeconds));
  return (CpuSeconds(name) - before) * 100 / kSeconds;
}

void Deployment::SendInvalidBytes(const std::string& daemon) {
  const std::string& peer = m_peer_endpoints.at(daemon);
  GSocketClient* client = g_socket_client_new();
  GSocketConnection* connection = g_socket_client_connect_to_host(
      client, peer.c_str(), 0, nullptr, nullptr);
  const std::string bytes = "GET / HTTP/1.1\r\n\r\n" + std::string(300, '\xff');
  if (connection != nullptr)
    g_output_stream_write_all(
        g_io_stream_get_output_stream(G_IO_STREAM(connection)), bytes.data(),
        bytes.size(), nullptr, nullptr, nullptr);
  g_clear_object(&connection);
  g_object_unref(client);
}

void Deployment::PublishVmListWithout(
    const std::vector<std::string>& removed_vms) {
  PublishVmList(removed_vms);
}

void Deployment::PublishVmList(const std::vector<std::string>& removed_vms) {
  std::string json = "{\"entries\":[";
  for (const auto& [name, entry] : m_vm_entries) {
    if (std::ranges::find(removed_vms, name) == removed_vms.end())
      json += (json.ends_with('[') ? "" : ",") + entry;
  }
  Client client(kClientTimeoutSeconds);
  client.Send({.method = "POST",
               .url = m_programs.at("vms").http_url + "/vms",
               .body = json + "]}"});
}

Deployment::Response Deployment::SendRequest(const std::string& router,
                                             const CallerRequest& request) {
  Response response;
  ClientRequest http_request{
      .method = request.body.empty() ? "GET" : "POST",
      .url = m_programs.at(router).http_url + request.path,
      .headers = {{"Boragepick-Deadline-Ms",
                   std::to_string(request.deadline_ms)}},
      .body = request.body};
  if (!request.key.empty())
    http_request.headers.push_back({"Authorization", "Bearer " + request.key});
  if (!request.idempotency_key.empty())
    http_request.headers.push_back(
        {"Idempotency-Key", request.idempotency_key});
  try {
    Client client(kClientTimeoutSeconds);
    response.status = client.Stream(http_request, [&](std::string_view bytes) {
      response.body += bytes;
      if (request.on_bytes)
        request.on_bytes();
    });
  } catch (const Error&) {
    response.connection_failed = true;
  }
  return response;
}

Deployment::Response Deployment::CallOperatorApi(const std::string& router,
                                                 const std::string& method,
                                                 const std::string& path,
                                                 const std::string& body) {
  Client client(kClientTimeoutSeconds);
  const ClientResponse response = client.Send(
      {.method = method,
       .url = m_programs.at(router).http_url + "/boragepick/v1/" + path,
       .headers = {{"Authorization", std::string("Bearer ") + kOperatorToken}},
       .body = body});
  return {.status = response.status, .body = response.body};
}

void Deployment::Apply(const std::string& kind,
                       const std::string& name,
                       const std::string& spec) {
  const std::string path = "resources/" + kind + "/" + name;
  const std::string document =
      R"({"kind":")" + kind + R"(","name":")" + name + R"(",)" + spec + "}";
  std::int64_t version = 0;
  ASSERT_TRUE(WaitUntil([&] {
    const Response response = CallOperatorApi("r0", "PUT", path, document);
    version = JsonNumber(response.body, "resource_version");
    return response.status == 200;
  })) << document;
  for (int i = 0; i < m_routers; ++i) {
    ASSERT_TRUE(WaitUntil([&] {
      const Response shown =
          CallOperatorApi("r" + std::to_string(i), "GET", path);
      return shown.status == 200 &&
             JsonNumber(shown.body, "resource_version") >= version;
    }));
  }
}

std::string Deployment::ChatBody(const std::string& model,
                                 int tokens,
                                 const std::string& prompt) {
  return R"({"model":")" + model + R"(","stream":true,"max_tokens":)" +
         std::to_string(tokens) + R"(,"messages":[{"role":"user","content":")" +
         prompt + R"("}]})";
}

}  // namespace boragepick
