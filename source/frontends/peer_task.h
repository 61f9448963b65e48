// The task that owns the ZeroMQ sockets between the system's processes: one for
// all incoming messages and one for each peer that messages are sent to.
// Delivery is best effort; lost messages are not sent again.
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
  // The sender in all outgoing messages.
  PeerSender self;
  // CURVE keys of the fleet in Z85; empty for unencrypted messages.
  std::string curve_public_key;
  std::string curve_secret_key;
};

struct PeerCallbacks {
  std::function<void(PeerMessageReceived)> received;
  std::function<void(LogRecord)> log;
};

class PeerTask {
 public:
  // Binds the incoming socket; throws Error at Step::kListen.
  PeerTask(PeerOptions options, PeerCallbacks callbacks);
  ~PeerTask();
  PeerTask(const PeerTask&) = delete;
  PeerTask& operator=(const PeerTask&) = delete;

  void Start();
  // May be called from any thread.
  void Post(SendToEndpoint message) { m_mailbox.Post(std::move(message)); }
  void Post(ReconnectPeer message) { m_mailbox.Post(std::move(message)); }
  // Sends the messages posted before the call, then ends the thread.
  void Stop();

 private:
  struct StopTask {};
  struct OutgoingSocket {
    zmq::socket_t socket;
    // Value of `m_send_count` at the last use, to find the least recently used
    // socket.
    std::uint64_t last_used = 0;
  };

  void Run();
  bool HandlePosted();
  void On(const SendToEndpoint& message);
  void On(const ReconnectPeer& message);
  void Receive();
  OutgoingSocket& GetOrConnect(const std::string& endpoint);
  void CloseLeastRecentlyUsed();
  void EnableCurve(zmq::socket_t& socket, bool server) const;

  PeerOptions m_options;
  PeerCallbacks m_callbacks;
  zmq::context_t m_context;
  zmq::socket_t m_incoming;
  std::map<std::string, OutgoingSocket> m_outgoing;
  std::uint64_t m_send_count = 0;
  Mailbox<std::variant<SendToEndpoint, ReconnectPeer, StopTask>> m_mailbox;
  std::thread m_thread;
};

}  // namespace boragepick
