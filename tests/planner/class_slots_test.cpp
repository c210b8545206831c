// Tests of the assignment of classes to slots during a reconfiguration.
#include "planner/class_slots.h"

#include <catch2/catch.hpp>
#include <initializer_list>
#include <string>
#include <vector>

namespace postspread::planner {
namespace {

std::vector<ClassSettings> Classes(std::initializer_list<const char*> names) {
  std::vector<ClassSettings> classes;
  for (const char* name : names) classes.emplace_back().name = name;
  return classes;
}

std::vector<std::string> Names(const std::vector<ClassSettings>& classes) {
  std::vector<std::string> names;
  names.reserve(classes.size());
  for (const ClassSettings& each : classes) names.push_back(each.name);
  return names;
}

TEST_CASE("when a reconfiguration removes a class, the others keep their slots and its slot has no name") {
  const auto merged = MergeClassSlots(Classes({"a", "b", "c"}), Classes({"c", "a"}));
  CHECK(Names(merged) == std::vector<std::string>{"a", "", "c"});
}

TEST_CASE("given an unused slot, when classes are added, the first takes it and the next a slot at the end") {
  const auto merged = MergeClassSlots(Classes({"a", "", "c"}), Classes({"d", "e", "c", "a"}));
  CHECK(Names(merged) == std::vector<std::string>{"a", "d", "c", "e"});
}

TEST_CASE("when a reconfiguration keeps a class, its slot takes the new settings") {
  std::vector<ClassSettings> next = Classes({"a"});
  next[0].priority_weight = 2.5;
  CHECK(MergeClassSlots(Classes({"a"}), next)[0].priority_weight == 2.5);
}

}  // namespace
}  // namespace postspread::planner
