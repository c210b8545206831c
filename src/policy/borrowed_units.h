// The units that one customer's delayed requests have borrowed from a later quota period.
#ifndef POSTSPREAD_POLICY_BORROWED_UNITS_H_
#define POSTSPREAD_POLICY_BORROWED_UNITS_H_

#include <cstdint>
#include <optional>
#include <utility>

namespace postspread::policy {

class BorrowedUnits {
 public:
  // Records the total of a later period's count from a reply of the counter.
  void ObserveTotal(std::int64_t period, double total) {
    if (period_ != period) returned_ = 0;
    period_ = period;
    total_ = total;
  }

  // Records units that were borrowed but not used; the period's count still contains them.
  void Return(double units) { returned_ += units; }

  // Returns the units to subtract from the count of the period `current`, and forgets them; 0 until the
  // period borrowed from has begun. Subtracting them from an earlier period's count would admit too much
  // before the period boundary and too little after it.
  double TakeReturned(std::int64_t current) {
    if (period_ > current) return 0.0;
    const double returned = std::exchange(returned_, 0.0);
    return period_ == current ? returned : 0.0;
  }

  // Returns the last known total of a later period without the returned units; 0 if none is known.
  [[nodiscard]] double TotalOf(std::int64_t period) const {
    return period_ == period ? total_ - returned_ : 0.0;
  }

  // Returns the period last borrowed from, if any.
  [[nodiscard]] std::optional<std::int64_t> period() const { return period_; }

 private:
  std::optional<std::int64_t> period_;
  double total_ = 0.0;
  double returned_ = 0.0;
};

}  // namespace postspread::policy

#endif  // POSTSPREAD_POLICY_BORROWED_UNITS_H_
