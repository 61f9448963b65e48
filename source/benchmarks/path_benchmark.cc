// Measures the overhead of the serving path on loopback: sends the same
// requests directly to a stand-in engine and through one router and one agent.

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "common/error.h"
#include "unit_tests/end_to_end/deployment.h"

namespace boragepick {
namespace {

using Clock = std::chrono::steady_clock;
using std::chrono::microseconds;

constexpr int kWarmUpRequests = 200;
constexpr int kPacedThreads = 16;
constexpr int kRequestsPerSecond = 500;
constexpr auto kPhaseDuration = std::chrono::seconds(6);
constexpr int kLoadThreads = 48;
constexpr int kStreamThreads = 24;
constexpr int kStreamTokens = 1000;

struct Target {
  std::string url;
  std::vector<ClientHeader> headers;
};

std::string ShortBody() {
  return R"({"model":"m","max_tokens":1,"messages":[{"role":"user","content":"hi"}]})";
}

ClientRequest MakeRequest(const Target& target, const std::string& body) {
  return {.method = "POST",
          .url = target.url + "/v1/chat/completions",
          .headers = target.headers,
          .body = body,
          .idempotent = true};
}

// The status of the response; 0 if the connection failed.
unsigned SendForStatus(Client& client, const ClientRequest& request) {
  try {
    return client.Send(request).status;
  } catch (const Error&) {
    return 0;
  }
}

double Quantile(std::vector<double>& values, double quantile) {
  std::ranges::sort(values);
  const auto index = static_cast<std::size_t>(
      quantile * static_cast<double>(values.size() - 1));
  return values[index];
}

// Latencies in milliseconds.
struct Latencies {
  std::vector<double> direct;
  std::vector<double> routed;
};

// Sends requests at a fixed rate, alternating between the targets.
Latencies MeasurePaced(const Target& direct, const Target& routed) {
  Latencies all;
  std::mutex mutex;
  std::vector<std::thread> threads;
  threads.reserve(kPacedThreads);
  const auto end = Clock::now() + 2 * kPhaseDuration;
  const auto period =
      microseconds(1'000'000 * kPacedThreads / kRequestsPerSecond);
  for (int t = 0; t < kPacedThreads; ++t) {
    threads.emplace_back([&, t] {
      Client client(30);
      Latencies own;
      auto next = Clock::now() + period * t / kPacedThreads;
      // Alternating keeps changes of the machine's speed out of the difference.
      for (int n = t; next < end; ++n, next += period) {
        std::this_thread::sleep_until(next);
        const bool use_router = n % 2 == 0;
        const auto begin = Clock::now();
        const bool succeeded =
            SendForStatus(client, MakeRequest(use_router ? routed : direct,
                                              ShortBody())) == 200;
        if (!succeeded) {
          std::printf("  (a request failed)\n");
          continue;
        }
        const double ms =
            std::chrono::duration<double, std::milli>(Clock::now() - begin)
                .count();
        (use_router ? own.routed : own.direct).push_back(ms);
      }
      const std::lock_guard lock(mutex);
      all.direct.insert(all.direct.end(), own.direct.begin(), own.direct.end());
      all.routed.insert(all.routed.end(), own.routed.begin(), own.routed.end());
    });
  }
  for (std::thread& thread : threads)
    thread.join();
  return all;
}

// Requests per second completed by `threads` callers, each of which waits for
// its response.
double MeasureThroughput(const Target& target,
                         int threads,
                         const std::string& body) {
  std::atomic<std::int64_t> done = 0;
  std::atomic<std::int64_t> failed = 0;
  std::vector<std::thread> callers;
  callers.reserve(static_cast<std::size_t>(threads));
  const auto end = Clock::now() + kPhaseDuration;
  for (int t = 0; t < threads; ++t) {
    callers.emplace_back([&] {
      Client client(30);
      while (Clock::now() < end)
        ++(SendForStatus(client, MakeRequest(target, body)) == 200 ? done
                                                                   : failed);
    });
  }
  for (std::thread& caller : callers)
    caller.join();
  if (failed > 0)
    std::printf("  (%lld requests failed)\n", static_cast<long long>(failed));
  return static_cast<double>(done) /
         std::chrono::duration<double>(kPhaseDuration).count();
}

void Run() {
  Deployment deployment({.routers = 1,
                         .engines = 1,
                         .services = 0,
                         .load_ms = 50,
                         .token_ms = 0,
                         .engine_slots = 256});
  deployment.Apply(
      "team", "team-a",
      R"("team":{"rate_tokens_per_second":4000000000,"burst_tokens":4000000000})");
  const Target direct{.url = deployment.HttpUrl("e0")};
  const Target routed{.url = deployment.HttpUrl("r0"),
                      .headers = {{"Authorization", "Bearer key-a"}}};
  Client client(30);
  for (int i = 0; i < kWarmUpRequests; ++i)
    client.Send(MakeRequest(routed, ShortBody()));

  Latencies paced = MeasurePaced(direct, routed);
  const double direct_median = Quantile(paced.direct, 0.5);
  const double direct_p99 = Quantile(paced.direct, 0.99);
  const double routed_median = Quantile(paced.routed, 0.5);
  const double routed_p99 = Quantile(paced.routed, 0.99);
  std::printf("at %d requests/s, ms:         direct  routed   added   bound\n",
              kRequestsPerSecond);
  std::printf("  median                     %7.3f %7.3f %7.3f   1.0\n",
              direct_median, routed_median, routed_median - direct_median);
  std::printf("  p99                        %7.3f %7.3f %7.3f   3.0\n",
              direct_p99, routed_p99, routed_p99 - direct_p99);

  const double direct_rate =
      MeasureThroughput(direct, kLoadThreads, ShortBody());
  const double routed_rate =
      MeasureThroughput(routed, kLoadThreads, ShortBody());
  std::printf("short requests/s:            %7.0f %7.0f           5000\n",
              direct_rate, routed_rate);

  const std::string stream = Deployment::ChatBody("m", kStreamTokens);
  const double direct_tokens =
      kStreamTokens * MeasureThroughput(direct, kStreamThreads, stream);
  const double routed_tokens =
      kStreamTokens * MeasureThroughput(routed, kStreamThreads, stream);
  std::printf("streamed tokens/s:           %7.0f %7.0f         100000\n",
              direct_tokens, routed_tokens);
  for (const char* name : {"r0", "w0"})
    std::printf("%s while idle: %.2f%% of a core\n", name,
                deployment.IdleCpuPercent(name));
}

}  // namespace
}  // namespace boragepick

int main() {
  boragepick::Run();
}
