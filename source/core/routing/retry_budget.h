// How many retries may be sent: a share of the first requests seen, so that on
// a day of failures retries can't outgrow the load that caused them. Each
// router keeps the share for its own first requests; over all routers the same
// share holds without any message.
#pragma once

#include <algorithm>

namespace boragepick {

class RetryBudget {
 public:
  // Retries that each first request pays for.
  static constexpr double kShare = 0.1;
  // What may be saved up, in retries.
  static constexpr double kMaxSaved = 100;
  static constexpr double kInitial = 10;

  void FirstRequest() { m_saved = std::min(m_saved + kShare, kMaxSaved); }

  // Pays for one retry, or returns false.
  bool TakeRetry() {
    if (m_saved < 1)
      return false;
    m_saved -= 1;
    return true;
  }

 private:
  double m_saved = kInitial;
};

}  // namespace boragepick
