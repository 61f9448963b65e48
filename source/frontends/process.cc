#include "frontends/process.h"

#include <signal.h>
#include <unistd.h>

#include <chrono>
#include <type_traits>

#include "core/agent/agent.h"
#include "core/placement/planner.h"
#include "core/router/router.h"
#include "frontends/http_front.h"
#include "frontends/log_task.h"
#include "frontends/machine_task.h"
#include "frontends/peer_task.h"
#include "frontends/platform_client.h"
#include "frontends/upstream_client.h"

namespace boragepick {

namespace {

// The wall clock grows from start to start, also after the VM's boot clock
// began anew.
Incarnation NewIncarnation() {
  using std::chrono::milliseconds;
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<Incarnation>(
      std::chrono::duration_cast<milliseconds>(now).count());
}

// Wakes WaitForEnd(): the process has nothing left to do.
void ReportEnd() {
  kill(getpid(), SIGUSR1);
}

// Waits for the first stop signal, calls `drain`, then waits for ReportEnd() or
// a second stop signal.
template <typename Drain>
void WaitForEnd(Drain drain) {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGUSR1);
  int received = 0;
  sigwait(&signals, &received);
  if (received == SIGUSR1)
    return;
  drain();
  sigwait(&signals, &received);
}

FrontOptions MakeFrontOptions(const DaemonSettings& settings,
                              Incarnation incarnation) {
  return {
      .endpoint = ParseEndpoint(settings.http_endpoint),
      .max_body_bytes = static_cast<std::size_t>(settings.max_body_bytes),
      .defaults = {.patience =
                       std::chrono::milliseconds(settings.default_patience_ms)},
      .operator_token_sha256 = settings.operator_token_sha256,
      .writer_prefix = settings.vm + "/" + std::to_string(incarnation) + "/"};
}

PeerOptions MakePeerOptions(const DaemonSettings& settings,
                            Incarnation incarnation) {
  return {.self = {.vm = settings.vm,
                   .incarnation = incarnation,
                   .endpoint = settings.peer_endpoint},
          .curve_public_key = settings.curve_public_key,
          .curve_secret_key = settings.curve_secret_key};
}

LogRecord StartedRecord(const DaemonSettings& settings,
                        Incarnation incarnation) {
  return {.event = LogEvent::kStarted,
          .fields = {{"role", settings.role},
                     {"vm", settings.vm},
                     {"data_centre", settings.data_centre},
                     {"peers", settings.peer_endpoint},
                     {"http", settings.http_endpoint},
                     {"incarnation", std::to_string(incarnation)}}};
}

// The tasks that both roles have.
struct CommonTasks {
  LogTask& log;
  PeerTask& peers;
  GlibTask<FrontMessage>& front;

  void Carry(SendToEndpoint effect) { peers.Post(std::move(effect)); }
  void Carry(RenewPeer effect) { peers.Post(std::move(effect)); }
  void Carry(OperatorAnswered effect) { front.Post(std::move(effect)); }
  void Carry(LogEffect effect) { log.Post(std::move(effect.record)); }
  void Carry(const DrainDone& /*effect*/) { front.Post(FinishAnswers{}); }
  void ReadyChanged(bool ready) {
    front.Post(ReadinessChanged{.ready = ready});
  }
};

template <typename Effect>
concept CommonEffect = requires(CommonTasks tasks, Effect effect) {
  tasks.Carry(std::move(effect));
};

class RouterOutlet {
 public:
  RouterOutlet(CommonTasks common, GlibTask<PlatformMessage>& platform)
      : m_common(common), m_platform(platform) {}

  void Carry(RouterEffect effect) {
    std::visit([this](auto& held) { Route(std::move(held)); }, effect);
  }
  void ReadyChanged(bool ready) { m_common.ReadyChanged(ready); }

 private:
  template <typename Effect>
  void Route(Effect effect) {
    if constexpr (CommonEffect<Effect>)
      m_common.Carry(std::move(effect));
    else if constexpr (std::is_constructible_v<FrontMessage, Effect>)
      m_common.front.Post(std::move(effect));
    else
      m_platform.Post(std::move(effect));
  }

  CommonTasks m_common;
  GlibTask<PlatformMessage>& m_platform;
};

class AgentOutlet {
 public:
  AgentOutlet(CommonTasks common, GlibTask<UpstreamMessage>& upstream)
      : m_common(common), m_upstream(upstream) {}

  void Carry(AgentEffect effect) {
    std::visit([this](auto& held) { Route(std::move(held)); }, effect);
  }
  void ReadyChanged(bool ready) { m_common.ReadyChanged(ready); }

 private:
  template <typename Effect>
  void Route(Effect effect) {
    if constexpr (CommonEffect<Effect>)
      m_common.Carry(std::move(effect));
    else
      m_upstream.Post(std::move(effect));
  }

  CommonTasks m_common;
  GlibTask<UpstreamMessage>& m_upstream;
};

}  // namespace

