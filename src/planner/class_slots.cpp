#include "planner/class_slots.h"

#include <algorithm>
#include <string>
#include <utility>

namespace postspread::planner {
namespace {

std::vector<ClassSettings>::iterator FindByName(std::vector<ClassSettings>& classes,
                                                const std::string& name) {
  return std::find_if(classes.begin(), classes.end(),
                      [&name](const ClassSettings& candidate) { return candidate.name == name; });
}

}  // namespace

std::vector<ClassSettings> MergeClassSlots(std::vector<ClassSettings> current,
                                           std::vector<ClassSettings> next) {
  for (ClassSettings& slot : current) {
    if (FindByName(next, slot.name) == next.end()) slot = ClassSettings{};
  }
  for (ClassSettings& class_settings : next) {
    auto slot = FindByName(current, class_settings.name);
    if (slot == current.end()) slot = FindByName(current, "");
    if (slot == current.end()) slot = current.emplace(slot);
    *slot = std::move(class_settings);
  }
  return current;
}

}  // namespace postspread::planner
