// A whole deployment on loopback: real daemons and stand-ins as processes of
// their own, ended with the object.
#pragma once

#include <gio/gio.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "tools/cli/client.h"

namespace boragepick {

// Polls until `holds` returns true; false after a generous deadline.
bool WaitUntil(const std::function<bool()>& holds);

// The number behind "name": in a flat JSON text; -1 when it is absent.
std::int64_t NumberIn(const std::string& json, const std::string& name);

class Deployment {
 public:
  struct Shape {
    int routers = 2;
    int engines = 2;
    int services = 1;
    unsigned load_ms = 200;
    unsigned token_ms = 10;
    unsigned engine_slots = 16;
    // Messages between processes are encrypted.
    bool curve = false;
  };

  explicit Deployment(const Shape& shape);
  ~Deployment();
  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;

  // Names: kv, vms, e0.., s0.. (stand-ins); r0.., w0.., c0.. (daemons).
  void Signal(const std::string& name, int signal);
  // Ends a process at once; Start() begins a new run of it.
  void Kill(const std::string& name);
  void Start(const std::string& name);
  // Whether the process has ended by itself with status 0.
  bool EndedWell(const std::string& name);
  void Fault(const std::string& standin, const std::string& query);
  std::int64_t Stat(const std::string& standin, const std::string& name);
  std::string HttpOf(const std::string& name) const;
  // Processor time used by a process over some seconds, in percent of a core.
  double IdleCpuPercent(const std::string& name);
  // The resident memory of a process, in KB.
  std::int64_t MemoryKb(const std::string& name);
  // Processor time that a process has used, in seconds.
  double CpuSeconds(const std::string& name);
  // Sends what is no frame to a daemon's peer port.
  void SendForeignBytes(const std::string& daemon);
  // Shows the list of VMs without these.
  void ListWithout(const std::vector<std::string>& gone);

  struct Answer {
    unsigned status = 0;
    std::string body;
    // An exception of the connection ended it.
    bool broken = false;
    bool Whole() const { return body.ends_with("data: [DONE]\n\n"); }
  };
  struct Call {
    std::string path = "/v1/chat/completions";
    std::string body;
    std::string key = "key-a";
    std::string idempotency_key;
    int deadline_ms = 20'000;
    // Called with each piece of a stream.
    std::function<void()> on_bytes;
  };
  Answer Ask(const std::string& router, const Call& call);
  Answer Operate(const std::string& router,
                 const std::string& method,
                 const std::string& path,
                 const std::string& body = "");
  // Applies a resource and waits until all routers have it in force.
  void Apply(const std::string& kind,
             const std::string& name,
             const std::string& spec);

  static std::string Chat(const std::string& model,
                          int tokens,
                          const std::string& prompt = "hello");

 private:
  struct Program {
    std::vector<std::string> arguments;
    std::string http;
    GSubprocess* process = nullptr;
  };

  void AddStandin(const std::string& name,
                  const std::string& kind,
                  std::vector<std::string> extra);
  void AddDaemon(const std::string& name,
                 const std::string& role,
                 const std::string& settings);
  void PublishList(const std::vector<std::string>& gone);
  std::string FreeEndpoint();

  std::string m_folder;
  std::map<std::string, Program> m_programs;
  std::map<std::string, std::string> m_entries;
  std::map<std::string, std::string> m_peers;
  std::vector<std::string> m_start_order;
  std::string m_seeds;
  std::string m_curve;
  int m_routers = 0;
};

}  // namespace boragepick
