// The operators' configuration for requests that a router sends directly to
// their upstreams: routes, services, models and teams. Independent of any
// encoding.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "common/enum_table.h"
#include "common/time.h"

namespace boragepick {

// Whether a request may be retried after it has started. A stream may only if
// its route is resumable.
enum class RequestKind { kIdempotent, kNonIdempotent, kStream };

inline constexpr EnumTable kRequestKindNames{std::array{
    EnumName<RequestKind>{RequestKind::kIdempotent, "idempotent"},
    EnumName<RequestKind>{RequestKind::kNonIdempotent, "non_idempotent"},
    EnumName<RequestKind>{RequestKind::kStream, "stream"},
}};

struct TrafficSplit {
  std::string service;
  std::uint32_t weight = 1;
};

struct ServingRoute {
  std::string name;
  std::string host;
  // Begins and ends with a slash.
  std::string prefix;
  RequestKind kind = RequestKind::kIdempotent;
  bool resumable = false;
  // Longest time that a caller waits for the response.
  Duration timeout = std::chrono::seconds(10);
  // Target time to the response, or to the first event of a stream.
  Duration target_latency = std::chrono::seconds(1);
  // Target for the longest pause between two events of a stream.
  Duration target_gap = std::chrono::milliseconds(400);
  // 0 is the highest.
  int priority = 0;
  std::vector<TrafficSplit> splits;
  std::uint32_t max_attempts = 1;
  // Callers need no key.
  bool is_public = false;
  // The regions in which requests may run; empty: anywhere. A team's regions
  // bind in addition.
  std::vector<std::string> allowed_regions;

  // Whether a request may run more than once.
  bool IsRepeatable() const {
    return kind == RequestKind::kIdempotent ||
           (kind == RequestKind::kStream && resumable);
  }
};

struct EngineModel {
  std::string name;
  double memory_mb = 0;
  // Load times from the weight store, the worker's disk and its memory.
  Duration load_from_store = std::chrono::seconds(6);
  Duration load_from_disk = std::chrono::seconds(1);
  Duration load_from_memory = std::chrono::milliseconds(800);
  double adapter_mb = 0;
};

struct EngineSpec {
  // Number of requests that run at once.
  std::uint32_t slots = 1;
  // Memory for models and adapters together.
  double memory_mb = 0;
  std::uint32_t adapter_slots = 0;
  std::map<std::string, EngineModel> models;
};

struct ServingService {
  std::string name;
  // Connections that one worker accepts from all routers together.
  std::uint32_t max_connections = 100;
  std::optional<EngineSpec> engine;
  // How long a worker is cold after a start, and the requests per second from
  // all routers that it bears meanwhile; 0: no such limit.
  Duration cold_start = Duration::zero();
  double cold_requests_per_second = 0;
};

enum class QuotaUnit { kRequests, kTokens };

inline constexpr EnumTable kQuotaUnitNames{std::array{
    EnumName<QuotaUnit>{QuotaUnit::kRequests, "requests"},
    EnumName<QuotaUnit>{QuotaUnit::kTokens, "tokens"},
}};

struct ServingTeam {
  std::string name;
  // 0 is the highest; compared before the priority of the route.
  int priority = 0;
  QuotaUnit unit = QuotaUnit::kRequests;
  // Cost of a request that does not state a token count.
  std::int64_t default_cost = 1;
  // 0 means no limit.
  std::int64_t rate_per_second = 0;
  std::int64_t burst = 0;
  std::vector<std::string> key_sha256;
  // The regions in which requests may run; empty: anywhere. A route's regions
  // bind in addition.
  std::vector<std::string> allowed_regions;
};

// Size and time limits for callers' requests.
struct CallerLimits {
  std::uint32_t max_header_bytes = 16 << 10;
  std::uint64_t max_body_bytes = 4 << 20;
  Duration header_timeout = std::chrono::seconds(3);
  Duration idle_timeout = std::chrono::seconds(15);
};

struct ServingConfig {
  // Increases with each configuration.
  std::uint64_t version = 0;
  std::vector<ServingRoute> routes;
  std::map<std::string, ServingService> services;
  std::map<std::string, ServingTeam> teams;
  CallerLimits limits;
};

// Returns an engine spec that is valid for every engine of the configuration:
// the models of all services (their names are unique), with the smallest memory
// and the fewest slots. Controllers use it because they cannot tell to which
// service their engine belongs. Empty if no service has engines.
std::optional<EngineSpec> CommonEngineSpec(const ServingConfig& config);

// A configuration with lookup tables; immutable.
class ConfigIndex {
 public:
  explicit ConfigIndex(ServingConfig config);

  const ServingConfig& config() const { return m_config; }

  // Returns the route of `host` with the longest prefix of `path`, or nullptr.
  // `host` may include a port.
  const ServingRoute* FindRoute(std::string_view host,
                                std::string_view path) const;
  const ServingTeam* FindTeam(const std::string& key_sha256) const;
  const ServingService* FindService(const std::string& name) const;

 private:
  ServingConfig m_config;
  // Keyed by lower-case host; the longest prefix comes first.
  std::unordered_map<std::string, std::vector<const ServingRoute*>> m_by_host;
  std::unordered_map<std::string, const ServingTeam*> m_by_key;
};

}  // namespace boragepick
