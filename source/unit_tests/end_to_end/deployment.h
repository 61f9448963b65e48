// Runs a complete deployment on loopback: each daemon and each stand-in is a
// process, which the destructor ends.
#pragma once

#include <gio/gio.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "tools/cli/client.h"

namespace boragepick {

// Polls until `condition` returns true. Returns false after 60 seconds.
bool WaitUntil(const std::function<bool()>& condition);

// The value of the number field `name` in flat JSON; -1 if it is absent.
std::int64_t JsonNumber(const std::string& json, const std::string& name);

class Deployment {
 public:
  struct Options {
    int routers = 2;
    int engines = 2;
    int services = 1;
    unsigned load_ms = 200;
    unsigned token_ms = 10;
    unsigned engine_slots = 16;
    // Encrypts the messages between daemons with CURVE.
    bool curve = false;
    // URLs of an engine and of a service that the test runs itself. Their
    // agents are t0 and u0, the service's route is /tested.
    std::string engine_url;
    std::string service_url;
    // Memory that each daemon may use; 0 for the default.
    int memory_mb = 0;
  };

  explicit Deployment(const Options& options);
  ~Deployment();
  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;

  // Names of the processes. Stand-ins: kv, vms, e0... (engines), s0...
  // (services). Daemons: r0... (routers), w0... (agents of engines), c0...
  // (agents of services).
  void Signal(const std::string& name, int signal);
  // Kills a process; Start() runs it again.
  void Kill(const std::string& name);
  void Start(const std::string& name);
  // Waits for the end of the process; returns whether it exited with status 0.
  bool ExitedCleanly(const std::string& name);
  // Sets faults of a stand-in; see standins.h for their names.
  void SetFault(const std::string& standin, const std::string& query);
  // A number from the stand-in's /stats.
  std::int64_t ReadStat(const std::string& standin, const std::string& name);
  std::string HttpUrl(const std::string& name) const;
  // CPU time used by a process during 10 seconds, in percent of a core.
  double IdleCpuPercent(const std::string& name);
  // Resident memory of a process, in KB, and the part of it that isn't mapped
  // from files.
  std::int64_t MemoryKb(const std::string& name);
  std::int64_t OwnMemoryKb(const std::string& name);
  // CPU time used by a process so far, in seconds.
  double CpuSeconds(const std::string& name);
  // An endpoint whose port no other socket gets while the deployment exists.
  std::string ReserveEndpoint();
  // Sends bytes that are not ZeroMQ frames to a daemon's peer port.
  void SendInvalidBytes(const std::string& daemon);
  // Publishes the list of all VMs except these.
  void PublishVmListWithout(const std::vector<std::string>& removed_vms);

  struct Response {
    unsigned status = 0;
    std::string body;
    // The connection failed before the response was complete.
    bool connection_failed = false;
    // Whether a streamed response ends with its final event.
    bool IsComplete() const { return body.ends_with("data: [DONE]\n\n"); }
  };
  struct CallerRequest {
    std::string path = "/v1/chat/completions";
    std::string body;
    std::string key = "key-a";
    std::string idempotency_key;
    int deadline_ms = 20'000;
    // Called for each received part of the body.
    std::function<void()> on_bytes;
  };
  Response SendRequest(const std::string& router, const CallerRequest& request);
  Response CallOperatorApi(const std::string& router,
                           const std::string& method,
                           const std::string& path,
                           const std::string& body = "");
  // Applies a resource and waits until it is in force at all routers.
  void Apply(const std::string& kind,
             const std::string& name,
             const std::string& spec);

  // The body of a streaming chat completion request.
  static std::string ChatBody(const std::string& model,
                              int tokens,
                              const std::string& prompt = "hello");

 private:
  struct Program {
    std::vector<std::string> arguments;
    std::string http_url;
    GSubprocess* process = nullptr;
  };

  void AddStandin(const std::string& name,
                  const std::string& kind,
                  std::vector<std::string> options);
  void AddDaemon(const std::string& name,
                 const std::string& role,
                 const std::string& settings);
  void PublishVmList(const std::vector<std::string>& removed_vms);
  std::int64_t ReadStatusKb(const std::string& name, std::string_view field);

  std::string m_folder;
  std::vector<int> m_reserved_ports;
  std::map<std::string, Program> m_programs;
  std::map<std::string, std::string> m_vm_entries;
  std::map<std::string, std::string> m_peer_endpoints;
  std::vector<std::string> m_start_order;
  std::string m_seeds;
  std::string m_curve_settings;
  std::string m_memory_settings;
  int m_routers = 0;
};

}  // namespace boragepick
