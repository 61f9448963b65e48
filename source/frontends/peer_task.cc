#include "frontends/peer_task.h"

#include <algorithm>
#include <array>
#include <string_view>

#include "common/endpoint.h"
#include "common/error.h"
#include "wire/peer_codec.h"

namespace boragepick {

namespace {

constexpr int kSendQueueMessages = 20'000;
constexpr int kReceiveQueueMessages = 100'000;
// A connection that has gone silent is found by TCP: by keep-alive probes while
// it is idle, and by the acknowledgements of what was sent. Heartbeats of
// ZeroMQ cost a timer a connection, in a list that is walked at each change.
constexpr int kKeepAliveIdleS = 1;
constexpr int kKeepAliveIntervalS = 1;
constexpr int kKeepAliveProbes = 3;
constexpr int kUnacknowledgedTimeoutMs = 3'000;
constexpr int kConnectTimeoutMs = 1'000;
constexpr int kReconnectIntervalMs = 100;
constexpr int kMaxReconnectIntervalMs = 2'000;
constexpr std::int64_t kMaxFrameBytes = 64 << 20;
// Time to send the queued messages when the process ends.
constexpr int kShutdownLingerMs = 500;
// Limit of open connections. A new one beyond it replaces the least recently
// used one.
constexpr std::size_t kMaxOutgoingSockets = 2'000;
// Limits the messages received in a row, so that sends are not delayed.
constexpr int kMaxReceiveBatch = 256;

void EnableKeepAlive(zmq::socket_t& socket) {
  socket.set(zmq::sockopt::tcp_keepalive, 1);
  socket.set(zmq::sockopt::tcp_keepalive_idle, kKeepAliveIdleS);
  socket.set(zmq::sockopt::tcp_keepalive_intvl, kKeepAliveIntervalS);
  socket.set(zmq::sockopt::tcp_keepalive_cnt, kKeepAliveProbes);
  socket.set(zmq::sockopt::tcp_maxrt, kUnacknowledgedTimeoutMs);
}

}  // namespace

PeerTask::PeerTask(PeerOptions options, PeerCallbacks callbacks)
    : m_options(std::move(options)),
      m_callbacks(std::move(callbacks)),
      m_incoming(m_context, zmq::socket_type::pull) {
  m_incoming.set(zmq::sockopt::linger, 0);
  m_incoming.set(zmq::sockopt::rcvhwm, kReceiveQueueMessages);
  m_incoming.set(zmq::sockopt::maxmsgsize, kMaxFrameBytes);
  EnableKeepAlive(m_incoming);
  const std::string& endpoint = m_options.self.endpoint;
  try {
    EnableCurve(m_incoming, true);
    m_incoming.bind("tcp://" + endpoint);
  } catch (const zmq::error_t& error) {
    throw Error(Step::kListen, endpoint, error.what());
  }
}

PeerTask::~PeerTask() {
  Stop();
}

void PeerTask::EnableCurve(zmq::socket_t& socket, bool server) const {
  if (m_options.curve_public_key.empty())
    return;
  socket.set(zmq::sockopt::curve_secretkey, m_options.curve_secret_key);
  socket.set(zmq::sockopt::curve_publickey, m_options.curve_public_key);
  if (server)
    socket.set(zmq::sockopt::curve_server, true);
  else
    socket.set(zmq::sockopt::curve_serverkey, m_options.curve_public_key);
}

void PeerTask::Start() {
  m_thread = std::thread([this] { Run(); });
}

void PeerTask::Stop() {
  if (!m_thread.joinable())
    return;
  m_mailbox.Post(StopTask{});
  m_thread.join();
}

void PeerTask::Run() {
  bool running = true;
  while (running) {
    std::array<zmq::pollitem_t, 2> items{
        zmq::pollitem_t{m_incoming.handle(), 0, ZMQ_POLLIN, 0},
        zmq::pollitem_t{nullptr, m_mailbox.wake_up().fd(), ZMQ_POLLIN, 0}};
    zmq::poll(items.data(), items.size(), std::chrono::milliseconds(-1));
    running = HandlePosted();
    Receive();
  }
  for (auto& [endpoint, outgoing] : m_outgoing)
    outgoing.socket.set(zmq::sockopt::linger, kShutdownLingerMs);
  m_outgoing.clear();
  m_incoming.close();
}

bool PeerTask::HandlePosted() {
  for (const auto& message : m_mailbox.TakeAll()) {
    if (const auto* send = std::get_if<SendToEndpoint>(&message))
      On(*send);
    else if (const auto* reconnect = std::get_if<ReconnectPeer>(&message))
      On(*reconnect);
    else
      return false;
  }
  return true;
}

void PeerTask::On(const SendToEndpoint& message) {
  // ZeroMQ would ignore what follows a NUL and look up host names.
  if (!ParseHostEndpoint(message.endpoint)) {
    m_callbacks.log({.event = LogEvent::kPeerFrameRejected,
                     .fields = {{"peer", message.endpoint},
                                {"detail", "the endpoint is not ip:port"}}});
    return;
  }
  try {
    OutgoingSocket& outgoing = GetOrConnect(message.endpoint);
    outgoing.last_used = ++m_send_count;
    const std::string frame = EncodePeerFrame(m_options.self, message.message);
    // The message is dropped if the queue is full, that is, if the peer doesn't
    // read. The sender detects a missing reply by its own timeout.
    outgoing.socket.send(zmq::buffer(frame), zmq::send_flags::dontwait);
  } catch (const zmq::error_t& error) {
    m_callbacks.log(
        {.event = LogEvent::kPeerFrameRejected,
         .fields = {{"peer", message.endpoint}, {"detail", error.what()}}});
  }
}

void PeerTask::On(const ReconnectPeer& message) {
  m_outgoing.erase(message.endpoint);
}

PeerTask::OutgoingSocket& PeerTask::GetOrConnect(const std::string& endpoint) {
  const auto found = m_outgoing.find(endpoint);
  if (found != m_outgoing.end())
    return found->second;
  if (m_outgoing.size() >= kMaxOutgoingSockets)
    CloseLeastRecentlyUsed();
  zmq::socket_t socket(m_context, zmq::socket_type::push);
  socket.set(zmq::sockopt::linger, 0);
  socket.set(zmq::sockopt::sndhwm, kSendQueueMessages);
  EnableKeepAlive(socket);
  socket.set(zmq::sockopt::connect_timeout, kConnectTimeoutMs);
  socket.set(zmq::sockopt::reconnect_ivl, kReconnectIntervalMs);
  socket.set(zmq::sockopt::reconnect_ivl_max, kMaxReconnectIntervalMs);
  EnableCurve(socket, false);
  socket.connect("tcp://" + endpoint);
  return m_outgoing
      .emplace(endpoint, OutgoingSocket{.socket = std::move(socket)})
      .first->second;
}

void PeerTask::CloseLeastRecentlyUsed() {
  const auto least_recent = std::ranges::min_element(
      m_outgoing, {}, [](const auto& entry) { return entry.second.last_used; });
  m_outgoing.erase(least_recent);
}

void PeerTask::Receive() {
  zmq::message_t message;
  for (int i = 0; i < kMaxReceiveBatch; ++i) {
    if (!m_incoming.recv(message, zmq::recv_flags::dontwait))
      return;
    try {
      const std::string_view bytes(static_cast<const char*>(message.data()),
                                   message.size());
      PeerFrame frame = DecodePeerFrame(bytes, "peer port");
      m_callbacks.received(
          {.from = std::move(frame.from), .message = std::move(frame.message)});
    } catch (const Error& error) {
      m_callbacks.log({.event = LogEvent::kPeerFrameRejected,
                       .fields = {{"detail", error.what()}}});
    }
  }
}

}  // namespace boragepick
