// The data centres that operators have asked to evacuate: no request is sent to
// their workers until the evacuation has ended.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "common/time.h"

namespace boragepick {

struct Evacuation {
  // When this router learned of it.
  TimePoint known_since;
  // From now on no request is sent there. Until then, those are that no other
  // worker can run.
  TimePoint effective_at;
  // The store's revision of the operator's last request.
  std::uint64_t revision = 0;
};

class Evacuations {
 public:
  // `await_list`: no data centre may be used before the first complete list.
  explicit Evacuations(bool await_list) : m_is_known(!await_list) {}

  // The operator has asked to evacuate `data_centre`, which must have taken
  // effect at `effective_at`. Returns whether it was not known; otherwise only
  // the revision changes.
  bool Request(TimePoint now,
               const std::string& data_centre,
               std::uint64_t revision,
               TimePoint effective_at);
  // Returns whether the data centre was evacuated.
  bool End(const std::string& data_centre);
  // All evacuations were read. Returns those that are not among `data_centres`;
  // the caller ends them.
  std::vector<std::string> Sync(const std::vector<std::string>& data_centres);

  // Whether nothing new should begin at the data centre.
  bool IsRequested(const std::string& data_centre) const {
    return m_active.contains(data_centre);
  }
  // Whether a request may still be sent to the data centre's workers.
  bool Permits(TimePoint now, const std::string& data_centre) const;

  // By data centre.
  const std::map<std::string, Evacuation>& active() const { return m_active; }

 private:
  std::map<std::string, Evacuation> m_active;
  bool m_is_known;
};

}  // namespace boragepick
