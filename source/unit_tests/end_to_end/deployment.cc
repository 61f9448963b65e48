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

constexpr auto kGenerous = std::chrono::seconds(60);
constexpr auto kPoll = std::chrono::milliseconds(20);
constexpr unsigned kClientTimeoutSeconds = 60;
constexpr const char* kToken = "operator-token";

}  // namespace

bool WaitUntil(const std::function<bool()>& holds) {
  const auto deadline = std::chrono::steady_clock::now() + kGenerous;
  while (std::chrono::steady_clock::now() < deadline) {
    if (holds())
      return true;
    std::this_thread::sleep_for(kPoll);
  }
  return false;
}

std::int64_t NumberIn(const std::string& json, const std::string& name) {
  const std::string quoted = "\"" + name + "\":";
  const std::size_t at = json.find(quoted);
  if (at == std::string::npos)
    return -1;
  const char* text = json.c_str() + at + quoted.size();
  return std::atoll(*text == '"' ? text + 1 : text);
}

Deployment::Deployment(const Shape& shape) : m_routers(shape.routers) {
  char pattern[] = "/tmp/boragepick-test-XXXXXX";
  m_folder = mkdtemp(pattern);
  if (shape.curve) {
    char public_key[41];
    char secret_key[41];
    zmq_curve_keypair(public_key, secret_key);
    m_curve = std::string("curve_public_key = ") + public_key +
              "\ncurve_secret_key = " + secret_key + "\n";
  }
  AddStandin("kv", "kv", {});
  AddStandin("vms", "vms", {});
  std::vector<std::string> router_peers;
  for (int i = 0; i < shape.routers; ++i) {
    router_peers.push_back(FreeEndpoint());
    m_seeds += (i > 0 ? "," : "") + router_peers.back();
  }
  for (int i = 0; i < shape.engines; ++i) {
    AddStandin(
        "e" + std::to_string(i), "engine",
        {"--memory-mb", "1000", "--load-ms", std::to_string(shape.load_ms),
         "--token-ms", std::to_string(shape.token_ms)});
  }
  for (int i = 0; i < shape.services; ++i)
    AddStandin("s" + std::to_string(i), "service", {"--service-ms", "30"});
  for (const std::string& name : m_start_order)
    Start(name);
  const std::size_t standins = m_start_order.size();
  const auto entry = [&](const std::string& name, const std::string& role,
                         const std::string& peer, const std::string& pool) {
    m_peers[name] = peer;
    m_entries[name] = R"({"vm":")" + name + R"(","data_centre":"a","role":")" +
                      role + R"(","state":"live","peer_endpoint":")" + peer +
                      R"(","pool":")" + pool + R"(","memory_mb":1000})";
  };
  for (int i = 0; i < shape.routers; ++i) {
    const std::string name = "r" + std::to_string(i);
    entry(name, "router", router_peers[static_cast<std::size_t>(i)], "");
    AddDaemon(
        name, "router",
        "[peers]\nendpoint = " + router_peers[static_cast<std::size_t>(i)] +
            "\nseeds = " + m_seeds + "\n" + m_curve +
            "\n[platform]\nkey_value_url = " + m_programs["kv"].http +
            "\nvm_list_url = " + m_programs["vms"].http + "/vms\n");
  }
  const auto add_agent = [&](const std::string& name,
                             const std::string& upstream,
                             const std::string& pool,
                             const std::string& memory) {
    const std::string peer = FreeEndpoint();
    entry(name, "agent", peer, pool);
    AddDaemon(name, "agent",
              "[peers]\nendpoint = " + peer + "\nseeds = " + m_seeds + "\n" +
                  m_curve + "\n[upstream]\nurl = " + m_programs[upstream].http +
                  "\npool = " + pool + "\nmemory_mb = " + memory +
                  "\nslots = " + std::to_string(shape.engine_slots) +
                  "\nprogress_timeout_ms = 2000\n");
  };
  for (int i = 0; i < shape.engines; ++i)
    add_agent("w" + std::to_string(i), "e" + std::to_string(i), "models",
              "1000");
  for (int i = 0; i < shape.services; ++i)
    add_agent("c" + std::to_string(i), "s" + std::to_string(i), "orders", "0");
  PublishList({});
  for (std::size_t i = standins; i < m_start_order.size(); ++i)
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
}

