// A customer's periods, by which gateways name its counts: as long as its store takes to fill, numbered by
// the wall clock, and shifted by customer so that their edges do not coincide.
#ifndef POSTSPREAD_STATISTICS_PERIODS_H_
#define POSTSPREAD_STATISTICS_PERIODS_H_

#include "statistics/measure.h"

namespace postspread::policy {

class Periods {
 public:
  // `length` is above 0; `phase` is any number that belongs to the customer.
  Periods(Duration length, std::uint64_t phase)
      : length_(length), shift_(static_cast<std::int64_t>(phase % length.count())) {}
  [[nodiscard]] Duration length() const { return length_; }
  [[nodiscard]] TimePoint Start(std::int64_t period) const { return length_ * (period - 1) + shift_; }
  [[nodiscard]] std::int64_t At(TimePoint at) const { return (at - shift_) / length_ + 1; }

 private:
  Duration length_, shift_;
};

}  // namespace postspread::policy

#endif  // POSTSPREAD_STATISTICS_PERIODS_H_
