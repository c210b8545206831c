#include "statistics/traffic_mix.h"

namespace postspread::statistics {

void TrafficMix::Resize(std::size_t classes, std::size_t plans) {
  plans_ = plans;
  cells_.resize(classes * plans);
  for (std::size_t i = 0; i < cells_.size(); ++i) {
    cells_[i].class_index = i / plans;
    cells_[i].plan_index = i % plans;
  }
}

void TrafficMix::ForgetClass(std::size_t class_index) {
  for (Cell& cell : cells_) {
    if (cell.class_index == class_index) cell.units = DecayingSum{};
  }
}

void TrafficMix::Record(TimePoint now, std::size_t class_index, std::size_t plan_index, double units) {
  cells_[class_index * plans_ + plan_index].units.Add(now, units, kTrafficMemory);
}

}  // namespace postspread::statistics
