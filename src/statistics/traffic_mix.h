// The mix of recent traffic: the units that requests of each class and plan have asked for.
//
// Memory is bounded by classes times plans.
#ifndef POSTSPREAD_STATISTICS_TRAFFIC_MIX_H_
#define POSTSPREAD_STATISTICS_TRAFFIC_MIX_H_

#include <cstddef>
#include <vector>

#include "statistics/decaying_sum.h"

namespace postspread::statistics {

// How long traffic is remembered; also the longest memory of load statistics.
constexpr FloatSeconds kTrafficMemory{7};

class TrafficMix {
 public:
  struct Cell {
    std::size_t class_index = 0;
    std::size_t plan_index = 0;
    DecayingSum units;
  };

  // A value of class and plan, summed over the units of the traffic, and those units.
  struct WeightedSum {
    double sum = 0.0;
    double units = 0.0;
  };

  // Classes and plans keep their places.
  void Resize(std::size_t classes, std::size_t plans);
  void ForgetClass(std::size_t class_index);

  void Record(TimePoint now, std::size_t class_index, std::size_t plan_index, double units);

  // Cells in the order of classes, then plans.
  [[nodiscard]] const std::vector<Cell>& cells() const { return cells_; }

  // Weighs `value_of(class_index, plan_index)` by the units of each cell. Both results are above 0.
  template <typename ValueOf>
  [[nodiscard]] WeightedSum Weigh(TimePoint now, const ValueOf& value_of) {
    constexpr double kAboveZero = 1e-9;
    WeightedSum result{kAboveZero, kAboveZero};
    for (Cell& cell : cells_) {
      cell.units.Decay(now, kTrafficMemory);
      result.units += cell.units.value();
      result.sum += cell.units.value() * value_of(cell.class_index, cell.plan_index);
    }
    return result;
  }

 private:
  std::size_t plans_ = 0;
  std::vector<Cell> cells_;
};

}  // namespace postspread::statistics

#endif  // POSTSPREAD_STATISTICS_TRAFFIC_MIX_H_
