// A worker answers a long request early, with a body that has no length, and
// crashes in the middle of it: its connection is reset.
#include "../standins.h"

namespace {

using namespace review;

// max-body-bytes of the sheets: more than the buffers of two sockets hold while
// the worker does not read.
constexpr std::size_t kRequestBytes = 4'194'304;
// The worker's window is small, as DEPLOY.md says of links.
constexpr int kWindow = 16'384;
constexpr std::size_t kResponseBytes = 2'000;
constexpr int kRounds = 3;

std::string WholeBody() {
  std::string body;
  for (int line = 0; body.size() < kResponseBytes; ++line)
    body += "line " + std::to_string(line) + " of the booking's receipt\n";
  return body;
}

// The worker runs as a process of its own, which is killed with SIGKILL.
class Worker {
 public:
  Worker(int port, bool stalls) {
    m_pid = fork();
    if (m_pid == 0) {
      EndWithParent();
      Server server([stalls](int fd) { Serve(fd, stalls); }, port, kWindow);
      while (true)
        pause();
    }
  }
  ~Worker() { Kill(); }
  void Kill() {
    if (m_pid <= 0)
      return;
    kill(m_pid, SIGKILL);
    waitpid(m_pid, nullptr, 0);
    m_pid = -1;
  }

 private:
  static void Serve(int fd, bool stalls) {
    Reader reader(fd);
    Message request;
    if (!reader.ReadHead(request, milliseconds(60'000)))
      return;
    // The request's body is read on later, the answer comes before.
    const std::string body = WholeBody();
    const std::string head =
        "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
        "X-Boragepick-Request-Id: " + request.Field("X-Boragepick-Request-Id") +
        "\r\nX-Boragepick-Response-Signature: 3e1b.07.5a2.600.0.c9f2a4d1\r\n"
        "Connection: close\r\n\r\n";
    SendAll(fd, head + body.substr(0, body.size() / 2));
    if (stalls) {
      while (true)
        pause();
    }
    SleepMs(400);
    SendAll(fd, body.substr(body.size() / 2));
    reader.ReadBody(request, milliseconds(5'000), false);
  }

  pid_t m_pid = -1;
};

struct Answer {
  bool any = false;
  Message message;
};

Answer SendBooking(int port, const std::string& id) {
  const int fd = Connect(port);
  Answer answer;
  if (fd < 0)
    return answer;
  SendAll(fd, RequestHead("POST", "/book/2f", id, 8'000, kRequestBytes));
  SendAll(fd, std::string(kRequestBytes, 'b'));
  answer.any = Reader(fd).ReadResponse(answer.message, milliseconds(9'000));
  close(fd);
  return answer;
}

int Run(const std::string& folder, const std::string& temporary) {
  Record record(folder + "/record.txt");
  const bool trouble = WithTrouble();
  const std::vector<int> ports = FreePorts(5);
  if (ports.size() < 5)
    return kCouldNotRun;
  const int worker_port = ports[4];
  int broken = 0;
  int whole = 0;
  for (int round = 1; round <= kRounds; ++round) {
    // The worker starts before this process has any thread.
    Worker worker(worker_port, trouble);
    static Store* const store = new Store;
    store->Put("op/config",
               Config(1, Json::array({Route("r-1", "/book/", "non_idempotent",
                                            "orders", 8'000)}),
                      Json::array({PlainService("orders")})));
    const std::string worker_id = "i-7f3a91c" + std::to_string(round);
    store->Put("servers/" + worker_id,
               WorkerEntry("orders", "127.0.0.1:" + std::to_string(worker_port),
                           UnixMs()));
    const GatewayPorts gateway_ports{ports[0], ports[1], ports[2], ports[3]};
    Process gateway(temporary, "gateway",
                    GatewaySettings(gateway_ports, store->address(), 7600));
    if (!AwaitReady(gateway_ports.ready, milliseconds(10'000))) {
      record.Add("the gateway did not become ready");
      return kCouldNotRun;
    }
    SleepMs(300);
    std::thread crash([&] {
      if (!trouble)
        return;
      SleepMs(1'500);
      record.Add("the worker is killed");
      worker.Kill();
    });
    const std::string id = "9c41d07be2a35f6" + std::to_string(round);
    record.Add("booking " + id + " of " + std::to_string(kRequestBytes) +
               " bytes is sent");
    const Answer answer = SendBooking(gateway_ports.front, id);
    crash.join();
    store->Remove("servers/" + worker_id);
    const Message& message = answer.message;
    const std::string expected = WholeBody();
    record.Add(
        "the worker wrote " +
        std::to_string(trouble ? expected.size() / 2 : expected.size()) + " of " +
        std::to_string(expected.size()) + " bytes of its answer" +
        (trouble ? " before it was killed" : ""));
    if (!answer.any) {
      record.Add("the client got no answer");
      continue;
    }
    record.Add("the client got " + std::to_string(message.status) +
               ", signature '" +
               message.Field("X-Boragepick-Response-Signature") +
               "', Content-Length '" + message.Field("Content-Length") + "', " +
               std::to_string(message.body.size()) + " bytes, " +
               (message.complete ? "complete by its framing" : "incomplete"));
    const bool success = message.status / 100 == 2 && message.complete;
    if (success && message.body == expected)
      ++whole;
    else if (success)
      ++broken;
  }
  record.Add(std::to_string(broken) + " of " + std::to_string(kRounds) +
             " answers are successes that lack a part of the worker's body, " +
             std::to_string(whole) + " are whole");
  if (!trouble)
    return broken == 0 && whole == kRounds ? kHeld : kBroken;
  return broken > 0 ? kBroken : kHeld;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 3)
    return kCouldNotRun;
  return Run(argv[1], argv[2]);
}
