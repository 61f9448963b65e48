// What a node knows of the other nodes: the platform's lagging list. It answers
// who is live, who is leaving, and of whom it is proven that it does not run
// any more.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "common/time.h"
#include "core/roster/roster_entry.h"

namespace boragepick {

// Identifies one run of one VM's process in durable records.
struct ProcessId {
  std::string vm;
  Incarnation incarnation = 0;
  // The version of the list that showed the VM when the record was written: an
  // older list that lacks the VM proves nothing.
  std::uint64_t listed_version = 0;

  bool operator==(const ProcessId& other) const {
    return vm == other.vm && incarnation == other.incarnation;
  }
};

// A VM that the list has dropped is taken as gone only after so long.
inline constexpr Duration kGoneConfirmation = std::chrono::seconds(5);

class Roster {
 public:
  // Takes a list over; an older one changes nothing. Returns whether anything
  // changed.
  bool Apply(TimePoint now, RosterList list);

  // Direct evidence: a run of `vm` has spoken. An earlier run of the same VM is
  // gone from then on.
  void Heard(const std::string& vm, Incarnation incarnation);

  std::uint64_t version() const { return m_list.version; }
  const RosterList& list() const { return m_list; }

  const RosterEntry* Find(const std::string& vm) const;

  // Live routers, by name; leaving ones take no duty over.
  const std::vector<std::string>& LiveRouters() const { return m_live_routers; }
  std::vector<std::string> LiveRoutersIn(const std::string& data_centre) const;
  // Live agents of one pool, by name.
  std::vector<const RosterEntry*> LiveAgents(const std::string& pool) const;

  // Whether that run can't act any more: its VM has left the list, or a later
  // run of its VM spoke.
  bool ProvenGone(TimePoint now, const ProcessId& process) const;
  // The same for a VM as a whole, whichever run.
  bool VmProvenGone(TimePoint now,
                    const std::string& vm,
                    std::uint64_t listed_version) const;

 private:
  void Index();

  RosterList m_list;
  std::map<std::string, std::size_t> m_index;
  std::vector<std::string> m_live_routers;
  // When a VM was first missed.
  std::map<std::string, TimePoint> m_missing_since;
  TimePoint m_first_list = kNever;
  std::map<std::string, Incarnation> m_latest_run;
};

}  // namespace boragepick
