#include "core/scheduling/fair_queue.h"

#include <algorithm>

namespace boragepick {

void FairQueue::Push(const QueueTicket& ticket) {
  PriorityClass& chosen = m_classes[static_cast<std::size_t>(ticket.priority)];
  Lane& lane = chosen.lanes[ticket.team];
  if (lane.tickets.empty()) {
    // why: a team that was idle starts now; it can't save up turns
    lane.next_start = std::max(lane.next_start, chosen.virtual_time);
    chosen.order.emplace(lane.next_start, ticket.team);
  }
  lane.tickets.push_back(ticket);
  m_waiting[ticket.id] = ticket.deadline;
  m_deadlines.emplace(ticket.deadline, ticket.id);
}

std::optional<QueueTicket> FairQueue::PopFrom(PriorityClass& chosen) {
  while (!chosen.order.empty()) {
    const auto [start, team] = *chosen.order.begin();
    chosen.order.erase(chosen.order.begin());
    Lane& lane = chosen.lanes[team];
    const QueueTicket ticket = lane.tickets.front();
    lane.tickets.pop_front();
    const bool live = m_waiting.contains(ticket.id);
    if (live) {
      chosen.virtual_time = start;
      lane.next_start =
          start + static_cast<double>(std::max<std::int64_t>(ticket.cost, 1));
    }
    if (!lane.tickets.empty())
      chosen.order.emplace(lane.next_start, team);
    else if (lane.next_start <= chosen.virtual_time)
      chosen.lanes.erase(team);
    if (live)
      return ticket;
  }
  chosen.lanes.clear();
  return std::nullopt;
}

std::optional<TicketId> FairQueue::Pop() {
  PriorityClass& interactive =
      m_classes[static_cast<std::size_t>(Priority::kInteractive)];
  PriorityClass& batch = m_classes[static_cast<std::size_t>(Priority::kBatch)];
  const bool batch_turn = m_interactive_run + 1 >= kBatchTurn;
  std::optional<QueueTicket> ticket = PopFrom(batch_turn ? batch : interactive);
  const bool from_interactive = ticket.has_value() != batch_turn;
  if (!ticket)
    ticket = PopFrom(batch_turn ? interactive : batch);
  if (!ticket)
    return std::nullopt;
  m_interactive_run = from_interactive ? m_interactive_run + 1 : 0;
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
