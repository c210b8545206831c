// Assignment of classes to slots during a reconfiguration. A slot is an index into Settings::classes.
// Requests in flight refer to their class by its slot in the planner, the controller and the idempotency
// store, so a class must keep its slot.
#ifndef POSTSPREAD_PLANNER_CLASS_SLOTS_H_
#define POSTSPREAD_PLANNER_CLASS_SLOTS_H_

#include <vector>

#include "postspread/control.h"

namespace postspread::planner {

// Returns the classes of `next`, placed in the slots of `current`. A class whose name is in both keeps its
// slot. The slot of a removed class becomes unused, with an empty name. A new class takes the first unused
// slot, or a new slot at the end if there is none.
std::vector<ClassSettings> MergeClassSlots(std::vector<ClassSettings> current,
                                           std::vector<ClassSettings> next);

}  // namespace postspread::planner

#endif  // POSTSPREAD_PLANNER_CLASS_SLOTS_H_
