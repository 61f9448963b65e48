// Selects the router that grants the places of each cold worker, so that no two
// routers grant places of one worker at the same time. See
// docs/design/cold-workers.md.
#pragma once

#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "common/time.h"

namespace boragepick {

// A place ends this long after its request was sent, by the boot clock of the
// router that uses it.
inline constexpr Duration kPlaceLifetime = std::chrono::milliseconds(200);
// A router acts as owner only if its list of routers was confirmed within this
// time. While workers are cold, their entries change often, and each change
// that is read confirms the list.
inline constexpr Duration kMaxRouterListAge = std::chrono::milliseconds(1'300);
// A new owner begins this long after the change, when the places granted by the
// previous one have ended.
inline constexpr Duration kOwnerChangeDelay =
    kMaxRouterListAge + kPlaceLifetime;

class ColdOwners {
 public:
  explicit ColdOwners(std::string self) : m_self(std::move(self)) {}

  // The router's record was written. A record that replaces an earlier one
  // changes nothing: to all routers, the VM was listed all the time.
  void AddRouter(TimePoint now, const std::string& vm);
  void RemoveRouter(TimePoint now, const std::string& vm);
  // The records of all routers were read: those that are not among `vms` are
  // gone.
  void Retain(TimePoint now, const std::vector<std::string>& vms);
  // The list includes every change made up to `at`.
  void Confirm(TimePoint at) { m_confirmed_at = std::max(m_confirmed_at, at); }

  // Returns the router to ask for places of the worker; empty if no router is
  // listed.
  std::string OwnerOf(const std::string& worker) const;
  // Returns from when on this router may act as the worker's owner if its list
  // remains confirmed; kNever if it is not the owner.
  TimePoint ActsSince(const std::string& worker) const;
  bool MayAct(TimePoint now, const std::string& worker) const;
  TimePoint confirmed_at() const { return m_confirmed_at; }
  std::size_t size() const { return m_routers.size(); }

 private:
  struct Router {
    TimePoint listed_since = kNever;
    // kNever while the router is listed.
    TimePoint removed_at = kNever;
    bool IsListed() const { return removed_at == kNever; }
  };

  // All listed routers and those removed lately, in rendezvous order.
  const std::vector<std::string>& Order(const std::string& worker) const;
  void OnChanged(TimePoint now);

  std::string m_self;
  std::map<std::string, Router> m_routers;
  // The list may lack routers that came and went before this.
  TimePoint m_complete_since = TimePoint{};
  TimePoint m_confirmed_at = TimePoint{} - std::chrono::hours(1);
  // The results of Order() since the last change.
  mutable std::map<std::string, std::vector<std::string>> m_orders;
};

}  // namespace boragepick
