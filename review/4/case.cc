// The store cuts a waiting watch at about the time at which a worker leaves.
#include "../standins.h"

namespace {

using namespace review;

constexpr int kDrainMs = 2'000;
// A worker that leaves serves for drain-ms and a little longer.
constexpr int kLingerMs = kDrainMs + 350;
constexpr int kWorkMs = 200;
constexpr int kDeadlineMs = 1'500;
constexpr int kRounds = 4;

// A worker process stand-in: it can exit in the middle of its runs.
class Worker {
 public:
  Worker(Record& record, std::string id)
      : m_record(record),
        m_id(std::move(id)),
        m_server([this](int fd) { Serve(fd); }) {}
  std::string address() const { return m_server.address(); }
  void Exit() {
    m_record.Add("worker " + m_id + " exits");
    m_exited = true;
    const std::lock_guard lock(m_mutex);
    for (const int fd : m_connections)
      shutdown(fd, SHUT_RDWR);
  }
  // When each request reached the worker.
  std::map<std::string, Clock::time_point> Arrivals() {
    const std::lock_guard lock(m_mutex);
    return m_arrivals;
  }

 private:
  void Serve(int fd) {
    if (m_exited)
      return;
    {
      const std::lock_guard lock(m_mutex);
      m_connections.push_back(fd);
    }
    Reader reader(fd);
    Message request;
    while (request = {},
           !m_exited && reader.ReadRequest(request, milliseconds(60'000))) {
      const std::string id = request.Field("X-Boragepick-Request-Id");
      if (m_exited)
        break;
      {
        const std::lock_guard lock(m_mutex);
        m_arrivals[id] = Clock::now();
      }
      m_record.Add("worker " + m_id + " runs " + id);
      SleepMs(kWorkMs);
      if (m_exited ||
          !SendAll(fd, ResponseText(
                           200,
                           "X-Boragepick-Request-Id: " + id +
                               "\r\nX-Boragepick-Response-Signature: "
                               "3e1b.07.5a2.600.0.c9f2a4d1\r\n",
                           "booked " + id)))
        break;
    }
    const std::lock_guard lock(m_mutex);
    std::erase(m_connections, fd);
  }

  Record& m_record;
  std::string m_id;
  std::mutex m_mutex;
  std::map<std::string, Clock::time_point> m_arrivals;
  std::vector<int> m_connections;
  std::atomic<bool> m_exited = false;
  Server m_server;
};

int Run(const std::string& folder, const std::string& temporary) {
  Record& record = *new Record(folder + "/record.txt");
  const bool trouble = WithTrouble();
  const std::vector<int> ports = FreePorts(4);
  if (ports.size() < 4)
    return kCouldNotRun;
  Store& store = *new Store;
  store.Put("op/config",
            Config(1, Json::array({Route("r-1", "/book/", "non_idempotent",
                                         "orders", kDeadlineMs)}),
                   Json::array({PlainService("orders")})));
  Worker& stays = *new Worker(record, "i-00000001");
  store.Put("servers/i-00000001",
            WorkerEntry("orders", stays.address(), UnixMs()));
  const GatewayPorts gateway_ports{ports[0], ports[1], ports[2], ports[3]};
  Process gateway(temporary, "gateway",
                  GatewaySettings(gateway_ports, store.address(), 7600));
  if (!AwaitReady(gateway_ports.ready, milliseconds(10'000))) {
    record.Add("the gateway did not become ready");
    return kCouldNotRun;
  }
  std::atomic<bool> stop = false;
  std::atomic<int> sent = 0;
  std::mutex mutex;
  std::map<std::string, std::string> answers;
  std::vector<std::thread> clients;
  for (int i = 0; i < 10; ++i) {
    clients.emplace_back([&] {
      int fd = Connect(gateway_ports.front);
      while (!stop) {
        const std::string id = "booking-" + std::to_string(++sent);
        Message response;
        const bool any =
            SendAll(fd, RequestHead("POST", "/book/2f", id, kDeadlineMs, 4) +
                            "body") &&
            Reader(fd).ReadResponse(response, milliseconds(kDeadlineMs + 500));
        {
          const std::lock_guard lock(mutex);
          answers[id] = any ? std::to_string(response.status) : "no answer";
        }
        if (!any) {
          close(fd);
          fd = Connect(gateway_ports.front);
        }
        SleepMs(60);
      }
      close(fd);
    });
  }
  int late = 0;
  int lost = 0;
  for (int round = 1; round <= kRounds; ++round) {
    const std::string id = "i-0000001" + std::to_string(round);
    Worker& leaves = *new Worker(record, id);
    store.Put("servers/" + id, WorkerEntry("orders", leaves.address(), UnixMs()));
    // All is calm for longer than contact-ms.
    SleepMs(4'500);
    if (trouble) {
      store.CutWatches();
      record.Add("the store cuts the watch that is waiting");
    }
    store.Remove("servers/" + id);
    const auto acknowledged = Clock::now();
    record.Add("the store has acknowledged that worker " + id + " is gone");
    SleepUntil(acknowledged + milliseconds(kLingerMs));
    leaves.Exit();
    SleepMs(kWorkMs + 300);
    const std::lock_guard lock(mutex);
    for (const auto& [request, at] : leaves.Arrivals()) {
      const auto after =
          std::chrono::duration_cast<milliseconds>(at - acknowledged).count();
      if (after <= kDrainMs)
        continue;
      ++late;
      const std::string answer = answers.contains(request) ? answers[request] : "-";
      record.Add(request + " reached worker " + id + " " + std::to_string(after) +
                 " ms after the acknowledgement; the client got " + answer);
      if (answer != "200")
        ++lost;
    }
  }
  stop = true;
  for (std::thread& client : clients)
    client.join();
  record.Add(std::to_string(late) +
             " bookings reached a worker later than drain-ms (2,000) after the "
             "acknowledgement that it is gone, " +
             std::to_string(lost) + " of them got no success");
  return late > 0 ? kBroken : kHeld;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 3)
    return kCouldNotRun;
  const int result = Run(argv[1], argv[2]);
  std::_Exit(result);
}
