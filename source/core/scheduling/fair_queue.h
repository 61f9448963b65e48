// Queues of requests that wait for an upstream. FairQueue divides service
// between teams by token cost (start-time fair queueing) and between
// interactive and batch requests. FifoQueue is the baseline for comparisons.
#pragma once

#include <concepts>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "common/enum_table.h"
#include "common/time.h"

namespace boragepick {

enum class Priority { kInteractive, kBatch };

inline constexpr EnumTable kPriorityNames{std::array{
    EnumName<Priority>{Priority::kInteractive, "interactive"},
    EnumName<Priority>{Priority::kBatch, "batch"},
}};

inline constexpr std::size_t kPriorityCount = kPriorityNames.rows.size();

using TicketId = std::uint64_t;

struct QueueTicket {
  TicketId id = 0;
  std::string team;
  Priority priority = Priority::kInteractive;
  // Estimated number of tokens.
  std::int64_t cost = 1;
  TimePoint deadline = kNever;
};

template <typename Q>
concept RequestQueue =
    requires(Q queue, QueueTicket ticket, TicketId id, TimePoint now) {
  {queue.Push(ticket)};
  { queue.Pop() } -> std::same_as<std::optional<TicketId>>;
  {queue.Remove(id)};
  { queue.RemoveExpired(now) } -> std::same_as<std::vector<TicketId>>;
  { queue.Size() } -> std::convertible_to<std::size_t>;
};

class FairQueue {
 public:
  // While both priorities wait, at least one of this many consecutive requests
  // is a batch request.
  static constexpr std::uint32_t kBatchInterval = 8;

  void Push(const QueueTicket& ticket);
  std::optional<TicketId> Pop();
  void Remove(TicketId id);
  // Removes the tickets whose deadline has passed and returns their ids.
  std::vector<TicketId> RemoveExpired(TimePoint now);
  std::size_t Size() const { return m_waiting.size(); }

 private:
  struct TeamQueue {
    // Virtual start time of the team's next request.
    double next_start = 0;
    std::deque<QueueTicket> tickets;
  };
  struct PriorityClass {
    double virtual_time = 0;
    std::map<std::string, TeamQueue> teams;
    // Teams with queued tickets, by the start time of the next one.
    std::set<std::pair<double, std::string>> by_start;
  };

  std::optional<QueueTicket> PopFrom(PriorityClass& priority_class);

  std::array<PriorityClass, kPriorityCount> m_classes;
  // Tickets not yet removed, with their deadlines. A removed ticket stays in
  // its team's queue until it reaches the front.
  std::unordered_map<TicketId, TimePoint> m_waiting;
  std::set<std::pair<TimePoint, TicketId>> m_deadlines;
  std::uint32_t m_interactive_in_a_row = 0;
};

class FifoQueue {
 public:
  void Push(const QueueTicket& ticket) { m_tickets.push_back(ticket); }
  std::optional<TicketId> Pop();
  void Remove(TicketId id);
  std::vector<TicketId> RemoveExpired(TimePoint now);
  std::size_t Size() const { return m_tickets.size(); }

 private:
  std::deque<QueueTicket> m_tickets;
};

static_assert(RequestQueue<FairQueue>);
static_assert(RequestQueue<FifoQueue>);

}  // namespace boragepick
