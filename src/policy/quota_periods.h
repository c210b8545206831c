// A customer's quota periods. The counter has one count for each customer and period.
//
// A period lasts as long as the customer's burst takes to refill. Periods are numbered by the wall clock, and
// shifted for each customer so that the boundaries of different customers do not coincide.
#ifndef POSTSPREAD_POLICY_QUOTA_PERIODS_H_
#define POSTSPREAD_POLICY_QUOTA_PERIODS_H_

#include <cstdint>

#include "postspread/control.h"

namespace postspread::policy {

// The maximum lifetime of a count in the counter.
constexpr Duration kMaxCountLifetime = std::chrono::seconds(60);

class QuotaPeriods {
 public:
  // `length` is above 0; `phase` is any number that is the same for the customer in all gateways.
  QuotaPeriods(Duration length, std::uint64_t phase)
      : length_(length), shift_(static_cast<std::int64_t>(phase % length.count())) {}

  [[nodiscard]] Duration length() const { return length_; }
  [[nodiscard]] TimePoint Start(std::int64_t period) const { return length_ * (period - 1) + shift_; }
  [[nodiscard]] std::int64_t At(TimePoint at) const { return (at - shift_) / length_ + 1; }

 private:
  Duration length_;
  Duration shift_;
};

}  // namespace postspread::policy

#endif  // POSTSPREAD_POLICY_QUOTA_PERIODS_H_
