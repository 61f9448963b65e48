// A node's copy of the platform's VM list, which may lag behind. It tells which
// nodes are live, which are leaving, and which are proven to have stopped.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "common/time.h"
#include "core/roster/roster_entry.h"

namespace boragepick {

// Identifies one run of the process of one VM in durable records.
struct ProcessId {
  std::string vm;
  Incarnation incarnation = 0;
  // The version of a list that contained the VM when the record was written.
  // The absence of the VM from an older list doesn't prove that it is gone.
  std::uint64_t listed_version = 0;

  bool operator==(const ProcessId& other) const {
    return vm == other.vm && incarnation == other.incarnation;
  }
};

// A VM counts as gone when it has been missing from the list for this time.
inline constexpr Duration kGoneConfirmation = std::chrono::seconds(5);

class Roster {
 public:
  // Applies a full list or changes. An older list, and changes that are based
  // on another version than the current one, are ignored. Returns whether the
  // list was applied.
  bool Apply(TimePoint now, RosterList list);

  // Records that a message arrived from a run of `vm`, which proves that
  // earlier runs of the VM are gone.
  void RecordRun(const std::string& vm, Incarnation incarnation);

  std::uint64_t version() const { return m_list.version; }
  // Always a full list.
  const RosterList& list() const { return m_list; }
  // Returns the update for a node that has `version`: the changes if they are
  // known, else the full list.
  RosterList Since(std::uint64_t version) const;

  const RosterEntry* Find(const std::string& vm) const;

  // Live routers, sorted by name. Leaving routers are not included, so that
  // they are not assigned new duties.
  const std::vector<std::string>& LiveRouters() const { return m_live_routers; }
  std::vector<std::string> LiveRoutersIn(const std::string& data_centre) const;
  // Live agents of one pool, in the order of the list.
  std::vector<const RosterEntry*> LiveAgents(const std::string& pool) const;

  // Whether the run has certainly stopped: its VM has left the list, or a
  // message arrived from a later run of its VM.
  bool IsProvenGone(TimePoint now, const ProcessId& process) const;
  // The same for all runs of a VM.
  bool IsVmProvenGone(TimePoint now,
                      const std::string& vm,
                      std::uint64_t listed_version) const;

 private:
  void RebuildIndex();
  static RosterList Merge(const RosterList& held, const RosterList& changes);
  void RecordChanges(const RosterList& before);

  RosterList m_list;
  std::map<std::string, std::size_t> m_index;
  std::vector<std::string> m_live_routers;
  // When a VM was first missing from the list.
  std::map<std::string, TimePoint> m_missing_since;
  TimePoint m_first_list_at = kNever;
  // The list versions in which each VM last changed or was removed.
  std::map<std::string, std::uint64_t> m_changed_at;
  std::map<std::string, std::uint64_t> m_removed_at;
  // The versions that this node has had. The changes since each of them are
  // known.
  std::set<std::uint64_t> m_known_versions;
  std::map<std::string, Incarnation> m_latest_run;
};

}  // namespace boragepick