Deployment::~Deployment() {
  for (auto& [name, program] : m_programs) {
    if (program.process == nullptr)
      continue;
    // why: a process that a test had stopped can't end otherwise
    g_subprocess_send_signal(program.process, SIGCONT);
    g_subprocess_force_exit(program.process);
    g_subprocess_wait(program.process, nullptr, nullptr);
    g_object_unref(program.process);
  }
  for (const auto& [name, program] : m_programs)
    g_remove((m_folder + "/" + name + ".ini").c_str());
  for (const auto& [name, program] : m_programs)
    g_remove((m_folder + "/" + name + ".log").c_str());
  g_rmdir(m_folder.c_str());
}

std::string Deployment::FreeEndpoint() {
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  if (bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0)
    throw Error(Step::kListen, "loopback", "no free port");
  socklen_t size = sizeof(address);
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  close(fd);
  return "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
}

void Deployment::AddStandin(const std::string& name,
                            const std::string& kind,
                            std::vector<std::string> extra) {
  const std::string endpoint = FreeEndpoint();
  Program& program = m_programs[name];
  program.http = "http://" + endpoint;
  program.arguments = {STANDIN_PROGRAM, "--kind", kind, "--endpoint", endpoint};
  program.arguments.insert(program.arguments.end(), extra.begin(), extra.end());
  m_start_order.push_back(name);
}

