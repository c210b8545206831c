// The units that a customer's waiting requests have borrowed from a later quota period.
#ifndef POSTSPREAD_POLICY_BORROWED_UNITS_H_
#define POSTSPREAD_POLICY_BORROWED_UNITS_H_

#include <cstdint>
#include <optional>
#include <utility>

namespace postspread::policy {

class BorrowedUnits {
 public:
  // The counter has replied with the total of the later period's count.
  void ObserveTotal(std::int64_t period, double total) {
    if (period_ != period) returned_ = 0;
    period_ = period;
    total_ = total;
  }

  // Units that were borrowed and not used: the period's count still holds them.
  void Return(double units) { returned_ += units; }

  // What is to be taken back from the count of `current`, once that period has begun. Taken back from the
  // count of an earlier period it would let too much in up to the edge and too little after it.
  double TakeReturned(std::int64_t current) {
    if (period_ > current) return 0.0;
    const double returned = std::exchange(returned_, 0.0);
    return period_ == current ? returned : 0.0;
  }

  // The known total of a later period; 0 where nothing is known.
  [[nodiscard]] double TotalOf(std::int64_t period) const {
    return period_ == period ? total_ - returned_ : 0.0;
  }

  // The period last borrowed from.
  [[nodiscard]] std::optional<std::int64_t> period() const { return period_; }

 private:
  std::optional<std::int64_t> period_;
  double total_ = 0.0;
  double returned_ = 0.0;
};

}  // namespace postspread::policy

#endif  // POSTSPREAD_POLICY_BORROWED_UNITS_H_
