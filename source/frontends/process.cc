#include "frontends/process.h"

#include <signal.h>
#include <unistd.h>

#include <chrono>
#include <functional>
#include <type_traits>

#include "core/agent/agent.h"
#include "core/placement/planner.h"
#include "core/router/router.h"
#include "core/scheduling/memory_plan.h"
#include "frontends/http_frontend.h"
#include "frontends/log_task.h"
#include "frontends/machine_task.h"
#include "frontends/peer_task.h"
#include "frontends/platform_client.h"
#include "frontends/upstream_client.h"

namespace boragepick {

namespace {

// Taken from the wall clock, which increases from one start of the process to
// the next; the boot clock restarts with the VM.
Incarnation NewIncarnation() {
  using std::chrono::milliseconds;
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<Incarnation>(
      std::chrono::duration_cast<milliseconds>(now).count());
}

// Ends the wait in WaitForShutdown(); called when the drain is complete.
void NotifyDrained() {
  kill(getpid(), SIGUSR1);
}

// Waits for the first stop signal, calls `drain`, then waits for
// NotifyDrained() or a second stop signal.
template <typename Drain>
void WaitForShutdown(Drain drain) {
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

HttpFrontendOptions MakeFrontendOptions(const DaemonSettings& settings,
                                        Incarnation incarnation) {
  return {
      .endpoint = ParseEndpoint(settings.http_endpoint),
      .max_body_bytes = static_cast<std::size_t>(settings.max_body_bytes),
      .max_request_bytes = PlanMemory(settings.memory_mb).copied_request_bytes,
      .max_unsent_bytes = PlanMemory(settings.memory_mb).max_unsent_bytes,
      .defaults = {.timeout =
                       std::chrono::milliseconds(settings.default_timeout_ms)},
      .operator_token_sha256 = settings.operator_token_sha256,
      .writer_token_prefix =
          settings.vm + "/" + std::to_string(incarnation) + "/"};
}

PeerOptions MakePeerOptions(const DaemonSettings& settings,
                            Incarnation incarnation) {
  return {.self = {.vm = settings.vm,
                   .incarnation = incarnation,
                   .endpoint = settings.peer_endpoint},
          .curve_public_key = settings.curve_public_key,
          .curve_secret_key = settings.curve_secret_key};
}

LogRecord MakeStartedRecord(const DaemonSettings& settings,
                            Incarnation incarnation) {
  return {.event = LogEvent::kStarted,
          .fields = {{"role", settings.role},
                     {"vm", settings.vm},
                     {"data_centre", settings.data_centre},
                     {"peers", settings.peer_endpoint},
                     {"http", settings.http_endpoint},
                     {"incarnation", std::to_string(incarnation)}}};
}

// The tasks of both roles, with the effects that they carry out.
struct CommonTasks {
  LogTask& log;
  PeerTask& peers;
  GlibTask<FrontendMessage>& frontend;

  void Dispatch(SendToEndpoint effect) { peers.Post(std::move(effect)); }
  void Dispatch(ReconnectPeer effect) { peers.Post(std::move(effect)); }
  void Dispatch(OperatorReplied effect) { frontend.Post(std::move(effect)); }
  void Dispatch(LogEffect effect) { log.Post(std::move(effect.record)); }
  void Dispatch(const DrainCompleted& /*effect*/) {
    frontend.Post(FinishResponses{});
  }
  void OnReadyChanged(bool ready) {
    frontend.Post(ReadinessChanged{.ready = ready});
  }
};

template <typename Effect>
concept CommonEffect = requires(CommonTasks tasks, Effect effect) {
  tasks.Dispatch(std::move(effect));
};

// Posts the effects of a state machine to the tasks. `RoleMessage` is the
// message type of the task that only this role has: the platform client of a
// router, the upstream client of an agent.
template <typename Effect, typename RoleMessage>
class EffectDispatcher {
 public:
  EffectDispatcher(CommonTasks common, GlibTask<RoleMessage>& role_task)
      : m_common(common), m_role_task(role_task) {}

  void Dispatch(Effect effect) {
    std::visit(
        [this](auto& alternative) {
          DispatchAlternative(std::move(alternative));
        },
        effect);
  }
  void OnReadyChanged(bool ready) { m_common.OnReadyChanged(ready); }

 private:
  template <typename Alternative>
  void DispatchAlternative(Alternative alternative) {
    if constexpr (CommonEffect<Alternative>)
      m_common.Dispatch(std::move(alternative));
    else if constexpr (std::is_constructible_v<FrontendMessage, Alternative>)
      m_common.frontend.Post(std::move(alternative));
    else
      m_role_task.Post(std::move(alternative));
  }

  CommonTasks m_common;
  GlibTask<RoleMessage>& m_role_task;
};

// A state machine with the tasks that carry out its effects.
template <Machine M, typename RoleMessage>
class Daemon {
 public:
  using Event = typename M::Event;

  Daemon(const DaemonSettings& settings, Incarnation incarnation, M& machine)
      : m_settings(settings),
        m_incarnation(incarnation),
        m_log(settings.log_file, settings.log_decisions),
        m_peers(MakePeerOptions(settings, incarnation),
                {.received = MachineCallback(), .log = LogCallback()}),
        m_dispatcher({.log = m_log, .peers = m_peers, .frontend = m_frontend},
                     m_role_task),
        m_machine(machine, m_dispatcher) {}

  std::function<void(Event)> MachineCallback() {
    return [this](Event event) { m_machine.Post(std::move(event)); };
  }
  std::function<void(LogRecord)> LogCallback() {
    return [this](LogRecord record) { m_log.Post(std::move(record)); };
  }
  GlibTask<RoleMessage>& role_task() { return m_role_task; }

  // Serves until a stop signal and the end of the drain.
  void Run(HttpFrontendCallbacks callbacks) {
    callbacks.on_operator_request =
        [post = MachineCallback()](OperatorRequest request) {
          post(OperatorRequestReceived{std::move(request)});
        };
    callbacks.on_responses_sent = NotifyDrained;
    try {
      m_frontend.Start<HttpFrontend>(
          MakeFrontendOptions(m_settings, m_incarnation), std::move(callbacks));
    } catch (...) {
      // The role's task posts to m_machine, which is destroyed before it.
      m_role_task.Stop();
      throw;
    }
    m_peers.Start();
    m_machine.Start();
    m_log.Post(MakeStartedRecord(m_settings, m_incarnation));
    WaitForShutdown([this] { m_machine.Post(DrainRequested{}); });
    m_machine.Stop();
    m_frontend.Stop();
    m_role_task.Stop();
    m_peers.Stop();
    m_log.Post(
        {.event = LogEvent::kStopped, .fields = {{"vm", m_settings.vm}}});
  }

 private:
  const DaemonSettings& m_settings;
  Incarnation m_incarnation;
  LogTask m_log;
  GlibTask<FrontendMessage> m_frontend;
  GlibTask<RoleMessage> m_role_task;
  PeerTask m_peers;
  EffectDispatcher<typename M::Effect, RoleMessage> m_dispatcher;
  MachineTask<M, EffectDispatcher<typename M::Effect, RoleMessage>> m_machine;
};

}  // namespace

void RunRouter(const DaemonSettings& settings) {
  using std::chrono::milliseconds;
  const Incarnation incarnation = NewIncarnation();
  Router router({.vm = settings.vm,
                 .data_centre = settings.data_centre,
                 .incarnation = incarnation,
                 .endpoint = settings.peer_endpoint,
                 .seeds = settings.seeds,
                 .random_seed = incarnation,
                 .response_flow = {.pool_bytes = PlanMemory(settings.memory_mb)
                                                     .response_pool_bytes},
                 .drain_grace = milliseconds(settings.drain_grace_ms)});
  Daemon<Router, PlatformMessage> daemon(settings, incarnation, router);
  daemon.role_task().Start<PlatformClient>(
      PlatformOptions{
          .key_value_url = settings.platform_url,
          .vm_list_url = settings.vm_list_url,
          .timeout_ms = static_cast<unsigned>(settings.platform_timeout_ms)},
      PlatformCallbacks{.event = daemon.MachineCallback(),
                        .log = daemon.LogCallback()});
  const auto post = daemon.MachineCallback();
  daemon.Run({.on_caller_request =
                  [post](CallerRequest request) {
                    post(CallerRequestReceived{std::move(request)});
                  },
              .on_caller_disconnected =
                  [post](RequestId id) { post(CallerConnectionClosed{id}); },
              .on_response_written =
                  [post](const CallerResponseWritten& event) { post(event); }});
}

void RunAgent(const DaemonSettings& settings) {
  using std::chrono::milliseconds;
  const Incarnation incarnation = NewIncarnation();
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
       .max_request_bytes = PlanMemory(settings.memory_mb).copied_request_bytes,
       .progress_timeout = milliseconds(settings.upstream_progress_timeout_ms),
       .drain_grace = milliseconds(settings.drain_grace_ms)});
  Daemon<Agent, UpstreamMessage> daemon(settings, incarnation, agent);
  daemon.role_task().Start<UpstreamClient>(
      UpstreamOptions{
          .url = settings.upstream_url,
          .is_engine = settings.upstream_pool == kModelPool,
          .slots = static_cast<unsigned>(settings.upstream_slots),
          .load_timeout_ms = static_cast<unsigned>(settings.load_timeout_ms)},
      UpstreamEventHandler(daemon.MachineCallback()));
  daemon.Run({.on_caller_disconnected = [](RequestId) {}});
}

}  // namespace boragepick