void Deployment::AddDaemon(const std::string& name,
                           const std::string& role,
                           const std::string& settings) {
  const std::string http = FreeEndpoint();
  const std::string file = m_folder + "/" + name + ".ini";
  std::ofstream(file) << "[node]\nrole = " << role << "\nvm = " << name
                      << "\ndata_centre = a\n[http]\nendpoint = " << http
                      << "\noperator_token_sha256 = " << Sha256Hex(kToken)
                      << "\n[drain]\ngrace_ms = 300\n[log]\nfile = " << m_folder
                      << "/" << name << ".log\n"
                      << settings;
  Program& program = m_programs[name];
  program.http = "http://" + http;
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
      client.Call({.url = program.http + path});
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

bool Deployment::EndedWell(const std::string& name) {
  GSubprocess* process = m_programs.at(name).process;
  g_subprocess_wait(process, nullptr, nullptr);
  return g_subprocess_get_if_exited(process) != FALSE &&
         g_subprocess_get_exit_status(process) == 0;
}

void Deployment::Fault(const std::string& standin, const std::string& query) {
  Client client(kClientTimeoutSeconds);
  client.Call({.method = "POST",
               .url = m_programs.at(standin).http + "/faults?" + query});
}

std::int64_t Deployment::Stat(const std::string& standin,
                              const std::string& name) {
  Client client(kClientTimeoutSeconds);
  return NumberIn(
      client.Call({.url = m_programs.at(standin).http + "/stats"}).body, name);
}

std::string Deployment::HttpOf(const std::string& name) const {
  return m_programs.at(name).http;
}

double Deployment::CpuSeconds(const std::string& name) {
  const char* pid = g_subprocess_get_identifier(m_programs.at(name).process);
  std::ifstream stat(std::string("/proc/") + pid + "/stat");
  std::string word;
  // Fields 14 and 15 are the user and system time in clock ticks.
  double ticks = 0;
  for (int field = 1; stat >> word; ++field) {
    if (field == 14 || field == 15)
      ticks += std::atof(word.c_str());
  }
  return ticks / static_cast<double>(sysconf(_SC_CLK_TCK));
}

std::int64_t Deployment::MemoryKb(const std::string& name) {
  const char* pid = g_subprocess_get_identifier(m_programs.at(name).process);
  std::ifstream status(std::string("/proc/") + pid + "/status");
  for (std::string line; std::getline(status, line);) {
    if (line.starts_with("VmRSS:"))
      return std::atoll(line.c_str() + 6);
  }
  return 0;
}

double Deployment::IdleCpuPercent(const std::string& name) {
  constexpr int kSeconds = 10;
  const double before = CpuSeconds(name);
  std::this_thread::sleep_for(std::chrono::seconds(kSeconds));
  return (CpuSeconds(name) - before) * 100 / kSeconds;
}

void Deployment::SendForeignBytes(const std::string& daemon) {
  const std::string& peer = m_peers.at(daemon);
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

void Deployment::ListWithout(const std::vector<std::string>& gone) {
  PublishList(gone);
}

void Deployment::PublishList(const std::vector<std::string>& gone) {
  std::string json = "{\"entries\":[";
  for (const auto& [name, entry] : m_entries) {
    if (std::ranges::find(gone, name) == gone.end())
      json += (json.ends_with('[') ? "" : ",") + entry;
  }
  Client client(kClientTimeoutSeconds);
  client.Call({.method = "POST",
               .url = m_programs.at("vms").http + "/vms",
               .body = json + "]}"});
}

Deployment::Answer Deployment::Ask(const std::string& router,
                                   const Call& call) {
  Answer answer;
  ClientCall request{
      .method = call.body.empty() ? "GET" : "POST",
      .url = m_programs.at(router).http + call.path,
      .headers = {{"Boragepick-Deadline-Ms", std::to_string(call.deadline_ms)}},
      .body = call.body};
  if (!call.key.empty())
    request.headers.push_back({"Authorization", "Bearer " + call.key});
  if (!call.idempotency_key.empty())
    request.headers.push_back({"Idempotency-Key", call.idempotency_key});
  try {
    Client client(kClientTimeoutSeconds);
    answer.status = client.Stream(request, [&](std::string_view bytes) {
      answer.body += bytes;
      if (call.on_bytes)
        call.on_bytes();
    });
  } catch (const Error&) {
    answer.broken = true;
  }
  return answer;
}

Deployment::Answer Deployment::Operate(const std::string& router,
                                       const std::string& method,
                                       const std::string& path,
                                       const std::string& body) {
  Client client(kClientTimeoutSeconds);
  const ClientReply reply = client.Call(
      {.method = method,
       .url = m_programs.at(router).http + "/boragepick/v1/" + path,
       .headers = {{"Authorization", std::string("Bearer ") + kToken}},
       .body = body});
  return {.status = reply.status, .body = reply.body};
}

void Deployment::Apply(const std::string& kind,
                       const std::string& name,
                       const std::string& spec) {
  const std::string path = "resources/" + kind + "/" + name;
  const std::string document =
      R"({"kind":")" + kind + R"(","name":")" + name + R"(",)" + spec + "}";
  std::int64_t version = 0;
  ASSERT_TRUE(WaitUntil([&] {
    const Answer answer = Operate("r0", "PUT", path, document);
    version = NumberIn(answer.body, "resource_version");
    return answer.status == 200;
  })) << document;
  for (int i = 0; i < m_routers; ++i) {
    ASSERT_TRUE(WaitUntil([&] {
      const Answer shown = Operate("r" + std::to_string(i), "GET", path);
      return shown.status == 200 &&
             NumberIn(shown.body, "resource_version") >= version;
    }));
  }
}

std::string Deployment::Chat(const std::string& model,
                             int tokens,
                             const std::string& prompt) {
  return R"({"model":")" + model + R"(","stream":true,"max_tokens":)" +
         std::to_string(tokens) + R"(,"messages":[{"role":"user","content":")" +
         prompt + R"("}]})";
}

}  // namespace boragepick
