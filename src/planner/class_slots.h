// Classes across a reconfiguration. Requests in flight know their class by its slot (the index in
// Settings::classes) in the planner, the controller and the idempotency store, so a class keeps its slot.
#ifndef POSTSPREAD_PLANNER_CLASS_SLOTS_H_
#define POSTSPREAD_PLANNER_CLASS_SLOTS_H_

#include <vector>

#include "postspread/control.h"

namespace postspread::planner {

// Returns `next` in the slots of `current`: a class of the same name keeps its slot, one that was removed
// leaves its slot without a name, and a new one takes such a slot before another is added.
std::vector<ClassSettings> MergeClassSlots(std::vector<ClassSettings> current,
                                           std::vector<ClassSettings> next);

}  // namespace postspread::planner

#endif  // POSTSPREAD_PLANNER_CLASS_SLOTS_H_
