// Operators' requests to a router and its replies, independent of the protocol.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "common/enum_table.h"
#include "common/time.h"
#include "core/config/resources.h"
#include "core/peer_messages.h"

namespace boragepick {

struct GetResources {
  ResourceKind kind = ResourceKind::kModel;
  // Empty for all resources of the kind.
  std::string name;
};

struct PutResource {
  Resource resource;
  // The resource version that the change is based on; without it the change
  // applies to any stored version.
  std::optional<Revision> expected;
  bool dry_run = false;
};

struct DeleteResource {
  ResourceKind kind = ResourceKind::kModel;
  std::string name;
  std::optional<Revision> expected;
};

struct GetStatus {};
struct GetMetrics {};

using OperatorAction = std::
    variant<GetResources, PutResource, DeleteResource, GetStatus, GetMetrics>;

struct OperatorRequest {
  std::uint64_t id = 0;
  // Stored in the written record, so that the outcome of a write can be
  // determined when its reply is lost.
  std::string writer_token;
  OperatorAction action;
};

enum class OperatorErrorCode {
  kInvalid,
  kConflict,
  kNotFound,
  kInUse,
  kUnavailable,
  kUnknown
};

struct OperatorErrorRow {
  OperatorErrorCode value;
  std::string_view name;
  std::uint32_t http_status;
};
const OperatorErrorRow& OperatorErrorInfo(OperatorErrorCode code);

struct OperatorError {
  OperatorErrorCode code = OperatorErrorCode::kInvalid;
  std::string message;
};

// A resource with its conditions, as shown to operators.
struct ResourceState {
  Resource resource;
  // One line per condition, such as "in force", "loaded on w1", "waits for a VM
  // with 4096 MB".
  std::vector<std::string> conditions;
};

struct ResourceList {
  std::vector<ResourceState> resources;
};

struct Accepted {
  ResourceKind kind = ResourceKind::kModel;
  std::string name;
  Revision resource_version = 0;
  bool dry_run = false;
};

struct ModelStatus {
  std::string model;
  std::uint32_t replicas_decided = 0;
  std::vector<std::string> permitted_vms;
  std::vector<std::string> revoked_vms;
  // From the agent reports that this router has received.
  std::vector<std::string> resident_vms;
};

struct TeamStatus {
  std::string team;
  std::uint64_t admitted_tokens = 0;
  std::uint64_t refused_requests = 0;
  std::uint64_t waiting_requests = 0;
  double share_tokens_per_second = 0;
};

struct StatusReport {
  std::string vm;
  std::string data_centre;
  Incarnation incarnation = 0;
  bool draining = false;
  Revision revision = 0;
  // Age of the configuration; negative while there is none.
  Duration view_age = Duration(-1);
  bool watching = false;
  std::string relay;
  // Totals over this node and those that receive the feed through it.
  std::uint32_t nodes = 0;
  Revision lowest_in_force = 0;
  std::uint64_t roster_version = 0;
  std::size_t routers = 0;
  std::size_t agents = 0;
  std::uint64_t open_requests = 0;
  std::vector<ModelStatus> models;
  std::vector<TeamStatus> teams;
};

// One sample of /metrics.
struct Metric {
  std::string name;
  std::string labels;
  double value = 0;
};
struct MetricsReport {
  std::vector<Metric> metrics;
};

using OperatorReply = std::
    variant<OperatorError, ResourceList, Accepted, StatusReport, MetricsReport>;

}  // namespace boragepick
