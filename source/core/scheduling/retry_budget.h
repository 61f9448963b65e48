// How many retries may be sent: a share of the first requests seen, so that on
// a day of failures retries can't outgrow the load that caused them. Each
// router keeps the share for its own first requests; over all routers the same
// share holds without any message.
#pragma once

#include <algorithm>

namespace boragepick {

struct RetryBudgetOptions {
  // Retries that each first request pays for.
  double share = 0.1;
  // What may be saved up, in retries.
  double max_saved = 100;
  double initial = 10;
};

class RetryBudget {
 public:
  static constexpr double kShare = RetryBudgetOptions{}.share;
  static constexpr double kInitial = RetryBudgetOptions{}.initial;

  RetryBudget() = default;
  explicit RetryBudget(const RetryBudgetOptions& options)
      : m_options(options), m_saved(options.initial) {}

  void Configure(const RetryBudgetOptions& options) {
    m_options = options;
    m_saved = std::min(m_saved, options.max_saved);
  }

  void RecordRequest() {
    m_saved = std::min(m_saved + m_options.share, m_options.max_saved);
  }

  // Pays for one retry, or returns false.
  bool TryConsume() {
    if (m_saved < 1)
      return false;
    m_saved -= 1;
    return true;
  }

 private:
  RetryBudgetOptions m_options;
  double m_saved = kInitial;
};

}  // namespace boragepick
