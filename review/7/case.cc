// LIMIT: a load order that was left unanswered is carried out late, after its
// worker and the controller beside it have started again. The controller has
// forgotten it and has filled the worker's memory meanwhile.
#include "../standins-2.h"

using namespace review;

namespace {

// The figures of the sheet of kitami-bells.
constexpr double kWorkerMb = 83'000;
constexpr double kModelMb = 34'300;
constexpr int kLoadFromStoreMs = 6'000;
constexpr int kLoadFromDiskMs = 1'000;
// After the late order has been sent the machine loses power, for this long.
constexpr int kPowerLostAfterMs = 400;
constexpr int kPowerLostForMs = 2'500;
// When the late order is carried out, after it was sent.
constexpr int kLateMs = 8'000;
const std::vector<std::string> kModels{"model-a", "model-b", "model-c",
                                       "model-d"};
const std::string kRareModel = "model-d";

// A model worker with its weights on the disk. It runs streams, reports and
// takes orders.
class Engine {
 public:
  Engine(Store& store, const std::string& ip)
      : m_store(store), m_server({ip, 0}, [this](int fd) { return Serve(fd); }) {
    std::thread([this] {
      while (true) {
        Beat();
        SleepMs(1'200);
      }
    }).detach();
  }

  const Address& address() const { return m_server.address(); }
  // The first load order for the rare model gets no answer.
  void LeaveOrderUnanswered() { m_leaves_unanswered = true; }
  bool HasUnanswered() const { return m_unanswered_at >= 0; }
  std::int64_t unanswered_at() const { return m_unanswered_at; }
  bool is_limit_broken() const { return m_limit_broken; }
  int lost_runs() const { return m_lost_runs; }
  int complete_runs() const { return m_complete_runs; }

  // Ends without a word; what it holds and runs is gone.
  void Stop(const char* why) {
    std::lock_guard lock(m_mutex);
    Record("worker %s %s, %d runs are cut", m_id.c_str(), why, m_running);
    m_lost_runs += m_running;
    m_stopped_id = m_id;
    m_stopped_at = NowMs();
    m_up = false;
    m_models.clear();
    m_loading.clear();
    m_running = 0;
    ++m_incarnation;
  }
  void StartAgain() {
    {
      std::lock_guard lock(m_mutex);
      m_up = true;
      m_sequence = 0;
      m_born = UnixMs();
      m_id = "i-engine" + std::to_string(m_incarnation);
      Record("worker %s starts, empty", m_id.c_str());
    }
    Beat();
  }

  // Carries the unanswered order out, with the precondition checked now.
  void CarryOutLate() {
    int status = 0;
    {
      std::lock_guard lock(m_mutex);
      status = m_up ? Apply(m_unanswered) : 0;
    }
    Record("the unanswered order %s is carried out %lld ms after it was sent: %d",
           m_unanswered.dump().c_str(),
           static_cast<long long>(NowMs() - m_unanswered_at), status);
  }

 private:
  Json Contents() const {
    Json models = Json::array();
    for (const std::string& name : m_models)
      models.push_back(
          {{"name", name}, {"version", 1}, {"adapters", Json::array()}});
    return {{"born", m_born},
            {"models", models},
            {"at-hand", {{"in-memory", Json::array()}, {"on-disk", kModels}}}};
  }
  void Beat() {
    std::lock_guard lock(m_mutex);
    // An entry goes after three heartbeats of silence.
    if (!m_stopped_id.empty() && NowMs() - m_stopped_at > 3'600) {
      m_store.Remove("servers/" + m_stopped_id);
      m_stopped_id.clear();
    }
    if (!m_up)
      return;
    Json entry = Contents();
    entry["service"] = "assist";
    entry["address"] = m_server.address().Text();
    entry["zone"] = "za";
    entry["version"] = "1";
    entry["slots"] = 128;
    entry["state"] = "ready";
    entry["cold-remaining-ms"] = 0;
    entry["sequence"] = ++m_beats;
    m_store.Put("servers/" + m_id, entry.dump());
  }

  // Returns the status of the answer. Called with the lock held.
  int Apply(const Json& order) {
    const std::string model = order.value("model", "");
    const bool is_load = order.value("operation", "") == "load";
    const bool holds =
        std::ranges::find(m_models, model) != m_models.end();
    if (order.contains("precondition") &&
        order.at("precondition").get<std::int64_t>() != m_sequence)
      return 409;
    if (!m_loading.empty())
      return 409;
    if (is_load == holds)
      return 200;
    ++m_sequence;
    if (!is_load) {
      std::erase(m_models, model);
      return 202;
    }
    const double mb =
        kModelMb * static_cast<double>(m_models.size() + 1);
    if (mb > kWorkerMb) {
      Record("LIMIT: the worker is ordered to load %s; it would hold %.0f MB of "
             "%.0f",
             model.c_str(), mb, kWorkerMb);
      m_limit_broken = true;
      std::thread([this] { Stop("crashes"); }).detach();
      return 202;
    }
    m_loading = model;
    std::thread([this, model, incarnation = m_incarnation] {
      SleepMs(kLoadFromDiskMs);
      std::lock_guard lock(m_mutex);
      if (incarnation != m_incarnation)
        return;
      m_models.push_back(model);
      m_loading.clear();
    }).detach();
    return 202;
  }

  bool Serve(int fd) {
    Reader reader(fd);
    Message request;
    while (reader.Read(request, false, 60'000)) {
      if (!m_up) {
        Reset(fd);
        return false;
      }
      const std::string target = request.Target();
      bool is_open = true;
      if (target == "/-/report")
        is_open = SendAll(fd, Report());
      else if (target == "/-/order")
        is_open = TakeOrder(fd, Json::parse(request.body));
      else
        is_open = RunRequest(fd, request);
      if (!is_open) {
        Reset(fd);
        return false;
      }
    }
    return true;
  }

  std::string Report() {
    std::lock_guard lock(m_mutex);
    Json report = Contents();
    report["stage"] = "prefill_decode";
    report["busy"] = !m_loading.empty();
    report["sequence"] = m_sequence;
    report["waiting"] = 0;
    report["running"] = m_running;
    report["kv-used"] = 0;
    report["kv-total"] = 150'346;
    report["handles"] = 0;
    return Response(200, "Content-Type: application/json\r\n", report.dump());
  }

  bool TakeOrder(int fd, const Json& order) {
    std::string id;
    int status = 0;
    {
      std::lock_guard lock(m_mutex);
      id = m_id;
      const bool is_late = m_leaves_unanswered && m_unanswered_at < 0 &&
                           order.value("operation", "") == "load" &&
                           order.value("model", "") == kRareModel;
      if (is_late) {
        m_unanswered = order;
        m_unanswered_at = NowMs();
      } else {
        status = Apply(order);
      }
    }
    if (status == 0) {
      Record("worker %s leaves an order unanswered: %s", id.c_str(),
             order.dump().c_str());
      SleepMs(20'000);
      return false;
    }
    Record("worker %s gets the order %s: %d", id.c_str(), order.dump().c_str(),
           status);
    return SendAll(fd, Response(status, "", ""));
  }

  bool RunRequest(int fd, const Message& request) {
    const std::string model = request.headers.Get("x-boragepick-model");
    const std::string expected =
        request.headers.Get("x-boragepick-expect-instance");
    std::uint64_t incarnation = 0;
    std::string id;
    bool can_run = false;
    {
      std::lock_guard lock(m_mutex);
      id = m_id;
      incarnation = m_incarnation;
      can_run = expected == m_id &&
                std::ranges::find(m_models, model) != m_models.end();
      m_running += can_run ? 1 : 0;
    }
    const std::string name = request.headers.Get("x-boragepick-request-id");
    Record("worker %s %s %s for %s", id.c_str(), can_run ? "runs" : "rejects",
           name.c_str(), model.c_str());
    if (!can_run)
      return SendAll(fd, Response(421,
                                  "X-Boragepick-Not-Executed: 1\r\n"
                                  "X-Boragepick-Instance-Id: " +
                                      id + "\r\n",
                                  ""));
    bool is_open = SendAll(
        fd, "HTTP/1.1 200 OK\r\nX-Boragepick-Request-Id: " +
                name + "\r\nX-Boragepick-Response-Signature: sig." + id +
                "\r\nContent-Type: text/event-stream\r\n"
                "Transfer-Encoding: chunked\r\n\r\n");
    for (int i = 1; is_open && i <= 20; ++i) {
      SleepMs(50);
      std::lock_guard lock(m_mutex);
      if (incarnation != m_incarnation)
        return false;
      const std::string event =
          "id: " + std::to_string(i) + "\ndata: x\n\n";
      char size[16];
      std::snprintf(size, sizeof(size), "%zx\r\n", event.size());
      is_open = SendAll(fd, size + event + "\r\n");
    }
    is_open = is_open && SendAll(fd, "0\r\n\r\n");
    std::lock_guard lock(m_mutex);
    if (incarnation == m_incarnation) {
      --m_running;
      m_complete_runs += is_open ? 1 : 0;
    }
    return is_open;
  }

  Store& m_store;
  std::mutex m_mutex;
  std::atomic<bool> m_up = true;
  std::string m_id = "i-engine0";
  std::uint64_t m_incarnation = 0;
  std::int64_t m_born = UnixMs();
  std::int64_t m_beats = 0;
  std::string m_stopped_id;
  std::int64_t m_stopped_at = 0;
  std::vector<std::string> m_models{"model-a"};
  // The model that is being loaded; empty if none.
  std::string m_loading;
  std::int64_t m_sequence = 0;
  int m_running = 0;
  std::atomic<bool> m_leaves_unanswered = false;
  Json m_unanswered;
  std::atomic<std::int64_t> m_unanswered_at = -1;
  std::atomic<bool> m_limit_broken = false;
  std::atomic<int> m_lost_runs = 0;
  std::atomic<int> m_complete_runs = 0;
  Server m_server;
};

std::atomic<bool> g_stop = false;

int Ask(const Gateway& gateway, const std::string& id,
        const std::string& model) {
  const int fd = Connect(gateway.front());
  if (fd < 0)
    return 0;
  Record("client: %s for %s is sent", id.c_str(), model.c_str());
  SendAll(fd,
          "POST /ask/x HTTP/1.1\r\nHost: bells.example\r\n"
          "X-Boragepick-Request-Id: " +
              id + "\r\nX-Boragepick-Model: " + model +
              "\r\nX-Boragepick-Token-Count: 646,70\r\n"
              "X-Boragepick-Prompt-Prefix: 5c1e07a2:155,91bd3f06:491\r\n"
              "X-Boragepick-Deadline-Ms: 10000\r\nContent-Length: 4\r\n\r\nbell");
  Message response;
  const bool is_whole = Reader(fd).Read(response, true, 10'000);
  close(fd);
  const int status = is_whole ? response.Status() : 0;
  Record("client: %s gets %d", id.c_str(), status);
  return status;
}

std::string Config() {
  Json models = Json::array();
  for (const std::string& name : kModels)
    models.push_back({{"name", name},
                      {"mb", kModelMb},
                      {"load-time-s", kLoadFromStoreMs / 1000.0},
                      {"disk-s", kLoadFromDiskMs / 1000.0},
                      {"warmup-s", 0.78},
                      {"adapters", 0},
                      {"adapter-mb", 40}});
  return Json{
      {"version", 3},
      {"routes",
       {{{"name", "tune-review"},
         {"host", "bells.example"},
         {"prefix", "/ask/"},
         {"service", "assist"},
         {"kind", "stream"},
         {"timeout-ms", 10000},
         {"target-latency-ms", 600},
         {"gap-aim-ms", 400},
         {"max-attempts", 1},
         {"affinity", true},
         {"public", true},
         {"priority", 0}}}},
      {"services",
       {{{"name", "assist"},
         {"max-connections", 620},
         {"engine",
          {{"slots", 128},
           {"mb", kWorkerMb},
           {"adapter-slots", 8},
           {"models", models}}}}}},
      {"tenants", Json::array()},
      {"limits",
       {{"max-header-bytes", 16384},
        {"max-body-bytes", 4194304},
        {"header-timeout-ms", 3000},
        {"idle-timeout-ms", 15000}}}}
      .dump();
}

// Without `trouble` (TROUBLE=0) the disruption is left out.
int Run(bool trouble) {
  TemporaryFolder folder;
  // Used by threads until the process ends.
  Store& store = *new Store("127.0.6.1");
  store.Put("op/config", Config());
  Engine& engine = *new Engine(store, "127.0.6.11");
  const int controller_port = FreePort("127.0.6.11");
  Controller controller(folder.path(),
                        ControllerOptions{.name = "side-1",
                                          .ip = "127.0.6.11",
                                          .port = controller_port,
                                          .engine = engine.address().Text(),
                                          .store = store.address().Text()});
  controller.Start();
  Gateway gateway(folder.path(),
                  GatewayOptions{.name = "front-1",
                                 .ip = "127.0.6.21",
                                 .store = store.address().Text(),
                                 .controller_port = controller_port});
  gateway.Start();
  if (!gateway.WaitUntilReady(20'000))
    return 2;
  std::vector<std::thread> clients;
  std::atomic<int> answered = 0;
  for (int i = 0; i < 4; ++i)
    clients.emplace_back([i, &gateway, &answered] {
      for (int count = 0; !g_stop; ++count) {
        const std::string id =
            "c" + std::to_string(i) + "-" + std::to_string(count);
        const int status = Ask(gateway, id, "model-a");
        answered += status == 200 ? 1 : 0;
        SleepMs(status == 200 ? 100 : 500);
      }
    });
  // Free memory is filled with a model from the disk.
  SleepMs(6'000);
  if (trouble)
    engine.LeaveOrderUnanswered();
  const std::int64_t asked_ms = NowMs();
  std::thread rare([&gateway] {
    Ask(gateway, "rare", kRareModel);
  });
  bool could_run = true;
  if (trouble) {
    while (!engine.HasUnanswered() && NowMs() < asked_ms + 8'000)
      SleepMs(10);
    could_run = engine.HasUnanswered();
    const std::int64_t sent_ms = engine.unanswered_at();
    SleepUntilMs(sent_ms + kPowerLostAfterMs);
    Record("the machine loses power");
    engine.Stop("is gone");
    controller.Signal(SIGKILL);
    controller.WaitForEnd(2'000);
    SleepUntilMs(sent_ms + kPowerLostAfterMs + kPowerLostForMs);
    engine.StartAgain();
    controller.Start();
    SleepUntilMs(sent_ms + kLateMs);
    if (could_run)
      engine.CarryOutLate();
    SleepMs(1'000);
  } else {
    SleepUntilMs(asked_ms + kLateMs + 1'000);
  }
  g_stop = true;
  for (std::thread& client : clients)
    client.join();
  rare.join();
  Record("%d streams answered, limit broken: %s", answered.load(),
         engine.is_limit_broken() ? "yes" : "no");
  if (!could_run || answered < 10)
    return 2;
  return engine.is_limit_broken() ? 1 : 0;
}

}  // namespace

// Arguments: the record, and "on" or "off" for the disruption.
int main(int count, char** arguments) {
  if (count != 3)
    return 2;
  OpenRecord(arguments[1]);
  Exit(Run(std::strcmp(arguments[2], "off") != 0));
}
