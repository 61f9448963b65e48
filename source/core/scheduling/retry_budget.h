// A budget of retries: a fixed ratio of the requests received, so that during
// an outage retries can't outgrow the original load. Each router keeps the
// ratio for its own requests, so it holds over all routers without any
// coordination.
#pragma once

#include <algorithm>

namespace boragepick {

struct RetryBudgetOptions {
  // Retries earned by each request.
  double retry_ratio = 0.1;
  // In retries.
  double max_balance = 100;
  double initial_balance = 10;
};

class RetryBudget {
 public:
  static constexpr double kRetryRatio = RetryBudgetOptions{}.retry_ratio;
  static constexpr double kInitialBalance =
      RetryBudgetOptions{}.initial_balance;

  RetryBudget() = default;
  explicit RetryBudget(const RetryBudgetOptions& options)
      : m_options(options), m_balance(options.initial_balance) {}

  void Configure(const RetryBudgetOptions& options) {
    m_options = options;
    m_balance = std::min(m_balance, options.max_balance);
  }

  void RecordRequest() {
    m_balance =
        std::min(m_balance + m_options.retry_ratio, m_options.max_balance);
  }

  bool Allows(double retries) const { return m_balance >= retries; }

  // Spends one retry; returns false if the budget has none left.
  bool TryConsume() {
    if (m_balance < 1)
      return false;
    m_balance -= 1;
    return true;
  }

 private:
  RetryBudgetOptions m_options;
  double m_balance = kInitialBalance;
};

}  // namespace boragepick