void RunRouter(const DaemonSettings& settings) {
  const Incarnation incarnation = NewIncarnation();
  LogTask log(settings.log_file, settings.log_decisions);
  Router router(
      {.vm = settings.vm,
       .data_centre = settings.data_centre,
       .incarnation = incarnation,
       .endpoint = settings.peer_endpoint,
       .seeds = settings.seeds,
       .random_seed = incarnation,
       .drain_grace = std::chrono::milliseconds(settings.drain_grace_ms)});
  GlibTask<FrontMessage> front;
  GlibTask<PlatformMessage> platform;
  MachineTask<Router, RouterOutlet>* machine = nullptr;
  const auto to_machine = [&machine](RouterEvent event) {
    machine->Post(std::move(event));
  };
  const auto to_log = [&log](LogRecord record) { log.Post(std::move(record)); };
  PeerTask peers(MakePeerOptions(settings, incarnation),
                 {.received = to_machine, .log = to_log});
  RouterOutlet outlet({.log = log, .peers = peers, .front = front}, platform);
  MachineTask<Router, RouterOutlet> machine_task(router, outlet);
  machine = &machine_task;
  platform.Start<PlatformClient>(
      PlatformOptions{
          .key_value_url = settings.platform_url,
          .vm_list_url = settings.vm_list_url,
          .timeout_ms = static_cast<unsigned>(settings.platform_timeout_ms)},
      PlatformOutlet{.event = to_machine, .log = to_log});
  front.Start<HttpFront>(
      MakeFrontOptions(settings, incarnation),
      FrontOutlet{
          .caller_arrived =
              [=](CallerRequest request) {
                to_machine(CallerArrived{std::move(request)});
              },
          .caller_gone = [=](RequestId id) { to_machine(CallerGone{id}); },
          .operator_asked =
              [=](OperatorRequest request) {
                to_machine(OperatorAsked{std::move(request)});
              },
          .answers_finished = ReportEnd});
  peers.Start();
  machine_task.Start();
  log.Post(StartedRecord(settings, incarnation));
  WaitForEnd([&] { machine_task.Post(DrainAsked{}); });
  machine_task.Stop();
  front.Stop();
  platform.Stop();
  peers.Stop();
  log.Post({.event = LogEvent::kStopped, .fields = {{"vm", settings.vm}}});
}

void RunAgent(const DaemonSettings& settings) {
  const Incarnation incarnation = NewIncarnation();
  LogTask log(settings.log_file, settings.log_decisions);
  Agent agent(
      {.vm = settings.vm,
       .data_centre = settings.data_centre,
       .incarnation = incarnation,
       .endpoint = settings.peer_endpoint,
       .seeds = settings.seeds,
       .pool = settings.upstream_pool,
       .memory_mb = static_cast<std::uint64_t>(settings.upstream_memory_mb),
       .slots = static_cast<std::uint32_t>(settings.upstream_slots),
       .max_waiting = static_cast<std::uint32_t>(settings.upstream_max_waiting),
       .progress_timeout =
           std::chrono::milliseconds(settings.upstream_progress_ms),
       .drain_grace = std::chrono::milliseconds(settings.drain_grace_ms)});
  GlibTask<FrontMessage> front;
  GlibTask<UpstreamMessage> upstream;
  MachineTask<Agent, AgentOutlet>* machine = nullptr;
  const auto to_machine = [&machine](AgentEvent event) {
    machine->Post(std::move(event));
  };
  const auto to_log = [&log](LogRecord record) { log.Post(std::move(record)); };
  PeerTask peers(MakePeerOptions(settings, incarnation),
                 {.received = to_machine, .log = to_log});
  AgentOutlet outlet({.log = log, .peers = peers, .front = front}, upstream);
  MachineTask<Agent, AgentOutlet> machine_task(agent, outlet);
  machine = &machine_task;
  upstream.Start<UpstreamClient>(
      UpstreamOptions{
          .url = settings.upstream_url,
          .engine = settings.upstream_pool == kModelPool,
          .slots = static_cast<unsigned>(settings.upstream_slots),
          .load_timeout_ms = static_cast<unsigned>(settings.load_timeout_ms)},
      UpstreamOutlet(to_machine));
  front.Start<HttpFront>(
      MakeFrontOptions(settings, incarnation),
      FrontOutlet{.caller_gone = [](RequestId) {},
                  .operator_asked =
                      [=](OperatorRequest request) {
                        to_machine(OperatorAsked{std::move(request)});
                      },
                  .answers_finished = ReportEnd});
  peers.Start();
  machine_task.Start();
  log.Post(StartedRecord(settings, incarnation));
  WaitForEnd([&] { machine_task.Post(DrainAsked{}); });
  machine_task.Stop();
  front.Stop();
  upstream.Stop();
  peers.Stop();
  log.Post({.event = LogEvent::kStopped, .fields = {{"vm", settings.vm}}});
}

}  // namespace boragepick
