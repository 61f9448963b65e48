// What a node knows of the other nodes: the platform's lagging list. It answers
// who is live, who is leaving, and of whom it is proven that it does not run
// any more.
#pragma once

#include <map>
#include <optional>
#include <set>
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
  // Takes a list or changes over; older ones, and changes that begin after what
  // is held, change nothing. Returns whether anything changed.
  bool Apply(TimePoint now, RosterList list);

  // Direct evidence: a run of `vm` has spoken. An earlier run of the same VM is
  // gone from then on.
  void Heard(const std::string& vm, Incarnation incarnation);

  std::uint64_t version() const { return m_list.version; }
  // Always whole.
  const RosterList& list() const { return m_list; }
  // What a node that holds `version` lacks: changes where they are known, else
  // the whole list.
  RosterList Since(std::uint64_t version) const;

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
  static RosterList Merge(const RosterList& held, const RosterList& changes);
  void RecordChanges(const RosterList& before);

  RosterList m_list;
  std::map<std::string, std::size_t> m_index;
  std::vector<std::string> m_live_routers;
  // When a VM was first missed.
  std::map<std::string, TimePoint> m_missing_since;
  TimePoint m_first_list = kNever;
  // The version of each VM's last change, and of its leaving.
  std::map<std::string, std::uint64_t> m_changed_at;
  std::map<std::string, std::uint64_t> m_gone_at;
  // The versions that this node has held: changes since them are known.
  std::set<std::uint64_t> m_held;
  std::map<std::string, Incarnation> m_latest_run;
};

}  // namespace boragepick
