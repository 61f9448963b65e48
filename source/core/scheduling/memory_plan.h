// How a process divides the memory that it may use. What isn't named here is
// left to the program itself, its connections and the allocator.
#pragma once

#include <cstddef>
#include <cstdint>

namespace boragepick {

struct MemoryPlan {
  // Callers' requests, from their first byte to the end of their response.
  std::size_t request_bytes = 0;
  // Responses that callers have not read. Above the first limit workers have to
  // wait, above the second one the slowest callers are disconnected.
  std::size_t response_pool_bytes = 0;
  std::size_t max_unsent_bytes = 0;
  // Bodies of requests in a process that holds each several times.
  std::size_t copied_request_bytes = 0;
  // A reply of the key-value service.
  std::size_t store_reply_bytes = 0;
};

constexpr MemoryPlan PlanMemory(std::int64_t memory_mb) {
  const std::size_t bytes = static_cast<std::size_t>(memory_mb) << 20;
  return {.request_bytes = bytes / 2,
          .response_pool_bytes = bytes / 8,
          .max_unsent_bytes = bytes / 4,
          .copied_request_bytes = bytes / 8,
          .store_reply_bytes = bytes / 8};
}

}  // namespace boragepick
