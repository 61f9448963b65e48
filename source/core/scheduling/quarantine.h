// Requests that crash their upstreams, by fingerprint. A request that was
// running when an upstream crashed is a suspect and runs again only alone; one
// that crashed a second upstream, or the number that the book was given, is
// convicted and refused. Innocents of the
// same batch clear themselves by running whole.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "common/enum_table.h"
#include "common/time.h"

namespace boragepick {

// Hash of team, path and body.
using Fingerprint = std::uint64_t;

enum class QuarantineVerdict { kClean, kSuspect, kConvicted };

inline constexpr EnumTable kQuarantineVerdictNames{std::array{
    EnumName<QuarantineVerdict>{QuarantineVerdict::kClean, "clean"},
    EnumName<QuarantineVerdict>{QuarantineVerdict::kSuspect, "suspect"},
    EnumName<QuarantineVerdict>{QuarantineVerdict::kConvicted, "convicted"},
}};

// Told to the other routers whenever an entry changes; doubled notices change
// nothing.
struct CrashNotice {
  Fingerprint fingerprint = 0;
  // Names one crash: agent and the number of its engine's run.
  std::string crash;
  // It has run whole since; `crash` is empty then.
  bool cleared = false;
};

class Quarantine {
 public:
  static constexpr Duration kSuspicionLife = std::chrono::minutes(10);

  explicit Quarantine(std::size_t crashes_to_convict = 2)
      : m_crashes_to_convict(crashes_to_convict) {}

  QuarantineVerdict Judge(TimePoint now, Fingerprint fingerprint);

  // Returns whether the notice told something new.
  bool Take(TimePoint now, const CrashNotice& notice);

  std::size_t Size() const { return m_entries.size(); }

 private:
  struct Entry {
    std::set<std::string> crashes;
    TimePoint last_crash;
  };

  void Forget(TimePoint now);

  std::size_t m_crashes_to_convict;
  std::map<Fingerprint, Entry> m_entries;
};

}  // namespace boragepick
