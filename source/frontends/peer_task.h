// The task that owns the ZeroMQ sockets between the system's processes: one
// that receives, and one towards each peer that is sent to. What is sent may be
// lost; nothing here repeats it.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <thread>
#include <variant>
#include <zmq.hpp>

#include "core/peer_messages.h"
#include "core/router/router_messages.h"
#include "frontends/mailbox.h"

namespace boragepick {

struct PeerOptions {
  // This process as its peers see it.
  PeerSender self;
  // Z85 keys of the fleet; empty for messages in the clear.
  std::string curve_public_key;
  std::string curve_secret_key;
};

struct PeerCallbacks {
  std::function<void(PeerMessageReceived)> received;
  std::function<void(LogRecord)> log;
};

class PeerTask {
 public:
  // Binds; throws Error at Step::kListen.
  PeerTask(PeerOptions options, PeerCallbacks outlet);
  ~PeerTask();
  PeerTask(const PeerTask&) = delete;
  PeerTask& operator=(const PeerTask&) = delete;

  void Start();
  // From any thread.
  void Post(SendToEndpoint message) { m_mailbox.Post(std::move(message)); }
  void Post(ReconnectPeer message) { m_mailbox.Post(std::move(message)); }
  // Sends what was posted before and ends.
  void Stop();

 private:
  struct StopPeers {};
  struct Outgoing {
    zmq::socket_t socket;
    // Sends since this process has used it; for the oldest to be closed first.
    std::uint64_t last_used = 0;
  };

  void Run();
  bool TakePosted();
  void On(const SendToEndpoint& message);
  void On(const ReconnectPeer& message);
  void Receive();
  Outgoing& SocketTo(const std::string& endpoint);
  void CloseOldest();
  void SetCurve(zmq::socket_t& socket, bool server) const;

  PeerOptions m_options;
  PeerCallbacks m_outlet;
  zmq::context_t m_context;
  zmq::socket_t m_incoming;
  std::map<std::string, Outgoing> m_outgoing;
  std::uint64_t m_uses = 0;
  Mailbox<std::variant<SendToEndpoint, ReconnectPeer, StopPeers>> m_mailbox;
  std::thread m_thread;
};

}  // namespace boragepick
