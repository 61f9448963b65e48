#include "frontends/process.h"

#include <signal.h>
#include <unistd.h>

#include <chrono>
#include <functional>
#include <type_traits>

#include "core/agent/agent.h"
#include "core/placement/planner.h"
#include "core/router/router.h"
#include "frontends/http_frontend.h"
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

HttpFrontendOptions MakeFrontendOptions(const DaemonSettings& settings,
                                        Incarnation incarnation) {
  return {
      .endpoint = ParseEndpoint(settings.http_endpoint),
      .max_body_bytes = static_cast<std::size_t>(settings.max_body_bytes),
      .defaults = {.patience =
                       std::chrono::milliseconds(settings.default_timeout_ms)},
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
  GlibTask<FrontendMessage>& front;

  void Carry(SendToEndpoint effect) { peers.Post(std::move(effect)); }
  void Carry(ReconnectPeer effect) { peers.Post(std::move(effect)); }
  void Carry(OperatorReplied effect) { front.Post(std::move(effect)); }
  void Carry(LogEffect effect) { log.Post(std::move(effect.record)); }
  void Carry(const DrainCompleted& /*effect*/) {
    front.Post(FinishResponses{});
  }
  void ReadyChanged(bool ready) {
    front.Post(ReadinessChanged{.ready = ready});
  }
};

template <typename Effect>
concept CommonEffect = requires(CommonTasks tasks, Effect effect) {
  tasks.Carry(std::move(effect));
};

// Carries a machine's effects to the tasks: `Other` is the task that only one
// role has, towards the platform or the upstream.
template <typename Effect, typename OtherMessage>
class Outlet {
 public:
  Outlet(CommonTasks common, GlibTask<OtherMessage>& other)
      : m_common(common), m_other(other) {}

  void Carry(Effect effect) {
    std::visit([this](auto& held) { Route(std::move(held)); }, effect);
  }
  void ReadyChanged(bool ready) { m_common.ReadyChanged(ready); }

 private:
  template <typename Held>
  void Route(Held held) {
    if constexpr (CommonEffect<Held>)
      m_common.Carry(std::move(held));
    else if constexpr (std::is_constructible_v<FrontendMessage, Held>)
      m_common.front.Post(std::move(held));
    else
      m_other.Post(std::move(held));
  }

  CommonTasks m_common;
  GlibTask<OtherMessage>& m_other;
};

// One machine with the tasks round it.
template <Machine M, typename OtherMessage>
class Daemon {
 public:
  using Event = typename M::Event;

  Daemon(const DaemonSettings& settings, Incarnation incarnation, M& machine)
      : m_settings(settings),
        m_incarnation(incarnation),
        m_log(settings.log_file, settings.log_decisions),
        m_peers(MakePeerOptions(settings, incarnation),
                {.received = ToMachine(), .log = ToLog()}),
        m_outlet({.log = m_log, .peers = m_peers, .front = m_front}, m_other),
        m_machine(machine, m_outlet) {}

  std::function<void(Event)> ToMachine() {
    return [this](Event event) { m_machine.Post(std::move(event)); };
  }
  std::function<void(LogRecord)> ToLog() {
    return [this](LogRecord record) { m_log.Post(std::move(record)); };
  }
  GlibTask<OtherMessage>& other() { return m_other; }

  // Serves until it was asked to stop and nothing is left to do.
  void Run(HttpFrontendCallbacks front) {
    front.operator_asked = [post = ToMachine()](OperatorRequest request) {
      post(OperatorRequestReceived{std::move(request)});
    };
    front.answers_finished = ReportEnd;
    try {
      m_front.Start<HttpFrontend>(
          MakeFrontendOptions(m_settings, m_incarnation), std::move(front));
    } catch (...) {
      // why: it posts to the machine, which is destroyed before it
      m_other.Stop();
      throw;
    }
    m_peers.Start();
    m_machine.Start();
    m_log.Post(StartedRecord(m_settings, m_incarnation));
    WaitForEnd([this] { m_machine.Post(DrainRequested{}); });
    m_machine.Stop();
    m_front.Stop();
    m_other.Stop();
    m_peers.Stop();
    m_log.Post(
        {.event = LogEvent::kStopped, .fields = {{"vm", m_settings.vm}}});
  }

 private:
  const DaemonSettings& m_settings;
  Incarnation m_incarnation;
  LogTask m_log;
  GlibTask<FrontendMessage> m_front;
  GlibTask<OtherMessage> m_other;
  PeerTask m_peers;
  Outlet<typename M::Effect, OtherMessage> m_outlet;
  MachineTask<M, Outlet<typename M::Effect, OtherMessage>> m_machine;
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
                 .drain_grace = milliseconds(settings.drain_grace_ms)});
  Daemon<Router, PlatformMessage> daemon(settings, incarnation, router);
  daemon.other().Start<PlatformClient>(
      PlatformOptions{
          .key_value_url = settings.platform_url,
          .vm_list_url = settings.vm_list_url,
          .timeout_ms = static_cast<unsigned>(settings.platform_timeout_ms)},
      PlatformCallbacks{.event = daemon.ToMachine(), .log = daemon.ToLog()});
  const auto post = daemon.ToMachine();
  daemon.Run({.caller_arrived =
                  [post](CallerRequest request) {
                    post(CallerRequestReceived{std::move(request)});
                  },
              .caller_gone =
                  [post](RequestId id) { post(CallerConnectionClosed{id}); }});
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
       .progress_timeout = milliseconds(settings.upstream_progress_ms),
       .drain_grace = milliseconds(settings.drain_grace_ms)});
  Daemon<Agent, UpstreamMessage> daemon(settings, incarnation, agent);
  daemon.other().Start<UpstreamClient>(
      UpstreamOptions{
          .url = settings.upstream_url,
          .engine = settings.upstream_pool == kModelPool,
          .slots = static_cast<unsigned>(settings.upstream_slots),
          .load_timeout_ms = static_cast<unsigned>(settings.load_timeout_ms)},
      UpstreamEventHandler(daemon.ToMachine()));
  daemon.Run({.caller_gone = [](RequestId) {}});
}

}  // namespace boragepick
