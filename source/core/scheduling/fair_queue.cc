#include "core/scheduling/fair_queue.h"

#include <algorithm>

namespace boragepick {

void FairQueue::Push(const QueueTicket& ticket) {
  PriorityClass& priority_class =
      m_classes[static_cast<std::size_t>(ticket.priority)];
  TeamQueue& queue = priority_class.teams[ticket.team];
  if (queue.tickets.empty()) {
    // A team gains no credit from the time it was idle.
    queue.next_start = std::max(queue.next_start, priority_class.virtual_time);
    priority_class.by_start.emplace(queue.next_start, ticket.team);
  }
  queue.tickets.push_back(ticket);
  m_waiting[ticket.id] = ticket.deadline;
  m_deadlines.emplace(ticket.deadline, ticket.id);
}

std::optional<QueueTicket> FairQueue::PopFrom(PriorityClass& priority_class) {
  while (!priority_class.by_start.empty()) {
    const auto [start, team] = *priority_class.by_start.begin();
    priority_class.by_start.erase(priority_class.by_start.begin());
    TeamQueue& queue = priority_class.teams[team];
    const QueueTicket ticket = queue.tickets.front();
    queue.tickets.pop_front();
    const bool waiting = m_waiting.contains(ticket.id);
    if (waiting) {
      priority_class.virtual_time = start;
      queue.next_start =
          start + static_cast<double>(std::max<std::int64_t>(ticket.cost, 1));
    }
    if (!queue.tickets.empty())
      priority_class.by_start.emplace(queue.next_start, team);
    else if (queue.next_start <= priority_class.virtual_time)
      priority_class.teams.erase(team);
    if (waiting)
      return ticket;
  }
  priority_class.teams.clear();
  return std::nullopt;
}

std::optional<TicketId> FairQueue::Pop() {
  PriorityClass& interactive =
      m_classes[static_cast<std::size_t>(Priority::kInteractive)];
  PriorityClass& batch = m_classes[static_cast<std::size_t>(Priority::kBatch)];
  const bool batch_turn = m_interactive_in_a_row + 1 >= kBatchInterval;
  std::optional<QueueTicket> ticket = PopFrom(batch_turn ? batch : interactive);
  const bool from_interactive = ticket.has_value() != batch_turn;
  if (!ticket)
    ticket = PopFrom(batch_turn ? interactive : batch);
  if (!ticket)
    return std::nullopt;
  m_interactive_in_a_row = from_interactive ? m_interactive_in_a_row + 1 : 0;
  Remove(ticket->id);
  return ticket->id;
}

void FairQueue::Remove(TicketId id) {
  const auto found = m_waiting.find(id);
  if (found == m_waiting.end())
    return;
  m_deadlines.erase({found->second, id});
  m_waiting.erase(found);
}

std::vector<TicketId> FairQueue::RemoveExpired(TimePoint now) {
  std::vector<TicketId> expired;
  while (!m_deadlines.empty() && m_deadlines.begin()->first <= now) {
    expired.push_back(m_deadlines.begin()->second);
    Remove(expired.back());
  }
  return expired;
}

std::optional<TicketId> FifoQueue::Pop() {
  if (m_tickets.empty())
    return std::nullopt;
  const TicketId id = m_tickets.front().id;
  m_tickets.pop_front();
  return id;
}

void FifoQueue::Remove(TicketId id) {
  std::erase_if(m_tickets,
                [&](const QueueTicket& ticket) { return ticket.id == id; });
}

std::vector<TicketId> FifoQueue::RemoveExpired(TimePoint now) {
  std::vector<TicketId> expired;
  for (const QueueTicket& ticket : m_tickets) {
    if (ticket.deadline <= now)
      expired.push_back(ticket.id);
  }
  for (const TicketId id : expired)
    Remove(id);
  return expired;
}

}  // namespace boragepick
